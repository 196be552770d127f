//! Keeps what an account has running within its cap.

use lilacpass_core::Resources;
use lilacpass_jobs::{StepName, TaskName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    event::Now,
    leader::Leader,
    place,
    worker::{Phase, RunKey},
};

impl Leader {
    /// Adopts the accounts of a desired state.
    pub(crate) fn on_accounts(&mut self, policies: &[v1::AccountPolicy]) {
        self.accounts.set_listed(policies);
        // A cap may have risen.
        self.pending_changes.request_full_round();
    }

    /// Counts a run that may be on a worker against the cap of its account.
    pub(crate) fn charge_run(&mut self, worker: &WorkerName, run: RunKey) {
        let TaskName { step, .. } = run.0;
        let Some(entry) = self.jobs.get(&step.job) else { return };
        let (Some(account), Some(plan)) =
            (entry.account, entry.job.plan.steps.get(step.step as usize))
        else {
            return;
        };
        self.accounts.charge(worker, run, account, place::charge(plan));
    }

    /// Returns whether the cap of its account keeps a step from starting a task, or all of its tasks in a gang.
    pub(crate) fn is_held_back_by_cap(&self, name: StepName) -> bool {
        let Some(entry) = self.jobs.get(&name.job) else { return false };
        let plan = entry.job.step_plan(name.step);
        entry.account.is_some_and(|account| !self.accounts.fits(account, &least_charge(plan)))
    }

    /// Returns how many of `waiting` tasks of a step the cap of its account allows now: all or none in a gang.
    pub(crate) fn count_within_cap(&self, name: StepName, waiting: usize) -> usize {
        let Some(entry) = self.jobs.get(&name.job) else { return 0 };
        let Some(account) = entry.account else { return waiting };
        let plan = entry.job.step_plan(name.step);
        let count = self.accounts.count_fitting(account, &place::charge(plan), waiting as u64);
        if plan.gang && count < waiting as u64 { 0 } else { count as usize }
    }

    /// Returns the reason if the cap of the account can never hold a task of some step, or all tasks of a gang.
    pub(crate) fn find_step_beyond_cap(
        &mut self,
        plan: &v1::WorkPlan,
        account: &v1::AccountPolicy,
    ) -> Option<String> {
        let account = self.accounts.number_of(account);
        let exceeds = |step: &v1::WorkStep| !self.accounts.could_fit(account, &least_charge(step));
        let number = plan.steps.iter().position(exceeds)?;
        let what = if plan.steps[number].gang { "its gang" } else { "one of its tasks" };
        Some(format!("step {number}: the cap of its account is too small for {what}"))
    }

    /// Stops the runs of accounts beyond their caps whose start orders got no response. Such an order may be carried out
    /// seconds after the cap was lowered, unless a stop arrives before it.
    pub(crate) fn stop_unanswered_beyond_caps(&mut self, now: Now) {
        if !self.accounts.any_over_cap() {
            return;
        }
        let mut unanswered = Vec::new();
        // A worker that has not responded to this leader may run all that it inherited.
        for (name, worker) in self.workers.iter().filter(|(_, worker)| worker.accepted_epoch) {
            let uncertain = worker
                .runs
                .iter()
                .filter(|(_, assigned)| matches!(assigned.phase, Phase::Uncertain { .. }));
            unanswered.extend(uncertain.map(|(key, _)| (name.clone(), *key)));
        }
        unanswered.retain(|(_, (task, _))| self.is_over_cap(task.step));
        for (worker, key) in unanswered {
            log::info!(
                task:% = key.0, run = key.1, worker:% = worker;
                "unanswered run of an account beyond its cap is stopped"
            );
            self.stop_run(&worker, key, now);
        }
    }

    /// Returns whether the account of a job has more running than its cap, so that no order to start is sent.
    pub(crate) fn is_over_cap(&self, name: StepName) -> bool {
        let account = self.jobs.get(&name.job).and_then(|entry| entry.account);
        account.is_some_and(|account| self.accounts.is_over_cap(account))
    }
}

/// What must fit into the cap of an account for a step to start anything.
fn least_charge(plan: &v1::WorkStep) -> Resources {
    let tasks = if plan.gang { u64::from(plan.count) } else { 1 };
    place::charge(plan).times(tasks)
}
