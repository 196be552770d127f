//! What has changed since the last round of placing.
//!
//! Load pattern: a full cell with hundreds of waiting steps, in which a task ends each millisecond.
//! Looking at every step and every worker after each of these took a sixth of the leader's processor at
//! 350 workers. Only a step that changed itself, or that a worker with new room is open to, can be
//! placed when it could not be before.

use std::{collections::BTreeSet, mem};

use lilacpass_jobs::{StepName, WorkerName};

/// Time between rounds that look at everything: what changes with time alone, as the end of a
/// quarantine, is noticed so late.
const ALL_INTERVAL_MS: u64 = 100;

/// What is noted between rounds.
#[derive(Debug, Default)]
pub struct PendingChanges {
    freed: BTreeSet<WorkerName>,
    changed: BTreeSet<StepName>,
    next_all_ms: u64,
}

/// What one round looks at.
#[derive(Debug, Default)]
pub struct RoundScope {
    /// Everything.
    pub all: bool,
    /// Workers that have more room, or take starts again.
    pub freed: BTreeSet<WorkerName>,
    /// Steps with more tasks to start, or with new advice.
    pub changed: BTreeSet<StepName>,
}

impl PendingChanges {
    /// A worker has more room, or takes starts again.
    pub fn mark_worker_freed(&mut self, worker: &WorkerName) {
        self.freed.insert(worker.clone());
    }

    /// A step has more tasks to start, or new advice.
    pub fn mark_step_changed(&mut self, step: StepName) {
        self.changed.insert(step);
    }

    /// How many steps have changed that no round has looked at since.
    pub fn changed_steps(&self) -> usize {
        self.changed.len()
    }

    /// Takes what the round at `now_ms` looks at.
    pub fn take(&mut self, now_ms: u64) -> RoundScope {
        let all = now_ms >= self.next_all_ms;
        if all {
            self.next_all_ms = now_ms + ALL_INTERVAL_MS;
        }
        let freed = mem::take(&mut self.freed);
        let changed = mem::take(&mut self.changed);
        RoundScope { all, freed, changed }
    }
}
