//! Starting recorded tasks on held workers.
//!
//! Only the holder of a worker starts recorded tasks there, under the epoch that the attempt names.

use std::time::Duration;

use lilacpass_core::{
    MonoTime, Verdict,
    ids::{AttemptNo, Incarnation, JobId, TaskId, WorkerId},
};
use lilacpass_hold::Limit;
use lilacpass_schema::v1;

use crate::{
    Control,
    calls::{PeerOrigin, Pending},
    convert, counters,
    event::{CallFailure, PeerReply, WorkerCall, WorkerReply},
    tasks::{Recorded, State, ended_because},
};

/// Deadline of a start call.
const START_TIMEOUT: Duration = Duration::from_secs(1);

impl Control {
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
        limit: Limit,
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
    pub(crate) fn own_epoch(&self, worker: &WorkerId) -> Option<u64> {
        let held = self.held.get(worker)?;
        self.holding.epoch_of(&held.shard).map(|epoch| epoch.0)
    }
}
