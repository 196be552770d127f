//! Looks at workers: what they tell of their runs, and what their silence means.

use std::collections::BTreeSet;

use lilacpass_jobs::{EndReason, JobKey, RunEnd, WorkerName};

use crate::{
    counters::WorkerLoss,
    event::{CallError, Effect, Now, PollResponse, Refusal, ReportedEnd, ReportedRun},
    health,
    leader::Leader,
    options::{self, Mechanism},
    outbox::OnStored,
    worker::{Phase, PollState, RunKey, Worker},
};

/// Most ends that a worker lists at a time. A list of that length may leave ends out.
const ENDS_PAGE: usize = 500;
/// Longest pause between looks at a worker that does not answer, in units of the first pause.
const MOST_RETRY_PAUSES: u64 = 4;

/// Looks in a second at workers that list ends which are not noted yet, over all workers: a bound, so that a
/// leader of hundreds of workers does not spend a slow store's time on looks. 48 workers get one each 0.16 s.
const UNNOTED_LOOKS_A_SECOND: u64 = 300;

impl Leader {
    pub(crate) fn on_polled(
        &mut self,
        name: &WorkerName,
        sent_ms: u64,
        extra: bool,
        result: Result<PollResponse, CallError>,
        now: Now,
    ) {
        let retry_ms = self.options.poll_retry_ms;
        let Some(worker) = self.workers.get_mut(name) else { return };
        if extra {
            worker.extra_poll_in_flight = false;
        } else {
            self.unpolled_workers.insert(name.clone());
        }
        match result {
            Ok(answer) => {
                if !extra {
                    worker.poll = PollState::Due { at_ms: now.steady_ms };
                }
                self.on_poll_response(name, sent_ms, answer, now);
                if !extra {
                    self.delay_poll_until_ends_stored(name, now);
                }
            }
            Err(CallError::OtherLife) => self.end_incarnation(name, now),
            Err(CallError::Refused(Refusal::Fence)) => self.effects.push(Effect::Deposed),
            Err(err) => {
                worker.failed_polls += 1;
                if worker.failed_polls == 1 {
                    log::info!(worker:% = name, error:? = err; "worker does not answer");
                }
                if !extra {
                    // The first may have lost its answer only, and hides ends until the next.
                    let pauses = u64::from(worker.failed_polls - 1).min(MOST_RETRY_PAUSES);
                    worker.poll = PollState::Due { at_ms: now.steady_ms + retry_ms * pauses };
                }
                if worker.failed_polls == 1 {
                    self.record_outage(name, now);
                    self.suspect_data_centre(name, now);
                }
            }
        }
    }

