//! Tests how much work a full cell, in which hundreds of steps wait, makes for its leader.

mod world;

use lilacpass_core::Resources;
use lilacpass_schema::v1;
use world::{World, plan, queue, step};

const WORKERS: usize = 20;
/// Number of steps that wait. Each of their tasks needs more than a worker ever has free.
const WAITING: u64 = 300;
/// Number of short tasks that run beside the long ones, one after the other on each worker.
const SHORT_JOBS: u64 = 200;
const MEASURED_MS: u64 = 2_000;

/// Creates a cell of workers with eight cores. Seven are taken for long by work that can't be preempted, and
/// [`WAITING`] steps wait for four.
fn full_cell(policy: impl Fn(&str, u32) -> v1::QueuePolicy) -> World {
    let mut world = World::new(7, WORKERS, Resources::new(8_000, 100_000, 0, 0));
    world.set_lanes(40);
    world.run(500);
    world.submit(1, plan(&[step(WORKERS as u32, 7_000, 600_000)]), queue("long", 0));
    world.run(1_000);
    for key in 0..WAITING {
        world.submit(1_000 + key, plan(&[step(2, 4_000, 500)]), policy("wide", 0));
    }
    world.run(3_000);
    world
}

/// Runs short tasks of one core, and returns how many ended and how many steps the leader examined meanwhile.
fn run_short_tasks(world: &mut World) -> (u64, u64) {
    let before = world.current_instance().leader.work().steps_examined;
    for key in 0..SHORT_JOBS {
        world.submit(5_000 + key, plan(&[step(1, 1_000, 100)]), queue("short", 0));
        world.run(MEASURED_MS / SHORT_JOBS);
    }
    let examined = world.current_instance().leader.work().steps_examined - before;
    let ended = (0..SHORT_JOBS)
        .filter(|key| {
            world.store.job(lilacpass_jobs::JobKey(5_000 + key)).is_some_and(|job| job.ended_ms > 0)
        })
        .count();
    (ended as u64, examined)
}

/// Guards against a leader that examines all waiting steps whenever a task ends, though none of them fits: the fuller
/// the cell, the longer each short task waited for the leader.
#[test]
fn steps_that_fit_nowhere_are_not_examined_when_tasks_end() {
    let mut world = full_cell(queue);
    let (ended, examined) = run_short_tasks(&mut world);
    assert!(ended > SHORT_JOBS / 2, "{ended} short tasks ended");
    assert!(examined < 4 * SHORT_JOBS, "{examined} steps examined for {ended} tasks");
}

/// The same for steps that hold tickets for the workers on which the tasks end.
#[test]
fn advised_steps_that_fit_nowhere_are_not_examined_when_tasks_end() {
    let advice = v1::AdvicePolicy { base_ms: 10.0, per_worker_ms: 0.1, valid_ms: 60_000 };
    let mut world = full_cell(|name, priority| v1::QueuePolicy {
        advice: Some(advice),
        ..queue(name, priority)
    });
    let (ended, examined) = run_short_tasks(&mut world);
    assert!(ended > SHORT_JOBS / 2, "{ended} short tasks ended");
    assert!(examined < 4 * SHORT_JOBS, "{examined} steps examined for {ended} tasks");
}
