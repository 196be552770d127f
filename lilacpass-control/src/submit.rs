//! Accepting jobs, telling callers of them, cancelling them.

use std::time::Duration;

use lilacpass_core::{
    MonoTime, Verdict,
    ids::{JobId, TeamId},
};
use lilacpass_schema::v1;

use crate::{
    Control, counters,
    event::{Answer, Caller, QuickRequest, ReplyId, Stream, SubmitRequest},
    problem,
    waiters::{WaitFor, Waiter},
};

/// Longest that a caller waits for its job to be in the log.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

impl Control {
    /// Takes a quick request that must not run twice: it goes through the log like a job, and the
    /// caller waits for its end. Without the log it is refused, since nothing else keeps a repeated
    /// request at another entry instance from running it again.
    pub(crate) fn quick_recorded(&mut self, reply: ReplyId, request: QuickRequest, now: MonoTime) {
        counters::bump(&self.counters.quick_requests);
        let key = match request.key {
            Some(key) => key,
            None => format!("unkeyed/{:032x}", self.random_u128()),
        };
        let submit = SubmitRequest { spec: request.spec, key, body_digest: request.body_digest };
        self.submit(reply, submit, WaitFor::Result, now + request.deadline, now);
    }

    /// Accepts a job: the caller is told once it is in the log.
    pub(crate) fn submit_job(&mut self, reply: ReplyId, submit: SubmitRequest, now: MonoTime) {
        self.submit(reply, submit, WaitFor::Accepted, now + ACCEPT_TIMEOUT, now);
    }

    fn submit(
        &mut self,
        reply: ReplyId,
        submit: SubmitRequest,
        wait_for: WaitFor,
        until: MonoTime,
        now: MonoTime,
    ) {
        let id = JobId::derive(&TeamId::new(&submit.spec.team), &submit.key);
        let body_digest = Some(submit.body_digest.clone());
        let waiter = Waiter { reply, wait_for, until, body_digest, withdrawn: false };
        if self.jobs.get(&id).is_some() {
            self.waiters.entry(id).or_default().push(waiter);
            self.tell_waiters(id, now);
            return;
        }
        if !self.log_reachable(now) || !self.streams.is_complete(Stream::Jobs) {
            let detail =
                "the log service can't be reached, so nothing can be accepted that must be kept";
            self.refuse(reply, problem::log_down(Verdict::NotRun, detail));
            return;
        }
        let accepted = v1::JobAccepted {
            spec: Some(submit.spec),
            body_digest: submit.body_digest,
            entry: self.settings.me.to_string(),
        };
        let under_way = self.waiters.contains_key(&id);
        self.waiters.entry(id).or_default().push(waiter);
        if !under_way {
            self.append_job(id, v1::job_record::Body::Accepted(accepted), now);
        }
    }

    /// Answers with a problem.
    pub(crate) fn refuse(&mut self, to: ReplyId, problem: v1::Problem) {
        self.answer(to, Answer::Problem(problem));
    }

    /// An append of `stream` has failed: callers whose records were certainly not written are told
    /// at once, and the records are dropped.
    pub(crate) fn refuse_unsent(&mut self, stream: Stream, now: MonoTime) {
        match stream {
            Stream::Jobs => {
                let records = self.take_unsent(Stream::Jobs, is_acceptance);
                for id in records.iter().filter_map(job_of) {
                    self.refuse_waiters(id);
                }
            }
            Stream::Config => self.refuse_unsent_changes(now),
            Stream::Holding | Stream::Audit => {}
        }
    }

    /// Cancels a job; answered with the job once the cancellation is in the log.
    pub(crate) fn cancel_job(&mut self, reply: ReplyId, caller: &Caller, id: JobId, now: MonoTime) {
        if self.jobs.get(&id).is_some_and(|job| job.ended().is_some()) {
            let view = self.job_view(id).unwrap_or_default();
            self.answer(reply, Answer::Job(view));
            return;
        }
        if !self.log_reachable(now) {
            let detail = "the log service can't be reached";
            self.refuse(reply, problem::log_down(Verdict::NotRun, detail));
            return;
        }
        self.append_cancel(id, &caller.name, now);
        let revision = self.config.revision();
        self.audit_entry(caller, "cancel", &id.to_string(), (revision, Some(revision)), "", now);
        self.wait_job(reply, id, ACCEPT_TIMEOUT, now);
    }

    pub(crate) fn append_cancel(&mut self, id: JobId, actor: &str, now: MonoTime) {
        let body = v1::job_record::Body::Cancelled(v1::JobCancelled { actor: actor.to_owned() });
        self.append_job(id, body, now);
    }
}

pub(crate) fn log_down_answer() -> Answer {
    let detail = "the log service did not take the job";
    Answer::Problem(problem::log_down(Verdict::NotRun, detail))
}

pub(crate) fn is_acceptance(record: &v1::Record) -> bool {
    let Some(v1::record::Body::Job(job)) = &record.body else { return false };
    matches!(job.body, Some(v1::job_record::Body::Accepted(_)))
}

pub(crate) fn job_of(record: &v1::Record) -> Option<JobId> {
    let Some(v1::record::Body::Job(job)) = &record.body else { return None };
    job.job_id.parse().ok()
}
