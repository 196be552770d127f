//! The workers of a play: how they register, and which of them are slow or fail.

use std::hash::{DefaultHasher, Hash, Hasher};

use lilacpass_core::Resources;
use lilacpass_jobs::WorkerName;
use lilacpass_lead::event::Registration;

use crate::scenario::{FaultKind, Pool, Scenario};

/// What is wrong with a worker at a time.
#[derive(Clone, Copy, Debug)]
pub struct Conditions<'a> {
    /// What is played.
    pub scenario: &'a Scenario,
    /// The seed of the play.
    pub seed: u64,
    /// Number of the worker.
    pub worker: usize,
    /// Milliseconds from the first job.
    pub at_ms: u64,
}

impl Conditions<'_> {
    /// How strong a fault is here; none where it does not act. The same workers have it as long as it lasts.
    pub fn strength(&self, kind: FaultKind) -> Option<f64> {
        let mut faults = self.scenario.faults.iter().enumerate();
        faults.find_map(|(number, fault)| {
            let is_hit = drawn(&(self.seed, number, self.worker)) < fault.share;
            let acts = fault.kind == kind && fault.acts_at(self.at_ms) && is_hit;
            acts.then_some(fault.x)
        })
    }
}

/// A number from 0 to below 1 that is always the same for the same value.
pub fn drawn(value: &impl Hash) -> f64 {
    /// Steps between 0 and 1.
    const STEPS: u64 = 10_000;
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    (hasher.finish() % STEPS) as f64 / STEPS as f64
}

/// The workers of a pool as they register.
pub fn registrations(pool: &Pool) -> Vec<Registration> {
    let capacity = Resources::new(pool.cores * 1_000, pool.memory_mb, pool.accelerators, 0);
    (0..pool.workers)
        .map(|number| {
            let rack = number / pool.rack_workers;
            let data_centre = rack % pool.data_centres;
            Registration {
                name: WorkerName::from(format!("{}-{number:05}", pool.service).as_str()),
                address: format!("{}:{number}", pool.service),
                data_centre: format!("dc-{data_centre}"),
                service: pool.service.clone(),
                capacity,
                labels: vec![pool.service.clone(), format!("rack-{rack}")],
                draining: false,
            }
        })
        .collect()
}
