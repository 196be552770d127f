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
    MonoTime, Verdict,
    ids::{AttemptNo, Incarnation, JobId, TaskId, WorkerId},
};
use lilacpass_decide::HoldId;
use lilacpass_schema::v1;

use crate::{
    Control,
    calls::{PeerOrigin, Pending},
    convert, counters,
    event::{CallFailure, PeerReply, Stream, WorkerCall, WorkerReply},
    history,
};

/// Deadline of a start call.
const START_TIMEOUT: Duration = Duration::from_secs(1);

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

/// All recorded tasks on held workers.
pub(crate) type RecordedTasks = BTreeMap<TaskId, Recorded>;

/// A task that the holder has refused: it will never start under this attempt.
pub(crate) type RefusedTasks = BTreeSet<TaskId>;

impl Control {
    /// Sets room aside for tasks of an attempt.
    pub(crate) fn on_hold(&mut self, origin: PeerOrigin, request: &v1::HoldRequest, now: MonoTime) {
        let parsed = request.job_id.parse::<JobId>().ok().zip(request.spec.as_ref());
        let Some((job, spec)) = parsed else {
            self.reply_peer(origin, Err("malformed hold".to_owned()));
            return;
        };
        let id = HoldId { job, attempt: AttemptNo(request.attempt) };
        let placements = self.hold_room(id, spec, request, now);
        let reason = if placements.len() < request.indexes.len() {
            self.no_room_reason(spec)
        } else {
            String::new()
        };
        let answer = v1::HoldAnswer { placements, reason, digest: self.digest(now) };
        self.reply_peer(origin, Ok(PeerReply::Hold(answer)));
    }

    fn hold_room(
        &mut self,
        id: HoldId,
        spec: &v1::JobSpec,
        request: &v1::HoldRequest,
        now: MonoTime,
    ) -> Vec<v1::Placement> {
        if self.is_leaving() {
            return Vec::new();
        }
        let avoid: Vec<WorkerId> =
            request.avoid.iter().map(|name| convert::worker_id(name)).collect();
        let expires = now + Duration::from_millis(request.hold_ms);
        let need = convert::task_size(spec);
        let meta = convert::meta(spec);
        let found =
            self.scheduler.pool.hold(id, &request.indexes, &need, &meta, &avoid, expires, now);
        let placements: Vec<v1::Placement> = found
            .iter()
            .filter_map(|(index, worker)| self.placement(*index, worker, now))
            .collect();
        if placements.len() < found.len() {
            self.scheduler.pool.unhold(&id);
            return Vec::new();
        }
        placements
    }

    /// The placement of a task on a held worker, where recorded tasks may be started there now.
    fn placement(&self, index: u32, worker: &WorkerId, now: MonoTime) -> Option<v1::Placement> {
        let limit = self.start_limit(worker, now).filter(|limit| limit.recorded)?;
        let incarnation = self.held.get(worker)?.incarnation?;
        Some(v1::Placement {
            index,
            worker: worker.to_string(),
            worker_incarnation: incarnation.0,
            epoch: limit.epoch.0,
            holder: self.settings.me.to_string(),
        })
    }

    fn no_room_reason(&self, spec: &v1::JobSpec) -> String {
        let need = convert::task_size(spec);
        let free = self.scheduler.pool.digest().largest;
        format!("needs {need}, most that is free on one worker is {free}")
    }

    /// Gives room back that was set aside.
    pub(crate) fn on_unhold(&mut self, origin: PeerOrigin, request: &v1::UnholdRequest) {
        if let Ok(job) = request.job_id.parse() {
            self.scheduler.pool.unhold(&HoldId { job, attempt: AttemptNo(request.attempt) });
        }
        self.reply_peer(origin, Ok(PeerReply::Unhold));
    }

    /// Starts tasks of an attempt that its driver has read back from the log.
    pub(crate) fn on_start_held(
        &mut self,
        origin: PeerOrigin,
        request: &v1::StartHeldRequest,
        now: MonoTime,
    ) {
        let parsed = request.job_id.parse::<JobId>().ok().zip(request.spec.as_ref());
        let Some((job, spec)) = parsed else {
            self.reply_peer(origin, Err("malformed start".to_owned()));
            return;
        };
        let mut answer = v1::StartHeldAnswer::default();
        for placement in &request.placements {
            let task = TaskId { job, attempt: AttemptNo(request.attempt), index: placement.index };
            let checkpoint =
                request.checkpoints.get(placement.index as usize).cloned().unwrap_or_default();
            match self.start_recorded(task, spec, placement, checkpoint, now) {
                Ok(()) => answer.accepted.push(placement.index),
                Err(reason) => {
                    answer.refused.push(placement.index);
                    reason.clone_into(&mut answer.reason);
                    self.refuse_recorded(task, placement, reason, now);
                }
            }
        }
        self.reply_peer(origin, Ok(PeerReply::StartHeld(answer)));
    }

