//! Changes to be stored: they are collected while an append is in flight, and stored by the next one.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

use lilacpass_jobs::{JobKey, TaskName, WorkerName};

use crate::event::RequestId;

/// Pause after the store has refused an append, before it is sent again.
const APPEND_RETRY_MS: u64 = 60;
/// Pause before a state that the store has rejected is sent again, unless other records are to be stored.
const REJECTED_RETRY_MS: u64 = 5_000;

/// An action that is carried out once the changes before it are stored.
#[derive(Clone, Debug, PartialEq)]
pub enum OnStored {
    /// Tell a client that its job is accepted.
    Accept(RequestId, JobKey),
    /// Tell a client that its job is cancelled.
    Cancel(RequestId, JobKey),
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

impl OnStored {
    /// Whether the action may follow from the state of a job. Reported ends may be of runs of any job.
    fn may_follow_from(&self, state: JobKey) -> bool {
        match self {
            Self::Accept(..) => false,
            Self::Cancel(_, job) | Self::PublishOutcome(job) => *job == state,
            Self::SendStart { task, .. } => task.step.job == state,
            Self::ForgetEnds { .. } => true,
        }
    }

    fn forgets_ends_of(&self, name: &WorkerName) -> bool {
        matches!(self, Self::ForgetEnds { worker, .. } if worker == name)
    }
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
    /// The actions that wait for states of jobs that the store has rejected.
    held: BTreeMap<JobKey, Vec<OnStored>>,
    /// When the rejected states are sent again, on the monotonic clock.
    next_rejected_ms: u64,
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
        let has_records = !self.pending.is_empty() || self.is_rejected_due(now_ms);
        has_records && self.in_flight.is_none() && now_ms >= self.next_append_ms
    }

    /// Whether rejected states are to be sent again.
    fn is_rejected_due(&self, now_ms: u64) -> bool {
        !self.held.is_empty() && now_ms >= self.next_rejected_ms
    }

    /// Starts an append of all pending changes, and returns these.
    pub fn start_append(&mut self, now_ms: u64) -> &RecordBatch {
        self.first_sent_ms.get_or_insert(now_ms);
        if self.is_rejected_due(now_ms) {
            self.pending.states.extend(self.held.keys());
        }
        let mut batch = mem::take(&mut self.pending);
        if batch.has_records() {
            batch.states.append(&mut batch.piggyback_states);
        } else {
            self.pending.piggyback_states = mem::take(&mut batch.piggyback_states);
        }
        let held = self.held.extract_if(.., |job, _| batch.states.contains(job));
        batch.on_stored.splice(0..0, held.flat_map(|(_, actions)| actions));
        self.in_flight.insert(batch)
    }

    /// Holds back what follows from states in the append in flight that the store has rejected, until later states of
    /// these jobs are stored.
    pub fn hold_states(&mut self, rejected: &[JobKey], now_ms: u64) {
        let Some(batch) = &mut self.in_flight else { return };
        for job in rejected {
            let actions = batch.on_stored.extract_if(.., |action| action.may_follow_from(*job));
            self.held.entry(*job).or_default().extend(actions);
            self.next_rejected_ms = now_ms + REJECTED_RETRY_MS;
        }
    }

    /// Withdraws a job whose plan the store has rejected. Returns the requests of its clients.
    pub fn withdraw_job(&mut self, key: JobKey) -> Vec<RequestId> {
        let in_flight = self.in_flight.iter_mut().map(|batch| &mut batch.on_stored);
        let mut clients = Vec::new();
        for actions in in_flight.chain([&mut self.pending.on_stored]) {
            actions.retain(|action| match action {
                OnStored::Accept(request_id, job) if *job == key => {
                    clients.push(*request_id);
                    false
                }
                _ => true,
            });
        }
        clients
    }

    /// Processes the success of the append in flight. Returns the actions that waited for it.
    pub fn append_stored(&mut self) -> Vec<OnStored> {
        self.first_sent_ms = None;
        let mut actions = self.in_flight.take().map(|batch| batch.on_stored).unwrap_or_default();
        for (job, held) in &mut self.held {
            let later = actions.extract_if(.., |action| match action {
                // A worker forgets all ends up to a number, so later ends wait for earlier ones.
                OnStored::ForgetEnds { worker, .. } => {
                    held.iter().any(|earlier| earlier.forgets_ends_of(worker))
                }
                // The job was cancelled before.
                action => action.may_follow_from(*job),
            });
            let later: Vec<OnStored> = later.collect();
            held.extend(later);
        }
        actions
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
            | OnStored::Cancel(..)
            | OnStored::SendStart { .. }
            | OnStored::ForgetEnds { .. }
            | OnStored::PublishOutcome(_) => true,
        });
        clients
    }
}
