//! The order in which waiting steps get room.

use lilacpass_jobs::{Job, StepName};

/// Place of a step among those that wait; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Priority of its queue.
    pub priority: u32,
    /// When its job is late, as time of day in milliseconds since 1970.
    pub late_from_ms: u64,
    /// Tells apart what is equal otherwise.
    pub step: StepName,
}

impl Rank {
    /// The place before all steps of the same priority.
    pub fn first_of_priority(self) -> Self {
        Self { late_from_ms: 0, ..self }
    }
}

/// The rank of a step. Within a priority the job that is late first comes first, so that a short job
/// is not kept behind a long one that has time.
pub fn of_step(job: &Job, step: StepName) -> Rank {
    let start_ms = job.accepted_ms.max(job.due_ms(step.occurrence));
    let stretched_ms = job.queue.stretch.max(1.0) * longest_chain_ms(job) as f64;
    let late_from_ms = start_ms + u64::from(job.queue.objective_ms) + stretched_ms as u64;
    Rank { priority: job.queue.priority, late_from_ms, step }
}

/// The estimated time of the longest chain of steps.
pub fn longest_chain_ms(job: &Job) -> u64 {
    let mut ends_ms: Vec<u64> = Vec::with_capacity(job.plan.steps.len());
    for step in &job.plan.steps {
        let start_ms = step.after.iter().map(|&earlier| ends_ms[earlier as usize]).max();
        ends_ms.push(start_ms.unwrap_or(0) + u64::from(step.estimate_ms));
    }
    ends_ms.into_iter().max().unwrap_or(0)
}
