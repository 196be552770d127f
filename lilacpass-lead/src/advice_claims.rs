//! Capacity that the calls for advice in progress are expected to use.
//!
//! Load pattern: a nearly full cell in which a hundred wide steps wait, twenty calls for advice are in progress, and each
//! worker has capacity for one or two tasks. All calls named the workers with the most free capacity, so that by the time
//! of the responses it was taken: of fifteen allowed workers in a response four still had capacity, while a sixth of the
//! cell stayed free. With claims, each call names workers whose capacity no earlier step is about to use.
//!
//! Claims decide only which workers are named. They keep no step from being placed.

use std::collections::HashSet;

use lilacpass_core::{Resources, hash_map::HashMap};
use lilacpass_jobs::{StepName, WorkerName};

use crate::{advice::Candidate, rank::Rank};

/// The claims of all steps with a call in progress.
#[derive(Debug, Default)]
pub struct AdviceClaims {
    by_worker: HashMap<WorkerName, Vec<(Rank, Resources)>>,
    by_step: HashMap<StepName, Vec<WorkerName>>,
}

impl AdviceClaims {
    /// Claims capacity for the step of `rank` until [`AdviceClaims::release`].
    pub fn set(&mut self, rank: Rank, claims: Vec<(WorkerName, Resources)>) {
        self.release(rank.step);
        let workers = claims.iter().map(|(worker, _)| worker.clone()).collect();
        self.by_step.insert(rank.step, workers);
        for (worker, claim) in claims {
            self.by_worker.entry(worker).or_default().push((rank, claim));
        }
    }

    /// Releases the claims of a step.
    pub fn release(&mut self, step: StepName) {
        for worker in self.by_step.remove(&step).unwrap_or_default() {
            let Some(claims) = self.by_worker.get_mut(&worker) else { continue };
            claims.retain(|(rank, _)| rank.step != step);
            if claims.is_empty() {
                self.by_worker.remove(&worker);
            }
        }
    }

    /// Returns the capacity of a worker that steps before `rank` have claimed. A step that ranks before another one gets
    /// the capacity in any case, so claims of later steps don't count.
    pub fn claimed_before(&self, rank: &Rank, worker: &WorkerName) -> Resources {
        let claims = self.by_worker.get(worker).map(Vec::as_slice).unwrap_or_default();
        let earlier = claims.iter().filter(|(other, _)| other < rank);
        earlier.fold(Resources::ZERO, |sum, (_, claim)| sum.plus(claim))
    }

    /// Returns the number of steps with claims.
    pub fn len(&self) -> usize {
        self.by_step.len()
    }

    /// Returns whether no step has claims.
    pub fn is_empty(&self) -> bool {
        self.by_step.is_empty()
    }
}

/// Returns what a step is expected to use on the workers that its call names: on each one what its tasks need there, times
/// the probability that the step is allowed to run there.
pub fn expected_use(
    candidates: &[Candidate],
    named: &[WorkerName],
    need: &Resources,
    allowed_share: f64,
) -> Vec<(WorkerName, Resources)> {
    // A call names up to a hundred workers, and there may be twice as many candidates.
    let named: HashSet<&WorkerName> = named.iter().collect();
    let is_named = |candidate: &&Candidate| named.contains(&candidate.worker);
    let claim = |candidate: &Candidate| {
        let share = if candidate.known_allowed { 1.0 } else { allowed_share };
        let tasks = candidate.task_capacity as f64 * share;
        let expected = |amount: u64| (amount as f64 * tasks) as u64;
        let (cpu_milli, memory_mb) = (expected(need.cpu.0), expected(need.memory.0));
        let claim = Resources::new(cpu_milli, memory_mb, expected(need.accelerators.0), 0);
        (candidate.worker.clone(), claim)
    };
    candidates.iter().filter(is_named).map(claim).collect()
}
