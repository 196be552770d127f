//! Tests with workers that start again under the name that they had: each incarnation is a worker of its own.

mod world;

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, Outcome};
use world::{World, plan, queue, step};

fn outcome(world: &World, key: u64) -> Option<Outcome> {
    world.store.job(JobKey(key)).map(|job| job.outcome)
}

/// A single worker that has run `tasks` tasks.
fn used_worker(seed: u64, tasks: u32) -> World {
    let mut world = World::new(seed, 1, Resources::new(8_000, 1_000, 0, 0));
    world.submit(1, plan(&[step(tasks, 500, 200)]), queue("quick", 0));
    world.run(8_000);
    assert_eq!(outcome(&world, 1), Some(Outcome::Completed));
    world
}

/// Failure: the ends of a restarted worker had numbers that the leader had processed before the restart, so it let the
/// worker forget them unread, and started tasks again that were done.
#[test]
fn ends_of_a_restarted_worker_are_not_mistaken_for_processed_ones() {
    for seed in 1..20 {
        let mut world = used_worker(seed, 12);
        world.crashes.away_ms = Some(100 * seed);
        world.crash_worker(0);
        world.run(100 * seed + 500);
        world.submit(2, plan(&[step(6, 500, 700)]), queue("quick", 0));
        world.run(10_000);
        assert_eq!(outcome(&world, 2), Some(Outcome::Completed), "seed {seed}");
    }
}

/// Failure: a task was placed again and again on a restarted worker that looked empty, and its job was not completed,
/// until the numbers of the ends had passed those of before the restart.
#[test]
fn a_job_on_a_restarted_worker_is_completed_without_delay() {
    let mut world = used_worker(3, 100);
    world.crashes.away_ms = Some(300);
    world.crash_worker(0);
    world.run(1_000);
    world.submit(2, plan(&[step(1, 500, 700), step(1, 500, 700)]), queue("quick", 0));
    world.run(3_000);
    assert_eq!(outcome(&world, 2), Some(Outcome::Completed));
}
