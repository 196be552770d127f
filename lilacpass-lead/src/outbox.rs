//! Changes to be stored: they are collected while an append is in flight, and stored by the next one.

use std::{collections::BTreeSet, mem};

use lilacpass_jobs::{JobKey, TaskName, WorkerName};

use crate::event::{RequestId, Response};

/// Pause after the store has refused an append, before it is sent again.
const APPEND_RETRY_MS: u64 = 60;

/// An action that is carried out once the changes before it are stored.
#[derive(Clone, Debug, PartialEq)]
pub enum OnStored {
    /// Tell a client that its job is accepted.
    Accept(RequestId, JobKey),
    /// Send a response to a client.
    Reply(RequestId, Response),
    /// Send the start order of a run to its worker.
    SendStart {
        /// The worker to which the run is assigned.
        worker: WorkerName,
        /// The task that is run.
        task: TaskName,
        /// Number of the run of the task.
        run: u32,
    },
    /// Let a worker forget run ends that it has reported.
    ForgetEnds {
        /// The worker that has reported the ends.
        worker: WorkerName,
        /// Number of the last end that it may forget.
        up_to: u64,
    },
    /// Show the outcome of a job to clients.
    PublishOutcome(JobKey),
}

/// Changes to jobs, and the actions that wait until these are stored.
#[derive(Debug, Default)]
pub struct RecordBatch {
    /// Jobs whose plan is to be stored.
    pub plans: BTreeSet<JobKey>,
    /// Jobs whose state is to be stored.
    pub states: BTreeSet<JobKey>,
    /// Jobs whose records are to be deleted.
    pub deletions: BTreeSet<JobKey>,
    /// Jobs whose state is stored with the next append, but isn't worth an append by itself.
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

/// Changes that are to be stored, and those of the append in flight.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Changes that are not part of an append yet.
    pub pending: RecordBatch,
    in_flight: Option<RecordBatch>,
    /// When the append in flight, or the one to be repeated, was first sent, on the monotonic clock.
    first_sent_ms: Option<u64>,
    /// No append is sent before this time, on the monotonic clock.
    next_append_ms: u64,
}

impl Outbox {
    /// Queues an action until all changes so far are stored.
    pub fn when_stored(&mut self, action: OnStored) {
        self.pending.on_stored.push(action);
    }

    /// Whether an append is to be sent now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        !self.pending.is_empty() && self.in_flight.is_none() && now_ms >= self.next_append_ms
    }

    /// Starts an append of all pending changes, and returns these.
    pub fn start_append(&mut self, now_ms: u64) -> &RecordBatch {
        self.first_sent_ms.get_or_insert(now_ms);
        let mut batch = mem::take(&mut self.pending);
        if batch.has_records() {
            batch.states.append(&mut batch.piggyback_states);
        } else {
            self.pending.piggyback_states = mem::take(&mut batch.piggyback_states);
        }
        self.in_flight.insert(batch)
    }

    /// Processes the success of the append in flight. Returns the actions that waited for it.
    pub fn append_stored(&mut self) -> Vec<OnStored> {
        self.first_sent_ms = None;
        self.in_flight.take().map(|batch| batch.on_stored).unwrap_or_default()
    }

    /// Processes the failure of the append in flight, of which the store has certainly stored nothing. Its changes are
    /// pending again.
    pub fn append_refused(&mut self, now_ms: u64) {
        let Some(mut batch) = self.in_flight.take() else { return };
        batch.plans.append(&mut self.pending.plans);
        batch.states.append(&mut self.pending.states);
        batch.deletions.append(&mut self.pending.deletions);
        batch.piggyback_states.append(&mut self.pending.piggyback_states);
        batch.on_stored.append(&mut self.pending.on_stored);
        self.pending = batch;
        self.next_append_ms = now_ms + APPEND_RETRY_MS;
    }

    /// Time in ms since the current append was first sent, including repetitions after refusals; 0 if there is none.
    pub fn stuck_ms(&self, now_ms: u64) -> u64 {
        self.first_sent_ms.map_or(0, |sent_ms| now_ms.saturating_sub(sent_ms))
    }

    /// Whether the store has refused the last append and it has not been sent again yet.
    pub fn was_refused(&self) -> bool {
        self.in_flight.is_none() && self.first_sent_ms.is_some()
    }

    /// Withdraws new jobs that are certainly not stored. Returns them with the requests of their clients.
    pub fn withdraw_unstored_jobs(&mut self) -> Vec<(RequestId, JobKey)> {
        let withdrawn = mem::take(&mut self.pending.plans);
        self.pending.states.retain(|job| !withdrawn.contains(job));
        let mut clients = Vec::new();
        self.pending.on_stored.retain(|action| match action {
            OnStored::Accept(request_id, job) if withdrawn.contains(job) => {
                clients.push((*request_id, *job));
                false
            }
            OnStored::Accept(..)
            | OnStored::Reply(..)
            | OnStored::SendStart { .. }
            | OnStored::ForgetEnds { .. }
            | OnStored::PublishOutcome(_) => true,
        });
        clients
    }
}
