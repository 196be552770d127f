//! What callers ask, and what they are told.

use lilacpass_jobs::{Job, JobKey, Outcome, plan};
use lilacpass_schema::v1;

use crate::{
    event::{Effect, JobState, Now, Request, RequestId, Response},
    leader::{JobEntry, Leader},
    outbox::OnStored,
    place,
    worker::Worker,
};

/// Shortest and longest time after which a caller is asked to come back.
const RETRY_BOUNDS_MS: (u64, u64) = (1_000, 3_000);

/// When to come back after an outage has lasted for `outage_ms`: after as long again, within bounds.
/// An outage that has lasted for long will most likely last for longer, and callers try only a few
/// times; the bound keeps them from staying away long after it has ended.
pub fn retry_after_ms(outage_ms: u64) -> u32 {
    let (least_ms, most_ms) = RETRY_BOUNDS_MS;
    outage_ms.clamp(least_ms, most_ms) as u32
}

impl Leader {
    pub(crate) fn on_request(&mut self, request_id: RequestId, request: Request, now: Now) {
        match request {
            Request::Submit { job, plan, queue } => self.submit(request_id, job, plan, queue, now),
            Request::State(job) => self.tell_state(request_id, job, now),
            Request::Cancel(job) => self.cancel(request_id, job, now),
            Request::Pending { queue } => self.tell_pending(request_id, &queue, now),
        }
    }

    fn submit(
        &mut self,
        request_id: RequestId,
        key: JobKey,
        plan: v1::WorkPlan,
        queue: v1::QueuePolicy,
        now: Now,
    ) {
        if let Some(entry) = self.jobs.get(&key) {
            let same = entry.job.plan == plan;
            if !same {
                return self.reply(request_id, Response::Conflict);
            }
            if entry.is_plan_stored {
                return self.reply(request_id, Response::Done);
            }
            return self.outbox.when_stored(OnStored::Accept(request_id, key));
        }
        if let Err(err) = plan::check(&plan) {
            return self.reply(request_id, Response::Invalid(err.to_string()));
        }
        if let Some(reason) = self.impossible(&plan, &queue) {
            return self.reply(request_id, Response::Invalid(reason));
        }
        if self.store_takes_nothing(now) {
            return self.refuse_for_store(request_id, key, now);
        }
        if let Some(retry_after_ms) = self.refuses_new_jobs(now) {
            return self.refuse_for_pressure(request_id, key, retry_after_ms);
        }
        log::info!(
            job:% = key, queue = queue.name.as_str(), steps = plan.steps.len(),
            waiting = self.waiting.len();
            "job taken"
        );
        let record =
            v1::PlanRecord { plan: Some(plan), queue: Some(queue), accepted_ms: now.unix_ms };
        let job = Job::new(key, record);
        self.jobs.insert(key, JobEntry::new(job, false));
        self.outbox.pending.plans.insert(key);
        self.outbox.when_stored(OnStored::Accept(request_id, key));
        self.reindex(key, now);
    }

    /// A job is stored: its caller may be told.
    pub(crate) fn confirm_submission(&mut self, request_id: RequestId, key: JobKey) {
        if let Some(entry) = self.jobs.get_mut(&key) {
            entry.is_plan_stored = true;
        }
        self.reply(request_id, Response::Done);
    }

    fn refuse_for_store(&mut self, request_id: RequestId, key: JobKey, now: Now) {
        let reason = "the store takes nothing";
        log::info!(job:% = key, reason, stuck_ms = self.store_stuck_ms(now); "job refused");
        let retry_after_ms = retry_after_ms(self.store_stuck_ms(now));
        self.reply(request_id, Response::Refused { reason, retry_after_ms });
    }

    /// Whether the leader is too far behind to take new jobs, and if so, when their callers may come back.
    ///
    /// A leader that may have been replaced refuses none: its successor may have taken the job from an earlier
    /// try of the caller, and a caller who is refused believes that the job never runs.
    fn refuses_new_jobs(&mut self, now: Now) -> Option<u32> {
        if !self.is_leadership_certain(now) {
            return None;
        }
        self.pressure.check_refusal(self.pending_changes.changed_steps(), now)
    }

    /// Refuses a job that nothing was done of.
    fn refuse_for_pressure(&mut self, request_id: RequestId, key: JobKey, retry_after_ms: u32) {
        let reason = "the leader is behind";
        log::info!(job:% = key, reason, behind_ms = self.pressure.behind_ms(); "job refused");
        self.reply(request_id, Response::Refused { reason, retry_after_ms });
    }

