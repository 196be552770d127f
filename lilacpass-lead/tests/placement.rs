//! How work gets room when there is too little: loads that were seen, each replayed in the small cell.

mod world;

use lilacpass_core::Resources;
use lilacpass_jobs::JobKey;
use lilacpass_schema::v1;
use world::{World, plan, queue, step};

/// What a worker with accelerators has.
fn large() -> Resources {
    Resources::new(128_000, 100_000, 8, 0)
}

/// A queue whose steps need tickets, with the time of a call as seen for its kind of work.
fn advised(name: &str, priority: u32, base_ms: f64, per_worker_ms: f64) -> v1::QueuePolicy {
    let advice = v1::AdvicePolicy { base_ms, per_worker_ms, valid_ms: 2_000 };
    v1::QueuePolicy { advice: Some(advice), ..queue(name, priority) }
}

/// A step of tasks that take accelerators and save their progress.
fn accelerated(count: u32, accelerators: u32, estimate_ms: u32) -> v1::WorkStep {
    v1::WorkStep { accelerators, checkpointing: true, ..step(count, 11_000, estimate_ms) }
}

/// How many tasks of a job run now.
fn running(world: &World, key: u64) -> usize {
    let tasks = world.workers.iter().flat_map(|worker| worker.runs.keys());
    tasks.filter(|task| task.step.job == JobKey(key)).count()
}

/// Runs until a task of a job runs; none if that takes longer than `most_ms`.
fn time_to_start_ms(world: &mut World, key: u64, most_ms: u64) -> Option<u64> {
    const LOOK_MS: u64 = 10;
    let begin_ms = world.now_ms;
    while world.now_ms < begin_ms + most_ms {
        world.run(LOOK_MS);
        if running(world, key) > 0 {
            return Some(world.now_ms - begin_ms);
        }
    }
    None
}

/// Permits are not handed out for half a minute though most workers have room. Gangs that need two whole
/// workers wait for the second one; each asks again for tickets as soon as its old ones have lapsed, and
/// these calls, half a second each, hold all lanes.
#[test]
fn gangs_that_can_not_start_leave_the_lanes_to_others() {
    let mut world = World::new(3, 4, large());
    world.submit(1, plan(&[accelerated(3, 5, 60_000)]), queue("scan", 0));
    world.run(500);
    let gang = v1::WorkStep { gang: true, ..accelerated(2, 8, 3_000) };
    for key in 10..20 {
        world.submit(key, plan(std::slice::from_ref(&gang)), advised("match", 1, 490.0, 7.0));
    }
    world.run(5_000);
    world.submit(2, plan(&[step(1, 8_000, 1_000)]), advised("permit", 2, 170.0, 2.4));
    let waited_ms = time_to_start_ms(&mut world, 2, 10_000);
    assert!(waited_ms.is_some_and(|ms| ms < 1_000), "started after {waited_ms:?} ms");
}

/// A permit waits for a minute. Each time its turn comes it has no ticket; while it asks for one, which takes
/// half a second, a later job takes the room, and the ticket has lapsed before there is room again. Once it
/// has waited for four seconds the next room is kept for it.
#[test]
fn a_step_that_loses_each_race_for_room_gets_its_turn() {
    let mut world = World::new(3, 1, Resources::new(8_000, 1_000, 0, 0));
    world.submit(1, plan(&[step(2, 4_000, 1_000)]), queue("before", 0));
    world.run(100);
    let first = v1::QueuePolicy { objective_ms: 100, ..advised("permit", 2, 500.0, 1.0) };
    world.submit(2, plan(&[step(1, 4_000, 1_000)]), first);
    for key in 10..30 {
        let later = v1::QueuePolicy { objective_ms: 90_000, ..advised("later", 2, 5.0, 1.0) };
        world.submit(key, plan(&[step(1, 4_000, 3_200)]), later);
    }
    let waited_ms = time_to_start_ms(&mut world, 2, 20_000);
    assert!(waited_ms.is_some_and(|ms| ms < 6_000), "started after {waited_ms:?} ms");
}

/// A permit was accepted and stood still for half a minute beside workers with room: more urgent checks asked for advice
/// all the time, so that no lane was ever left for it. Room was kept for it again and again, but it had no ticket.
#[test]
fn a_step_that_others_always_ask_before_gets_its_turn() {
    const MOST_MS: u64 = 8_000;
    let mut world = World::new(3, 20, Resources::new(64_000, 100_000, 0, 0));
    for key in 10..60 {
        world.submit(key, plan(&[step(1, 100, 20)]), advised("check", 0, 40.0, 1.0));
    }
    let permit = advised("permit", 2, 100.0, 1.0);
    world.submit(1, plan(&[step(2, 4_000, 60_000)]), permit);
    let mut waited_ms = 0;
    while running(&world, 1) == 0 && waited_ms < MOST_MS {
        world.submit(100 + waited_ms, plan(&[step(1, 100, 20)]), advised("check", 0, 40.0, 1.0));
        world.run(10);
        waited_ms += 10;
    }
    assert!(waited_ms < MOST_MS, "not started after {waited_ms} ms");
}

