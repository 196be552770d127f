//! Capacity that is reserved for a step until the step can use it.
//!
//! Load pattern: a full pool in which capacity becomes free in small parts. A task that needs several parts together
//! would never start, because each part is immediately taken by a small task.
//!
//! Steps that come later in scheduling order can't use reserved capacity. An advance reservation is made for a step
//! that has waited for long, on capacity that is not free yet, and also excludes all other steps of the same priority.
//! Neither kind of reservation delays a more urgent step.

use std::collections::BTreeMap;

use lilacpass_core::{Resources, hash_map::HashMap};
use lilacpass_jobs::{JobKey, StepName, WorkerName};

use crate::rank::Rank;

/// A worker, and the capacity that is reserved on it.
pub type Share = (WorkerName, Resources);

/// The reservations of all steps.
#[derive(Debug, Default)]
pub struct Reservations {
    /// The reserved capacities on each worker, each with a rank. Steps that come after this rank can't use the
    /// capacity. For an advance reservation, the rank comes before all steps of the same priority.
    by_worker: BTreeMap<WorkerName, Vec<(Rank, Resources)>>,
    by_step: HashMap<StepName, Reservation>,
}

/// The reservation of one step.
#[derive(Debug)]
struct Reservation {
    workers: Vec<WorkerName>,
    /// Expiry in ms on the monotonic clock.
    until_ms: u64,
    /// Service of an advance reservation; `None` if the capacity is already free or is being freed by preemption.
    advance_service: Option<String>,
}

impl Reservation {
    /// Returns the rank that steps are compared with, for a step with `rank`.
    fn effective_rank(&self, rank: Rank) -> Rank {
        if self.advance_service.is_some() { rank.first_of_priority() } else { rank }
    }
}

impl Reservations {
    /// Reserves capacity for a step until `until_ms` on the monotonic clock. Replaces an earlier reservation of the
    /// step.
    pub fn set(&mut self, rank: Rank, shares: Vec<Share>, until_ms: u64) {
        self.reserve(rank, rank, shares, until_ms);
    }

    /// Reserves capacity against all steps that rank after `effective_rank`.
    fn reserve(&mut self, rank: Rank, effective_rank: Rank, shares: Vec<Share>, until_ms: u64) {
        self.release(rank.step);
        let workers = shares.iter().map(|(worker, _)| worker.clone()).collect();
        self.by_step.insert(rank.step, Reservation { workers, until_ms, advance_service: None });
        for (worker, capacity) in shares {
            self.by_worker.entry(worker).or_default().push((effective_rank, capacity));
        }
    }

    /// Returns the steps that have an advance reservation, sorted by name.
    pub fn steps_with_advance(&self) -> Vec<StepName> {
        let with_advance =
            self.by_step.iter().filter(|(_, reservation)| reservation.advance_service.is_some());
        let mut steps: Vec<StepName> = with_advance.map(|(step, _)| *step).collect();
        steps.sort_unstable();
        steps
    }

    /// Reserves capacity that is not free yet on workers of a service. It is reserved against all steps that are not
    /// more urgent, because otherwise earlier steps of the same priority would take it again and again.
    pub fn set_advance(&mut self, rank: Rank, shares: Vec<Share>, until_ms: u64, service: &str) {
        self.reserve(rank, rank.first_of_priority(), shares, until_ms);
        if let Some(reservation) = self.by_step.get_mut(&rank.step) {
            reservation.advance_service = Some(service.to_owned());
        }
    }

    /// Returns the number of steps that have an advance reservation on workers of a service.
    pub fn advance_count(&self, service: &str) -> usize {
        let is_for_service =
            |reservation: &&Reservation| reservation.advance_service.as_deref() == Some(service);
        self.by_step.values().filter(is_for_service).count()
    }

    /// Gives the reservation of a step a new rank.
    pub fn set_rank(&mut self, rank: Rank) {
        let Some(reservation) = self.by_step.get(&rank.step) else { return };
        let effective_rank = reservation.effective_rank(rank);
        for worker in &reservation.workers {
            let shares = self.by_worker.get_mut(worker).into_iter().flatten();
            for (other, _) in shares.filter(|(other, _)| other.step == rank.step) {
                *other = effective_rank;
            }
        }
    }

    /// Returns whether the reservation of a step, if it has one, has this rank on all workers.
    pub fn is_consistent(&self, rank: &Rank) -> bool {
        self.by_step.get(&rank.step).is_none_or(|reservation| {
            let effective_rank = reservation.effective_rank(*rank);
            let shares = self.by_worker.values().flatten();
            shares
                .filter(|(other, _)| other.step == rank.step)
                .all(|(other, _)| *other == effective_rank)
        })
    }

    /// Releases the reservation of a step. Returns the workers that it was on.
    pub fn release(&mut self, step: StepName) -> Vec<WorkerName> {
        let workers =
            self.by_step.remove(&step).map(|reservation| reservation.workers).unwrap_or_default();
        for worker in &workers {
            let Some(shares) = self.by_worker.get_mut(worker) else { continue };
            shares.retain(|(rank, _)| rank.step != step);
            if shares.is_empty() {
                self.by_worker.remove(worker);
            }
        }
        workers
    }

    /// Reduces the reservation of a step on a worker after one of its tasks was assigned there.
    pub fn consume(&mut self, step: StepName, worker: &WorkerName, need: &Resources) {
        let Some(shares) = self.by_worker.get_mut(worker) else { return };
        for (rank, capacity) in shares.iter_mut() {
            if rank.step == step {
                *capacity = capacity.minus(need);
            }
        }
    }

    /// Releases the reservations of all steps of a job. Returns the workers that they were on.
    pub fn release_job(&mut self, job: JobKey) -> Vec<WorkerName> {
        let steps: Vec<StepName> =
            self.by_step.keys().copied().filter(|step| step.job == job).collect();
        steps.into_iter().flat_map(|step| self.release(step)).collect()
    }

    /// Releases the reservations that have expired. Returns the workers that they were on.
    pub fn expire(&mut self, now_ms: u64) -> Vec<WorkerName> {
        let expired: Vec<StepName> = self
            .by_step
            .iter()
            .filter(|(_, reservation)| now_ms >= reservation.until_ms)
            .map(|(step, _)| *step)
            .collect();
        expired.into_iter().flat_map(|step| self.release(step)).collect()
    }

    /// Returns the workers on which capacity is reserved for a step.
    pub fn workers_of(&self, step: StepName) -> &[WorkerName] {
        self.by_step
            .get(&step)
            .map(|reservation| reservation.workers.as_slice())
            .unwrap_or_default()
    }

    /// Returns whether a step has a reservation.
    pub fn has(&self, step: StepName) -> bool {
        self.by_step.contains_key(&step)
    }

    /// Returns the capacity that is reserved on a worker for other steps and that the step with `rank` can't use.
    pub fn reserved_before(&self, rank: &Rank, worker: &WorkerName) -> Resources {
        if self.by_worker.is_empty() {
            return Resources::ZERO;
        }
        let shares = self.by_worker.get(worker).map(Vec::as_slice).unwrap_or_default();
        let earlier = shares.iter().filter(|(other, _)| other < rank && other.step != rank.step);
        earlier.fold(Resources::ZERO, |sum, (_, capacity)| sum.plus(capacity))
    }
}
