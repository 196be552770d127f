//! The workers of a simulation: their registrations and their faults.

use std::hash::{DefaultHasher, Hash, Hasher};

use lilacpass_jobs::WorkerName;
use lilacpass_lead::event::Registration;

use crate::scenario::{FaultKind, Pool, Scenario};

/// Identifies a worker and a time, to query the faults of the worker at that time.
#[derive(Clone, Copy, Debug)]
pub struct WorkerConditions<'a> {
    /// The simulated scenario.
    pub scenario: &'a Scenario,
    /// The seed of the simulation.
    pub seed: u64,
    /// Index of the worker.
    pub worker: usize,
    /// Time in milliseconds since the start of the scenario.
    pub at_ms: u64,
}

impl WorkerConditions<'_> {
    /// Returns the strength of a fault on this worker, or `None` if the worker is not affected. A fault affects the
    /// same workers as long as it lasts.
    pub fn strength(&self, kind: FaultKind) -> Option<f64> {
        let mut faults = self.scenario.faults.iter().enumerate();
        faults.find_map(|(number, fault)| {
            let is_affected = pseudo_random(&(self.seed, number, self.worker)) < fault.share;
            let is_active = fault.kind == kind && fault.is_active_at(self.at_ms) && is_affected;
            is_active.then_some(fault.x)
        })
    }
}

/// Returns a pseudo-random number in `0.0..1.0` that depends only on `value`.
pub fn pseudo_random(value: &impl Hash) -> f64 {
    /// Number of possible results.
    const RESOLUTION: u64 = 10_000;
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    (hasher.finish() % RESOLUTION) as f64 / RESOLUTION as f64
}

/// Returns the registrations of the workers of a pool.
pub fn registrations(pool: &Pool) -> Vec<Registration> {
    (0..pool.workers)
        .map(|number| {
            let rack = number / pool.rack_workers;
            let data_centre = rack % pool.data_centres;
            Registration {
                // The number comes first, as ids on the platform differ in their first bytes.
                name: WorkerName::new(&format!("{number:05}-{}", pool.service), Some(0)),
                address: format!("{}:{number}", pool.service),
                data_centre: format!("dc-{data_centre}"),
                service: pool.service.clone(),
                capacity: pool.capacity(number),
                labels: vec![pool.service.clone(), format!("rack-{rack}")],
                draining: false,
            }
        })
        .collect()
}
