//! Handles client requests.

use lilacpass_core::ids::AccountId;
use lilacpass_jobs::{Job, JobKey, Outcome, plan, record};
use lilacpass_schema::v1;

use crate::{
    event::{Effect, JobState, Now, Request, RequestId, Requester, Response},
    job_entry::JobEntry,
    leader::Leader,
    outbox::OnStored,
    place,
    work::Part,
    worker::Worker,
};

/// Minimum and maximum time in ms after which a refused client is asked to retry.
const RETRY_BOUNDS_MS: (u64, u64) = (1_000, 3_000);
/// The record of a job holds this many runs if the names of workers and data centres have up to 255 bytes.
const ALWAYS_RECORDABLE_TASKS: u64 = 400;

/// Returns the time in ms after which a client should retry when an outage has lasted for `outage_ms`: the same time
/// again, within `RETRY_BOUNDS_MS`. An outage that has lasted long will probably last longer, and clients retry only a
/// few times. The upper bound prevents them from waiting long after the outage has ended.
pub fn retry_after_ms(outage_ms: u64) -> u32 {
    let (min_ms, max_ms) = RETRY_BOUNDS_MS;
    outage_ms.clamp(min_ms, max_ms) as u32
}

impl Requester {
    /// Returns whether a job belongs to the requester.
    fn owns(&self, job: &Job) -> bool {
        let owner = job.account.as_ref().map(|policy| policy.name.as_str());
        owner == self.0.as_ref().map(AccountId::as_str)
    }
}

/// A job as a client submits it.
struct Submission {
    plan: v1::WorkPlan,
    queue: v1::QueuePolicy,
    /// The account of the client; `None` if the queue is public.
    account: Option<v1::AccountPolicy>,
}

impl Submission {
    /// Returns who the job is to belong to.
    fn requester(&self) -> Requester {
        Requester(self.account.as_ref().map(|policy| AccountId::new(&policy.name)))
    }
}

impl Leader {
    /// Handles a client request.
    pub(crate) fn on_request(&mut self, request_id: RequestId, request: Request, now: Now) {
        match request {
            Request::Submit { job, plan, queue, account } => {
                self.submit(
                    request_id,
                    job,
                    Submission { plan, queue, account: account.map(|account| *account) },
                    now,
                );
            }
            Request::State(job, requester) => {
                self.respond_with_state(request_id, job, &requester, now);
            }
            Request::Cancel(job, requester) => self.cancel(request_id, job, &requester, now),
            Request::Pending { queue } => self.respond_with_pending(request_id, &queue, now),
        }
    }

    /// Accepts a new job, or refuses it. Submitting the same job again is not an error.
    fn submit(&mut self, request_id: RequestId, key: JobKey, submission: Submission, now: Now) {
        if let Some(entry) = self.jobs.get(&key) {
            let is_same =
                entry.job.plan == submission.plan && submission.requester().owns(&entry.job);
            if !is_same {
                return self.reply(request_id, Response::Conflict);
            }
            if entry.is_plan_stored {
                return self.reply(request_id, Response::Done);
            }
            return self.outbox.when_stored(OnStored::Accept(request_id, key));
        }
        if let Some(reason) = self.find_invalid(&submission) {
            return self.reply(request_id, Response::Invalid(reason));
        }
        if self.is_store_stuck(now) {
            return self.refuse_while_store_stuck(request_id, key, now);
        }
        if let Some(retry_after_ms) = self.pressure_retry_ms(key, &submission.plan, now) {
            return self.refuse_while_behind(request_id, key, retry_after_ms);
        }
        if self.lacks_memory_for(&submission.plan, now) {
            return self.refuse_for_lack_of_memory(request_id, key, now);
        }
        self.accept(request_id, key, submission, now);
    }

    /// Returns whether a job takes up more memory than there is. As with [`Leader::pressure_retry_ms`], only a leader that
    /// certainly leads may refuse.
    fn lacks_memory_for(&self, plan: &v1::WorkPlan, now: Now) -> bool {
        !self.job_memory.has_room(plan, self.options.max_job_bytes)
            && self.is_leadership_certain(now)
    }

