//! Index of the workers by free capacity. It finds the workers on which a task fits, and the most suitable ones,
//! without a scan of all workers.
//!
//! Load pattern: a full cell of a thousand workers, in which hundreds of steps look for capacity again and again and
//! hardly any worker has free capacity.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, btree_map},
};

use lilacpass_core::{Resources, hash_map::HashMap};
use lilacpass_jobs::WorkerName;

use crate::{leader::Leader, place, worker::Worker};

/// If more than one worker in this many fits, a scan of all workers is faster than sorting those that fit.
const INDEX_LOOKUP_DIVISOR: usize = 8;

/// Index of the workers that can get work, by pool.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    /// One pool per service. There are only a few, so pools are never removed.
    pools: Vec<Pool>,
    entries: HashMap<WorkerName, IndexEntry>,
}

/// The indexed workers of one service.
#[derive(Debug)]
struct Pool {
    service: String,
    /// Free resources by free CPU in thousandths of a core and worker name.
    by_cpu: BTreeMap<(u64, WorkerName), Resources>,
    /// For each data centre, the free resources of its workers in order of preference. There are only a few, so data
    /// centres are never removed.
    data_centres: Vec<(String, BTreeMap<PreferenceKey, Resources>)>,
}

/// The position of a worker in the index.
#[derive(Clone, Debug, PartialEq, Eq)]
struct IndexEntry {
    pool: usize,
    free: Resources,
    /// Index of the data centre in the pool.
    data_centre: usize,
    key: PreferenceKey,
}

/// Sort key of a worker, made of the parts of [`place::Score`] that depend on its free capacity. The smallest key is
/// the most preferred.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PreferenceKey {
    used_accelerators: Reverse<u64>,
    free_share: Reverse<u64>,
    worker: WorkerName,
}

impl CapacityIndex {
    /// Updates the entry of a worker. It must be called whenever the worker's free capacity changes, or whether it can
    /// get work at all.
    ///
    /// A worker that has not yet accepted this leader's epoch cannot get work and is left out. Right after a take-over
    /// this holds for all workers, while hundreds of steps look for capacity.
    pub fn update(&mut self, worker: &Worker) {
        let name = &worker.registration.name;
        if !worker.is_available() {
            return self.remove(name);
        }
        let free = worker.free_capacity();
        let pool = self.pool_index(&worker.registration.service);
        let entry = IndexEntry {
            pool,
            free,
            data_centre: self.pools[pool].data_centre_index(&worker.registration.data_centre),
            key: PreferenceKey {
                used_accelerators: Reverse(worker.used.accelerators.0),
                free_share: Reverse(place::free_share(&free, &worker.registration.capacity)),
                worker: name.clone(),
            },
        };
        if self.entries.get(name) == Some(&entry) {
            return;
        }
        self.remove(name);
        let pool = &mut self.pools[entry.pool];
        pool.by_cpu.insert((free.cpu.0, name.clone()), free);
        pool.data_centres[entry.data_centre].1.insert(entry.key.clone(), free);
        self.entries.insert(name.clone(), entry);
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &WorkerName) {
        let Some(entry) = self.entries.remove(worker) else { return };
        let pool = &mut self.pools[entry.pool];
        pool.by_cpu.remove(&(entry.free.cpu.0, worker.clone()));
        pool.data_centres[entry.data_centre].1.remove(&entry.key);
    }

    /// Returns the workers of a service on which `need` fits, in order of preference: all workers in the home data
    /// centre come before the others. Each of the two groups is sorted by accelerators in use, most first, then by free
    /// share of CPU, greatest first, and then by name.
    pub fn by_preference(
        &self,
        service: &str,
        home: Option<&str>,
        need: Resources,
    ) -> impl Iterator<Item = &WorkerName> {
        let pool = self.pools.iter().find(|pool| pool.service == service);
        let data_centres = pool.map(|pool| pool.data_centres.as_slice()).unwrap_or_default();
        let is_home = move |data_centre: &str| Some(data_centre) == home;
        let at_home = data_centres.iter().find(|(data_centre, _)| is_home(data_centre));
        let at_home = at_home.map(|(_, workers)| workers);
        let others = data_centres.iter().filter(|(data_centre, _)| !is_home(data_centre));
        let mut others: Vec<_> = others.map(|(_, workers)| workers.iter()).collect();
        let merged = std::iter::from_fn(move || {
            let first = others.iter_mut().min_by_key(|rest| {
                // Exhausted iterators come last.
                let next = btree_map::Iter::clone(rest).next().map(|(key, _)| key);
                (next.is_none(), next)
            });
            first.and_then(Iterator::next)
        });
        let in_order = at_home.into_iter().flatten().chain(merged);
        in_order.filter(move |(_, free)| need.fits(free)).map(|(key, _)| &key.worker)
    }

    /// Returns the workers of a service on which `need` fits, sorted by name; `None` if there are more than
    /// `max_workers`.
    pub fn fitting(
        &self,
        service: &str,
        need: &Resources,
        max_workers: usize,
    ) -> Option<Vec<&WorkerName>> {
        let pool = self.pools.iter().find(|pool| pool.service == service);
        let descending = pool.into_iter().flat_map(|pool| pool.by_cpu.iter().rev());
        let fitting = descending
            .take_while(|((cpu_milli, _), _)| *cpu_milli >= need.cpu.0)
            .filter(|(_, free)| need.fits(free));
        let mut names: Vec<&WorkerName> =
            fitting.take(max_workers + 1).map(|((_, name), _)| name).collect();
        if names.len() > max_workers {
            return None;
        }
        names.sort_unstable();
        Some(names)
    }

    /// Returns whether `need` fits on any worker of a service.
    pub fn fits_any(&self, service: &str, need: &Resources) -> bool {
        self.fitting(service, need, 0).is_none()
    }

    /// Returns the index of the pool of a service, and adds the pool if it is new.
    fn pool_index(&mut self, service: &str) -> usize {
        if let Some(at) = self.pools.iter().position(|pool| pool.service == service) {
            return at;
        }
        let (by_cpu, data_centres) = (BTreeMap::new(), Vec::new());
        self.pools.push(Pool { service: service.to_owned(), by_cpu, data_centres });
        self.pools.len() - 1
    }
}

impl Pool {
    /// Returns the index of a data centre, and adds the data centre if it is new.
    fn data_centre_index(&mut self, data_centre: &str) -> usize {
        if let Some(at) = self.data_centres.iter().position(|(known, _)| known == data_centre) {
            return at;
        }
        self.data_centres.push((data_centre.to_owned(), BTreeMap::new()));
        self.data_centres.len() - 1
    }
}

impl Leader {
    /// Returns workers sorted by name, which include all workers of a service on which `need` fits. Others may be
    /// included too.
    pub(crate) fn workers_fitting(&self, service: &str, need: &Resources) -> Vec<&Worker> {
        match self.capacity_index.fitting(service, need, self.workers.len() / INDEX_LOOKUP_DIVISOR)
        {
            Some(few) => few.into_iter().filter_map(|name| self.workers.get(name)).collect(),
            None => self.workers.values().collect(),
        }
    }
}
