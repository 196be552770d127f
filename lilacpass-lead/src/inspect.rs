//! Status reports for operators: the state of the cell, and an explanation of the state of a job.

use std::collections::BTreeMap;

use lilacpass_jobs::{JobKey, Outcome, StepName};
use serde::Serialize;

use crate::{
    accounts::AccountUsage, event::Now, fair_use::FairUse, job_entry::JobEntry, leader::Leader,
    learned::speeds::KindStatus, place, worker::Phase,
};

/// The state of the cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// Number of jobs that have not ended, by queue.
    pub open_jobs: BTreeMap<String, u64>,
    /// Number of open jobs of which no worker has confirmed the start of a task, by queue.
    pub not_begun_jobs: BTreeMap<String, u64>,
    /// Number of steps that wait for capacity or advice.
    pub waiting_steps: u64,
    /// Number of tasks on trial because they may crash their workers. Nothing else is started on the worker of such a
    /// task meanwhile.
    pub tasks_on_trial: u64,
    /// Number of runs on workers by phase.
    pub runs: BTreeMap<&'static str, u64>,
    /// The state of each client account.
    pub accounts: Vec<AccountStatus>,
    /// The learned speeds of the workers, by kind.
    pub speeds: Vec<KindStatus>,
    /// The state of each worker.
    pub workers: Vec<WorkerStatus>,
    /// Time in ms for which the store has not stored the current append, including repetitions after refusals.
    pub store_stuck_ms: u64,
    /// Time in ms since the store last confirmed that this instance leads.
    pub confirmed_ago_ms: u64,
}

/// The state of a client account.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AccountStatus {
    /// Name of the account.
    pub name: String,
    /// Whether the desired state lists it. The jobs of an account that was removed still run.
    pub is_listed: bool,
    /// Its share: the number of jobs per second that are scheduled before those beyond a share.
    pub weight: f64,
    /// What it has running, counting all that may run: CPU in thousandths of a core, memory in MB, accelerators.
    pub used: [u64; 3],
    /// Its cap on each of these; 0 for none.
    pub cap: [u64; 3],
    /// Share of the pool that it has used, integrated over time with decay; 0 if it takes no part in fair use.
    pub usage: f64,
    /// Its fair part of the pool; 0 if it has no work.
    pub fair_part: f64,
    /// Its band: `within` unless capacity is short and it uses more than its fair part.
    pub band: &'static str,
}

impl AccountStatus {
    /// Creates the status of an account.
    fn new(usage: AccountUsage<'_>, fair_use: &FairUse) -> Self {
        let AccountUsage { account, policy, is_listed, used } = usage;
        let state = fair_use.state_of(account);
        Self {
            usage: state.map_or(0.0, |state| state.usage),
            fair_part: state.map_or(0.0, |state| state.fair_part),
            band: fair_use.band_of(Some(account)).as_str(),
            name: policy.name.clone(),
            is_listed,
            weight: policy.weight,
            used: [used.cpu.0, used.memory.0, used.accelerators.0],
            cap: [policy.max_cpu_milli, policy.max_memory_mb, policy.max_accelerators],
        }
    }
}

/// The state of a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// Id of the worker.
    pub name: String,
    /// When this incarnation of the worker began, in milliseconds since 1970; `None` if that is unknown.
    pub started_ms: Option<u64>,
    /// Data centre that the worker runs in.
    pub data_centre: String,
    /// Number of runs assigned to the worker.
    pub runs: u64,
    /// CPU assigned to runs, in thousandths of a core.
    pub used_cpu_milli: u64,
    /// CPU of the worker, in thousandths of a core.
    pub cpu_milli: u64,
    /// Learned speed of the worker, relative to the mean of its pool.
    pub speed: f64,
    /// Why the worker gets no work; empty if it does.
    pub held_back: &'static str,
}

/// An explanation of the state of a job.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// Key of the job.
    pub job: String,
    /// Name of the job's queue.
    pub queue: String,
    /// The account that the job belongs to; empty if its queue is public.
    pub account: String,
    /// Whether the account had used up its share when the job was accepted.
    pub beyond_share: bool,
    /// Outcome of the job, or that it is still open.
    pub outcome: &'static str,
    /// Why the job failed; empty if it did not.
    pub failure: String,
    /// Whether a worker has confirmed the start of a task.
    pub begun: bool,
    /// Time since the job was accepted, in ms.
    pub age_ms: u64,
    /// Explanations of the job's steps.
    pub steps: Vec<StepExplanation>,
}

/// An explanation of the state of a step.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StepExplanation {
    /// Name of the step.
    pub step: String,
    /// Number of completed tasks.
    pub done: u64,
    /// Number of waiting tasks.
    pub waiting: u64,
    /// Runs that may be on workers, each with task, number, worker and phase.
    pub runs: Vec<String>,
    /// Tasks under which workers have crashed, each with the number of workers and how many of those crashes have no
    /// other explanation.
    pub crashes: Vec<String>,
    /// What the waiting tasks wait for; empty if none waits.
    pub waits_for: String,
}

