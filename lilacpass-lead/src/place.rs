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
    worker.registration.service == service
        && (label.is_empty() || worker.registration.labels.contains(label))
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
    !step.affinity_rack.is_empty() && worker.registration.labels.contains(&step.affinity_rack)
}

/// How well a worker suits a task; the greatest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Score {
    /// The data of the step is on its rack.
    pub near: bool,
    /// It is in the data centre in which the job is to run.
    pub at_home: bool,
    /// How many of its accelerators are in use: small tasks fill workers that are in use already, so that
    /// tasks that need most of a worker's accelerators find some whole.
    pub used_accelerators: u64,
    /// Share of its processors that is free, in thousandths: spreads load, and with it what a lost
    /// worker costs.
    pub free_share: u64,
}

impl Score {
    /// The score of a worker for a step of a job with this home.
    pub fn new(worker: &Worker, step: &v1::WorkStep, home: Option<&str>) -> Self {
        Self {
            near: is_near(worker, step),
            at_home: home == Some(worker.registration.data_centre.as_str()),
            used_accelerators: worker.used.accelerators.0,
            free_share: free_share(&worker.free_capacity(), &worker.registration.capacity),
        }
    }
}

/// The share of processors that is free, in thousandths.
pub fn free_share(room: &Resources, capacity: &Resources) -> u64 {
    room.cpu.0 * 1_000 / capacity.cpu.0.max(1)
}

/// The data centre with most room for tasks of a step, among workers that could run them.
///
/// The tasks of a job are kept in one data centre, because a job is done when its last task is. When
/// one of three data centres is cut off, a third of the jobs under way lose time; spread over all
/// workers, nearly every job of ten tasks does.
pub fn home<'a>(workers: impl Iterator<Item = &'a Worker>, step: &v1::WorkStep) -> Option<String> {
    let need = need(step);
    let most = u64::from(step.count);
    // Data centres are few, and a list is searched faster than a map.
    let mut rooms: Vec<(&str, u64)> = Vec::new();
    for worker in workers {
        let room = fits(&worker.free_capacity(), &need, most);
        let data_centre = worker.registration.data_centre.as_str();
        match rooms.iter_mut().find(|(known, _)| *known == data_centre) {
            Some((_, rooms)) => *rooms += room,
            None => rooms.push((data_centre, room)),
        }
    }
    let (data_centre, room) = rooms.into_iter().max_by_key(|(name, room)| (*room, *name))?;
    (room > 0).then(|| data_centre.to_owned())
}
