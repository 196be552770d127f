//! Which workers a step may use: those that advice permits, that accept its tasks, and the capacity that it may take.

use lilacpass_core::Resources;
use lilacpass_jobs::{StepName, TaskName, WorkerName};
use lilacpass_schema::v1;

use crate::{event::Now, leader::Leader, place, rank::Rank, worker::Worker};

impl Leader {
    /// Returns the workers that advice permits for a step, sorted by name. A step whose queue needs no advice may use all
    /// workers.
    pub(crate) fn allowed_workers(&self, name: StepName, now: Now) -> Vec<&Worker> {
        let Some(entry) = self.jobs.get(&name.job) else { return Vec::new() };
        if entry.job.queue.advice.is_none() {
            return self.workers.values().collect();
        }
        let Some(advice) = self.advice.get(&name) else { return Vec::new() };
        let ticketed = advice.workers_with_tickets(now.steady_ms);
        ticketed.filter_map(|name| self.workers.get(name)).collect()
    }

    /// Returns those of `workers` that advice permits for a step, in the same order.
    pub(crate) fn allowed_among<'a>(
        &self,
        name: StepName,
        workers: impl IntoIterator<Item = &'a WorkerName>,
        now: Now,
    ) -> Vec<&Worker> {
        let Some(entry) = self.jobs.get(&name.job) else { return Vec::new() };
        let advice = self.advice.get(&name);
        let is_allowed = |worker: &&WorkerName| {
            entry.job.queue.advice.is_none()
                || advice.is_some_and(|advice| advice.ticket(worker, now.steady_ms).is_some())
        };
        let allowed = workers.into_iter().filter(is_allowed);
        allowed.filter_map(|name| self.workers.get(name)).collect()
    }

    /// Returns workers that advice permits for a step, sorted by name, which include all of them on which `need` fits.
    ///
    /// The fewer of the workers with tickets and of those with enough free capacity are gone through. In a full cell
    /// each waiting step holds tickets for a hundred workers, and hardly any worker has free capacity.
    pub(crate) fn allowed_and_fitting(
        &self,
        name: StepName,
        need: &Resources,
        now: Now,
    ) -> Vec<&Worker> {
        let Some(entry) = self.jobs.get(&name.job) else { return Vec::new() };
        let service = &entry.job.queue.service;
        if entry.job.queue.advice.is_none() {
            let all = self.workers.len();
            let fitting = self.capacity_index.fitting(service, need, all).unwrap_or_default();
            return fitting.into_iter().filter_map(|name| self.workers.get(name)).collect();
        }
        let Some(advice) = self.advice.get(&name) else { return Vec::new() };
        match self.capacity_index.fitting(service, need, advice.ticket_count()) {
            Some(few) => self.allowed_among(name, few, now),
            None => self.allowed_workers(name, now),
        }
    }

    /// Returns whether a worker would accept a start of the step now, given enough free capacity.
    pub(crate) fn could_start(
        &self,
        worker: &Worker,
        name: StepName,
        plan: &v1::WorkStep,
        now: Now,
    ) -> bool {
        let Some(entry) = self.jobs.get(&name.job) else { return false };
        worker.accepts_starts(now.steady_ms)
            && place::is_eligible(worker, &entry.job.queue.service, plan)
            && (plan.lasting || !entry.avoids(&worker.registration.name, now.steady_ms))
            && !self.would_interfere(worker, plan)
    }

    /// Returns the free capacity of a worker that a step with this rank may use, excluding reservations that rank
    /// before it.
    pub(crate) fn free_capacity_for(&self, rank: &Rank, worker: &Worker) -> Resources {
        worker
            .free_capacity()
            .minus(&self.reservations.reserved_before(rank, &worker.registration.name))
    }

    /// Returns whether a task of this step would interfere with those on the worker. A filling task uses CPU that is
    /// not reserved, which increases the tail latency of tasks that serve users by an unpredictable amount.
    pub(crate) fn would_interfere(&self, worker: &Worker, plan: &v1::WorkStep) -> bool {
        let has_task = |matches: fn(&v1::WorkStep) -> bool| {
            worker.runs.keys().any(|(task, _)| self.plan_of(*task).is_some_and(matches))
        };
        plan.fills && has_task(|other| other.target_ms > 0)
            || plan.target_ms > 0 && has_task(|other| other.fills)
    }

    /// Returns the plan of the step that a task belongs to.
    pub(crate) fn plan_of(&self, task: TaskName) -> Option<&v1::WorkStep> {
        let entry = self.jobs.get(&task.step.job)?;
        entry.job.plan.steps.get(task.step.step as usize)
    }

    /// Returns how many more tasks of a step a worker may run under the step's limit per worker.
    pub(crate) fn remaining_task_limit(
        &self,
        worker: &Worker,
        name: StepName,
        plan: &v1::WorkStep,
    ) -> u64 {
        if plan.max_per_worker == 0 {
            return u64::MAX;
        }
        let running = worker.runs.keys().filter(|(task, _)| task.step == name).count() as u64;
        u64::from(plan.max_per_worker).saturating_sub(running)
    }
}