impl Leader {
    /// Reports the state of the cell.
    pub fn status(&self, now: Now) -> Status {
        let mut status = Status {
            waiting_steps: self.waiting.len() as u64,
            store_stuck_ms: self.store_stuck_ms(now),
            confirmed_ago_ms: now.steady_ms.saturating_sub(self.leadership_confirmed_ms),
            speeds: self.speeds_by_kind(),
            accounts: self
                .accounts
                .usages()
                .map(|usage| AccountStatus::new(usage, &self.fair_use))
                .collect(),
            ..Status::default()
        };
        for entry in self.jobs.values().filter(|entry| entry.job.outcome == Outcome::Open) {
            let queue = &entry.job.queue.name;
            *status.open_jobs.entry(queue.clone()).or_default() += 1;
            if !entry.job.has_started {
                *status.not_begun_jobs.entry(queue.clone()).or_default() += 1;
            }
        }
        for worker in self.workers.values() {
            status.tasks_on_trial += u64::from(worker.trial.is_some());
            for assigned in worker.runs.values() {
                *status.runs.entry(phase_name(assigned.phase)).or_default() += 1;
            }
            status.workers.push(WorkerStatus {
                name: worker.registration.name.id().to_owned(),
                started_ms: worker.registration.name.started_ms(),
                data_centre: worker.registration.data_centre.clone(),
                runs: worker.runs.len() as u64,
                used_cpu_milli: worker.used.cpu.0,
                cpu_milli: worker.registration.capacity.cpu.0,
                speed: self.relative_speed(&worker.registration.name),
                held_back: worker.held_back_reason(now.steady_ms),
            });
        }
        status
    }

    /// Explains the state of a job; `None` if the job is unknown.
    pub fn explain(&self, key: JobKey, now: Now) -> Option<Explanation> {
        let entry = self.jobs.get(&key)?;
        let job = &entry.job;
        Some(Explanation {
            job: key.to_string(),
            queue: job.queue.name.clone(),
            account: job.account.as_ref().map_or_else(String::new, |account| account.name.clone()),
            beyond_share: job.is_beyond_share,
            outcome: job.outcome.as_str(),
            failure: job.failure.map(|failure| failure.to_string()).unwrap_or_default(),
            begun: job.has_started,
            age_ms: now.unix_ms.saturating_sub(job.accepted_ms),
            steps: job.step_names().map(|step| self.explain_step(entry, step, now)).collect(),
        })
    }

    /// Explains the state of a step.
    fn explain_step(&self, entry: &JobEntry, name: StepName, now: Now) -> StepExplanation {
        let mut explanation = StepExplanation {
            step: name.to_string(),
            done: 0,
            waiting: 0,
            runs: Vec::new(),
            crashes: Vec::new(),
            waits_for: String::new(),
        };
        for task_name in entry.job.task_names(name) {
            let Some(task) = entry.job.task(task_name) else { continue };
            explanation.done += u64::from(task.done);
            explanation.waiting += u64::from(task.is_waiting());
            if task.crashes.known > 0 {
                let description = format!(
                    "{task_name}: {} workers crashed under it, {} of them without another explanation",
                    task.crashes.known,
                    task.crashes.unexplained.len()
                );
                explanation.crashes.push(description);
            }
            for run in &task.runs {
                let assigned = self
                    .workers
                    .get(&run.host.worker)
                    .and_then(|worker| worker.runs.get(&(task_name, run.number)));
                let phase = assigned.map_or("unknown", |assigned| phase_name(assigned.phase));
                let description =
                    format!("{task_name} run {} on {}: {phase}", run.number, run.host.worker);
                explanation.runs.push(description);
            }
        }
        if explanation.waiting > 0 {
            explanation.waits_for = self.waits_for(entry, name, now);
        }
        explanation
    }

    /// Describes the cap that holds a step back; `None` if none does.
    fn cap_reason(&self, entry: &JobEntry, name: StepName) -> Option<String> {
        let account = entry.account.filter(|_| self.is_held_back_by_cap(name))?;
        let usage = self.accounts.usage(account);
        Some(format!("held back by the cap of its account ({})", describe_usage(&usage)))
    }

    /// Describes what the waiting tasks of a step wait for.
    fn waits_for(&self, entry: &JobEntry, name: StepName, now: Now) -> String {
        if entry.job.outcome != Outcome::Open {
            return "nothing: the job has ended".to_owned();
        }
        if !entry.job.step_may_start(name, now.unix_ms) {
            return "earlier steps, or its time".to_owned();
        }
        if let Some(reason) = self.cap_reason(entry, name) {
            return reason;
        }
        let plan = entry.job.step_plan(name.step);
        let need = place::need(plan);
        let eligible: Vec<_> = self
            .workers
            .values()
            .filter(|worker| place::is_eligible(worker, &entry.job.queue.service, plan))
            .collect();
        let usable = eligible.iter().filter(|worker| worker.accepts_starts(now.steady_ms));
        let fitting = usable.clone().filter(|worker| need.fits(&worker.free_capacity())).count();
        let advice = self.advice.get(&name);
        let counts = format!(
            "{}{} workers of its service, {} take starts, {fitting} have room",
            if entry.job.is_beyond_share { "beyond its share, " } else { "" },
            eligible.len(),
            usable.count(),
        );
        match advice {
            _ if entry.job.queue.advice.is_none() => format!("room ({counts})"),
            None => format!("a call for advice ({counts})"),
            Some(advice) if advice.call_pending => {
                format!("the answer of the advice service ({counts})")
            }
            Some(_) => format!("room on a worker that the advice allows ({counts})"),
        }
    }
}

/// Describes the cap and the use of an account.
fn describe_usage(usage: &AccountUsage<'_>) -> String {
    let AccountUsage { policy, used, .. } = usage;
    let of = |used: u64, max: u64| match max {
        0 => format!("{used} without a limit"),
        max => format!("{used} of {max}"),
    };
    format!(
        "account {}: CPU {}, memory {}, accelerators {}",
        policy.name,
        of(used.cpu.0, policy.max_cpu_milli),
        of(used.memory.0, policy.max_memory_mb),
        of(used.accelerators.0, policy.max_accelerators),
    )
}

/// Returns the name of a phase as shown to operators.
fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Recording => "being recorded",
        Phase::Ordered => "ordered",
        Phase::Uncertain { .. } => "uncertain",
        Phase::Running { .. } => "running",
        Phase::Stopping { .. } => "stopping",
    }
}
