//! Workers whose capacity shrinks and grows while runs are assigned to them. The simulated cell checks each start.

mod world;

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, Outcome};
use lilacpass_lead::event::Response;
use lilacpass_schema::v1;
use world::{World, plan, queue, step};

const FULL: Resources = cores(8);
const EMPTY: Resources = cores(0);

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

/// A start must not be sent if its worker had enough capacity when the run was assigned, but has too little once the
/// assignment is stored.
#[test]
fn a_start_that_waited_for_the_store_does_not_go_to_a_worker_that_has_shrunk() {
    let mut world = World::new(3, 1, FULL);
    world.submit(1, plan(&[step(1, 1_000, 2_000), step(4, 2_000, 2_000)]), queue("quick", 0));
    world.run(1_500);
    world.store.down = true;
    world.run(1_000);
    world.set_capacity(0, cores(3));
    world.run(5_000);
    world.store.down = false;
    world.run(30_000);
    assert_eq!(outcome(&world, 1), Some(Outcome::Completed), "its tasks run one after the other");
}

/// A job must not be refused for good because its workers have less capacity at the moment.
#[test]
fn a_job_that_fits_workers_once_they_grow_again_is_accepted() {
    let mut world = World::new(3, 2, FULL);
    (0..2).for_each(|at| world.set_capacity(at, EMPTY));
    world.run(3_000);
    let request_id = world.submit(1, plan(&[step(2, 2_000, 500)]), queue("quick", 0));
    world.run(3_000);
    assert_eq!(world.response(request_id), Some(&Response::Done), "it is accepted");
    (0..2).for_each(|at| world.set_capacity(at, FULL));
    world.run(8_000);
    assert_eq!(outcome(&world, 1), Some(Outcome::Completed));
}

/// Runs must not be preempted on a worker that would still lack the capacity for the more urgent job.
#[test]
fn nothing_is_preempted_on_a_worker_that_has_shrunk_too_far() {
    let mut world = World::new(3, 1, FULL);
    let slow = v1::WorkStep { checkpointing: true, ..step(4, 2_000, 8_000) };
    world.submit(1, plan(&[slow]), queue("long", 2));
    world.run(1_500);
    world.set_capacity(0, cores(1));
    world.run(3_000);
    world.submit(2, plan(&[step(1, 2_000, 500)]), queue("quick", 0));
    world.run(2_000);
    assert_eq!(world.workers[0].stopped, 0, "preemption would not free two cores");
    world.set_capacity(0, FULL);
    world.run(30_000);
    assert_eq!(outcome(&world, 2), Some(Outcome::Completed));
}

/// Runs must be assigned by the present capacity of a worker after it has shrunk, and again after it has grown.
#[test]
fn starts_follow_the_capacity_of_workers_that_shrink_and_grow() {
    for seed in 1..20 {
        let mut world = World::new(seed, 6, FULL);
        let lasting = v1::WorkStep { lasting: true, ..step(4, 1_000, 500) };
        world.submit(1, plan(&[lasting]), queue("watch", 1));
        for key in 2..60 {
            world.submit(key, plan(&[step(4, 1_500, 1_500)]), queue("quick", 0));
            world.run(300);
            if key % 3 == 0 {
                let at = world.random.below(6) as usize;
                let capacity = cores(world.random.below(9));
                world.set_capacity(at, capacity);
            }
        }
        (0..6).for_each(|at| world.set_capacity(at, FULL));
        world.run(20_000);
        for key in 2..60 {
            assert_eq!(outcome(&world, key), Some(Outcome::Completed), "job {key}, seed {seed}");
        }
    }
}

/// A new leader must not rely on the runs stored by its predecessor to learn how much a worker can hold.
#[test]
fn a_new_leader_uses_the_capacity_that_workers_have_registered() {
    let mut world = World::new(5, 2, FULL);
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
