//! Orders to workers: starts and stops, and what their answers or silence mean.

use std::collections::BTreeMap;

use lilacpass_core::Verdict;
use lilacpass_jobs::{StepName, TaskName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    event::{CallError, Effect, Now, Refusal},
    leader::Leader,
    progress,
    worker::{AssignedRun, Phase, RunKey, Worker},
};

impl Leader {
    /// Orders a run that is recorded.
    pub(crate) fn send_start(&mut self, name: &WorkerName, task: TaskName, run: u32, now: Now) {
        let key = (task, run);
        let recorded = self.workers.get(name).and_then(|worker| worker.runs.get(&key));
        if recorded.map(|given| given.phase) != Some(Phase::Recording) {
            return;
        }
        let Some(entry) = self.jobs.get(&task.step.job) else { return };
        let payload = entry.job.plan.payload.clone();
        let checkpoint = entry.job.checkpoint(task).to_owned();
        let needs_ticket = entry.job.queue.advice.is_some();
        let ticket = self
            .advice
            .get(&task.step)
            .and_then(|advice| advice.ticket(name, now.steady_ms))
            .map(str::to_owned);
        let lease_ms = self.options.lease_ms;
        let may_extend = self.may_extend_leases(now);
        let Some(worker) = self.workers.get_mut(name) else { return };
        let startable = may_extend && worker.accepted_epoch && !worker.draining;
        let has_room = worker.used.fits(&worker.registration.capacity);
        if !startable || !has_room || needs_ticket && ticket.is_none() {
            log::info!(task:% = task, run, worker:% = name, startable, has_room; "order not sent");
            return self.end_never_started(name, key, now);
        }
        let Some(lease_until_ms) = worker.extend_lease(lease_ms, now.steady_ms) else {
            return self.end_never_started(name, key, now);
        };
        worker.set_phase(key, Phase::Ordered);
        let address = worker.registration.address.clone();
        self.effects.push(Effect::Start {
            worker: name.clone(),
            address,
            task,
            run,
            payload,
            lease_until_ms,
            checkpoint,
            ticket,
        });
    }

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
            self.record_job_begun(task.step.job);
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(given) = worker.runs.get(&key).copied() else { return };
        match result {
            Ok(()) => {
                worker.last_response_ms = now.steady_ms;
                if given.phase == Phase::Ordered {
                    worker.set_phase(key, Phase::Running { since_ms: now.steady_ms });
                }
                self.review_trial(name);
            }
            Err(CallError::OtherLife) => self.end_incarnation(name, now),
            Err(CallError::Failed(Verdict::NotRun)) => {
                worker.pause_starts(now.steady_ms, avoid_ms);
                log::info!(task:% = task, run, worker:% = name; "start did not reach its worker");
                self.end_never_started(name, key, now);
            }
            Err(CallError::Failed(Verdict::MayHaveRun | Verdict::Ran)) => {
                worker.pause_starts(now.steady_ms, avoid_ms);
                log::info!(task:% = task, run, worker:% = name; "start got no answer");
                if given.phase == Phase::Ordered {
                    worker.set_phase(key, Phase::Uncertain { since_ms: now.steady_ms });
                }
                self.suspect_data_centre(name, now);
                self.send_extra_poll(name);
            }
            Err(CallError::Refused(refusal)) => {
                log::info!(task:% = task, run, worker:% = name, refusal:? = refusal; "start refused");
                match refusal {
                    Refusal::Fence => self.effects.push(Effect::Deposed),
                    Refusal::Ticket => {
                        if let Some(advice) = self.advice.get_mut(&task.step) {
                            advice.remove_ticket(name);
                        }
                    }
                    Refusal::Old => {}
                    Refusal::Room | Refusal::Late | Refusal::Unhealthy | Refusal::Malformed => {
                        worker.pause_starts(now.steady_ms, avoid_ms);
                    }
                }
                self.end_never_started(name, key, now);
            }
        }
    }

    /// Starts nothing for a while in a data centre that has gone silent, but on workers that answer
    /// from now on. Where a whole data centre is cut off, each start sent there costs its task the
    /// time until it is given up, and then the rest of the lease.
    ///
    /// Silent workers alone don't count while others of their data centre answer: where one answer in
    /// twenty is lost, several of a hundred workers are silent at any moment, and their neighbours were held
    /// back twenty times a second.
    pub(crate) fn suspect_data_centre(&mut self, name: &WorkerName, now: Now) {
        /// A data centre is silent if none of its workers has answered for so long. Sixteen idle ones
        /// answer twenty looks a second.
        const QUIET_MS: u64 = 200;
        /// One silent worker tells nothing of its data centre.
        const FEWEST_SILENT: usize = 2;
        let Some(worker) = self.workers.get(name) else { return };
        let data_centre = worker.registration.data_centre.clone();
        let avoid_ms = self.options.worker_avoidance_ms;
        let is_near = |worker: &Worker| worker.registration.data_centre == data_centre;
        let is_silent = |worker: &Worker| {
            worker.failed_polls > 0 || now.steady_ms < worker.starts_paused_until_ms
        };
        let near: Vec<&Worker> = self.workers.values().filter(|worker| is_near(worker)).collect();
        let silent = near.iter().filter(|worker| is_silent(worker)).count();
        let heard_ms = near.iter().map(|worker| worker.last_response_ms).max().unwrap_or(0);
        if silent < FEWEST_SILENT || heard_ms + QUIET_MS > now.steady_ms {
            return;
        }
        let suspects: Vec<WorkerName> = self
            .workers
            .values_mut()
            .filter(|worker| is_near(worker) && worker.accepts_starts(now.steady_ms))
            .map(|worker| {
                worker.suspected_until_ms = now.steady_ms + avoid_ms;
                worker.registration.name.clone()
            })
            .collect();
        if suspects.is_empty() {
            return;
        }
        log::info!(data_centre = data_centre.as_str(), workers = suspects.len(); "data centre is suspected");
        suspects.iter().for_each(|name| self.send_extra_poll(name));
    }

    /// Has a run stopped. A run that has not been ordered is dropped at once.
    pub(crate) fn stop_run(&mut self, name: &WorkerName, key: RunKey, now: Now) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(given) = worker.runs.get(&key).copied() else { return };
        match given.phase {
            Phase::Recording => self.end_never_started(name, key, now),
            Phase::Stopping { .. } => {}
            Phase::Ordered | Phase::Uncertain { .. } | Phase::Running { .. } => {
                let sent_ms = now.steady_ms;
                worker.set_phase(key, Phase::Stopping { sent_ms, confirmed_ms: None });
                self.send_stop(name, key);
            }
        }
    }

    fn send_stop(&mut self, name: &WorkerName, key: RunKey) {
        let Some(worker) = self.workers.get(name) else { return };
        if worker.registration.address.is_empty() {
            return;
        }
        let address = worker.registration.address.clone();
        let (task, run) = key;
        self.effects.push(Effect::Stop { worker: name.clone(), address, task, run });
    }

    pub(crate) fn on_stopped(
        &mut self,
        name: &WorkerName,
        task: TaskName,
        run: u32,
        result: Result<(), CallError>,
        now: Now,
    ) {
        let key = (task, run);
        match result {
            Ok(()) => {
                let Some(worker) = self.workers.get_mut(name) else { return };
                let phase = worker.runs.get(&key).map(|given| given.phase);
                if let Some(Phase::Stopping { sent_ms, .. }) = phase {
                    let confirmed_ms = Some(now.steady_ms);
                    worker.set_phase(key, Phase::Stopping { sent_ms, confirmed_ms });
                }
            }
            Err(CallError::OtherLife) => self.end_incarnation(name, now),
            Err(CallError::Refused(Refusal::Fence)) => self.effects.push(Effect::Deposed),
            Err(err) => {
                log::debug!(task:% = task, run, worker:% = name, error:? = err; "stop failed");
            }
        }
    }

    /// Replaces runs that stand still, are on a worker that is far too slow, or on one that does not
    /// answer: by a copy where the step allows it, else by a new run once the old one is stopped.
    pub(crate) fn replace_stuck_runs(&mut self, now: Now) {
        let times = times_as_long(&self.run_time_estimates());
        let mut lost = Vec::new();
        for (name, worker) in &self.workers {
            let silent = worker.failed_polls > 0;
            let times = times.get(name).map(Vec::as_slice).unwrap_or_default();
            let slow = !silent && progress::is_slow_worker(times);
            for (key, given) in &worker.runs {
                if silent && self.may_have_copy(*key, given) {
                    lost.push((name.clone(), *key, true, false));
                    continue;
                }
                let Some(plan) = self.replaceable(*key, given) else { continue };
                let estimate_ms = u64::from(plan.estimate_ms);
                let is_lost = given.progress.is_some_and(|seen| {
                    !silent && seen.is_stalled(estimate_ms, now.steady_ms)
                        || slow && !seen.is_nearly_done()
                });
                if is_lost {
                    lost.push((name.clone(), *key, plan.speculative, is_lost));
                }
            }
        }
        for (name, key, may_copy, is_lost) in lost {
            self.replace_run(&name, key, may_copy, is_lost, now);
        }
    }

    /// Whether a copy may run beside a run that its worker may have.
    fn may_have_copy(&self, key: RunKey, given: &AssignedRun) -> bool {
        let given_out = matches!(given.phase, Phase::Running { .. } | Phase::Uncertain { .. });
        let entry = self.jobs.get(&key.0.step.job);
        given_out && entry.is_some_and(|entry| entry.job.step_plan(key.0.step.step).speculative)
    }

    /// The plan of a run that may be replaced: one whose work shows in its progress.
    fn replaceable(&self, key: RunKey, given: &AssignedRun) -> Option<&v1::WorkStep> {
        if !matches!(given.phase, Phase::Running { .. }) {
            return None;
        }
        let entry = self.jobs.get(&key.0.step.job)?;
        let plan = entry.job.step_plan(key.0.step.step);
        (!plan.lasting && !plan.gang && !plan.fills).then_some(plan)
    }

    /// How long the runs of each step take by their pace, with their workers.
    fn run_time_estimates(&self) -> Totals {
        let mut totals = Totals::new();
        for (name, worker) in &self.workers {
            for (key, given) in &worker.runs {
                if self.replaceable(*key, given).is_none() {
                    continue;
                }
                if let Some(total_ms) = given.progress.and_then(|seen| seen.estimated_total_ms()) {
                    totals.entry(key.0.step).or_default().push((name.clone(), total_ms));
                }
            }
        }
        totals
    }

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
                log::info!(task:% = task, run, worker:% = name, is_lost; "copy wanted");
                self.reindex(task.step.job, now);
            }
            return;
        }
        log::info!(task:% = task, run, worker:% = name; "run makes no progress and is replaced");
        self.record_failure_at(name, task.step.job, now);
        self.stop_run(name, key, now);
    }

    /// Sends stops again that were not confirmed, and looks where confirmed ones are not settled.
    pub(crate) fn retry_stops(&mut self, now: Now) {
        let retry_ms = self.options.stop_retry_ms;
        let mut due = Vec::new();
        let mut unsettled = Vec::new();
        for (name, worker) in &mut self.workers {
            for (key, given) in &mut worker.runs {
                let Phase::Stopping { sent_ms, confirmed_ms } = given.phase else { continue };
                if now.steady_ms < sent_ms + retry_ms {
                    continue;
                }
                given.phase = Phase::Stopping { sent_ms: now.steady_ms, confirmed_ms };
                if confirmed_ms.is_some() {
                    unsettled.push(name.clone());
                } else {
                    due.push((name.clone(), *key));
                }
            }
        }
        for (name, key) in due {
            self.send_stop(&name, key);
        }
        for name in unsettled {
            self.send_extra_poll(&name);
        }
    }
}

