//! Encoding of orders and outcomes between the leader and a relay.

use lilacpass_core::Verdict;
use lilacpass_jobs::{EndReason, JobKey, RunEnd, StepName};
use lilacpass_lead::event::{CallError, PollResponse, Refusal, ReportedEnd, ReportedRun};
use lilacpass_node::relay_messages::{self, Recipient};
use lilacpass_schema::v1;
use prost::Message;

fn poll_response() -> PollResponse {
    let step = StepName { job: JobKey(u64::MAX), occurrence: 3, step: 1 };
    let running = ReportedRun {
        task: step.task(7),
        run: 2,
        checkpoint: "saved".to_owned(),
        percent: 40,
        gauge: 9,
    };
    let end = RunEnd { run: 1, reason: EndReason::GangBroken, checkpoint: String::new() };
    PollResponse {
        worker_started_ms: Some(1_800_000_000_123),
        clock_ms: 900_000,
        running: vec![running],
        ends: vec![ReportedEnd { number: 5, task: step.task(0), end }],
        remaining_ms: Some(0),
    }
}

fn round_trip(message: v1::RelayedOutcome) -> v1::RelayedOutcome {
    v1::RelayedOutcome::decode(message.encode_to_vec().as_slice()).expect("an outcome")
}

#[test]
fn outcomes_survive_encoding() {
    let polled = round_trip(relay_messages::poll_outcome(4, Ok(poll_response())));
    assert_eq!(polled.number, 4);
    assert_eq!(relay_messages::read_outcome(polled), Ok(Some(poll_response())));
    let refusals = [
        Refusal::Fence,
        Refusal::Old,
        Refusal::Late,
        Refusal::Room,
        Refusal::Ticket,
        Refusal::Unhealthy,
        Refusal::Malformed,
    ];
    let errors = refusals.map(CallError::Refused).into_iter().chain([
        CallError::OtherWorker,
        CallError::OtherIncarnation,
        CallError::Failed(Verdict::NotRun),
        CallError::Failed(Verdict::MayHaveRun),
    ]);
    for error in errors {
        let sent = round_trip(relay_messages::order_outcome(1, Err(error.clone())));
        assert_eq!(relay_messages::read_outcome(sent), Err(error));
    }
    let done = round_trip(relay_messages::order_outcome(1, Ok(())));
    assert_eq!(relay_messages::read_outcome(done), Ok(None));
}

/// Guards against running a task twice: a damaged response did not name a run, and the leader considered that run
/// gone. A response with an unknown reason of an end is rejected as well.
#[test]
fn a_poll_response_with_a_row_without_a_run_is_rejected() {
    let mut sent = relay_messages::poll_outcome(4, Ok(poll_response()));
    sent.answer.as_mut().expect("a response").running[0].run = None;
    let uncertain = Err(CallError::Failed(Verdict::MayHaveRun));
    assert_eq!(relay_messages::read_outcome(sent), uncertain);
    let mut sent = relay_messages::poll_outcome(4, Ok(poll_response()));
    sent.answer.as_mut().expect("a response").ends[0].how = "finished".to_owned();
    assert_eq!(relay_messages::read_outcome(sent), uncertain);
}

/// A newer version may report an outcome that this one does not know: the order may have been executed.
#[test]
fn an_unknown_outcome_is_uncertain() {
    let sent = v1::RelayedOutcome { number: 1, outcome: 99, answer: None };
    assert_eq!(relay_messages::read_outcome(sent), Err(CallError::Failed(Verdict::MayHaveRun)));
}

/// Guards against a relay that sends an order under the fence of a former incarnation of the worker, which the worker
/// refuses, and against one that sends it to another incarnation.
#[test]
fn an_order_names_its_incarnation_and_carries_the_fence_step() {
    let recipient =
        Recipient { id: "w-1", started_ms: Some(7), address: "10.0.0.1:80", fence_step: 3 };
    let task = StepName { job: JobKey(1), occurrence: 0, step: 0 }.task(0);
    let message = relay_messages::stop(recipient, task, 1).message;
    let sent = v1::RelayedOrder::decode(message.encode_to_vec().as_slice()).expect("an order");
    assert_eq!((sent.worker.as_str(), sent.fence_step), ("w-1", 3));
    assert_eq!(sent.worker_started_ms, Some(7));
}
