//! Tests a leader that gets more work than it can schedule. Its operations take simulated time.

mod world;

use std::collections::BTreeMap;

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, Outcome};
use lilacpass_lead::event::{Request, RequestId, Requester, Response};
use world::{World, cost::Costs, plan, queue, step};

/// With these costs, the leader spends about 10 ms on each job of these tests: it examines one step and processes two
/// starts and two ends. Polls of 60 idle workers take a tenth of its time.
const COSTS: Costs = Costs { event_us: 200, poll_us: 1_000, step_us: 4_000, request_us: 50 };
const WORKERS: usize = 60;
/// Number of jobs per second that the leader can schedule in addition to its polls.
const SCHEDULABLE_JOBS_PER_SECOND: u64 = 90;
/// Time in ms during which jobs are submitted.
const TRAFFIC_MS: u64 = 8_000;
/// Run time of the tasks of a job in ms.
const TASK_MS: u32 = 400;
/// Maximum time in ms until a refusal, so that the client can still try elsewhere.
const MAX_REFUSAL_MS: u64 = 1_000;
/// Time in ms that clients wait for any response.
const CLIENT_TIMEOUT_MS: u64 = 3_000;
/// Maximum time in ms in which clients expect a job of 0.4 s to complete, including the longest wait before capacity is
/// reserved in advance.
const MAX_COMPLETION_MS: u64 = 5_000;

/// Creates a cell with idle workers whose leader has simulated costs.
fn cell() -> World {
    let mut world = World::new(11, WORKERS, Resources::new(8_000, 10_000, 0, 0));
    // Let the leader get to know its workers before its operations take time.
    world.run(2_000);
    world.costs = Some(COSTS);
    world.run(1_000);
    world
}

/// Asserts that no run on a healthy worker was stopped or lost its lease.
fn assert_runs_undisturbed(world: &World) {
    let expired: u64 = world.workers.iter().map(|worker| worker.expired_run_count).sum();
    assert_eq!(expired, 0, "leases expired on healthy workers");
    let stopped: u64 = world.workers.iter().map(|worker| worker.stopped).sum();
    assert_eq!(stopped, 0, "healthy runs were stopped");
}

/// A submitted job.
struct Submission {
    key: u64,
    request_id: RequestId,
    sent_ms: u64,
}

/// Submits `per_second` jobs per second at even intervals.
fn submit_traffic(world: &mut World, per_second: u64) -> Vec<Submission> {
    let mut sent = Vec::new();
    for number in 0..per_second * TRAFFIC_MS / 1_000 {
        let due_ms = number * 1_000 / per_second;
        let next_ms = (number + 1) * 1_000 / per_second;
        let key = 1 + number;
        let job = plan(&[step(2, 1_000, TASK_MS)]);
        let sent_ms = world.now_ms;
        let request_id =
            world.submit(key, job, queue(&format!("quick-{}", key % 3), (key % 3) as u32));
        sent.push(Submission { key, request_id, sent_ms });
        world.run(next_ms - due_ms);
    }
    sent
}

