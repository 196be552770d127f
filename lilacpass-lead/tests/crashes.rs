//! Tasks that crash the workers that start them, and healthy ones on workers that crash.

mod world;

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, Outcome, StepName, TaskName};
use lilacpass_schema::v1;
use world::{World, plan, queue, step};

const CRASHING_JOB: u64 = 1;
/// How soon after its start a task crashes its worker.
const CRASHES_AFTER_MS: u64 = 10;

fn task(job: u64, index: u32) -> TaskName {
    StepName { job: JobKey(job), occurrence: 0, step: 0 }.task(index)
}

/// Workers on which a task runs.
fn hosts_of(world: &World, task: TaskName) -> Vec<usize> {
    let runs = |at: &usize| world.workers[*at].alive && world.workers[*at].runs.contains_key(&task);
    (0..world.workers.len()).filter(runs).collect()
}

fn outcome(world: &World, key: u64) -> Option<Outcome> {
    world.store.job(JobKey(key)).map(|job| job.outcome)
}

/// Twelve workers in two racks, one job of which a task crashes its workers, and quick jobs each half second.
fn play_beside_quick_work(speculative: bool) -> World {
    let mut world = World::new(11, 12, Resources::new(8_000, 1_000, 0, 0));
    world.crashes.crashing.insert(task(CRASHING_JOB, 0), CRASHES_AFTER_MS);
    let wide = v1::WorkStep { speculative, ..step(4, 1_000, 1_000) };
    world.submit(CRASHING_JOB, plan(&[wide]), queue("quick", 0));
    for key in 2..62 {
        world.submit(key, plan(&[step(3, 1_000, 800)]), queue("quick", 0));
        world.run(500);
    }
    world.run(10_000);
    world
}

/// Guards against a task that goes on crashing one worker after the other, with all that runs there.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    for speculative in [false, true] {
        let world = play_beside_quick_work(speculative);
        assert_eq!(outcome(&world, CRASHING_JOB), Some(Outcome::Failed));
    }
}

/// Guards against twins: once a task had been given a copy, each later run of it got one at once.
#[test]
fn a_copy_is_given_only_beside_a_run_that_may_be_lost() {
    let mut world = World::new(5, 6, Resources::new(8_000, 1_000, 0, 0));
    let long = v1::WorkStep { speculative: true, ..step(1, 1_000, 20_000) };
    world.submit(1, plan(&[long]), queue("quick", 0));
    world.run(1_000);
    for _ in 0..2 {
        let hosts = hosts_of(&world, task(1, 0));
        assert_eq!(hosts.len(), 1, "one run, since its worker answers");
        world.workers[hosts[0]].cut = true;
        world.run(2_000);
        let copies = hosts_of(&world, task(1, 0));
        assert_eq!(copies.len(), 2, "a copy runs beside the one that may be lost");
        copies.iter().for_each(|&at| world.crash_worker(at));
        world.run(6_000);
    }
}
