//! What has happened since it was last read, for metrics.

use lilacpass_jobs::failure::Cause;

/// How a worker was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkerLoss {
    /// Its life ended, and it had not said that it leaves.
    Crashed,
    /// It drained and left.
    Left,
    /// It was silent until the leases there had run out; it may live.
    LeasesExpired,
}

impl WorkerLoss {
    /// All ways.
    pub const ALL: [Self; 3] = [Self::Crashed, Self::Left, Self::LeasesExpired];

    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Left => "left",
            Self::LeasesExpired => "lapsed",
        }
    }
}

/// Counts since they were last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    lost: [u64; WorkerLoss::ALL.len()],
    failed: [u64; Cause::ALL.len()],
}

impl Counters {
    /// A worker was lost.
    pub fn count_lost_worker(&mut self, how: WorkerLoss) {
        self.lost[how as usize] += 1;
    }

    /// A job has failed.
    pub fn count_failed_job(&mut self, cause: Cause) {
        self.failed[cause as usize] += 1;
    }

    /// Jobs that failed for a cause.
    pub fn jobs_failed(&self, cause: Cause) -> u64 {
        self.failed[cause as usize]
    }

    /// Workers lost in a way.
    pub fn workers_lost(&self, how: WorkerLoss) -> u64 {
        self.lost[how as usize]
    }
}
