//! One job: its state, and how it moves on.

use std::{sync::Arc, time::Duration};

use lilacpass_core::{
    MonoTime, Resources, Verdict,
    ids::{AttemptNo, JobId, Offset, TaskId, TeamId, WorkerId},
};
use lilacpass_schema::v1::{self, TaskOutcome};

use super::{
    attempt::{self, Attempt, Ended},
    settle::{self, Next, Work},
};

/// Backoff after the second setback in a row; doubles with each one more.
const BACKOFF_START: Duration = Duration::from_secs(1);
/// Longest backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(60);
/// A task that ran for this long has brought its job further: earlier setbacks are forgotten.
const PROGRESS_MS: u64 = 60_000;

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepted, and no attempt is active.
    Waiting {
        /// Number that the next attempt must have.
        next_attempt: AttemptNo,
    },
    /// The attempt that won; some of its tasks have not ended.
    Active(Box<Attempt>),
    /// Ended for good.
    Ended(Box<Ended>),
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    pub(super) id: JobId,
    pub(super) team: TeamId,
    /// Nothing in a stub.
    pub(super) spec: Option<Arc<v1::JobSpec>>,
    pub(super) body_digest: Box<str>,
    pub(super) entry: Arc<str>,
    pub(super) accepted_offset: Offset,
    pub(super) state: State,
    /// Who asked for its cancellation.
    pub(super) cancelled: Option<String>,
    pub(super) failures: u32,
    pub(super) setbacks: u32,
    pub(super) may_have_started: bool,
    /// By task position; empty where no task has one.
    pub(super) checkpoints: Vec<String>,
    pub(super) since: MonoTime,
    pub(super) expired: bool,
}

impl Job {
    /// Its id.
    pub fn id(&self) -> JobId {
        self.id
    }

    /// The team that it belongs to.
    pub fn team(&self) -> &TeamId {
        &self.team
    }

    /// What is to be run. The payload is dropped once the job has ended, and
    /// ended jobs whose specs are alike share one.
    pub fn spec(&self) -> &v1::JobSpec {
        static NONE: v1::JobSpec = EMPTY_SPEC;
        self.spec.as_deref().unwrap_or(&NONE)
    }

    /// Digest of the request body.
    pub fn body_digest(&self) -> &str {
        &self.body_digest
    }

    /// The entry instance that accepted it.
    pub fn entry(&self) -> &str {
        &self.entry
    }

    /// Offset of the record that accepted it; its age among jobs.
    pub fn accepted_offset(&self) -> Offset {
        self.accepted_offset
    }

