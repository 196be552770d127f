//! Models of the store and the advice service: how long a call takes, and what it brings.

use std::hash::{DefaultHasher, Hash, Hasher};

use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_lead::event::{Advice, WorkerTicket};

use crate::scenario::{FaultKind, Scenario};

/// Whether a fault of a kind acts now, and how strong it is; the strongest where there are several.
pub fn strength(scenario: &Scenario, kind: FaultKind, now_ms: u64) -> Option<f64> {
    let acting = scenario.faults.iter().filter(|f| f.kind == kind && f.acts_at(now_ms));
    acting.map(|fault| fault.x).max_by(f64::total_cmp)
}

/// How long an append takes that is sent now; none where the store refuses it.
pub fn append_ms(scenario: &Scenario, now_ms: u64) -> Option<u64> {
    if strength(scenario, FaultKind::StoreDown, now_ms).is_some() {
        return None;
    }
    let times = strength(scenario, FaultKind::StoreSlow, now_ms).unwrap_or(1.0);
    Some((scenario.store.append_ms as f64 * times) as u64)
}

/// What the advice service says about workers for a step, and after how long; no answer where it is
/// silent. The same step and worker always get the same answer.
pub fn advise(
    scenario: &Scenario,
    step: StepName,
    workers: &[WorkerName],
    now_ms: u64,
) -> (u64, Option<Advice>) {
    /// A call that is not answered is given up after so long.
    const SILENCE_MS: u64 = 1_500;
    if strength(scenario, FaultKind::AdviceSilent, now_ms).is_some() {
        return (SILENCE_MS, None);
    }
    let advice = &scenario.advice;
    let takes_ms = advice.base_ms + advice.per_worker_ms * workers.len() as f64;
    let is_allowed = |worker: &&WorkerName| {
        let mut hasher = DefaultHasher::new();
        (step, worker.as_str()).hash(&mut hasher);
        hasher.finish() % 100 < advice.allowed_percent
    };
    let ticket =
        |worker: &WorkerName| WorkerTicket { worker: worker.clone(), ticket: "t".to_owned() };
    let good = workers.iter().filter(is_allowed).map(ticket).collect();
    (takes_ms as u64, Some(Advice { good, valid_ms: u64::from(advice.valid_ms) }))
}
