//! What came of a play.

use std::{collections::HashMap, time::Duration};

use hdrhistogram::Histogram;
use lilacpass_jobs::StepName;
use serde::Serialize;

use crate::{
    arrivals::Arrival,
    callers::{Caller, Standing},
    scenario::Scenario,
};

/// What came of the jobs of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassOutcome {
    /// Its name.
    pub name: String,
    /// Jobs that came.
    pub asked: u32,
    /// Completed in time.
    pub in_time: u32,
    /// Completed late.
    pub late: u32,
    /// Accepted, and completed too late or not at all.
    pub lost: u32,
    /// Refused until their callers gave up.
    pub refused: u32,
    /// Part of the worth of its jobs that was earned.
    pub worth: f64,
    /// Time from when a step could start until its tasks did, in milliseconds.
    pub wait_p50_ms: u64,
    /// The same.
    pub wait_p99_ms: u64,
}

/// What came of a play.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Part of the worth of all jobs that was earned.
    pub worth: f64,
    /// By class.
    pub classes: Vec<ClassOutcome>,
    /// Share of the processors in use, a second each.
    pub use_by_s: Vec<f64>,
    /// Worth that was lost, by the second in which its job came.
    pub lost_by_s: Vec<f64>,
    /// Tasks that waited for a start, a second each.
    pub waiting_by_s: Vec<u64>,
    /// Work that was stopped and not saved, in core-seconds.
    pub thrown_away_core_s: f64,
    /// Starts on workers that had no room for them.
    pub over_capacity: u32,
    /// Workers that crashed under tasks.
    pub crashed_workers: u32,
    /// Most starts of a task that crashes its workers.
    pub most_crashing_starts: u32,
    /// Times of one round of deciding on the machine of the lab.
    pub decisions: Decisions,
}

/// Times of the rounds of a play.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Decisions {
    /// How many.
    pub rounds: u64,
    /// In microseconds.
    pub p50_us: u64,
    /// In microseconds.
    pub p99_us: u64,
    /// In microseconds.
    pub most_us: u64,
}

/// Collects what is seen in a play.
pub struct Recorder {
    waits_ms: Vec<Histogram<u64>>,
    rounds_us: Histogram<u64>,
    ready_ms: HashMap<StepName, u64>,
    /// Work that was stopped and not saved, in thousandths of a core times milliseconds.
    pub thrown_away_milli_ms: u64,
    /// Starts on workers that had no room for them.
    pub over_capacity: u32,
    /// Workers that crashed under tasks.
    pub crashed_workers: u32,
    /// Most starts of a task that crashes its workers.
    pub most_crashing_starts: u32,
    /// Share of the processors in use, a second each.
    pub use_by_s: Vec<f64>,
    /// Tasks that wait, a second each.
    pub waiting_by_s: Vec<u64>,
}

impl Recorder {
    /// A recorder for so many classes.
    pub fn new(classes: usize) -> Self {
        /// Digits that are kept of a value.
        const DIGITS: u8 = 3;
        let histogram = || Histogram::new(DIGITS).expect("a number of digits that is allowed");
        Self {
            waits_ms: (0..classes).map(|_| histogram()).collect(),
            rounds_us: histogram(),
            ready_ms: HashMap::new(),
            thrown_away_milli_ms: 0,
            over_capacity: 0,
            crashed_workers: 0,
            most_crashing_starts: 0,
            use_by_s: Vec::new(),
            waiting_by_s: Vec::new(),
        }
    }

    /// A step can start from now on.
    pub fn ready(&mut self, step: StepName, now_ms: u64) {
        self.ready_ms.entry(step).or_insert(now_ms);
    }

    /// A task of a step has started for the first time.
    pub fn started(&mut self, step: StepName, class: usize, now_ms: u64) {
        let since_ms = self.ready_ms.get(&step).copied().unwrap_or(now_ms);
        self.waits_ms[class].saturating_record(now_ms.saturating_sub(since_ms));
    }

    /// A round of deciding has taken so long.
    pub fn round(&mut self, took: Duration) {
        self.rounds_us.saturating_record(took.as_micros() as u64);
    }

    /// What came of the play.
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
        let (mut earned, mut owed) = (0.0, 0.0);
        for (arrival, caller) in arrivals.iter().zip(callers) {
            let class = &scenario.classes[arrival.class];
            let (got, kind) = settle(scenario, arrival, caller);
            let outcome = &mut classes[arrival.class];
            outcome.asked += 1;
            *kind(outcome) += 1;
            outcome.worth += got / class.worth;
            earned += got;
            owed += class.worth;
            lost_by_s[(arrival.at_ms / 1_000) as usize] += class.worth - got;
        }
        for class in &mut classes {
            class.worth /= f64::from(class.asked.max(1));
        }
        Outcome {
            policy,
            seed,
            worth: if owed > 0.0 { earned / owed } else { 1.0 },
            classes,
            use_by_s: self.use_by_s,
            lost_by_s,
            waiting_by_s: self.waiting_by_s,
            over_capacity: self.over_capacity,
            crashed_workers: self.crashed_workers,
            most_crashing_starts: self.most_crashing_starts,
            thrown_away_core_s: self.thrown_away_milli_ms as f64 / 1e6,
            decisions: Decisions {
                rounds: self.rounds_us.len(),
                p50_us: self.rounds_us.value_at_quantile(0.5),
                p99_us: self.rounds_us.value_at_quantile(0.99),
                most_us: self.rounds_us.max(),
            },
        }
    }
}

/// What a job has earned, and which count of its class it adds to.
fn settle(
    scenario: &Scenario,
    arrival: &Arrival,
    caller: &Caller,
) -> (f64, fn(&mut ClassOutcome) -> &mut u32) {
    let class = &scenario.classes[arrival.class];
    let (in_time_ms, late_ms) = arrival.due_ms(class);
    match caller.standing {
        Standing::Completed { at_ms } if at_ms <= in_time_ms => {
            (class.worth, |outcome| &mut outcome.in_time)
        }
        Standing::Completed { at_ms } if at_ms <= late_ms => {
            (class.worth_late, |outcome| &mut outcome.late)
        }
        Standing::Open | Standing::GivenUp => (0.0, |outcome| &mut outcome.refused),
        Standing::Completed { .. } | Standing::Accepted | Standing::Failed => {
            (0.0, |outcome| &mut outcome.lost)
        }
    }
}
