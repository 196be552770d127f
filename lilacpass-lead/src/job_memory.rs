//! Memory that the jobs of a leader take up, and whether there is room for another one.
//!
//! A body of a hundred bytes may ask for thousands of tasks, and jobs are kept until long after their end. Without a
//! limit, clients that hand in more than the cell can do make the leader run out of memory, and its successors too.

use lilacpass_jobs::plan;
use lilacpass_schema::v1;

/// Memory of a job beside its texts, steps and tasks.
const JOB_BYTES: u64 = 2_048;
/// Memory of a step beside its texts and tasks.
const STEP_BYTES: u64 = 320;
/// Memory of a task. A run takes up some more, but only as many tasks run as the workers have capacity for.
const TASK_BYTES: u64 = 128;
/// The payload is kept in the plan and for the start orders.
const PAYLOAD_COPIES: u64 = 2;

/// Estimated memory of the jobs that a leader knows, in bytes.
#[derive(Debug, Default)]
pub struct JobMemory {
    bytes: u64,
}

impl JobMemory {
    /// Adds a job that is known from now on.
    pub fn add(&mut self, plan: &v1::WorkPlan) {
        self.bytes += estimate(plan);
    }

    /// Removes a job that is not known any more.
    pub fn remove(&mut self, plan: &v1::WorkPlan) {
        self.bytes -= estimate(plan);
    }

    /// Returns the estimated memory of all jobs, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns whether another job may be added if all jobs may take up `max_bytes`. A single job always may.
    pub fn has_room(&self, plan: &v1::WorkPlan, max_bytes: u64) -> bool {
        self.bytes == 0 || self.bytes + estimate(plan) <= max_bytes
    }
}

/// Estimates the memory of a job, in bytes.
pub fn estimate(plan: &v1::WorkPlan) -> u64 {
    let steps = plan.steps.len() as u64;
    let each_occurrence = steps * STEP_BYTES + plan::tasks_per_occurrence(plan) * TASK_BYTES;
    let payload = plan.payload.len() as u64 * PAYLOAD_COPIES;
    let labels = plan::label_bytes(plan) as u64;
    JOB_BYTES + payload + labels + plan::occurrences(plan) * each_occurrence
}
