//! Carries out orders of the leader at workers, and tells it what came of them.
//!
//! Each order is carried out as the leader would: under its epoch, which workers check, and once. An instance that
//! wakes from a pause with old orders is as a network that delivers late, which workers and leader are ready for.

use std::{collections::HashMap, rc::Rc, time::Duration};

use lilacpass_jobs::WorkerName;
use lilacpass_platform::workers::{StartOrder, Target};
use lilacpass_schema::v1;
use tokio::{task, time};

use crate::{frontend::OpenRequest, node::Node, peers, relay_messages};

/// How long outcomes are gathered, so that many share a message.
const BATCH_INTERVAL: Duration = Duration::from_millis(15);
/// How long the leader may take to confirm outcomes. They are not sent again: the leader looks itself.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);

/// Where outcomes go: the leader's address and its epoch.
type Destination = (String, u64);

/// PendingOutcomes on their way to leaders. A destination is there while its outcomes are being sent.
#[derive(Debug, Default)]
pub struct PendingOutcomes {
    waiting: HashMap<Destination, Vec<v1::RelayedOutcome>>,
}

/// Takes orders from the leader and begins to carry them out. Returns whether they are taken: those of a leader that was
/// replaced are not.
pub fn accept(node: &Rc<Node>, message: v1::PeerOrders) -> bool {
    if message.epoch < node.leader.borrow().epoch {
        log::info!(epoch = message.epoch, leader = message.leader_address.as_str(); "orders of a former leader");
        return false;
    }
    let destination = (message.leader_address, message.epoch);
    let payloads = Rc::new(message.payloads);
    for order in message.orders {
        let (node, destination, payloads) = (node.clone(), destination.clone(), payloads.clone());
        task::spawn_local(async move {
            // A planned stop waits for it.
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

/// Carries out an order. None where it makes no sense, so that the leader hears nothing of it.
async fn execute(
    node: &Node,
    epoch: u64,
    order: &v1::RelayedOrder,
    payloads: &[String],
) -> Option<v1::RelayedOutcome> {
    let worker = WorkerName::from(order.worker.as_str());
    let target = Target { name: &worker, address: &order.address, epoch };
    let number = order.number;
    if let Some(look) = &order.look {
        let result = node.workers.poll(target, relay_messages::read_poll(look)).await;
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
    log::warn!(number; "order is incomplete");
    None
}

/// Has the leader told of an outcome, together with those that come meanwhile.
fn queue_outcome(node: &Rc<Node>, destination: Destination, outcome: v1::RelayedOutcome) {
    let mut outcomes = node.pending_outcomes.borrow_mut();
    if let Some(waiting) = outcomes.waiting.get_mut(&destination) {
        waiting.push(outcome);
        return;
    }
    outcomes.waiting.insert(destination.clone(), vec![outcome]);
    task::spawn_local(send_outcomes(node.clone(), destination));
}

/// Sends outcomes until there are no more.
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
                "leader does not take outcomes"
            );
        }
    }
}
