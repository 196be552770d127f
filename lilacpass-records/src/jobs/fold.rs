//! The fold itself: one record after the other.

use std::sync::Arc;

use lilacpass_core::{
    MonoTime,
    ids::{AttemptNo, Epoch, Incarnation, JobId, Offset, TaskId, WorkerId},
};
use lilacpass_schema::v1::{self, job_record::Body};

use super::{
    AfterTask, Folded, Jobs, VoidReason,
    attempt::{self, Attempt, Ended},
    job::{Job, Limits, State},
    validate,
};

/// Where and when a record is folded.
#[derive(Clone, Copy)]
struct At {
    offset: Offset,
    now: MonoTime,
}

type Step<T> = Result<T, VoidReason>;

impl Jobs {
    /// Folds the next record of the stream. `now` is noted as the time of what it changes and
    /// decides nothing.
    pub fn fold(
        &mut self,
        offset: Offset,
        record_id: &str,
        record: &v1::JobRecord,
        now: MonoTime,
    ) -> Folded {
        // The answer of an append was lost and the writer appended the same record again.
        if !self.seen.insert(record_id) {
            return Folded::Duplicate;
        }
        let at = At { offset, now };
        let Ok(id) = record.job_id.parse() else {
            return Folded::Void(VoidReason::Malformed("job id"));
        };
        let Some(body) = &record.body else {
            return Folded::Void(VoidReason::Malformed("no body"));
        };
        let folded = match body {
            Body::Accepted(accepted) => self.fold_accepted(id, accepted, at),
            Body::Attempt(attempt) => return self.fold_attempt(id, attempt, at),
            Body::TaskEnded(end) => self.fold_task_ended(id, end, at),
            Body::Ended(ended) => self.fold_ended(id, ended, at),
            Body::Cancelled(cancelled) => self.fold_cancelled(id, cancelled, at),
        };
        folded.unwrap_or_else(Folded::Void)
    }

    fn fold_accepted(&mut self, id: JobId, accepted: &v1::JobAccepted, at: At) -> Step<Folded> {
        let team = validate::accepted(accepted)?;
        if let Some(job) = self.jobs.get(&id) {
            let same = job.body_digest() == accepted.body_digest;
            return Ok(if same { Folded::Duplicate } else { Folded::KeyConflict(id) });
        }
        let job = Job {
            id,
            team,
            spec: accepted.spec.clone().map(Arc::new),
            body_digest: accepted.body_digest.as_str().into(),
            entry: accepted.entry.as_str().into(),
            accepted_offset: at.offset,
            state: State::Waiting { next_attempt: AttemptNo(1) },
            cancelled: None,
            failures: 0,
            setbacks: 0,
            may_have_started: false,
            checkpoints: Vec::new(),
            since: at.now,
            expired: false,
        };
        self.insert(job);
        Ok(Folded::Accepted(id))
    }

    fn fold_attempt(&mut self, id: JobId, record: &v1::JobAttempt, at: At) -> Folded {
        let attempt = AttemptNo(record.attempt);
        match self.try_attempt(id, record, at) {
            Ok(()) => Folded::Attempted { job: id, attempt },
            Err(reason) => Folded::VoidAttempt { job: id, attempt, reason },
        }
    }

    /// The first attempt with the number that is due wins. A second one, of another driver or of
    /// a driver that did not see the first, finds it active or another number due.
    fn try_attempt(&mut self, id: JobId, record: &v1::JobAttempt, at: At) -> Step<()> {
        let job = self.jobs.get(&id).ok_or(VoidReason::UnknownJob)?;
        let due = match job.state {
            State::Waiting { next_attempt } => next_attempt,
            State::Active(_) => return Err(VoidReason::Active),
            State::Ended(_) => return Err(VoidReason::Ended),
        };
        if due.0 != record.attempt {
            return Err(VoidReason::WrongAttempt);
        }
        let (driver, placements) = validate::attempt(record, job.spec().tasks)?;
        let incarnation = Incarnation(record.driver_incarnation);
        let attempt = Attempt::new(due, driver, incarnation, placements);
        self.change(id, |job| job.begin(attempt, at.now));
        Ok(())
    }

