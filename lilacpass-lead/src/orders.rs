//! Orders to workers to start and stop runs, and what follows from their results.

use std::collections::BTreeMap;

use lilacpass_core::Verdict;
use lilacpass_jobs::{StepName, TaskName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    event::{CallError, Effect, Now, Refusal},
    leader::Leader,
    progress,
    work::Part,
    worker::{AssignedRun, Phase, RunKey},
};

impl Leader {
    /// Sends the start order of a run that is stored. Ends the run if it can't be started any more.
    pub(crate) fn send_start(&mut self, name: &WorkerName, task: TaskName, run: u32, now: Now) {
        let key = (task, run);
        let recorded = self.workers.get(name).and_then(|worker| worker.runs.get(&key));
        if recorded.map(|assigned| assigned.phase) != Some(Phase::Recording) {
            return;
        }
        let Some(entry) = self.jobs.get(&task.step.job) else { return };
        let payload = entry.payload.clone();
        let checkpoint = entry.job.checkpoint(task).to_owned();
        let needs_ticket = entry.job.queue.advice.is_some();
        let ticket = self
            .advice
            .get(&task.step)
            .and_then(|advice| advice.ticket(name, now.steady_ms))
            .map(str::to_owned);
        let lease_ms = self.options.lease_ms;
        let may_extend = self.may_extend_leases(now);
        let is_over_cap = self.is_over_cap(task.step);
        let Some(worker) = self.workers.get_mut(name) else { return };
        // A start that was sent once the next incarnation is known could be carried out there: if no record of this leader
        // had been stored before, both have the same fence.
        let is_present = worker.accepted_epoch && worker.can_be_called();
        let may_start = may_extend && is_present && !worker.draining;
        let fits_capacity = worker.used.fits(&worker.registration.capacity);
        if !may_start || !fits_capacity || is_over_cap || needs_ticket && ticket.is_none() {
            log::info!(
                task:% = task, run, worker:% = name, startable = may_start, has_room = fits_capacity,
                is_over_cap;
                "start not sent"
            );
            return self.end_never_started(name, key, now);
        }
        let Some(lease_until_ms) = worker.extend_lease(lease_ms, now.steady_ms) else {
            return self.end_never_started(name, key, now);
        };
        worker.set_phase(key, Phase::Ordered);
        self.work.starts += 1;
        self.counters.advice.starts += u64::from(ticket.is_some());
        self.effects.push(Effect::Start {
            worker: name.clone(),
            address: worker.registration.address.clone(),
            fence_step: worker.fence_step,
            task,
            run,
            payload,
            lease_until_ms,
            checkpoint,
            ticket,
        });
    }

