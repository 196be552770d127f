//! Follows the desired state in the store.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use lilacpass_platform::{
    desired,
    store::{Partition, Placed, Read},
};
use tokio::time;

use crate::node::Node;

/// How long a read waits for a change. Bounds how long a connection that has gone silent hides one,
/// together with the timeout below; the platform allows 2 s for a change to be in force.
const WAIT: Duration = Duration::from_millis(1_000);
/// How long the store may take beyond the wait. Its slowest answers take 0.6 s.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a failed read.
const RETRY: Duration = Duration::from_millis(200);

/// Follows the desired state as long as the process runs.
pub async fn run(node: Rc<Node>) {
    let partition = Partition::of_platform(desired::TOPIC);
    let mut next = None;
    loop {
        next = match next {
            None => newest(&node, &partition).await,
            Some(from) => read(&node, &partition, from).await,
        };
        if next.is_none() {
            time::sleep(RETRY).await;
        }
    }
}

/// Takes in the newest desired state. Returns where to read on.
async fn newest(node: &Node, partition: &Partition) -> Option<u64> {
    match node.store.newest(partition, None, TIMEOUT).await {
        Ok(page) => {
            node.store_heard();
            page.records.iter().for_each(|placed| take_in(node, placed));
            Some(page.end)
        }
        Err(err) => {
            log::debug!(error:% = err; "desired state can't be read");
            None
        }
    }
}

/// Takes in changes from a place on. Returns where to read on; none to begin anew.
async fn read(node: &Node, partition: &Partition, from: u64) -> Option<u64> {
    match node.store.read(partition, from, WAIT, TIMEOUT).await {
        Ok(Read::Records { records, end }) => {
            node.store_heard();
            records.iter().for_each(|placed| take_in(node, placed));
            let next = records.last().map_or(from, |placed| placed.offset + 1);
            // A store that has lost its history may end before the place that we know.
            Some(next.min(end.max(from)))
        }
        Ok(Read::Gone) => None,
        Err(err) => {
            log::debug!(error:% = err; "desired state can't be followed");
            None
        }
    }
}

fn take_in(node: &Node, placed: &Placed) {
    if placed.record.key != desired::KEY {
        return;
    }
    match desired::decode(&placed.record.value) {
        Ok(state) => node.publish(state, Bytes::from(placed.record.value.clone()), "store"),
        Err(err) => {
            log::warn!(offset = placed.offset, error:% = err; "desired state is passed over");
        }
    }
}
