//! Accepting jobs, telling callers of them, cancelling them.

use std::{collections::BTreeMap, time::Duration};

use lilacpass_core::{
    MonoTime, Verdict,
    ids::{JobId, Offset, TeamId},
};
use lilacpass_records::jobs::Folded;
use lilacpass_schema::v1;

use crate::{
    Control, convert, counters,
    event::{Answer, Caller, QuickRequest, ReplyId, Request, Role, Stream, SubmitRequest},
    history, problem,
};

/// When a caller should come back while the log can't be reached.
const LOG_DOWN_RETRY: Duration = Duration::from_secs(5);
/// Longest that a caller waits for its job to be in the log.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);
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
    reply: ReplyId,
    wait_for: WaitFor,
    until: MonoTime,
    /// Digest of the body that it sent, to tell a reused key.
    body_digest: Option<String>,
    /// Whether the job's cancellation was asked for since the deadline comes near.
    withdrawn: bool,
}

/// All callers that wait for news of jobs.
pub(crate) type Waiters = BTreeMap<JobId, Vec<Waiter>>;

impl Control {
    /// Checks a specification and fills in what the service defines.
    pub(crate) fn check_spec(
        &self,
        spec: &mut v1::JobSpec,
        caller: &Caller,
    ) -> Result<(), Box<v1::Problem>> {
        let invalid =
            |detail: String| Box::new(problem::problem(&problem::INVALID, Verdict::NotRun, detail));
        if let (Role::Team, Some(team)) = (caller.role, &caller.team) {
            if spec.team.is_empty() {
                spec.team = team.to_string();
            }
            if spec.team != team.as_str() {
                let detail = format!("the token speaks for team {team}, not for {}", spec.team);
                return Err(Box::new(problem::problem(
                    &problem::FORBIDDEN,
                    Verdict::NotRun,
                    detail,
                )));
            }
        }
        let configuration = self.config.configuration();
        if !configuration.teams.iter().any(|team| team.name == spec.team) {
            return Err(invalid(format!("team {:?} is not in the configuration", spec.team)));
        }
        let Some(service) =
            configuration.services.iter().find(|service| service.name == spec.service)
        else {
            return Err(invalid(format!("service {:?} is not in the configuration", spec.service)));
        };
        if spec.class.is_empty() {
            spec.class = if spec.standing { "standing" } else { "batch" }.to_owned();
        }
        if spec.class.parse::<lilacpass_core::Class>().is_err() {
            return Err(invalid(format!(
                "class {:?} is none of urgent, standing, batch",
                spec.class
            )));
        }
        if spec.each.is_none_or(|each| convert::resources(&each).is_zero()) {
            spec.each = service.default_each;
        }
        if service.non_idempotent_kinds.contains(&spec.kind) {
            spec.idempotent = false;
        }
        let need = convert::task_size(spec);
        if !self.inventory.could_hold(&need) {
            let detail = format!("no worker of the inventory can hold {need}");
            return Err(Box::new(problem::problem(&problem::NEVER_FITS, Verdict::NotRun, detail)));
        }
        Ok(())
    }

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
            self.refuse(
                reply,
                problem::retry_later(
                    &problem::UNAVAILABLE,
                    Verdict::NotRun,
                    detail,
                    LOG_DOWN_RETRY,
                ),
            );
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

    fn refuse_waiters(&mut self, id: JobId) {
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
                self.tell_waiters(id, now);
            }
            Folded::KeyConflict(id) => {
                counters::bump(&self.counters.records_void);
                self.tell_waiters(id, now);
            }
            Folded::Attempted { job, .. } => {
                self.attempt_folded(job, record_id, now);
                self.tell_waiters(job, now);
            }
            Folded::VoidAttempt { job, .. } => {
                counters::bump(&self.counters.records_void);
                self.attempt_void(job, record_id, now);
            }
            Folded::TaskEnded { task, .. } => {
                self.on_task_end_folded(&task, now);
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
        let attempt = lilacpass_core::ids::AttemptNo(ended.attempt);
        let task = lilacpass_core::ids::TaskId { job, attempt, index: ended.index };
        let Some(placement) = history::placement(&self.jobs, &task) else { return };
        let worker = placement.worker.clone();
        if ended.outcome() != v1::TaskOutcome::Succeeded && self.drives_soon(&job) {
            self.tries.entry(job).or_default().avoid(worker);
        }
    }

