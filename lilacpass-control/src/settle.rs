//! What a worker's reports, or its silence, say of recorded tasks.
//!
//! A start whose outcome is unknown is settled by a report of the worker that was taken after the
//! start can no longer arrive.

use lilacpass_core::{
    MonoTime,
    ids::{Incarnation, TaskId, WorkerId},
};
use lilacpass_schema::v1;

use crate::{
    Control, convert, counters,
    event::Stream,
    history,
    tasks::{Recorded, State, ended_because},
};

impl Control {
    /// Whether the log has an active attempt that places `task` on `worker`.
    pub(crate) fn is_recorded_placement(&self, worker: &WorkerId, task: &TaskId) -> bool {
        history::placement(&self.jobs, task)
            .is_some_and(|placement| placement.worker == worker.as_str())
    }

    /// A worker reports a task that the log records.
    pub(crate) fn on_reported_recorded(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        reported: &v1::ReportedTask,
        now: MonoTime,
    ) {
        if !self.recorded.contains_key(&task) {
            self.adopt_recorded(worker, task, reported, now);
        }
        let Some(recorded) = self.recorded.get_mut(&task) else { return };
        recorded.heartbeat_age_ms = reported.heartbeat_age_ms;
        if reported.running {
            if matches!(recorded.state, State::Starting | State::Unsettled(_)) {
                recorded.state = State::Running;
            }
            self.stop_if_unwanted(task, now);
            return;
        }
        let ended = self.reported_end(reported);
        let outcome =
            if ended.reason.is_empty() { reported.outcome() } else { v1::TaskOutcome::Failed };
        self.end_recorded(task, outcome, ended, now);
    }

    /// Takes over a recorded task that a former holder started.
    fn adopt_recorded(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        reported: &v1::ReportedTask,
        now: MonoTime,
    ) {
        self.no_longer_foreign(worker, &task, now);
        let Some(spec) = self.jobs.get(&task.job).map(|job| job.spec().clone()) else { return };
        counters::bump(&self.counters.adopted);
        if reported.running {
            let given = reported.given.as_ref().map(convert::resources).unwrap_or_default();
            self.scheduler.pool.give(task, worker, given, convert::meta(&spec), now);
        }
        let recorded = Recorded {
            worker: worker.clone(),
            started_here: false,
            state: State::Running,
            stop_sent: None,
            heartbeat_age_ms: reported.heartbeat_age_ms,
        };
        self.recorded.insert(task, recorded);
    }

    /// The end that a worker reports. A result that is cut or too large is not passed on as if it
    /// were the whole one.
    fn reported_end(&self, reported: &v1::ReportedTask) -> v1::TaskEnded {
        let mut ended = v1::TaskEnded {
            run_ms: reported.run_ms,
            checkpoint: reported.checkpoint.clone(),
            ..v1::TaskEnded::default()
        };
        let is_cut = reported.result.len() as u64 != reported.result_bytes;
        if is_cut && self.settings.guards.whole_result {
            "the worker's result is cut".clone_into(&mut ended.reason);
        } else if reported.result.len() > self.settings.max_result_bytes {
            "the result is larger than what is kept".clone_into(&mut ended.reason);
        } else {
            ended.result.clone_from(&reported.result);
        }
        ended
    }

    /// A report of `worker` was taken at `taken_at`: what it does not list is settled.
    pub(crate) fn settle_recorded(
        &mut self,
        worker: &WorkerId,
        taken_at: MonoTime,
        is_listed: impl Fn(&TaskId) -> bool,
        now: MonoTime,
    ) {
        let unlisted: Vec<(TaskId, State)> = self
            .recorded
            .iter()
            .filter(|(task, recorded)| recorded.worker == *worker && !is_listed(task))
            .map(|(task, recorded)| (*task, recorded.state))
            .collect();
        for (task, state) in unlisted {
            match state {
                State::Unsettled(until) if until.reached(taken_at) => {
                    self.settle_unlisted(worker, task, now);
                }
                State::Running if self.restarted_since(worker, &task) => {
                    let ended = ended_because("the worker has restarted");
                    self.end_recorded(task, v1::TaskOutcome::Unknown, ended, now);
                }
                _ => {}
            }
        }
        self.settle_placements(worker, taken_at, now);
    }

