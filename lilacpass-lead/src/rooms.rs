//! Workers by their free processors, so that a step that waits finds those with room without going through all.
//!
//! Load pattern: a full cell of a thousand workers, in which hundreds of steps look for room again and again and
//! hardly a worker has any.

use std::collections::{BTreeSet, HashMap};

use lilacpass_core::Resources;
use lilacpass_jobs::WorkerName;

use crate::{leader::Leader, worker::Worker};

/// Where more than one worker in so many has room, going through all is quicker than putting those in order.
const FEW_IN: usize = 8;

/// The workers of each pool, by free processors.
#[derive(Debug, Default)]
pub struct Rooms {
    /// Pools are few, and one that has had a worker stays.
    pools: Vec<Pool>,
    places: HashMap<WorkerName, Place>,
}

#[derive(Debug)]
struct Pool {
    service: String,
    /// Free processors in thousandths, and the worker.
    by_cpu: BTreeSet<(u64, WorkerName)>,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    pool: usize,
    cpu_milli: u64,
}

impl Rooms {
    /// Notes what a worker has free. To be called whenever that changes.
    pub fn note(&mut self, worker: &Worker) {
        let name = &worker.entry.name;
        let cpu_milli = worker.room().cpu.0;
        let pool = self.pool(&worker.entry.service);
        let Some(place) = self.places.get_mut(name) else {
            self.places.insert(name.clone(), Place { pool, cpu_milli });
            self.pools[pool].by_cpu.insert((cpu_milli, name.clone()));
            return;
        };
        if place.pool == pool && place.cpu_milli == cpu_milli {
            return;
        }
        let old = std::mem::replace(place, Place { pool, cpu_milli });
        let mut row = (old.cpu_milli, name.clone());
        self.pools[old.pool].by_cpu.remove(&row);
        row.0 = cpu_milli;
        self.pools[pool].by_cpu.insert(row);
    }

    /// A worker is gone.
    pub fn remove(&mut self, worker: &WorkerName) {
        if let Some(place) = self.places.remove(worker) {
            self.pools[place.pool].by_cpu.remove(&(place.cpu_milli, worker.clone()));
        }
    }

    /// The workers of a pool with at least as many free processors as `need`, in order of their names; none
    /// where they are more than `most`.
    pub fn with_cpu(
        &self,
        service: &str,
        need: &Resources,
        most: usize,
    ) -> Option<Vec<&WorkerName>> {
        let pool = self.pools.iter().find(|pool| pool.service == service);
        let most_first = pool.into_iter().flat_map(|pool| pool.by_cpu.iter().rev());
        let roomy = most_first.take_while(|(cpu_milli, _)| *cpu_milli >= need.cpu.0);
        let mut names: Vec<&WorkerName> = roomy.take(most + 1).map(|(_, name)| name).collect();
        if names.len() > most {
            return None;
        }
        names.sort_unstable();
        Some(names)
    }

    fn pool(&mut self, service: &str) -> usize {
        if let Some(at) = self.pools.iter().position(|pool| pool.service == service) {
            return at;
        }
        self.pools.push(Pool { service: service.to_owned(), by_cpu: BTreeSet::new() });
        self.pools.len() - 1
    }
}

impl Leader {
    /// Workers in order of their names, among them all of a service with at least as many free processors as
    /// `need`.
    pub(crate) fn workers_with_cpu(&self, service: &str, need: &Resources) -> Vec<&Worker> {
        match self.rooms.with_cpu(service, need, self.workers.len() / FEW_IN) {
            Some(few) => few.into_iter().filter_map(|name| self.workers.get(name)).collect(),
            None => self.workers.values().collect(),
        }
    }
}
