//! What the crashes of workers under a task say about it.

use crate::{end::Suspicion, ids::WorkerName};

/// A crash without a better explanation than the task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The worker that crashed; empty where that is not recorded.
    pub worker: WorkerName,
    /// What speaks for the task having caused it.
    pub suspicion: Suspicion,
}

/// Crashes of workers that had a run of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Crashes {
    /// All that are known.
    pub known: u32,
    /// Those of them for which there is no better explanation.
    pub unexplained: Vec<Crash>,
    /// Number of the last run under which a worker crashed; of a gang several workers may be lost at a time.
    pub last_run: u32,
}

impl Crashes {
    /// Whether the task may crash its next worker, and is to be tried where that does least harm and shows most.
    pub fn is_suspect(&self) -> bool {
        /// One without an explanation may be chance, or two that were explained.
        const MOST_UNEXPLAINED: usize = 1;
        const MOST_KNOWN: u32 = 2;
        self.with(Suspicion::Suspect) > 0
            || self.unexplained.len() > MOST_UNEXPLAINED
            || self.known > MOST_KNOWN
    }

    /// Counts one. Returns whether the task is to be given up.
    ///
    /// Twice is enough where no other task can have done it. One that crashes its workers later than that shows,
    /// or beside others that do, is given up all the same: callers allow two starts after the third crash.
    pub fn count(&mut self, run: u32, worker: &WorkerName, suspicion: Suspicion) -> bool {
        const MOST_BLAMED: usize = 2;
        const MOST_UNEXPLAINED: usize = 3;
        const MOST_KNOWN: u32 = 5;
        self.last_run = run;
        self.known += 1;
        if suspicion >= Suspicion::Present {
            self.unexplained.push(Crash { worker: worker.clone(), suspicion });
        }
        self.with(Suspicion::Only) >= MOST_BLAMED
            || self.unexplained.len() >= MOST_UNEXPLAINED
            || self.known >= MOST_KNOWN
    }

    /// Unexplained crashes of which at least so much speaks for the task having caused them.
    fn with(&self, least: Suspicion) -> usize {
        self.unexplained.iter().filter(|crash| crash.suspicion >= least).count()
    }

    /// Another task is found to have crashed a worker: that explains the crash, unless nothing but this task
    /// can have caused it. Returns whether that changes anything.
    pub fn explain(&mut self, worker: &WorkerName) -> bool {
        let before = self.unexplained.len();
        self.unexplained
            .retain(|crash| crash.worker != *worker || crash.suspicion == Suspicion::Only);
        self.unexplained.len() < before
    }

    /// Takes back the crash of a worker that lives after all. Returns whether that changes anything.
    pub fn retract(&mut self, worker: &WorkerName) -> bool {
        let is_counted = self.known > 0;
        self.known = self.known.saturating_sub(1);
        self.unexplained.retain(|crash| crash.worker != *worker);
        is_counted
    }

    /// Forgets those that can't have been the task's doing. Returns whether that changes anything.
    pub fn forget(&mut self) -> bool {
        let is_counted = self.known > 0;
        *self = Self { last_run: self.last_run, ..Self::default() };
        is_counted
    }
}
