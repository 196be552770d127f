//! Workers that are lost: by a crash, by leaving, or in silence; and what follows for the runs there.
//!
//! A worker that fell silent and answers again has not crashed, whatever that cost. So crashes are counted when
//! another life of the worker answers, or when nobody lists it any more.

use std::{cmp::Reverse, mem};

use lilacpass_jobs::{
    EndReason, JobKey, Outcome, RunEnd, Suspicion, TaskName, WorkerName, failure::Cause,
    job::Change,
};

use crate::{
    counters::WorkerLoss,
    crash_suspicion::FEWEST_UNSEEN,
    event::{Now, Registration},
    leader::Leader,
    outages::Outage,
    worker::{RunKey, Worker},
};

/// How long a silent worker whose leases have run out is asked whether it has crashed, if nobody lists it.
const ASKED_FOR_MS: u64 = 30_000;

impl Leader {
    /// The life of a worker is known to be over: nothing runs there any more.
    pub(crate) fn end_incarnation(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get(name) else { return };
        let loss = if worker.draining { WorkerLoss::Left } else { WorkerLoss::Crashed };
        log::info!(
            worker:% = name, how = loss.as_str(), runs = worker.runs.len(),
            silent_ms = worker.unresponsive_ms(now.steady_ms);
            "worker is gone"
        );
        self.counters.count_lost_worker(loss);
        if loss == WorkerLoss::Left {
            self.expire_all_runs(name, now);
        } else {
            self.end_all_as_crashed(name, now);
        }
        self.forget_worker(name);
    }

    fn end_all_as_crashed(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get(name) else { return };
        let mut suspicions = self.suspicions(worker, now);
        if worker.unresponsive_since_ms.is_none() {
            self.record_outage(name, now);
        }
        let lapsed = self.workers.get_mut(name).map(|worker| mem::take(&mut worker.expired_runs));
        suspicions.extend(lapsed.into_iter().flatten());
        suspicions.sort_by_key(|(key, suspicion)| Reverse((*suspicion, self.crash_count(key.0))));
        let mut is_explained = false;
        for (key, suspicion) in suspicions {
            let suspicion = if is_explained { Suspicion::Cleared } else { suspicion };
            self.count_crash(name, key, suspicion, now);
            is_explained |= self.is_given_up(key.0);
        }
        // What was not ordered yet.
        self.expire_all_runs(name, now);
    }

    /// Counts the crash of a worker under a run, which may have been given up when its leases had run out.
    fn count_crash(&mut self, name: &WorkerName, key: RunKey, suspicion: Suspicion, now: Now) {
        let is_there = self.workers.get(name).is_some_and(|worker| worker.runs.contains_key(&key));
        if is_there {
            return self.end_as_crashed(name, key, suspicion, now);
        }
        self.record_suspicion(name, key, suspicion);
        self.count_crash_after_expiry(name, key, suspicion, now);
    }

    fn end_as_crashed(&mut self, name: &WorkerName, key: RunKey, suspicion: Suspicion, now: Now) {
        let end =
            RunEnd { run: key.1, reason: EndReason::Crashed(suspicion), checkpoint: String::new() };
        self.record_suspicion(name, key, suspicion);
        self.end_run(name, key, &end, now);
    }

    /// A worker on which a run was given up when its leases had run out turns out to have crashed.
    fn count_crash_after_expiry(
        &mut self,
        name: &WorkerName,
        (task, run): RunKey,
        suspicion: Suspicion,
        now: Now,
    ) {
        let Some(entry) = self.jobs.get_mut(&task.step.job) else { return };
        let change = entry.job.record_crash(task, run, name, suspicion, now.unix_ms);
        self.outbox.pending.states.insert(task.step.job);
        if change == Change::JobEnded {
            self.on_job_ended(task.step.job, now);
        }
    }

    fn record_suspicion(&mut self, name: &WorkerName, (task, run): RunKey, suspicion: Suspicion) {
        if suspicion == Suspicion::Cleared {
            return;
        }
        log::info!(
            task:% = task, run, worker:% = name, suspicion = suspicion.as_str();
            "worker crashed under task"
        );
        let address = self.workers.get(name).map(|worker| worker.registration.address.clone());
        let Some(entry) = self.jobs.get_mut(&task.step.job) else { return };
        entry.crashed_addresses.extend(address);
        if entry.job.outcome == Outcome::Open {
            self.crash_affected_jobs.insert(task.step.job);
        }
    }

    /// Crashes under a task without a better explanation.
    fn crash_count(&self, task: TaskName) -> usize {
        self.jobs.get(&task.step.job).map_or(0, |entry| entry.job.crashed_workers(task).len())
    }

    /// Whether a task was given up for the workers that crashed under it.
    fn is_given_up(&self, task: TaskName) -> bool {
        let failure = self.jobs.get(&task.step.job).and_then(|entry| entry.job.failure);
        failure.is_some_and(|failure| failure.cause == Cause::Crashes && failure.task == task)
    }

