//! The workers that are registered in the store, as they were last seen there, and what changes.

use std::collections::HashMap;

use lilacpass_jobs::WorkerName;
use lilacpass_lead::{Event, event::Registration};
use lilacpass_platform::{registry, store::StoredRecord};

/// Looks in a row in which a worker must be missing: entries come back after the store does.
const MIN_MISSED_READS: u32 = 2;

/// The registered workers.
#[derive(Debug, Default)]
pub struct RegisteredWorkers {
    seen: HashMap<WorkerName, SeenEntry>,
}

/// A worker, or what is written in the place of one.
#[derive(Debug, Default)]
struct SeenEntry {
    /// Place of its newest entry.
    offset: u64,
    /// The worker; none where the entry names none that can be used.
    worker: Option<Registration>,
    /// Looks in a row in which it was missing.
    missed_reads: u32,
}

impl RegisteredWorkers {
    /// Takes in the newest entries of all workers. Returns what the leader is to be told: all workers, so that one
    /// that it has taken for gone by mistake comes back.
    pub fn apply_full_read(&mut self, records: Vec<StoredRecord>) -> Vec<Event> {
        for seen in self.seen.values_mut() {
            seen.missed_reads += 1;
        }
        let mut events = Vec::new();
        for placed in records {
            let change = self.apply_entry(&placed);
            events.extend(change.or_else(|| self.last_listing(&placed)));
        }
        self.remove_missing(&mut events);
        events
    }

    /// Takes in entries that were written since the last look, in order. Returns what has changed for the leader.
    ///
    /// Each worker writes its entry again and again, mostly with nothing new in it. To tell the leader of each would
    /// have it look for work for that worker each time.
    pub fn apply_changes(&mut self, records: Vec<StoredRecord>) -> Vec<Event> {
        let mut events = Vec::new();
        for placed in records {
            if placed.record.value.is_empty() {
                self.mark_removed(&placed);
            } else {
                events.extend(self.apply_entry(&placed));
            }
        }
        events
    }

    /// The worker that an entry names, as it was last seen.
    fn last_listing(&self, placed: &StoredRecord) -> Option<Event> {
        let name = WorkerName::from(placed.record.key.as_str());
        self.seen.get(&name)?.worker.clone().map(Event::WorkerRegistered)
    }

    /// Whether a worker was missing from the last look. Only a look at all entries tells whether it still is.
    pub fn has_missing(&self) -> bool {
        self.seen.values().any(|seen| seen.missed_reads > 0)
    }

    /// Notes an entry. Returns what it says that is new.
    fn apply_entry(&mut self, placed: &StoredRecord) -> Option<Event> {
        let key = placed.record.key.as_str();
        let name = WorkerName::from(key);
        let is_new = !self.seen.contains_key(&name);
        let seen = self.seen.entry(name.clone()).or_default();
        seen.missed_reads = 0;
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
    fn mark_removed(&mut self, placed: &StoredRecord) {
        let name = WorkerName::from(placed.record.key.as_str());
        let Some(seen) = self.seen.get_mut(&name) else { return };
        if placed.offset > seen.offset {
            seen.offset = placed.offset;
            seen.missed_reads = 1;
        }
    }

    fn remove_missing(&mut self, events: &mut Vec<Event>) {
        self.seen.retain(|name, seen| {
            let is_gone = seen.missed_reads >= MIN_MISSED_READS;
            if is_gone {
                log::info!(worker:% = name; "worker is no longer registered");
                events.push(Event::WorkerUnregistered(name.clone()));
            }
            !is_gone
        });
    }
}
