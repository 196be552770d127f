//! The jobs of a simulation. They are generated before it starts, so that all policies receive the same jobs.

use lilacpass_jobs::JobKey;
use lilacpass_schema::v1;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::scenario::{Class, FaultKind, Scenario};

/// Calendar time at which a simulation starts, in milliseconds since 1970.
pub const START_UNIX_MS: u64 = 1_800_000_000_000;

/// Range of the work of a task, as factors of the work that its class specifies.
const WORK_FACTORS: (f64, f64) = (0.7, 1.3);

/// A job that a client submits during the simulation.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of the submission, in milliseconds since the start of the scenario.
    pub at_ms: u64,
    /// Name of the job.
    pub key: JobKey,
    /// Index of its class in the scenario.
    pub class: usize,
    /// Work of each task in milliseconds, by step and index.
    pub work_ms: Vec<Vec<u64>>,
}

impl Arrival {
    /// Returns the work on the longest chain of tasks, in milliseconds.
    pub fn longest_chain_ms(&self) -> u64 {
        self.work_ms.iter().filter_map(|step| step.iter().max()).sum()
    }

    /// Returns the times until which the job counts as in time and as late, in milliseconds since the start of the
    /// scenario.
    pub fn deadlines_ms(&self, class: &Class) -> (u64, u64) {
        let objective_ms =
            class.stretch * self.longest_chain_ms() as f64 + f64::from(class.objective_ms);
        (self.at_ms + objective_ms as u64, self.at_ms + (3.0 * objective_ms) as u64)
    }

    /// Returns the plan that the client submits.
    pub fn work_plan(&self, class: &Class) -> v1::WorkPlan {
        let steps = (0..class.steps).map(|number| v1::WorkStep {
            count: class.tasks,
            cpu_milli: class.cpu_milli,
            memory_mb: class.memory_mb,
            accelerators: class.accelerators,
            estimate_ms: (f64::from(class.work_ms) * class.estimate_x) as u32,
            after: number.checked_sub(1).into_iter().collect(),
            checkpointing: class.checkpointing,
            gang: class.gang,
            ..Default::default()
        });
        v1::WorkPlan { payload: "work".to_owned(), steps: steps.collect(), ..Default::default() }
    }
}

/// Returns the policy of the queue of a class.
pub fn queue_policy(class: &Class, scenario: &Scenario) -> v1::QueuePolicy {
    let timing = scenario.advice_for(class);
    let advice = v1::AdvicePolicy {
        base_ms: timing.base_ms,
        per_worker_ms: timing.per_worker_ms,
        valid_ms: scenario.advice.valid_ms,
    };
    v1::QueuePolicy {
        name: class.name.clone(),
        service: class.service.clone(),
        priority: class.priority,
        attempts: class.attempts,
        stretch: class.stretch,
        objective_ms: class.objective_ms,
        advice: class.advised.then_some(advice),
    }
}

/// Generates the jobs of a simulation, in the order of their submission.
pub fn generate(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let length_ms = (scenario.length_s * 1_000.0) as u64;
    let mut arrivals = Vec::new();
    for (class_index, class) in scenario.classes.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            let rate = class.rate * burst_factor(scenario, at_ms as u64);
            let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at_ms += -uniform.ln() / rate * 1_000.0;
            if at_ms as u64 >= length_ms {
                break;
            }
            arrivals.push(generate_one(&mut rng, at_ms as u64, class_index, class));
        }
    }
    arrivals.sort_by_key(|arrival| (arrival.at_ms, arrival.key));
    arrivals
}

fn generate_one(rng: &mut StdRng, at_ms: u64, class_index: usize, class: &Class) -> Arrival {
    let (min_factor, max_factor) = WORK_FACTORS;
    let work_ms = (0..class.steps)
        .map(|_| {
            (0..class.tasks)
                .map(|_| {
                    (f64::from(class.work_ms) * rng.random_range(min_factor..max_factor)) as u64
                })
                .collect()
        })
        .collect();
    Arrival { at_ms, key: JobKey(rng.random()), class: class_index, work_ms }
}

/// Returns the factor by which bursts increase the rate of jobs at a time.
fn burst_factor(scenario: &Scenario, at_ms: u64) -> f64 {
    let bursts = scenario.faults.iter().filter(|fault| fault.kind == FaultKind::Burst);
    bursts.filter(|fault| fault.is_active_at(at_ms)).map(|fault| fault.x).product()
}
