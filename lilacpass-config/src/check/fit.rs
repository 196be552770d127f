//! Capacity of a cell and of its workers, used to detect sizes that can never fit.

use std::collections::HashMap;

use lilacpass_core::resources::Resources;
use lilacpass_schema::v1;

/// Capacity of a cell. Workers are grouped by size; there are few sizes, since racks are bought with the same
/// equipment.
pub(crate) struct Cell {
    total: Resources,
    /// Number of workers of each size.
    sizes: HashMap<Resources, u64>,
}

impl Cell {
    /// Computes the capacity of the given workers.
    pub(crate) fn new(workers: &[v1::WorkerSpec]) -> Self {
        let mut cell = Self { total: Resources::ZERO, sizes: HashMap::new() };
        for worker in workers {
            let size = capacity(worker);
            cell.total = cell.total.plus(&size);
            *cell.sizes.entry(size).or_default() += 1;
        }
        cell
    }

    /// Returns the total capacity of all workers.
    pub(crate) fn total(&self) -> Resources {
        self.total
    }

    /// Returns how many tasks of size `each` the cell could run at once if nothing else ran on it.
    pub(crate) fn max_tasks(&self, each: &Resources) -> u64 {
        self.sizes
            .iter()
            .map(|(size, workers)| workers.saturating_mul(max_tasks_on(each, size)))
            .fold(0, u64::saturating_add)
    }
}

/// Returns the capacity of a worker.
pub(crate) fn capacity(worker: &v1::WorkerSpec) -> Resources {
    Resources::new(worker.cpu_milli, worker.memory_mib, worker.accelerators, worker.slots)
}

/// Converts an amount of the schema to resources.
pub(crate) fn amount(amount: &v1::Amount) -> Resources {
    Resources::new(amount.cpu_milli, amount.memory_mib, amount.accelerators, amount.slots)
}

/// Returns how many tasks of size `each` a worker of this size can run at once.
fn max_tasks_on(each: &Resources, size: &Resources) -> u64 {
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
