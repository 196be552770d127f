//! Tasks that crash their workers, and a check of how often such a task is started.

use std::collections::{BTreeMap, BTreeSet};

use lilacpass_jobs::{TaskName, WorkerName};

use super::{Action, World};

/// Time until a crashed worker is back.
const AWAY_MS: u64 = 3_500;
/// Time for which the registration of a crashed worker remains.
const STALE_REGISTRATION_MS: u64 = 4_500;
/// Number of workers that a task must have crashed before its further starts are limited.
const CRASHES_BEFORE_LIMIT: u32 = 3;
/// Time for which no instance has been paused, the store has not been down, and no call has been lost, before the limit
/// applies.
const UNDISTURBED_MS: u64 = 3_000;
/// Number of further starts that breaks the limit.
const TOO_MANY_STARTS: u32 = 3;

/// Tasks that crash their workers, and the crashes so far.
#[derive(Default)]
pub struct Crashes {
    /// Tasks that crash each worker on which they are started, with the delay after the start in ms.
    pub crashing: BTreeMap<TaskName, u64>,
    /// How long crashed workers are away; `AWAY_MS` if `None`.
    pub away_ms: Option<u64>,
    /// Whether crashed workers are back under a new name, rather than the one that they had.
    pub renames_workers: bool,
    /// Number of workers that each crashing task has crashed.
    pub crash_counts: BTreeMap<TaskName, u32>,
    /// Tasks that ran on a worker when it crashed.
    pub affected: BTreeSet<TaskName>,
    /// Number of starts of each crashing task after `CRASHES_BEFORE_LIMIT` crashes, without those soon after a
    /// disturbance.
    starts_since: BTreeMap<TaskName, u32>,
    /// When the last disturbance was seen.
    disturbed_ms: u64,
}

impl Crashes {
    /// Checks the start of a crashing task.
    fn check_start(&mut self, task: TaskName, now_ms: u64) {
        if now_ms < self.disturbed_ms + UNDISTURBED_MS {
            return;
        }
        if self.crash_counts.get(&task).is_none_or(|&crashes| crashes < CRASHES_BEFORE_LIMIT) {
            return;
        }
        let starts = self.starts_since.entry(task).or_default();
        *starts += 1;
        assert!(
            *starts < TOO_MANY_STARTS,
            "{task} was started {starts} more times after {CRASHES_BEFORE_LIMIT} workers had crashed under it"
        );
    }

    /// Number of workers crashed by tasks.
    pub fn total(&self) -> u32 {
        self.crash_counts.values().sum()
    }
}

impl World {
    /// Records a disturbance of the instances, the store or the calls.
    pub(super) fn record_disturbance(&mut self) {
        let is_paused = (0..self.instances.len()).any(|instance| self.is_paused(instance));
        if is_paused || self.store.down || self.lost_order_percent > 0 {
            self.crashes.disturbed_ms = self.now_ms;
        }
    }

    /// Schedules the crash of the worker if the task that starts there is a crashing one.
    pub(super) fn schedule_crash(&mut self, worker_index: usize, task: TaskName) {
        let Some(&after_ms) = self.crashes.crashing.get(&task) else { return };
        self.crashes.check_start(task, self.now_ms);
        let worker = self.workers[worker_index].name.clone();
        self.schedule(after_ms, Action::Crash { worker, task });
    }

    /// Crashes a worker if a crashing task still runs there.
    pub(super) fn crash_under(&mut self, worker: &WorkerName, task: TaskName) {
        let runs =
            |w: &super::worker::Worker| w.alive && w.name == *worker && w.runs.contains_key(&task);
        let Some(worker_index) = self.workers.iter().position(runs) else { return };
        *self.crashes.crash_counts.entry(task).or_default() += 1;
        self.crash_worker(worker_index);
    }

    /// Crashes a worker. After a while it is back at its address.
    pub fn crash_worker(&mut self, worker_index: usize) {
        self.workers[worker_index].alive = false;
        self.workers[worker_index].stale_until_ms = self.now_ms + STALE_REGISTRATION_MS;
        let lost = std::mem::take(&mut self.workers[worker_index].runs);
        self.crashes.affected.extend(lost.into_keys());
        let away_ms = self.crashes.away_ms.unwrap_or(AWAY_MS);
        self.schedule(away_ms, Action::ReturnWorker { worker_index });
    }

    /// Starts a crashed worker again.
    pub(super) fn return_worker(&mut self, worker_index: usize) {
        if self.crashes.renames_workers {
            self.replace_worker(worker_index);
        } else {
            self.restart_worker(worker_index);
        }
    }
}
