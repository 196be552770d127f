//! Workers that stopped responding recently and have not responded since, to detect outages with a common cause.

use std::collections::VecDeque;

use lilacpass_jobs::WorkerName;

/// Outages that begin within this time of each other may have a common cause.
const MAX_CONCURRENT_GAP_MS: u64 = 1_000;
/// How long an outage is kept. A crashed worker restarts within some seconds, and is then known to have crashed.
const RETENTION_MS: u64 = 60_000;

/// An outage: a worker that does not respond.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Data centre of the worker.
    pub data_centre: String,
    /// Rack of the worker; empty if unknown.
    pub rack: String,
    /// When the outage began, on the monotonic clock.
    pub since_ms: u64,
    /// Whether the worker had outlived the start of all its runs, so that none of them is a suspect.
    pub has_no_suspect: bool,
}

/// Recent outages, in the order in which they began.
#[derive(Debug, Default)]
pub struct RecentOutages {
    outages: VecDeque<Outage>,
}

impl RecentOutages {
    /// Records an outage, and drops those that are too old.
    pub fn record(&mut self, outage: Outage) {
        let now_ms = outage.since_ms;
        while self.outages.front().is_some_and(|oldest| oldest.since_ms + RETENTION_MS < now_ms) {
            self.outages.pop_front();
        }
        self.outages.push_back(outage);
    }

    /// Removes the outages of a worker that responds again.
    pub fn clear(&mut self, worker: &WorkerName) {
        self.outages.retain(|outage| outage.worker != *worker);
    }

    /// Returns the outages of other workers that began at about the same time as one of `worker` at `since_ms`.
    pub fn concurrent_with(
        &self,
        worker: &WorkerName,
        since_ms: u64,
    ) -> impl Iterator<Item = &Outage> {
        self.outages.iter().filter(move |other| {
            other.worker != *worker && other.since_ms.abs_diff(since_ms) <= MAX_CONCURRENT_GAP_MS
        })
    }
}
