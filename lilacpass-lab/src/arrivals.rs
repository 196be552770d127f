//! The jobs of a play, drawn before it begins, so that each policy meets the same.

use lilacpass_jobs::JobKey;
use lilacpass_schema::v1;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::scenario::{Class, FaultKind, Scenario};

/// Time of day at which a play begins, in milliseconds since 1970.
pub const DAY_MS: u64 = 1_800_000_000_000;

/// Bounds of the work of a task, as parts of what its class says.
const WORK_SPREAD: (f64, f64) = (0.7, 1.3);

/// A job that comes.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, in milliseconds from the beginning.
    pub at_ms: u64,
    /// Its name.
    pub key: JobKey,
    /// Number of its class.
    pub class: usize,
    /// Work of each task, by step, in milliseconds.
    pub work_ms: Vec<Vec<u64>>,
}

impl Arrival {
    /// Work on its longest chain, in milliseconds.
    pub fn chain_ms(&self) -> u64 {
        self.work_ms.iter().filter_map(|step| step.iter().max()).sum()
    }

    /// Until when it is in time, and until when it is late, in milliseconds from the beginning.
    pub fn due_ms(&self, class: &Class) -> (u64, u64) {
        let objective_ms = class.stretch * self.chain_ms() as f64 + f64::from(class.objective_ms);
        (self.at_ms + objective_ms as u64, self.at_ms + (3.0 * objective_ms) as u64)
    }

    /// The job as its caller hands it in.
    pub fn plan(&self, class: &Class) -> v1::WorkPlan {
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

/// How a queue of this class treats its jobs.
pub fn queue(class: &Class, scenario: &Scenario) -> v1::QueuePolicy {
    let advice = v1::AdvicePolicy {
        base_ms: scenario.advice.base_ms,
        per_worker_ms: scenario.advice.per_worker_ms,
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

/// Draws the jobs of a play, in the order in which they come.
pub fn draw(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let length_ms = (scenario.length_s * 1_000.0) as u64;
    let mut arrivals = Vec::new();
    for (number, class) in scenario.classes.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            let rate = class.rate * burst_at(scenario, at_ms as u64);
            let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at_ms += -uniform.ln() / rate * 1_000.0;
            if at_ms as u64 >= length_ms {
                break;
            }
            arrivals.push(draw_one(&mut rng, at_ms as u64, number, class));
        }
    }
    arrivals.sort_by_key(|arrival| (arrival.at_ms, arrival.key));
    arrivals
}

fn draw_one(rng: &mut StdRng, at_ms: u64, number: usize, class: &Class) -> Arrival {
    let (least, most) = WORK_SPREAD;
    let work_ms = (0..class.steps)
        .map(|_| {
            (0..class.tasks)
                .map(|_| (f64::from(class.work_ms) * rng.random_range(least..most)) as u64)
                .collect()
        })
        .collect();
    Arrival { at_ms, key: JobKey(rng.random()), class: number, work_ms }
}

/// How many times as many jobs come at a time.
fn burst_at(scenario: &Scenario, at_ms: u64) -> f64 {
    let bursts = scenario.faults.iter().filter(|fault| fault.kind == FaultKind::Burst);
    bursts.filter(|fault| fault.acts_at(at_ms)).map(|fault| fault.x).product()
}
