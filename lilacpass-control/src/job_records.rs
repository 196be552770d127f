//! What a record of the stream of jobs sets off.

use lilacpass_core::{
    MonoTime,
    ids::{AttemptNo, JobId, Offset, TaskId},
};
use lilacpass_records::jobs::Folded;
use lilacpass_schema::v1;

use crate::{Control, counters, history};

impl Control {
    /// A record of the stream of jobs was read.
    pub(crate) fn on_job_record(
        &mut self,
        offset: Offset,
        record_id: &str,
        record: &v1::JobRecord,
        now: MonoTime,
    ) {
        self.note_failed_worker(record);
        match self.jobs.fold(offset, record_id, record, now) {
            Folded::Accepted(id) => {
                self.queue_job(id, now);
                self.note_standing(id);
                self.tell_waiters(id, now);
            }
            Folded::KeyConflict(id) => {
                counters::bump(&self.counters.records_void);
                self.tell_waiters(id, now);
            }
            Folded::Attempted { job, .. } => {
                self.attempt_folded(job, record_id);
                self.tell_waiters(job, now);
            }
            Folded::VoidAttempt { job, .. } => {
                counters::bump(&self.counters.records_void);
                self.attempt_void(job, record_id, now);
            }
            Folded::TaskEnded { task, .. } => {
                self.on_task_end_folded(&task, now);
                self.note_broken(task.job);
                self.job_settled(task.job, now);
            }
            Folded::JobEnded(job) => self.job_settled(job, now),
            Folded::Cancelled(id) => {
                self.stop_cancelled(id, now);
                self.job_settled(id, now);
            }
            Folded::Duplicate => {}
            Folded::Void(reason) => {
                counters::bump(&self.counters.records_void);
                log::debug!(offset:% = offset, reason:% = reason; "job record void");
            }
        }
    }

    /// Remembers where a task ended without success, so that the next attempt looks elsewhere first.
    fn note_failed_worker(&mut self, record: &v1::JobRecord) {
        let Some(v1::job_record::Body::TaskEnded(ended)) = &record.body else { return };
        let Ok(job) = record.job_id.parse() else { return };
        let attempt = AttemptNo(ended.attempt);
        let task = TaskId { job, attempt, index: ended.index };
        let Some(placement) = history::placement(&self.jobs, &task) else { return };
        let worker = placement.worker.clone();
        if ended.outcome() != v1::TaskOutcome::Succeeded && !self.is_leaving() {
            self.tries.entry(job).or_default().avoid(worker);
        }
    }

    /// Notes whether the active attempt of a job has lost a task while others still run.
    pub(crate) fn note_broken(&mut self, id: JobId) {
        let attempt = self.jobs.get(&id).and_then(|job| job.attempt());
        if attempt.is_some_and(history::is_broken) {
            self.broken.insert(id);
        } else {
            self.broken.remove(&id);
        }
    }

    /// A job has ended, waits again, or goes on.
    fn job_settled(&mut self, id: JobId, now: MonoTime) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.ended().is_some() {
            self.queue.remove(&id);
            self.standing_open.remove(&id);
            self.tries.remove(&id);
        } else if job.next_attempt().is_some() {
            if job.spec().standing {
                counters::bump(&self.counters.standing_restarts);
            }
            self.queue_job(id, now);
        }
        self.tell_waiters(id, now);
    }

    fn stop_cancelled(&mut self, id: JobId, now: MonoTime) {
        let attempt = self.jobs.get(&id).and_then(history::active_attempt);
        if let Some(attempt) = attempt {
            self.stop_attempt_here(id, attempt, v1::TaskControl::Stop, now);
        }
    }
}
