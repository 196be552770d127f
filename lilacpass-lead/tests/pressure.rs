//! Tests when a leader counts as behind, how it scans the waiting steps then, and when it refuses new jobs.

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, StepName};
use lilacpass_lead::{
    Effect, Event, Leader, Now, Options,
    event::{Request, RequestId, Response},
    fair_use::Band,
    pressure::{Level, Pressure},
    rank::Rank,
    scan::Scan,
    waiting::{StepKind, WaitingSteps},
};
use lilacpass_schema::v1;

/// Interval between two ticks in ms.
const TICK_MS: u64 = 50;
/// Number of submissions in one batch, several times as many as a round may examine.
const SUBMISSIONS: u64 = 3_000;

fn at(steady_ms: u64) -> Now {
    Now { steady_ms, unix_ms: 1_800_000_000_000 + steady_ms }
}

/// Ticks `count` times, each `late_ms` late, and returns the time and the last change of the level.
fn tick(pressure: &mut Pressure, from_ms: u64, late_ms: u64, count: u64) -> (u64, Option<Level>) {
    let mut now_ms = from_ms;
    let mut level = None;
    for _ in 0..count {
        now_ms += TICK_MS + late_ms;
        level = pressure.tick(0, 0, at(now_ms)).or(level);
    }
    (now_ms, level)
}

#[test]
fn a_leader_that_was_suspended_does_not_count_as_behind() {
    let mut pressure = Pressure::new(at(0));
    let (now_ms, level) = tick(&mut pressure, 0, 7_000, 1);
    assert_eq!(level, None);
    let (_, level) = tick(&mut pressure, now_ms, 0, 20);
    assert_eq!(level, None);
    assert_eq!(pressure.check_refusal(0, at(now_ms)), None);
}

#[test]
fn new_jobs_are_refused_from_a_long_delay_until_it_is_short_again() {
    let mut pressure = Pressure::new(at(0));
    let (now_ms, level) = tick(&mut pressure, 0, 200, 4);
    assert_eq!(level, Some(Level::Behind));
    assert_eq!(pressure.check_refusal(0, at(now_ms)), None, "the leader is only slightly behind");
    let (now_ms, level) = tick(&mut pressure, now_ms, 2_000, 4);
    assert_eq!(level, Some(Level::Refuses));
    assert_eq!(
        pressure.check_refusal(0, at(now_ms)),
        Some(2_000),
        "the leader should have caught up by then"
    );
    let (now_ms, _) = tick(&mut pressure, now_ms, 500, 4);
    assert!(
        pressure.check_refusal(0, at(now_ms)).is_some(),
        "the leader keeps refusing until the delay is below the lower limit"
    );
    let (now_ms, _) = tick(&mut pressure, now_ms, 0, 1);
    assert_eq!(pressure.check_refusal(0, at(now_ms)), None);
    let (_, level) = tick(&mut pressure, now_ms, 0, 30);
    assert_eq!(level, Some(Level::KeepsUp));
}

#[test]
fn a_round_examines_fewer_steps_while_ticks_are_late_and_more_when_cut_short() {
    let mut pressure = Pressure::new(at(0));
    let initial = pressure.max_steps_per_round();
    let (now_ms, _) = tick(&mut pressure, 0, 300, 20);
    let fewest = pressure.max_steps_per_round();
    assert!(fewest > 0 && fewest < initial / 8, "{fewest} of {initial}");
    let (mut now_ms, _) = tick(&mut pressure, now_ms, 0, 5);
    assert_eq!(pressure.max_steps_per_round(), fewest, "rounds have examined all due steps");
    for _ in 0..20 {
        pressure.record_cut_round();
        (now_ms, _) = tick(&mut pressure, now_ms, 0, 1);
    }
    assert!(pressure.max_steps_per_round() > initial);
}

fn rank(number: u64) -> Rank {
    let step = StepName { job: JobKey(number), occurrence: 0, step: 0 };
    Rank {
        is_beyond_share: false,
        priority: 1,
        band: Band::FIRST,
        late_from_ms: 1_000 + number,
        step,
    }
}

/// Failure: a step waited forever because more urgent steps arrived all the time and a round examines only a few.
#[test]
fn a_scan_reaches_each_waiting_step_although_others_arrive_before_it() {
    let mut waiting = WaitingSteps::default();
    for number in 1_000..1_100 {
        waiting.add(rank(number).step, StepKind::Plain, Resources::ZERO, 0, || rank(number));
    }
    let mut scan = Scan::default();
    scan.start(None, at(0));
    let mut examined = Vec::new();
    for number in 0..30 {
        waiting.add(rank(number).step, StepKind::Plain, Resources::ZERO, 0, || rank(number));
        examined.extend(scan.next(&waiting, 8, at(number)));
        if !scan.is_active() {
            break;
        }
    }
    assert!(!scan.is_active(), "the scan ends");
    for number in 1_000..1_100 {
        assert!(examined.contains(&rank(number).step), "step {number}");
    }
}

fn submit(key: u64) -> Event {
    let step = v1::WorkStep { count: 1, cpu_milli: 1_000, memory_mb: 10, ..Default::default() };
    let plan = v1::WorkPlan { payload: "do".to_owned(), steps: vec![step], ..Default::default() };
    let queue =
        v1::QueuePolicy { name: "q".to_owned(), service: "pool".to_owned(), ..Default::default() };
    Event::Request {
        request_id: RequestId(key),
        request: Request::Submit { job: JobKey(key), plan, queue, account: None },
    }
}

/// Submits a batch of jobs and returns the requests that were refused.
fn submit_batch(leader: &mut Leader, now: Now) -> Vec<u64> {
    for key in 0..SUBMISSIONS {
        leader.handle(submit(key), now);
    }
    let refused = leader.finish(now).into_iter().filter_map(|effect| match effect {
        Effect::Reply { request_id, response: Response::Refused { .. } } => Some(request_id.0),
        _ => None,
    });
    refused.collect()
}

#[test]
fn submissions_beyond_what_can_be_examined_soon_are_refused_at_once() {
    let mut leader = Leader::new(Options::default(), Vec::new(), at(0));
    let refused = submit_batch(&mut leader, at(10));
    assert!(refused.len() > 1_000 && refused.len() < SUBMISSIONS as usize, "{}", refused.len());
    leader.handle(submit(0), at(20));
    let effects = leader.finish(at(20));
    let is_refused = |effect: &Effect| {
        matches!(effect, Effect::Reply { response: Response::Refused { .. }, .. })
    };
    assert!(
        !effects.iter().any(is_refused),
        "an accepted job is not refused when it is submitted again"
    );
}

/// Failure: a client's job was refused, so that it should never run, but it ran. The leader had been replaced without
/// knowing it, and its successor had accepted the job.
#[test]
fn a_leader_that_may_have_been_replaced_refuses_no_job_for_overload() {
    let mut leader = Leader::new(Options::default(), Vec::new(), at(0));
    let refused = submit_batch(&mut leader, at(2_000));
    assert_eq!(refused, [0; 0]);
}
