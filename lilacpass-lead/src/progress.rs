//! Detects runs that are stalled or far too slow.
//!
//! Load pattern: some workers hang and others work at a fraction of their speed, while they respond as usual. Their
//! runs end sooner if they are started again elsewhere. The progress that the worker itself reports shows this long
//! before the run is overdue.

/// Minimum time without progress after which a run is stalled: two regular polls.
const MIN_STALL_MS: u64 = 1_700;
/// The same minimum as a percentage of the estimated run time, because a long run needs a long time for each percent of
/// progress.
const MIN_STALL_PERCENT: u64 = 15;
/// Minimum time over which the pace of a run is measured.
const MIN_PACE_TIME_MS: u64 = 500;
/// A worker is slow if its runs take this many times as long as runs of the same step elsewhere. Tasks of a step are
/// alike, except that some take up to twice as long as the others.
const SLOW_WORKER_SLOWDOWN: f64 = 3.0;
/// The required slowdown of a worker of which only one step can be compared.
const SLOW_WORKER_SINGLE_SLOWDOWN: f64 = 4.5;

/// Whether a worker works at a fraction of the usual speed, given the slowdown of each step that runs both there and
/// elsewhere.
///
/// The estimates of clients are of no use here: their error is larger than the slowdown of a slow worker.
pub fn is_slow_worker(slowdowns: &[f64]) -> bool {
    match slowdowns {
        [] => false,
        [single] => *single > SLOW_WORKER_SINGLE_SLOWDOWN,
        several => several.iter().all(|slowdown| *slowdown > SLOW_WORKER_SLOWDOWN),
    }
}

/// How many times as long a run of `total_ms` takes as the median of the runs of its step elsewhere; `None` if there
/// are too few of these.
pub fn slowdown(total_ms: u64, elsewhere_ms: &mut [u64]) -> Option<f64> {
    const MIN_OTHER_RUNS: usize = 2;
    if elsewhere_ms.len() < MIN_OTHER_RUNS {
        return None;
    }
    elsewhere_ms.sort_unstable();
    let median_ms = elsewhere_ms[elsewhere_ms.len() / 2];
    Some(total_ms as f64 / median_ms.max(1) as f64)
}

/// The progress that a worker has reported for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// When progress was first reported, on the monotonic clock.
    first_seen_ms: u64,
    first_percent: u32,
    percent: u32,
    /// When the reported progress last changed, on the monotonic clock.
    changed_ms: u64,
}

impl Progress {
    /// Creates the progress of a run that is first reported at `now_ms`.
    pub fn new(percent: u32, now_ms: u64) -> Self {
        Self { first_seen_ms: now_ms, first_percent: percent, percent, changed_ms: now_ms }
    }

    /// Updates the share of the work that is done.
    pub fn update(&mut self, percent: u32, now_ms: u64) {
        if percent != self.percent {
            self.percent = percent;
            self.changed_ms = now_ms;
        }
    }

    /// Whether the run has made no progress for so long that it is considered stalled.
    pub fn is_stalled(&self, estimate_ms: u64, now_ms: u64) -> bool {
        let stalled_ms = now_ms.saturating_sub(self.changed_ms);
        stalled_ms > MIN_STALL_MS.max(estimate_ms * MIN_STALL_PERCENT / 100)
    }

    /// The total run time at the measured pace, in ms; `None` if the pace is not known yet.
    pub fn estimated_total_ms(&self) -> Option<u64> {
        let worked_ms = self.changed_ms.saturating_sub(self.first_seen_ms);
        if worked_ms < MIN_PACE_TIME_MS || self.percent <= self.first_percent {
            return None;
        }
        Some(worked_ms * 100 / u64::from(self.percent - self.first_percent))
    }

    /// The remaining run time at the measured pace, in ms; `None` if the pace is not known yet.
    pub fn estimated_remaining_ms(&self, now_ms: u64) -> Option<u64> {
        let remaining_ms =
            self.estimated_total_ms()? * u64::from(100 - self.percent.min(100)) / 100;
        Some(remaining_ms.saturating_sub(now_ms.saturating_sub(self.changed_ms)))
    }

    /// Whether so much of the work is done that a new run would hardly end sooner.
    pub fn is_nearly_done(&self) -> bool {
        const NEARLY_DONE_PERCENT: u32 = 75;
        self.percent >= NEARLY_DONE_PERCENT
    }
}
