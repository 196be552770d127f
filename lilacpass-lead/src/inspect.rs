//! What the leader tells operators: the state of the cell, and why a job is where it is.

use std::collections::BTreeMap;

use lilacpass_jobs::{JobKey, Outcome, StepName};
use serde::Serialize;

use crate::{
    event::Now,
    leader::{JobEntry, Leader},
    place,
    worker::Phase,
};

/// The state of the cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// Jobs that are not ended, by queue.
    pub open_jobs: BTreeMap<String, u64>,
    /// Those of them of which no worker is known to have begun a task, by queue.
    pub not_begun_jobs: BTreeMap<String, u64>,
    /// Steps that wait for room or advice.
    pub waiting_steps: u64,
    /// Tasks that are tried by themselves, since workers have crashed under them.
    pub tasks_on_trial: u64,
    /// Runs on workers, by what is known of them.
    pub runs: BTreeMap<&'static str, u64>,
    /// The workers.
    pub workers: Vec<WorkerStatus>,
    /// How long the store has owed an answer, in ms.
    pub store_stuck_ms: u64,
    /// How long ago the store confirmed the leader, in ms.
    pub confirmed_ago_ms: u64,
}

/// The state of a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Runs on it.
    pub runs: u64,
    /// Processors given out, in thousandths.
    pub used_cpu_milli: u64,
    /// Processors that it has, in thousandths.
    pub cpu_milli: u64,
    /// Why it gets no work; empty where it does.
    pub held_back: &'static str,
}

/// Why a job is where it is.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The job.
    pub job: String,
    /// Its queue.
    pub queue: String,
    /// What has become of it.
    pub outcome: &'static str,
    /// Why it failed; empty where it did not.
    pub failure: String,
    /// A worker is known to have begun a task.
    pub begun: bool,
    /// Time since its acceptance, in ms.
    pub age_ms: u64,
    /// Its steps.
    pub steps: Vec<StepExplanation>,
}

/// Why a step is where it is.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StepExplanation {
    /// The step.
    pub step: String,
    /// Tasks that are done.
    pub done: u64,
    /// Tasks that wait.
    pub waiting: u64,
    /// Runs that may be on workers: task, run, worker, what is known.
    pub runs: Vec<String>,
    /// Tasks under which workers have crashed: task, how many workers, how many of these it may have crashed.
    pub crashes: Vec<String>,
    /// What the tasks that wait, wait for.
    pub waits_for: String,
}

impl Leader {
    /// The state of the cell.
    pub fn status(&self, now: Now) -> Status {
        let mut status = Status {
            waiting_steps: self.waiting.len() as u64,
            store_stuck_ms: self.store_stuck_ms(now),
            confirmed_ago_ms: now.steady_ms.saturating_sub(self.leadership_confirmed_ms),
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
            for given in worker.runs.values() {
                *status.runs.entry(phase_name(given.phase)).or_default() += 1;
            }
            status.workers.push(WorkerStatus {
                name: worker.registration.name.to_string(),
                data_centre: worker.registration.data_centre.clone(),
                runs: worker.runs.len() as u64,
                used_cpu_milli: worker.used.cpu.0,
                cpu_milli: worker.registration.capacity.cpu.0,
                held_back: worker.held_back_reason(now.steady_ms),
            });
        }
        status
    }

    /// Why a job is where it is; none where it is not known.
    pub fn explain(&self, key: JobKey, now: Now) -> Option<Explanation> {
        let entry = self.jobs.get(&key)?;
        let job = &entry.job;
        Some(Explanation {
            job: key.to_string(),
            queue: job.queue.name.clone(),
            outcome: job.outcome.as_str(),
            failure: job.failure.map(|failure| failure.to_string()).unwrap_or_default(),
            begun: job.has_started,
            age_ms: now.unix_ms.saturating_sub(job.accepted_ms),
            steps: job.step_names().map(|step| self.explain_step(entry, step, now)).collect(),
        })
    }

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
                let row = format!(
                    "{task_name}: {} workers crashed under it, {} of them without another explanation",
                    task.crashes.known,
                    task.crashes.unexplained.len()
                );
                explanation.crashes.push(row);
            }
            for run in &task.runs {
                let given = self
                    .workers
                    .get(&run.worker)
                    .and_then(|worker| worker.runs.get(&(task_name, run.number)));
                let phase = given.map_or("unknown", |given| phase_name(given.phase));
                let row = format!("{task_name} run {} on {}: {phase}", run.number, run.worker);
                explanation.runs.push(row);
            }
        }
        if explanation.waiting > 0 {
            explanation.waits_for = self.waits_for(entry, name, now);
        }
        explanation
    }

    fn waits_for(&self, entry: &JobEntry, name: StepName, now: Now) -> String {
        if entry.job.outcome != Outcome::Open {
            return "nothing: the job has ended".to_owned();
        }
        if !entry.job.step_may_start(name, now.unix_ms) {
            return "earlier steps, or its time".to_owned();
        }
        let plan = entry.job.step_plan(name.step);
        let need = place::need(plan);
        let eligible: Vec<_> = self
            .workers
            .values()
            .filter(|worker| place::is_eligible(worker, &entry.job.queue.service, plan))
            .collect();
        let usable = eligible.iter().filter(|worker| worker.accepts_starts(now.steady_ms));
        let roomy = usable.clone().filter(|worker| need.fits(&worker.free_capacity())).count();
        let advice = self.advice.get(&name);
        let counts = format!(
            "{} workers of its service, {} take starts, {roomy} have room",
            eligible.len(),
            usable.count(),
        );
        match advice {
            _ if entry.job.queue.advice.is_none() => format!("room ({counts})"),
            None => format!("a call for advice ({counts})"),
            Some(advice) if advice.asking => format!("the answer of the advice service ({counts})"),
            Some(_) => format!("room on a worker that the advice allows ({counts})"),
        }
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Recording => "being recorded",
        Phase::Ordered => "ordered",
        Phase::Uncertain { .. } => "uncertain",
        Phase::Running { .. } => "running",
        Phase::Stopping { .. } => "stopping",
    }
}
