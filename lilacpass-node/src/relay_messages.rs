//! Conversion of orders and their outcomes to and from the messages between the leader and its relays.

use std::sync::Arc;

use lilacpass_core::Verdict;
use lilacpass_jobs::{JobKey, RunEnd, StepName, TaskName};
use lilacpass_lead::event::{CallError, PollResponse, Refusal, ReportedEnd, ReportedRun};
use lilacpass_platform::workers::{PollOrder, StartOrder};
use lilacpass_schema::v1;

/// An order that has no number yet, and the payload if it is a start.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The order; the index of its payload is set when it is sent.
    pub message: v1::RelayedOrder,
    /// Payload of a start; `None` for other orders.
    pub payload: Option<Arc<str>>,
}

/// The worker that an order is for.
#[derive(Clone, Copy, Debug)]
pub struct Recipient<'a> {
    /// Id of the worker.
    pub id: &'a str,
    /// When the incarnation that the order is meant for began, in milliseconds since 1970; `None` if that is unknown.
    pub started_ms: Option<u64>,
    /// Address of the worker, as `ip:port`.
    pub address: &'a str,
    /// Added to the epoch to obtain the fence of the order.
    pub fence_step: u64,
}

impl Recipient<'_> {
    /// An order to the worker that has neither a number nor a content yet.
    fn order(self) -> v1::RelayedOrder {
        v1::RelayedOrder {
            worker: self.id.to_owned(),
            worker_started_ms: self.started_ms,
            address: self.address.to_owned(),
            fence_step: self.fence_step,
            ..Default::default()
        }
    }
}

/// Encodes a poll of a worker.
pub fn poll(recipient: Recipient<'_>, poll: PollOrder) -> Order {
    let relayed_poll = v1::RelayedLook {
        lease_until_ms: poll.lease_until_ms,
        forget_upto: poll.forget_up_to,
        wait_ms: poll.wait_ms as u32,
        answer_ms: poll.response_timeout_ms as u32,
    };
    let message = v1::RelayedOrder { look: Some(relayed_poll), ..recipient.order() };
    Order { message, payload: None }
}

/// Encodes a start.
pub fn start(recipient: Recipient<'_>, start: StartOrder<'_>) -> Order {
    let payload = Some(start.payload.clone());
    let start = v1::RelayedStart {
        run: Some(write_run(start.task, start.run)),
        payload: 0,
        lease_until_ms: start.lease_until_ms,
        checkpoint: start.checkpoint.to_owned(),
        ticket: start.ticket.map(str::to_owned),
    };
    let message = v1::RelayedOrder { start: Some(start), ..recipient.order() };
    Order { message, payload }
}

/// Encodes a stop.
pub fn stop(recipient: Recipient<'_>, task: TaskName, run: u32) -> Order {
    let stop = v1::RelayedStop { run: Some(write_run(task, run)) };
    let message = v1::RelayedOrder { stop: Some(stop), ..recipient.order() };
    Order { message, payload: None }
}

/// Encodes a run.
fn write_run(task: TaskName, run: u32) -> v1::RelayedRun {
    let TaskName { step: StepName { job, occurrence, step }, index } = task;
    v1::RelayedRun { job: job.0, occurrence, step, index, run }
}

/// Decodes a run; `None` if it is missing.
pub fn read_run(run: Option<&v1::RelayedRun>) -> Option<(TaskName, u32)> {
    let v1::RelayedRun { job, occurrence, step, index, run } = *run?;
    Some((StepName { job: JobKey(job), occurrence, step }.task(index), run))
}

/// Decodes a poll.
pub fn read_poll(message: &v1::RelayedLook) -> PollOrder {
    PollOrder {
        lease_until_ms: message.lease_until_ms,
        forget_up_to: message.forget_upto,
        wait_ms: u64::from(message.wait_ms),
        response_timeout_ms: u64::from(message.answer_ms),
    }
}

/// Encodes the outcome of an order.
pub fn order_outcome(number: u64, result: Result<(), CallError>) -> v1::RelayedOutcome {
    let outcome = match result {
        Ok(()) => v1::OrderOutcome::OrderDone,
        Err(CallError::Failed(Verdict::NotRun)) => v1::OrderOutcome::OrderNotRun,
        Err(CallError::Failed(Verdict::MayHaveRun | Verdict::Ran)) => {
            v1::OrderOutcome::OrderUncertain
        }
        Err(CallError::OtherWorker) => v1::OrderOutcome::OrderOtherLife,
        Err(CallError::OtherIncarnation) => v1::OrderOutcome::OrderOtherIncarnation,
        Err(CallError::Refused(refusal)) => match refusal {
            Refusal::Fence => v1::OrderOutcome::OrderRefusedFence,
            Refusal::Old => v1::OrderOutcome::OrderRefusedOld,
            Refusal::Late => v1::OrderOutcome::OrderRefusedLate,
            Refusal::Room => v1::OrderOutcome::OrderRefusedRoom,
            Refusal::Ticket => v1::OrderOutcome::OrderRefusedTicket,
            Refusal::Unhealthy => v1::OrderOutcome::OrderRefusedUnhealthy,
            Refusal::Malformed => v1::OrderOutcome::OrderRefusedMalformed,
        },
    };
    let mut message = v1::RelayedOutcome { number, ..Default::default() };
    message.set_outcome(outcome);
    message
}

