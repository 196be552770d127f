//! The state of a task and of its runs that may be on workers.

use std::sync::Arc;

use crate::{crashes::Crashes, ids::WorkerName};

/// A worker with what a new leader needs to call it while it is not registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunHost {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Data centre of the worker.
    pub data_centre: Arc<str>,
    /// Address to which orders are sent; empty if it is not known.
    pub address: Arc<str>,
}

impl RunHost {
    /// Creates the host of a run.
    pub fn new(worker: WorkerName, data_centre: &str, address: &str) -> Self {
        Self { worker, data_centre: Arc::from(data_centre), address: Arc::from(address) }
    }
}

/// A run that is assigned to a worker and is not known to have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Number of the run; increases with each start of the task.
    pub number: u32,
    /// The worker that the run is assigned to.
    pub host: RunHost,
}

/// The state of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Task {
    /// Whether a run of the task has finished its work.
    pub done: bool,
    /// Number of the last assigned run; 0 before the first.
    pub last_run: u32,
    /// Number of failed runs.
    pub failed: u32,
    /// Number of the last run that was counted as failed. An end that is reported twice, or by several members of a
    /// gang, counts once.
    pub failed_run: u32,
    /// Crashes of workers that had a run of the task.
    pub crashes: Crashes,
    /// The last saved progress; empty if there is none.
    pub checkpoint: String,
    /// Runs that may be on workers; more than one only if the step allows speculative copies.
    pub runs: Vec<Run>,
}

impl Task {
    /// Returns whether the task is not done and no worker can be running it.
    pub fn is_waiting(&self) -> bool {
        !self.done && self.runs.is_empty()
    }

    /// Returns the run with this number, if it may be on a worker.
    pub fn run(&self, number: u32) -> Option<&Run> {
        self.runs.iter().find(|run| run.number == number)
    }

    /// Returns whether the task still has its initial state.
    pub fn is_untouched(&self) -> bool {
        *self == Self::default()
    }
}