    /// Whether the store has taken nothing for so long that new jobs are refused.
    fn store_takes_nothing(&self, now: Now) -> bool {
        let options = &self.options;
        let patience_ms = if self.outbox.was_refused() {
            options.store_refusal_limit_ms
        } else {
            options.store_unresponsive_limit_ms
        };
        self.outbox.stuck_ms(now.steady_ms) > patience_ms
    }

    /// Refuses the jobs that wait for a store that takes nothing. Those that are part of an append
    /// without an answer stay: they may be stored.
    pub(crate) fn refuse_unstored_jobs(&mut self, now: Now) {
        if !self.store_takes_nothing(now) {
            return;
        }
        for (request_id, key) in self.outbox.withdraw_unstored_jobs() {
            self.withdraw(key, now);
            self.refuse_for_store(request_id, key, now);
        }
    }

    /// Forgets a job that was never stored, with what was prepared for it.
    fn withdraw(&mut self, key: JobKey, now: Now) {
        let Some(entry) = self.jobs.get_mut(&key) else { return };
        entry.job.cancel(now.unix_ms);
        self.stop_job(key, now);
        self.reindex(key, now);
        self.release_steps(key);
        self.jobs.remove(&key);
        self.outbox.pending.states.remove(&key);
    }

    /// Why no worker of the queue's service could ever run a step. Says nothing while no worker is
    /// known. One that has less room just now may have more again.
    fn impossible(&self, plan: &v1::WorkPlan, queue: &v1::QueuePolicy) -> Option<String> {
        let is_there = |w: &&Worker| w.registered && w.registration.service == queue.service;
        let workers = self.workers.values().filter(is_there);
        workers.clone().next()?;
        let number = plan.steps.iter().position(|step| {
            let need = place::need(step);
            !workers.clone().any(|worker| need.fits(&worker.max_capacity))
        })?;
        Some(format!("step {number}: no worker is large enough for its tasks"))
    }

    fn tell_state(&mut self, request_id: RequestId, key: JobKey, now: Now) {
        let Some(entry) = self.jobs.get(&key) else {
            return self.tell_unknown(request_id, now);
        };
        let state = match entry.visible_outcome {
            Outcome::Completed => JobState::Completed,
            Outcome::Failed => JobState::Failed,
            Outcome::Cancelled => JobState::Cancelled,
            Outcome::Open if entry.job.has_started => JobState::Running,
            Outcome::Open => JobState::Queued,
        };
        self.reply(request_id, Response::State(state));
    }

    /// Says that a job is unknown, but only as the sure leader: a former one does not know the jobs
    /// of its successor, and a caller who is told so believes that the job is lost.
    fn tell_unknown(&mut self, request_id: RequestId, now: Now) {
        if self.is_leadership_certain(now) {
            return self.reply(request_id, Response::UnknownJob);
        }
        self.refuse_unsure(request_id, now);
    }

    fn refuse_unsure(&mut self, request_id: RequestId, now: Now) {
        let reason = "the store has not confirmed the leader";
        let retry_after_ms = retry_after_ms(self.store_stuck_ms(now));
        self.reply(request_id, Response::Refused { reason, retry_after_ms });
    }

    fn cancel(&mut self, request_id: RequestId, key: JobKey, now: Now) {
        let Some(entry) = self.jobs.get_mut(&key) else {
            return self.tell_unknown(request_id, now);
        };
        let changed = entry.job.cancel(now.unix_ms);
        if changed {
            log::info!(job:% = key; "job cancelled");
            self.on_job_ended(key, now);
        }
        self.outbox.when_stored(OnStored::Reply(request_id, Response::Done));
    }

    fn tell_pending(&mut self, request_id: RequestId, queue: &str, now: Now) {
        if !self.is_leadership_certain(now) {
            return self.refuse_unsure(request_id, now);
        }
        let waits = |entry: &&JobEntry| {
            entry.job.queue.name == queue
                && entry.is_plan_stored
                && !entry.job.has_started
                && entry.job.outcome == Outcome::Open
        };
        let pending = self.jobs.values().filter(waits).count() as u64;
        self.reply(request_id, Response::Pending(pending));
    }

    pub(crate) fn reply(&mut self, request_id: RequestId, response: Response) {
        self.effects.push(Effect::Reply { request_id, response });
    }
}
