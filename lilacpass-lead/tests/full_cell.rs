//! Tests how much work a full cell, in which hundreds of steps wait, makes for its leader.

mod world;

use lilacpass_core::Resources;
use lilacpass_jobs::{Job, JobKey, Outcome};
use lilacpass_schema::v1;
use world::{START_UNIX_MS, World, cost::Costs, plan, queue, step};

const WORKERS: usize = 20;
/// Number of steps that wait. Each of their tasks needs more than a worker ever has free.
const WAITING: u64 = 300;
/// Number of short tasks that run beside the long ones, one after the other on each worker.
const SHORT_JOBS: u64 = 200;
/// Run time of a short task in ms.
const SHORT_MS: u64 = 100;
const MEASURED_MS: u64 = 2_000;

/// Creates an idle cell of workers with eight cores.
fn idle_cell() -> World {
    let mut world = World::new(7, WORKERS, Resources::new(8_000, 100_000, 0, 0));
    world.set_lanes(40);
    world.run(500);
    world
}

/// Submits work that takes seven cores of each worker for long and can't be preempted.
fn fill(world: &mut World) {
    world.submit(1, plan(&[step(WORKERS as u32, 7_000, 600_000)]), queue("long", 0));
}

/// Submits [`WAITING`] jobs whose tasks need four cores. Each job ranks before the earlier ones, so that its step requests
/// advice whatever capacity the calls of those have claimed.
fn submit_wide_jobs(world: &mut World, policy: &v1::QueuePolicy) {
    for key in 0..WAITING {
        let estimate_ms = 500 + (WAITING - key) as u32;
        world.submit(1_000 + key, plan(&[step(2, 4_000, estimate_ms)]), policy.clone());
    }
}

/// Creates a cell in which only one core of each worker is free and [`WAITING`] steps wait for four.
fn full_cell() -> World {
    let mut world = idle_cell();
    fill(&mut world);
    world.run(1_000);
    submit_wide_jobs(&mut world, &queue("wide", 0));
    world.run(3_000);
    world
}

fn submit_short_job(world: &mut World, key: u64) {
    world.submit(5_000 + key, plan(&[step(1, 1_000, SHORT_MS as u32)]), queue("short", 0));
}

/// The short job submitted with `key`, as stored.
fn short_job(world: &World, key: u64) -> Option<Job> {
    world.store.job(JobKey(5_000 + key))
}

/// Runs short tasks of one core, and returns how many ended and how many steps the leader examined meanwhile.
fn run_short_tasks(world: &mut World) -> (u64, u64) {
    let before = world.current_instance().leader.work().steps_examined;
    for key in 0..SHORT_JOBS {
        submit_short_job(world, key);
        world.run(MEASURED_MS / SHORT_JOBS);
    }
    let examined = world.current_instance().leader.work().steps_examined - before;
    let ended = (0..SHORT_JOBS)
        .filter(|key| short_job(world, *key).is_some_and(|job| job.ended_ms > 0))
        .count();
    (ended as u64, examined)
}

/// Guards against a leader that examines all waiting steps whenever a task ends, though none of them fits: the fuller
/// the cell, the longer each short task waited for the leader.
#[test]
fn steps_that_fit_nowhere_are_not_examined_when_tasks_end() {
    let mut world = full_cell();
    let (ended, examined) = run_short_tasks(&mut world);
    assert!(ended > SHORT_JOBS / 2, "{ended} short tasks ended");
    assert!(examined < 4 * SHORT_JOBS, "{examined} steps examined for {ended} tasks");
}

/// The same for steps that hold tickets for the workers on which the tasks end, and for steps that look for workers to
/// request advice about.
#[test]
fn advised_steps_that_fit_nowhere_are_not_examined_when_tasks_end() {
    let mut world = idle_cell();
    let advice = v1::AdvicePolicy { base_ms: 100.0, per_worker_ms: 0.1, valid_ms: 60_000 };
    let policy = v1::QueuePolicy { advice: Some(advice), ..queue("wide", 0) };
    submit_wide_jobs(&mut world, &policy);
    // The first calls for advice are made while the cell is idle, and answered once it is full.
    world.run(30);
    fill(&mut world);
    world.run(3_000);
    assert!(world.advice_calls.len() >= 40, "{} calls for advice", world.advice_calls.len());
    let (ended, examined) = run_short_tasks(&mut world);
    assert!(ended > SHORT_JOBS / 2, "{ended} short tasks ended");
    assert!(examined < 4 * SHORT_JOBS, "{examined} steps examined for {ended} tasks");
}

