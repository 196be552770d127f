//! What follows when a run or a job ends.

use lilacpass_jobs::{EndReason, JobKey, RunEnd, StepName, TaskName, WorkerName, job::Change};

use crate::{event::Now, leader::Leader, options::Mechanism, outbox::OnStored, worker::RunKey};

impl Leader {
    /// Processes the end of a run on a worker, and what follows for its job.
    pub(crate) fn end_run(
        &mut self,
        worker_name: &WorkerName,
        key: RunKey,
        end: &RunEnd,
        now: Now,
    ) {
        let (task, run) = key;
        let mut assigned = None;
        if let Some(worker) = self.workers.get_mut(worker_name) {
            assigned = worker.remove_run(key);
            self.accounts.release(worker_name, key);
            self.capacity_index.update(worker, now.steady_ms);
            self.pending_changes.mark_worker_freed(worker_name);
        }
        let Some(entry) = self.jobs.get_mut(&task.step.job) else { return };
        let change = entry.job.end_run(task, worker_name, end, now.unix_ms);
        let outcome = entry.job.outcome;
        log::info!(
            how:% = end.reason, job = outcome.as_str(), task:% = task, run, worker:% = worker_name;
            "run ended"
        );
        if change == Change::None {
            return;
        }
        self.learn_from_end(worker_name, task, assigned, end.reason, now);
        if end.reason != EndReason::NeverStarted {
            self.outbox.pending.states.insert(task.step.job);
        }
        match change {
            Change::JobEnded => self.on_job_ended(task.step.job, now),
            Change::TaskDone => {
                self.stop_copies(task, now);
                if self.options.uses(Mechanism::NextStepAdvice) {
                    self.request_advice_for_next_steps(task.step, now);
                }
            }
            Change::None | Change::Waiting => {}
        }
        if end.reason != EndReason::Done {
            self.stop_gang_run(task, run, now);
        }
        self.reindex_step(task.step, now);
    }

    /// Stops the other members of a gang run that has lost a member. They would wait for it in vain for seconds, and
    /// occupy capacity meanwhile.
    fn stop_gang_run(&mut self, lost: TaskName, run: u32, now: Now) {
        let Some(entry) = self.jobs.get(&lost.step.job) else { return };
        if !entry.job.step_plan(lost.step.step).gang {
            return;
        }
        let members: Vec<(TaskName, WorkerName)> = entry
            .job
            .task_names(lost.step)
            .filter_map(|task| Some((task, entry.job.task(task)?.run(run)?.host.worker.clone())))
            .collect();
        for (task, worker) in members {
            self.stop_run(&worker, (task, run), now);
        }
    }

    /// Processes the end of a job: makes its outcome visible once it is stored, and stops its remaining runs.
    pub(crate) fn on_job_ended(&mut self, key: JobKey, now: Now) {
        self.crash_affected_jobs.remove(&key);
        if let Some(entry) = self.jobs.get(&key) {
            self.open_jobs.remove(&entry.job);
        }
        self.report_failure(key);
        self.outbox.pending.states.insert(key);
        self.outbox.when_stored(OnStored::PublishOutcome(key));
        self.stop_job(key, now);
        self.reindex(key, now);
        self.release_steps(key);
    }

    /// Drops the advice and the reservations of all steps of a job.
    pub(crate) fn release_steps(&mut self, key: JobKey) {
        let steps = self.jobs.get(&key).map(|entry| entry.job.step_names());
        for step in steps.into_iter().flatten() {
            self.forget_advice(step);
            self.forget_timed_runs(step);
        }
        for worker in self.reservations.release_job(key) {
            self.pending_changes.mark_worker_freed(&worker);
        }
    }

    /// Drops the advice about a step.
    fn forget_advice(&mut self, step: StepName) {
        self.advice_claims.release(step);
        let Some(advice) = self.advice.remove(&step) else { return };
        for worker in advice.ticketed() {
            self.remove_ticketed_step(worker, step);
        }
    }

    /// Stops all live runs of a job.
    pub(crate) fn stop_job(&mut self, key: JobKey, now: Now) {
        let live = self.jobs.get(&key).map(|entry| entry.job.live_runs()).unwrap_or_default();
        for (task, run) in live {
            self.stop_run(&run.host.worker, (task, run.number), now);
        }
    }

    /// Stops the remaining runs of a task that is done.
    fn stop_copies(&mut self, task: TaskName, now: Now) {
        let runs = self
            .jobs
            .get(&task.step.job)
            .and_then(|entry| entry.job.task(task))
            .map(|task| task.runs.clone())
            .unwrap_or_default();
        for run in runs {
            self.stop_run(&run.host.worker, (task, run.number), now);
        }
    }
}
