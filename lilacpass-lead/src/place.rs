//! Pure functions that decide which workers suit a task best.

use lilacpass_core::Resources;
use lilacpass_schema::v1;

use crate::{learned::preference::SpeedPreference, worker::Worker};

/// Returns the resources that a task of a step needs. No CPU is reserved for filling tasks.
pub fn need(step: &v1::WorkStep) -> Resources {
    let cpu_milli = if step.fills { 0 } else { u64::from(step.cpu_milli) };
    Resources::new(cpu_milli, u64::from(step.memory_mb), u64::from(step.accelerators), 0)
}

/// Returns what a task of a step counts against the cap of its account. Unlike on a worker, the CPU of a filling task
/// counts.
pub fn charge(step: &v1::WorkStep) -> Resources {
    let (cpu_milli, memory_mb) = (u64::from(step.cpu_milli), u64::from(step.memory_mb));
    Resources::new(cpu_milli, memory_mb, u64::from(step.accelerators), 0)
}

/// Returns whether the registration of a worker allows it to run tasks of this step.
pub fn is_eligible(worker: &Worker, service: &str, step: &v1::WorkStep) -> bool {
    let label = &step.required_label;
    worker.registration.service == service
        && (label.is_empty() || worker.registration.labels.contains(label))
}

/// Returns how many tasks that need `need` fit into `free`, at most `max`.
pub fn count_fitting(free: &Resources, need: &Resources, max: u64) -> u64 {
    let per = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    per(free.cpu.0, need.cpu.0)
        .min(per(free.memory.0, need.memory.0))
        .min(per(free.accelerators.0, need.accelerators.0))
        .min(max)
}

/// Returns whether the data of a step is on the worker's rack.
pub fn is_near(worker: &Worker, step: &v1::WorkStep) -> bool {
    !step.affinity_rack.is_empty() && worker.registration.labels.contains(&step.affinity_rack)
}

/// How well a worker suits a task. Workers with a greater score are preferred; the fields are compared in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Score {
    /// Whether the data of the step is on the worker's rack.
    pub near: bool,
    /// The class of the worker's speed; the same for all workers unless the step prefers fast ones.
    pub speed_class: i8,
    /// Whether the worker is in the home data centre of the job.
    pub at_home: bool,
    /// How well the worker's speed suits the step; the same for all workers unless speed matters to the step.
    pub speed_order: i8,
    /// Number of accelerators in use. Small tasks go to workers that already use some, so that tasks that need most of
    /// a worker's accelerators still find unused workers.
    pub used_accelerators: u64,
    /// Free share of the CPU in thousandths. Preferring a greater share spreads the load, and with it the cost of
    /// losing a worker.
    pub free_share: u64,
}

impl Score {
    /// Computes the score of a worker for a step of a job with this home data centre.
    pub fn new(
        worker: &Worker,
        step: &v1::WorkStep,
        home: Option<&str>,
        preference: SpeedPreference,
    ) -> Self {
        Self {
            near: is_near(worker, step),
            speed_class: preference.class(worker.speed),
            at_home: home == Some(worker.registration.data_centre.as_str()),
            speed_order: preference.order(worker.speed),
            used_accelerators: worker.used.accelerators.0,
            free_share: free_share(&worker.free_capacity(), &worker.registration.capacity),
        }
    }
}

/// Returns the free share of the CPU in thousandths.
pub fn free_share(free: &Resources, capacity: &Resources) -> u64 {
    free.cpu.0 * 1_000 / capacity.cpu.0.max(1)
}
