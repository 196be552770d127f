//! The result of a simulation.

use std::{
    collections::{BTreeMap, HashMap},
    mem,
    time::Duration,
};

use hdrhistogram::Histogram;
use lilacpass_jobs::StepName;
use lilacpass_lead::work::{Part, SchedulingWork};
use serde::Serialize;

use crate::{
    arrivals::Arrival,
    callers::{Caller, JobStatus},
    scenario::Scenario,
};

/// The result for the jobs of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassOutcome {
    /// Name of the class.
    pub name: String,
    /// Number of submitted jobs.
    pub asked: u32,
    /// Number of jobs completed in time.
    pub in_time: u32,
    /// Number of jobs completed late, but within the limit for late jobs; see `scenario::Class::stretch`.
    pub late: u32,
    /// Number of accepted jobs that failed, never completed, or completed after the limit for late jobs.
    pub lost: u32,
    /// Number of jobs that were not accepted before their callers gave up or the simulation ended.
    pub refused: u32,
    /// Earned fraction of the total worth of the jobs, from 0 to 1.
    pub worth: f64,
    /// Median time that a task waited after its step was ready, in milliseconds.
    pub wait_p50_ms: u64,
    /// 99th percentile of the time that a task waited after its step was ready, in milliseconds.
    pub wait_p99_ms: u64,
}

/// The result of a simulation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// Name of the policy.
    pub policy: String,
    /// Seed of the simulation.
    pub seed: u64,
    /// Earned fraction of the total worth of all jobs, from 0 to 1.
    pub worth: f64,
    /// Results by class, in the order of the scenario.
    pub classes: Vec<ClassOutcome>,
    /// Fraction of the processors in use, sampled every second.
    pub use_by_s: Vec<f64>,
    /// Worth that jobs did not earn, by the second in which they were submitted.
    pub lost_by_s: Vec<f64>,
    /// Number of waiting steps, sampled every second.
    pub waiting_by_s: Vec<u64>,
    /// Work that was stopped without being saved, in core-seconds.
    pub thrown_away_core_s: f64,
    /// Number of starts on workers that lacked the capacity.
    pub over_capacity: u32,
    /// Number of worker crashes that tasks caused.
    pub crashed_workers: u32,
    /// Highest number of starts of a task that crashes its workers.
    pub most_crashing_starts: u32,
    /// What the leader did in each second.
    pub work_by_s: Vec<WorkSample>,
    /// Real time that scheduling rounds took on the machine that ran the simulation.
    pub decisions: Decisions,
}

/// What the leader did within a second. Unlike its real time, this depends only on the scenario and the seed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WorkSample {
    /// Number of start orders.
    pub starts: u64,
    /// Number of steps that were examined.
    pub steps_examined: u64,
    /// Number of searches for workers to name in calls for advice.
    pub advice_searches: u64,
    /// Number of items that decisions went through, by part; see [`lilacpass_lead::work::Part`].
    pub visits: BTreeMap<&'static str, u64>,
    /// Share of the second for which the leader was busy; 0 without a model of its processor.
    pub busy: f64,
}

impl WorkSample {
    /// Returns the number of items that all decisions went through.
    pub fn all_visits(&self) -> u64 {
        self.visits.values().sum()
    }
}

/// Real time that the scheduling rounds of a simulation took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Decisions {
    /// Number of rounds.
    pub rounds: u64,
    /// Median duration of a round, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the duration of a round, in microseconds.
    pub p99_us: u64,
    /// Duration of the longest round, in microseconds.
    pub most_us: u64,
}

/// Collects the measurements of a simulation.
pub struct Recorder {
    /// Times that tasks waited after their steps were ready, by class.
    waits_ms: Vec<Histogram<u64>>,
    /// Durations of the scheduling rounds.
    rounds_us: Histogram<u64>,
    /// Time at which each step became ready.
    ready_ms: HashMap<StepName, u64>,
    /// Work that was stopped without being saved, in thousandths of a core times milliseconds.
    pub wasted_milli_core_ms: u64,
    /// Number of starts on workers that lacked the capacity.
    pub over_capacity: u32,
    /// Number of worker crashes that tasks caused.
    pub crashed_workers: u32,
    /// Highest number of starts of a task that crashes its workers.
    pub most_crashing_starts: u32,
    /// Fraction of the processors in use, sampled every second.
    pub use_by_s: Vec<f64>,
    /// Number of waiting steps, sampled every second.
    pub waiting_by_s: Vec<u64>,
    work_by_s: Vec<WorkSample>,
    /// The work of the leader until the last sample, and the time for which it was busy, in microseconds.
    recorded_work: (SchedulingWork, u64),
}

