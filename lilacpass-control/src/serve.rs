//! Quick requests at the holder of a worker: admission, start, answer.

use std::{collections::BTreeMap, time::Duration};

use lilacpass_core::{
    MonoTime, Verdict,
    ids::{RequestId, TaskId, WorkerId},
};
use lilacpass_decide::{Cancelled, Decision, Outcome, QuickTask, RefusalReason, retry};
use lilacpass_schema::v1;

use crate::{
    Control,
    calls::{PeerOrigin, Pending},
    convert, counters,
    event::{CallFailure, Effect, PeerReply, WorkerCall, WorkerReply},
    quick_requests::{self, AttemptEnd},
};

/// Who waits for the answer of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Origin {
    /// A request that this instance took from its caller.
    Own(RequestId),
    /// Another entry instance.
    Peer(PeerOrigin),
    /// Nobody any more; only the worker's room is still accounted for.
    Nobody,
}

/// An attempt of a quick request that waits for a worker or runs on one.
#[derive(Debug)]
pub(crate) struct Served {
    origin: Origin,
    spec: v1::JobSpec,
    deadline: MonoTime,
    /// The worker that it was sent to.
    pub(crate) worker: Option<WorkerId>,
    /// Set where the call has ended without an answer: the room stays given until a report that
    /// was taken at or after this moment no longer lists the task.
    unsettled_until: Option<MonoTime>,
}

impl Served {
    /// Whether somebody waits for its answer, or its start may still arrive at the worker.
    pub(crate) fn is_in_flight(&self, now: MonoTime) -> bool {
        self.unsettled_until.is_none_or(|until| !until.reached(now))
    }
}

/// All attempts that this instance serves as holder.
pub(crate) type ServedTasks = BTreeMap<TaskId, Served>;

impl Control {
    /// Admits an attempt of a quick request, or refuses it at once.
    pub(crate) fn serve(
        &mut self,
        task: TaskId,
        spec: v1::JobSpec,
        deadline: MonoTime,
        origin: Origin,
        now: MonoTime,
    ) {
        let request = QuickTask {
            task,
            need: convert::task_size(&spec),
            meta: convert::meta(&spec),
            deadline,
            run_declared: convert::declared_run(&spec),
        };
        if let Err(refusal) = self.scheduler.submit(request, now) {
            let end = refused(&refusal.reason, refusal.retry_after);
            self.answer_attempt(origin, task, end, now);
            return;
        }
        let served = Served { origin, spec, deadline, worker: None, unsettled_until: None };
        self.served.insert(task, served);
    }

    /// A peer forwards an attempt.
    pub(crate) fn on_forward(
        &mut self,
        origin: PeerOrigin,
        request: v1::ForwardRequest,
        now: MonoTime,
    ) {
        counters::bump(&self.counters.forwarded_in);
        let task = request.task.as_ref().and_then(convert::task_id);
        let (Some(task), Some(spec)) = (task, request.spec) else {
            self.reply_peer(origin, Err("malformed forward".to_owned()));
            return;
        };
        if self.served.contains_key(&task) {
            // The first copy waits or runs here, so this one proves nothing.
            let end = quick_requests::unanswered(
                Verdict::MayHaveRun,
                retry::Failure::BadAnswer,
                "the attempt is known already",
            );
            self.answer_attempt(Origin::Peer(origin), task, end, now);
            return;
        }
        let deadline = now + Duration::from_millis(request.remaining_ms);
        self.serve(task, spec, deadline, Origin::Peer(origin), now);
    }

    /// Carries out what the scheduler decides now.
    pub(crate) fn dispatch(&mut self, now: MonoTime) {
        for decision in self.scheduler.dispatch(now) {
            match decision {
                Decision::Start { task, worker, waited } => {
                    self.start_quick(task, &worker, waited, now);
                }
                Decision::Refuse { task, reason, retry_after } => {
                    let Some(served) = self.served.remove(&task) else { continue };
                    self.answer_attempt(served.origin, task, refused(&reason, retry_after), now);
                }
                Decision::Preempt(preempt) => self.preempt(&preempt, now),
            }
        }
    }

