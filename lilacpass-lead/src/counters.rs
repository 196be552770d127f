//! Counts of events for metrics, since they were last read.

use lilacpass_jobs::failure::Cause;

use crate::fair_use::Band;

/// How a worker was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkerLoss {
    /// Its incarnation ended although it was not draining.
    Crashed,
    /// It drained and left.
    Left,
    /// It was unresponsive until its leases had expired. It may still be alive.
    LeasesExpired,
}

impl WorkerLoss {
    /// All kinds of loss.
    pub const ALL: [Self; 3] = [Self::Crashed, Self::Left, Self::LeasesExpired];

    /// The name of the kind in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Left => "left",
            Self::LeasesExpired => "lapsed",
        }
    }
}

/// Counts of calls for advice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdviceCounters {
    /// Workers that they named.
    pub workers_named: u64,
    /// Workers that the responses allowed, each with a ticket.
    pub workers_allowed: u64,
    /// Starts that were sent with a ticket.
    pub starts: u64,
}

/// Counts of events in the cell since they were last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    lost: [u64; WorkerLoss::ALL.len()],
    failed: [u64; Cause::ALL.len()],
    /// Calls for advice and what came of them.
    pub advice: AdviceCounters,
    band_changes: [u64; Band::ALL.len()],
    /// Runs that went on after they had been given up because all leases on their workers had to have expired.
    pub runs_beyond_leases: u64,
    /// Jobs that were refused because the known ones take up all memory for jobs.
    pub jobs_refused_for_memory: u64,
}

impl Counters {
    /// Counts a lost worker.
    pub fn count_lost_worker(&mut self, loss: WorkerLoss) {
        self.lost[loss as usize] += 1;
    }

    /// Counts a failed job.
    pub fn count_failed_job(&mut self, cause: Cause) {
        self.failed[cause as usize] += 1;
    }

    /// Counts a change of the band of an account.
    pub fn count_band_change(&mut self, to: Band) {
        self.band_changes[to.index()] += 1;
    }

    /// Number of times that an account entered this band from another one.
    pub fn band_changes(&self, to: Band) -> u64 {
        self.band_changes[to.index()]
    }

    /// Number of jobs that failed for this cause.
    pub fn jobs_failed(&self, cause: Cause) -> u64 {
        self.failed[cause as usize]
    }

    /// Number of workers that were lost in this way.
    pub fn workers_lost(&self, loss: WorkerLoss) -> u64 {
        self.lost[loss as usize]
    }
}
