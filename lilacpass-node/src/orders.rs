//! Orders to workers, which are sent again if the response is late.
//!
//! If an order is lost or executed seconds late, its task waits for more than half a second until the run is abandoned
//! and marked as never started, and the task is assigned to another worker. Both copies of an order name the same run.
//! The worker executes the copy that arrives first, and responds to the other that it is already done.
//!
//! The futures of direct calls are boxed. They are large, and every order's future would otherwise reserve space for
//! two or three of them, most of it unused.

use std::{pin::pin, rc::Rc, time::Duration};

use lilacpass_core::{RetryBudget, Verdict};
use lilacpass_jobs::TaskName;
use lilacpass_lead::event::{CallError, PollResponse, Refusal};
use lilacpass_platform::workers::{self, PollOrder, StartOrder, Target};
use tokio::time;

use crate::{
    clock,
    node::Node,
    relay_client,
    relay_messages::{self, Order, Recipient},
    relays::RelayResult,
};

/// Address of the relay that forwards an order; `None` if the leader sends it directly.
pub type Route = Option<Rc<str>>;

/// Time without a response after which an order is sent again. Healthy workers respond within 5 ms, and a busy leader
/// handles the response some tens of milliseconds later.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// Polls a worker.
///
/// If the relay does not report an outcome, the worker is polled again without a wait, because the relay has failed
/// rather than the worker: through another relay, and directly only if there is none. A relay holds the polls of
/// hundreds of workers, and the leader cannot open that many connections at once when it is lost. If a relay reports
/// that the worker did not respond, the poll has failed.
pub async fn poll(
    node: &Rc<Node>,
    route: Route,
    target: Target<'_>,
    poll: PollOrder,
) -> Result<PollResponse, CallError> {
    let Some(relay) = route else { return poll_directly(node, target, poll).await };
    if let Some(result) = poll_through_relay(node, &relay, target, poll).await {
        return result;
    }
    let poll = PollOrder { wait_ms: 0, ..poll };
    let other = node.relays.borrow().any_relay_but(&relay, target.name.id());
    match other {
        Some(other) => {
            let result = poll_through_relay(node, &other, target, poll).await;
            result.unwrap_or(Err(CallError::Failed(Verdict::MayHaveRun)))
        }
        None => poll_directly(node, target, poll).await,
    }
}

async fn poll_directly(
    node: &Rc<Node>,
    target: Target<'_>,
    poll: PollOrder,
) -> Result<PollResponse, CallError> {
    let result = Box::pin(node.workers.poll(target, poll)).await;
    let now_ms = clock::now().steady_ms;
    node.relays.borrow_mut().record_poll(target.name, None, result.is_ok(), now_ms);
    result
}

/// Polls a worker through a relay. Returns `None` if the relay does not report an outcome.
async fn poll_through_relay(
    node: &Rc<Node>,
    relay: &Rc<str>,
    target: Target<'_>,
    poll: PollOrder,
) -> Option<Result<PollResponse, CallError>> {
    let order = relay_messages::poll(recipient(node, target), poll);
    let execution_timeout = Duration::from_millis(poll.wait_ms + poll.response_timeout_ms);
    let result = relay_client::execute(node, relay, order, execution_timeout).await;
    let now_ms = clock::now().steady_ms;
    let mut relays = node.relays.borrow_mut();
    let outcome = match result {
        RelayResult::NoOutcome(_) => return None,
        RelayResult::Outcome(outcome) => outcome,
    };
    relays.record_poll(target.name, Some(relay), outcome.is_ok(), now_ms);
    if matches!(outcome, Err(CallError::Failed(_))) {
        relays.suspect_worker(target.name, relay, now_ms);
    }
    // A relay reports success without a poll response for orders that are not polls.
    Some(outcome.and_then(|response| response.ok_or(CallError::Failed(Verdict::MayHaveRun))))
}

/// Starts a run.
pub async fn start(
    node: &Rc<Node>,
    route: Route,
    target: Target<'_>,
    start: StartOrder<'_>,
) -> Result<(), CallError> {
    let order = || relay_messages::start(recipient(node, target), start);
    send_order(node, route, order, || Box::pin(node.workers.start(target, start))).await
}

