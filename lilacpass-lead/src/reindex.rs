//! Which steps wait for room, after something has changed for their job.
//!
//! Load pattern: jobs that repeat, with steps of hundreds of tasks. Each start and each end changes one step; going
//! through all tasks of the job for each took a time that grew with the square of their number.

use lilacpass_jobs::{JobKey, Outcome, StepName, job::Step};

use crate::{
    event::Now,
    leader::{JobEntry, Leader},
    rank,
    waiting::StepKind,
};

impl Leader {
    /// Updates which steps of a job wait for room.
    pub(crate) fn reindex(&mut self, key: JobKey, now: Now) {
        self.reindex_where(key, |_| true, now);
    }

    /// The same where only tasks of one step have changed: it, and the steps that may wait for it.
    pub(crate) fn reindex_step(&mut self, changed: StepName, now: Now) {
        let is_open = |entry: &JobEntry| entry.job.outcome == Outcome::Open;
        if !self.jobs.get(&changed.job).is_some_and(is_open) {
            return self.reindex(changed.job, now);
        }
        let may_differ =
            |step: StepName| step.occurrence == changed.occurrence && step.step >= changed.step;
        self.reindex_where(changed.job, may_differ, now);
    }

    /// Updates the steps that may differ. All others of the job that wait are looked at in the next round
    /// too.
    fn reindex_where(&mut self, key: JobKey, may_differ: impl Fn(StepName) -> bool, now: Now) {
        let Some(entry) = self.jobs.get(&key) else { return };
        let job = &entry.job;
        let mut next_due_ms = None;
        for name in job.step_names() {
            if !may_differ(name) {
                if self.waiting.rank_of(name).is_some() {
                    self.pending_changes.mark_step_changed(name);
                }
                continue;
            }
            let waits = waits(entry, name);
            if waits && job.step_may_start(name, now.unix_ms) {
                let sort = StepKind::of(job.step_plan(name.step), job.queue.advice.is_some());
                if self.waiting.add(name, sort, now.steady_ms, || rank::of_step(job, name)) {
                    // It asks from the next round on.
                    self.advice_queue.delay(name, now.steady_ms);
                }
                self.pending_changes.mark_step_changed(name);
                continue;
            }
            if self.waiting.remove(name) {
                self.advice_queue.remove(name);
            }
            let due_ms = job.due_ms(name.occurrence);
            if waits && job.outcome == Outcome::Open && due_ms > now.unix_ms {
                next_due_ms = Some(next_due_ms.map_or(due_ms, |ms: u64| ms.min(due_ms)));
            }
        }
        if let Some(due_ms) = next_due_ms {
            self.upcoming_occurrences.insert((due_ms, key));
        }
    }
}

/// Whether a step has tasks to start; all of them, for a gang.
fn waits(entry: &JobEntry, name: StepName) -> bool {
    let job = &entry.job;
    if job.step_plan(name.step).gang {
        return job.step(name).is_some_and(Step::all_waiting);
    }
    job.step(name).is_some() && job.task_names(name).any(|task| entry.needs_run(task))
}