    /// Processes the result of a start order.
    pub(crate) fn on_started(
        &mut self,
        name: &WorkerName,
        task: TaskName,
        run: u32,
        result: Result<(), CallError>,
        now: Now,
    ) {
        let key = (task, run);
        let avoid_ms = self.options.worker_avoidance_ms;
        if result.is_ok() {
            self.record_job_started(task.step.job);
        }
        let is_resumed = self
            .jobs
            .get(&task.step.job)
            .is_some_and(|entry| !entry.job.checkpoint(task).is_empty());
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(assigned) = worker.runs.get(&key).copied() else { return };
        match result {
            Ok(()) => {
                worker.last_response_ms = now.steady_ms;
                self.data_centres.record_response(&worker.registration.data_centre, now.steady_ms);
                if assigned.phase == Phase::Ordered {
                    worker.confirm_start(key, is_resumed, now.steady_ms);
                }
                self.review_trial(name, now);
            }
            Err(CallError::OtherWorker) => self.end_replaced_worker(name, now),
            Err(err @ (CallError::Failed(Verdict::NotRun) | CallError::OtherIncarnation)) => {
                let until_ms = worker.pause_starts(now.steady_ms, avoid_ms);
                self.hold_back(name, until_ms, now);
                log::info!(task:% = task, run, worker:% = name, error:? = err; "start did not reach the worker");
                self.end_never_started(name, key, now);
                if err == CallError::OtherIncarnation {
                    self.send_extra_poll(name);
                }
            }
            Err(CallError::Failed(Verdict::MayHaveRun | Verdict::Ran)) => {
                let until_ms = worker.pause_starts(now.steady_ms, avoid_ms);
                log::info!(task:% = task, run, worker:% = name; "start got no response");
                if assigned.phase == Phase::Ordered {
                    worker.set_phase(key, Phase::Uncertain { since_ms: now.steady_ms });
                }
                self.hold_back(name, until_ms, now);
                self.suspect_data_centre(name, now);
                self.send_extra_poll(name);
            }
            Err(CallError::Refused(refusal)) => {
                log::info!(task:% = task, run, worker:% = name, refusal:? = refusal; "start refused");
                match refusal {
                    Refusal::Fence if worker.successor.is_some() => {}
                    Refusal::Fence => self.effects.push(Effect::Deposed),
                    Refusal::Ticket => {
                        if let Some(advice) = self.advice.get_mut(&task.step) {
                            advice.remove_ticket(name);
                        }
                        self.remove_ticketed_step(name, task.step);
                    }
                    Refusal::Old => {}
                    Refusal::Room | Refusal::Late | Refusal::Unhealthy | Refusal::Malformed => {
                        let until_ms = worker.pause_starts(now.steady_ms, avoid_ms);
                        self.hold_back(name, until_ms, now);
                    }
                }
                self.end_never_started(name, key, now);
            }
        }
    }