/// How long the runs of each step take, in ms, with their workers.
type Totals = BTreeMap<StepName, Vec<(WorkerName, u64)>>;

/// For each worker, and each step that runs there and elsewhere, how many times as long it takes
/// there, by the quickest of its runs there.
///
/// Goes through the steps and not through the workers: each step has a few runs, and a cell has
/// hundreds of workers and of steps. The other way round this took over half of the leader's time
/// at 350 workers.
fn times_as_long(totals: &Totals) -> BTreeMap<WorkerName, Vec<f64>> {
    let mut times: BTreeMap<WorkerName, Vec<f64>> = BTreeMap::new();
    for runs in totals.values() {
        let mut quickest: BTreeMap<&WorkerName, u64> = BTreeMap::new();
        for (worker, total_ms) in runs {
            let least_ms = quickest.entry(worker).or_insert(*total_ms);
            *least_ms = (*least_ms).min(*total_ms);
        }
        for (worker, here_ms) in quickest {
            let elsewhere = runs.iter().filter(|(other, _)| other != worker);
            let mut elsewhere_ms: Vec<u64> = elsewhere.map(|(_, ms)| *ms).collect();
            if let Some(ratio) = progress::times_as_long(here_ms, &mut elsewhere_ms) {
                times.entry(worker.clone()).or_default().push(ratio);
            }
        }
    }
    times
}