    fn on_poll_response(
        &mut self,
        name: &WorkerName,
        sent_ms: u64,
        answer: PollResponse,
        now: Now,
    ) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.failed_polls == 1 {
            self.response_loss.record_lost_response(now.steady_ms);
        }
        if worker.failed_polls > 0 {
            log::info!(worker:% = name, failed = worker.failed_polls; "worker answers again");
            self.outages.clear(name);
        }
        let first = !worker.accepted_epoch;
        let was_open = worker.is_available();
        if first || worker.failed_polls > 0 || worker.suspected_until_ms > now.steady_ms {
            self.pending_changes.mark_worker_freed(name);
        }
        // The look may have been answered before the others went silent.
        if sent_ms + self.options.worker_avoidance_ms > worker.suspected_until_ms {
            worker.suspected_until_ms = 0;
        }
        worker.last_response_ms = now.steady_ms;
        if first {
            // From now on it refuses a former leader, whose last lease began before this answer. Without
            // this, work on a worker that goes dark soon after a take-over would wait for the bound
            // on a leader that can still extend leases, seven seconds longer.
            let lease_ms = options::longest_lease_ms(self.options.lease_ms, 0);
            worker.leases_expire_by_ms = now.steady_ms + lease_ms;
        }
        worker.accepted_epoch = true;
        worker.failed_polls = 0;
        worker.unresponsive_since_ms = None;
        worker.is_replaced = false;
        // It was cut off, and has not crashed.
        worker.expired_runs.clear();
        worker.record_clock(answer.clock_ms, now.steady_ms);
        if answer.remaining_ms.is_some() && !worker.draining {
            log::info!(worker:% = name, remaining_ms = answer.remaining_ms; "worker drains");
            worker.draining = true;
        }
        if worker.is_available() != was_open {
            self.capacity_index.update(worker);
        }
        let whole = answer.ends.len() < ENDS_PAGE;
        let mut listed: Vec<RunKey> =
            answer.running.iter().map(|row| (row.task, row.run)).collect();
        listed.sort_unstable();
        self.handle_ends(name, answer.ends, now);
        self.handle_running(name, &answer.running, now);
        self.review_trial(name);
        if whole {
            self.settle_unlisted_runs(name, &listed, sent_ms, first, now);
        }
    }

    /// Puts the next look off if the worker lists ends that it may not forget yet: it would return at once.
    /// Ends of other tasks are heard of by it all the same, where the store takes long to note the first.
    fn delay_poll_until_ends_stored(&mut self, name: &WorkerName, now: Now) {
        let per_worker_ms = self.workers.len() as u64 * 1_000 / UNNOTED_LOOKS_A_SECOND;
        let longest_ms = self.options.poll_unrecorded_max_ms;
        let pause_ms = per_worker_ms.clamp(self.options.poll_unrecorded_min_ms, longest_ms);
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.last_seen_end > worker.last_stored_end && worker.poll != PollState::InFlight {
            worker.poll = PollState::Due { at_ms: now.steady_ms + pause_ms };
        }
    }

    /// Handles ends that are new, and lets the worker forget them once they are stored.
    fn handle_ends(&mut self, name: &WorkerName, ends: Vec<ReportedEnd>, now: Now) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let seen_upto = worker.last_seen_end;
        let new: Vec<ReportedEnd> = ends.into_iter().filter(|row| row.number > seen_upto).collect();
        let Some(upto) = new.iter().map(|row| row.number).max() else { return };
        worker.last_seen_end = upto;
        for row in new {
            self.record_job_begun(row.task.step.job);
            self.update_worker_health(name, row.task.step.job, row.end.reason, now);
            self.end_run(name, (row.task, row.end.run), &row.end, now);
        }
        self.outbox.when_stored(OnStored::ForgetEnds { worker: name.clone(), upto });
    }

    /// Notes what the end of a run says about its worker and its job.
    pub(crate) fn update_worker_health(
        &mut self,
        name: &WorkerName,
        job: JobKey,
        how: EndReason,
        now: Now,
    ) {
        match how {
            EndReason::Done => {
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.health.record_success();
                }
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.failed_on.clear();
                }
            }
            EndReason::Failed => self.record_failure_at(name, job, now),
            EndReason::Stopped
            | EndReason::Expired
            | EndReason::Crashed(_)
            | EndReason::GangBroken
            | EndReason::GangIncomplete
            | EndReason::NeverStarted => {}
        }
    }

    /// A job came to grief on a worker: weighs whose doing it was.
    pub(crate) fn record_failure_at(&mut self, name: &WorkerName, job: JobKey, now: Now) {
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.failed_on.insert(name.clone(), now.steady_ms);
        }
        let quarantined =
            self.workers.values().filter(|w| w.health.is_quarantined(now.steady_ms)).count();
        let may_quarantine = (quarantined + 1) * health::MOST_QUARANTINED_IN <= self.workers.len();
        let jobs = &self.jobs;
        // A job that failed on several workers speaks against none of them.
        let speaks = |job| jobs.get(&job).is_none_or(|entry| entry.failed_on.len() <= 1);
        let may_quarantine = may_quarantine && self.options.uses(Mechanism::Quarantine);
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.health.record_failure(job, speaks) && may_quarantine {
            worker.health.quarantine(now.steady_ms);
            log::info!(
                worker:% = name, until_ms = worker.health.quarantined_until_ms - now.steady_ms;
                "worker spoils its work and gets none"
            );
        }
    }

    fn handle_running(&mut self, name: &WorkerName, rows: &[ReportedRun], now: Now) {
        for row in rows {
            let key = (row.task, row.run);
            self.record_job_begun(row.task.step.job);
            if let Some(entry) = self.jobs.get_mut(&row.task.step.job) {
                entry.job.update_checkpoint(row.task, &row.checkpoint);
            }
            let Some(worker) = self.workers.get_mut(name) else { return };
            let Some(given) = worker.runs.get_mut(&key) else {
                self.stop_orphaned_run(name, key, now);
                continue;
            };
            given.update_progress(row.percent, now.steady_ms);
            if matches!(given.phase, Phase::Ordered | Phase::Uncertain { .. }) {
                given.set_phase(Phase::Running { since_ms: now.steady_ms });
            }
            let started_ms = given.started_ms;
            self.clear_proven_task(key, started_ms, now);
        }
    }

    /// Stops a run that nobody asked for any more: its end was noted for another reason, or it was started late.
    /// It counts against the worker's room until it is gone.
    fn stop_orphaned_run(&mut self, name: &WorkerName, key: RunKey, now: Now) {
        let need = self.need_of(key.0);
        let Some(worker) = self.workers.get_mut(name) else { return };
        log::warn!(task:% = key.0, run = key.1, worker:% = name; "stray run");
        worker.assign(key, need, Phase::Running { since_ms: now.steady_ms });
        self.capacity_index.update(worker);
        self.stop_run(name, key, now);
    }

    /// Settles runs that a look does not list. Only a look that was sent after the last news of a
    /// run says anything, since answers may overtake each other.
    fn settle_unlisted_runs(
        &mut self,
        name: &WorkerName,
        listed: &[RunKey],
        sent_ms: u64,
        first: bool,
        now: Now,
    ) {
        let Some(worker) = self.workers.get(name) else { return };
        let absent: Vec<(RunKey, Phase)> = worker
            .runs
            .iter()
            .filter(|(key, _)| listed.binary_search(key).is_err())
            .map(|(key, given)| (*key, given.phase))
            .collect();
        for (key, phase) in absent {
            match phase {
                Phase::Recording | Phase::Ordered => {}
                // Orders of a former leader are void from the first look of its successor on.
                Phase::Uncertain { .. } if first => self.end_never_started(name, key, now),
                Phase::Uncertain { since_ms } | Phase::Running { since_ms } => {
                    if sent_ms > since_ms {
                        self.stop_run(name, key, now);
                    }
                }
                Phase::Stopping { confirmed_ms: Some(confirmed_ms), .. } => {
                    if first || sent_ms > confirmed_ms {
                        self.end_never_started(name, key, now);
                    }
                }
                Phase::Stopping { .. } if first => self.end_never_started(name, key, now),
                Phase::Stopping { .. } => {}
            }
        }
    }

    /// A run that was not started and can't be any more.
    pub(crate) fn end_never_started(&mut self, name: &WorkerName, key: RunKey, now: Now) {
        let end = RunEnd { run: key.1, reason: EndReason::NeverStarted, checkpoint: String::new() };
        self.end_run(name, key, &end, now);
    }

    pub(crate) fn forget_worker(&mut self, name: &WorkerName) {
        if let Some(worker) = self.workers.remove(name)
            && self.latest_by_address.get(&worker.registration.address) == Some(name)
        {
            self.latest_by_address.remove(&worker.registration.address);
        }
        self.capacity_index.remove(name);
    }

    pub(crate) fn expire_all_runs(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get(name) else { return };
        let runs: Vec<RunKey> = worker.runs.keys().copied().collect();
        for key in runs {
            let end = RunEnd { run: key.1, reason: EndReason::Expired, checkpoint: String::new() };
            self.end_run(name, key, &end, now);
        }
    }

    /// Counts the work on workers as ended whose leases have run out by their slowest clock.
    pub(crate) fn expire_unresponsive_workers(&mut self, now: Now) {
        let lapsed: Vec<WorkerName> = self
            .workers
            .values()
            .filter(|worker| now.steady_ms > worker.leases_expire_by_ms)
            .filter(|worker| !worker.runs.is_empty() || !worker.registered)
            .map(|worker| worker.registration.name.clone())
            .collect();
        if lapsed.is_empty() {
            return;
        }
        for name in lapsed {
            let Some(worker) = self.workers.get(&name) else { continue };
            if !worker.runs.is_empty() {
                log::info!(
                    worker:% = name, runs = worker.runs.len(),
                    silent_ms = worker.unresponsive_ms(now.steady_ms);
                    "leases of a silent worker have lapsed"
                );
                self.counters.count_lost_worker(WorkerLoss::LeasesExpired);
            }
            self.expire_worker(&name, now);
        }
        let is_over = |worker: &&Worker| {
            !worker.registered
                && worker.runs.is_empty()
                && !Self::awaits_crash_evidence(worker, now)
        };
        let over = self.workers.values().filter(is_over);
        let over: Vec<WorkerName> = over.map(|worker| worker.registration.name.clone()).collect();
        over.iter().for_each(|name| self.forget_worker(name));
    }

    /// Takes workers for gone that a former leader gave work to, that are not registered, and that we
    /// can't reach, once all this has held for the time in which a worker that lives is registered
    /// again.
    ///
    /// Such a worker could live on only together with a former leader that goes on extending its
    /// leases, both cut off from us and from the store; then other workers of its data centre would
    /// not answer us. Without this, work on a worker that left while the leader changed would wait
    /// for the longest lease that the former leader can have given, over ten seconds.
    pub(crate) fn give_up_missing_workers(&mut self, now: Now) {
        let answering = self.responsive_data_centres(now);
        let mut missing = Vec::new();
        for (name, worker) in &mut self.workers {
            let is_missing = !worker.registered
                && !worker.accepted_epoch
                && worker.expired_runs.is_empty()
                && answering.contains(&worker.registration.data_centre);
            if !is_missing {
                worker.missing_since_ms = None;
                continue;
            }
            let since_ms = *worker.missing_since_ms.get_or_insert(now.steady_ms);
            if now.steady_ms >= since_ms + self.options.registration_ms {
                missing.push(name.clone());
            }
        }
        missing.iter().for_each(|name| self.presume_gone(name, missing.len(), now));
    }

    /// Data centres of which a worker has just answered.
    fn responsive_data_centres(&self, now: Now) -> BTreeSet<String> {
        let heard_from_ms = now.steady_ms.saturating_sub(2 * self.options.poll_wait_ms);
        self.workers
            .values()
            .filter(|worker| worker.accepted_epoch && worker.failed_polls == 0)
            .filter(|worker| worker.last_response_ms > heard_from_ms)
            .map(|worker| worker.registration.data_centre.clone())
            .collect()
    }

    /// Starts the looks that are due.
    pub(crate) fn send_due_polls(&mut self, now: Now) {
        let may_extend = self.may_extend_leases(now);
        let options = &self.options;
        let (poll_wait_ms, answer_ms) = if self.response_loss.is_lossy(now.steady_ms) {
            (options.poll_wait_lossy_ms, options.poll_answer_lossy_ms)
        } else {
            (options.poll_wait_ms, options.poll_answer_ms)
        };
        let due: Vec<WorkerName> = self.unpolled_workers.iter().cloned().collect();
        for name in due {
            let Some(worker) = self.workers.get_mut(&name) else {
                self.unpolled_workers.remove(&name);
                continue;
            };
            let PollState::Due { at_ms } = worker.poll else { continue };
            if worker.registration.address.is_empty() || now.steady_ms < at_ms {
                continue;
            }
            let unnoted = worker.last_seen_end > worker.last_stored_end;
            // Without an answer a lease is not extended again, else silence would never let it lapse.
            let extend = may_extend && worker.failed_polls == 0;
            let lease_ms =
                if worker.draining { options.draining_lease_ms } else { options.lease_ms };
            let lease_until_ms =
                if extend { worker.extend_lease(lease_ms, now.steady_ms) } else { None };
            let wait_ms = if worker.accepted_epoch && !unnoted { poll_wait_ms } else { 0 };
            worker.poll = PollState::InFlight;
            self.unpolled_workers.remove(&name);
            self.effects.push(Effect::Poll {
                worker: worker.registration.name.clone(),
                address: worker.registration.address.clone(),
                lease_until_ms,
                forget_up_to: worker.last_stored_end,
                wait_ms,
                answer_ms,
                extra: false,
            });
        }
    }

    /// Looks at a worker beside the waiting look, to settle a run without delay.
    pub(crate) fn send_extra_poll(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.extra_poll_in_flight || worker.registration.address.is_empty() {
            return;
        }
        worker.extra_poll_in_flight = true;
        self.effects.push(Effect::Poll {
            worker: name.clone(),
            address: worker.registration.address.clone(),
            lease_until_ms: None,
            forget_up_to: worker.last_stored_end,
            wait_ms: 0,
            answer_ms: self.options.poll_answer_ms,
            extra: true,
        });
    }
}
