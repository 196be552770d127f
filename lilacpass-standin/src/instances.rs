//! The instance list, which shows changes only after a lag.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use lilacpass_core::MonoTime;
use lilacpass_schema::v1;

/// List of instances with changes that readers don't see yet.
#[derive(Debug, Default)]
pub struct Instances {
    shown: BTreeMap<String, v1::Instance>,
    version: u64,
    pending: VecDeque<(MonoTime, Change)>,
    views: HashMap<(String, String), String>,
    frozen: bool,
}

#[derive(Debug)]
enum Change {
    Put(v1::Instance),
    Remove(String),
}

impl Instances {
    /// Adds or changes an instance, shown after `lag`.
    pub fn put(&mut self, instance: v1::Instance, lag: Duration, now: MonoTime) {
        self.pending.push_back((now + lag, Change::Put(instance)));
    }

    /// Removes an instance, shown after `lag`.
    pub fn remove(&mut self, name: String, lag: Duration, now: MonoTime) {
        self.pending.push_back((now + lag, Change::Remove(name)));
    }

    /// While frozen, no change shows.
    pub fn set_frozen(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    /// Shows an instance under another address to readers of one data centre.
    pub fn put_view(&mut self, view: v1::AddressView) {
        self.views.insert((view.viewer_data_centre, view.name), view.address);
    }

    /// The list as the instance `viewer` sees it now.
    pub fn list(&mut self, viewer: Option<&str>, now: MonoTime) -> v1::ListInstancesAnswer {
        self.apply_due(now);
        let viewer_data_centre =
            viewer.and_then(|name| self.shown.get(name)).map(|i| i.data_centre.clone());
        let as_seen = |instance: &v1::Instance| {
            let mut seen = instance.clone();
            if let Some(data_centre) = &viewer_data_centre
                && let Some(address) = self.views.get(&(data_centre.clone(), seen.name.clone()))
            {
                seen.address.clone_from(address);
            }
            seen
        };
        let instances = self.shown.values().map(as_seen).collect();
        v1::ListInstancesAnswer { instances, version: self.version }
    }

    fn apply_due(&mut self, now: MonoTime) {
        if self.frozen {
            return;
        }
        while self.pending.front().is_some_and(|(due, _)| due.reached(now)) {
            let Some((_, change)) = self.pending.pop_front() else {
                return;
            };
            self.version += 1;
            match change {
                Change::Put(instance) => {
                    self.shown.insert(instance.name.clone(), instance);
                }
                Change::Remove(name) => {
                    self.shown.remove(&name);
                }
            }
        }
    }
}
