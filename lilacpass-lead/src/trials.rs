//! Trials: how a task that may crash its workers is started again.
//!
//! Load pattern: a crashing task that is started again and again takes down one worker after the other, with
//! everything that runs there. So it is started on a worker where a crash does the least harm, and nothing else is
//! started there until that worker has responded for a while. The next crash then has a single suspect.

use std::cmp::Reverse;

use lilacpass_jobs::{Run, TaskName, WorkerName};
use lilacpass_schema::v1;

use crate::{event::Now, hosts::Host, job_entry::JobEntry, leader::Leader, place, worker::RunKey};

/// A run that has been running for this long clears its task of earlier crashes.
const CLEARED_AFTER_MS: u64 = 20_000;

impl Leader {
    /// Whether the next start of a task is a trial: workers have crashed while they ran it, or its worker has not
    /// responded since the start of its run.
    pub(crate) fn is_on_trial(&self, entry: &JobEntry, name: TaskName) -> bool {
        let runs = entry.job.task(name).map(|task| task.runs.as_slice()).unwrap_or_default();
        let is_lost_after_start = |run: &Run| {
            let worker =
                self.workers.get(&run.host.worker).filter(|worker| worker.failed_polls > 0);
            worker.is_some_and(|worker| {
                let assigned = worker.runs.get(&(name, run.number));
                assigned.is_some_and(|assigned| worker.is_suspect(assigned))
            })
        };
        entry.job.is_suspected(name) || runs.iter().any(is_lost_after_start)
    }

    /// Picks workers for the trials of tasks, one worker for each. Prefers addresses at which no worker has crashed
    /// while it ran this job, then workers with few other runs that have not proved harmless yet, then workers where a
    /// crash does little harm.
    pub(crate) fn pick_for_trials(
        &self,
        entry: &JobEntry,
        hosts: &[Host],
        plan: &v1::WorkStep,
        count: usize,
    ) -> Vec<WorkerName> {
        let need = place::need(plan);
        let mut candidates: Vec<_> = hosts
            .iter()
            .filter(|host| host.remaining_task_limit > 0 && need.fits(&host.free_capacity))
            .filter_map(|host| Some((host, self.workers.get(&host.name)?)))
            .map(|(host, worker)| {
                let unproven =
                    worker.runs.values().filter(|assigned| worker.is_unproven(assigned)).count();
                let has_crashed = entry.crashed_addresses.contains(&worker.registration.address);
                let crash_affected =
                    worker.runs.keys().filter(|(task, _)| self.has_crashed_worker(*task)).count();
                let sort_key =
                    (has_crashed, unproven, crash_affected, worker.runs.len(), Reverse(host.score));
                (sort_key, &host.name)
            })
            .collect();
        candidates.sort_unstable();
        candidates.into_iter().take(count).map(|(_, name)| name.clone()).collect()
    }

    /// Whether a worker has crashed while it ran the task.
    fn has_crashed_worker(&self, task: TaskName) -> bool {
        let entry = self.jobs.get(&task.step.job);
        entry.and_then(|entry| entry.job.task(task)).is_some_and(|task| task.crashes.known > 0)
    }

    /// Marks a run as the trial of its worker. Nothing else is started there until the run has proved harmless.
    pub(crate) fn begin_trial(&mut self, name: &WorkerName, key: RunKey, now: Now) {
        log::info!(task:% = key.0, run = key.1, worker:% = name; "trial of a task begins");
        if let Some(worker) = self.workers.get_mut(name) {
            worker.trial = Some(key);
            self.capacity_index.update(worker, now.steady_ms);
        }
    }

    /// Ends the trial of a worker that has responded, if that shows the run to be harmless.
    pub(crate) fn review_trial(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(key) = worker.trial else { return };
        let is_proven = worker.runs.get(&key).is_none_or(|assigned| !worker.is_unproven(assigned));
        if is_proven {
            worker.trial = None;
            self.capacity_index.update(worker, now.steady_ms);
            self.pending_changes.mark_worker_freed(name);
        }
    }

    /// Clears the task of a running run of earlier crashes if the run has lasted for long enough.
    pub(crate) fn clear_proven_task(&mut self, key: RunKey, started_ms: Option<u64>, now: Now) {
        if started_ms.is_none_or(|ms| now.steady_ms < ms + CLEARED_AFTER_MS) {
            return;
        }
        let Some(entry) = self.jobs.get_mut(&key.0.step.job) else { return };
        if entry.job.clear_crashes(key.0) {
            self.outbox.pending.piggyback_states.insert(key.0.step.job);
        }
    }
}
