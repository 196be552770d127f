//! Room that is kept for a step until it can use it.
//!
//! Load pattern: a full pool, in which room falls free in small parts. What several parts together would
//! hold never starts, because each part goes to a small task at once.
//!
//! A reservation keeps out the steps that come later in the order. One that is kept ahead, for a step that has
//! waited for long, keeps out all of its own priority too. A more urgent step is never held up by either.

use std::collections::{BTreeMap, HashMap};

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, StepName, WorkerName};

use crate::rank::Rank;

/// Room on one worker.
pub type Share = (WorkerName, Resources);

/// The reservations of all steps.
#[derive(Debug, Default)]
pub struct Reservations {
    by_worker: BTreeMap<WorkerName, Vec<(Rank, Resources)>>,
    by_step: HashMap<StepName, Booking>,
}

/// What is reserved for one step.
#[derive(Debug)]
struct Booking {
    workers: Vec<WorkerName>,
    until_ms: u64,
    /// The pool whose room is kept ahead; none where the room is there, or is being made.
    advance_in: Option<String>,
}

impl Reservations {
    /// Reserves room for a step until a time on the steady clock, in place of what was reserved for it
    /// before.
    pub fn set(&mut self, rank: Rank, shares: Vec<Share>, until_ms: u64) {
        self.book(rank, rank, shares, until_ms);
    }

    /// The same, against all steps that come after the place `as_if`.
    fn book(&mut self, rank: Rank, as_if: Rank, shares: Vec<Share>, until_ms: u64) {
        self.release(rank.step);
        let workers = shares.iter().map(|(worker, _)| worker.clone()).collect();
        self.by_step.insert(rank.step, Booking { workers, until_ms, advance_in: None });
        for (worker, room) in shares {
            self.by_worker.entry(worker).or_default().push((as_if, room));
        }
    }

    /// The steps for which room is kept ahead, by name.
    pub fn steps_with_advance(&self) -> Vec<StepName> {
        let ahead = self.by_step.iter().filter(|(_, booking)| booking.advance_in.is_some());
        let mut steps: Vec<StepName> = ahead.map(|(step, _)| *step).collect();
        steps.sort_unstable();
        steps
    }

    /// Reserves room that has yet to fall free on workers of a pool, against all that is not more urgent.
    /// Otherwise steps of the same priority that come earlier in order would take it again and again.
    pub fn set_advance(&mut self, rank: Rank, shares: Vec<Share>, until_ms: u64, service: &str) {
        self.book(rank, rank.first_of_priority(), shares, until_ms);
        if let Some(booking) = self.by_step.get_mut(&rank.step) {
            booking.advance_in = Some(service.to_owned());
        }
    }

    /// How many steps have room kept ahead in a pool.
    pub fn advance_count(&self, service: &str) -> usize {
        let is_there = |booking: &&Booking| booking.advance_in.as_deref() == Some(service);
        self.by_step.values().filter(is_there).count()
    }

    /// Gives up what is reserved for a step. Returns the workers on which that was.
    pub fn release(&mut self, step: StepName) -> Vec<WorkerName> {
        let workers = self.by_step.remove(&step).map(|booking| booking.workers).unwrap_or_default();
        for worker in &workers {
            let Some(shares) = self.by_worker.get_mut(worker) else { continue };
            shares.retain(|(rank, _)| rank.step != step);
            if shares.is_empty() {
                self.by_worker.remove(worker);
            }
        }
        workers
    }

    /// A task of a step has been given room on a worker: that much less is kept there.
    pub fn consume(&mut self, step: StepName, worker: &WorkerName, need: &Resources) {
        let Some(shares) = self.by_worker.get_mut(worker) else { return };
        for (rank, room) in shares.iter_mut() {
            if rank.step == step {
                *room = room.minus(need);
            }
        }
    }

    /// Gives up what is reserved for all steps of a job. Returns the workers on which that was.
    pub fn release_job(&mut self, job: JobKey) -> Vec<WorkerName> {
        let steps: Vec<StepName> =
            self.by_step.keys().copied().filter(|step| step.job == job).collect();
        steps.into_iter().flat_map(|step| self.release(step)).collect()
    }

    /// Gives up the reservations whose time is over. Returns the workers on which they were.
    pub fn expire(&mut self, now_ms: u64) -> Vec<WorkerName> {
        let over: Vec<StepName> = self
            .by_step
            .iter()
            .filter(|(_, booking)| now_ms >= booking.until_ms)
            .map(|(step, _)| *step)
            .collect();
        over.into_iter().flat_map(|step| self.release(step)).collect()
    }

    /// The workers on which something is reserved for a step.
    pub fn workers_of(&self, step: StepName) -> &[WorkerName] {
        self.by_step.get(&step).map(|booking| booking.workers.as_slice()).unwrap_or_default()
    }

    /// Whether something is reserved for a step.
    pub fn has(&self, step: StepName) -> bool {
        self.by_step.contains_key(&step)
    }

    /// What is reserved on a worker for steps that come before `rank`.
    pub fn reserved_before(&self, rank: &Rank, worker: &WorkerName) -> Resources {
        if self.by_worker.is_empty() {
            return Resources::ZERO;
        }
        let shares = self.by_worker.get(worker).map(Vec::as_slice).unwrap_or_default();
        let earlier = shares.iter().filter(|(other, _)| other < rank && other.step != rank.step);
        earlier.fold(Resources::ZERO, |sum, (_, room)| sum.plus(room))
    }
}
