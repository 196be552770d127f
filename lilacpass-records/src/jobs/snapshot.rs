//! Jobs as snapshot parts, and back.

use std::{iter::Peekable, sync::Arc, vec};

use lilacpass_core::{
    MonoTime, Verdict,
    ids::{AttemptNo, Incarnation, JobId, Offset, TeamId},
};
use lilacpass_schema::v1;
use prost::Message;
use quick_error::quick_error;

use super::{
    Jobs, JobsOptions,
    attempt::{Attempt, Ended},
    job::{Job, State},
    validate,
};

/// Bytes of a part beside its jobs: frame, record id, snapshot header.
const PART_OVERHEAD_BYTES: usize = 256;
/// Bytes of the tag and length in front of each job.
const JOB_OVERHEAD_BYTES: usize = 6;

quick_error! {
    /// Why jobs can't be restored from a snapshot.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RestoreError {
        /// A job has a form that no fold leads to.
        Malformed(job_id: String, what: &'static str) {
            display("snapshot of job {job_id:?} is malformed: {what}")
        }
    }
}

impl Jobs {
    /// The present state as the bodies of snapshot parts, in order, at least one. A part is no
    /// longer than `max_part_bytes`, unless a single job or the record ids alone are.
    ///
    /// Jobs that [`Jobs::expire`] has marked are written in short form, to be forgotten by
    /// whoever folds the part.
    pub fn snapshot(&self, max_part_bytes: usize) -> Vec<v1::JobsSnapshot> {
        self.freeze(max_part_bytes).collect()
    }

    /// The present state, to be written part by part as [`Jobs::snapshot`] does. It stays as it
    /// is while more records are folded, and may go to another thread.
    pub fn freeze(&self, max_part_bytes: usize) -> Frozen {
        let budget = max_part_bytes.saturating_sub(PART_OVERHEAD_BYTES);
        Frozen {
            budget,
            seen_ids: Some(self.seen.to_bytes()),
            jobs: self.jobs.values().cloned().collect::<Vec<_>>().into_iter().peekable(),
        }
    }

    /// The state that a snapshot was taken of: all records before `covers` are folded. Parts are
    /// given in order. A snapshot that no fold leads to is refused as a whole.
    pub fn restore<'a>(
        options: JobsOptions,
        parts: impl IntoIterator<Item = &'a v1::JobsSnapshot>,
        covers: Offset,
        now: MonoTime,
    ) -> Result<Self, RestoreError> {
        let mut jobs = Self::new(options);
        for part in parts {
            jobs.seen.extend_from_bytes(&part.seen_ids);
            for message in &part.jobs {
                let malformed = |what| RestoreError::Malformed(message.job_id.clone(), what);
                let job = from_message(message, covers, now).map_err(malformed)?;
                if jobs.jobs.contains_key(&job.id) {
                    return Err(malformed("job stands twice"));
                }
                jobs.insert(job);
            }
        }
        Ok(jobs)
    }
}

/// A state that is being written as a snapshot: an iterator over its parts.
#[derive(Clone, Debug)]
pub struct Frozen {
    /// Most bytes of a part.
    budget: usize,
    /// Digests of the record ids, until the first part has them.
    seen_ids: Option<Vec<u8>>,
    jobs: Peekable<vec::IntoIter<Arc<Job>>>,
}

impl Iterator for Frozen {
    type Item = v1::JobsSnapshot;

    fn next(&mut self) -> Option<v1::JobsSnapshot> {
        let seen_ids = self.seen_ids.take();
        if seen_ids.is_none() && self.jobs.peek().is_none() {
            return None;
        }
        let mut part =
            v1::JobsSnapshot { seen_ids: seen_ids.unwrap_or_default(), jobs: Vec::new() };
        let mut bytes = part.encoded_len();
        while let Some(job) = self.jobs.peek() {
            let message = to_message(job);
            bytes += message.encoded_len() + JOB_OVERHEAD_BYTES;
            if bytes > self.budget && part != v1::JobsSnapshot::default() {
                break;
            }
            part.jobs.push(message);
            self.jobs.next();
        }
        Some(part)
    }
}

fn to_message(job: &Job) -> v1::SnapshotJob {
    if job.expired {
        return to_stub(job);
    }
    let mut message = v1::SnapshotJob {
        job_id: job.id.to_string(),
        accepted: Some(v1::JobAccepted {
            spec: job.spec.as_deref().cloned(),
            body_digest: job.body_digest.to_string(),
            entry: job.entry.to_string(),
        }),
        cancelled: job.cancelled.clone().map(|actor| v1::JobCancelled { actor }),
        accepted_offset: job.accepted_offset.0,
        failures: job.failures,
        setbacks: job.setbacks,
        may_have_started: job.may_have_started,
        checkpoints: job.checkpoints.clone(),
        ..Default::default()
    };
    match &job.state {
        State::Waiting { next_attempt } => message.next_attempt = next_attempt.0,
        State::Active(attempt) => {
            message.attempt = Some(v1::JobAttempt {
                attempt: attempt.number.0,
                driver: attempt.driver.to_string(),
                driver_incarnation: attempt.driver_incarnation.0,
                placements: attempt.placements.clone(),
            });
            message.task_ends = attempt.ended().cloned().collect();
        }
        State::Ended(ended) => {
            message.results.clone_from(&ended.results);
            message.ended_offset = ended.offset.0;
            message.ended_cancelled = ended.cancelled;
            message.ended = Some(to_ended(ended));
        }
    }
    message
}