    /// A start whose outcome was unknown is not in a report that was taken after it could arrive.
    fn settle_unlisted(&mut self, worker: &WorkerId, task: TaskId, now: MonoTime) {
        let (outcome, reason) = if self.restarted_since(worker, &task) {
            (v1::TaskOutcome::Unknown, "the worker has restarted")
        } else {
            (v1::TaskOutcome::NotStarted, "the worker's report proves that it never started")
        };
        self.end_recorded(task, outcome, ended_because(reason), now);
    }

    /// Whether the worker's process is another one than the placement of `task` names.
    fn restarted_since(&self, worker: &WorkerId, task: &TaskId) -> bool {
        let now = self.held.get(worker).and_then(|held| held.incarnation);
        let then = history::placement(&self.jobs, task).map(|p| Incarnation(p.worker_incarnation));
        now.is_some() && then.is_some() && now != then
    }

    /// Settles placements of the log that nothing here accounts for: a former holder or a driver
    /// died between the attempt's record and the start.
    ///
    /// The report must have been taken after no start of an earlier epoch could arrive any more, and
    /// the stream of jobs must have been read to its tail since: a task whose end is recorded is
    /// forgotten by the worker, and must not be taken for one that never started.
    fn settle_placements(&mut self, worker: &WorkerId, taken_at: MonoTime, now: MonoTime) {
        let settled = self.holding.settled(worker, now);
        if !settled || !self.streams.tail_reached_since(Stream::Jobs, taken_at) {
            return;
        }
        let Some(incarnation) = self.held.get(worker).and_then(|held| held.incarnation) else {
            return;
        };
        let epoch = self.own_epoch(worker);
        let open: Vec<(TaskId, v1::Placement)> = self
            .jobs
            .placements_on(worker)
            .filter(|(task, ..)| !self.recorded.contains_key(task) && !self.refused.contains(task))
            .map(|(task, placement, _)| (task, placement.clone()))
            .collect();
        for (task, placement) in open {
            let own_tenure = epoch == Some(placement.epoch);
            // In the own tenure the room may still be set aside, with the start on its way here.
            if own_tenure && self.holds_room(&task) {
                continue;
            }
            self.refused.insert(task);
            let (outcome, reason) = if own_tenure || placement.worker_incarnation == incarnation.0 {
                (v1::TaskOutcome::NotStarted, "nothing was started under this attempt")
            } else {
                (v1::TaskOutcome::Unknown, "the worker has restarted")
            };
            self.record_end(task, outcome, ended_because(reason), now);
        }
    }

    /// Whether a recorded task of unknown outcome waits for a report of `worker`.
    pub(crate) fn has_unsettled_recorded(&self, worker: &WorkerId) -> bool {
        self.recorded
            .values()
            .any(|task| task.worker == *worker && matches!(task.state, State::Unsettled(_)))
    }

    /// All leases on a silent worker have lapsed: what ran there certainly no longer runs.
    pub(crate) fn lapse_recorded(&mut self, worker: &WorkerId, now: MonoTime) {
        let here: Vec<TaskId> = self
            .recorded
            .iter()
            .filter(|(_, task)| task.worker == *worker && task.state != State::Ended)
            .map(|(task, _)| *task)
            .collect();
        for task in here {
            counters::bump(&self.counters.tasks_lapsed);
            let ended = ended_because("the worker is silent and its lease has lapsed");
            self.end_recorded(task, v1::TaskOutcome::Lapsed, ended, now);
        }
        let open: Vec<TaskId> = self
            .jobs
            .placements_on(worker)
            .map(|(task, ..)| task)
            .filter(|task| !self.recorded.contains_key(task) && !self.refused.contains(task))
            .filter(|task| !self.holds_room(task))
            .collect();
        for task in open {
            self.refused.insert(task);
            let ended = ended_because("the worker is silent and all leases there have lapsed");
            self.record_end(task, v1::TaskOutcome::Unknown, ended, now);
        }
    }
}
