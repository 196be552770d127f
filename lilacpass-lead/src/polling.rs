//! Polls of workers: each one extends the leases on the worker and returns its running runs and its run ends. Also
//! what follows when a worker stops responding.

use std::mem;

use lilacpass_core::Verdict;
use lilacpass_jobs::{EndReason, JobKey, RunEnd, WorkerName};

use crate::{
    event::{CallError, Effect, Now, PollResponse, Refusal, ReportedEnd, ReportedRun},
    health, incarnations,
    leader::Leader,
    options::Mechanism,
    outbox::OnStored,
    work::Part,
    worker::{Phase, PollState, RunKey},
};

/// Maximum number of run ends that a worker lists in one response. A response with that many may omit others.
const MAX_LISTED_ENDS: usize = 500;

/// Maximum rate of polls, over all workers, while their listed ends are not stored yet. Without it, a leader of
/// hundreds of workers would spend its time on polls while the store is slow. At this rate, a cell of 48 workers polls
/// each of them every 0.16 s.
const MAX_POLLS_PER_SECOND_WHILE_STORING: u64 = 300;

impl Leader {
    /// Processes the result of a poll that was sent at `sent_ms`.
    pub(crate) fn on_polled(
        &mut self,
        name: &WorkerName,
        sent_ms: u64,
        extra: bool,
        result: Result<PollResponse, CallError>,
        now: Now,
    ) {
        if !extra {
            self.probes.record_end(name);
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        if extra {
            worker.extra_poll_in_flight = false;
        }
        let result = match result {
            Ok(response) => match incarnations::incarnation_of_response(name, &response) {
                Some(incarnation) if incarnation == *name => Ok(response),
                Some(incarnation) => return self.begin_next_incarnation(name, incarnation, now),
                // The incarnation that responded is unknown, so the response proves nothing.
                None => Err(CallError::Failed(Verdict::MayHaveRun)),
            },
            Err(err) => Err(err),
        };
        match result {
            Ok(response) => {
                if !extra {
                    worker.poll = PollState::Due { at_ms: now.steady_ms };
                }
                self.on_poll_response(name, sent_ms, response, now);
                if !extra {
                    self.delay_poll_until_ends_stored(name, now);
                }
                self.schedule_poll(name);
            }
            Err(CallError::OtherWorker) => self.end_replaced_worker(name, now),
            Err(CallError::Refused(Refusal::Fence)) if worker.successor.is_none() => {
                self.effects.push(Effect::Deposed);
            }
            Err(err) => {
                self.on_poll_failed(name, extra, &err, now);
                self.schedule_poll(name);
            }
        }
    }

    /// Updates a worker from its response to a poll that was sent at `sent_ms`.
    fn on_poll_response(
        &mut self,
        name: &WorkerName,
        sent_ms: u64,
        response: PollResponse,
        now: Now,
    ) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.failed_polls == 1 {
            self.response_loss.record_lost_response(now.steady_ms);
        }
        if worker.failed_polls > 0 {
            if self.worker_log_limit.allows(now.steady_ms) {
                log::info!(worker:% = name, failed = worker.failed_polls; "worker responds again");
            }
            if let PollState::Due { at_ms } = worker.poll {
                self.probes.cancel(name, &worker.registration.data_centre, at_ms);
            }
            self.unresponsive_workers.remove(name);
            self.outages.clear(name);
            worker.responded_again_ms = Some(now.steady_ms);
        }
        let is_first_response = !worker.accepted_epoch;
        if is_first_response || worker.failed_polls > 0 || worker.suspected_until_ms > now.steady_ms
        {
            self.pending_changes.mark_worker_freed(name);
        }
        // Only a poll that was sent after the suspicion began counts: an earlier one may have been answered before the
        // rest of the data centre became unreachable. The polls that the suspicion itself has sent are mostly sent
        // within the same millisecond.
        let mut next_checks = Vec::new();
        if sent_ms + self.options.worker_avoidance_ms >= worker.suspected_until_ms
            && mem::take(&mut worker.suspected_until_ms) > now.steady_ms
        {
            next_checks = self.data_centres.next_checks(&worker.registration.data_centre);
        }
        worker.last_response_ms = now.steady_ms;
        self.data_centres.record_response(&worker.registration.data_centre, now.steady_ms);
        if is_first_response {
            // From now on the worker refuses orders of a former leader, so the last lease granted by one began before
            // this response. Without this bound, work on a worker that becomes unreachable soon after a take-over would
            // wait seven seconds longer, for the last lease that a former leader can still grant. The worker also refuses
            // orders that were meant for its former incarnations, which may have granted it the longest lease.
            let has_restarted = self.incarnations.has_former(name.id())
                || self.options.may_hold_longest_lease(name, now);
            worker.leases_expire_by_ms = if has_restarted {
                let last_granted_ms =
                    now.steady_ms + self.incarnations.max_order_delay_ms(name.id());
                self.options.longest_lease_expires_by_ms(last_granted_ms)
            } else {
                self.options.leases_expire_by_ms(now.steady_ms)
            };
        }
        let first_check_ms = is_first_response.then_some(worker.leases_expire_by_ms + 1);
        let lists_all_ends = response.ends.len() < MAX_LISTED_ENDS;
        worker.lists_all_ends = lists_all_ends;
        worker.accepted_epoch = true;
        worker.failed_polls = 0;
        worker.unresponsive_since_ms = None;
        worker.is_replaced = false;
        // The worker was unreachable and has not crashed.
        let given_up = mem::take(&mut worker.expired_runs);
        worker.record_clock(response.clock_ms, now.steady_ms);
        if response.remaining_ms.is_some() && !worker.draining {
            log::info!(worker:% = name, remaining_ms = response.remaining_ms; "worker is draining");
            worker.draining = true;
        }
        self.capacity_index.update(worker, now.steady_ms);
        next_checks.iter().for_each(|name| self.send_extra_poll(name));
        if let Some(at_ms) = first_check_ms {
            self.check_leases_at(name, at_ms);
        }
        let mut listed_runs: Vec<RunKey> =
            response.running.iter().map(|reported| (reported.task, reported.run)).collect();
        listed_runs.sort_unstable();
        for (key, _) in given_up {
            if listed_runs.binary_search(&key).is_ok() {
                self.report_run_beyond_leases(name, key);
            }
        }
        if is_first_response {
            self.settle_former_incarnations(name, &response, now);
        }
        self.handle_ends(name, response.ends, now);
        self.handle_running(name, &response.running, now);
        self.review_trial(name, now);
        if lists_all_ends {
            self.settle_unlisted_runs(name, &listed_runs, sent_ms, is_first_response, now);
        }
    }

