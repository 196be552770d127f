//! One task and the runs of it that may be on workers.

use std::sync::Arc;

use crate::{crashes::Crashes, ids::WorkerName};

/// A run that was given to a worker and is not known to have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Number of the run; rises with each start of the task.
    pub number: u32,
    /// Where it may be.
    pub worker: WorkerName,
    /// Data centre of the worker.
    pub data_centre: Arc<str>,
}

/// A task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Task {
    /// A run of it has done its work.
    pub done: bool,
    /// Highest number that a run was given; 0 before the first.
    pub last_run: u32,
    /// Runs that ended as failed.
    pub failed: u32,
    /// Number of the last run that was counted as failed, so that an end that is told twice, or by
    /// several members of a gang, counts once.
    pub failed_run: u32,
    /// Crashes of workers that had a run of it.
    pub crashes: Crashes,
    /// Saved progress; empty where there is none.
    pub checkpoint: String,
    /// Runs that may be on workers; more than one only where copies are allowed.
    pub runs: Vec<Run>,
}

impl Task {
    /// Whether it is neither done nor possibly running anywhere.
    pub fn is_waiting(&self) -> bool {
        !self.done && self.runs.is_empty()
    }

    /// The run with this number, if it may be on a worker.
    pub fn run(&self, number: u32) -> Option<&Run> {
        self.runs.iter().find(|run| run.number == number)
    }

    /// Whether nothing has happened to it yet.
    pub fn is_untouched(&self) -> bool {
        *self == Self::default()
    }
}
