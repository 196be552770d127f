//! A leader that is given more than it can decide: its operations take made-up time.

mod world;

use std::collections::BTreeMap;

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, Outcome};
use lilacpass_lead::event::{Request, RequestId, Response};
use world::{World, cost::Costs, plan, queue, step};

/// With these a job of the plays takes the leader about 10 ms: one try, two starts, two ends. Looks at 60 idle
/// workers take it a tenth of its time.
const COSTS: Costs = Costs { event_us: 200, poll_us: 1_000, step_us: 4_000, request_us: 50 };
const WORKERS: usize = 60;
/// Jobs a second that the leader can decide beside its looks.
const CAN_DECIDE: u64 = 90;
/// How long jobs come in.
const TRAFFIC_MS: u64 = 8_000;
/// What the tasks of a job take.
const TASK_MS: u32 = 400;
/// A caller that is turned away should hear of it while it can still go elsewhere.
const REFUSED_WITHIN_MS: u64 = 1_000;
/// Callers wait so long for any answer.
const PATIENCE_MS: u64 = 3_000;
/// Callers count on a job of 0.4 s within this time, the longest wait for room that starts a reservation
/// included.
const DONE_WITHIN_MS: u64 = 5_000;

fn cell() -> World {
    let mut world = World::new(11, WORKERS, Resources::new(8_000, 10_000, 0, 0));
    // The leader knows its workers, and has nothing to do.
    world.run(2_000);
    world.costs = Some(COSTS);
    world.run(1_000);
    world
}

/// Nothing that ran on a sound worker was given up.
fn judge_runs(world: &World) {
    let lapsed: u64 = world.workers.iter().map(|worker| worker.expired_run_count).sum();
    assert_eq!(lapsed, 0, "leases lapsed on sound workers");
    let stopped: u64 = world.workers.iter().map(|worker| worker.stopped).sum();
    assert_eq!(stopped, 0, "sound runs were stopped");
}

/// What came of a hand-in.
struct HandIn {
    key: u64,
    request_id: RequestId,
    sent_ms: u64,
}

/// Hands `a_second` jobs in each second, evenly.
fn hand_in(world: &mut World, a_second: u64) -> Vec<HandIn> {
    let mut sent = Vec::new();
    for number in 0..a_second * TRAFFIC_MS / 1_000 {
        let due_ms = number * 1_000 / a_second;
        let next_ms = (number + 1) * 1_000 / a_second;
        let key = 1 + number;
        let job = plan(&[step(2, 1_000, TASK_MS)]);
        let sent_ms = world.now_ms;
        let request_id =
            world.submit(key, job, queue(&format!("quick-{}", key % 3), (key % 3) as u32));
        sent.push(HandIn { key, request_id, sent_ms });
        world.run(next_ms - due_ms);
    }
    sent
}

/// Nobody hears of ends, workers stop accepted work, and after the rush nothing has come of half of it: the
/// leader has so many steps to look at that looks at workers wait behind them for longer than a lease. It
/// took in every hand-in meanwhile, so that the next round took longer still. Given more than it can
/// decide it should look at its workers in time, do what it accepted in time, and turn the rest away at once.
fn play_rush(times: u64) {
    let mut world = cell();
    let sent = hand_in(&mut world, CAN_DECIDE * times);
    world.run(DONE_WITHIN_MS);
    let answers: BTreeMap<u64, Response> =
        world.responses.iter().map(|(request_id, answer)| (request_id.0, answer.clone())).collect();
    judge_runs(&world);
    let mut done = 0;
    for hand_in in &sent {
        let key = hand_in.key;
        let answer = answers.get(&hand_in.request_id.0);
        let answer_ms =
            world.responded_ms.get(&hand_in.request_id.0).map(|ms| ms - hand_in.sent_ms);
        let job = world.store.job(JobKey(key));
        match answer {
            Some(Response::Refused { retry_after_ms, .. }) => {
                assert!(job.is_none(), "job {key} was refused and is stored");
                assert!(answer_ms.is_some_and(|ms| ms < REFUSED_WITHIN_MS), "{answer_ms:?}");
                assert!((1_000..=3_000).contains(retry_after_ms), "{retry_after_ms}");
            }
            Some(Response::Done) => {
                assert!(answer_ms.is_some_and(|ms| ms < PATIENCE_MS), "job {key}: {answer_ms:?}");
                let job = job.expect("an accepted job is stored");
                assert_eq!(job.outcome, Outcome::Completed, "job {key} was accepted");
                let took_ms = job.ended_ms - job.accepted_ms;
                assert!(took_ms < DONE_WITHIN_MS, "job {key} took {took_ms} ms");
                done += 1;
            }
            other => panic!("job {key}: {other:?}"),
        }
    }
    let possible = CAN_DECIDE * TRAFFIC_MS / 1_000;
    assert!(done > possible / 2, "{done} jobs were done, and {possible} could be decided");
}

#[test]
fn twice_the_jobs_that_can_be_decided_break_no_promise() {
    play_rush(2);
}

#[test]
fn five_times_the_jobs_that_can_be_decided_break_no_promise() {
    play_rush(5);
}

#[test]
fn twenty_times_the_jobs_that_can_be_decided_break_no_promise() {
    play_rush(20);
}

