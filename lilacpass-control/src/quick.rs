//! Quick requests at the entry instance that took them: routing, retries, deadlines.
//!
//! The entry instance that took a request from its caller is the only one that retries it. A holder
//! runs an attempt or answers; it never hands it on. Each attempt has a number of its own, so that
//! an answer which arrives late is told from the one that is waited for.

use std::time::Duration;

use lilacpass_core::{
    MonoTime, Verdict,
    ids::{AttemptNo, InstanceId, JobId, RequestId, TaskId},
};
use lilacpass_decide::{retry, route};
use lilacpass_schema::v1;

use crate::{
    Control,
    calls::Pending,
    convert, counters,
    event::{Answer, CallFailure, Effect, PeerCall, PeerReply, QuickRequest, ReplyId},
    problem,
    quick_requests::{AttemptEnd, Quick, failure_of, forward_answer, route_digest, unanswered},
    serve::Origin,
};

/// When a caller should come back if no holder can be reached.
const NO_HOLDER_RETRY: Duration = Duration::from_secs(1);
/// Most attempts for one request, whatever the budget allows.
const MAX_ATTEMPTS: u64 = 4;

impl Control {
    /// Takes an idempotent quick request from a caller.
    pub(crate) fn quick(&mut self, reply: ReplyId, request: QuickRequest, now: MonoTime) {
        counters::bump(&self.counters.quick_requests);
        self.retry_budget.on_request();
        let quick = Quick {
            reply,
            job: JobId(self.random_u128()),
            spec: request.spec,
            arrived: now,
            deadline: now + request.deadline,
            attempt: 0,
            holder: None,
            tried: Vec::new(),
            may_have_run: false,
        };
        let id = self.quick.insert(quick);
        self.send_attempt(id, now);
    }

    /// Sends the next attempt to the holder that is likely to run it soonest.
    fn send_attempt(&mut self, id: RequestId, now: MonoTime) {
        let Some(quick) = self.quick.requests.get(&id) else { return };
        let need = convert::task_size(&quick.spec);
        let candidates = self.holder_digests(now);
        let Some(holder) = route::choose(&candidates, &need, &mut self.rng, &quick.tried) else {
            self.no_holder(id);
            return;
        };
        let Some(quick) = self.quick.requests.get_mut(&id) else { return };
        quick.attempt += 1;
        quick.holder = Some(holder.clone());
        quick.tried.push(holder.clone());
        let task = TaskId { job: quick.job, attempt: AttemptNo(quick.attempt), index: 0 };
        let spec = quick.spec.clone();
        let deadline = quick.deadline;
        counters::bump(&self.counters.quick_attempts);
        if holder == self.settings.me {
            self.serve(task, spec, deadline, Origin::Own(id), now);
            return;
        }
        counters::bump(&self.counters.forwarded);
        self.count_forwarded(&holder);
        let remaining = deadline.since(now);
        let request = PeerCall::Forward(v1::ForwardRequest {
            task: Some(convert::task_key(&task)),
            spec: Some(spec),
            remaining_ms: convert::millis(remaining),
            from: self.settings.me.to_string(),
        });
        let pending = Pending::Forward { request: id, task, holder: holder.clone() };
        self.call_peer(&holder, request, remaining, pending);
    }

    /// The holders that could take a quick request, this instance among them.
    fn holder_digests(&self, now: MonoTime) -> Vec<route::HolderDigest> {
        let mut digests = Vec::new();
        if let Some(own) = self.digest(now) {
            digests.push(route_digest(self.settings.me.clone(), true, &own, Duration::ZERO));
        }
        let silent = self.settings.silent;
        let peers = self.members.iter().filter(|(_, peer)| peer.is_usable(silent, now));
        for (id, peer) in peers {
            let Some(digest) = &peer.digest else { continue };
            let near = peer.data_centre == self.settings.data_centre;
            digests.push(route_digest(id.clone(), near, digest, now.since(peer.digest_at)));
        }
        digests
    }

    /// Adds an attempt to what the peer's last digest says, so that requests which arrive between
    /// two heartbeats do not all go to the same holder.
    fn count_forwarded(&mut self, holder: &InstanceId) {
        let digest = self.members.get_mut(holder).and_then(|peer| peer.digest.as_mut());
        if let Some(digest) = digest {
            digest.queued_urgent += 1;
        }
    }

    /// A forwarded attempt has ended.
    pub(crate) fn forward_done(
        &mut self,
        id: RequestId,
        task: TaskId,
        holder: &InstanceId,
        result: Result<PeerReply, CallFailure>,
        now: MonoTime,
    ) {
        let end = match result {
            Ok(PeerReply::Forward(answer)) => {
                if let Some(peer) = self.members.get_mut(holder)
                    && answer.digest.is_some()
                {
                    peer.digest = answer.digest;
                    peer.digest_at = now;
                }
                forward_answer(&task, answer)
            }
            Ok(_) => {
                unanswered(Verdict::MayHaveRun, retry::Failure::BadAnswer, "unexpected answer")
            }
            Err(failure) => unanswered(failure.verdict, failure_of(failure.kind), &failure.detail),
        };
        self.attempt_ended(id, task, end, now);
    }