/// All that is needed until the job is forgotten: that it ended, where, and for which body.
fn to_stub(job: &Job) -> v1::SnapshotJob {
    v1::SnapshotJob {
        job_id: job.id.to_string(),
        accepted: Some(v1::JobAccepted {
            body_digest: job.body_digest.to_string(),
            ..Default::default()
        }),
        ended: job.ended().map(to_ended),
        ended_offset: job.ended().map_or(0, |ended| ended.offset.0),
        ended_cancelled: job.ended().is_some_and(|ended| ended.cancelled),
        accepted_offset: job.accepted_offset.0,
        forget: true,
        ..Default::default()
    }
}

fn to_ended(ended: &Ended) -> v1::JobEnded {
    let verdict = match ended.verdict {
        Verdict::NotRun => v1::Verdict::NotRun,
        Verdict::MayHaveRun => v1::Verdict::MayHaveRun,
        Verdict::Ran => v1::Verdict::Ran,
    };
    v1::JobEnded {
        verdict: verdict.into(),
        succeeded: ended.succeeded,
        result: String::new(),
        reason: ended.reason.clone(),
    }
}

fn from_message(
    message: &v1::SnapshotJob,
    covers: Offset,
    now: MonoTime,
) -> Result<Job, &'static str> {
    let id: JobId = message.job_id.parse().map_err(|_| "job id")?;
    let accepted = message.accepted.clone().ok_or("no accepted record")?;
    let team = if message.forget {
        TeamId::new("")
    } else {
        validate::accepted(&accepted).map_err(|_| "accepted record")?
    };
    if message.accepted_offset >= covers.0 || message.ended_offset >= covers.0 {
        return Err("offset that the snapshot does not cover");
    }
    let tasks = accepted.spec.as_ref().map_or(0, |spec| spec.tasks);
    if !message.checkpoints.is_empty() && message.checkpoints.len() != tasks as usize {
        return Err("checkpoints are not one per task");
    }
    let state = from_state(message, tasks)?;
    if message.forget && !matches!(state, State::Ended(_)) {
        return Err("only ended jobs are forgotten");
    }
    Ok(Job {
        id,
        team,
        spec: accepted.spec.map(Arc::new),
        body_digest: accepted.body_digest.into(),
        entry: accepted.entry.into(),
        accepted_offset: Offset(message.accepted_offset),
        state,
        cancelled: message.cancelled.clone().map(|cancelled| cancelled.actor),
        failures: message.failures,
        setbacks: message.setbacks,
        may_have_started: message.may_have_started,
        checkpoints: message.checkpoints.clone(),
        since: now,
        expired: message.forget,
    })
}

fn from_state(message: &v1::SnapshotJob, tasks: u32) -> Result<State, &'static str> {
    match (&message.attempt, &message.ended) {
        (None, None) if message.next_attempt == 0 => Err("neither waiting, active nor ended"),
        (None, None) if message.cancelled.is_some() => Err("cancelled jobs do not wait"),
        (None, None) => Ok(State::Waiting { next_attempt: AttemptNo(message.next_attempt) }),
        (Some(attempt), None) => from_attempt(message, attempt, tasks),
        (None, Some(ended)) => from_ended(message, ended),
        (Some(_), Some(_)) => Err("both active and ended"),
    }
}

fn from_attempt(
    message: &v1::SnapshotJob,
    record: &v1::JobAttempt,
    tasks: u32,
) -> Result<State, &'static str> {
    let (driver, placements) = validate::attempt(record, tasks).map_err(|_| "attempt")?;
    let incarnation = Incarnation(record.driver_incarnation);
    let mut attempt = Attempt::new(AttemptNo(record.attempt), driver, incarnation, placements);
    for end in &message.task_ends {
        validate::task_ended(end).map_err(|_| "task end")?;
        let slot = attempt.ends.get_mut(end.index as usize).ok_or("task position")?;
        *slot = Some(Box::new(end.clone()));
    }
    if attempt.is_over() {
        return Err("attempt is over but active");
    }
    Ok(State::Active(Box::new(attempt)))
}

fn from_ended(message: &v1::SnapshotJob, ended: &v1::JobEnded) -> Result<State, &'static str> {
    let verdict = match ended.verdict() {
        v1::Verdict::NotRun => Verdict::NotRun,
        v1::Verdict::MayHaveRun => Verdict::MayHaveRun,
        v1::Verdict::Ran => Verdict::Ran,
        v1::Verdict::Unspecified => return Err("verdict"),
    };
    Ok(State::Ended(Box::new(Ended {
        verdict,
        succeeded: ended.succeeded,
        cancelled: message.ended_cancelled,
        results: message.results.clone(),
        reason: ended.reason.clone(),
        offset: Offset(message.ended_offset),
    })))
}
