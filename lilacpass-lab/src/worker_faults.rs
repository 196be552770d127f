//! Workers that crash under a task and come back, and workers whose room shrinks and grows.

use lilacpass_core::{Resources, Verdict};
use lilacpass_jobs::{TaskName, WorkerName};
use lilacpass_lead::{Event, event::CallError};

use crate::{
    cell::{Action, Cell, HOP_MS},
    scenario::FaultKind,
    workers::{self, Conditions},
};

/// How soon after its start a task crashes its worker.
const CRASHES_AFTER_MS: u64 = 10;
/// How long a worker that crashed is away.
const AWAY_MS: u64 = 3_500;
/// A room that has shrunk counts after so long.
const SHRINKS_AFTER_MS: u64 = 1_000;
/// How long the call of a leader takes that gets no answer.
const CALL_TIMEOUT_MS: u64 = 400;

impl Cell<'_> {
    /// Whether a task crashes each worker that starts it: the first of a job that came while the fault acted.
    pub(crate) fn crashes_workers(&self, job: usize, task: TaskName) -> bool {
        let arrival = &self.arrivals[job];
        let is_first = task.step.step == 0 && task.index == 0;
        is_first
            && self.scenario.faults.iter().enumerate().any(|(number, fault)| {
                fault.kind == FaultKind::CrashingTasks
                    && fault.acts_at(arrival.at_ms)
                    && workers::drawn(&(self.seed, number, arrival.key.0)) < fault.share
            })
    }

    /// A task has started: its worker will crash if it is one that does that.
    pub(crate) fn may_crash(&mut self, at: usize, job: usize, task: TaskName) {
        if !self.crashes_workers(job, task) {
            return;
        }
        *self.starts_of_crashing.entry(task).or_default() += 1;
        let worker = self.workers[at].name().clone();
        self.plan(self.now_ms + CRASHES_AFTER_MS, Action::Crash { at, worker });
    }

    /// A task is about to start: counts it if its worker has no room for it, and had time to say so.
    pub(crate) fn judge_room(&mut self, at: usize, need: &Resources) {
        let worker = &self.workers[at];
        let is_known = self.now_ms >= worker.resized_ms + SHRINKS_AFTER_MS;
        if is_known && !worker.used().plus(need).fits(&worker.entry.capacity) {
            self.recorder.over_capacity += 1;
        }
    }

    /// A worker crashes, if it lives.
    pub(crate) fn crash(&mut self, at: usize, worker: &WorkerName) {
        if self.workers[at].is_away || self.workers[at].name() != worker {
            return;
        }
        self.recorder.crashed_workers += 1;
        if let Some(look) = self.workers[at].crash() {
            self.unanswered_look(worker, look.sent_ms, false);
        }
        self.plan(self.now_ms + AWAY_MS, Action::Return(at));
    }

    /// A worker that crashed is back as another.
    pub(crate) fn comes_back(&mut self, at: usize) {
        self.lives += 1;
        let former = self.workers[at].name().clone();
        self.by_name.remove(&former);
        self.workers[at].comes_back(self.lives);
        self.by_name.insert(self.workers[at].name().clone(), at);
        let entry = self.workers[at].entry.clone();
        self.leader.handle(Event::WorkerUnregistered(former), self.now());
        self.leader.handle(Event::WorkerRegistered(entry), self.now());
    }

    /// A look at a worker that crashed gets no answer.
    pub(crate) fn unanswered_look(&mut self, worker: &WorkerName, sent_ms: u64, extra: bool) {
        let result = Err(CallError::Failed(Verdict::MayHaveRun));
        let event = Event::Polled { worker: worker.clone(), sent_ms, extra, result };
        self.plan(self.now_ms + CALL_TIMEOUT_MS, Action::Tell(event));
    }

    /// A look at a former life of a worker is answered by the one that came after.
    pub(crate) fn look_at_former_life(&mut self, worker: &WorkerName, extra: bool) {
        let sent_ms = self.now_ms;
        let result = Err(CallError::OtherLife);
        let event = Event::Polled { worker: worker.clone(), sent_ms, extra, result };
        self.plan(self.now_ms + HOP_MS, Action::Tell(event));
    }

    /// Workers have the room that the faults leave them, and say so.
    pub(crate) fn set_capacities(&mut self) {
        let (seed, at_ms, now) = (self.seed, self.play_ms(), self.now());
        for at in 0..self.workers.len() {
            let conditions = Conditions { scenario: self.scenario, seed, worker: at, at_ms };
            let part = conditions.strength(FaultKind::ShrinkingWorkers).unwrap_or(1.0);
            let worker = &mut self.workers[at];
            let capacity = part_of(worker.whole, part);
            if worker.entry.capacity != capacity {
                worker.resized_ms = now.steady_ms;
                worker.entry.capacity = capacity;
                self.leader.handle(Event::WorkerRegistered(worker.entry.clone()), now);
            }
        }
    }
}

fn part_of(whole: Resources, part: f64) -> Resources {
    let scale = |amount: u64| (amount as f64 * part) as u64;
    Resources::new(scale(whole.cpu.0), scale(whole.memory.0), scale(whole.accelerators.0), 0)
}