    /// Stops a run. A run whose start has not been sent is ended at once.
    pub(crate) fn stop_run(&mut self, name: &WorkerName, key: RunKey, now: Now) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(assigned) = worker.runs.get(&key).copied() else { return };
        match assigned.phase {
            Phase::Recording => self.end_never_started(name, key, now),
            Phase::Stopping { .. } => {}
            Phase::Ordered | Phase::Uncertain { .. } | Phase::Running { .. } => {
                let sent_ms = now.steady_ms;
                worker.set_phase(key, Phase::Stopping { sent_ms, confirmed_ms: None });
                self.stopping_workers.insert(name.clone());
                self.send_stop(name, key);
            }
        }
    }

    /// Sends a stop order, unless the worker can't be reached at all.
    fn send_stop(&mut self, name: &WorkerName, key: RunKey) {
        let Some(worker) = self.workers.get(name) else { return };
        if !worker.can_be_called() {
            return;
        }
        let (task, run) = key;
        self.effects.push(Effect::Stop {
            worker: name.clone(),
            address: worker.registration.address.clone(),
            fence_step: worker.fence_step,
            task,
            run,
        });
    }

    /// Processes the result of a stop order.
    pub(crate) fn on_stopped(
        &mut self,
        name: &WorkerName,
        task: TaskName,
        run: u32,
        result: Result<(), CallError>,
        now: Now,
    ) {
        let key = (task, run);
        let Some(worker) = self.workers.get_mut(name) else { return };
        match result {
            Ok(()) => {
                let phase = worker.runs.get(&key).map(|assigned| assigned.phase);
                if let Some(Phase::Stopping { sent_ms, .. }) = phase {
                    let confirmed_ms = Some(now.steady_ms);
                    worker.set_phase(key, Phase::Stopping { sent_ms, confirmed_ms });
                }
            }
            Err(CallError::OtherWorker) => self.end_replaced_worker(name, now),
            Err(CallError::OtherIncarnation) => self.send_extra_poll(name),
            Err(CallError::Refused(Refusal::Fence)) if worker.successor.is_none() => {
                self.effects.push(Effect::Deposed);
            }
            Err(err) => {
                log::debug!(task:% = task, run, worker:% = name, error:? = err; "stop failed");
            }
        }
    }

    /// Starts copies beside the runs on unresponsive workers where their steps allow copies.
    pub(crate) fn copy_unresponsive_runs(&mut self, now: Now) {
        let mut to_copy = Vec::new();
        for name in &self.unresponsive_workers {
            let Some(worker) = self.workers.get(name) else { continue };
            self.visits.add(Part::Review, 1 + worker.runs.len());
            let runs = worker.runs.iter();
            let copied = runs.filter(|(key, assigned)| self.may_have_copy(**key, assigned));
            to_copy.extend(copied.map(|(key, _)| (name.clone(), *key)));
        }
        for (name, key) in to_copy {
            self.replace_run(&name, key, true, false, now);
        }
    }

    /// Replaces runs that make no progress, or run on a worker that is far too slow. Where the step allows copies, a copy
    /// is started beside the run; otherwise the run is stopped and then started again.
    pub(crate) fn replace_stuck_runs(&mut self, now: Now) {
        let slowdowns = worker_slowdowns(&self.run_time_estimates());
        // Worker, run, whether a copy may be started, and whether the run itself is stuck or slow.
        let mut runs_to_replace = Vec::new();
        for (name, worker) in &self.workers {
            self.visits.add(Part::Review, 1 + worker.runs.len());
            if worker.failed_polls > 0 {
                continue;
            }
            let slowdowns = slowdowns.get(name).map(Vec::as_slice).unwrap_or_default();
            let is_slow = progress::is_slow_worker(slowdowns);
            for (key, assigned) in &worker.runs {
                let Some(plan) = self.replaceable_plan(*key, assigned) else { continue };
                if self.has_much_faster_host(worker, *key, plan, assigned, now) {
                    runs_to_replace.push((name.clone(), *key, true, false));
                    continue;
                }
                let estimate_ms = u64::from(plan.estimate_ms);
                let is_lost = assigned.progress.is_some_and(|progress| {
                    progress.is_stalled(estimate_ms, now.steady_ms)
                        || is_slow && !progress.is_nearly_done()
                });
                if is_lost {
                    runs_to_replace.push((name.clone(), *key, plan.speculative, is_lost));
                }
            }
        }
        for (name, key, may_copy, is_lost) in runs_to_replace {
            self.replace_run(&name, key, may_copy, is_lost, now);
        }
    }

    /// Whether a copy may be started beside a run on an unresponsive worker.
    fn may_have_copy(&self, key: RunKey, assigned: &AssignedRun) -> bool {
        let may_run = matches!(assigned.phase, Phase::Running { .. } | Phase::Uncertain { .. });
        let entry = self.jobs.get(&key.0.step.job);
        may_run && entry.is_some_and(|entry| entry.job.step_plan(key.0.step.step).speculative)
    }

    /// The step plan of a run that may be replaced: it is running, and its progress shows whether it is stuck.
    fn replaceable_plan(&self, key: RunKey, assigned: &AssignedRun) -> Option<&v1::WorkStep> {
        if !matches!(assigned.phase, Phase::Running { .. }) {
            return None;
        }
        let entry = self.jobs.get(&key.0.step.job)?;
        let plan = entry.job.step_plan(key.0.step.step);
        (!plan.lasting && !plan.gang && !plan.fills).then_some(plan)
    }

    /// Estimates how long the runs of each step take at their current pace.
    fn run_time_estimates(&self) -> RunTimeEstimates {
        let mut estimates = RunTimeEstimates::new();
        for (name, worker) in &self.workers {
            self.visits.add(Part::Review, 1 + worker.runs.len());
            for (key, assigned) in &worker.runs {
                if self.replaceable_plan(*key, assigned).is_none() {
                    continue;
                }
                if let Some(total_ms) =
                    assigned.progress.and_then(|progress| progress.estimated_total_ms())
                {
                    estimates.entry(key.0.step).or_default().push((name.clone(), total_ms));
                }
            }
        }
        estimates
    }

    /// Replaces a run: starts a copy if `may_copy`, otherwise stops it. `is_lost` says whether the run itself is stuck
    /// or slow, rather than its worker unresponsive.
    fn replace_run(
        &mut self,
        name: &WorkerName,
        key: RunKey,
        may_copy: bool,
        is_lost: bool,
        now: Now,
    ) {
        let (task, run) = key;
        if may_copy {
            let Some(entry) = self.jobs.get_mut(&task.step.job) else { return };
            entry.failed_on.insert(name.clone(), now.steady_ms);
            let runs = entry.job.task(task).map_or(0, |task| task.runs.len());
            if runs == 1 && entry.wanted_copies.insert(task) {
                log::info!(task:% = task, run, worker:% = name, is_lost; "copy requested");
                self.reindex(task.step.job, now);
                self.pending_changes.mark_step_changed(task.step);
            }
            return;
        }
        log::info!(task:% = task, run, worker:% = name; "run makes no progress and is stopped");
        self.record_failure_at(name, task.step.job, now);
        self.stop_run(name, key, now);
    }

    /// Repeats stop orders that are not confirmed, and polls workers with confirmed stops whose runs have not ended.
    pub(crate) fn retry_stops(&mut self, now: Now) {
        let retry_ms = self.options.stop_retry_ms;
        let mut unconfirmed = Vec::new();
        let mut unsettled = Vec::new();
        let workers = &mut self.workers;
        let visits = &self.visits;
        self.stopping_workers.retain(|name| {
            let Some(worker) = workers.get_mut(name) else { return false };
            visits.add(Part::Review, 1 + worker.runs.len());
            let mut is_stopping = false;
            for (key, assigned) in &mut worker.runs {
                let Phase::Stopping { sent_ms, confirmed_ms } = assigned.phase else { continue };
                is_stopping = true;
                if now.steady_ms < sent_ms + retry_ms {
                    continue;
                }
                assigned.phase = Phase::Stopping { sent_ms: now.steady_ms, confirmed_ms };
                if confirmed_ms.is_some() {
                    unsettled.push(name.clone());
                } else {
                    unconfirmed.push((name.clone(), *key));
                }
            }
            is_stopping
        });
        for (name, key) in unconfirmed {
            self.send_stop(&name, key);
        }
        for name in unsettled {
            self.send_extra_poll(&name);
        }
    }
}

