//! Workers that are lost because they crashed, left or stopped responding, and what follows for their runs.
//!
//! A worker that stops responding and then responds again has not crashed, even if its leases expired meanwhile. So a
//! crash is counted only when its next incarnation responds, or another worker at its address, or when the worker is no
//! longer registered.

use std::{cmp::Reverse, mem};

use lilacpass_jobs::{
    EndReason, JobKey, Outcome, RunEnd, Suspicion, TaskName, WorkerName, failure::Cause,
    job::Change,
};

use crate::{
    counters::WorkerLoss,
    crash_suspicion::MIN_OUTAGES_AT_UNKNOWN_TIME,
    event::{Now, Registration},
    leader::Leader,
    outages::Outage,
    worker::{RunKey, Worker},
};

/// How long an unregistered worker is still polled after its leases have expired, to learn whether it has crashed.
const CRASH_EVIDENCE_WAIT_MS: u64 = 30_000;

impl Leader {
    /// Processes the end of a worker of which another one has the address now. What follows an incarnation under the
    /// same id is settled by that incarnation instead: it may have carried out orders that were meant for this one.
    pub(crate) fn end_replaced_worker(&mut self, name: &WorkerName, now: Now) {
        if self.workers.get(name).is_some_and(|worker| worker.successor.is_none()) {
            self.end_incarnation(name, now);
        }
    }

