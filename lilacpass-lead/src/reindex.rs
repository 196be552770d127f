//! Updates which steps of a job wait for capacity after the job has changed.
//!
//! Load pattern: repeating jobs with steps of hundreds of tasks. Each start and each end changes one step, so going
//! through all tasks of the job every time took time quadratic in their number.

use lilacpass_jobs::{JobKey, Outcome, StepName};

use crate::{
    event::Now, job_entry::JobEntry, leader::Leader, place, rank, waiting::StepKind, work::Part,
};

impl Leader {
    /// Updates which steps of a job wait for capacity.
    pub(crate) fn reindex(&mut self, key: JobKey, now: Now) {
        self.reindex_steps(key, |_| true, now);
    }

    /// Like `reindex`, for a job of which only tasks of one step have changed. While the job is open, this updates only
    /// that step and those that may depend on it.
    pub(crate) fn reindex_step(&mut self, changed: StepName, now: Now) {
        let is_open = |entry: &JobEntry| entry.job.outcome == Outcome::Open;
        if !self.jobs.get(&changed.job).is_some_and(is_open) {
            return self.reindex(changed.job, now);
        }
        let may_have_changed =
            |step: StepName| step.occurrence == changed.occurrence && step.step >= changed.step;
        self.reindex_steps(changed.job, may_have_changed, now);
    }

    /// Updates the steps that may have changed. The next round examines those that begin to wait.
    ///
    /// A step that waited before has tasks left that could not be placed, so that another task of it changes nothing.
    /// Capacity that the end of its run has freed is marked by itself.
    fn reindex_steps(
        &mut self,
        key: JobKey,
        may_have_changed: impl Fn(StepName) -> bool,
        now: Now,
    ) {
        let Some(entry) = self.jobs.get(&key) else { return };
        let job = &entry.job;
        let mut next_due_ms = None;
        for name in job.step_names() {
            self.visits.add(Part::JobUpdate, 1);
            if !may_have_changed(name) {
                continue;
            }
            let is_waiting = has_waiting_tasks(entry, name);
            if is_waiting && job.step_may_start(name, now.unix_ms) {
                let plan = job.step_plan(name.step);
                let kind = StepKind::of(plan, job.queue.advice.is_some());
                let rank = || rank::of_step(job, name, self.fair_use.band_of(entry.account));
                if self.waiting.add(name, kind, place::need(plan), now.steady_ms, rank) {
                    // It may request advice from the next round on.
                    self.advice_queue.delay(name, now.steady_ms);
                    self.pending_changes.mark_step_changed(name);
                }
                continue;
            }
            if self.waiting.remove(name) {
                self.advice_queue.remove(name);
            }
            let due_ms = job.due_ms(name.occurrence);
            if is_waiting && job.outcome == Outcome::Open && due_ms > now.unix_ms {
                next_due_ms = Some(next_due_ms.map_or(due_ms, |ms: u64| ms.min(due_ms)));
            }
        }
        if let Some(due_ms) = next_due_ms {
            self.upcoming_occurrences.insert((due_ms, key));
        }
    }
}

/// Returns whether a step has tasks to start. All tasks of a gang must be waiting.
fn has_waiting_tasks(entry: &JobEntry, name: StepName) -> bool {
    let Some(step) = entry.job.step(name) else { return false };
    if entry.job.step_plan(name.step).gang {
        return step.all_waiting();
    }
    step.waiting().len() > 0 || entry.copies_to_start(name).next().is_some()
}
