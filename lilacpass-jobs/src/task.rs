//! One task and the runs of it that may be on workers.

use std::sync::Arc;

use crate::{end::Suspicion, ids::WorkerName};

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
    /// Workers that crashed while they had a run of it.
    pub crashes: u32,
    /// Those of them for whose crash there is no other explanation.
    pub unexplained: u32,
    /// Those of these that are not known to have outlived its start.
    pub suspected: u32,
    /// Number of the last run under which a worker crashed; of a gang several workers may be lost at a time.
    pub crashed_run: u32,
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

    /// Whether it may crash its next worker, and is to be tried where that does least harm and shows most.
    pub fn is_suspected(&self) -> bool {
        /// One without an explanation may be chance, or two that were explained.
        const MOST_UNEXPLAINED: u32 = 1;
        const MOST_CRASHES: u32 = 2;
        self.suspected > 0 || self.unexplained > MOST_UNEXPLAINED || self.crashes > MOST_CRASHES
    }

    /// Counts the crash of a worker under a run. Returns whether the task is to be given up.
    ///
    /// Twice is enough where no other task can have done it. One that crashes its workers later than that shows,
    /// or beside others that do, is given up all the same: callers allow two starts after the third crash.
    pub fn note_crash(&mut self, suspicion: Suspicion) -> bool {
        const MOST_BLAMED: u32 = 2;
        const MOST_UNEXPLAINED: u32 = 3;
        const MOST_CRASHES: u32 = 5;
        self.crashes += 1;
        self.unexplained += u32::from(suspicion >= Suspicion::Present);
        self.suspected += u32::from(suspicion >= Suspicion::Suspect);
        let is_blamed = suspicion == Suspicion::Only && self.suspected >= MOST_BLAMED;
        is_blamed || self.unexplained >= MOST_UNEXPLAINED || self.crashes >= MOST_CRASHES
    }

    /// Takes back the crash of a worker that lives after all. Returns whether that changes anything.
    pub fn retract_crash(&mut self, suspicion: Suspicion) -> bool {
        let is_counted = self.crashes > 0;
        self.crashes = self.crashes.saturating_sub(1);
        let was_unexplained = u32::from(suspicion >= Suspicion::Present);
        self.unexplained = self.unexplained.saturating_sub(was_unexplained);
        is_counted
    }

    /// Forgets crashes that can't have been its doing. Returns whether that changes anything.
    pub fn acquit(&mut self) -> bool {
        let is_counted = self.crashes > 0;
        (self.crashes, self.unexplained, self.suspected) = (0, 0, 0);
        is_counted
    }

    /// Whether nothing has happened to it yet.
    pub fn is_untouched(&self) -> bool {
        *self == Self::default()
    }
}