    /// Processes the end of a worker's incarnation: nothing runs there any more.
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
        self.forget_worker(name, now);
    }

    /// Ends all runs on a crashed worker, and counts its crash for their tasks.
    fn end_all_as_crashed(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get(name) else { return };
        let mut suspicions = self.suspicions(worker, now);
        if worker.unresponsive_since_ms.is_none() {
            self.record_outage(name, now);
            self.suspect_data_centre_of_crash(name, now);
        }
        let expired_runs =
            self.workers.get_mut(name).map(|worker| mem::take(&mut worker.expired_runs));
        suspicions.extend(expired_runs.into_iter().flatten());
        suspicions.sort_by_key(|(key, suspicion)| Reverse((*suspicion, self.crash_count(key.0))));
        // The most suspected runs come first. If the job of one of them fails because of the crashes of its task, that
        // explains this crash too, and the tasks of the remaining runs are cleared.
        let mut has_explanation = false;
        for (key, suspicion) in suspicions {
            let suspicion = if has_explanation { Suspicion::Cleared } else { suspicion };
            self.count_crash(name, key, suspicion, now);
            has_explanation |= self.has_failed_by_crashes(key.0);
        }
        // The remaining runs are those whose start had not been sent.
        self.expire_all_runs(name, now);
    }

    /// Counts the crash of a worker for one run, which may have been ended already when its leases expired.
    fn count_crash(&mut self, name: &WorkerName, key: RunKey, suspicion: Suspicion, now: Now) {
        let is_assigned =
            self.workers.get(name).is_some_and(|worker| worker.runs.contains_key(&key));
        if is_assigned {
            return self.end_as_crashed(name, key, suspicion, now);
        }
        self.record_suspicion(name, key, suspicion);
        self.count_crash_after_expiry(name, key, suspicion, now);
    }

    /// Ends a run because its worker crashed.
    fn end_as_crashed(&mut self, name: &WorkerName, key: RunKey, suspicion: Suspicion, now: Now) {
        let end =
            RunEnd { run: key.1, reason: EndReason::Crashed(suspicion), checkpoint: String::new() };
        self.record_suspicion(name, key, suspicion);
        self.end_run(name, key, &end, now);
    }

    /// Counts the crash of a worker for a run that was ended when the worker's leases expired.
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

    /// Logs that a worker crashed while it ran a task that may be the cause, and records it for the job.
    fn record_suspicion(&mut self, name: &WorkerName, (task, run): RunKey, suspicion: Suspicion) {
        if suspicion == Suspicion::Cleared {
            return;
        }
        log::info!(
            task:% = task, run, worker:% = name, suspicion = suspicion.as_str();
            "worker crashed while it ran the task"
        );
        let address = self.workers.get(name).map(|worker| worker.registration.address.clone());
        let Some(entry) = self.jobs.get_mut(&task.step.job) else { return };
        entry.crashed_addresses.extend(address);
        if entry.job.outcome == Outcome::Open {
            self.crash_affected_jobs.insert(task.step.job);
        }
    }

    /// Number of workers that crashed while they ran a task and whose crashes have no better explanation.
    fn crash_count(&self, task: TaskName) -> usize {
        self.jobs.get(&task.step.job).map_or(0, |entry| entry.job.crashed_workers(task).len())
    }

    /// Whether the job of a task has failed because of the workers that crashed while they ran that task.
    fn has_failed_by_crashes(&self, task: TaskName) -> bool {
        let failure = self.jobs.get(&task.step.job).and_then(|entry| entry.job.failure);
        failure.is_some_and(|failure| failure.cause == Cause::Crashes && failure.task == task)
    }

    /// Clears the tasks of other jobs that ran on the workers that `culprit` has crashed. The job of `culprit` has
    /// failed because of these crashes.
    fn explain_crashes(&mut self, culprit: TaskName) {
        let job = self.jobs.get(&culprit.step.job).map(|entry| &entry.job);
        let workers = job.map(|job| job.crashed_workers(culprit)).unwrap_or_default();
        for &key in &self.crash_affected_jobs {
            let Some(entry) = self.jobs.get_mut(&key).filter(|_| key != culprit.step.job) else {
                continue;
            };
            if entry.job.explain_crashes(&workers) {
                log::info!(job:% = key, by:% = culprit; "crashes are explained by another task");
                self.outbox.pending.piggyback_states.insert(key);
            }
        }
    }

    /// Records that a worker has stopped responding.
    pub(crate) fn record_outage(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.unresponsive_since_ms = Some(now.steady_ms);
        self.outages.record(Outage {
            worker: name.clone(),
            data_centre: worker.registration.data_centre.clone(),
            rack: worker.rack().to_owned(),
            since_ms: now.steady_ms,
            has_no_suspect: worker.has_responded()
                && !worker.runs.values().any(|assigned| worker.is_unproven(assigned)),
        });
    }

    /// Presumes that a worker of a former leader is gone: it is not registered, and it does not respond. Its tasks
    /// count as present at a crash until the worker turns out to be alive. If more than a few workers are missing at
    /// the same time (`missing` is their number), there is a common cause, and their tasks are cleared.
    pub(crate) fn presume_gone(&mut self, name: &WorkerName, missing: usize, now: Now) {
        log::info!(worker:% = name, missing; "worker is presumed gone");
        self.counters.count_lost_worker(WorkerLoss::LeasesExpired);
        let suspicion = if missing > MIN_OUTAGES_AT_UNKNOWN_TIME {
            Suspicion::Cleared
        } else {
            Suspicion::Present
        };
        let keys: Vec<RunKey> = self
            .workers
            .get(name)
            .map(|worker| worker.runs.keys().copied().collect())
            .unwrap_or_default();
        let mut counted_tasks = Vec::new();
        for key in keys {
            // A gang that has lost several workers in one run counts one crash.
            let count_before = self.known_crashes(key.0);
            self.end_as_crashed(name, key, suspicion, now);
            if self.known_crashes(key.0) > count_before {
                counted_tasks.push(key.0);
            }
        }
        if !counted_tasks.is_empty() {
            self.presumed_gone.insert(name.clone(), counted_tasks);
        }
        self.forget_worker(name, now);
    }

    /// Number of all crashes that are counted for a task.
    fn known_crashes(&self, task: TaskName) -> u32 {
        self.jobs.get(&task.step.job).map_or(0, |entry| entry.job.known_crashes(task))
    }

    /// Retracts the crashes counted for a worker that was presumed gone and is registered again: it was unreachable.
    pub(crate) fn retract_presumed_crashes(&mut self, name: &WorkerName) {
        for task in self.presumed_gone.remove(name).unwrap_or_default() {
            let Some(entry) = self.jobs.get_mut(&task.step.job) else { continue };
            if entry.job.retract_crash(task, name) {
                self.outbox.pending.piggyback_states.insert(task.step.job);
            }
        }
    }

    /// Records the address of a new registration. If the previous worker at this address does not respond, it has most
    /// likely crashed; this has no effect before its leases have expired.
    pub(crate) fn track_address(&mut self, registration: &Registration) {
        if self.workers.contains_key(&registration.name) {
            return;
        }
        let previous =
            self.latest_by_address.insert(registration.address.clone(), registration.name.clone());
        let previous = previous.and_then(|name| self.workers.get_mut(&name));
        if let Some(worker) = previous.filter(|worker| worker.failed_polls > 0) {
            worker.is_replaced = true;
        }
    }

    /// Ends the runs on a worker whose leases have expired, so that they start elsewhere. The leader may not have
    /// noticed yet that the worker is unresponsive. Whether it crashed or was unreachable is known once it or another
    /// incarnation of it responds.
    pub(crate) fn expire_worker(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get(name) else { return };
        let may_have_crashed = !worker.draining;
        if may_have_crashed && worker.is_replaced {
            self.end_all_as_crashed(name, now);
        } else if may_have_crashed {
            let expired_runs = self.suspicions(worker, now);
            if let Some(worker) = self.workers.get_mut(name) {
                worker.expired_runs.extend(expired_runs);
            }
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.accepted_epoch = false;
        self.capacity_index.update(worker, now.steady_ms);
        self.expire_all_runs(name, now);
    }

    /// Whether an unregistered worker is still polled, because its response may show that it has crashed.
    pub(crate) fn awaits_crash_evidence(worker: &Worker, now: Now) -> bool {
        !worker.expired_runs.is_empty()
            && !worker.registration.address.is_empty()
            && now.steady_ms < worker.leases_expire_by_ms + CRASH_EVIDENCE_WAIT_MS
    }

    /// Counts and logs the failure of a job.
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
