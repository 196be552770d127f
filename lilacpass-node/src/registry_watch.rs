//! Watches the registered workers while this instance leads.

use std::{rc::Rc, time::Duration};

use lilacpass_lead::Event;
use lilacpass_platform::{
    error::Result,
    registry,
    store::{Partition, ReadOutcome},
};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use crate::{
    clock, leader_handle::Message, metrics, node::Node, registered_workers::RegisteredWorkers,
};

/// Interval between reads. A worker must receive no start later than 2 s after it reports that it is draining.
const CHANGES_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a store call. The store's slowest responses take 0.6 s.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of a store call while the store responds to nobody. A call that was sent during an outage may stay without a
/// response, and start orders wait for the read after it.
const OUTAGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between full reads, which find entries that were removed without a record. A full read takes some hundred
/// bytes per worker. If every read were a full one, orders and renewals would have to wait on a thin link.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Result of a read that was carried out.
enum RegistryRead {
    /// All records were read; reading continues from this position.
    Complete(u64),
    /// The store has deleted the records that were written since the last read.
    Truncated,
}

/// Watches the workers until the leader loop has ended.
pub async fn run(node: Rc<Node>, messages: mpsc::UnboundedSender<Message>) {
    let mut registered = RegisteredWorkers::default();
    let mut next = None;
    let mut next_full_read = Instant::now();
    while !messages.is_closed() {
        let from = next.filter(|_| Instant::now() < next_full_read && !registered.has_missing());
        let sent_ms = clock::now().steady_ms;
        let timeout = if node.store_failing_ms() > 0 { OUTAGE_TIMEOUT } else { TIMEOUT };
        let send = |events: Vec<Event>| {
            for event in events {
                // The leader loop may have ended.
                let _stopped = messages.send(Message::Event(event));
            }
        };
        let result = match from {
            Some(from) => read_changes(&node, from, timeout, &mut registered, send).await,
            None => read_all(&node, timeout, &mut registered, send).await,
        };
        let scope = if from.is_some() { "changes" } else { "all" };
        node.metrics.workers_read(scope, metrics::outcome(&result));
        match result {
            Ok(RegistryRead::Complete(position)) => {
                next = Some(position);
                if from.is_none() {
                    next_full_read = Instant::now() + FULL_READ_INTERVAL;
                }
            }
            Ok(RegistryRead::Truncated) => {
                next = None;
                continue;
            }
            Err(err) => {
                log::info!(what = scope, error:% = err; "reading the registered workers failed");
                // Start orders wait for the read after an outage, so it follows the first response of the store.
                let _elapsed =
                    time::timeout(CHANGES_INTERVAL, node.store_responded.notified()).await;
                continue;
            }
        }
        if messages.send(Message::Event(Event::RegistrationsRead { sent_ms })).is_err() {
            return;
        }
        time::sleep(CHANGES_INTERVAL).await;
    }
}

/// Reads the newest entry of each worker, and sends the events of each page as soon as it is read: a new leader polls the
/// first workers while the others are read. Pages are not a consistent snapshot, so the next read continues from where the
/// partition ended at the first page.
async fn read_all(
    node: &Node,
    timeout: Duration,
    registered: &mut RegisteredWorkers,
    send: impl Fn(Vec<Event>),
) -> Result<RegistryRead> {
    let partition = Partition::platform_topic(registry::TOPIC);
    let mut after: Option<String> = None;
    let mut end = None;
    registered.begin_full_read();
    loop {
        let page = node.store.newest(&partition, after.as_deref(), timeout).await?;
        node.record_store_response();
        let end = *end.get_or_insert(page.end);
        let has_more = page.more && !page.records.is_empty();
        after = page.records.last().map(|stored| stored.record.key.clone());
        send(registered.apply_page(page.records));
        if !has_more {
            send(registered.end_full_read());
            return Ok(RegistryRead::Complete(end));
        }
    }
}

/// Reads the records from a position on, and sends the events that follow from them.
async fn read_changes(
    node: &Node,
    from: u64,
    timeout: Duration,
    registered: &mut RegisteredWorkers,
    send: impl Fn(Vec<Event>),
) -> Result<RegistryRead> {
    let partition = Partition::platform_topic(registry::TOPIC);
    let mut records = Vec::new();
    let mut next = from;
    loop {
        match node.store.read(&partition, next, Duration::ZERO, timeout).await? {
            ReadOutcome::Gone => return Ok(RegistryRead::Truncated),
            ReadOutcome::Records { records: read, end } => {
                node.record_store_response();
                next += read.len() as u64;
                let is_complete = read.is_empty() || next >= end;
                records.extend(read);
                if is_complete {
                    send(registered.apply_changes(records));
                    return Ok(RegistryRead::Complete(next));
                }
            }
        }
    }
}