    /// Refuses a job because the known ones take up all memory for jobs. Nothing has been done for the job yet.
    fn refuse_for_lack_of_memory(&mut self, request_id: RequestId, key: JobKey, now: Now) {
        let reason = "no memory for another job";
        self.counters.jobs_refused_for_memory += 1;
        if self.refusal_log_limit.allows(now.steady_ms) {
            log::warn!(
                job:% = key, reason, job_bytes = self.job_memory.bytes(),
                max_job_bytes = self.options.max_job_bytes;
                "job refused"
            );
        }
        // Room is free again once jobs have ended and are not retained any more, which takes longer than clients wait.
        let (_, retry_after_ms) = RETRY_BOUNDS_MS;
        self.reply(request_id, Response::Refused { reason, retry_after_ms: retry_after_ms as u32 });
    }

    /// Returns why a job can't be carried out; `None` if it can.
    fn find_invalid(&mut self, submission: &Submission) -> Option<String> {
        let Submission { plan, queue, account } = submission;
        if let Err(err) = plan::check(plan) {
            return Some(err.to_string());
        }
        let beyond_cap =
            account.as_ref().and_then(|policy| self.find_step_beyond_cap(plan, policy));
        beyond_cap
            .or_else(|| self.find_impossible_step(plan, queue))
            .or_else(|| self.find_step_beyond_record(plan, queue))
    }

    /// Adds a new job, whose client receives a response once it is stored.
    fn accept(&mut self, request_id: RequestId, key: JobKey, submission: Submission, now: Now) {
        let policy = submission.account;
        let account = policy.as_ref().map(|policy| self.accounts.number_of(policy));
        let is_within_share =
            account.is_none_or(|account| self.accounts.count_job(account, now.steady_ms));
        let record = v1::PlanRecord {
            plan: Some(submission.plan),
            queue: Some(submission.queue),
            accepted_ms: now.unix_ms,
            account: policy,
            beyond_share: !is_within_share,
        };
        let job = Job::new(key, record);
        let account_name = account.map_or("", |account| self.accounts.name(account).as_str());
        log::info!(
            job:% = key, queue = job.queue.name.as_str(), steps = job.plan.steps.len(),
            waiting = self.waiting.len(), account = account_name,
            beyond_share = job.is_beyond_share;
            "job accepted"
        );
        self.insert_job(JobEntry::new(job, account, false));
        self.outbox.pending.plans.insert(key);
        self.outbox.when_stored(OnStored::Accept(request_id, key));
        self.reindex(key, now);
    }

    /// Responds to the client of a submitted job, which is now stored.
    pub(crate) fn confirm_submission(&mut self, request_id: RequestId, key: JobKey) {
        if let Some(entry) = self.jobs.get_mut(&key) {
            entry.is_plan_stored = true;
        }
        self.reply(request_id, Response::Done);
    }

    /// Refuses a job because the store is stuck.
    fn refuse_while_store_stuck(&mut self, request_id: RequestId, key: JobKey, now: Now) {
        let reason = "the store takes nothing";
        log::info!(job:% = key, reason, stuck_ms = self.store_stuck_ms(now); "job refused");
        let retry_after_ms = retry_after_ms(self.store_stuck_ms(now));
        self.reply(request_id, Response::Refused { reason, retry_after_ms });
    }

    /// Returns the time in ms after which a client should retry if the leader is too far behind to accept new jobs.
    ///
    /// A leader that may have been replaced refuses no job for this reason: its successor may have accepted the job
    /// from an earlier attempt, and a client that is refused concludes that the job will never run.
    fn pressure_retry_ms(&mut self, key: JobKey, plan: &v1::WorkPlan, now: Now) -> Option<u32> {
        if !self.is_leadership_certain(now) {
            return None;
        }
        if self.admission.share().refuses(key, plan) {
            self.pressure.record_refusal(now);
            return Some(retry_after_ms(self.admission.limited_ms(now)));
        }
        self.pressure.check_refusal(self.pending_changes.changed_step_count(), now)
    }

