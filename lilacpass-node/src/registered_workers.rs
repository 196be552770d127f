//! The workers that are registered in the store, as of the last read, and the changes between reads.

use std::collections::HashMap;

use lilacpass_lead::{Event, event::Registration};
use lilacpass_platform::{registry, store::StoredRecord};

/// Number of consecutive full reads that must lack a worker before it counts as gone, because entries may appear late
/// after the store has recovered. A record that removes the entry counts as the first of them.
const MIN_MISSED_READS: u32 = 2;

/// The registered workers.
#[derive(Debug, Default)]
pub struct RegisteredWorkers {
    /// The entries by worker id, which all incarnations of a worker share.
    seen: HashMap<String, SeenEntry>,
}

/// A worker's entry as last seen.
#[derive(Debug, Default)]
struct SeenEntry {
    /// Offset of its newest record.
    offset: u64,
    /// The worker; `None` if the entry cannot be decoded.
    worker: Option<Registration>,
    /// Number of consecutive full reads that lacked the entry.
    missed_reads: u32,
    /// Whether the current full read has listed the entry.
    is_listed: bool,
}

impl RegisteredWorkers {
    /// Applies the newest entries of all workers. Returns events for all of them, so that a worker that the leader
    /// wrongly considers gone is restored.
    pub fn apply_full_read(&mut self, records: Vec<StoredRecord>) -> Vec<Event> {
        self.begin_full_read();
        let mut events = self.apply_page(records);
        events.extend(self.end_full_read());
        events
    }

    /// Begins a read of the newest entries of all workers, page by page.
    pub fn begin_full_read(&mut self) {
        self.seen.values_mut().for_each(|seen| seen.is_listed = false);
    }

    /// Applies a page of a full read. Returns events for all of its workers.
    pub fn apply_page(&mut self, records: Vec<StoredRecord>) -> Vec<Event> {
        let mut events = Vec::new();
        for stored in records {
            let change = self.apply_entry(&stored);
            if let Some(seen) = self.seen.get_mut(&stored.record.key) {
                seen.is_listed = true;
            }
            events.extend(change.or_else(|| self.last_registration(&stored)));
        }
        events
    }

    /// Ends a full read of which all pages were applied. Returns events for the workers that count as gone.
    pub fn end_full_read(&mut self) -> Vec<Event> {
        for seen in self.seen.values_mut().filter(|seen| !seen.is_listed) {
            seen.missed_reads += 1;
        }
        let mut events = Vec::new();
        self.remove_missing(&mut events);
        events
    }

    /// Applies records that were written since the last read, in order. Returns events for the workers that have
    /// changed.
    ///
    /// Each worker writes its entry again and again, mostly unchanged. If the leader received an event for each write,
    /// it would look for work for that worker each time.
    pub fn apply_changes(&mut self, records: Vec<StoredRecord>) -> Vec<Event> {
        let mut events = Vec::new();
        for stored in records {
            if stored.record.value.is_empty() {
                self.mark_removed(&stored);
            } else {
                events.extend(self.apply_entry(&stored));
            }
        }
        events
    }

    /// An event that registers the worker as it was last seen.
    fn last_registration(&self, stored: &StoredRecord) -> Option<Event> {
        self.seen.get(&stored.record.key)?.worker.clone().map(Event::WorkerRegistered)
    }

    /// Whether the last read lacked a worker. Only a full read shows whether it is still missing.
    pub fn has_missing(&self) -> bool {
        self.seen.values().any(|seen| seen.missed_reads > 0)
    }

    /// Applies an entry. Returns an event if it has changed.
    fn apply_entry(&mut self, stored: &StoredRecord) -> Option<Event> {
        let key = stored.record.key.as_str();
        let is_new = !self.seen.contains_key(key);
        let seen = self.seen.entry(key.to_owned()).or_default();
        seen.missed_reads = 0;
        if !is_new && stored.offset <= seen.offset {
            return None;
        }
        seen.offset = stored.offset;
        match registry::decode(key, &stored.record.value) {
            Ok(worker) if seen.worker.as_ref() == Some(&worker) => None,
            Ok(worker) => {
                seen.worker = Some(worker.clone());
                Some(Event::WorkerRegistered(worker))
            }
            // Entries are written again and again, so this is logged only once until the entry can be decoded.
            Err(err) if is_new || seen.worker.is_some() => {
                log::warn!(worker:? = key, error:% = err; "ignoring a registration that cannot be decoded");
                let worker = seen.worker.take()?;
                Some(Event::WorkerUnregistered(worker.name))
            }
            Err(_) => None,
        }
    }

    /// Marks an entry as removed. The worker counts as gone once a full read confirms it.
    fn mark_removed(&mut self, stored: &StoredRecord) {
        let Some(seen) = self.seen.get_mut(&stored.record.key) else { return };
        if stored.offset > seen.offset {
            seen.offset = stored.offset;
            seen.missed_reads = 1;
        }
    }

    /// Removes the workers that count as gone, and adds an event for each.
    fn remove_missing(&mut self, events: &mut Vec<Event>) {
        self.seen.retain(|id, seen| {
            let is_gone = seen.missed_reads >= MIN_MISSED_READS;
            if is_gone {
                log::info!(worker = id.as_str(); "worker is no longer registered");
                let worker = seen.worker.take();
                events.extend(worker.map(|worker| Event::WorkerUnregistered(worker.name)));
            }
            !is_gone
        });
    }
}