    /// A task was given up for the workers that crashed under it: what else ran on these need not have
    /// crashed them.
    fn explain_crashes(&mut self, by: TaskName) {
        let job = self.jobs.get(&by.step.job).map(|entry| &entry.job);
        let workers = job.map(|job| job.crashed_workers(by)).unwrap_or_default();
        for &key in &self.crash_affected_jobs {
            let Some(entry) = self.jobs.get_mut(&key).filter(|_| key != by.step.job) else {
                continue;
            };
            if entry.job.explain_crashes(&workers) {
                log::info!(job:% = key, by:% = by; "crashes are explained by another task");
                self.outbox.pending.piggyback_states.insert(key);
            }
        }
    }

    /// A worker has fallen silent.
    pub(crate) fn record_outage(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.unresponsive_since_ms = Some(now.steady_ms);
        self.outages.record(Outage {
            worker: name.clone(),
            rack: worker.rack().to_owned(),
            since_ms: now.steady_ms,
            has_no_suspect: worker.has_responded()
                && !worker.runs.values().any(|given| worker.is_unproven(given)),
        });
    }

    /// A worker of a former leader is taken for gone: nobody lists it, and it does not answer. What ran there is known
    /// to have been there at a crash, until the worker turns out to live. Several at a time are a common cause.
    pub(crate) fn presume_gone(&mut self, name: &WorkerName, missing: usize, now: Now) {
        log::info!(worker:% = name, missing; "worker is taken for gone");
        self.counters.count_lost_worker(WorkerLoss::LeasesExpired);
        let suspicion =
            if missing > FEWEST_UNSEEN { Suspicion::Cleared } else { Suspicion::Present };
        let keys: Vec<RunKey> =
            self.workers.get(name).map(|w| w.runs.keys().copied().collect()).unwrap_or_default();
        for &key in &keys {
            self.end_as_crashed(name, key, suspicion, now);
        }
        if !keys.is_empty() {
            let tasks = keys.iter().map(|(task, _)| *task).collect();
            self.presumed_gone.insert(name.clone(), tasks);
        }
        self.forget_worker(name);
    }

    /// A worker is registered: if it was taken for gone, it had been cut off and nothing crashed it.
    pub(crate) fn retract_presumed_crashes(&mut self, name: &WorkerName) {
        for task in self.presumed_gone.remove(name).unwrap_or_default() {
            let Some(entry) = self.jobs.get_mut(&task.step.job) else { continue };
            if entry.job.retract_crash(task, name) {
                self.outbox.pending.piggyback_states.insert(task.step.job);
            }
        }
    }

    /// A worker registers that was not known. One that is silent at the same address has most likely crashed; only once
    /// its leases have run out does anything follow from it.
    pub(crate) fn track_address(&mut self, entry: &Registration) {
        if self.workers.contains_key(&entry.name) {
            return;
        }
        let before = self.latest_by_address.insert(entry.address.clone(), entry.name.clone());
        let before = before.and_then(|name| self.workers.get_mut(&name));
        if let Some(worker) = before.filter(|worker| worker.failed_polls > 0) {
            worker.is_replaced = true;
        }
    }

    /// The leases at a worker have run out, perhaps before its silence was noticed. What ran there starts
    /// elsewhere; whether the worker crashed or was cut off is known once it answers, or another life of it does.
    pub(crate) fn expire_worker(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get(name) else { return };
        let may_have_crashed = !worker.draining;
        if may_have_crashed && worker.is_replaced {
            self.end_all_as_crashed(name, now);
        } else if may_have_crashed {
            let lapsed = self.suspicions(worker, now);
            if let Some(worker) = self.workers.get_mut(name) {
                worker.expired_runs.extend(lapsed);
            }
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.accepted_epoch = false;
        self.capacity_index.update(worker);
        self.expire_all_runs(name, now);
    }

    /// Whether a worker that is not registered any more may still tell that it has crashed.
    pub(crate) fn awaits_crash_evidence(worker: &Worker, now: Now) -> bool {
        !worker.expired_runs.is_empty()
            && !worker.registration.address.is_empty()
            && now.steady_ms < worker.leases_expire_by_ms + ASKED_FOR_MS
    }

    /// A job has failed: tells why.
    pub(crate) fn report_failure(&mut self, key: JobKey) {
        let failure = self.jobs.get(&key).and_then(|entry| entry.job.failure);
        let Some(failure) = failure else { return };
        self.counters.count_failed_job(failure.cause);
        log::warn!(
            job:% = key, cause = failure.cause.as_str(), task:% = failure.task,
            count = failure.count;
            "job failed"
        );
        if failure.cause == Cause::Crashes {
            self.explain_crashes(failure.task);
        }
    }
}
