//! Tasks that the log records, on workers that this instance holds: hold, start, end.
//!
//! Only the holder of a worker starts recorded tasks there, under the epoch that the attempt names,
//! and only the holder says how they ended. A start whose outcome is unknown is settled by a report
//! of the worker that was taken after the start can no longer arrive.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lilacpass_core::{
    MonoTime,
    ids::{JobId, TaskId, WorkerId},
};
use lilacpass_decide::Outcome;
use lilacpass_schema::v1;

use crate::{Control, convert, counters, event::Stream, history};

/// What is known of a recorded task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// The start is under way.
    Starting,
    /// The start call ended without an answer: settled by a report taken at or after this moment.
    Unsettled(MonoTime),
    /// The worker said that it runs.
    Running,
    /// It has ended, and the record of its end is on its way into the log.
    Ended,
}

/// A recorded task on a held worker.
#[derive(Debug)]
pub(crate) struct Recorded {
    /// The worker.
    pub(crate) worker: WorkerId,
    /// Whether this process sent its start.
    pub(crate) started_here: bool,
    /// What is known of it.
    pub(crate) state: State,
    /// Whether a stop was sent, and when.
    pub(crate) stop_sent: Option<MonoTime>,
    /// Time since its last heartbeat, as last reported, in milliseconds.
    pub(crate) heartbeat_age_ms: u64,
}

impl Recorded {
    /// Whether its start may still arrive at the worker.
    pub(crate) fn may_arrive(&self, now: MonoTime) -> bool {
        match self.state {
            State::Starting => true,
            State::Unsettled(until) => !until.reached(now),
            State::Running | State::Ended => false,
        }
    }
}

/// All recorded tasks on held workers.
pub(crate) type RecordedTasks = BTreeMap<TaskId, Recorded>;

/// A task that the holder has refused: it will never start under this attempt.
pub(crate) type RefusedTasks = BTreeSet<TaskId>;

impl Control {
    /// A recorded task on a held worker has ended: frees its room and records the end.
    pub(crate) fn end_recorded(
        &mut self,
        task: TaskId,
        outcome: v1::TaskOutcome,
        ended: v1::TaskEnded,
        now: MonoTime,
    ) {
        let Some(recorded) = self.recorded.get_mut(&task) else { return };
        if recorded.state == State::Ended {
            return;
        }
        recorded.state = State::Ended;
        let ran = Duration::from_millis(ended.run_ms);
        self.scheduler.pool.release(&task, convert::pool_outcome(outcome), ran, now);
        self.record_end(task, outcome, ended, now);
    }

    pub(crate) fn record_end(
        &mut self,
        task: TaskId,
        outcome: v1::TaskOutcome,
        ended: v1::TaskEnded,
        now: MonoTime,
    ) {
        counters::bump(&self.counters.task_ends);
        let epoch = self.placement_epoch(&task);
        let ended = v1::TaskEnded {
            attempt: task.attempt.0,
            index: task.index,
            outcome: outcome.into(),
            holder: self.settings.me.to_string(),
            epoch,
            ..ended
        };
        let body = v1::job_record::Body::TaskEnded(ended);
        self.append_job(task.job, body, now);
    }

    /// The epoch under which this instance holds the worker of a task; 0 where it does not, and then
    /// the record is void.
    fn placement_epoch(&self, task: &TaskId) -> u64 {
        let worker = match self.recorded.get(task) {
            Some(recorded) => Some(recorded.worker.clone()),
            None => {
                let placement = history::placement(&self.jobs, task);
                placement.map(|placement| convert::worker_id(&placement.worker))
            }
        };
        worker.and_then(|worker| self.own_epoch(&worker)).unwrap_or(0)
    }

    /// Queues a record for the stream of jobs.
    pub(crate) fn append_job(
        &mut self,
        job: JobId,
        body: v1::job_record::Body,
        now: MonoTime,
    ) -> String {
        let record = v1::JobRecord { job_id: job.to_string(), body: Some(body) };
        self.append(Stream::Jobs, v1::record::Body::Job(record), now)
    }

    /// Tasks whose leases are to be renewed on a worker.
    pub(crate) fn renewable_on(&self, worker: &WorkerId) -> impl Iterator<Item = &TaskId> {
        self.recorded
            .iter()
            .filter(move |(_, task)| task.worker == *worker && task.state == State::Running)
            .map(|(id, _)| id)
    }

    /// The log says that a task has ended.
    pub(crate) fn on_task_end_folded(&mut self, task: &TaskId, now: MonoTime) {
        self.refused.remove(task);
        let Some(recorded) = self.recorded.remove(task) else { return };
        if recorded.state != State::Ended {
            self.scheduler.pool.release(task, Outcome::Stopped, Duration::ZERO, now);
        }
        self.forget_task(&recorded.worker, task);
    }
}

pub(crate) fn ended_because(reason: &str) -> v1::TaskEnded {
    v1::TaskEnded { reason: reason.to_owned(), ..v1::TaskEnded::default() }
}
