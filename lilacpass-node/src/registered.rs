//! The workers that are registered in the store, as they were last seen there, and what changes.

use std::collections::HashMap;

use lilacpass_jobs::WorkerName;
use lilacpass_lead::{Event, event::Registration};
use lilacpass_platform::{registry, store::StoredRecord};

/// Looks in a row in which a worker must be missing: entries come back after the store does.
const MISSING_LOOKS: u32 = 2;

/// The registered workers.
#[derive(Debug, Default)]
pub struct Registered {
    seen: HashMap<WorkerName, Seen>,
}

/// A worker, or what is written in the place of one.
#[derive(Debug, Default)]
struct Seen {
    /// Place of its newest entry.
    offset: u64,
    /// The worker; none where the entry names none that can be used.
    worker: Option<Registration>,
    /// Looks in a row in which it was missing.
    missing: u32,
}

impl Registered {
    /// Takes in the newest entries of all workers. Returns what the leader is to be told: all workers, so that one
    /// that it has taken for gone by mistake comes back.
    pub fn all(&mut self, records: Vec<StoredRecord>) -> Vec<Event> {
        for seen in self.seen.values_mut() {
            seen.missing += 1;
        }
        let mut events = Vec::new();
        for placed in records {
            let news = self.take_in(&placed);
            events.extend(news.or_else(|| self.listed(&placed)));
        }
        self.drop_missing(&mut events);
        events
    }

    /// Takes in entries that were written since the last look, in order. Returns what has changed for the leader.
    ///
    /// Each worker writes its entry again and again, mostly with nothing new in it. To tell the leader of each would
    /// have it look for work for that worker each time.
    pub fn changed(&mut self, records: Vec<StoredRecord>) -> Vec<Event> {
        let mut events = Vec::new();
        for placed in records {
            if placed.record.value.is_empty() {
                self.removed(&placed);
            } else {
                events.extend(self.take_in(&placed));
            }
        }
        events
    }

    /// The worker that an entry names, as it was last seen.
    fn listed(&self, placed: &StoredRecord) -> Option<Event> {
        let name = WorkerName::from(placed.record.key.as_str());
        self.seen.get(&name)?.worker.clone().map(Event::WorkerRegistered)
    }

    /// Whether a worker was missing from the last look. Only a look at all entries tells whether it still is.
    pub fn any_missing(&self) -> bool {
        self.seen.values().any(|seen| seen.missing > 0)
    }

    /// Notes an entry. Returns what it says that is new.
    fn take_in(&mut self, placed: &StoredRecord) -> Option<Event> {
        let key = placed.record.key.as_str();
        let name = WorkerName::from(key);
        let is_new = !self.seen.contains_key(&name);
        let seen = self.seen.entry(name.clone()).or_default();
        seen.missing = 0;
        if !is_new && placed.offset <= seen.offset {
            return None;
        }
        seen.offset = placed.offset;
        match registry::decode(key, &placed.record.value) {
            Ok(worker) if seen.worker.as_ref() == Some(&worker) => None,
            Ok(worker) => {
                seen.worker = Some(worker.clone());
                Some(Event::WorkerRegistered(worker))
            }
            // Entries are written again and again; one line tells of all until the entry can be read.
            Err(err) if is_new || seen.worker.is_some() => {
                seen.worker = None;
                log::warn!(worker = key, error:% = err; "registration is passed over");
                Some(Event::WorkerUnregistered(name))
            }
            Err(_) => None,
        }
    }

    /// Notes that an entry was removed.
    fn removed(&mut self, placed: &StoredRecord) {
        let name = WorkerName::from(placed.record.key.as_str());
        let Some(seen) = self.seen.get_mut(&name) else { return };
        if placed.offset > seen.offset {
            seen.offset = placed.offset;
            seen.missing = 1;
        }
    }

    fn drop_missing(&mut self, events: &mut Vec<Event>) {
        self.seen.retain(|name, seen| {
            let is_gone = seen.missing >= MISSING_LOOKS;
            if is_gone {
                log::info!(worker:% = name; "worker is no longer registered");
                events.push(Event::WorkerUnregistered(name.clone()));
            }
            !is_gone
        });
    }
}