/// Failure: ends of runs were not noticed, workers stopped accepted work, and after the overload half of the jobs had
/// not completed. The leader had so many steps to examine that polls waited behind them for longer than a lease. It
/// accepted every submission meanwhile, so the next round took even longer. A leader that gets more work than it can
/// schedule should poll its workers in time, complete the accepted jobs in time, and refuse the rest at once.
fn test_overload(times: u64) {
    let mut world = cell();
    let sent = submit_traffic(&mut world, SCHEDULABLE_JOBS_PER_SECOND * times);
    world.run(MAX_COMPLETION_MS);
    let responses: BTreeMap<u64, Response> = world
        .responses
        .iter()
        .map(|(request_id, response)| (request_id.0, response.clone()))
        .collect();
    assert_runs_undisturbed(&world);
    let mut done = 0;
    for submission in &sent {
        let key = submission.key;
        let response = responses.get(&submission.request_id.0);
        let response_ms =
            world.responded_ms.get(&submission.request_id.0).map(|ms| ms - submission.sent_ms);
        let job = world.store.job(JobKey(key));
        match response {
            Some(Response::Refused { retry_after_ms, .. }) => {
                assert!(job.is_none(), "job {key} was refused and is stored");
                assert!(response_ms.is_some_and(|ms| ms < MAX_REFUSAL_MS), "{response_ms:?}");
                assert!((1_000..=3_000).contains(retry_after_ms), "{retry_after_ms}");
            }
            Some(Response::Done) => {
                assert!(
                    response_ms.is_some_and(|ms| ms < CLIENT_TIMEOUT_MS),
                    "job {key}: {response_ms:?}"
                );
                let job = job.expect("an accepted job is stored");
                assert_eq!(job.outcome, Outcome::Completed, "job {key} was accepted");
                let took_ms = job.ended_ms - job.accepted_ms;
                assert!(took_ms < MAX_COMPLETION_MS, "job {key} took {took_ms} ms");
                done += 1;
            }
            other => panic!("job {key}: {other:?}"),
        }
    }
    let possible = SCHEDULABLE_JOBS_PER_SECOND * TRAFFIC_MS / 1_000;
    assert!(done > possible / 2, "{done} jobs were completed, and {possible} could be scheduled");
}

#[test]
fn twice_the_schedulable_jobs_complete_or_are_refused_in_time() {
    test_overload(2);
}

#[test]
fn five_times_the_schedulable_jobs_complete_or_are_refused_in_time() {
    test_overload(5);
}

#[test]
fn twenty_times_the_schedulable_jobs_complete_or_are_refused_in_time() {
    test_overload(20);
}

/// Like [`test_overload`], but with a backlog of jobs for which there is no free capacity. They are accepted at no
/// cost, as if by a former leader. Examining them all takes `times` times the interval between two full rounds. Each
/// waiting job should start as capacity becomes free.
fn test_backlog(times: u64) {
    /// Interval between the leader's full rounds.
    const FULL_ROUND_INTERVAL_US: u64 = 100_000;
    const LONG_TASK_MS: u64 = 1_500;
    let mut world = cell();
    world.costs = None;
    let jobs = WORKERS as u64 + times * FULL_ROUND_INTERVAL_US / COSTS.step_us;
    for key in 1..=jobs {
        world.submit(key, plan(&[step(1, 8_000, LONG_TASK_MS as u32)]), queue("long", 1));
    }
    world.run(20);
    world.costs = Some(COSTS);
    // The jobs run in waves on all workers; as much time again is allowed for the leader.
    let waves = jobs.div_ceil(WORKERS as u64);
    world.run(2 * waves * LONG_TASK_MS + CLIENT_TIMEOUT_MS);
    assert_runs_undisturbed(&world);
    for key in 1..=jobs {
        let outcome = world.store.job(JobKey(key)).map(|job| job.outcome);
        assert_eq!(outcome, Some(Outcome::Completed), "job {key}");
    }
}

#[test]
fn a_backlog_of_twice_the_steps_of_a_round_is_worked_off() {
    test_backlog(2);
}

#[test]
fn a_backlog_of_five_times_the_steps_of_a_round_is_worked_off() {
    test_backlog(5);
}

#[test]
fn a_backlog_of_twenty_times_the_steps_of_a_round_is_worked_off() {
    test_backlog(20);
}

