//! Counts the open jobs by priority.

use std::collections::BTreeMap;

use lilacpass_jobs::{Job, Outcome};

/// Numbers of open jobs by priority.
#[derive(Debug, Default)]
pub struct OpenJobs {
    /// Of all open jobs.
    all: BTreeMap<u32, usize>,
    /// Of those without long-running tasks.
    terminating: BTreeMap<u32, usize>,
}

impl OpenJobs {
    /// Counts a job that is now known, unless it has ended.
    pub fn add(&mut self, job: &Job) {
        if job.outcome != Outcome::Open {
            return;
        }
        let priority = job.queue.priority;
        *self.all.entry(priority).or_default() += 1;
        if terminates(job) {
            *self.terminating.entry(priority).or_default() += 1;
        }
    }

    /// Counts the end of a job that was open.
    pub fn remove(&mut self, job: &Job) {
        let priority = job.queue.priority;
        decrement(&mut self.all, priority);
        if terminates(job) {
            decrement(&mut self.terminating, priority);
        }
    }

    /// Returns the greatest urgency (the lowest priority number) of an open job that terminates; 0 if there is none.
    pub fn most_urgent_priority(&self) -> u32 {
        self.terminating.first_key_value().map_or(0, |(priority, _)| *priority)
    }

    /// Returns the lowest urgency (the greatest priority number) of an open job; 0 if there is none.
    pub fn least_urgent_priority(&self) -> u32 {
        self.all.last_key_value().map_or(0, |(priority, _)| *priority)
    }
}

fn terminates(job: &Job) -> bool {
    !job.plan.steps.iter().any(|step| step.lasting)
}

fn decrement(counts: &mut BTreeMap<u32, usize>, priority: u32) {
    if let Some(count) = counts.get_mut(&priority) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&priority);
        }
    }
}
