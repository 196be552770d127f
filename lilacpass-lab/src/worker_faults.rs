//! Faults of workers: workers that crash because of a task and restart, and workers whose capacity changes.

use lilacpass_core::{Resources, Verdict};
use lilacpass_jobs::{TaskName, WorkerName};
use lilacpass_lead::{Event, event::CallError};

use crate::{
    cell::{Action, Simulation},
    scenario::FaultKind,
    workers::{self, WorkerConditions},
};

/// Time between the start of a crashing task and the crash of its worker.
const CRASH_DELAY_MS: u64 = 10;
/// Time between the crash of a worker and its restart.
const DOWNTIME_MS: u64 = 3_500;
/// Time after a change of its capacity during which a worker may be overcommitted, because the leader may not know of
/// the change yet.
const CAPACITY_GRACE_MS: u64 = 1_000;
/// Time after which an order of the leader to a worker times out.
const ORDER_TIMEOUT_MS: u64 = 400;

impl Simulation<'_> {
    /// Returns whether a task crashes each worker that starts it. Only the first task of a job can do so, for some of
    /// the jobs that are submitted while a fault of the kind `CrashingTasks` is active.
    pub(crate) fn is_crashing_task(&self, job: usize, task: TaskName) -> bool {
        let arrival = &self.arrivals[job];
        let is_first = task.step.step == 0 && task.index == 0;
        is_first
            && self.scenario.faults.iter().enumerate().any(|(number, fault)| {
                fault.kind == FaultKind::CrashingTasks
                    && fault.is_active_at(arrival.at_ms)
                    && workers::pseudo_random(&(self.seed, number, arrival.key.0)) < fault.share
            })
    }

    /// Schedules a crash of the worker on which a task has started, if the task is a crashing one.
    pub(crate) fn schedule_crash(&mut self, index: usize, job: usize, task: TaskName) {
        if !self.is_crashing_task(job, task) {
            return;
        }
        *self.crashing_task_starts.entry(task).or_default() += 1;
        let worker = self.workers[index].name().clone();
        self.schedule(self.now_ms + CRASH_DELAY_MS, Action::Crash { index, worker });
    }

    /// Counts a start for which the worker lacks the capacity, unless its capacity has only just changed.
    pub(crate) fn check_capacity(&mut self, index: usize, need: &Resources) {
        let worker = &self.workers[index];
        let is_settled = self.now_ms >= worker.capacity_changed_ms + CAPACITY_GRACE_MS;
        if is_settled && !worker.used().plus(need).fits(&worker.registration.capacity) {
            self.recorder.over_capacity += 1;
        }
    }

    /// Crashes a worker, if this incarnation of it is still running.
    pub(crate) fn crash(&mut self, index: usize, worker: &WorkerName) {
        if self.workers[index].is_down || self.workers[index].name() != worker {
            return;
        }
        self.recorder.crashed_workers += 1;
        if let Some(poll) = self.workers[index].crash() {
            self.fail_poll(&poll.polled, poll.sent_ms, false);
        }
        self.schedule(self.now_ms + DOWNTIME_MS, Action::Restart(index));
    }

    /// Starts a crashed worker again, under the same id.
    pub(crate) fn restart(&mut self, index: usize) {
        let now = self.now();
        self.workers[index].restart(now.unix_ms);
        let registration = self.workers[index].registration.clone();
        self.leader.handle(Event::WorkerRegistered(registration), now);
    }

    /// Lets the poll of a crashed worker time out.
    pub(crate) fn fail_poll(&mut self, worker: &WorkerName, sent_ms: u64, extra: bool) {
        let result = Err(CallError::Failed(Verdict::MayHaveRun));
        let event = Event::Polled { worker: worker.clone(), sent_ms, extra, result };
        self.schedule(self.now_ms + ORDER_TIMEOUT_MS, Action::Deliver(event));
    }

    /// Applies the faults to the capacities of the workers, and registers the workers whose capacity changed.
    pub(crate) fn set_capacities(&mut self) {
        let (seed, at_ms, now) = (self.seed, self.scenario_ms(), self.now());
        for index in 0..self.workers.len() {
            let conditions =
                WorkerConditions { scenario: self.scenario, seed, worker: index, at_ms };
            let factor = conditions.strength(FaultKind::ShrinkingWorkers).unwrap_or(1.0);
            let worker = &mut self.workers[index];
            let capacity = scaled(worker.full_capacity, factor);
            if worker.registration.capacity != capacity {
                worker.capacity_changed_ms = now.steady_ms;
                worker.registration.capacity = capacity;
                self.leader.handle(Event::WorkerRegistered(worker.registration.clone()), now);
            }
        }
    }
}

fn scaled(full_capacity: Resources, factor: f64) -> Resources {
    let scale = |amount: u64| (amount as f64 * factor) as u64;
    Resources::new(
        scale(full_capacity.cpu.0),
        scale(full_capacity.memory.0),
        scale(full_capacity.accelerators.0),
        0,
    )
}