/// A face match that needs all accelerators of a worker waits for as long as vehicle scans come in: each scan
/// takes one accelerator, and they were spread over all workers, the emptiest first.
#[test]
fn small_tasks_leave_whole_workers_to_large_ones() {
    let mut world = World::new(3, 4, large());
    for key in 1..=4 {
        world.submit(key, plan(&[accelerated(2, 1, 20_000)]), queue("scan", 2));
        world.run(100);
    }
    let whole = world.workers.iter().filter(|worker| worker.runs.is_empty()).count();
    assert_eq!(whole, 3, "eight tasks with one accelerator each share a worker");
}

/// A face match, which a person waits for, is late because scans that could wait a minute fill every worker.
/// They save their progress, so the fewest that are in the way stop and go on later.
#[test]
fn urgent_work_stops_the_least_work_that_can_wait() {
    let mut world = World::new(3, 2, large());
    world.submit(1, plan(&[accelerated(16, 1, 30_000)]), queue("scan", 2));
    world.run(3_000);
    assert_eq!(running(&world, 1), 16, "both workers are full");
    world.submit(2, plan(&[accelerated(1, 4, 2_000)]), queue("match", 1));
    let waited_ms = time_to_start_ms(&mut world, 2, 5_000);
    assert!(waited_ms.is_some_and(|ms| ms < 1_000), "started after {waited_ms:?} ms");
    assert_eq!(running(&world, 1), 12, "four of the sixteen made way");
    world.run(6_000);
    assert_eq!(running(&world, 1), 16, "and started again");
}

/// Work that saves nothing, that is as urgent, or that lasts is not stopped for others.
#[test]
fn work_that_would_be_lost_is_not_preempted() {
    let lost = v1::WorkStep { checkpointing: false, ..accelerated(8, 1, 20_000) };
    let lasting = v1::WorkStep { lasting: true, ..accelerated(8, 1, 500) };
    for (running_step, priority) in [(lost, 2), (lasting, 2), (accelerated(8, 1, 20_000), 1)] {
        let mut world = World::new(3, 1, large());
        world.submit(1, plan(&[running_step]), queue("scan", priority));
        world.run(2_000);
        world.submit(2, plan(&[accelerated(1, 8, 2_000)]), queue("match", 1));
        world.run(2_000);
        assert_eq!(running(&world, 1), 8);
    }
}

/// A face match that may run on half of the workers asked about those with room alone, one after the other
/// as they had some, for half a second each. What it learns never changes, so one call names them all.
#[test]
fn a_step_learns_of_all_workers_in_one_call() {
    let mut world = World::new(3, 9, large());
    world.submit(1, plan(&[accelerated(64, 1, 8_000)]), queue("scan", 0));
    world.run(1_000);
    world.submit(2, plan(&[accelerated(1, 8, 2_000)]), advised("match", 1, 490.0, 7.0));
    world.run(20_000);
    let calls: Vec<usize> = world
        .advice_calls
        .iter()
        .filter(|(step, _)| step.job == JobKey(2))
        .map(|(_, workers)| *workers)
        .collect();
    assert_eq!(calls.first(), Some(&9), "{calls:?}");
    assert!(calls.len() <= 2, "{calls:?}");
}

/// An audit that needs a whole worker never starts: small tasks of the same priority fill each gap that opens
/// on any worker, again and again, before all of one is free.
#[test]
fn a_large_task_gets_its_turn_among_small_ones() {
    let mut world = World::new(3, 2, Resources::new(8_000, 1_000, 0, 0));
    let mut key = 100;
    for first in 10..26 {
        world.submit(first, plan(&[step(1, 1_000, 1_700)]), queue("sweep", 2));
        world.run(100);
    }
    world.submit(2, plan(&[step(1, 8_000, 1_000)]), queue("audit", 2));
    let mut started_ms = None;
    let begin_ms = world.now_ms;
    while world.now_ms < begin_ms + 20_000 && started_ms.is_none() {
        world.submit(key, plan(&[step(3, 1_000, 1_700)]), queue("sweep", 2));
        key += 1;
        world.run(250);
        if running(&world, 2) > 0 {
            started_ms = Some(world.now_ms - begin_ms);
        }
    }
    assert!(started_ms.is_some_and(|ms| ms < 9_000), "started after {started_ms:?} ms");
}

/// A report of low urgency waits for as long as a burst lasts, and longer: checks of the same priority that are
/// late sooner come in all the time, and are always ahead of it.
#[test]
fn a_step_that_others_are_always_ahead_of_gets_its_turn() {
    let mut world = World::new(3, 1, Resources::new(8_000, 1_000, 0, 0));
    let patient = v1::QueuePolicy { objective_ms: 600_000, ..advised("report", 2, 170.0, 1.0) };
    world.submit(1, plan(&[step(4, 2_000, 1_000)]), queue("check", 2));
    world.run(100);
    world.submit(2, plan(&[step(1, 4_000, 1_000)]), patient);
    let begin_ms = world.now_ms;
    let mut key = 10;
    while running(&world, 2) == 0 && world.now_ms < begin_ms + 20_000 {
        world.submit(key, plan(&[step(2, 2_000, 1_000)]), queue("check", 2));
        key += 1;
        world.run(300);
    }
    let waited_ms = world.now_ms - begin_ms;
    assert!(waited_ms < 9_000, "started after {waited_ms} ms");
}
