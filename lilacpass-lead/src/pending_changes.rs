//! Tracks what has changed since the previous scheduling round.
//!
//! Load pattern: a full cell with hundreds of waiting steps, in which a task ends every millisecond. Reconsidering
//! every step and every worker after each end took a sixth of the leader's CPU with 350 workers. A step that could not
//! be placed before can only become placeable if the step itself has changed, or if a worker that it may use has more
//! free capacity.

use std::{collections::BTreeSet, mem};

use lilacpass_jobs::{StepName, WorkerName};

/// Time in ms between full rounds, which consider all steps and workers. It bounds the delay until a change that comes
/// with time alone, such as the end of a quarantine, takes effect.
const FULL_ROUND_INTERVAL_MS: u64 = 100;

/// Changes since the previous round.
#[derive(Debug, Default)]
pub struct PendingChanges {
    freed: BTreeSet<WorkerName>,
    changed: BTreeSet<StepName>,
    next_full_round_ms: u64,
}

/// The steps and workers that one round considers.
#[derive(Debug, Default)]
pub struct RoundScope {
    /// Whether this is a full round, which considers all steps and workers.
    pub all: bool,
    /// Workers that have more free capacity or accept starts again.
    pub freed: BTreeSet<WorkerName>,
    /// Steps that have more tasks to start or new advice.
    pub changed: BTreeSet<StepName>,
}

impl PendingChanges {
    /// Records that a worker has more free capacity or accepts starts again.
    pub fn mark_worker_freed(&mut self, worker: &WorkerName) {
        self.freed.insert(worker.clone());
    }

    /// Records that a step has more tasks to start or new advice.
    pub fn mark_step_changed(&mut self, step: StepName) {
        self.changed.insert(step);
    }

    /// Makes the next round a full one.
    pub fn request_full_round(&mut self) {
        self.next_full_round_ms = 0;
    }

    /// Returns the number of changed steps that no round has considered since.
    pub fn changed_step_count(&self) -> usize {
        self.changed.len()
    }

    /// Takes the recorded changes and returns what the round at `now_ms` considers.
    pub fn take(&mut self, now_ms: u64) -> RoundScope {
        let all = now_ms >= self.next_full_round_ms;
        if all {
            self.next_full_round_ms = now_ms + FULL_ROUND_INTERVAL_MS;
        }
        let freed = mem::take(&mut self.freed);
        let changed = mem::take(&mut self.changed);
        RoundScope { all, freed, changed }
    }
}