    /// Sends an attempt to its worker. The permission is looked at afresh: it may have shrunk since
    /// the scheduler last heard of it, and then the sum given would exceed it.
    fn start_quick(&mut self, task: TaskId, worker: &WorkerId, waited: Duration, now: MonoTime) {
        let limit = self.start_limit(worker, now);
        let Some((limit, served)) = limit.zip(self.served.get_mut(&task)) else {
            self.withdraw_start(
                task,
                retry::Failure::Refused,
                "the permission to start work on the worker has lapsed",
                now,
            );
            return;
        };
        served.worker = Some(worker.clone());
        let remaining = served.deadline.since(now);
        let class = convert::class(&served.spec);
        let request = WorkerCall::Run(v1::RunRequest {
            task: Some(convert::task_key(&task)),
            epoch: limit.epoch.0,
            service: served.spec.service.clone(),
            kind: served.spec.kind.clone(),
            given: Some(convert::amount(&convert::task_size(&served.spec))),
            payload: served.spec.payload.clone(),
            remaining_ms: convert::millis(remaining),
        });
        let not_after = limit.valid_until.min(served.deadline);
        let pending = Pending::Run { task, worker: worker.clone() };
        counters::bump(&self.counters.starts);
        self.out.push(Effect::Waited { class, waited });
        if self.call_worker(worker, request, remaining, not_after, pending).is_none() {
            self.withdraw_start(
                task,
                retry::Failure::Refused,
                "the worker is not in the inventory",
                now,
            );
        }
    }

    /// Undoes a start that was decided and not sent.
    fn withdraw_start(
        &mut self,
        task: TaskId,
        failure: retry::Failure,
        reason: &str,
        now: MonoTime,
    ) {
        self.scheduler.ended(&task, Outcome::NotStarted, Duration::ZERO, now);
        let Some(served) = self.served.remove(&task) else { return };
        let end = quick_requests::unanswered(Verdict::NotRun, failure, reason);
        self.answer_attempt(served.origin, task, end, now);
    }

    /// The call that ran an attempt has ended.
    pub(crate) fn run_done(
        &mut self,
        task: TaskId,
        worker: &WorkerId,
        sent_at: MonoTime,
        result: Result<WorkerReply, CallFailure>,
        now: MonoTime,
    ) {
        match result {
            Ok(WorkerReply::Run(answer)) => self.run_answered(task, answer, now),
            Ok(_) => self.run_unanswered(task, worker, sent_at, retry::Failure::BadAnswer, now),
            Err(failure) if failure.verdict == Verdict::NotRun => {
                if failure.kind == crate::event::FailureKind::PermitLapsed {
                    counters::bump(&self.counters.permits_lapsed);
                }
                let kind = quick_requests::failure_of(failure.kind);
                self.withdraw_start(task, kind, &failure.detail, now);
            }
            Err(failure) => {
                self.run_unanswered(
                    task,
                    worker,
                    sent_at,
                    quick_requests::failure_of(failure.kind),
                    now,
                );
            }
        }
    }

    fn run_answered(&mut self, task: TaskId, answer: v1::RunAnswer, now: MonoTime) {
        let is_cut = answer.result.len() as u64 != answer.result_bytes;
        let own = answer.task.as_ref().and_then(convert::task_id) == Some(task);
        if (is_cut || !own) && self.settings.guards.whole_result {
            self.scheduler.ended(&task, Outcome::Failed, Duration::ZERO, now);
            let Some(served) = self.served.remove(&task) else { return };
            let reason = "the worker's answer is cut or not the own one";
            let end =
                quick_requests::unanswered(Verdict::MayHaveRun, retry::Failure::BadAnswer, reason);
            self.answer_attempt(served.origin, task, end, now);
            return;
        }
        let verdict = convert::verdict_from_schema(answer.verdict());
        let outcome = answer.outcome();
        let ran = Duration::from_millis(answer.run_ms);
        let pool_outcome = match verdict {
            Verdict::NotRun => Outcome::NotStarted,
            _ => convert::pool_outcome(outcome),
        };
        self.scheduler.ended(&task, pool_outcome, ran, now);
        let Some(served) = self.served.remove(&task) else { return };
        let end = AttemptEnd {
            verdict,
            succeeded: outcome == v1::TaskOutcome::Succeeded,
            run_ms: answer.run_ms,
            reason: if verdict == Verdict::Ran { String::new() } else { answer.result.clone() },
            result: answer.result,
            retry_after_ms: 0,
            never_fits: false,
            failure: quick_requests::failure_of_verdict(verdict),
            phase: retry::Phase::Sent,
        };
        self.answer_attempt(served.origin, task, end, now);
    }

    /// Nothing tells whether the attempt started. Its room stays given until a report of the worker
    /// that was taken after the last moment at which the start could arrive no longer lists it.
    fn run_unanswered(
        &mut self,
        task: TaskId,
        worker: &WorkerId,
        sent_at: MonoTime,
        failure: retry::Failure,
        now: MonoTime,
    ) {
        let Some(served) = self.served.get_mut(&task) else { return };
        let origin = std::mem::replace(&mut served.origin, Origin::Nobody);
        served.unsettled_until = Some(now.max(sent_at) + self.settings.hold.start_flight);
        counters::bump(&self.counters.starts_unsettled);
        self.want_report(worker, now);
        let end =
            quick_requests::unanswered(Verdict::MayHaveRun, failure, "the worker did not answer");
        self.answer_attempt(origin, task, end, now);
    }