    /// Where it stands.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Its active attempt.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.state {
            State::Active(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// How it ended.
    pub fn ended(&self) -> Option<&Ended> {
        match &self.state {
            State::Ended(ended) => Some(ended),
            _ => None,
        }
    }

    /// Number that its next attempt must have, while it waits.
    pub fn next_attempt(&self) -> Option<AttemptNo> {
        match self.state {
            State::Waiting { next_attempt } => Some(next_attempt),
            _ => None,
        }
    }

    /// Who asked for its cancellation.
    pub fn cancelled_by(&self) -> Option<&str> {
        self.cancelled.as_deref()
    }

    /// Attempts so far that count against the most that are allowed.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether a task of an attempt that is over may have started.
    pub fn may_have_started(&self) -> bool {
        self.may_have_started
    }

    /// Checkpoint that the task at `index` resumes from.
    pub fn checkpoint(&self, index: u32) -> Option<&str> {
        let checkpoint = self.checkpoints.get(index as usize)?;
        Some(checkpoint.as_str()).filter(|checkpoint| !checkpoint.is_empty())
    }

    /// Checkpoints by task position, empty text where there is none; empty without any.
    pub fn checkpoints(&self) -> &[String] {
        &self.checkpoints
    }

    /// When this member folded the last change of its state; after a restore, when that was.
    pub fn since(&self) -> MonoTime {
        self.since
    }

    /// How long its driver should wait before the next attempt, counted from [`Job::since`]: not
    /// at all after the first setback, then 1 s and twice as long each time, up to a minute. Ends
    /// that say nothing about the job, such as a lapse, are no setbacks.
    pub fn backoff(&self) -> Duration {
        match self.setbacks {
            0 | 1 => Duration::ZERO,
            n => BACKOFF_START.saturating_mul(1 << (n - 2).min(16)).min(BACKOFF_MAX),
        }
    }

    /// Size of each task.
    pub fn each(&self) -> Resources {
        self.spec().each.as_ref().map_or(Resources::ZERO, |each| {
            Resources::new(each.cpu_milli, each.memory_mib, each.accelerators, each.slots)
        })
    }

    /// What [`settle`] needs to know of it.
    pub fn work(&self) -> Work {
        let spec = self.spec();
        Work {
            idempotent: spec.idempotent,
            checkpointable: spec.checkpointable,
            standing: spec.standing,
            cancelled: self.cancelled.is_some(),
        }
    }

    /// Tasks that have not ended, with their workers.
    pub fn running(&self) -> impl Iterator<Item = (TaskId, WorkerId)> {
        self.attempt().into_iter().flat_map(|attempt| {
            attempt.running().map(|placement| {
                let task = TaskId { job: self.id, attempt: attempt.number, index: placement.index };
                (task, WorkerId::new(&placement.worker))
            })
        })
    }

    /// Whether only its end is known any more.
    pub(super) fn is_stub(&self) -> bool {
        self.spec.is_none()
    }

    pub(super) fn begin(&mut self, attempt: Attempt, now: MonoTime) {
        self.state = State::Active(Box::new(attempt));
        self.since = now;
    }

    pub(super) fn end(&mut self, ended: Ended, now: MonoTime) {
        self.checkpoints = Vec::new();
        self.state = State::Ended(Box::new(ended));
        self.since = now;
    }

    /// The verdict on a job without active attempt. Each attempt is in the log before it starts,
    /// so where all were proved not to have started, neither has the job.
    pub(super) fn verdict_without_attempt(&self) -> Verdict {
        if self.may_have_started { Verdict::MayHaveRun } else { Verdict::NotRun }
    }

    /// Moves on from the active attempt, all tasks of which have ended.
    pub(super) fn settle(&mut self, limits: Limits, offset: Offset, now: MonoTime) {
        let State::Active(attempt) = &self.state else { return };
        let attempt = Attempt::clone(attempt);
        let next = settle::settle_attempt(attempt.outcomes(), self.work());
        let started_before = self.may_have_started;
        self.may_have_started |= attempt.outcomes().any(|o| o != TaskOutcome::NotStarted);
        match next {
            Next::Again { counts } => self.again(&attempt, counts, limits, offset, now),
            Next::Resume => self.again(&attempt, false, limits, offset, now),
            Next::Done => self.end(attempt.success(limits.max_result_bytes, offset), now),
            Next::Failed => self.end(attempt.failure(Verdict::Ran, offset), now),
            Next::MayHaveRun => self.end(attempt.failure(Verdict::MayHaveRun, offset), now),
            Next::Cancelled(verdict) => {
                let proved = verdict != Verdict::NotRun || !started_before;
                let verdict = if proved { verdict } else { Verdict::MayHaveRun };
                self.end(Ended::cancelled(verdict, offset), now);
            }
        }
    }

    fn again(
        &mut self,
        attempt: &Attempt,
        counts: bool,
        limits: Limits,
        offset: Offset,
        now: MonoTime,
    ) {
        self.failures = self.failures.saturating_add(u32::from(counts));
        if counts && self.failures >= limits.max_attempts {
            let ran = attempt.outcomes().all(attempt::is_own_end);
            let verdict = if ran { Verdict::Ran } else { Verdict::MayHaveRun };
            return self.end(attempt.failure(verdict, offset), now);
        }
        self.keep_checkpoints(attempt);
        self.setbacks = self.setbacks_after(attempt);
        self.state = State::Waiting { next_attempt: attempt.number.next() };
        self.since = now;
    }

    /// Setbacks in a row. Only what a new attempt would meet again counts: an end by itself, and
    /// a start that was refused. After a lapse or a stop the job is not to blame, and a watcher
    /// whose worker died must be back within seconds, however often that has happened.
    fn setbacks_after(&self, attempt: &Attempt) -> u32 {
        let counts = |o| attempt::is_own_end(o) || o == TaskOutcome::NotStarted;
        if attempt.outcomes().all(|o| o == TaskOutcome::Checkpointed) {
            return 0;
        }
        if !attempt.outcomes().any(counts) {
            return self.setbacks;
        }
        let progress = attempt.ended().any(|end| end.run_ms >= PROGRESS_MS);
        if progress { 1 } else { self.setbacks.saturating_add(1) }
    }

    /// Notes the checkpoints of the attempt. A task that failed or succeeded by itself starts
    /// anew, in case that its checkpoint is what made it fail.
    fn keep_checkpoints(&mut self, attempt: &Attempt) {
        if !self.spec().checkpointable {
            return;
        }
        self.checkpoints.resize(attempt.placements.len(), String::new());
        for (checkpoint, end) in self.checkpoints.iter_mut().zip(attempt.ended()) {
            match end.outcome() {
                TaskOutcome::Checkpointed => checkpoint.clone_from(&end.checkpoint),
                outcome if attempt::is_own_end(outcome) => checkpoint.clear(),
                _ => {}
            }
        }
        if self.checkpoints.iter().all(String::is_empty) {
            self.checkpoints = Vec::new();
        }
    }
}

/// The limits that [`Job::settle`] applies.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    pub(super) max_result_bytes: usize,
    pub(super) max_attempts: u32,
}

/// What a stub shows as its spec.
const EMPTY_SPEC: v1::JobSpec = v1::JobSpec {
    team: String::new(),
    account: String::new(),
    service: String::new(),
    kind: String::new(),
    class: String::new(),
    tasks: 0,
    each: None,
    run_ms: 0,
    idempotent: false,
    checkpointable: false,
    standing: false,
    data_centre: String::new(),
    payload: String::new(),
};