    /// Refuses a job because the leader is behind. Nothing has been done for the job yet.
    fn refuse_while_behind(&mut self, request_id: RequestId, key: JobKey, retry_after_ms: u32) {
        let reason = "the leader is behind";
        log::info!(job:% = key, reason, behind_ms = self.pressure.behind_ms(); "job refused");
        self.reply(request_id, Response::Refused { reason, retry_after_ms });
    }

    /// Returns whether an append has not been stored for so long that new jobs are refused.
    fn is_store_stuck(&self, now: Now) -> bool {
        let options = &self.options;
        let limit_ms = if self.outbox.was_refused() {
            options.store_refusal_limit_ms
        } else {
            options.store_unresponsive_limit_ms
        };
        self.outbox.stuck_ms(now.steady_ms) > limit_ms
    }

    /// Refuses the jobs that wait to be stored if the store is stuck. Jobs in an append that has got no response are
    /// kept, because they may have been stored.
    pub(crate) fn refuse_unstored_jobs(&mut self, now: Now) {
        if !self.is_store_stuck(now) {
            return;
        }
        for (request_id, key) in self.outbox.withdraw_unstored_jobs() {
            self.withdraw(key, now);
            self.refuse_while_store_stuck(request_id, key, now);
        }
    }

    /// Refuses a job whose plan the store rejects. Its tasks have not been started.
    pub(crate) fn refuse_unrecordable(&mut self, key: JobKey, now: Now) {
        if self.jobs.get(&key).is_none_or(|entry| entry.is_plan_stored) {
            // The record was a deletion. A next leader repeats it.
            return;
        }
        let reason =
            "the store rejects the record of the job, which may be too long; the job has not run";
        log::warn!(job:% = key, reason; "job refused");
        for request_id in self.outbox.withdraw_job(key) {
            self.reply(request_id, Response::Invalid(reason.to_owned()));
        }
        self.withdraw(key, now);
        // A first state may have been stored.
        self.outbox.pending.deletions.insert(key);
    }

    /// Removes a job that was never stored, together with its prepared runs.
    fn withdraw(&mut self, key: JobKey, now: Now) {
        let Some(entry) = self.jobs.get_mut(&key) else { return };
        if entry.job.cancel(now.unix_ms) {
            self.open_jobs.remove(&entry.job);
        }
        self.stop_job(key, now);
        self.reindex(key, now);
        self.release_steps(key);
        self.remove_job(key);
        self.outbox.pending.states.remove(&key);
    }

    /// Returns the reason if no worker of the queue's service is large enough for some step. Returns `None` while no
    /// worker is known, or not all of them. A worker's largest known capacity counts, because a reduced capacity may grow
    /// again.
    fn find_impossible_step(&self, plan: &v1::WorkPlan, queue: &v1::QueuePolicy) -> Option<String> {
        if !self.registration_age.has_read() {
            return None;
        }
        let is_usable =
            |worker: &&Worker| worker.registered && worker.registration.service == queue.service;
        let workers = self.workers.values().filter(is_usable);
        workers.clone().next()?;
        let number = plan.steps.iter().position(|step| {
            let need = place::need(step);
            !workers.clone().any(|worker| need.fits(&worker.max_capacity))
        })?;
        Some(format!("step {number}: no worker is large enough for its tasks"))
    }

