//! Lookups beside the job map: who waits, who is active, what is placed where.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use lilacpass_core::{
    Resources,
    ids::{JobId, Offset, TaskId, TeamId, WorkerId},
};

use super::job::{Job, State};

/// Keeps every lookup in step with the job map.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    waiting: BTreeSet<(Offset, JobId)>,
    active: BTreeSet<(Offset, JobId)>,
    ended: BTreeSet<(Offset, JobId)>,
    by_worker: HashMap<WorkerId, BTreeSet<TaskId>>,
    usage: BTreeMap<TeamId, Resources>,
}

impl Index {
    /// Takes in `job`, which is not in the index.
    pub(super) fn add(&mut self, job: &Job) {
        match job.state() {
            State::Waiting { .. } => self.waiting.insert((job.accepted_offset(), job.id())),
            State::Active(_) => self.active.insert((job.accepted_offset(), job.id())),
            State::Ended(ended) => self.ended.insert((ended.offset, job.id())),
        };
        for (task, worker) in job.running() {
            self.add_task(job, task, worker);
        }
    }

    /// Takes out `job`, which is in the index in its present state.
    pub(super) fn remove(&mut self, job: &Job) {
        match job.state() {
            State::Waiting { .. } => self.waiting.remove(&(job.accepted_offset(), job.id())),
            State::Active(_) => self.active.remove(&(job.accepted_offset(), job.id())),
            State::Ended(ended) => self.ended.remove(&(ended.offset, job.id())),
        };
        for (task, worker) in job.running() {
            self.remove_task(job, task, &worker);
        }
    }

    /// Takes out one task of `job`, right before its end is noted.
    pub(super) fn remove_task(&mut self, job: &Job, task: TaskId, worker: &WorkerId) {
        if let Some(tasks) = self.by_worker.get_mut(worker) {
            tasks.remove(&task);
            if tasks.is_empty() {
                self.by_worker.remove(worker);
            }
        }
        let Some(usage) = self.usage.get_mut(job.team()) else { return };
        *usage = usage.minus(&job.each());
        if usage.is_zero() {
            self.usage.remove(job.team());
        }
    }

    fn add_task(&mut self, job: &Job, task: TaskId, worker: WorkerId) {
        self.by_worker.entry(worker).or_default().insert(task);
        let usage = self.usage.entry(job.team().clone()).or_default();
        *usage = usage.plus(&job.each());
    }

    pub(super) fn waiting(&self) -> impl Iterator<Item = JobId> {
        self.waiting.iter().map(|(_, id)| *id)
    }

    pub(super) fn active(&self) -> impl Iterator<Item = JobId> {
        self.active.iter().map(|(_, id)| *id)
    }

    /// Ended jobs, the longest ended first.
    pub(super) fn ended(&self) -> impl Iterator<Item = JobId> {
        self.ended.iter().map(|(_, id)| *id)
    }

    pub(super) fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn active_len(&self) -> usize {
        self.active.len()
    }

    pub(super) fn ended_len(&self) -> usize {
        self.ended.len()
    }

    pub(super) fn tasks_on(&self, worker: &WorkerId) -> impl Iterator<Item = TaskId> {
        self.by_worker.get(worker).into_iter().flatten().copied()
    }

    pub(super) fn team_usage(&self) -> &BTreeMap<TeamId, Resources> {
        &self.usage
    }
}