    /// An attempt has ended, here or at another holder: answer the caller or try again.
    pub(crate) fn attempt_ended(
        &mut self,
        id: RequestId,
        task: TaskId,
        end: AttemptEnd,
        now: MonoTime,
    ) {
        let current =
            self.quick.requests.get_mut(&id).filter(|quick| quick.attempt == task.attempt.0);
        let Some(quick) = current else {
            counters::bump(&self.counters.late_answers);
            return;
        };
        if end.verdict == Verdict::Ran {
            self.answer_ran(id, end, now);
            return;
        }
        quick.may_have_run |= end.verdict == Verdict::MayHaveRun;
        let remaining = quick.deadline.since(now);
        let attempts_left = quick.attempt < MAX_ATTEMPTS;
        let budget = &mut self.retry_budget;
        if attempts_left
            && retry::after_failure(end.failure, end.phase, true, budget, remaining)
                == retry::Next::RetryElsewhere
        {
            counters::bump(&self.counters.quick_retries);
            self.send_attempt(id, now);
            return;
        }
        if attempts_left && !remaining.is_zero() {
            counters::bump(&self.counters.retries_denied);
        }
        self.give_up(id, &end);
    }

    fn answer_ran(&mut self, id: RequestId, end: AttemptEnd, now: MonoTime) {
        let Some(quick) = self.quick.remove(id) else { return };
        let class = convert::class(&quick.spec);
        self.out.push(Effect::Ended { class, verdict: Verdict::Ran });
        let request_id = quick.job.to_string();
        let answer = if end.succeeded {
            counters::bump(&self.counters.quick_answered);
            Answer::Quick(v1::QuickAnswer {
                request_id,
                verdict: Verdict::Ran.as_str().to_owned(),
                result: end.result,
                run_ms: if end.run_ms > 0 {
                    end.run_ms
                } else {
                    convert::millis(now.since(quick.arrived))
                },
                attempts: u32::try_from(quick.attempt).unwrap_or(u32::MAX),
            })
        } else {
            counters::bump(&self.counters.quick_refused);
            let detail = if end.reason.is_empty() { end.result } else { end.reason };
            let problem = problem::problem(&problem::FAILED, Verdict::Ran, detail);
            Answer::Problem(v1::Problem { request_id, ..problem })
        };
        self.out.push(Effect::Reply { to: quick.reply, answer });
    }

    /// Answers at once that the request is given up on, and when coming back helps.
    fn give_up(&mut self, id: RequestId, end: &AttemptEnd) {
        let Some(quick) = self.quick.requests.get(&id) else { return };
        let verdict = if quick.may_have_run { Verdict::MayHaveRun } else { end.verdict };
        let kind = match (end.never_fits, end.failure) {
            (true, _) => &problem::NEVER_FITS,
            (false, retry::Failure::Refused) => &problem::OVERLOADED,
            (false, _) => &problem::UNAVAILABLE,
        };
        let retry_after = Duration::from_millis(end.retry_after_ms);
        let problem = problem::retry_later(kind, verdict, end.reason.clone(), retry_after);
        self.refuse_quick(id, verdict, problem);
    }

    fn no_holder(&mut self, id: RequestId) {
        let Some(quick) = self.quick.requests.get(&id) else { return };
        let verdict = if quick.may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun };
        let detail = "no entry instance that holds workers can be reached";
        let problem = problem::retry_later(&problem::UNAVAILABLE, verdict, detail, NO_HOLDER_RETRY);
        self.refuse_quick(id, verdict, problem);
    }

    fn refuse_quick(&mut self, id: RequestId, verdict: Verdict, problem: v1::Problem) {
        let Some(quick) = self.quick.remove(id) else { return };
        counters::bump(&self.counters.quick_refused);
        self.out.push(Effect::Ended { class: convert::class(&quick.spec), verdict });
        let request_id = quick.job.to_string();
        let answer = Answer::Problem(v1::Problem { request_id, ..problem });
        self.out.push(Effect::Reply { to: quick.reply, answer });
    }

    /// Answers the requests whose deadline has passed and takes their attempts back.
    pub(crate) fn expire_quick(&mut self, now: MonoTime) {
        while let Some(id) = self.quick.next_past(now) {
            let not_started = self.withdraw_attempt(id, now);
            let Some(quick) = self.quick.requests.get(&id) else { continue };
            let safe = not_started && !quick.may_have_run;
            let verdict = if safe { Verdict::NotRun } else { Verdict::MayHaveRun };
            let problem =
                problem::problem(&problem::DEADLINE, verdict, "no answer came within the deadline");
            self.refuse_quick(id, verdict, problem);
        }
    }

    /// The caller went away: nobody waits for the answer, so the attempt is taken back.
    pub(crate) fn quick_gone(&mut self, reply: ReplyId, now: MonoTime) {
        let Some(id) = self.quick.by_reply.get(&reply).copied() else { return };
        self.withdraw_attempt(id, now);
        self.quick.remove(id);
    }

    /// Takes the attempt under way back. Returns whether it certainly has not started.
    fn withdraw_attempt(&mut self, id: RequestId, now: MonoTime) -> bool {
        let Some(quick) = self.quick.requests.get(&id) else { return false };
        let Some(holder) = quick.holder.clone() else { return true };
        let task = TaskId { job: quick.job, attempt: AttemptNo(quick.attempt), index: 0 };
        if holder == self.settings.me {
            return self.cancel_served(&task, now);
        }
        let request = PeerCall::CancelForward(v1::CancelForwardRequest {
            task: Some(convert::task_key(&task)),
        });
        self.call_peer(&holder, request, self.settings.silent, Pending::Ignored);
        false
    }
}