    /// Returns the reason if the record of the job's state can't hold all runs that must be under way at the same time,
    /// with the longest names of workers that are known: those of long-running tasks, and of a gang beside them. Other
    /// steps run in parts.
    fn find_step_beyond_record(
        &self,
        plan: &v1::WorkPlan,
        queue: &v1::QueuePolicy,
    ) -> Option<String> {
        let lasting = plan.steps.iter().filter(|step| step.lasting);
        let lasting_tasks: u64 = lasting.map(|step| u64::from(step.count)).sum();
        let lasting_tasks = lasting_tasks * plan::occurrences(plan);
        let together = |step: &v1::WorkStep| {
            let gang = if step.gang && !step.lasting { u64::from(step.count) } else { 0 };
            lasting_tasks + gang
        };
        let (number, most) = plan.steps.iter().map(together).enumerate().max_by_key(|(_, n)| *n)?;
        if most <= ALWAYS_RECORDABLE_TASKS {
            return None;
        }
        let tasks = plan::tasks_per_occurrence(plan) * plan::occurrences(plan);
        let others = tasks.saturating_sub(most);
        let workers = self.workers.values().map(|worker| &worker.registration);
        let usable = workers.filter(|registration| registration.service == queue.service);
        let max = usable
            .map(|worker| record::max_running_tasks(&worker.name, &worker.data_centre, others))
            .min()?;
        (most > max).then(|| {
            format!("step {number}: {most} tasks of the job run at the same time, and its record holds {max} runs")
        })
    }

    /// Responds with the state of a job.
    fn respond_with_state(
        &mut self,
        request_id: RequestId,
        key: JobKey,
        requester: &Requester,
        now: Now,
    ) {
        let Some(entry) = self.jobs.get(&key).filter(|entry| requester.owns(&entry.job)) else {
            return self.respond_unknown_job(request_id, now);
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

    /// Responds that a job is unknown, but only if this instance certainly leads. A former leader does not know the
    /// jobs of its successor, and a client that receives this response concludes that the job is lost.
    fn respond_unknown_job(&mut self, request_id: RequestId, now: Now) {
        if self.is_leadership_certain(now) {
            return self.reply(request_id, Response::UnknownJob);
        }
        self.refuse_unconfirmed(request_id, now);
    }

    /// Refuses a request because the store has not recently confirmed that this instance leads.
    fn refuse_unconfirmed(&mut self, request_id: RequestId, now: Now) {
        let reason = "the store has not confirmed the leader";
        let retry_after_ms = retry_after_ms(self.store_stuck_ms(now));
        self.reply(request_id, Response::Refused { reason, retry_after_ms });
    }

    /// Cancels a job, and responds once that is stored.
    fn cancel(&mut self, request_id: RequestId, key: JobKey, requester: &Requester, now: Now) {
        let Some(entry) = self.jobs.get_mut(&key).filter(|entry| requester.owns(&entry.job)) else {
            return self.respond_unknown_job(request_id, now);
        };
        let changed = entry.job.cancel(now.unix_ms);
        if changed {
            log::info!(job:% = key; "job cancelled");
            self.on_job_ended(key, now);
        }
        self.outbox.when_stored(OnStored::Cancel(request_id, key));
    }

    /// Responds with the number of open, stored jobs of a queue that no worker has started.
    fn respond_with_pending(&mut self, request_id: RequestId, queue: &str, now: Now) {
        if !self.is_leadership_certain(now) {
            return self.refuse_unconfirmed(request_id, now);
        }
        self.visits.add(Part::JobUpdate, self.unstarted_jobs.len());
        let jobs = &self.jobs;
        self.unstarted_jobs.retain(|key| {
            jobs.get(key)
                .is_some_and(|entry| !entry.job.has_started && entry.job.outcome == Outcome::Open)
        });
        let unstarted = self.unstarted_jobs.iter().filter_map(|key| jobs.get(key));
        let is_pending = |entry: &&JobEntry| entry.is_plan_stored && entry.job.queue.name == queue;
        let pending = unstarted.filter(is_pending).count() as u64;
        self.reply(request_id, Response::Pending(pending));
    }

    /// Sends a response to a client.
    pub(crate) fn reply(&mut self, request_id: RequestId, response: Response) {
        self.effects.push(Effect::Reply { request_id, response });
    }
}