    /// Starts one recorded task. Refused for good where the permission is not the one that the
    /// placement names, or where the room that was set aside has been given back.
    fn start_recorded(
        &mut self,
        task: TaskId,
        spec: &v1::JobSpec,
        placement: &v1::Placement,
        checkpoint: String,
        now: MonoTime,
    ) -> Result<(), &'static str> {
        if self.recorded.contains_key(&task) {
            return Ok(());
        }
        if self.refused.contains(&task) {
            return Err("the holder has given this attempt up before");
        }
        let worker = convert::worker_id(&placement.worker);
        let limit = self.start_limit(&worker, now).filter(|limit| limit.recorded);
        let limit = limit.ok_or("the holder may not start recorded work on the worker now")?;
        if limit.epoch.0 != placement.epoch {
            return Err("the worker has changed its holder since it was chosen");
        }
        let incarnation = self.held.get(&worker).and_then(|held| held.incarnation);
        if incarnation != Some(Incarnation(placement.worker_incarnation)) {
            return Err("the worker has restarted since it was chosen");
        }
        self.scheduler.pool.commit_hold(task, now).ok_or("the room set aside was given back")?;
        self.send_start(task, spec, &worker, limit, checkpoint, now);
        Ok(())
    }

    fn send_start(
        &mut self,
        task: TaskId,
        spec: &v1::JobSpec,
        worker: &WorkerId,
        limit: lilacpass_hold::Limit,
        checkpoint: String,
        now: MonoTime,
    ) {
        counters::bump(&self.counters.starts);
        let recorded = Recorded {
            worker: worker.clone(),
            started_here: true,
            state: State::Starting,
            stop_sent: None,
            heartbeat_age_ms: 0,
        };
        self.recorded.insert(task, recorded);
        let request = WorkerCall::Start(v1::StartTaskRequest {
            task: Some(convert::task_key(&task)),
            epoch: limit.epoch.0,
            service: spec.service.clone(),
            kind: spec.kind.clone(),
            given: Some(convert::amount(&convert::task_size(spec))),
            payload: spec.payload.clone(),
            lease_ms: convert::millis(self.settings.task_lease),
            checkpoint,
            run_ms: spec.run_ms,
            standing: spec.standing,
        });
        self.lease_sent(worker, now);
        let pending = Pending::Start { task, worker: worker.clone() };
        self.call_worker(worker, request, START_TIMEOUT, limit.valid_until, pending);
    }

    /// A start call has ended.
    pub(crate) fn start_done(
        &mut self,
        task: TaskId,
        worker: &WorkerId,
        sent_at: MonoTime,
        result: Result<WorkerReply, CallFailure>,
        now: MonoTime,
    ) {
        self.lease_sent(worker, sent_at);
        let settled_from = match self.settings.guards.settle_after_flight {
            true => now.max(sent_at) + self.settings.hold.start_flight,
            false => MonoTime::default(),
        };
        let Some(recorded) = self.recorded.get_mut(&task) else { return };
        if recorded.state != State::Starting {
            return;
        }
        match result {
            Ok(WorkerReply::Start(answer)) if answer.started => {
                recorded.state = State::Running;
                self.stop_if_unwanted(task, now);
            }
            Ok(WorkerReply::Start(answer)) => {
                self.end_recorded(
                    task,
                    v1::TaskOutcome::NotStarted,
                    ended_because(&answer.reason),
                    now,
                );
            }
            Err(failure) if failure.verdict == Verdict::NotRun => {
                self.end_recorded(
                    task,
                    v1::TaskOutcome::NotStarted,
                    ended_because(&failure.detail),
                    now,
                );
            }
            _ => {
                recorded.state = State::Unsettled(settled_from);
                counters::bump(&self.counters.starts_unsettled);
                self.want_report(worker, now);
            }
        }
    }

    /// Refuses a task of an attempt for good and records that it never started.
    ///
    /// Only in the tenure that the placement names does this instance know that it never sent the
    /// start. In a later tenure, its own or another's, the worker's report settles the task.
    fn refuse_recorded(
        &mut self,
        task: TaskId,
        placement: &v1::Placement,
        reason: &str,
        now: MonoTime,
    ) {
        let worker = convert::worker_id(&placement.worker);
        let own_tenure = self.own_epoch(&worker) == Some(placement.epoch);
        if !own_tenure || self.recorded.contains_key(&task) || !self.refused.insert(task) {
            return;
        }
        self.record_end(task, v1::TaskOutcome::NotStarted, ended_because(reason), now);
    }

    /// The epoch of this instance's tenure of a worker, where it holds it.
    fn own_epoch(&self, worker: &WorkerId) -> Option<u64> {
        let held = self.held.get(worker)?;
        self.holding.epoch_of(&held.shard).map(|epoch| epoch.0)
    }

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

    fn record_end(
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

    /// Whether room is set aside here for a task.
    fn holds_room(&self, task: &TaskId) -> bool {
        self.scheduler.pool.holds(&HoldId::of(task)).any(|(index, _)| index == task.index)
    }

    /// Whether a recorded task of unknown outcome waits for a report of `worker`.
    pub(crate) fn has_unsettled_recorded(&self, worker: &WorkerId) -> bool {
        self.recorded
            .values()
            .any(|task| task.worker == *worker && matches!(task.state, State::Unsettled(_)))
    }

    /// Tasks whose leases are to be renewed on a worker.
    pub(crate) fn renewable_on(&self, worker: &WorkerId) -> impl Iterator<Item = &TaskId> {
        self.recorded
            .iter()
            .filter(move |(_, task)| task.worker == *worker && task.state == State::Running)
            .map(|(id, _)| id)
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

    /// The log says that a task has ended.
    pub(crate) fn on_task_end_folded(&mut self, task: &TaskId, now: MonoTime) {
        self.refused.remove(task);
        let Some(recorded) = self.recorded.remove(task) else { return };
        if recorded.state != State::Ended {
            self.scheduler.pool.release(
                task,
                lilacpass_decide::Outcome::Stopped,
                Duration::ZERO,
                now,
            );
        }
        self.forget_task(&recorded.worker, task);
    }

    /// Stops tasks of an attempt on request of its driver.
    pub(crate) fn on_stop_tasks(
        &mut self,
        origin: PeerOrigin,
        request: &v1::StopTasksRequest,
        now: MonoTime,
    ) {
        if let Ok(job) = request.job_id.parse::<JobId>() {
            let attempt = AttemptNo(request.attempt);
            self.scheduler.pool.unhold(&HoldId { job, attempt });
            let control = match request.checkpoint {
                true => v1::TaskControl::Checkpoint,
                false => v1::TaskControl::Stop,
            };
            self.stop_attempt_here(job, attempt, control, now);
        }
        self.reply_peer(origin, Ok(PeerReply::StopTasks));
    }

    /// Stops the tasks of an attempt that run on held workers.
    pub(crate) fn stop_attempt_here(
        &mut self,
        job: JobId,
        attempt: AttemptNo,
        control: v1::TaskControl,
        now: MonoTime,
    ) {
        let first = TaskId { job, attempt, index: 0 };
        let last = TaskId { job, attempt, index: u32::MAX };
        let tasks: Vec<TaskId> = self.recorded.range(first..=last).map(|(task, _)| *task).collect();
        for task in tasks {
            self.stop_recorded(task, control, now);
        }
    }

    /// Sends a stop for a running task, again where an earlier one had no effect.
    pub(crate) fn stop_recorded(&mut self, task: TaskId, control: v1::TaskControl, now: MonoTime) {
        let again = self.settings.task_lease / 4;
        let Some(recorded) = self.recorded.get_mut(&task) else { return };
        let sent_lately = recorded.stop_sent.is_some_and(|at| now.since(at) < again);
        if recorded.state != State::Running || sent_lately {
            return;
        }
        recorded.stop_sent = Some(now);
        let worker = recorded.worker.clone();
        self.control_task(&worker, &task, control, now);
    }

    /// Stops a task that runs although its job was cancelled, has ended or is at another attempt.
    fn stop_if_unwanted(&mut self, task: TaskId, now: MonoTime) {
        let wanted = self.jobs.get(&task.job).is_none_or(|job| history::wants(job, &task));
        if !wanted {
            self.stop_recorded(task, v1::TaskControl::Stop, now);
        }
    }

    /// Looks again at what runs on held workers: cancelled jobs, and standing work on workers that
    /// are to be emptied.
    pub(crate) fn stop_unwanted_tasks(&mut self, now: MonoTime) {
        let tasks: Vec<TaskId> = self.recorded.keys().copied().collect();
        for task in tasks {
            self.stop_if_unwanted(task, now);
            self.move_from_draining(task, now);
        }
    }

    /// Work that can be moved leaves a worker that takes no new work: standing work is stopped and
    /// starts elsewhere, checkpointable work goes on from its checkpoint.
    fn move_from_draining(&mut self, task: TaskId, now: MonoTime) {
        let Some(worker) = self.recorded.get(&task).map(|recorded| recorded.worker.clone()) else {
            return;
        };
        let draining = self.inventory.worker(&worker).is_some_and(|worker| worker.draining)
            || self.held.get(&worker).is_some_and(super::workers::HeldWorker::is_leaving);
        if !draining {
            return;
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        let control = match (job.spec().checkpointable, job.spec().standing) {
            (true, _) => v1::TaskControl::Checkpoint,
            (false, true) => v1::TaskControl::Stop,
            (false, false) => return,
        };
        self.stop_recorded(task, control, now);
    }
}

fn ended_because(reason: &str) -> v1::TaskEnded {
    v1::TaskEnded { reason: reason.to_owned(), ..v1::TaskEnded::default() }
}
