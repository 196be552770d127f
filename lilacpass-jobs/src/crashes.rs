//! Counts the worker crashes that happened during runs of a task, to find tasks that crash their workers.

use crate::{end::Suspicion, ids::WorkerName};

/// A worker crash that the task may have caused, as no better explanation is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The worker that crashed; empty if its name is not recorded.
    pub worker: WorkerName,
    /// How strong the evidence against the task is.
    pub suspicion: Suspicion,
}

/// Crashes of workers that had a run of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Crashes {
    /// Number of all known crashes.
    pub known: u32,
    /// The known crashes that have no better explanation than the task.
    pub unexplained: Vec<Crash>,
    /// Number of the last run during which a worker crashed. One run of a gang can lose several workers and still
    /// counts as one crash.
    pub last_run: u32,
}

impl Crashes {
    /// Returns whether the task may crash its next worker. The scheduler runs such a task on trial, where a crash does
    /// little harm and gives the clearest evidence.
    pub fn is_suspect(&self) -> bool {
        // Up to two known crashes, of which up to one is unexplained, may be a coincidence.
        const MAX_UNEXPLAINED: usize = 1;
        const MAX_KNOWN: u32 = 2;
        self.count_at_least(Suspicion::Suspect) > 0
            || self.unexplained.len() > MAX_UNEXPLAINED
            || self.known > MAX_KNOWN
    }

    /// Records a crash. Returns whether the task has reached a limit and must not be started again.
    ///
    /// Two crashes suffice if no other task can have caused them. The limit on all known crashes also stops tasks that
    /// crash their workers too late to be suspected, or next to other suspects. It is five because clients rely
    /// on at most two starts after the third crash.
    pub fn record(&mut self, run: u32, worker: &WorkerName, suspicion: Suspicion) -> bool {
        const ONLY_SUSPECT_LIMIT: usize = 2;
        const UNEXPLAINED_LIMIT: usize = 3;
        const KNOWN_LIMIT: u32 = 5;
        self.last_run = run;
        self.known += 1;
        if suspicion >= Suspicion::Present {
            self.unexplained.push(Crash { worker: worker.clone(), suspicion });
        }
        self.count_at_least(Suspicion::Only) >= ONLY_SUSPECT_LIMIT
            || self.unexplained.len() >= UNEXPLAINED_LIMIT
            || self.known >= KNOWN_LIMIT
    }

    /// Returns the number of unexplained crashes with at least the suspicion `min`.
    fn count_at_least(&self, min: Suspicion) -> usize {
        self.unexplained.iter().filter(|crash| crash.suspicion >= min).count()
    }

    /// Marks the crash of `worker` as explained by another task, unless only this task can have caused it. Returns
    /// whether anything changed.
    pub fn explain(&mut self, worker: &WorkerName) -> bool {
        let before = self.unexplained.len();
        self.unexplained
            .retain(|crash| crash.worker != *worker || crash.suspicion == Suspicion::Only);
        self.unexplained.len() < before
    }

    /// Removes the crash of a worker that turned out to be alive. Returns whether anything changed.
    pub fn retract(&mut self, worker: &WorkerName) -> bool {
        let is_counted = self.known > 0;
        self.known = self.known.saturating_sub(1);
        self.unexplained.retain(|crash| crash.worker != *worker);
        is_counted
    }

    /// Removes all crashes, because the task can't have caused them. Returns whether anything changed.
    pub fn clear(&mut self) -> bool {
        let is_counted = self.known > 0;
        *self = Self { last_run: self.last_run, ..Self::default() };
        is_counted
    }
}
