//! What the workers of a cell have together and one by one, to tell what can never fit.

use std::collections::HashMap;

use lilacpass_core::resources::Resources;
use lilacpass_schema::v1;

/// The workers of a cell, counted by size. Racks are bought alike, so there are few sizes.
pub(crate) struct Cell {
    total: Resources,
    sizes: HashMap<Resources, u64>,
}

impl Cell {
    /// Counts workers.
    pub(crate) fn of(workers: &[v1::WorkerSpec]) -> Self {
        let mut cell = Self { total: Resources::ZERO, sizes: HashMap::new() };
        for worker in workers {
            let size = capacity(worker);
            cell.total = cell.total.plus(&size);
            *cell.sizes.entry(size).or_default() += 1;
        }
        cell
    }

    /// All workers together.
    pub(crate) fn total(&self) -> Resources {
        self.total
    }

    /// How many tasks of a size an empty cell could run at once.
    pub(crate) fn room_for(&self, each: &Resources) -> u64 {
        self.sizes
            .iter()
            .map(|(size, workers)| workers.saturating_mul(times(each, size)))
            .fold(0, u64::saturating_add)
    }
}

/// What a worker has.
pub(crate) fn capacity(worker: &v1::WorkerSpec) -> Resources {
    Resources::new(worker.cpu_milli, worker.memory_mib, worker.accelerators, worker.slots)
}

/// An amount of the schema as resources.
pub(crate) fn amount(amount: &v1::Amount) -> Resources {
    Resources::new(amount.cpu_milli, amount.memory_mib, amount.accelerators, amount.slots)
}

/// How often `each` fits into `size`.
fn times(each: &Resources, size: &Resources) -> u64 {
    [
        (each.cpu.0, size.cpu.0),
        (each.memory.0, size.memory.0),
        (each.accelerators.0, size.accelerators.0),
        (each.slots.0, size.slots.0),
    ]
    .into_iter()
    .filter_map(|(need, have)| have.checked_div(need))
    .min()
    .unwrap_or(u64::MAX)
}
