//! Follows the desired state in the store.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use lilacpass_platform::{
    desired,
    error::Result,
    store::{Partition, ReadOutcome, StoredRecord},
};
use tokio::time;

use crate::{clock, metrics, node::Node};

/// How long a read waits for a change. Bounds how long a connection that has gone silent hides one,
/// together with the timeout below; the platform allows 2 s for a change to be in force.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// How long the store may take to begin its answer beyond the wait, and may pause within it. Its slowest
/// answers take 0.6 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// With so many records or more still to be read, the newest of each key are read in place of them.
const SKIP_TO_NEWEST_LAG: u64 = 2;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Follows the desired state as long as the process runs.
pub async fn run(node: Rc<Node>) {
    let partition = Partition::platform_topic(desired::TOPIC);
    let mut next = None;
    let mut failing_since_ms = None;
    loop {
        let result = match next {
            None => read_newest(&node, &partition).await.map(Some),
            Some(from) => read_changes(&node, &partition, from).await,
        };
        node.metrics.desired_read("store", metrics::outcome(&result));
        log_read_failures(&mut failing_since_ms, &result);
        let has_failed = result.is_err();
        if let Ok(position) = result {
            next = position;
        }
        // After a failure the place is kept: what has come since is mostly nothing, and shorter than the newest.
        if has_failed || next.is_none() {
            time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Writes a line when reads begin to fail, and one when they end to.
fn log_read_failures<T>(failing_since_ms: &mut Option<u64>, result: &Result<T>) {
    let now_ms = clock::now().steady_ms;
    match result {
        Ok(_) => {
            if let Some(since_ms) = failing_since_ms.take() {
                let failed_ms = now_ms.saturating_sub(since_ms);
                log::info!(failed_ms; "desired state can be read again");
            }
        }
        Err(err) if failing_since_ms.is_none() => {
            *failing_since_ms = Some(now_ms);
            log::info!(error:% = err; "desired state can't be read");
        }
        Err(_) => {}
    }
}

/// Takes in the newest desired state. Returns where to read on.
async fn read_newest(node: &Node, partition: &Partition) -> Result<u64> {
    let page = node.store.newest(partition, None, RESPONSE_TIMEOUT).await?;
    node.record_store_response();
    page.records.iter().for_each(|placed| apply(node, placed));
    Ok(page.end)
}

/// Takes in changes from a place on. Returns where to read on; none to begin anew.
///
/// Each desired state is whole, so of several that wait the last alone counts. Read in order, those that came in an
/// outage keep an instance with a thin link behind for long after its end, and those that come faster than a link
/// carries them would never be caught up with.
async fn read_changes(node: &Node, partition: &Partition, from: u64) -> Result<Option<u64>> {
    match node.store.read(partition, from, POLL_WAIT, RESPONSE_TIMEOUT).await? {
        ReadOutcome::Records { records, end } => {
            node.record_store_response();
            records.iter().for_each(|placed| apply(node, placed));
            let next = records.last().map_or(from, |placed| placed.offset + 1);
            Ok(Some(next).filter(|next| end.saturating_sub(*next) < SKIP_TO_NEWEST_LAG))
        }
        ReadOutcome::Gone => Ok(None),
    }
}

fn apply(node: &Node, placed: &StoredRecord) {
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
