//! Announces a new leader to the instances of a large cell.
//!
//! Followers notice a change of leader by their heartbeats. In a cell of hundreds of instances these are rare, so most
//! followers would forward requests to the former leader until their next one.

use std::{rc::Rc, time::Duration};

use rand::seq::SliceRandom;
use tokio::{
    sync::mpsc,
    task,
    time::{self, Instant},
};

use crate::{leader_handle::Message, members, node::Node, peers::heartbeats};

/// Time over which the announcements are spread. It bounds how many are sent at a time, however many instances there
/// are.
const SPREAD: Duration = Duration::from_millis(300);
/// Number of announcements that are sent at once.
const BATCH: usize = 16;
/// Timeout of an announcement. It is not repeated: a follower that does not receive it sends a heartbeat soon.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Announces the leadership, unless heartbeats are so frequent that all followers notice by themselves.
pub async fn run(node: Rc<Node>, epoch: u64, messages: mpsc::UnboundedSender<Message>) {
    let own_address = node.peer_address();
    let mut addresses = node.known_members.borrow().addresses.clone();
    addresses.retain(|address| *address != own_address);
    let interval_ms = members::heartbeat_interval_ms(addresses.len());
    if interval_ms <= members::MIN_HEARTBEAT_INTERVAL_MS {
        return;
    }
    addresses.shuffle(&mut rand::rng());
    let pause = SPREAD.mul_f64(BATCH as f64 / addresses.len() as f64);
    let mut next = Instant::now();
    for batch in addresses.chunks(BATCH) {
        if messages.is_closed() {
            return;
        }
        for address in batch {
            let (node, address) = (node.clone(), address.clone());
            task::spawn_local(async move {
                let result = heartbeats::announce_leadership(&node, &address, epoch, TIMEOUT).await;
                if let Err(err) = result {
                    log::debug!(peer = address.as_str(), error:% = err; "announcement was not received");
                }
            });
        }
        next += pause;
        time::sleep_until(next).await;
    }
}
