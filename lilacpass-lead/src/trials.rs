//! How a task that may crash its workers is tried again.
//!
//! Load pattern: started again and again such a task takes one worker after the other out of the cell, with all
//! that runs beside it. It goes to a worker where a crash does least harm, and nothing else is sent there before
//! that worker has answered for a while: so the next crash has one suspect.

use std::cmp::Reverse;

use lilacpass_jobs::{Run, TaskName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    event::Now,
    hosts::Host,
    leader::{JobEntry, Leader},
    place,
    worker::RunKey,
};

/// A run that has worked for so long clears its task of earlier crashes.
const ACQUITTED_AFTER_MS: u64 = 20_000;

impl Leader {
    /// Whether a task is to be tried where its worker's crash would do least harm and show most: workers have
    /// crashed under it, or are silent since its start.
    pub(crate) fn is_on_trial(&self, entry: &JobEntry, name: TaskName) -> bool {
        let runs = entry.job.task(name).map(|task| task.runs.as_slice()).unwrap_or_default();
        let is_lost_at_start = |run: &Run| {
            let worker = self.workers.get(&run.worker).filter(|worker| worker.failed_polls > 0);
            worker.is_some_and(|worker| {
                let given = worker.runs.get(&(name, run.number));
                given.is_some_and(|given| worker.is_suspect(given))
            })
        };
        entry.job.is_suspected(name) || runs.iter().any(is_lost_at_start)
    }

    /// Picks workers for tasks that may crash them, one each: where fewest others have yet to show that they
    /// are harmless, and where a crash does least harm.
    pub(crate) fn pick_for_trials(
        &self,
        entry: &JobEntry,
        hosts: &[Host],
        plan: &v1::WorkStep,
        count: usize,
    ) -> Vec<WorkerName> {
        let need = place::need(plan);
        let mut able: Vec<_> = hosts
            .iter()
            .filter(|host| host.remaining_task_limit > 0 && need.fits(&host.room))
            .filter_map(|host| Some((host, self.workers.get(&host.name)?)))
            .map(|(host, worker)| {
                let unclear =
                    worker.runs.values().filter(|given| worker.is_unproven(given)).count();
                let crashed = entry.crashed_addresses.contains(&worker.registration.address);
                let struck =
                    worker.runs.keys().filter(|(task, _)| self.has_crashed_workers(*task)).count();
                let rating = (crashed, unclear, struck, worker.runs.len(), Reverse(host.score));
                (rating, &host.name)
            })
            .collect();
        able.sort_unstable();
        able.into_iter().take(count).map(|(_, name)| name.clone()).collect()
    }

    /// Whether a worker has crashed under a task.
    fn has_crashed_workers(&self, task: TaskName) -> bool {
        let entry = self.jobs.get(&task.step.job);
        entry.and_then(|entry| entry.job.task(task)).is_some_and(|task| task.crashes.known > 0)
    }

    /// A task that may crash its worker is given to one: nothing else is, before the task has shown itself
    /// harmless.
    pub(crate) fn begin_trial(&mut self, name: &WorkerName, key: RunKey) {
        log::info!(task:% = key.0, run = key.1, worker:% = name; "task is tried by itself");
        if let Some(worker) = self.workers.get_mut(name) {
            worker.trial = Some(key);
        }
    }

    /// A worker has answered: ends its trial if that shows the task to be harmless.
    pub(crate) fn review_trial(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(key) = worker.trial else { return };
        let is_clear = worker.runs.get(&key).is_none_or(|given| !worker.is_unproven(given));
        if is_clear {
            worker.trial = None;
            self.pending_changes.mark_worker_freed(name);
        }
    }

    /// A run is at work: clears its task of earlier crashes once it has been for long.
    pub(crate) fn clear_proven_task(&mut self, key: RunKey, started_ms: Option<u64>, now: Now) {
        if started_ms.is_none_or(|ms| now.steady_ms < ms + ACQUITTED_AFTER_MS) {
            return;
        }
        let Some(entry) = self.jobs.get_mut(&key.0.step.job) else { return };
        if entry.job.clear_crashes(key.0) {
            self.outbox.pending.piggyback_states.insert(key.0.step.job);
        }
    }
}
