//! What the crashes of workers under a task say about it.

use crate::end::Suspicion;

/// Crashes of workers that had a run of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crashes {
    /// All that are known.
    pub known: u32,
    /// Those of them for which there is no other explanation.
    pub unexplained: u32,
    /// Those of these where the worker is not known to have outlived the start of the run.
    pub suspected: u32,
    /// Those of these where that holds for no other task.
    pub blamed: u32,
    /// Number of the last run under which a worker crashed; of a gang several workers may be lost at a time.
    pub last_run: u32,
}

impl Crashes {
    /// Whether the task may crash its next worker, and is to be tried where that does least harm and shows most.
    pub fn make_suspect(&self) -> bool {
        /// One without an explanation may be chance, or two that were explained.
        const MOST_UNEXPLAINED: u32 = 1;
        const MOST_KNOWN: u32 = 2;
        self.suspected > 0 || self.unexplained > MOST_UNEXPLAINED || self.known > MOST_KNOWN
    }

    /// Counts one. Returns whether the task is to be given up.
    ///
    /// Twice is enough where no other task can have done it. One that crashes its workers later than that shows,
    /// or beside others that do, is given up all the same: callers allow two starts after the third crash.
    pub fn count(&mut self, run: u32, suspicion: Suspicion) -> bool {
        const MOST_BLAMED: u32 = 2;
        const MOST_UNEXPLAINED: u32 = 3;
        const MOST_KNOWN: u32 = 5;
        self.last_run = run;
        self.known += 1;
        self.unexplained += u32::from(suspicion >= Suspicion::Present);
        self.suspected += u32::from(suspicion >= Suspicion::Suspect);
        self.blamed += u32::from(suspicion >= Suspicion::Only);
        self.blamed >= MOST_BLAMED
            || self.unexplained >= MOST_UNEXPLAINED
            || self.known >= MOST_KNOWN
    }

    /// Takes back a crash of a worker that lives after all. Returns whether that changes anything.
    pub fn retract(&mut self, suspicion: Suspicion) -> bool {
        let is_counted = self.known > 0;
        let was_unexplained = u32::from(suspicion >= Suspicion::Present);
        self.known = self.known.saturating_sub(1);
        self.unexplained = self.unexplained.saturating_sub(was_unexplained);
        is_counted
    }

    /// Forgets those that can't have been the task's doing. Returns whether that changes anything.
    pub fn forget(&mut self) -> bool {
        let is_counted = self.known > 0;
        *self = Self { last_run: self.last_run, ..Self::default() };
        is_counted
    }
}