    /// A job has ended, waits again, or goes on.
    fn job_settled(&mut self, id: JobId, now: MonoTime) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.ended().is_some() {
            self.queue.remove(&id);
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

    /// Whether a caller may see a job.
    pub(crate) fn may_see(&self, caller: &Caller, id: JobId) -> bool {
        let team = self.jobs.get(&id).map(|job| job.spec().team.as_str());
        match (caller.role, &caller.team) {
            (Role::Team, Some(own)) => team == Some(own.as_str()),
            (Role::Team, None) => false,
            (Role::Operator | Role::ReadOnly, _) => team.is_some(),
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
            self.refuse(
                reply,
                problem::retry_later(
                    &problem::UNAVAILABLE,
                    Verdict::NotRun,
                    detail,
                    LOG_DOWN_RETRY,
                ),
            );
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

    /// Routes a request about work.
    pub(crate) fn on_work_request(
        &mut self,
        reply: ReplyId,
        caller: &Caller,
        request: Request,
        now: MonoTime,
    ) {
        match request {
            Request::Quick(mut quick) => {
                if let Err(problem) = self.admit_quick(&mut quick, caller) {
                    self.refuse(reply, *problem);
                } else if quick.spec.idempotent {
                    self.quick(reply, quick, now);
                } else {
                    self.quick_recorded(reply, quick, now);
                }
            }
            Request::Submit(mut submit) => match self.check_spec(&mut submit.spec, caller) {
                Ok(()) => self.submit_job(reply, submit, now),
                Err(problem) => self.refuse(reply, *problem),
            },
            Request::Cancel(id) if self.may_see(caller, id) => {
                self.cancel_job(reply, caller, id, now);
            }
            Request::WaitJob(id, wait) if self.may_see(caller, id) => {
                self.wait_job(reply, id, wait, now);
            }
            Request::Job(id) if self.may_see(caller, id) => {
                let view = self.job_view(id).unwrap_or_default();
                self.answer(reply, Answer::Job(view));
            }
            Request::Explain(id) if self.may_see(caller, id) => {
                let explanation = self.explain(id, now);
                self.answer(reply, Answer::Explanation(explanation));
            }
            _ => {
                let problem = problem::problem(&problem::NOT_FOUND, Verdict::NotRun, "no such job");
                self.refuse(reply, problem);
            }
        }
    }

    fn admit_quick(
        &self,
        quick: &mut QuickRequest,
        caller: &Caller,
    ) -> Result<(), Box<v1::Problem>> {
        if quick.spec.class.is_empty() {
            "urgent".clone_into(&mut quick.spec.class);
        }
        self.check_spec(&mut quick.spec, caller)?;
        if convert::task_count(&quick.spec) > 1 || quick.spec.standing {
            let detail = "a quick request has one task and is not standing; submit it as a job";
            return Err(Box::new(problem::problem(&problem::INVALID, Verdict::NotRun, detail)));
        }
        if quick.deadline.is_zero() {
            let configuration = self.config.configuration();
            let service =
                configuration.services.iter().find(|service| service.name == quick.spec.service);
            let default_ms =
                service.map(|service| service.default_deadline_ms).filter(|ms| *ms > 0);
            quick.deadline = Duration::from_millis(default_ms.unwrap_or(DEFAULT_DEADLINE_MS));
        }
        Ok(())
    }
}

/// Deadline of a quick request where neither the caller nor the service sets one, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

fn log_down_answer() -> Answer {
    let detail = "the log service did not take the job";
    Answer::Problem(problem::retry_later(
        &problem::UNAVAILABLE,
        Verdict::NotRun,
        detail,
        LOG_DOWN_RETRY,
    ))
}

fn is_acceptance(record: &v1::Record) -> bool {
    let Some(v1::record::Body::Job(job)) = &record.body else { return false };
    matches!(job.body, Some(v1::job_record::Body::Accepted(_)))
}

fn job_of(record: &v1::Record) -> Option<JobId> {
    let Some(v1::record::Body::Job(job)) = &record.body else { return None };
    job.job_id.parse().ok()
}