/// Creates a cell in which all workers are full and one becomes free every `freed_interval_ms` from now on. Another
/// `backlog` tasks wait. All tasks, running or waiting, need `cpu_milli`; a worker has 8,000 thousandths of a core.
fn full_cell(cpu_milli: u32, freed_interval_ms: u64, backlog: u64) -> World {
    /// By this time the leader has adapted the number of steps that a round may examine.
    const FIRST_END_MS: u64 = 3_000;
    let mut world = cell();
    world.costs = None;
    for number in 0..WORKERS as u64 {
        let estimate_ms = FIRST_END_MS + number * freed_interval_ms;
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

/// Failure: a small task of low urgency waited forever although there was capacity for it. Whenever a worker became
/// free the leader examined all more urgent steps first and did not get to it.
#[test]
fn each_step_is_examined_while_others_are_examined_all_the_time() {
    const MAX_START_MS: u64 = 2_000;
    let mut world = full_cell(7_500, 40, 140);
    world.submit(1_000, plan(&[step(1, 500, 10_000)]), queue("late", 2));
    world.run(MAX_START_MS);
    assert_runs_undisturbed(&world);
    let mut running = world.workers.iter().flat_map(|worker| worker.runs.keys());
    assert!(running.any(|task| task.step.job == JobKey(1_000)), "it has not started");
}

/// Failure: urgent jobs waited for seconds while workers became free one after the other. Each worker went to the step
/// that the scan had just reached, in a backlog of low urgency. Capacity should go to the first steps in scheduling
/// order.
#[test]
fn free_capacity_goes_to_urgent_work_before_a_scanned_backlog() {
    const BACKLOG: u64 = 80;
    const URGENT: u64 = 10;
    /// A worker becomes free at this interval.
    const FREED_INTERVAL_MS: u64 = 50;
    /// Additional time that the leader may take.
    const SLACK_MS: u64 = 1_000;
    let mut world = full_cell(8_000, FREED_INTERVAL_MS, BACKLOG);
    for key in 1_000..1_000 + URGENT {
        world.submit(key, plan(&[step(1, 8_000, 10_000)]), queue("urgent", 0));
    }
    world.run(URGENT * FREED_INTERVAL_MS + SLACK_MS);
    assert_runs_undisturbed(&world);
    let running = world.workers.iter().flat_map(|worker| worker.runs.keys());
    let urgent = running.filter(|task| task.step.job.0 >= 1_000).count() as u64;
    assert_eq!(urgent, URGENT, "urgent jobs that have started");
}

/// Clients that query or cancel a job get a response during overload.
#[test]
fn state_queries_and_cancellations_are_answered_during_overload() {
    let mut world = cell();
    let long = step(1, 1_000, 60_000);
    world.submit(100_000, plan(&[long]), queue("long", 1));
    world.run(1_000);
    submit_traffic(&mut world, SCHEDULABLE_JOBS_PER_SECOND * 20);
    let state = world.request(Request::State(JobKey(100_000), Requester::default()));
    let cancel = world.request(Request::Cancel(JobKey(100_000), Requester::default()));
    let repeated = world.submit(100_000, plan(&[step(1, 1_000, 60_000)]), queue("long", 1));
    world.run(MAX_REFUSAL_MS);
    assert!(
        matches!(world.response(state), Some(Response::State(_))),
        "{:?}",
        world.response(state)
    );
    assert_eq!(world.response(cancel), Some(&Response::Done));
    assert_eq!(world.response(repeated), Some(&Response::Done), "the job was accepted before");
    world.run(CLIENT_TIMEOUT_MS);
    let outcome = world.store.job(JobKey(100_000)).map(|job| job.outcome);
    assert_eq!(outcome, Some(Outcome::Cancelled));
}

/// Without overload no job is refused.
#[test]
fn half_of_the_schedulable_jobs_are_all_accepted() {
    let mut world = cell();
    let sent = submit_traffic(&mut world, SCHEDULABLE_JOBS_PER_SECOND / 2);
    world.run(MAX_COMPLETION_MS);
    assert_runs_undisturbed(&world);
    for Submission { key, request_id, .. } in sent {
        assert_eq!(world.response(request_id), Some(&Response::Done), "job {key}");
        let outcome = world.store.job(JobKey(key)).map(|job| job.outcome);
        assert_eq!(outcome, Some(Outcome::Completed), "job {key}");
    }
}
