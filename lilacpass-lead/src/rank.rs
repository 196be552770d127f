//! The order in which waiting steps are scheduled.

use lilacpass_jobs::{Job, StepName};
use lilacpass_schema::v1;

use crate::fair_use::Band;

/// Position of a step in scheduling order. The smallest rank comes first; the fields are compared in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Whether the account of the job had used up its share when the job was accepted. Such work uses what is left.
    pub is_beyond_share: bool,
    /// Priority of the step's queue. A smaller number is more urgent.
    pub priority: u32,
    /// How much the account of the job uses compared with its fair part.
    pub band: Band,
    /// Time from which the job counts as late, in ms since the Unix epoch.
    pub late_from_ms: u64,
    /// Name of the step, which breaks ties.
    pub step: StepName,
}

impl Rank {
    /// Returns a rank before all steps of the same priority, including those within the shares of their accounts and in
    /// earlier bands.
    pub fn first_of_priority(self) -> Self {
        Self { is_beyond_share: false, band: Band::FIRST, late_from_ms: 0, ..self }
    }
}

/// Computes the rank of a step. Within a priority and a band, the job that becomes late first comes first, so that a short job
/// does not wait behind a long one with time to spare.
pub fn of_step(job: &Job, step: StepName, band: Band) -> Rank {
    let start_ms = job.accepted_ms.max(job.due_ms(step.occurrence));
    let stretched_ms = job.queue.stretch.max(1.0) * critical_path_ms(job) as f64;
    let late_from_ms = start_ms + u64::from(job.queue.objective_ms) + stretched_ms as u64;
    let priority = job.queue.priority;
    Rank { is_beyond_share: job.is_beyond_share, priority, band, late_from_ms, step }
}

/// Returns the duration of the longest chain of dependent steps in ms, by the estimates of the client.
pub fn critical_path_ms(job: &Job) -> u64 {
    longest_chain_ms(job, |step| u64::from(step.estimate_ms))
}

/// Returns the duration of the longest chain of dependent steps in ms, of which each takes `duration_ms`.
pub fn longest_chain_ms(job: &Job, duration_ms: impl Fn(&v1::WorkStep) -> u64) -> u64 {
    let mut ends_ms: Vec<u64> = Vec::with_capacity(job.plan.steps.len());
    for step in &job.plan.steps {
        let start_ms = step.after.iter().map(|&earlier| ends_ms[earlier as usize]).max();
        ends_ms.push(start_ms.unwrap_or(0) + duration_ms(step));
    }
    ends_ms.into_iter().max().unwrap_or(0)
}