/// Operations take this long for a leader that is short of processor time.
const COSTS: Costs = Costs { event_us: 200, poll_us: 1_000, step_us: 2_000, request_us: 50 };
/// Time in ms within which urgent work starts, as the users ask for.
const URGENT_START_MS: u64 = 2_200;

/// Guards against a cell that never recovers from the loss of all instances: the steps that waited before it keep the
/// new leader busy, and hardly any request that comes afterwards is served.
#[test]
fn urgent_work_starts_in_time_once_all_instances_were_lost_in_a_full_cell() {
    let mut world = full_cell();
    world.current_instance().alive = false;
    world.run(2_000);
    world.take_over();
    world.costs = Some(COSTS);
    world.run(1_000);
    let mut submitted_ms = Vec::new();
    for key in 0..SHORT_JOBS {
        submitted_ms.push(world.now_ms);
        submit_short_job(&mut world, key);
        world.run(20);
    }
    world.run(3 * URGENT_START_MS);
    let late = (0..SHORT_JOBS).zip(submitted_ms).filter(|(key, submitted_ms)| {
        let job = short_job(&world, *key);
        let ended_ms = job.filter(|job| job.outcome == Outcome::Completed).map(|job| job.ended_ms);
        ended_ms.is_none_or(|ms| ms - START_UNIX_MS - submitted_ms > URGENT_START_MS + SHORT_MS)
    });
    let late = late.count();
    assert_eq!(late, 0, "of {SHORT_JOBS} jobs ended late");
}

/// Guards against a leader that goes through all workers for each waiting gang whenever a task ends anywhere.
#[test]
fn gangs_are_not_examined_when_tasks_end_on_workers_that_hold_none_of_their_tasks() {
    let mut world = idle_cell();
    // One worker keeps four cores free but no memory, so that each gang fits there in part, and no short task does.
    let filled = WORKERS as u32 - 1;
    world.submit(1, plan(&[step(filled, 7_000, 600_000)]), queue("long", 0));
    world.run(500);
    let partly_filled = v1::WorkStep { memory_mb: 100_000, ..step(1, 4_000, 600_000) };
    world.submit(2, plan(&[partly_filled]), queue("long", 0));
    world.run(500);
    for key in 0..WAITING {
        let gang = v1::WorkStep { gang: true, memory_mb: 0, ..step(2, 4_000, 500) };
        world.submit(1_000 + key, plan(&[gang]), queue("wide", 0));
    }
    world.run(3_000);
    let full_rounds = MEASURED_MS / 100 + 1;
    let (ended, examined) = run_short_tasks(&mut world);
    assert!(ended > SHORT_JOBS / 2, "{ended} short tasks ended");
    let bound = full_rounds * WAITING + 4 * SHORT_JOBS;
    assert!(examined < bound, "{examined} steps examined for {ended} tasks, the bound is {bound}");
}

/// Guards against a leader that spends its time on searches for workers to request advice about that find none: their
/// number grew with the waiting steps, and the cost of each with the workers.
#[test]
fn searches_for_advice_that_find_no_worker_are_bounded_in_a_large_cell() {
    const LARGE: usize = 400;
    const STEPS: u64 = 200;
    /// Limit on the workers that these searches go through in a second.
    const MAX_RATINGS_PER_SECOND: u64 = 500_000;
    let mut world = World::new(7, LARGE, Resources::new(8_000, 100_000, 0, 0));
    world.set_lanes(STEPS as usize);
    world.run(500);
    let advice = v1::AdvicePolicy { base_ms: 500.0, per_worker_ms: 0.1, valid_ms: 2_500 };
    let policy = v1::QueuePolicy { advice: Some(advice), ..queue("wide", 0) };
    // Advice allows every other worker. These are filled, so the steps fit only where they are not allowed.
    world.submit(1, plan(&[step(LARGE as u32 / 2, 8_000, 600_000)]), policy.clone());
    world.run(15_000);
    for key in 0..STEPS {
        world.submit(1_000 + key, plan(&[step(2, 4_000, 500)]), policy.clone());
    }
    world.run(30_000);
    let before = world.current_instance().leader.work();
    world.run(MEASURED_MS);
    let searches = world.current_instance().leader.work().since(&before).empty_advice_searches;
    assert!(searches >= STEPS, "{searches} searches: the steps stopped to look for workers");
    let max_searches = MAX_RATINGS_PER_SECOND * MEASURED_MS / 1_000 / LARGE as u64;
    assert!(searches <= max_searches + STEPS, "{searches} searches, the bound is {max_searches}");
}