    /// Delays the next poll if the worker lists ends that are not stored yet, because such a poll returns at once. The
    /// worker is still polled now and then, so that the leader learns of other ends while the store is slow.
    fn delay_poll_until_ends_stored(&mut self, name: &WorkerName, now: Now) {
        let per_worker_ms = self.workers.len() as u64 * 1_000 / MAX_POLLS_PER_SECOND_WHILE_STORING;
        let max_pause_ms = self.options.poll_unrecorded_max_ms;
        let pause_ms = per_worker_ms.clamp(self.options.poll_unrecorded_min_ms, max_pause_ms);
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.last_seen_end > worker.last_stored_end && worker.poll != PollState::InFlight {
            worker.poll = PollState::Due { at_ms: now.steady_ms + pause_ms };
        }
    }

    /// Processes ends that were not seen before, and lets the worker forget them once they are stored.
    fn handle_ends(&mut self, name: &WorkerName, ends: Vec<ReportedEnd>, now: Now) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let last_seen_end = worker.last_seen_end;
        let unseen: Vec<ReportedEnd> =
            ends.into_iter().filter(|reported| reported.number > last_seen_end).collect();
        let Some(up_to) = unseen.iter().map(|reported| reported.number).max() else { return };
        worker.last_seen_end = up_to;
        for reported in unseen {
            self.record_job_started(reported.task.step.job);
            self.update_worker_health(name, reported.task.step.job, reported.end.reason, now);
            self.end_run(name, (reported.task, reported.end.run), &reported.end, now);
        }
        self.outbox.when_stored(OnStored::ForgetEnds { worker: name.clone(), up_to });
    }

    /// After a run has ended, updates the evidence against its worker and the list of workers on which its job failed.
    pub(crate) fn update_worker_health(
        &mut self,
        name: &WorkerName,
        job: JobKey,
        reason: EndReason,
        now: Now,
    ) {
        match reason {
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

    /// Records a failed or stalled run of a job on a worker, and quarantines the worker if the evidence suffices.
    pub(crate) fn record_failure_at(&mut self, name: &WorkerName, job: JobKey, now: Now) {
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.failed_on.insert(name.clone(), now.steady_ms);
        }
        let quarantined = self
            .workers
            .values()
            .filter(|worker| worker.health.is_quarantined(now.steady_ms))
            .count();
        let may_quarantine =
            (quarantined + 1) * health::MIN_WORKERS_PER_QUARANTINE <= self.workers.len();
        let jobs = &self.jobs;
        // A job that has failed on several workers is no evidence against any of them.
        let counts_against_worker =
            |job| jobs.get(&job).is_none_or(|entry| entry.failed_on.len() <= 1);
        let may_quarantine = may_quarantine && self.options.uses(Mechanism::Quarantine);
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.health.record_failure(job, counts_against_worker) && may_quarantine {
            worker.health.quarantine(now.steady_ms);
            let until_ms = worker.health.quarantined_until_ms;
            log::info!(
                worker:% = name, until_ms = until_ms - now.steady_ms;
                "worker fails its runs and is quarantined"
            );
            self.hold_back(name, until_ms, now);
        }
    }

    /// Updates runs from the list of running runs in a response.
    fn handle_running(&mut self, name: &WorkerName, runs: &[ReportedRun], now: Now) {
        for reported in runs {
            let key = (reported.task, reported.run);
            self.record_job_started(reported.task.step.job);
            if let Some(entry) = self.jobs.get_mut(&reported.task.step.job) {
                entry.job.update_checkpoint(reported.task, &reported.checkpoint);
            }
            let Some(worker) = self.workers.get_mut(name) else { return };
            let Some(assigned) = worker.run_mut(key) else {
                self.stop_orphaned_run(name, key, now);
                continue;
            };
            assigned.update_progress(reported.percent, now.steady_ms);
            if matches!(assigned.phase, Phase::Ordered | Phase::Uncertain { .. }) {
                assigned.set_phase(Phase::Running { since_ms: now.steady_ms });
            }
            let started_ms = assigned.started_ms;
            self.clear_proven_task(key, started_ms, now);
        }
    }

    /// Reports a run that goes on although it was given up because all leases on its worker had to have expired. Its task
    /// may have run twice.
    fn report_run_beyond_leases(&mut self, name: &WorkerName, (task, run): RunKey) {
        log::error!(task:% = task, run, worker:% = name; "run goes on beyond the leases on its worker");
        self.counters.runs_beyond_leases += 1;
    }

    /// Stops an orphaned run, which the leader no longer tracks: the leader has already counted it as ended, or its
    /// start was carried out late. It occupies capacity of the worker until it has ended.
    fn stop_orphaned_run(&mut self, name: &WorkerName, key: RunKey, now: Now) {
        let need = self.need_of(key.0);
        let Some(worker) = self.workers.get_mut(name) else { return };
        log::warn!(task:% = key.0, run = key.1, worker:% = name; "stopping an orphaned run");
        worker.assign(key, need, Phase::Running { since_ms: now.steady_ms });
        self.capacity_index.update(worker, now.steady_ms);
        self.charge_run(name, key);
        self.stop_run(name, key, now);
    }

    /// Settles runs that a poll response does not list. A response counts only if its poll was sent after the run last
    /// changed its phase, since responses may arrive out of order.
    fn settle_unlisted_runs(
        &mut self,
        name: &WorkerName,
        listed_runs: &[RunKey],
        sent_ms: u64,
        is_first_response: bool,
        now: Now,
    ) {
        let Some(worker) = self.workers.get(name) else { return };
        let unlisted: Vec<(RunKey, Phase)> = worker
            .runs
            .iter()
            .filter(|(key, _)| listed_runs.binary_search(key).is_err())
            .map(|(key, assigned)| (*key, assigned.phase))
            .collect();
        for (key, phase) in unlisted {
            match phase {
                Phase::Recording | Phase::Ordered => {}
                // The worker has answered a poll of this leader, so it refuses start orders of former leaders now.
                Phase::Uncertain { .. } if is_first_response => {
                    self.end_never_started(name, key, now);
                }
                Phase::Uncertain { since_ms } | Phase::Running { since_ms } => {
                    if sent_ms > since_ms {
                        self.stop_run(name, key, now);
                    }
                }
                Phase::Stopping { confirmed_ms: Some(confirmed_ms), .. } => {
                    if is_first_response || sent_ms > confirmed_ms {
                        self.end_never_started(name, key, now);
                    }
                }
                Phase::Stopping { .. } if is_first_response => {
                    self.end_never_started(name, key, now);
                }
                Phase::Stopping { .. } => {}
            }
        }
    }

    /// Ends a run that never started and can't start any more.
    pub(crate) fn end_never_started(&mut self, name: &WorkerName, key: RunKey, now: Now) {
        let end = RunEnd { run: key.1, reason: EndReason::NeverStarted, checkpoint: String::new() };
        self.end_run(name, key, &end, now);
    }

    /// Removes a worker and what is kept about it.
    pub(crate) fn forget_worker(&mut self, name: &WorkerName, now: Now) {
        self.incarnations.record_removal(name, now);
        if let Some(worker) = self.workers.remove(name) {
            self.roster.remove(name, worker.rack());
            self.are_pool_sizes_outdated |= worker.registered;
            worker.runs.keys().for_each(|key| self.accounts.release(name, *key));
            let address = &worker.registration.address;
            if self.latest_by_address.get(address) == Some(name) {
                self.latest_by_address.remove(address);
            }
        }
        self.capacity_index.remove(name);
        self.unresponsive_workers.remove(name);
        self.stopping_workers.remove(name);
    }

    /// Ends all runs that are still assigned to a worker, as if their leases had expired.
    pub(crate) fn expire_all_runs(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get(name) else { return };
        let runs: Vec<RunKey> = worker.runs.keys().copied().collect();
        for key in runs {
            let end = RunEnd { run: key.1, reason: EndReason::Expired, checkpoint: String::new() };
            self.end_run(name, key, &end, now);
        }
    }

    /// Plans the regular poll of a worker, or a probe if it does not respond, for when it is due.
    pub(crate) fn schedule_poll(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let PollState::Due { at_ms } = worker.poll else { return };
        if worker.failed_polls > 0 {
            self.probes.schedule(name, &worker.registration.data_centre, at_ms);
            return;
        }
        if let Some(planned_ms) = worker.poll_scheduled_ms.replace(at_ms) {
            self.due_polls.remove(&(planned_ms, name.clone()));
        }
        self.due_polls.insert((at_ms, name.clone()));
    }

    /// Sends the regular polls that are due.
    pub(crate) fn send_due_polls(&mut self, now: Now) {
        let may_extend = self.may_extend_leases(now);
        let options = &self.options;
        let (poll_wait_ms, answer_ms) = if self.response_loss.is_lossy(now.steady_ms) {
            (options.poll_wait_lossy_ms, options.poll_answer_lossy_ms)
        } else {
            (options.poll_wait_ms, options.poll_answer_ms)
        };
        let (usual_lease_ms, draining_lease_ms) = (options.lease_ms, options.draining_lease_ms);
        let mut due = Vec::new();
        while let Some((at_ms, _)) = self.due_polls.first()
            && *at_ms <= now.steady_ms
        {
            due.extend(self.due_polls.pop_first().map(|(_, name)| name));
        }
        due.sort_unstable();
        self.visits.add(Part::Review, due.len());
        for name in due {
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            worker.poll_scheduled_ms = None;
            let PollState::Due { at_ms } = worker.poll else { continue };
            if worker.failed_polls > 0 || !worker.can_be_called() {
                continue;
            }
            if now.steady_ms < at_ms {
                self.schedule_poll(&name);
                continue;
            }
            let has_unstored_ends = worker.last_seen_end > worker.last_stored_end;
            let lease_ms = if worker.draining { draining_lease_ms } else { usual_lease_ms };
            let lease_until_ms =
                if may_extend { worker.extend_lease(lease_ms, now.steady_ms) } else { None };
            let wait_ms =
                if worker.accepted_epoch && !has_unstored_ends { poll_wait_ms } else { 0 };
            worker.poll = PollState::InFlight;
            self.effects.push(worker.poll_effect(lease_until_ms, wait_ms, answer_ms, false));
        }
    }

    /// Sends an extra poll beside the regular one, which may still wait on the worker, to settle a run without delay.
    pub(crate) fn send_extra_poll(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.extra_poll_in_flight || !worker.can_be_called() {
            return;
        }
        worker.extra_poll_in_flight = true;
        self.effects.push(worker.poll_effect(None, 0, self.options.poll_answer_ms, true));
    }
}
