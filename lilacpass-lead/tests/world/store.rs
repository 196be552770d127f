//! A simulated store that keeps the last record of each key and refuses writers of lower epochs.

use std::collections::BTreeMap;

use lilacpass_jobs::{Job, JobKey, record};
use lilacpass_lead::event::Record;

#[derive(Default)]
pub struct Store {
    pub records: BTreeMap<String, Vec<u8>>,
    pub epoch: u64,
    /// Whether it refuses all appends.
    pub down: bool,
    /// Number of successful appends.
    pub appends: u64,
    end: u64,
}

impl Store {
    /// Closes the log to all earlier writers, and returns the new epoch.
    pub fn close(&mut self) -> u64 {
        self.end += 1;
        self.epoch = self.end;
        self.epoch
    }

    /// Appends records unless a writer of a higher epoch has taken over. Returns whether they are stored.
    pub fn append(&mut self, epoch: u64, records: &[Record]) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.end += records.len() as u64;
        self.appends += 1;
        for record in records {
            if record.value.is_empty() {
                self.records.remove(&record.key);
            } else {
                self.records.insert(record.key.clone(), record.value.clone());
            }
        }
        true
    }

    pub fn jobs(&self) -> Vec<Job> {
        let keys = self.records.keys().filter_map(|key| match record::parse_key(key) {
            Some(record::Key::Plan(key)) => Some(key),
            _ => None,
        });
        keys.filter_map(|key| self.job(key)).collect()
    }

    pub fn job(&self, key: JobKey) -> Option<Job> {
        let plan = self.records.get(&record::plan_key(key))?;
        let state = self.records.get(&record::state_key(key)).map(Vec::as_slice);
        Some(record::decode(key, plan, state).expect("a record that decodes"))
    }
}