/// Encodes the outcome of a poll.
pub fn poll_outcome(number: u64, result: Result<PollResponse, CallError>) -> v1::RelayedOutcome {
    match result {
        Ok(response) => {
            let answer = Some(write_poll_response(response));
            v1::RelayedOutcome { answer, ..order_outcome(number, Ok(())) }
        }
        Err(err) => order_outcome(number, Err(err)),
    }
}

/// Decodes the outcome of an order, with the worker's response if it is a poll that succeeded.
///
/// An outcome that is malformed counts as no outcome: the order may have been executed.
pub fn read_outcome(message: v1::RelayedOutcome) -> Result<Option<PollResponse>, CallError> {
    let refused = |refusal| Err(CallError::Refused(refusal));
    match message.outcome() {
        v1::OrderOutcome::OrderUncertain => Err(CallError::Failed(Verdict::MayHaveRun)),
        v1::OrderOutcome::OrderNotRun => Err(CallError::Failed(Verdict::NotRun)),
        v1::OrderOutcome::OrderOtherLife => Err(CallError::OtherWorker),
        v1::OrderOutcome::OrderOtherIncarnation => Err(CallError::OtherIncarnation),
        v1::OrderOutcome::OrderRefusedFence => refused(Refusal::Fence),
        v1::OrderOutcome::OrderRefusedOld => refused(Refusal::Old),
        v1::OrderOutcome::OrderRefusedLate => refused(Refusal::Late),
        v1::OrderOutcome::OrderRefusedRoom => refused(Refusal::Room),
        v1::OrderOutcome::OrderRefusedTicket => refused(Refusal::Ticket),
        v1::OrderOutcome::OrderRefusedUnhealthy => refused(Refusal::Unhealthy),
        v1::OrderOutcome::OrderRefusedMalformed => refused(Refusal::Malformed),
        v1::OrderOutcome::OrderDone => match message.answer {
            None => Ok(None),
            Some(response) => {
                read_poll_response(response).map(Some).ok_or(CallError::Failed(Verdict::MayHaveRun))
            }
        },
    }
}

fn write_poll_response(response: PollResponse) -> v1::RelayedAnswer {
    let running = |row: ReportedRun| v1::RelayedRunning {
        run: Some(write_run(row.task, row.run)),
        checkpoint: row.checkpoint,
        percent: row.percent,
        gauge: row.gauge,
    };
    let end = |row: ReportedEnd| v1::RelayedEnd {
        number: row.number,
        run: Some(write_run(row.task, row.end.run)),
        how: row.end.reason.as_str().to_owned(),
        checkpoint: row.end.checkpoint,
    };
    v1::RelayedAnswer {
        worker_started_ms: response.worker_started_ms,
        clock_ms: response.clock_ms,
        running: response.running.into_iter().map(running).collect(),
        ends: response.ends.into_iter().map(end).collect(),
        remaining_ms: response.remaining_ms,
    }
}

/// Decodes the response to a poll. Returns `None` if a row does not name its run, or if the reason of an end is
/// unknown: a run that is left out would count as gone, and its task would run twice.
fn read_poll_response(response: v1::RelayedAnswer) -> Option<PollResponse> {
    let running = |row: v1::RelayedRunning| {
        let (task, run) = read_run(row.run.as_ref())?;
        let v1::RelayedRunning { checkpoint, percent, gauge, .. } = row;
        Some(ReportedRun { task, run, checkpoint, percent, gauge })
    };
    let end = |row: v1::RelayedEnd| {
        let (task, run) = read_run(row.run.as_ref())?;
        let reason = row.how.parse().ok()?;
        Some(ReportedEnd {
            number: row.number,
            task,
            end: RunEnd { run, reason, checkpoint: row.checkpoint },
        })
    };
    Some(PollResponse {
        worker_started_ms: response.worker_started_ms,
        clock_ms: response.clock_ms,
        running: response.running.into_iter().map(running).collect::<Option<_>>()?,
        ends: response.ends.into_iter().map(end).collect::<Option<_>>()?,
        remaining_ms: response.remaining_ms,
    })
}
