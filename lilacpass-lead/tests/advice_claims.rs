//! Which workers calls for advice name while other calls are in progress.

mod world;

use std::collections::BTreeSet;

use lilacpass_core::Resources;
use lilacpass_jobs::{EndReason, JobKey, RunEnd, StepName, WorkerName};
use lilacpass_lead::{
    Effect, Event,
    advice_claims::AdviceClaims,
    event::{Advice, Lane, Registration, ReportedEnd, Request, RequestId, Requester, WorkerTicket},
    fair_use::Band,
    rank::Rank,
};
use lilacpass_schema::v1;
use world::{
    fixture::{LeaderFixture, registration, starts},
    plan, queue, step,
};

const WORKERS: usize = 60;

fn worker(number: usize) -> WorkerName {
    format!("w-{number:02}").as_str().into()
}

/// A leader whose workers have capacity for one task of four cores each, and that has five lanes.
fn leader() -> LeaderFixture {
    let mut fixture = LeaderFixture::with_jobs(Vec::new());
    let lanes = (0..5).map(|number| Lane(number.to_string())).collect();
    fixture.handle(Event::Lanes(lanes));
    for number in 0..WORKERS {
        let capacity = Resources::new(4_000, 1_000, 0, 0);
        let registration = Registration { capacity, ..registration(worker(number)) };
        fixture.handle(Event::WorkerRegistered(registration));
        fixture.poll_answered(worker(number), &[], &[]);
    }
    fixture
}

/// Submits a job with one step of `count` tasks to a queue whose calls for advice are slow.
fn submit(fixture: &mut LeaderFixture, key: u64, count: u32, priority: u32) -> Vec<Effect> {
    let advice = v1::AdvicePolicy { base_ms: 500.0, per_worker_ms: 7.0, valid_ms: 2_500 };
    let name = format!("queue-{priority}");
    let queue = v1::QueuePolicy { advice: Some(advice), ..queue(&name, priority) };
    let plan = plan(&[step(count, 4_000, 5_000)]);
    let request = Request::Submit { job: JobKey(key), plan, queue, account: None };
    fixture.handle(Event::Request { request_id: RequestId(key), request })
}

/// The calls for advice among `effects`.
fn calls(effects: &[Effect]) -> Vec<(Lane, StepName, Vec<WorkerName>)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::RequestAdvice { lane, step, workers, .. } => {
                Some((lane.clone(), *step, workers.clone()))
            }
            _ => None,
        })
        .collect()
}

/// Answers a call: the step may run on each third worker that it names.
fn answer(fixture: &mut LeaderFixture, call: &(Lane, StepName, Vec<WorkerName>)) -> Vec<Effect> {
    let (lane, step, queried) = call.clone();
    let allowed = queried.iter().step_by(3);
    let good = allowed
        .map(|worker| WorkerTicket { worker: worker.clone(), ticket: "ticket".to_owned() })
        .collect();
    let advice = Some(Advice { good, valid_ms: 2_500 });
    fixture.handle(Event::AdviceReceived { lane, step, queried, advice })
}

/// Failure: twenty calls in progress named the same workers with free capacity, all but the first response found it
/// taken, and a sixth of a cell stayed free while a hundred steps waited for advice.
#[test]
fn calls_in_progress_name_workers_with_capacity_of_their_own() {
    let mut fixture = leader();
    let mut in_progress = Vec::new();
    for key in 1..=3 {
        in_progress.extend(calls(&submit(&mut fixture, key, 4, 2)));
    }
    assert_eq!(in_progress.len(), 3);
    let mut started = 0;
    let mut named_first = BTreeSet::new();
    for call in &in_progress {
        named_first.insert(call.2[0].clone());
        started += starts(&answer(&mut fixture, call)).len();
    }
    assert_eq!(started, 12, "all tasks start with one call for each step");
    assert_eq!(named_first.len(), 3);
}

/// Failure: capacity that calls of large steps are about to use keeps an urgent step from asking for advice.
#[test]
fn claims_of_later_steps_do_not_count_for_an_urgent_one() {
    let mut fixture = leader();
    for key in 1..=3 {
        submit(&mut fixture, key, 40, 2);
    }
    let urgent = calls(&submit(&mut fixture, 9, 10, 0));
    assert_eq!(urgent.len(), 1);
    assert!(urgent[0].2.len() >= 25, "{} workers named", urgent[0].2.len());
}

/// Failure: a lane is lost with its call, or the job is cancelled during the call, and its claims remain.
#[test]
fn claims_end_with_the_call_and_with_the_job() {
    let rank = |job: u64| Rank {
        is_beyond_share: false,
        priority: 1,
        band: Band::FIRST,
        late_from_ms: job,
        step: StepName { job: JobKey(job), occurrence: 0, step: 0 },
    };
    let cores = |count: u64| Resources::new(count * 1_000, 0, 0, 0);
    let mut claims = AdviceClaims::default();
    claims.set(rank(1), vec![(worker(1), cores(2)), (worker(2), cores(1))]);
    claims.set(rank(2), vec![(worker(1), cores(3))]);
    assert_eq!(claims.claimed_before(&rank(3), &worker(1)), cores(5));
    assert_eq!(claims.claimed_before(&rank(2), &worker(1)), cores(2));
    claims.release(rank(1).step);
    assert_eq!(claims.claimed_before(&rank(3), &worker(1)), cores(3));
    claims.release(rank(2).step);
    assert!(claims.is_empty());

    let mut fixture = leader();
    let first = calls(&submit(&mut fixture, 1, 20, 2));
    let lost = Event::AdviceReceived {
        lane: first[0].0.clone(),
        step: first[0].1,
        queried: first[0].2.clone(),
        advice: None,
    };
    fixture.handle(lost);
    let request = Request::Cancel(JobKey(1), Requester::default());
    fixture.handle(Event::Request { request_id: RequestId(100), request });
    let next = calls(&submit(&mut fixture, 2, 20, 2));
    assert_eq!(next[0].2, first[0].2, "the next step may use the same capacity");
}

/// Failure: a step whose tickets had expired asked about workers that it knew nothing of, of which a third is allowed,
/// and not about those that it knew to be allowed.
#[test]
fn a_step_that_asks_again_names_the_workers_that_it_may_use() {
    let mut fixture = leader();
    let call = calls(&submit(&mut fixture, 1, 40, 2)).remove(0);
    // Other work takes all workers while the call is in progress.
    let others = starts(&fixture.submit(2, &[step(WORKERS as u32, 4_000, 60_000)]));
    assert_eq!(others.len(), WORKERS);
    assert!(starts(&answer(&mut fixture, &call)).is_empty());
    let allowed: BTreeSet<WorkerName> = call.2.iter().step_by(3).cloned().collect();
    for _ in 0..60 {
        fixture.now_ms += 50;
        assert!(calls(&fixture.handle(Event::Tick)).is_empty(), "nothing is free");
    }
    // The tickets have expired. A run ends on an allowed worker.
    let (worker, task, run) =
        others.iter().find(|(worker, ..)| allowed.contains(worker)).expect("an allowed worker");
    let end = RunEnd { run: *run, reason: EndReason::Done, checkpoint: String::new() };
    let ends = [ReportedEnd { number: 1, task: *task, end }];
    let mut effects = fixture.poll_answered(worker.clone(), &[], &ends);
    fixture.now_ms += 50;
    effects.extend(fixture.handle(Event::Tick));
    let again = calls(&effects);
    let named: BTreeSet<WorkerName> = again.iter().flat_map(|call| call.2.clone()).collect();
    assert!(named.is_superset(&allowed), "{named:?}");
}
