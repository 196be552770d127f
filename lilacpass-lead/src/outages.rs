//! Workers that fell silent of late and have not answered since, to tell what hit several at a time.

use std::collections::VecDeque;

use lilacpass_jobs::WorkerName;

/// Workers that fall silent within this time of each other may have been hit by the same.
const TOGETHER_MS: u64 = 1_000;
/// How long a silence is kept. A worker that crashed is back, and known to have, within some seconds.
const KEPT_MS: u64 = 60_000;

/// A worker that has fallen silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    /// The worker.
    pub worker: WorkerName,
    /// Its rack; empty where that is not known.
    pub rack: String,
    /// Since when, on the steady clock.
    pub since_ms: u64,
    /// It had lived on after the start of all that ran there: none of that made it fall silent.
    pub has_no_suspect: bool,
}

/// Silences, in the order in which they began.
#[derive(Debug, Default)]
pub struct RecentOutages {
    silences: VecDeque<Outage>,
}

impl RecentOutages {
    /// A worker has fallen silent, or is found to have crashed.
    pub fn record(&mut self, silence: Outage) {
        let now_ms = silence.since_ms;
        while self.silences.front().is_some_and(|first| first.since_ms + KEPT_MS < now_ms) {
            self.silences.pop_front();
        }
        self.silences.push_back(silence);
    }

    /// A worker answers again.
    pub fn clear(&mut self, worker: &WorkerName) {
        self.silences.retain(|silence| silence.worker != *worker);
    }

    /// Silences of other workers that began together with one that began at `since_ms`.
    pub fn concurrent_with(
        &self,
        worker: &WorkerName,
        since_ms: u64,
    ) -> impl Iterator<Item = &Outage> {
        self.silences.iter().filter(move |other| {
            other.worker != *worker && other.since_ms.abs_diff(since_ms) <= TOGETHER_MS
        })
    }
}
