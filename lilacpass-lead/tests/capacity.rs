//! Workers whose room shrinks and grows while work is on its way to them. The small cell judges each start.

mod world;

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, Outcome};
use lilacpass_lead::event::Response;
use lilacpass_schema::v1;
use world::{World, plan, queue, step};

const WHOLE: Resources = cores(8);
const NOTHING: Resources = cores(0);

const fn cores(count: u64) -> Resources {
    use lilacpass_core::size::{Accelerators, Mebibytes, Millicores, Slots};
    Resources {
        cpu: Millicores(count * 1_000),
        memory: Mebibytes(1_000),
        accelerators: Accelerators(0),
        slots: Slots(0),
    }
}

fn outcome(world: &World, key: u64) -> Option<Outcome> {
    world.store.job(JobKey(key)).map(|job| job.outcome)
}

/// Guards against a start that was placed while its worker had room, waited for the store, and arrived when it had none.
#[test]
fn a_start_that_waited_for_the_store_does_not_go_to_a_worker_that_has_shrunk() {
    let mut world = World::new(3, 1, WHOLE);
    world.submit(1, plan(&[step(1, 1_000, 2_000), step(4, 2_000, 2_000)]), queue("quick", 0));
    world.run(1_500);
    world.store.down = true;
    world.run(1_000);
    world.set_capacity(0, cores(3));
    world.run(5_000);
    world.store.down = false;
    world.run(30_000);
    assert_eq!(outcome(&world, 1), Some(Outcome::Completed), "one after the other");
}

/// Guards against a job that is refused for good because its workers have less room just now.
#[test]
fn a_job_that_fits_workers_once_they_grow_again_is_taken() {
    let mut world = World::new(3, 2, WHOLE);
    (0..2).for_each(|at| world.set_capacity(at, NOTHING));
    world.run(3_000);
    let request_id = world.submit(1, plan(&[step(2, 2_000, 500)]), queue("quick", 0));
    world.run(3_000);
    assert_eq!(world.response(request_id), Some(&Response::Done), "it is accepted");
    (0..2).for_each(|at| world.set_capacity(at, WHOLE));
    world.run(8_000);
    assert_eq!(outcome(&world, 1), Some(Outcome::Completed));
}

/// Guards against work that is stopped for more urgent work on a worker that has no room for that even so.
#[test]
fn nothing_is_stopped_on_a_worker_that_has_shrunk_too_far() {
    let mut world = World::new(3, 1, WHOLE);
    let slow = v1::WorkStep { checkpointing: true, ..step(4, 2_000, 8_000) };
    world.submit(1, plan(&[slow]), queue("long", 2));
    world.run(1_500);
    world.set_capacity(0, cores(1));
    world.run(3_000);
    world.submit(2, plan(&[step(1, 2_000, 500)]), queue("quick", 0));
    world.run(2_000);
    assert_eq!(world.workers[0].stopped, 0, "two cores would not come free");
    world.set_capacity(0, WHOLE);
    world.run(30_000);
    assert_eq!(outcome(&world, 2), Some(Outcome::Completed));
}

/// Guards against work that is placed by the room that a worker used to have, or never again.
#[test]
fn starts_follow_the_room_of_workers_that_shrink_and_grow() {
    for seed in 1..20 {
        let mut world = World::new(seed, 6, WHOLE);
        let lasting = v1::WorkStep { lasting: true, ..step(4, 1_000, 500) };
        world.submit(1, plan(&[lasting]), queue("watch", 1));
        for key in 2..60 {
            world.submit(key, plan(&[step(4, 1_500, 1_500)]), queue("quick", 0));
            world.run(300);
            if key % 3 == 0 {
                let at = world.random.below(6) as usize;
                let room = cores(world.random.below(9));
                world.set_capacity(at, room);
            }
        }
        (0..6).for_each(|at| world.set_capacity(at, WHOLE));
        world.run(20_000);
        for key in 2..60 {
            assert_eq!(outcome(&world, key), Some(Outcome::Completed), "job {key}, seed {seed}");
        }
    }
}

/// Guards against a leader that learns of a smaller room only from its predecessor's books.
#[test]
fn a_new_leader_goes_by_the_room_that_workers_say_they_have() {
    let mut world = World::new(5, 2, WHOLE);
    world.submit(1, plan(&[step(6, 2_000, 4_000)]), queue("long", 1));
    world.run(1_000);
    (0..2).for_each(|at| world.set_capacity(at, cores(2)));
    world.current_instance().alive = false;
    world.run(600);
    world.take_over();
    world.submit(2, plan(&[step(6, 2_000, 1_000)]), queue("quick", 0));
    world.run(30_000);
    assert_eq!(outcome(&world, 1), Some(Outcome::Completed));
    assert_eq!(outcome(&world, 2), Some(Outcome::Completed));
}
