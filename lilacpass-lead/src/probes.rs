//! Decides which unresponsive workers are polled next. A poll of an unresponsive worker is called a probe.
//!
//! Load pattern: a data centre with a fifth of the workers is cut off, or a fifth of all workers crash at once. Each
//! probe costs a connection that is refused at once or hangs until its timeout. If every unresponsive worker were
//! probed at its own pace, the leader would open thousands of connections a second, and its heartbeats and renewals
//! would wait behind them.
//!
//! The number of probes a second is bounded for the whole cell, however many workers are unresponsive. A data centre of
//! which no worker responds is probed by a few of its workers at a time, in turn, until one of them responds.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use lilacpass_jobs::WorkerName;

/// Maximum number of probes per second in the long run.
const PROBES_PER_SECOND: f64 = 2_000.0;
/// Maximum number of probes at once, after a time without probes.
const MAX_BURST: f64 = 200.0;
/// Maximum number of probes in flight in a data centre of which no worker responds.
const MAX_IN_FLIGHT_IF_UNREACHABLE: usize = 16;

/// The unresponsive workers of a data centre.
#[derive(Debug, Default)]
struct DataCentreProbes {
    /// Workers without a probe in flight, each with the time in ms at which its next one is due.
    due: BTreeSet<(u64, WorkerName)>,
    in_flight: usize,
}

/// The unresponsive workers, and the budget for probes.
#[derive(Debug)]
pub struct Probes {
    by_data_centre: BTreeMap<String, DataCentreProbes>,
    /// Data centres of the workers with a probe in flight.
    in_flight: HashMap<WorkerName, String>,
    credit: f64,
    credited_ms: u64,
}

impl Default for Probes {
    fn default() -> Self {
        Self {
            by_data_centre: BTreeMap::new(),
            in_flight: HashMap::new(),
            credit: MAX_BURST,
            credited_ms: 0,
        }
    }
}

impl Probes {
    /// Schedules a probe of a worker at `due_ms`.
    pub fn schedule(&mut self, worker: &WorkerName, data_centre: &str, due_ms: u64) {
        let probes = self.by_data_centre.entry(data_centre.to_owned()).or_default();
        probes.due.insert((due_ms, worker.clone()));
    }

    /// Cancels the probe of a worker that was scheduled at `due_ms`.
    pub fn cancel(&mut self, worker: &WorkerName, data_centre: &str, due_ms: u64) {
        if let Some(probes) = self.by_data_centre.get_mut(data_centre) {
            probes.due.remove(&(due_ms, worker.clone()));
        }
    }

    /// Records that the probe of a worker has ended, if there was one.
    pub fn record_end(&mut self, worker: &WorkerName) {
        let Some(data_centre) = self.in_flight.remove(worker) else { return };
        if let Some(probes) = self.by_data_centre.get_mut(&data_centre) {
            probes.in_flight -= 1;
        }
    }

    /// Takes the workers to probe now: those whose probes have been due for longest, as far as the budget allows.
    /// `is_reachable` tells whether any worker of a data centre responds.
    pub fn take_due(
        &mut self,
        is_reachable: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> Vec<WorkerName> {
        self.add_credit(now_ms);
        let mut taken = Vec::new();
        let mut open: Vec<(&String, &mut DataCentreProbes, usize)> = self
            .by_data_centre
            .iter_mut()
            .map(|(name, probes)| {
                let is_reachable = is_reachable(name);
                let limit = if is_reachable { usize::MAX } else { MAX_IN_FLIGHT_IF_UNREACHABLE };
                (name, probes, limit)
            })
            .collect();
        // Takes one worker of each data centre in turn, so that none uses up the budget of the others.
        while self.credit >= 1.0 && !open.is_empty() {
            open.retain_mut(|(name, probes, limit)| {
                let is_due = probes.due.first().is_some_and(|(due_ms, _)| *due_ms <= now_ms);
                if !is_due || probes.in_flight >= *limit || self.credit < 1.0 {
                    return false;
                }
                let Some((_, worker)) = probes.due.pop_first() else { return false };
                probes.in_flight += 1;
                self.credit -= 1.0;
                self.in_flight.insert(worker.clone(), name.clone());
                taken.push(worker);
                true
            });
        }
        taken
    }

    fn add_credit(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.credited_ms);
        self.credited_ms = now_ms;
        let earned = elapsed_ms as f64 * PROBES_PER_SECOND / 1_000.0;
        self.credit = (self.credit + earned).min(MAX_BURST);
    }

    /// Number of unresponsive workers of each data centre that has any.
    pub fn unresponsive(&self) -> impl Iterator<Item = (&str, usize)> {
        let counts = self.by_data_centre.iter();
        let counts =
            counts.map(|(name, probes)| (name.as_str(), probes.due.len() + probes.in_flight));
        counts.filter(|(_, count)| *count > 0)
    }
}