/// The estimated time that each run of a step takes, in ms, with its worker.
type RunTimeEstimates = BTreeMap<StepName, Vec<(WorkerName, u64)>>;

/// For each worker, the slowdown of each step that runs there and elsewhere, according to its fastest run there.
///
/// Goes through the steps rather than the workers: a step has few runs, while a cell has hundreds of workers and steps.
/// Going through the workers took over half of the leader's time with 350 workers.
fn worker_slowdowns(estimates: &RunTimeEstimates) -> BTreeMap<WorkerName, Vec<f64>> {
    let mut slowdowns: BTreeMap<WorkerName, Vec<f64>> = BTreeMap::new();
    for runs in estimates.values() {
        let mut fastest: BTreeMap<&WorkerName, u64> = BTreeMap::new();
        for (worker, total_ms) in runs {
            let shortest_ms = fastest.entry(worker).or_insert(*total_ms);
            *shortest_ms = (*shortest_ms).min(*total_ms);
        }
        for (worker, here_ms) in fastest {
            let elsewhere = runs.iter().filter(|(other, _)| other != worker);
            let mut elsewhere_ms: Vec<u64> = elsewhere.map(|(_, ms)| *ms).collect();
            if let Some(ratio) = progress::slowdown(here_ms, &mut elsewhere_ms) {
                slowdowns.entry(worker.clone()).or_default().push(ratio);
            }
        }
    }
    slowdowns
}
