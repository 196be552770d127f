//! Evidence of faulty workers, as opposed to jobs that fail anywhere and to occasional failures.
//!
//! Load pattern: some workers immediately fail everything that they start, so they look idle and attract ever more
//! work. At the same time some jobs fail wherever they run. A task has few attempts, and each one wasted on a faulty
//! worker brings its job closer to failing without need.
//!
//! The evidence against a worker is that several jobs have failed there that have not failed elsewhere. A single
//! successful run clears it.

use std::collections::BTreeSet;

use lilacpass_jobs::JobKey;

/// Number of failed jobs after which a worker is quarantined. The tasks of a sound job fail in 0.5 % to 2 % of their
/// runs, so two failures in a row are most likely caused by the worker.
const QUARANTINE_JOBS: usize = 2;
/// Length of the first quarantine of a worker. Faults of workers last for some seconds.
const FIRST_QUARANTINE_MS: u64 = 2_000;
/// Maximum number of times that the length of a worker's quarantine is doubled.
const MAX_QUARANTINE_DOUBLINGS: u32 = 2;
/// At most one worker in this many is quarantined, whatever the evidence is, to limit the capacity lost to mistakes.
pub const MIN_WORKERS_PER_QUARANTINE: usize = 4;

/// The evidence against a worker, and its quarantine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerHealth {
    /// Jobs that have failed or stalled on the worker since a run last succeeded there or a quarantine began.
    pub failed_jobs: BTreeSet<JobKey>,
    /// The worker gets no runs before this time, on the monotonic clock.
    pub quarantined_until_ms: u64,
    /// Number of quarantines since a run last succeeded there.
    quarantines: u32,
}

impl WorkerHealth {
    /// Whether there is no evidence against the worker.
    pub fn is_clean(&self) -> bool {
        self.failed_jobs.is_empty() && self.quarantines == 0
    }

    /// Whether the worker is in quarantine.
    pub fn is_quarantined(&self, now_ms: u64) -> bool {
        now_ms < self.quarantined_until_ms
    }

    /// Clears the evidence after a run has succeeded on the worker. A quarantine that has begun still lasts until its
    /// end.
    pub fn record_success(&mut self) {
        *self = Self { quarantined_until_ms: self.quarantined_until_ms, ..Self::default() };
    }

    /// Records that a job failed or stalled on the worker. `counts_against_worker` decides whether the failure of a
    /// job is evidence against the worker. Returns whether the evidence suffices for a quarantine.
    pub fn record_failure(
        &mut self,
        job: JobKey,
        counts_against_worker: impl Fn(JobKey) -> bool,
    ) -> bool {
        self.failed_jobs.insert(job);
        let evidence = self.failed_jobs.iter().filter(|&&job| counts_against_worker(job)).count();
        // After a quarantine, a single failure is enough.
        let required = if self.quarantines > 0 { 1 } else { QUARANTINE_JOBS };
        evidence >= required
    }

    /// Starts a quarantine, and clears the failed jobs. The length doubles with each quarantine since a run last
    /// succeeded, at most `MAX_QUARANTINE_DOUBLINGS` times.
    pub fn quarantine(&mut self, now_ms: u64) {
        let quarantine_ms = FIRST_QUARANTINE_MS << self.quarantines.min(MAX_QUARANTINE_DOUBLINGS);
        self.quarantined_until_ms = now_ms + quarantine_ms;
        self.quarantines += 1;
        self.failed_jobs.clear();
    }
}
