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

use crate::{
    leader::Leader,
    learned::{preference::SpeedPreference, speeds::SpeedBucket},
    place,
    worker::Worker,
};

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
    /// The workers by data centre and speed. There are only a few groups, so they are never removed.
    groups: Vec<Group>,
}

/// The indexed workers of one service that are in one data centre and equally fast.
#[derive(Debug)]
struct Group {
    data_centre: String,
    speed: SpeedBucket,
    /// Their free resources in order of preference.
    workers: BTreeMap<PreferenceKey, Resources>,
}

/// The position of a worker in the index.
#[derive(Clone, Debug, PartialEq, Eq)]
struct IndexEntry {
    pool: usize,
    free: Resources,
    /// Index of the group in the pool.
    group: usize,
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
            group: self.pools[pool].group_index(&worker.registration.data_centre, worker.speed),
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
        pool.groups[entry.group].workers.insert(entry.key.clone(), free);
        self.entries.insert(name.clone(), entry);
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &WorkerName) {
        let Some(entry) = self.entries.remove(worker) else { return };
        let pool = &mut self.pools[entry.pool];
        pool.by_cpu.remove(&(entry.free.cpu.0, worker.clone()));
        pool.groups[entry.group].workers.remove(&entry.key);
    }

    /// Returns the workers of a service on which `need` fits, in order of preference. Unless the step prefers workers by
    /// their speed, all workers in the home data centre come before the others. Workers that are preferred alike are
    /// sorted by accelerators in use, most first, then by free share of CPU, greatest first, and then by name.
    pub fn by_preference(
        &self,
        service: &str,
        home: Option<&str>,
        need: Resources,
        preference: SpeedPreference,
    ) -> impl Iterator<Item = &WorkerName> {
        let pool = self.pools.iter().find(|pool| pool.service == service);
        let mut groups: Vec<&Group> = pool.into_iter().flat_map(|pool| &pool.groups).collect();
        groups.retain(|group| !group.workers.is_empty());
        let order = move |group: &&Group| {
            let at_home = Some(group.data_centre.as_str()) == home;
            let (class, order) = (preference.class(group.speed), preference.order(group.speed));
            Reverse((class, at_home, order))
        };
        groups.sort_by_key(order);
        let alike: Vec<Vec<_>> = groups
            .chunk_by(|group, next| order(group) == order(next))
            .map(|alike| alike.iter().map(|group| group.workers.iter()).collect())
            .collect();
        let in_order = alike.into_iter().flat_map(merge);
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
        let (by_cpu, groups) = (BTreeMap::new(), Vec::new());
        self.pools.push(Pool { service: service.to_owned(), by_cpu, groups });
        self.pools.len() - 1
    }
}

impl Pool {
    /// Returns the index of the group of a data centre and speed, and adds the group if it is new.
    fn group_index(&mut self, data_centre: &str, speed: SpeedBucket) -> usize {
        let is_same = |group: &Group| group.speed == speed && group.data_centre == data_centre;
        if let Some(at) = self.groups.iter().position(is_same) {
            return at;
        }
        let (data_centre, workers) = (data_centre.to_owned(), BTreeMap::new());
        self.groups.push(Group { data_centre, speed, workers });
        self.groups.len() - 1
    }
}

/// Merges groups of workers, each in order of preference.
fn merge(
    mut groups: Vec<btree_map::Iter<'_, PreferenceKey, Resources>>,
) -> impl Iterator<Item = (&PreferenceKey, &Resources)> {
    std::iter::from_fn(move || {
        let first = groups.iter_mut().min_by_key(|rest| {
            // Exhausted iterators come last.
            let next = btree_map::Iter::clone(rest).next().map(|(key, _)| key);
            (next.is_none(), next)
        });
        first.and_then(Iterator::next)
    })
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
