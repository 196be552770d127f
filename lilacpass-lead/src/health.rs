//! Tells workers that spoil their work from jobs that can't be done, and both from bad luck.
//!
//! Load pattern: some workers fail all that they start, at once, and so look idle and draw ever more
//! work; at the same time some jobs fail wherever they run. A task has few attempts, and each that
//! is burned on a bad worker brings its job nearer to failing for nothing.
//!
//! Evidence against a worker is that several jobs failed there which have not failed elsewhere. One
//! end as done clears it.

use std::collections::BTreeSet;

use lilacpass_jobs::JobKey;

/// Jobs whose failure speaks against a worker until it gets no work for a while. A sound task fails
/// in half a percent to two percent of its runs, so two in a row are most likely the worker's doing.
const BAD_JOBS: usize = 2;
/// How long a bad worker gets nothing at first. Troubles of workers last for some seconds.
const QUARANTINE_MS: u64 = 2_000;
/// Longest time that it gets nothing: doubled so often.
const MOST_DOUBLINGS: u32 = 2;
/// At most one worker in so many is kept idle, whatever the evidence: a mistake must not cost more.
pub const MOST_QUARANTINED_IN: usize = 4;

/// What speaks against a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerHealth {
    /// Jobs that have failed or stood still there since the last end as done.
    pub failed_jobs: BTreeSet<JobKey>,
    /// It gets nothing before this time, on the steady clock.
    pub quarantined_until_ms: u64,
    /// Times that it was quarantined since the last end as done.
    quarantines: u32,
}

impl WorkerHealth {
    /// Whether nothing speaks against it.
    pub fn is_clean(&self) -> bool {
        self.failed_jobs.is_empty() && self.quarantines == 0
    }

    /// Whether it gets nothing now.
    pub fn is_quarantined(&self, now_ms: u64) -> bool {
        now_ms < self.quarantined_until_ms
    }

    /// Work was done there.
    pub fn record_success(&mut self) {
        *self = Self { quarantined_until_ms: self.quarantined_until_ms, ..Self::default() };
    }

    /// A job failed there. `speaks` tells of a job whether its failure speaks against the worker.
    /// Returns whether the worker is to get no work for a while.
    pub fn record_failure(&mut self, job: JobKey, speaks: impl Fn(JobKey) -> bool) -> bool {
        self.failed_jobs.insert(job);
        let against = self.failed_jobs.iter().filter(|&&job| speaks(job)).count();
        // One that has just been let back must do better than before.
        let enough = if self.quarantines > 0 { 1 } else { BAD_JOBS };
        against >= enough
    }

    /// Gives it no work for a while, longer each time.
    pub fn quarantine(&mut self, now_ms: u64) {
        let pause_ms = QUARANTINE_MS << self.quarantines.min(MOST_DOUBLINGS);
        self.quarantined_until_ms = now_ms + pause_ms;
        self.quarantines += 1;
        self.failed_jobs.clear();
    }
}