    /// A report of `worker` was taken at `taken_at`: quick tasks of unknown outcome that it does not
    /// list have ended or never started.
    pub(crate) fn settle_served(
        &mut self,
        worker: &WorkerId,
        taken_at: MonoTime,
        is_listed: impl Fn(&TaskId) -> bool,
        now: MonoTime,
    ) {
        let gone: Vec<TaskId> = self
            .served
            .iter()
            .filter(|(_, served)| served.worker.as_ref() == Some(worker))
            .filter(|(_, served)| {
                served.unsettled_until.is_some_and(|until| until.reached(taken_at))
            })
            .map(|(task, _)| *task)
            .filter(|task| !is_listed(task))
            .collect();
        for task in gone {
            self.served.remove(&task);
            self.scheduler.ended(&task, Outcome::Lost, Duration::ZERO, now);
        }
    }

    /// Whether a quick task of unknown outcome waits for a report of `worker`.
    pub(crate) fn has_unsettled_served(&self, worker: &WorkerId) -> bool {
        self.served
            .values()
            .any(|s| s.unsettled_until.is_some() && s.worker.as_ref() == Some(worker))
    }

    /// Forgets quick tasks of unknown outcome on a worker that is no longer held.
    pub(crate) fn drop_unsettled_served(&mut self, worker: &WorkerId, now: MonoTime) {
        self.settle_served(worker, MonoTime(u64::MAX), |_| false, now);
    }

    /// Whether this instance itself sent a quick task that it still accounts for.
    pub(crate) fn serves(&self, task: &TaskId) -> bool {
        self.served.contains_key(task)
    }

    /// Tells whoever waits how an attempt ended.
    fn answer_attempt(&mut self, origin: Origin, task: TaskId, end: AttemptEnd, now: MonoTime) {
        match origin {
            Origin::Own(id) => self.attempt_ends.push_back((id, task, end)),
            Origin::Peer(to) => {
                let outcome = if end.succeeded {
                    v1::TaskOutcome::Succeeded
                } else {
                    v1::TaskOutcome::Failed
                };
                let answer = v1::ForwardAnswer {
                    task: Some(convert::task_key(&task)),
                    verdict: convert::verdict_to_schema(end.verdict).into(),
                    outcome: outcome.into(),
                    result_bytes: end.result.len() as u64,
                    result: end.result,
                    retry_after_ms: end.retry_after_ms,
                    reason: end.reason,
                    never_fits: end.never_fits,
                    digest: self.digest(now),
                };
                self.reply_peer(to, Ok(PeerReply::Forward(answer)));
            }
            Origin::Nobody => counters::bump(&self.counters.late_answers),
        }
    }

    /// Takes an attempt back. Returns whether it certainly has not started.
    pub(crate) fn cancel_served(&mut self, task: &TaskId, now: MonoTime) -> bool {
        match self.scheduler.cancel(task, now) {
            Cancelled::Queued => {
                self.served.remove(task);
                true
            }
            Cancelled::Running(worker) => {
                if let Some(served) = self.served.get_mut(task) {
                    served.origin = Origin::Nobody;
                }
                self.control_task(&worker, task, v1::TaskControl::Stop, now);
                false
            }
            Cancelled::Unknown => false,
        }
    }

    /// A peer takes an attempt back.
    pub(crate) fn on_cancel_forward(
        &mut self,
        origin: PeerOrigin,
        request: &v1::CancelForwardRequest,
        now: MonoTime,
    ) {
        let task = request.task.as_ref().and_then(convert::task_id);
        if let Some(task) = task {
            let waiting = self.served.get(&task).map(|served| served.origin);
            if self.cancel_served(&task, now)
                && let Some(waiting) = waiting
            {
                let end = quick_requests::unanswered(
                    Verdict::NotRun,
                    retry::Failure::Refused,
                    "cancelled",
                );
                self.answer_attempt(waiting, task, end, now);
            }
        }
        self.reply_peer(origin, Ok(PeerReply::CancelForward));
    }
}

fn refused(reason: &RefusalReason, retry_after: Option<Duration>) -> AttemptEnd {
    AttemptEnd {
        retry_after_ms: retry_after.map_or(0, convert::millis),
        never_fits: *reason == RefusalReason::NeverFits,
        ..quick_requests::unanswered(Verdict::NotRun, retry::Failure::Refused, &reason.to_string())
    }
}
