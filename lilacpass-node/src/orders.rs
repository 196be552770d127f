//! Orders to workers, sent again where the answer is late.
//!
//! An order that was lost, or that is carried out seconds later, costs its task over half a second
//! until it is given up, made void and given to another worker. Both copies name the same run, and a
//! worker carries out the first to arrive; the other is answered as done already.

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
    relay_messages::{self, Order},
    relays::RelayResult,
};

/// The relay by which an order goes; none where it is sent from here.
///
/// Calls from here stand in boxes of their own: they are large, and each order would else move room for
/// two or three of them about, most of it never used.
pub type Route = Option<Rc<str>>;

/// An order is sent again after so long. Sound workers answer within 5 ms, and a busy leader handles
/// the answer some tens of milliseconds later.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// Looks at a worker.
///
/// A look of which the relay tells nothing is made again from here, without a wait: the relay is gone, and its
/// workers are not. One that the relay says the worker did not answer has failed.
pub async fn poll(
    node: &Rc<Node>,
    route: Route,
    target: Target<'_>,
    look: PollOrder,
) -> Result<PollResponse, CallError> {
    let Some(relay) = route else {
        let result = Box::pin(node.workers.poll(target, look)).await;
        node.relays.borrow_mut().record_direct_poll(target.name, result.is_ok());
        return result;
    };
    let order = relay_messages::poll(target.name.as_str(), target.address, look);
    let execution_timeout = Duration::from_millis(look.wait_ms + look.response_timeout_ms);
    match relay_client::execute(node, &relay, order, execution_timeout).await {
        RelayResult::Outcome(Ok(Some(answer))) => Ok(answer),
        // An answer to something else.
        RelayResult::Outcome(Ok(None)) => Err(CallError::Failed(Verdict::MayHaveRun)),
        RelayResult::Outcome(Err(err)) => {
            if matches!(err, CallError::Failed(_)) {
                node.relays.borrow_mut().suspect_worker(target.name, &relay);
            }
            Err(err)
        }
        RelayResult::Lost(_) => {
            Box::pin(node.workers.poll(target, PollOrder { wait_ms: 0, ..look })).await
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
    let order = || relay_messages::start(target.name.as_str(), target.address, start);
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
    let order = || relay_messages::stop(target.name.as_str(), target.address, task, run);
    send_order(node, route, order, || Box::pin(node.workers.stop(target, task, run))).await
}

/// Gives an order, by way of the relay if there is one, and from here if its answer is late.
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

/// Has a relay carry an order out. One that surely was not is sent from here.
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
        | RelayResult::Lost(Verdict::NotRun) => send().await,
        RelayResult::Outcome(Err(err)) => Err(err),
        RelayResult::Lost(_) => Err(CallError::Failed(Verdict::MayHaveRun)),
    }
}

/// Sends an order, and again if its answer is late and the budget allows it. Returns the first answer
/// that settles both.
pub async fn send_with_retry<F>(budget: &RetryBudget, send: impl Fn() -> F) -> Result<(), CallError>
where
    F: Future<Output = Result<(), CallError>>,
{
    resend_if_late(budget, send(), &send).await
}

/// The same where the first copy goes another way.
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
    let (answer, first_answered) = tokio::select! {
        answer = &mut first => (answer, true),
        answer = &mut second => (answer, false),
    };
    if is_conclusive(&answer) {
        return answer;
    }
    let other = if first_answered { second.await } else { first.await };
    if is_conclusive(&other) { other } else { Err(CallError::Failed(Verdict::MayHaveRun)) }
}

/// Whether the answer to one copy tells what became of the other. A refusal for another reason does
/// not: the other copy may come later, when the reason has gone, or may have come before and be the
/// reason.
fn is_conclusive(answer: &Result<(), CallError>) -> bool {
    matches!(answer, Ok(()) | Err(CallError::OtherLife | CallError::Refused(Refusal::Fence)))
}
