//! The account of what is given: each task counts from its start until its end is reported.

use std::time::Duration;

use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{TaskId, WorkerId},
};

use crate::{
    pool::Pool,
    task::{Given, Outcome, Released, TaskMeta},
};

impl Pool {
    /// Accounts for a task that runs on a worker, whatever the limit says; for adoption.
    ///
    /// Returns the other worker that the task was accounted for on until now, if any: one of the
    /// two reports must be wrong, and the caller has to find out which.
    pub fn give(
        &mut self,
        task: TaskId,
        worker: &WorkerId,
        need: Resources,
        meta: TaskMeta,
        now: MonoTime,
    ) -> Option<WorkerId> {
        let number = self.number_or_unlisted(worker);
        let earlier = self.take_out(&task);
        if let Some((earlier, _)) = &earlier {
            self.drop_probe(*earlier, &task, now);
            self.refresh(*earlier);
        }
        self.put_in(task, number, need, meta, false, now);
        let (earlier, _) = earlier.filter(|(earlier, _)| *earlier != number)?;
        let name = self.name(earlier);
        self.forget_if_empty(earlier);
        Some(name)
    }

    /// Gives a task where the worker takes new work and has room; `false` changes nothing.
    pub fn try_give(
        &mut self,
        task: TaskId,
        worker: &WorkerId,
        need: Resources,
        meta: TaskMeta,
        now: MonoTime,
    ) -> bool {
        let Some(&number) = self.numbers.get(worker) else { return false };
        if self.tasks.contains_key(&task) || !self.takes(number, &need, &meta, Some(&task), now) {
            return false;
        }
        self.start_probe(number, task, now);
        self.put_in(task, number, need, meta, false, now);
        true
    }

    /// Takes a task off its worker and learns from how it ended.
    pub fn release(
        &mut self,
        task: &TaskId,
        outcome: Outcome,
        ran: Duration,
        now: MonoTime,
    ) -> Option<Released> {
        let (number, given) = self.take_out(task)?;
        self.worker_outcome(number, task, &given.meta, outcome, ran, now);
        self.refresh(number);
        let worker = self.name(number);
        self.forget_if_empty(number);
        Some(Released {
            worker,
            need: given.need,
            meta: given.meta,
            given_for: now.since(given.since),
        })
    }

    /// Changes what is given to a task, such as after it was throttled.
    ///
    /// Returns `false` and changes nothing where the task is unknown or would outgrow the limit.
    pub fn resize(&mut self, task: &TaskId, need: Resources, now: MonoTime) -> bool {
        let Some(given) = self.tasks.get(task) else { return false };
        let (number, old) = (given.worker, given.need);
        let room = self.workers[number as usize].room();
        if !need.minus(&old).fits(&room) {
            return false;
        }
        let (_, given) = self.take_out(task).expect("the task was just found");
        self.put_in(*task, number, need, given.meta, given.gang, now);
        let resized = self.tasks.get_mut(task).expect("the task was just put in");
        resized.since = given.since;
        true
    }

    pub(super) fn put_in(
        &mut self,
        task: TaskId,
        number: u32,
        need: Resources,
        meta: TaskMeta,
        gang: bool,
        now: MonoTime,
    ) {
        self.usage.add(&meta.team, &need);
        self.given = self.given.plus(&need);
        self.running[meta.class as usize] += 1;
        if meta.class == Class::Urgent {
            self.urgent.add(&need, now);
        }
        if meta.class == Class::Batch {
            self.last_batch = now;
        }
        if is_cheap(&meta, gang) {
            self.cheap = self.cheap.plus(&need);
        }
        self.count_standing(number, &meta, true);
        let worker = &mut self.workers[number as usize];
        worker.given = worker.given.plus(&need);
        worker.running[meta.class as usize] += 1;
        worker.tasks.push(task);
        let given = Given { need, meta, since: now, preempted: false, gang, worker: number };
        self.tasks.insert(task, given);
        self.unreserve(&task);
        self.refresh(number);
    }

    pub(super) fn take_out(&mut self, task: &TaskId) -> Option<(u32, Given)> {
        let given = self.tasks.remove(task)?;
        let number = given.worker;
        self.usage.sub(&given.meta.team, &given.need);
        self.given = self.given.minus(&given.need);
        self.running[given.meta.class as usize] -= 1;
        self.preempting -= usize::from(given.preempted);
        if given.meta.class == Class::Urgent {
            self.urgent.sub(&given.need);
        }
        if is_cheap(&given.meta, given.gang) {
            self.cheap = self.cheap.minus(&given.need);
        }
        self.count_standing(number, &given.meta, false);
        let worker = &mut self.workers[number as usize];
        worker.given = worker.given.minus(&given.need);
        worker.running[given.meta.class as usize] -= 1;
        if let Some(at) = worker.tasks.iter().position(|t| t == task) {
            worker.tasks.swap_remove(at);
        }
        self.refresh(number);
        Some((number, given))
    }
}

/// Whether a task can make room for urgent work at a small cost.
fn is_cheap(meta: &TaskMeta, gang: bool) -> bool {
    meta.class == Class::Batch && meta.checkpointable && !gang
}
