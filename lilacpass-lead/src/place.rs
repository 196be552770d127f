//! Which worker gets a task: pure functions over what is known of the workers.

use lilacpass_core::Resources;
use lilacpass_schema::v1;

use crate::worker::Worker;

/// What a task of a step takes. The processors of a task that fills are not reserved.
pub fn need(step: &v1::WorkStep) -> Resources {
    let cpu_milli = if step.fills { 0 } else { u64::from(step.cpu_milli) };
    Resources::new(cpu_milli, u64::from(step.memory_mb), u64::from(step.accelerators), 0)
}

/// Whether a worker may ever run tasks of this step, as far as its registration tells.
pub fn is_eligible(worker: &Worker, service: &str, step: &v1::WorkStep) -> bool {
    let label = &step.required_label;
    worker.entry.service == service && (label.is_empty() || worker.entry.labels.contains(label))
}

/// How many tasks that take `need` fit into `room`, at most `most`.
pub fn fits(room: &Resources, need: &Resources, most: u64) -> u64 {
    let per = |room: u64, need: u64| room.checked_div(need).unwrap_or(u64::MAX);
    per(room.cpu.0, need.cpu.0)
        .min(per(room.memory.0, need.memory.0))
        .min(per(room.accelerators.0, need.accelerators.0))
        .min(most)
}

/// Whether the data of a step is on the worker's rack.
pub fn is_near(worker: &Worker, step: &v1::WorkStep) -> bool {
    !step.affinity_rack.is_empty() && worker.entry.labels.contains(&step.affinity_rack)
}

/// How well a worker suits a task; the greatest comes first. Data on the rack goes first, then the
/// share of processors left free, which spreads load and with it what a lost worker costs.
pub fn score(near: bool, room: &Resources, capacity: &Resources) -> (bool, u64) {
    (near, room.cpu.0 * 1_000 / capacity.cpu.0.max(1))
}
