//! Models of the store and the advice service: durations and results of calls.

use std::hash::{DefaultHasher, Hash, Hasher};

use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_lead::event::{Advice, WorkerTicket};

use crate::scenario::{Class, FaultKind, Scenario};

/// Returns the strength of the strongest active fault of a kind, or `None` if none is active.
pub fn fault_strength(scenario: &Scenario, kind: FaultKind, now_ms: u64) -> Option<f64> {
    let active = scenario.faults.iter().filter(|f| f.kind == kind && f.is_active_at(now_ms));
    active.map(|fault| fault.x).max_by(f64::total_cmp)
}

/// Returns the duration of an append that is sent now, or `None` if the store refuses it.
pub fn append_ms(scenario: &Scenario, now_ms: u64) -> Option<u64> {
    if fault_strength(scenario, FaultKind::StoreDown, now_ms).is_some() {
        return None;
    }
    let factor = fault_strength(scenario, FaultKind::StoreSlow, now_ms).unwrap_or(1.0);
    Some((scenario.store.append_ms as f64 * factor) as u64)
}

/// Returns the duration of a call of the advice service, and the advice, which is `None` if the service does not
/// respond. The advice for the same step and worker is always the same.
pub fn advise(
    scenario: &Scenario,
    class: &Class,
    step: StepName,
    workers: &[WorkerName],
    now_ms: u64,
) -> (u64, Option<Advice>) {
    /// Timeout of a call.
    const ADVICE_TIMEOUT_MS: u64 = 1_500;
    if fault_strength(scenario, FaultKind::AdviceSilent, now_ms).is_some() {
        return (ADVICE_TIMEOUT_MS, None);
    }
    let advice = scenario.advice_for(class);
    let duration_ms = advice.base_ms + advice.per_worker_ms * workers.len() as f64;
    let is_allowed = |worker: &&WorkerName| {
        let mut hasher = DefaultHasher::new();
        (step, worker.id()).hash(&mut hasher);
        hasher.finish() % 100 < advice.allowed_percent
    };
    let ticket =
        |worker: &WorkerName| WorkerTicket { worker: worker.clone(), ticket: "t".to_owned() };
    let good = workers.iter().filter(is_allowed).map(ticket).collect();
    (duration_ms as u64, Some(Advice { good, valid_ms: u64::from(scenario.advice.valid_ms) }))
}
