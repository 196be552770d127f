//! Sends orders in batches to relays, the instances that pass them on to workers, and waits for the outcome of each
//! order.

use std::{collections::HashMap, rc::Rc, time::Duration};

use lilacpass_core::Verdict;
use lilacpass_schema::v1;
use tokio::time;

use crate::{clock, node::Node, peers, relay_messages::Order, relays::RelayResult};

/// Interval between two messages to a relay. Orders that are queued meanwhile share the next message.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(15);
/// Timeout for a relay's confirmation of a message. A relay confirms a message before it executes the orders in it.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);
/// Added to the execution time of an order for the round trip between leader and relay, and for the batching of
/// messages on both sides.
const RELAY_OVERHEAD: Duration = Duration::from_millis(200);

/// Executes an order through a relay. Waits up to `execution_timeout` plus `RELAY_OVERHEAD` for the result.
pub async fn execute(
    node: &Rc<Node>,
    address: &Rc<str>,
    order: Order,
    execution_timeout: Duration,
) -> RelayResult {
    let enqueued = node.relays.borrow_mut().enqueue(address, order);
    let Some((number, receiver)) = enqueued else { return RelayResult::NoOutcome(Verdict::NotRun) };
    if node.relays.borrow_mut().begin_sending(address) {
        tokio::task::spawn_local(send_queue(node.clone(), address.clone()));
    }
    match time::timeout(execution_timeout + RELAY_OVERHEAD, receiver).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => RelayResult::NoOutcome(Verdict::MayHaveRun),
        Err(_) => {
            node.relays.borrow_mut().record_timeout(number);
            RelayResult::NoOutcome(Verdict::MayHaveRun)
        }
    }
}

/// Sends the orders queued for a relay until there are none left.
async fn send_queue(node: Rc<Node>, address: Rc<str>) {
    loop {
        let epoch = node.relays.borrow().epoch();
        let Some(orders) = node.relays.borrow_mut().take_batch(&address) else { return };
        let numbers: Vec<u64> = orders.iter().map(|order| order.message.number).collect();
        let message = build_message(&node, epoch, orders);
        if let Err(err) = peers::send_orders(&node, &address, &message, CONFIRM_TIMEOUT).await {
            log::info!(relay = &*address, orders = numbers.len(), error:% = err; "relay did not accept orders");
            let mut relays = node.relays.borrow_mut();
            if relays.epoch() == epoch {
                relays.fail(&address, &numbers, err.verdict(), clock::now().steady_ms);
            }
            return;
        }
        time::sleep(MESSAGE_INTERVAL).await;
    }
}

/// Builds a message with orders that contains each payload once.
fn build_message(node: &Node, epoch: u64, orders: Vec<Order>) -> v1::PeerOrders {
    // All starts of a job share one payload, so its address identifies it.
    let mut payload_indices: HashMap<*const u8, u32> = HashMap::new();
    let mut message =
        v1::PeerOrders { epoch, leader_address: node.peer_address(), ..Default::default() };
    for order in orders {
        let mut relayed = order.message;
        if let (Some(start), Some(payload)) = (&mut relayed.start, order.payload) {
            let next_index = message.payloads.len() as u32;
            start.payload = *payload_indices.entry(payload.as_ptr()).or_insert_with(|| {
                message.payloads.push(payload.to_string());
                next_index
            });
        }
        message.orders.push(relayed);
    }
    message
}
