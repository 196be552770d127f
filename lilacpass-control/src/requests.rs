//! Routing of what callers ask about work, and what they may see.

use std::time::Duration;

use lilacpass_core::{Class, MonoTime, Verdict, ids::JobId};
use lilacpass_schema::v1;

use crate::{
    Control, convert,
    event::{Answer, Caller, QuickRequest, ReplyId, Request, Role, Stream},
    problem,
};

/// Deadline of a quick request where neither the caller nor the service sets one, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;
/// When to ask again for a job while the stream of jobs is being read.
const READING_RETRY: Duration = Duration::from_secs(1);

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
        if spec.class.parse::<Class>().is_err() {
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

    /// The answer on a job that this instance does not know. While it has not read the stream of
    /// jobs to its tail it can't tell, and the job may be known, and have run, elsewhere.
    fn unknown_job(&self, now: MonoTime) -> v1::Problem {
        if self.streams.is_complete(Stream::Jobs) && self.log_reachable(now) {
            let detail = "no such job is known to this instance";
            return problem::problem(&problem::NOT_FOUND, Verdict::MayHaveRun, detail);
        }
        let detail = "this instance has not read all jobs; ask again, or ask another one";
        problem::retry_later(&problem::UNAVAILABLE, Verdict::MayHaveRun, detail, READING_RETRY)
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
                let problem = self.unknown_job(now);
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
