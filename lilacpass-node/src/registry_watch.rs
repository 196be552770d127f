//! Follows which workers are registered, while this instance leads.

use std::{collections::HashMap, rc::Rc, time::Duration};

use lilacpass_jobs::WorkerName;
use lilacpass_lead::Event;
use lilacpass_platform::{
    registry,
    store::{Partition, Placed},
};
use tokio::{sync::mpsc, time};

use crate::{leading::Message, node::Node};

/// Time between looks. A worker that drains must get no starts 2 s after it says so.
const INTERVAL: Duration = Duration::from_millis(500);
/// How long the store may take. Its slowest answers take 0.6 s.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Looks in a row in which a worker must be missing: entries come back after the store does.
const MISSING_LOOKS: u32 = 2;

/// A worker, or what is written in the place of one, as it was last seen.
pub struct Seen {
    offset: u64,
    missing: u32,
    /// Its entry names a worker that can be used.
    usable: bool,
}

/// Follows the workers until the leader has ended.
pub async fn run(node: Rc<Node>, messages: mpsc::UnboundedSender<Message>) {
    let mut seen: HashMap<WorkerName, Seen> = HashMap::new();
    while !messages.is_closed() {
        if let Some(records) = read(&node).await {
            let mut events = changes(&mut seen, records);
            events.push(Event::WorkersRead);
            for event in events {
                if messages.send(Message::Event(event)).is_err() {
                    return;
                }
            }
        }
        time::sleep(INTERVAL).await;
    }
}

async fn read(node: &Node) -> Option<Vec<Placed>> {
    let partition = Partition::of_platform(registry::TOPIC);
    let mut records = Vec::new();
    loop {
        let after = records.last().map(|placed: &Placed| placed.record.key.clone());
        match node.store.newest(&partition, after.as_deref(), TIMEOUT).await {
            Ok(page) => {
                node.store_heard();
                let more = page.more && !page.records.is_empty();
                records.extend(page.records);
                if !more {
                    return Some(records);
                }
            }
            Err(err) => {
                log::info!(error:% = err; "workers can't be listed");
                return None;
            }
        }
    }
}

/// What has changed since the last look.
pub fn changes(seen: &mut HashMap<WorkerName, Seen>, records: Vec<Placed>) -> Vec<Event> {
    let mut events = Vec::new();
    for worker in seen.values_mut() {
        worker.missing += 1;
    }
    for placed in records {
        let name = WorkerName::from(placed.record.key.as_str());
        let known = seen.entry(name).or_insert(Seen { offset: u64::MAX, missing: 0, usable: true });
        known.missing = 0;
        if known.offset == placed.offset {
            continue;
        }
        known.offset = placed.offset;
        match registry::decode(&placed.record.key, &placed.record.value) {
            Ok(entry) => {
                known.usable = true;
                events.push(Event::WorkerListed(entry));
            }
            // Entries change with each heartbeat; one line tells of all until the entry can be read.
            Err(err) if known.usable => {
                known.usable = false;
                log::warn!(worker = placed.record.key.as_str(), error:% = err; "registration is passed over");
                let name = WorkerName::from(placed.record.key.as_str());
                events.push(Event::WorkerUnlisted(name));
            }
            Err(_) => {}
        }
    }
    seen.retain(|name, worker| {
        let gone = worker.missing >= MISSING_LOOKS;
        if gone {
            log::info!(worker:% = name; "worker is no longer registered");
            events.push(Event::WorkerUnlisted(name.clone()));
        }
        !gone
    });
    events
}
