//! Follows which workers are registered, while this instance leads.

use std::{rc::Rc, time::Duration};

use lilacpass_lead::Event;
use lilacpass_platform::{
    error::Result,
    registry,
    store::{Partition, ReadOutcome, StoredRecord},
};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use crate::{lead_handle::Message, metrics, node::Node, registered::Registered};

/// Time between looks. A worker that drains must get no starts 2 s after it says so.
const INTERVAL: Duration = Duration::from_millis(500);
/// How long the store may take. Its slowest answers take 0.6 s.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between looks at all entries, which find those that were removed without a record. A look at all takes some
/// hundred bytes a worker: made each time, they keep orders and renewals waiting on a thin link.
const ALL_INTERVAL: Duration = Duration::from_secs(10);

/// What a look brought.
enum Look {
    /// The newest entries of all workers, and where to read on.
    All(Vec<StoredRecord>, u64),
    /// Entries that were written since, and where to read on.
    Changes(Vec<StoredRecord>, u64),
    /// The store has deleted what was written since.
    Gone,
}

/// Follows the workers until the leader has ended.
pub async fn run(node: Rc<Node>, messages: mpsc::UnboundedSender<Message>) {
    let mut registered = Registered::default();
    let mut next = None;
    let mut all_at = Instant::now();
    while !messages.is_closed() {
        let from = next.filter(|_| Instant::now() < all_at && !registered.any_missing());
        let look = match from {
            Some(from) => read_changes(&node, from).await,
            None => read_all(&node).await,
        };
        let what = if from.is_some() { "changes" } else { "all" };
        node.metrics.workers_read(what, metrics::outcome(&look));
        let mut events = match look {
            Ok(Look::All(records, place)) => {
                next = Some(place);
                all_at = Instant::now() + ALL_INTERVAL;
                registered.all(records)
            }
            Ok(Look::Changes(records, place)) => {
                next = Some(place);
                registered.changed(records)
            }
            Ok(Look::Gone) => {
                next = None;
                continue;
            }
            Err(err) => {
                log::info!(what, error:% = err; "workers can't be read");
                time::sleep(INTERVAL).await;
                continue;
            }
        };
        events.push(Event::RegistrationsRead);
        for event in events {
            if messages.send(Message::Event(event)).is_err() {
                return;
            }
        }
        time::sleep(INTERVAL).await;
    }
}

/// Reads the newest entry of each worker. What is written meanwhile is read after it, since pages are no snapshot.
async fn read_all(node: &Node) -> Result<Look> {
    let partition = Partition::platform_topic(registry::TOPIC);
    let mut records = Vec::new();
    let mut end = None;
    loop {
        let after = records.last().map(|placed: &StoredRecord| placed.record.key.clone());
        let page = node.store.newest(&partition, after.as_deref(), TIMEOUT).await?;
        node.store_heard();
        let end = *end.get_or_insert(page.end);
        let more = page.more && !page.records.is_empty();
        records.extend(page.records);
        if !more {
            return Ok(Look::All(records, end));
        }
    }
}

/// Reads what was written from a place on.
async fn read_changes(node: &Node, from: u64) -> Result<Look> {
    let partition = Partition::platform_topic(registry::TOPIC);
    let mut records = Vec::new();
    let mut next = from;
    loop {
        match node.store.read(&partition, next, Duration::ZERO, TIMEOUT).await? {
            ReadOutcome::Gone => return Ok(Look::Gone),
            ReadOutcome::Records { records: read, end } => {
                node.store_heard();
                next += read.len() as u64;
                let is_whole = read.is_empty() || next >= end;
                records.extend(read);
                if is_whole {
                    return Ok(Look::Changes(records, next));
                }
            }
        }
    }
}
