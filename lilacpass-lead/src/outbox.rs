//! Changes on their way into the store: gathered while an append is under way, stored by the next.

use std::{collections::BTreeSet, mem};

use lilacpass_jobs::{JobKey, TaskName, WorkerName};

use crate::event::{RequestId, Response};

/// Pause before an append that the store refused is sent again.
const RETRY_MS: u64 = 60;

/// What becomes possible once a change is stored.
#[derive(Clone, Debug, PartialEq)]
pub enum After {
    /// Tell a caller that its job is accepted.
    Accept(RequestId, JobKey),
    /// Answer a caller.
    Reply(RequestId, Response),
    /// Order a run.
    Order {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: u32,
    },
    /// Let a worker forget its ends.
    Forget {
        /// The worker.
        worker: WorkerName,
        /// Up to this number.
        upto: u64,
    },
    /// Show the state of a job to callers.
    Show(JobKey),
}

/// Changes, and what follows once they are stored.
#[derive(Debug, Default)]
pub struct Changes {
    /// Jobs whose plan is to be stored.
    pub plans: BTreeSet<JobKey>,
    /// Jobs whose state is to be stored.
    pub states: BTreeSet<JobKey>,
    /// Jobs whose records are to be dropped.
    pub drops: BTreeSet<JobKey>,
    /// Jobs whose state is stored together with whatever is stored next, since it alone is not worth a call.
    pub beside: BTreeSet<JobKey>,
    after: Vec<After>,
}

impl Changes {
    fn is_empty(&self) -> bool {
        !self.has_records() && self.after.is_empty()
    }

    fn has_records(&self) -> bool {
        !(self.plans.is_empty() && self.states.is_empty() && self.drops.is_empty())
    }
}

/// Changes that are to be stored.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Those that wait for the append under way.
    pub waiting: Changes,
    under_way: Option<Changes>,
    /// When the append under way was first sent.
    first_sent_ms: Option<u64>,
    not_before_ms: u64,
}

impl Outbox {
    /// Waits with `after` until all that has changed so far is stored.
    pub fn then(&mut self, after: After) {
        self.waiting.after.push(after);
    }

    /// Whether something is to be sent now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        !self.waiting.is_empty() && self.under_way.is_none() && now_ms >= self.not_before_ms
    }

    /// Takes all that waits to be sent.
    pub fn send(&mut self, now_ms: u64) -> &Changes {
        self.first_sent_ms.get_or_insert(now_ms);
        let mut changes = mem::take(&mut self.waiting);
        if changes.has_records() {
            changes.states.append(&mut changes.beside);
        } else {
            self.waiting.beside = mem::take(&mut changes.beside);
        }
        self.under_way.insert(changes)
    }

    /// Notes that the append under way is stored. Returns what became possible.
    pub fn stored(&mut self) -> Vec<After> {
        self.first_sent_ms = None;
        self.under_way.take().map(|changes| changes.after).unwrap_or_default()
    }

    /// Notes that the store has surely done nothing of the append under way.
    pub fn refused(&mut self, now_ms: u64) {
        let Some(mut changes) = self.under_way.take() else { return };
        changes.plans.append(&mut self.waiting.plans);
        changes.states.append(&mut self.waiting.states);
        changes.drops.append(&mut self.waiting.drops);
        changes.beside.append(&mut self.waiting.beside);
        changes.after.append(&mut self.waiting.after);
        self.waiting = changes;
        self.not_before_ms = now_ms + RETRY_MS;
    }

    /// How long the store has not taken what was sent to it.
    pub fn stuck_ms(&self, now_ms: u64) -> u64 {
        self.first_sent_ms.map_or(0, |sent_ms| now_ms.saturating_sub(sent_ms))
    }

    /// Whether the store has refused what was sent to it, and nothing is under way.
    pub fn is_refused(&self) -> bool {
        self.under_way.is_none() && self.first_sent_ms.is_some()
    }

    /// Takes back jobs that have surely not been stored. Returns their callers.
    pub fn take_back_jobs(&mut self) -> Vec<(RequestId, JobKey)> {
        let taken = mem::take(&mut self.waiting.plans);
        self.waiting.states.retain(|job| !taken.contains(job));
        let mut callers = Vec::new();
        self.waiting.after.retain(|after| match after {
            After::Accept(request_id, job) if taken.contains(job) => {
                callers.push((*request_id, *job));
                false
            }
            After::Accept(..)
            | After::Reply(..)
            | After::Order { .. }
            | After::Forget { .. }
            | After::Show(_) => true,
        });
        callers
    }
}
