//! Callers that wait for news of a job.

use std::{collections::BTreeMap, time::Duration};

use lilacpass_core::{MonoTime, Verdict, ids::JobId};
use lilacpass_schema::v1;

use crate::{
    Control,
    event::{Answer, ReplyId, Stream},
    problem,
    submit::{is_acceptance, job_of, log_down_answer},
};

/// Part of a deadline that is kept to withdraw a request that has not started.
const WITHDRAW_MARGIN: Duration = Duration::from_millis(250);

/// What a caller waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitFor {
    /// The job is in the log.
    Accepted,
    /// The job has ended, and its result is the answer of a request.
    Result,
    /// The job has ended; its state is the answer either way.
    End,
}

/// A caller that waits for news of a job.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) reply: ReplyId,
    pub(crate) wait_for: WaitFor,
    pub(crate) until: MonoTime,
    /// Digest of the body that it sent, to tell a reused key.
    pub(crate) body_digest: Option<String>,
    /// Whether the job's cancellation was asked for since the deadline comes near.
    pub(crate) withdrawn: bool,
}

/// All callers that wait for news of jobs.
pub(crate) type Waiters = BTreeMap<JobId, Vec<Waiter>>;

impl Control {
    pub(crate) fn refuse_waiters(&mut self, id: JobId) {
        for waiter in self.waiters.remove(&id).unwrap_or_default() {
            self.answer(waiter.reply, log_down_answer());
        }
    }

    /// Takes the record that accepts a job out of the outbox, where it was never sent.
    fn take_unsent_acceptance(&mut self, id: JobId) -> bool {
        let own = |record: &v1::Record| is_acceptance(record) && job_of(record) == Some(id);
        let unsent = !self.take_unsent(Stream::Jobs, own).is_empty();
        if unsent {
            self.refuse_waiters(id);
        }
        unsent
    }

    /// Answers the callers whose wait for a job is over.
    pub(crate) fn tell_waiters(&mut self, id: JobId, now: MonoTime) {
        let Some(waiters) = self.waiters.remove(&id) else { return };
        let mut left = Vec::new();
        for waiter in waiters {
            match self.waiter_answer(id, &waiter) {
                Some(answer) => self.answer(waiter.reply, answer),
                None => left.push(waiter),
            }
        }
        if !left.is_empty() {
            self.waiters.insert(id, left);
            self.expire_waiters(now);
        }
    }

    fn waiter_answer(&self, id: JobId, waiter: &Waiter) -> Option<Answer> {
        let job = self.jobs.get(&id)?;
        if waiter.body_digest.as_ref().is_some_and(|digest| digest != job.body_digest()) {
            let detail = "the idempotency key was used with another body before";
            return Some(Answer::Problem(problem::problem(
                &problem::KEY_REUSED,
                Verdict::NotRun,
                detail,
            )));
        }
        match waiter.wait_for {
            WaitFor::Accepted => Some(Answer::Job(self.job_view(id)?)),
            WaitFor::End if job.ended().is_some() => Some(Answer::Job(self.job_view(id)?)),
            WaitFor::Result if job.ended().is_some() => Some(self.result_answer(id)),
            WaitFor::End | WaitFor::Result => None,
        }
    }

    /// The answer to a recorded quick request whose job has ended.
    fn result_answer(&self, id: JobId) -> Answer {
        let Some(view) = self.job_view(id) else {
            return Answer::Problem(problem::problem(
                &problem::NOT_FOUND,
                Verdict::MayHaveRun,
                "job is gone",
            ));
        };
        let verdict = view.verdict.parse().unwrap_or(Verdict::MayHaveRun);
        if view.state == "succeeded" {
            return Answer::Quick(v1::QuickAnswer {
                request_id: id.to_string(),
                verdict: view.verdict,
                result: view.result,
                run_ms: 0,
                attempts: u32::try_from(view.attempt).unwrap_or(u32::MAX),
            });
        }
        let kind = match verdict {
            Verdict::Ran => &problem::FAILED,
            Verdict::NotRun | Verdict::MayHaveRun => &problem::DEADLINE,
        };
        let problem = problem::problem(kind, verdict, view.reason);
        Answer::Problem(v1::Problem { request_id: id.to_string(), ..problem })
    }

    /// Callers whose time is over get an answer; a request that has not started is withdrawn
    /// shortly before, so that it can be said for certain that it did not run.
    pub(crate) fn expire_waiters(&mut self, now: MonoTime) {
        let mut withdraw = Vec::new();
        let mut over = Vec::new();
        for (id, waiters) in &mut self.waiters {
            for waiter in waiters.iter_mut() {
                if waiter.until.reached(now) {
                    over.push((*id, waiter.reply, waiter.wait_for));
                } else if waiter.wait_for == WaitFor::Result
                    && !waiter.withdrawn
                    && (waiter.until - WITHDRAW_MARGIN).reached(now)
                    && self.jobs.get(id).is_some_and(|job| job.next_attempt().is_some())
                {
                    waiter.withdrawn = true;
                    withdraw.push(*id);
                }
            }
        }
        for id in withdraw {
            self.append_cancel(id, "deadline", now);
        }
        for (id, reply, wait_for) in over {
            if let Some(waiters) = self.waiters.get_mut(&id) {
                waiters.retain(|waiter| waiter.reply != reply);
                if waiters.is_empty() {
                    self.waiters.remove(&id);
                }
            }
            let unsent = wait_for != WaitFor::End && self.take_unsent_acceptance(id);
            let answer = if unsent { log_down_answer() } else { self.timeout_answer(id, wait_for) };
            self.answer(reply, answer);
        }
    }

    fn timeout_answer(&self, id: JobId, wait_for: WaitFor) -> Answer {
        match (wait_for, self.job_view(id)) {
            (WaitFor::End, Some(view)) => Answer::Job(view),
            _ => {
                let detail =
                    "no certain answer came within the deadline; ask again with the same key";
                let problem = problem::problem(&problem::DEADLINE, Verdict::MayHaveRun, detail);
                Answer::Problem(v1::Problem { request_id: id.to_string(), ..problem })
            }
        }
    }

    /// Tells those who only look at a job how it stands now, since this instance is to stop.
    pub(crate) fn end_waits(&mut self, now: MonoTime) {
        for waiter in self.waiters.values_mut().flatten() {
            if waiter.wait_for == WaitFor::End {
                waiter.until = now;
            }
        }
        self.expire_waiters(now);
    }

    /// Waits for the end of a job on behalf of a caller.
    pub(crate) fn wait_job(&mut self, reply: ReplyId, id: JobId, wait: Duration, now: MonoTime) {
        let waiter = Waiter {
            reply,
            wait_for: WaitFor::End,
            until: now + wait,
            body_digest: None,
            withdrawn: false,
        };
        self.waiters.entry(id).or_default().push(waiter);
        self.tell_waiters(id, now);
    }
}