/// The same with work that was accepted long ago, by a former leader, and has no room: looking at all of it
/// takes `times` the time between two looks at it. Each waiting job gets its turn as room falls free.
fn play_backlog(times: u64) {
    /// Time between rounds over everything, as the leader has it.
    const ALL_INTERVAL_US: u64 = 100_000;
    const LONG_TASK_MS: u64 = 1_500;
    let mut world = cell();
    world.costs = None;
    let jobs = WORKERS as u64 + times * ALL_INTERVAL_US / COSTS.step_us;
    for key in 1..=jobs {
        world.submit(key, plan(&[step(1, 8_000, LONG_TASK_MS as u32)]), queue("long", 1));
    }
    world.run(20);
    world.costs = Some(COSTS);
    // In turn on all workers, with as much time again for what the leader does between.
    let waves = jobs.div_ceil(WORKERS as u64);
    world.run(2 * waves * LONG_TASK_MS + PATIENCE_MS);
    judge_runs(&world);
    for key in 1..=jobs {
        let outcome = world.store.job(JobKey(key)).map(|job| job.outcome);
        assert_eq!(outcome, Some(Outcome::Completed), "job {key}");
    }
}

#[test]
fn a_backlog_of_twice_what_a_round_can_look_at_is_worked_off() {
    play_backlog(2);
}

#[test]
fn a_backlog_of_five_times_what_a_round_can_look_at_is_worked_off() {
    play_backlog(5);
}

#[test]
fn a_backlog_of_twenty_times_what_a_round_can_look_at_is_worked_off() {
    play_backlog(20);
}

/// All workers are full, and from now on one falls free each `pause_ms`; `backlog` tasks wait that take as much,
/// `cpu_milli` of 8,000.
fn full_cell(cpu_milli: u32, pause_ms: u64, backlog: u64) -> World {
    /// By then the leader has found out how many steps it can look at in a round.
    const FIRST_END_MS: u64 = 3_000;
    let mut world = cell();
    world.costs = None;
    for number in 0..WORKERS as u64 {
        let estimate_ms = FIRST_END_MS + number * pause_ms;
        let first = step(1, cpu_milli, estimate_ms as u32);
        world.submit(1 + number, plan(&[first]), queue("long", 1));
    }
    world.run(20);
    for key in 100..100 + backlog {
        world.submit(key, plan(&[step(1, cpu_milli, 10_000)]), queue("long", 1));
    }
    world.run(20);
    world.costs = Some(COSTS);
    world.run(FIRST_END_MS + 500);
    world
}

/// A small task that can wait does so for ever, though there is room for it: each time a worker falls free the leader
/// looks at all that is more urgent first, and does not get to it.
#[test]
fn each_step_gets_its_turn_while_others_are_looked_at_all_the_time() {
    const STARTED_WITHIN_MS: u64 = 2_000;
    let mut world = full_cell(7_500, 40, 140);
    world.submit(1_000, plan(&[step(1, 500, 10_000)]), queue("late", 2));
    world.run(STARTED_WITHIN_MS);
    judge_runs(&world);
    let mut running = world.workers.iter().flat_map(|worker| worker.runs.keys());
    assert!(running.any(|task| task.step.job == JobKey(1_000)), "it has not started");
}

/// Urgent checks wait for seconds while workers fall free one after the other: each goes to the step whose turn it
/// is just then, of a backlog that could wait. Room goes to the first in order.
#[test]
fn room_goes_to_urgent_work_before_a_backlog_whose_turn_it_is() {
    const BACKLOG: u64 = 80;
    const URGENT: u64 = 10;
    /// A worker falls free each so many milliseconds.
    const PAUSE_MS: u64 = 50;
    /// What the leader may take beside.
    const SLACK_MS: u64 = 1_000;
    let mut world = full_cell(8_000, PAUSE_MS, BACKLOG);
    for key in 1_000..1_000 + URGENT {
        world.submit(key, plan(&[step(1, 8_000, 10_000)]), queue("urgent", 0));
    }
    world.run(URGENT * PAUSE_MS + SLACK_MS);
    judge_runs(&world);
    let running = world.workers.iter().flat_map(|worker| worker.runs.keys());
    let urgent = running.filter(|task| task.step.job.0 >= 1_000).count() as u64;
    assert_eq!(urgent, URGENT, "urgent jobs that have started");
}

/// Somebody who asks what became of a job, or wants it stopped, is told so in the middle of the rush.
#[test]
fn states_and_cancels_are_answered_in_a_rush() {
    let mut world = cell();
    let long = step(1, 1_000, 60_000);
    world.submit(100_000, plan(&[long]), queue("long", 1));
    world.run(1_000);
    hand_in(&mut world, CAN_DECIDE * 20);
    let state = world.request(Request::State(JobKey(100_000)));
    let cancel = world.request(Request::Cancel(JobKey(100_000)));
    let repeated = world.submit(100_000, plan(&[step(1, 1_000, 60_000)]), queue("long", 1));
    world.run(REFUSED_WITHIN_MS);
    assert!(
        matches!(world.response(state), Some(Response::State(_))),
        "{:?}",
        world.response(state)
    );
    assert_eq!(world.response(cancel), Some(&Response::Done));
    assert_eq!(world.response(repeated), Some(&Response::Done), "it was accepted, and stays so");
    world.run(PATIENCE_MS);
    let outcome = world.store.job(JobKey(100_000)).map(|job| job.outcome);
    assert_eq!(outcome, Some(Outcome::Cancelled));
}

/// Without trouble nobody is turned away.
#[test]
fn half_of_the_jobs_that_can_be_decided_are_all_accepted() {
    let mut world = cell();
    let sent = hand_in(&mut world, CAN_DECIDE / 2);
    world.run(DONE_WITHIN_MS);
    judge_runs(&world);
    for HandIn { key, request_id, .. } in sent {
        assert_eq!(world.response(request_id), Some(&Response::Done), "job {key}");
        let outcome = world.store.job(JobKey(key)).map(|job| job.outcome);
        assert_eq!(outcome, Some(Outcome::Completed), "job {key}");
    }
}
