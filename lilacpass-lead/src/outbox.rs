//! Changes on their way into the store: gathered while an append is under way, stored by the next.

use std::{collections::BTreeSet, mem};

use lilacpass_jobs::{JobKey, TaskName, WorkerName};

use crate::event::{RequestId, Response};

/// Pause before an append that the store refused is sent again.
const RETRY_MS: u64 = 60;

/// What becomes possible once a change is stored.
#[derive(Clone, Debug, PartialEq)]
pub enum OnStored {
    /// Tell a caller that its job is accepted.
    Accept(RequestId, JobKey),
    /// Answer a caller.
    Reply(RequestId, Response),
    /// Order a run.
    SendStart {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: u32,
    },
    /// Let a worker forget its ends.
    ForgetEnds {
        /// The worker.
        worker: WorkerName,
        /// Up to this number.
        upto: u64,
    },
    /// Show the state of a job to callers.
    PublishOutcome(JobKey),
}

/// Changes, and what follows once they are stored.
#[derive(Debug, Default)]
pub struct RecordBatch {
    /// Jobs whose plan is to be stored.
    pub plans: BTreeSet<JobKey>,
    /// Jobs whose state is to be stored.
    pub states: BTreeSet<JobKey>,
    /// Jobs whose records are to be dropped.
    pub deletions: BTreeSet<JobKey>,
    /// Jobs whose state is stored together with whatever is stored next, since it alone is not worth a call.
    pub piggyback_states: BTreeSet<JobKey>,
    on_stored: Vec<OnStored>,
}

impl RecordBatch {
    fn is_empty(&self) -> bool {
        !self.has_records() && self.on_stored.is_empty()
    }

    fn has_records(&self) -> bool {
        !(self.plans.is_empty() && self.states.is_empty() && self.deletions.is_empty())
    }
}

/// Changes that are to be stored.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Those that wait for the append under way.
    pub pending: RecordBatch,
    in_flight: Option<RecordBatch>,
    /// When the append under way was first sent.
    first_sent_ms: Option<u64>,
    not_before_ms: u64,
}

impl Outbox {
    /// Waits with `after` until all that has changed so far is stored.
    pub fn when_stored(&mut self, after: OnStored) {
        self.pending.on_stored.push(after);
    }

    /// Whether something is to be sent now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        !self.pending.is_empty() && self.in_flight.is_none() && now_ms >= self.not_before_ms
    }

    /// Takes all that waits to be sent.
    pub fn start_append(&mut self, now_ms: u64) -> &RecordBatch {
        self.first_sent_ms.get_or_insert(now_ms);
        let mut changes = mem::take(&mut self.pending);
        if changes.has_records() {
            changes.states.append(&mut changes.piggyback_states);
        } else {
            self.pending.piggyback_states = mem::take(&mut changes.piggyback_states);
        }
        self.in_flight.insert(changes)
    }

    /// Notes that the append under way is stored. Returns what became possible.
    pub fn append_stored(&mut self) -> Vec<OnStored> {
        self.first_sent_ms = None;
        self.in_flight.take().map(|changes| changes.on_stored).unwrap_or_default()
    }

    /// Notes that the store has surely done nothing of the append under way.
    pub fn append_refused(&mut self, now_ms: u64) {
        let Some(mut changes) = self.in_flight.take() else { return };
        changes.plans.append(&mut self.pending.plans);
        changes.states.append(&mut self.pending.states);
        changes.deletions.append(&mut self.pending.deletions);
        changes.piggyback_states.append(&mut self.pending.piggyback_states);
        changes.on_stored.append(&mut self.pending.on_stored);
        self.pending = changes;
        self.not_before_ms = now_ms + RETRY_MS;
    }

    /// How long the store has not taken what was sent to it.
    pub fn stuck_ms(&self, now_ms: u64) -> u64 {
        self.first_sent_ms.map_or(0, |sent_ms| now_ms.saturating_sub(sent_ms))
    }

    /// Whether the store has refused what was sent to it, and nothing is under way.
    pub fn was_refused(&self) -> bool {
        self.in_flight.is_none() && self.first_sent_ms.is_some()
    }

    /// Takes back jobs that have surely not been stored. Returns their callers.
    pub fn withdraw_unstored_jobs(&mut self) -> Vec<(RequestId, JobKey)> {
        let taken = mem::take(&mut self.pending.plans);
        self.pending.states.retain(|job| !taken.contains(job));
        let mut callers = Vec::new();
        self.pending.on_stored.retain(|after| match after {
            OnStored::Accept(request_id, job) if taken.contains(job) => {
                callers.push((*request_id, *job));
                false
            }
            OnStored::Accept(..)
            | OnStored::Reply(..)
            | OnStored::SendStart { .. }
            | OnStored::ForgetEnds { .. }
            | OnStored::PublishOutcome(_) => true,
        });
        callers
    }
}