impl Recorder {
    /// Creates a recorder for the given number of classes.
    pub fn new(classes: usize) -> Self {
        /// Number of decimal digits to which the histograms are exact.
        const SIGNIFICANT_DIGITS: u8 = 3;
        let histogram = || Histogram::new(SIGNIFICANT_DIGITS).expect("a supported precision");
        Self {
            waits_ms: (0..classes).map(|_| histogram()).collect(),
            rounds_us: histogram(),
            ready_ms: HashMap::new(),
            wasted_milli_core_ms: 0,
            over_capacity: 0,
            crashed_workers: 0,
            most_crashing_starts: 0,
            use_by_s: Vec::new(),
            waiting_by_s: Vec::new(),
            work_by_s: Vec::new(),
            recorded_work: (SchedulingWork::default(), 0),
        }
    }

    /// Records that a step is ready to start.
    pub fn record_ready(&mut self, step: StepName, now_ms: u64) {
        self.ready_ms.entry(step).or_insert(now_ms);
    }

    /// Records the first start of a task.
    pub fn record_start(&mut self, step: StepName, class: usize, now_ms: u64) {
        let since_ms = self.ready_ms.get(&step).copied().unwrap_or(now_ms);
        self.waits_ms[class].saturating_record(now_ms.saturating_sub(since_ms));
    }

    /// Records what the leader did in the last second, from its work and busy time since it began to lead.
    pub fn record_work(&mut self, work: SchedulingWork, busy_us: u64) {
        let (recorded, recorded_us) = mem::replace(&mut self.recorded_work, (work, busy_us));
        let done = work.since(&recorded);
        self.work_by_s.push(WorkSample {
            starts: done.starts,
            steps_examined: done.steps_examined,
            advice_searches: done.advice_searches,
            visits: Part::ALL.map(|part| (part.as_str(), done.visits.of(part))).into(),
            busy: (busy_us - recorded_us) as f64 / 1e6,
        });
    }

    /// Records the duration of a scheduling round.
    pub fn record_round(&mut self, duration: Duration) {
        self.rounds_us.saturating_record(duration.as_micros() as u64);
    }

    /// Returns the result of the simulation.
    pub fn finish(
        self,
        policy: String,
        seed: u64,
        scenario: &Scenario,
        arrivals: &[Arrival],
        callers: &[Caller],
    ) -> Outcome {
        let mut classes: Vec<ClassOutcome> = scenario
            .classes
            .iter()
            .zip(&self.waits_ms)
            .map(|(class, waits_ms)| ClassOutcome {
                name: class.name.clone(),
                wait_p50_ms: waits_ms.value_at_quantile(0.5),
                wait_p99_ms: waits_ms.value_at_quantile(0.99),
                ..Default::default()
            })
            .collect();
        let mut lost_by_s = vec![0.0; scenario.length_s.ceil() as usize];
        let (mut earned, mut total) = (0.0, 0.0);
        for (arrival, caller) in arrivals.iter().zip(callers) {
            let class = &scenario.classes[arrival.class];
            let (worth, counter) = score(scenario, arrival, caller);
            let outcome = &mut classes[arrival.class];
            outcome.asked += 1;
            *counter(outcome) += 1;
            outcome.worth += worth / class.worth;
            earned += worth;
            total += class.worth;
            lost_by_s[(arrival.at_ms / 1_000) as usize] += class.worth - worth;
        }
        for class in &mut classes {
            class.worth /= f64::from(class.asked.max(1));
        }
        Outcome {
            policy,
            seed,
            worth: if total > 0.0 { earned / total } else { 1.0 },
            classes,
            use_by_s: self.use_by_s,
            lost_by_s,
            waiting_by_s: self.waiting_by_s,
            work_by_s: self.work_by_s,
            over_capacity: self.over_capacity,
            crashed_workers: self.crashed_workers,
            most_crashing_starts: self.most_crashing_starts,
            thrown_away_core_s: self.wasted_milli_core_ms as f64 / 1e6,
            decisions: Decisions {
                rounds: self.rounds_us.len(),
                p50_us: self.rounds_us.value_at_quantile(0.5),
                p99_us: self.rounds_us.value_at_quantile(0.99),
                most_us: self.rounds_us.max(),
            },
        }
    }
}

/// Returns the worth that a job earned, and the counter of its class in which it is counted.
fn score(
    scenario: &Scenario,
    arrival: &Arrival,
    caller: &Caller,
) -> (f64, fn(&mut ClassOutcome) -> &mut u32) {
    let class = &scenario.classes[arrival.class];
    let (in_time_ms, late_ms) = arrival.deadlines_ms(class);
    match caller.status {
        JobStatus::Completed { at_ms } if at_ms <= in_time_ms => {
            (class.worth, |outcome| &mut outcome.in_time)
        }
        JobStatus::Completed { at_ms } if at_ms <= late_ms => {
            (class.worth_late, |outcome| &mut outcome.late)
        }
        JobStatus::Open | JobStatus::GivenUp => (0.0, |outcome| &mut outcome.refused),
        JobStatus::Completed { .. } | JobStatus::Accepted | JobStatus::Failed => {
            (0.0, |outcome| &mut outcome.lost)
        }
    }
}
