//! Tasks that crash the workers that start them, and how often such a task may be started.

use std::collections::{BTreeMap, BTreeSet};

use lilacpass_jobs::{TaskName, WorkerName};

use super::{Action, World};

/// How long a worker that crashed is away.
const AWAY_MS: u64 = 3_500;
/// How long the registration of a worker that crashed stays.
const STALE_MS: u64 = 4_500;
/// Workers that crash under a task before its starts are counted.
const CRASHES: u32 = 3;
/// A member is in touch if for so long it has not stood still, and the store and the calls have been sound.
const TOUCH_MS: u64 = 3_000;
/// Starts after these that are too many.
const TOO_MANY_STARTS: u32 = 3;

/// What crashes workers, and what came of it.
#[derive(Default)]
pub struct Crashes {
    /// Tasks that crash each worker that starts them, and how long after the start.
    pub crashing: BTreeMap<TaskName, u64>,
    /// How long workers that crash are away, if not as long as usual.
    pub away_ms: Option<u64>,
    /// Workers that crashed under each of them.
    pub crash_counts: BTreeMap<TaskName, u32>,
    /// Tasks that ran on a worker when it crashed.
    pub affected: BTreeSet<TaskName>,
    /// Starts of each by members in touch, since too many workers had crashed under it.
    starts_since: BTreeMap<TaskName, u32>,
    /// When something last was amiss that takes members out of touch.
    disturbed_ms: u64,
}

impl Crashes {
    /// Judges a start.
    fn check_start(&mut self, task: TaskName, now_ms: u64) {
        if now_ms < self.disturbed_ms + TOUCH_MS {
            return;
        }
        if self.crash_counts.get(&task).is_none_or(|&crashes| crashes < CRASHES) {
            return;
        }
        let starts = self.starts_since.entry(task).or_default();
        *starts += 1;
        assert!(
            *starts < TOO_MANY_STARTS,
            "{task} was started {starts} times more after {CRASHES} workers had crashed under it"
        );
    }

    /// Workers that crashed under tasks that crash them.
    pub fn total(&self) -> u32 {
        self.crash_counts.values().sum()
    }
}

impl World {
    /// Notes what takes members out of touch.
    pub(super) fn record_disturbance(&mut self) {
        let is_paused = (0..self.instances.len()).any(|member| self.is_paused(member));
        if is_paused || self.store.down || self.lost_order_percent > 0 {
            self.crashes.disturbed_ms = self.now_ms;
        }
    }

    /// A task is started: if it is one that crashes its worker, that will.
    pub(super) fn schedule_crash(&mut self, at: usize, task: TaskName) {
        let Some(&after_ms) = self.crashes.crashing.get(&task) else { return };
        self.crashes.check_start(task, self.now_ms);
        let worker = self.workers[at].name.clone();
        self.plan(after_ms, Action::Crash { worker, task });
    }

    /// A task crashes its worker, if it still runs there.
    pub(super) fn crash_under(&mut self, worker: &WorkerName, task: TaskName) {
        let runs =
            |w: &super::worker::Worker| w.alive && w.name == *worker && w.runs.contains_key(&task);
        let Some(at) = self.workers.iter().position(runs) else { return };
        *self.crashes.crash_counts.entry(task).or_default() += 1;
        self.crash_worker(at);
    }

    /// A worker crashes, and is back at its address as another after a while.
    pub fn crash_worker(&mut self, at: usize) {
        self.workers[at].alive = false;
        self.workers[at].stale_until_ms = self.now_ms + STALE_MS;
        let lost = std::mem::take(&mut self.workers[at].runs);
        self.crashes.affected.extend(lost.into_keys());
        let away_ms = self.crashes.away_ms.unwrap_or(AWAY_MS);
        self.plan(away_ms, Action::Return { at });
    }
}
