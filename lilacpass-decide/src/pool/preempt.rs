//! Which tasks make room for more urgent work.

use std::time::Duration;

use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{TaskId, WorkerId},
};

use crate::{
    pool::{Pool, index::Gate},
    rules::Rules,
    task::{Given, TaskMeta},
};

/// How a task makes room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum How {
    /// It goes on with fewer processors.
    Throttle,
    /// It is checkpointed and resumed later.
    Checkpoint,
    /// It is stopped and starts again later; its work so far is lost.
    Stop,
}

/// One task that is to make room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preempt {
    /// The task.
    pub task: TaskId,
    /// Its worker.
    pub worker: WorkerId,
    /// How it makes room.
    pub how: How,
    /// What it keeps: zero unless it is throttled. Call `Pool::resize` once the worker confirms a
    /// throttle, and `Pool::release` once it confirms the end of the task.
    pub keeps: Resources,
    /// The work that is lost: run time times processors.
    pub lost: Duration,
}

/// The cost of a checkpoint and of the resumption, as lost run time.
const CHECKPOINT_COST: Duration = Duration::from_secs(2);

/// Run time from which on a task is too dear to be stopped.
const MAX_STOP_LOSS: Duration = Duration::from_secs(2);

/// Workers on which tasks are looked at in one search.
const MAX_EXAMINED: usize = 32;
/// Workers on which tasks are compared; the search then ends, and the next one begins behind it.
const MAX_CANDIDATES: usize = 16;

/// A task that could make room, and what is lost by it.
struct Victim {
    task: TaskId,
    need: Resources,
    how: How,
    lost: Duration,
}

impl Pool {
    /// Chooses the tasks that make room for one task that needs `need`, with the least work lost.
    ///
    /// All are on one worker, the best of a bounded number of workers; empty where no choice of tasks helps. Only batch tasks make
    /// room, and not for each other. A non-idempotent task that can't be checkpointed is never chosen,
    /// unless the rules say so: stopped, it could not be started again. Chosen tasks count as
    /// given until the caller reports that they are gone, and are not chosen twice.
    pub fn preempt_for(
        &mut self,
        need: &Resources,
        meta: &TaskMeta,
        rules: &Rules,
        now: MonoTime,
    ) -> Vec<Preempt> {
        if meta.class == Class::Batch {
            return Vec::new();
        }
        let count = self.workers.len();
        let usable = |&n: &usize| {
            let worker = &self.workers[n];
            worker.running[Class::Batch as usize] > 0
                && self.index.get(n as u32).gate == Gate::Open
                && need.fits(&worker.allowed())
        };
        let best = (0..count)
            .map(|n| (n + self.preempt_from) % count)
            .filter(usable)
            .take(MAX_EXAMINED)
            .filter_map(|n| Some((n, self.victims_on(n, need, rules, now)?)))
            .take(MAX_CANDIDATES)
            .min_by_key(|(_, victims)| victims.iter().map(|v| v.lost).sum::<Duration>());
        let Some((number, victims)) = best else {
            self.preempt_from += MAX_EXAMINED;
            return Vec::new();
        };
        self.preempt_from = number + 1;
        victims.into_iter().map(|victim| self.mark(&victim)).collect()
    }

    /// The cheapest tasks on one worker that together make enough room, if there are any.
    fn victims_on(
        &self,
        number: usize,
        need: &Resources,
        rules: &Rules,
        now: MonoTime,
    ) -> Option<Vec<Victim>> {
        let mut missing = need.minus(&self.index.get(number as u32).room);
        if missing.is_zero() {
            return None;
        }
        let mut candidates: Vec<Victim> = self.workers[number]
            .tasks
            .iter()
            .filter_map(|task| Some((task, self.tasks.get(task)?)))
            .filter(|(_, given)| given.meta.class == Class::Batch)
            .filter(|(_, given)| !given.preempted && !given.gang)
            .filter_map(|(task, given)| victim(*task, given, &missing, rules, now))
            .collect();
        candidates.sort_by_key(|v| (v.lost, v.task));
        let mut chosen = Vec::new();
        for victim in candidates {
            let room = victim.frees();
            if missing.min(&room).is_zero() {
                continue;
            }
            missing = missing.minus(&room);
            chosen.push(victim);
            if missing.is_zero() {
                return Some(chosen);
            }
        }
        None
    }

    fn mark(&mut self, victim: &Victim) -> Preempt {
        let given = self.tasks.get_mut(&victim.task).expect("a victim is a task that is given");
        given.preempted = true;
        self.preempting += 1;
        let worker = given.worker;
        Preempt {
            task: victim.task,
            worker: self.name(worker),
            how: victim.how,
            keeps: victim.need.minus(&victim.frees()),
            lost: victim.lost,
        }
    }
}

impl Victim {
    /// The room that it makes.
    fn frees(&self) -> Resources {
        match self.how {
            How::Throttle => Resources::new(self.need.cpu.0 / 2, 0, 0, 0),
            How::Checkpoint | How::Stop => self.need,
        }
    }
}

/// How a task would make room, and what is lost by it; `None` where it must not.
fn victim(
    task: TaskId,
    given: &Given,
    missing: &Resources,
    rules: &Rules,
    now: MonoTime,
) -> Option<Victim> {
    let ran = now.since(given.since);
    let cores = |d: Duration| d.mul_f64(given.need.cpu.0.max(1) as f64 / 1_000.0);
    let only_cpu = Resources::new(missing.cpu.0, 0, 0, 0) == *missing;
    let (how, lost) = if rules.throttle && only_cpu && given.need.cpu.0 / 2 >= missing.cpu.0 {
        (How::Throttle, Duration::ZERO)
    } else if given.meta.checkpointable {
        (How::Checkpoint, cores(CHECKPOINT_COST))
    } else if ran <= MAX_STOP_LOSS && (given.meta.idempotent || rules.preempt_non_idempotent) {
        (How::Stop, cores(ran))
    } else {
        return None;
    };
    Some(Victim { task, need: given.need, how, lost })
}
