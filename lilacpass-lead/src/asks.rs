//! What callers ask, and what they are told.

use lilacpass_jobs::{Job, JobKey, Outcome, plan};
use lilacpass_schema::v1;

use crate::{
    event::{Answer, Ask, Effect, JobState, Now, Token},
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
    pub(crate) fn on_asked(&mut self, token: Token, ask: Ask, now: Now) {
        match ask {
            Ask::Submit { job, plan, queue } => self.submit(token, job, plan, queue, now),
            Ask::State(job) => self.tell_state(token, job, now),
            Ask::Cancel(job) => self.cancel(token, job, now),
            Ask::Pending { queue } => self.tell_pending(token, &queue, now),
        }
    }

    fn submit(
        &mut self,
        token: Token,
        key: JobKey,
        plan: v1::WorkPlan,
        queue: v1::QueuePolicy,
        now: Now,
    ) {
        if let Some(entry) = self.jobs.get(&key) {
            let same = entry.job.plan == plan;
            if !same {
                return self.reply(token, Answer::Conflict);
            }
            if entry.is_plan_stored {
                return self.reply(token, Answer::Done);
            }
            return self.outbox.when_stored(OnStored::Accept(token, key));
        }
        if let Err(err) = plan::check(&plan) {
            return self.reply(token, Answer::Invalid(err.to_string()));
        }
        if let Some(reason) = self.impossible(&plan, &queue) {
            return self.reply(token, Answer::Invalid(reason));
        }
        if self.store_takes_nothing(now) {
            return self.refuse_for_store(token, key, now);
        }
        if let Some(retry_after_ms) = self.refuses_new_jobs(now) {
            return self.refuse_for_pressure(token, key, retry_after_ms);
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
        self.outbox.when_stored(OnStored::Accept(token, key));
        self.reindex(key, now);
    }

    /// A job is stored: its caller may be told.
    pub(crate) fn accept(&mut self, token: Token, key: JobKey) {
        if let Some(entry) = self.jobs.get_mut(&key) {
            entry.is_plan_stored = true;
        }
        self.reply(token, Answer::Done);
    }

    fn refuse_for_store(&mut self, token: Token, key: JobKey, now: Now) {
        let reason = "the store takes nothing";
        log::info!(job:% = key, reason, stuck_ms = self.store_stuck_ms(now); "job refused");
        let retry_after_ms = retry_after_ms(self.store_stuck_ms(now));
        self.reply(token, Answer::Refused { reason, retry_after_ms });
    }

    /// Whether the leader is too far behind to take new jobs, and if so, when their callers may come back.
    ///
    /// A leader that may have been replaced refuses none: its successor may have taken the job from an earlier
    /// try of the caller, and a caller who is refused believes that the job never runs.
    fn refuses_new_jobs(&mut self, now: Now) -> Option<u32> {
        if !self.is_leadership_certain(now) {
            return None;
        }
        self.pressure.refuses(self.pending_changes.unseen(), now)
    }

    /// Refuses a job that nothing was done of.
    fn refuse_for_pressure(&mut self, token: Token, key: JobKey, retry_after_ms: u32) {
        let reason = "the leader is behind";
        log::info!(job:% = key, reason, behind_ms = self.pressure.behind_ms(); "job refused");
        self.reply(token, Answer::Refused { reason, retry_after_ms });
    }

    /// Whether the store has taken nothing for so long that new jobs are refused.
    fn store_takes_nothing(&self, now: Now) -> bool {
        let options = &self.options;
        let patience_ms = if self.outbox.was_refused() {
            options.store_patience_ms
        } else {
            options.store_silence_ms
        };
        self.outbox.stuck_ms(now.steady_ms) > patience_ms
    }

    /// Refuses the jobs that wait for a store that takes nothing. Those that are part of an append
    /// without an answer stay: they may be stored.
    pub(crate) fn refuse_stuck_jobs(&mut self, now: Now) {
        if !self.store_takes_nothing(now) {
            return;
        }
        for (token, key) in self.outbox.withdraw_unstored_jobs() {
            self.withdraw(key, now);
            self.refuse_for_store(token, key, now);
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

    fn tell_state(&mut self, token: Token, key: JobKey, now: Now) {
        let Some(entry) = self.jobs.get(&key) else {
            return self.tell_unknown(token, now);
        };
        let state = match entry.visible_outcome {
            Outcome::Completed => JobState::Completed,
            Outcome::Failed => JobState::Failed,
            Outcome::Cancelled => JobState::Cancelled,
            Outcome::Open if entry.job.begun => JobState::Running,
            Outcome::Open => JobState::Queued,
        };
        self.reply(token, Answer::State(state));
    }

    /// Says that a job is unknown, but only as the sure leader: a former one does not know the jobs
    /// of its successor, and a caller who is told so believes that the job is lost.
    fn tell_unknown(&mut self, token: Token, now: Now) {
        if self.is_leadership_certain(now) {
            return self.reply(token, Answer::UnknownJob);
        }
        self.refuse_unsure(token, now);
    }

    fn refuse_unsure(&mut self, token: Token, now: Now) {
        let reason = "the store has not confirmed the leader";
        let retry_after_ms = retry_after_ms(self.store_stuck_ms(now));
        self.reply(token, Answer::Refused { reason, retry_after_ms });
    }

    fn cancel(&mut self, token: Token, key: JobKey, now: Now) {
        let Some(entry) = self.jobs.get_mut(&key) else {
            return self.tell_unknown(token, now);
        };
        let changed = entry.job.cancel(now.unix_ms);
        if changed {
            log::info!(job:% = key; "job cancelled");
            self.on_job_ended(key, now);
        }
        self.outbox.when_stored(OnStored::Reply(token, Answer::Done));
    }

    fn tell_pending(&mut self, token: Token, queue: &str, now: Now) {
        if !self.is_leadership_certain(now) {
            return self.refuse_unsure(token, now);
        }
        let waits = |entry: &&JobEntry| {
            entry.job.queue.name == queue
                && entry.is_plan_stored
                && !entry.job.begun
                && entry.job.outcome == Outcome::Open
        };
        let pending = self.jobs.values().filter(waits).count() as u64;
        self.reply(token, Answer::Pending(pending));
    }

    pub(crate) fn reply(&mut self, token: Token, answer: Answer) {
        self.effects.push(Effect::Reply { token, answer });
    }
}
