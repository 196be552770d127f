//! Orders to workers, which are sent again if the response is late.
//!
//! If an order is lost or executed seconds late, its task waits for more than half a second until the run is abandoned
//! and marked as never started, and the task is assigned to another worker. Both copies of an order name the same run.
//! The worker executes the copy that arrives first, and responds to the other that it is already done.
//!
//! The futures of direct calls are boxed. They are large, and every order's future would otherwise reserve space for
//! two or three of them, most of it unused.

use std::{pin::pin, rc::Rc, time::Duration};

use lilacpass_core::Verdict;
use lilacpass_jobs::TaskName;
use lilacpass_lead::event::{CallError, PollResponse, Refusal};
use lilacpass_platform::workers::{self, PollOrder, StartOrder, Target};
use tokio::time;

use crate::{
    budget::RetryBudget,
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
/// If the relay does not report an outcome, the worker is polled directly and without a wait, because the relay has
/// failed rather than the worker. If the relay reports that the worker did not respond, the poll has failed.
pub async fn poll(
    node: &Rc<Node>,
    route: Route,
    target: Target<'_>,
    poll: PollOrder,
) -> Result<PollResponse, CallError> {
    let Some(relay) = route else {
        let result = Box::pin(node.workers.poll(target, poll)).await;
        node.relays.borrow_mut().record_direct_poll(target.name, result.is_ok());
        return result;
    };
    let order = relay_messages::poll(recipient(node, target), poll);
    let execution_timeout = Duration::from_millis(poll.wait_ms + poll.response_timeout_ms);
    match relay_client::execute(node, &relay, order, execution_timeout).await {
        RelayResult::Outcome(Ok(Some(response))) => Ok(response),
        // The relay reported success without a poll response, as it does for orders that are not polls.
        RelayResult::Outcome(Ok(None)) => Err(CallError::Failed(Verdict::MayHaveRun)),
        RelayResult::Outcome(Err(err)) => {
            if matches!(err, CallError::Failed(_)) {
                node.relays.borrow_mut().suspect_worker(target.name, &relay);
            }
            Err(err)
        }
        RelayResult::NoOutcome(_) => {
            Box::pin(node.workers.poll(target, PollOrder { wait_ms: 0, ..poll })).await
        }
    }
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
    Recipient { id: target.name.id(), address: target.address, fence_step }
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
    if is_conclusive(&other) { other } else { Err(CallError::Failed(Verdict::MayHaveRun)) }
}

/// Whether the response to one copy also settles the other. A refusal for a reason other than [`Refusal::Fence`] does
/// not: the other copy may arrive later, when the reason no longer holds, or may have arrived earlier and be the
/// reason.
fn is_conclusive(response: &Result<(), CallError>) -> bool {
    matches!(response, Ok(()) | Err(CallError::OtherLife | CallError::Refused(Refusal::Fence)))
}
