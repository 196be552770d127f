//! The known workers by position and by rack, for searches that look at a bounded number of them.

use std::collections::BTreeSet;

use lilacpass_core::hash_map::HashMap;
use lilacpass_jobs::WorkerName;

/// The names of all known workers.
#[derive(Debug, Default)]
pub struct Roster {
    /// Sorted, so that a position stays about the same place while workers come and go.
    names: Vec<WorkerName>,
    by_rack: HashMap<String, BTreeSet<WorkerName>>,
}

impl Roster {
    /// Adds a worker unless it is known.
    pub fn add(&mut self, worker: &WorkerName, rack: &str) {
        if let Err(position) = self.names.binary_search(worker) {
            self.names.insert(position, worker.clone());
        }
        match self.by_rack.get_mut(rack) {
            Some(workers) => {
                workers.insert(worker.clone());
            }
            None => {
                self.by_rack.insert(rack.to_owned(), BTreeSet::from([worker.clone()]));
            }
        }
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &WorkerName, rack: &str) {
        if let Ok(position) = self.names.binary_search(worker) {
            self.names.remove(position);
        }
        let Some(workers) = self.by_rack.get_mut(rack) else { return };
        workers.remove(worker);
        if workers.is_empty() {
            self.by_rack.remove(rack);
        }
    }

    /// Returns the workers of a rack, sorted by name.
    pub fn on_rack(&self, rack: &str) -> impl Iterator<Item = &WorkerName> {
        self.by_rack.get(rack).into_iter().flatten()
    }

    /// Returns up to `max` workers from a position on, each at most once. After the last worker comes the first.
    pub fn from_position(&self, position: usize, max: usize) -> impl Iterator<Item = &WorkerName> {
        let start = position % self.names.len().max(1);
        let (before, after) = self.names.split_at(start);
        after.iter().chain(before).take(max)
    }
}