/// Stops a run, or prevents it from starting later.
pub async fn stop(
    node: &Rc<Node>,
    route: Route,
    target: Target<'_>,
    task: TaskName,
    run: u32,
) -> Result<(), CallError> {
    let order = || relay_messages::stop(recipient(node, target), task, run);
    send_order(node, route, order, || Box::pin(node.workers.stop(target, task, run))).await
}

/// The worker of an order as relays are told of it.
fn recipient<'a>(node: &Node, target: Target<'a>) -> Recipient<'a> {
    let fence_step = target.fence.saturating_sub(node.relays.borrow().epoch());
    let Target { name, address, .. } = target;
    Recipient { id: name.id(), started_ms: name.started_ms(), address, fence_step }
}

/// Sends an order through the relay, if there is one, and directly if the response is late.
async fn send_order<F>(
    node: &Rc<Node>,
    route: Route,
    order: impl FnOnce() -> Order,
    send: impl Fn() -> F,
) -> Result<(), CallError>
where
    F: Future<Output = Result<(), CallError>>,
{
    let Some(relay) = route else { return send_with_retry(&node.order_budget, send).await };
    let first = send_through_relay(node, &relay, order(), &send);
    resend_if_late(&node.order_budget, first, &send).await
}

/// Sends an order through a relay, or directly if the relay certainly did not execute it.
async fn send_through_relay<F>(
    node: &Rc<Node>,
    relay: &Rc<str>,
    order: Order,
    send: impl Fn() -> F,
) -> Result<(), CallError>
where
    F: Future<Output = Result<(), CallError>>,
{
    match relay_client::execute(node, relay, order, workers::ORDER_TIMEOUT).await {
        RelayResult::Outcome(Ok(_)) => Ok(()),
        RelayResult::Outcome(Err(CallError::Failed(Verdict::NotRun)))
        | RelayResult::NoOutcome(Verdict::NotRun) => send().await,
        RelayResult::Outcome(Err(err)) => Err(err),
        RelayResult::NoOutcome(_) => Err(CallError::Failed(Verdict::MayHaveRun)),
    }
}

/// Sends an order, and sends it again if the response is late and the budget permits. Returns the first response that
/// is conclusive for both copies.
pub async fn send_with_retry<F>(budget: &RetryBudget, send: impl Fn() -> F) -> Result<(), CallError>
where
    F: Future<Output = Result<(), CallError>>,
{
    resend_if_late(budget, send(), &send).await
}

/// As [`send_with_retry`], with a first copy that may take another route.
async fn resend_if_late<F>(
    budget: &RetryBudget,
    first: impl Future<Output = Result<(), CallError>>,
    send: impl Fn() -> F,
) -> Result<(), CallError>
where
    F: Future<Output = Result<(), CallError>>,
{
    budget.earn();
    let mut first = pin!(first);
    if let Ok(result) = time::timeout(RESEND_DELAY, &mut first).await {
        return result;
    }
    if !budget.spend() {
        return first.await;
    }
    let mut second = pin!(send());
    let (response, first_responded) = tokio::select! {
        response = &mut first => (response, true),
        response = &mut second => (response, false),
    };
    if is_conclusive(&response) {
        return response;
    }
    let other = if first_responded { second.await } else { first.await };
    if is_conclusive(&other) {
        return other;
    }
    if is_unsent(&response) && is_unsent(&other) {
        let names_other = response == Err(CallError::OtherIncarnation);
        return if names_other { response } else { other };
    }
    Err(CallError::Failed(Verdict::MayHaveRun))
}

/// Whether a copy was certainly not sent to the worker.
fn is_unsent(response: &Result<(), CallError>) -> bool {
    matches!(response, Err(CallError::OtherIncarnation | CallError::Failed(Verdict::NotRun)))
}

/// Whether the response to one copy also settles the other. A refusal for a reason other than [`Refusal::Fence`] does
/// not: the other copy may arrive later, when the reason no longer holds, or may have arrived earlier and be the
/// reason. Nor does [`CallError::OtherIncarnation`]: a relay of an earlier version sends its copy to any incarnation.
fn is_conclusive(response: &Result<(), CallError>) -> bool {
    matches!(response, Ok(()) | Err(CallError::OtherWorker | CallError::Refused(Refusal::Fence)))
}
