//! Executes the leader's orders at workers, and reports the outcomes to it.
//!
//! Orders are executed as the leader would execute them: once, and under its epoch, which workers check. An instance
//! that resumes after a pause and executes old orders has the same effect as a network that delivers late, which
//! workers and leader can handle.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use lilacpass_jobs::WorkerName;
use lilacpass_platform::workers::{StartOrder, Target};
use lilacpass_schema::v1;
use tokio::{task, time};

use crate::{frontend::OpenRequest, node::Node, peers, relay_messages};

/// How long outcomes are collected, so that many of them share a message.
const BATCH_INTERVAL: Duration = Duration::from_millis(15);
/// Timeout for the leader's confirmation of outcomes. They are not sent again: the leader polls a worker directly if
/// the outcome does not arrive.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);

/// Destination of outcomes: the leader's address and its epoch.
type Destination = (String, u64);

/// Outcomes that are yet to be sent. A destination is present while outcomes are being sent to it.
#[derive(Debug, Default)]
pub struct PendingOutcomes {
    waiting: HashMap<Destination, Vec<v1::RelayedOutcome>>,
}

/// Accepts orders from the leader and starts to execute them. Returns whether they are accepted; orders of a leader
/// that was replaced are not.
pub fn accept(node: &Rc<Node>, message: v1::PeerOrders) -> bool {
    if message.epoch < node.leader.borrow().epoch {
        log::info!(epoch = message.epoch, leader = message.leader_address.as_str(); "rejecting orders of a former leader");
        return false;
    }
    let destination = (message.leader_address, message.epoch);
    let payloads: Vec<Arc<str>> = message.payloads.into_iter().map(Arc::from).collect();
    let payloads = Rc::new(payloads);
    for order in message.orders {
        let (node, destination, payloads) = (node.clone(), destination.clone(), payloads.clone());
        task::spawn_local(async move {
            // A planned stop waits for the order.
            let open = OpenRequest::new(&node);
            let outcome = execute(&node, destination.1, &order, &payloads).await;
            drop(open);
            if let Some(outcome) = outcome {
                queue_outcome(&node, destination, outcome);
            }
        });
    }
    true
}

/// Executes an order. Returns `None` if it is incomplete, in which case the leader receives no outcome.
async fn execute(
    node: &Node,
    epoch: u64,
    order: &v1::RelayedOrder,
    payloads: &[Arc<str>],
) -> Option<v1::RelayedOutcome> {
    let worker = WorkerName::new(&order.worker, order.worker_started_ms);
    let fence = epoch.saturating_add(order.fence_step);
    let target = Target { name: &worker, address: &order.address, fence };
    let number = order.number;
    if let Some(poll) = &order.look {
        let result = node.workers.poll(target, relay_messages::read_poll(poll)).await;
        return Some(relay_messages::poll_outcome(number, result));
    }
    if let Some(start) = &order.start {
        let (Some((task, run)), Some(payload)) =
            (relay_messages::read_run(start.run.as_ref()), payloads.get(start.payload as usize))
        else {
            return reject_incomplete(number);
        };
        let start = StartOrder {
            task,
            run,
            payload,
            lease_until_ms: start.lease_until_ms,
            checkpoint: &start.checkpoint,
            ticket: start.ticket.as_deref(),
        };
        return Some(relay_messages::order_outcome(
            number,
            node.workers.start(target, start).await,
        ));
    }
    let run = order.stop.as_ref().and_then(|stop| relay_messages::read_run(stop.run.as_ref()));
    let Some((task, run)) = run else { return reject_incomplete(number) };
    Some(relay_messages::order_outcome(number, node.workers.stop(target, task, run).await))
}

fn reject_incomplete(number: u64) -> Option<v1::RelayedOutcome> {
    log::warn!(number; "ignoring an incomplete relayed order");
    None
}

/// Queues an outcome for the leader, and starts sending unless that is in progress.
fn queue_outcome(node: &Rc<Node>, destination: Destination, outcome: v1::RelayedOutcome) {
    let mut outcomes = node.pending_outcomes.borrow_mut();
    if let Some(waiting) = outcomes.waiting.get_mut(&destination) {
        waiting.push(outcome);
        return;
    }
    outcomes.waiting.insert(destination.clone(), vec![outcome]);
    task::spawn_local(send_outcomes(node.clone(), destination));
}

/// Sends outcomes until there are none left.
async fn send_outcomes(node: Rc<Node>, destination: Destination) {
    loop {
        time::sleep(BATCH_INTERVAL).await;
        let waiting =
            node.pending_outcomes.borrow_mut().waiting.insert(destination.clone(), Vec::new());
        let outcomes = waiting.unwrap_or_default();
        if outcomes.is_empty() {
            node.pending_outcomes.borrow_mut().waiting.remove(&destination);
            return;
        }
        let (address, epoch) = &destination;
        let message = v1::PeerOutcomes { epoch: *epoch, outcomes };
        if let Err(err) = peers::send_outcomes(&node, address, &message, CONFIRM_TIMEOUT).await {
            log::info!(
                leader = address.as_str(), epoch, outcomes = message.outcomes.len(), error:% = err;
                "leader did not accept outcomes"
            );
        }
    }
}