    fn fold_task_ended(&mut self, id: JobId, end: &v1::TaskEnded, at: At) -> Step<Folded> {
        validate::task_ended(end)?;
        let job = self.jobs.get_mut(&id).ok_or(VoidReason::UnknownJob)?;
        let task = TaskId { job: id, attempt: AttemptNo(end.attempt), index: end.index };
        let worker = match &job.state {
            State::Active(attempt) => check_end(attempt, end)?,
            State::Waiting { .. } => return Err(VoidReason::WrongAttempt),
            State::Ended(_) => return Err(VoidReason::Ended),
        };
        self.index.remove_task(job, task, &worker);
        let State::Active(attempt) = &mut Arc::make_mut(job).state else {
            return Err(VoidReason::WrongAttempt);
        };
        attempt.ends[end.index as usize] = Some(Box::new(end.clone()));
        if !attempt.is_over() {
            return Ok(Folded::TaskEnded { task, then: AfterTask::Running });
        }
        let limits = Limits {
            max_result_bytes: self.options.max_result_bytes,
            max_attempts: self.options.max_attempts,
        };
        self.change(id, |job| job.settle(limits, at.offset, at.now));
        let ended = self.jobs.get(&id).is_some_and(|job| job.ended().is_some());
        let then = if ended { AfterTask::Ended } else { AfterTask::Waiting };
        Ok(Folded::TaskEnded { task, then })
    }

    /// The driver gives the job up. It can't know whether the job ran better than the fold does,
    /// and can't let a job succeed that has no attempt.
    fn fold_ended(&mut self, id: JobId, ended: &v1::JobEnded, at: At) -> Step<Folded> {
        let job = self.jobs.get(&id).ok_or(VoidReason::UnknownJob)?;
        match job.state {
            State::Waiting { .. } if ended.succeeded => {
                return Err(VoidReason::Malformed("success without an attempt"));
            }
            State::Waiting { .. } => {}
            State::Active(_) => return Err(VoidReason::Active),
            State::Ended(_) => return Err(VoidReason::Ended),
        }
        let verdict = job.verdict_without_attempt();
        let reason = attempt::shorten(&ended.reason);
        let ended = Ended { reason, ..Ended::failed(verdict, at.offset) };
        self.change(id, |job| job.end(ended, at.now));
        Ok(Folded::JobEnded(id))
    }

    fn fold_cancelled(&mut self, id: JobId, record: &v1::JobCancelled, at: At) -> Step<Folded> {
        let job = self.jobs.get(&id).ok_or(VoidReason::UnknownJob)?;
        if job.ended().is_some() {
            return Err(VoidReason::Ended);
        }
        if job.cancelled.is_some() {
            return Err(VoidReason::Cancelled);
        }
        let actor = attempt::shorten(&record.actor);
        self.change(id, |job| {
            job.cancelled = Some(actor);
            if job.next_attempt().is_some() {
                let verdict = job.verdict_without_attempt();
                job.end(Ended::cancelled(verdict, at.offset), at.now);
            }
        });
        Ok(Folded::Cancelled(id))
    }

    /// Folds a part of a snapshot: forgets the ended jobs that it says to forget. Returns how many.
    ///
    /// All members forget them at this offset, so a later request with the same key is a new job
    /// for all or for none. A job with another end than the part names has come again since.
    pub fn fold_snapshot(&mut self, part: &v1::JobsSnapshot) -> usize {
        let before = self.jobs.len();
        for forgotten in part.jobs.iter().filter(|job| job.forget) {
            let Ok(id) = forgotten.job_id.parse() else { continue };
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.ended().is_some_and(|ended| ended.offset.0 == forgotten.ended_offset) {
                self.index.remove(job);
                self.jobs.remove(&id);
            }
        }
        before - self.jobs.len()
    }

    /// Takes in a job that is not there.
    pub(super) fn insert(&mut self, mut job: Job) {
        if job.ended().is_some() {
            self.specs.share(&mut job.spec);
        }
        self.index.add(&job);
        self.jobs.insert(job.id, Arc::new(job));
    }

    /// Changes a job and keeps the index in step.
    fn change(&mut self, id: JobId, change: impl FnOnce(&mut Job)) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        self.index.remove(job);
        let job = Arc::make_mut(job);
        change(job);
        if job.ended().is_some() {
            self.specs.share(&mut job.spec);
        }
        self.index.add(job);
    }
}

/// Checks that `end` is the first end of a task of `attempt`, told by one who may; returns the
/// worker of the task.
fn check_end(attempt: &Attempt, end: &v1::TaskEnded) -> Step<WorkerId> {
    if attempt.number.0 != end.attempt {
        return Err(VoidReason::WrongAttempt);
    }
    let placement = attempt.placement(end.index).ok_or(VoidReason::Malformed("task position"))?;
    if attempt.end(end.index).is_some() {
        return Err(VoidReason::TaskEnded);
    }
    if !Attempt::may_end(placement, &end.holder, Epoch(end.epoch)) {
        return Err(VoidReason::NotHolder);
    }
    Ok(WorkerId::new(&placement.worker))
}
