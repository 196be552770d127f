//! Watches the desired state in the store.

use std::{rc::Rc, time::Duration};

use lilacpass_platform::{
    desired,
    error::Result,
    store::{Partition, ReadOutcome, StoredRecord},
};
use tokio::time;

use crate::{clock, metrics, node::Node};

/// Timeout for the beginning of a response, in addition to the wait for a change, and for each pause within it. The store's slowest
/// responses take 0.6 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// With at least this many unread records, the newest record of each key is read instead of all of them.
const SKIP_TO_NEWEST_LAG: u64 = 2;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Watches the desired state for as long as the process runs.
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
        let is_failure = result.is_err();
        if let Ok(position) = result {
            next = position;
        }
        // The position is kept after a failure. Usually nothing has been written since, so reading on is cheaper than
        // reading the newest record again.
        if is_failure || next.is_none() {
            time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Logs when reads start to fail, and when they succeed again.
fn log_read_failures<T>(failing_since_ms: &mut Option<u64>, result: &Result<T>) {
    let now_ms = clock::now().steady_ms;
    match result {
        Ok(_) => {
            if let Some(since_ms) = failing_since_ms.take() {
                let failed_ms = now_ms.saturating_sub(since_ms);
                log::info!(failed_ms; "reading the desired state succeeds again");
            }
        }
        Err(err) if failing_since_ms.is_none() => {
            *failing_since_ms = Some(now_ms);
            log::info!(error:% = err; "reading the desired state failed");
        }
        Err(_) => {}
    }
}

/// Adopts the newest desired state. Returns the position from which to continue.
async fn read_newest(node: &Node, partition: &Partition) -> Result<u64> {
    let sent_ms = clock::now().steady_ms;
    let page = node.store.newest(partition, None, RESPONSE_TIMEOUT).await?;
    node.record_store_response();
    page.records.iter().for_each(|stored| apply(node, stored));
    node.record_desired_current(sent_ms);
    Ok(page.end)
}

/// Adopts changes from a position on. Returns the position from which to continue, or `None` to read the newest record
/// again.
///
/// Each record holds the whole desired state, so only the last of several unread ones matters. Reading all records
/// written during an outage in order would keep an instance with a thin link behind for long afterwards, and if they
/// are written faster than the link can carry them, it would never catch up.
async fn read_changes(node: &Node, partition: &Partition, from: u64) -> Result<Option<u64>> {
    let sent_ms = clock::now().steady_ms;
    let wait = Duration::from_millis(node.desired_wait_ms());
    match node.store.read(partition, from, wait, RESPONSE_TIMEOUT).await? {
        ReadOutcome::Records { records, end } => {
            node.record_store_response();
            records.iter().for_each(|stored| apply(node, stored));
            let next = records.last().map_or(from, |stored| stored.offset + 1);
            if next >= end {
                node.record_desired_current(sent_ms);
            }
            Ok(Some(next).filter(|next| end.saturating_sub(*next) < SKIP_TO_NEWEST_LAG))
        }
        ReadOutcome::Gone => Ok(None),
    }
}

/// Adopts a record if it holds a desired state that can be decoded.
fn apply(node: &Node, stored: &StoredRecord) {
    if stored.record.key != desired::KEY {
        return;
    }
    match desired::decode(&stored.record.value) {
        Ok(state) => node.publish(state, "store"),
        Err(err) => {
            log::warn!(offset = stored.offset, error:% = err; "ignoring a desired state that cannot be decoded");
        }
    }
}
