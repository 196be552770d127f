//! Index of the workers by free capacity. It finds the workers on which a task fits, and the most suitable ones,
//! without a scan of all workers.
//!
//! Load pattern: a full cell of a thousand workers, in which hundreds of steps look for capacity again and again and
//! hardly any worker has free capacity.

use std::{
    cell::Cell,
    cmp::Reverse,
    collections::{BTreeMap, btree_map},
};

use lilacpass_core::{Resources, hash_map::HashMap};
use lilacpass_jobs::WorkerName;

use crate::{
    learned::{preference::SpeedPreference, speeds::SpeedBucket},
    place,
    worker::Worker,
};

/// Maximum number of workers of a group that are looked at to estimate what a data centre can hold.
const MAX_ESTIMATED_WORKERS: usize = 24;

/// Index of the workers that accept starts, by pool.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    /// One pool per service. There are only a few, so pools are never removed.
    pools: Vec<Pool>,
    entries: HashMap<WorkerName, IndexEntry>,
    /// Number of entries that lookups have gone through.
    visits: Cell<u64>,
}

/// What a data centre can hold of a step, as far as it was looked at. The greatest is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DataCentreCapacity<'a> {
    /// Number of tasks that fit there, at most the limit of the estimate.
    pub tasks: u64,
    /// Free CPU of all its workers that may be used, in thousandths of a core.
    pub free_cpu_milli: u64,
    /// Name of the data centre.
    pub data_centre: &'a str,
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
    /// Sum of their free CPU in thousandths of a core.
    free_cpu_milli: u64,
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
    /// Updates the entry of a worker. It must be called whenever the worker's free capacity changes, or whether runs may be
    /// started there.
    ///
    /// Workers that accept no starts are left out. Those that fail their runs, or that belong to a data centre that is
    /// cut off, have the most free capacity, and a search that looks at the first workers only would find no others.
    pub fn update(&mut self, worker: &Worker, now_ms: u64) {
        let name = &worker.registration.name;
        if !worker.accepts_starts(now_ms) {
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
        let group = &mut pool.groups[entry.group];
        group.workers.insert(entry.key.clone(), free);
        group.free_cpu_milli += free.cpu.0;
        self.entries.insert(name.clone(), entry);
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &WorkerName) {
        let Some(entry) = self.entries.remove(worker) else { return };
        let pool = &mut self.pools[entry.pool];
        pool.by_cpu.remove(&(entry.free.cpu.0, worker.clone()));
        let group = &mut pool.groups[entry.group];
        group.workers.remove(&entry.key);
        group.free_cpu_milli -= entry.free.cpu.0;
    }

    /// Number of entries that lookups have gone through.
    pub fn visits(&self) -> u64 {
        self.visits.get()
    }

    fn count_visit(&self) {
        self.visits.set(self.visits.get() + 1);
    }

    fn pool(&self, service: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.service == service)
    }

    /// Estimates how many tasks that need `need` fit into each data centre, up to `max_tasks`, on workers that are
    /// `usable` and whose speed is `usable_speed`. Looks at the workers with the greatest free share first, and at a
    /// bounded number of them, so that the cost does not grow with the workers.
    pub fn estimate_by_data_centre(
        &self,
        service: &str,
        need: &Resources,
        max_tasks: u64,
        usable_speed: impl Fn(SpeedBucket) -> bool,
        usable: impl Fn(&WorkerName) -> bool,
    ) -> Vec<DataCentreCapacity<'_>> {
        // There are only a few data centres, so searching a list is faster than a map.
        let mut capacities: Vec<DataCentreCapacity<'_>> = Vec::new();
        let groups = self.pool(service).into_iter().flat_map(|pool| &pool.groups);
        for group in groups.filter(|group| usable_speed(group.speed)) {
            let data_centre = group.data_centre.as_str();
            let known = capacities.iter().position(|known| known.data_centre == data_centre);
            let at = known.unwrap_or_else(|| {
                capacities.push(DataCentreCapacity { tasks: 0, free_cpu_milli: 0, data_centre });
                capacities.len() - 1
            });
            let capacity = &mut capacities[at];
            capacity.free_cpu_milli += group.free_cpu_milli;
            for (key, free) in group.workers.iter().take(MAX_ESTIMATED_WORKERS) {
                if capacity.tasks >= max_tasks {
                    break;
                }
                self.count_visit();
                let tasks = place::count_fitting(free, need, max_tasks - capacity.tasks);
                if tasks > 0 && usable(&key.worker) {
                    capacity.tasks += tasks;
                }
            }
        }
        capacities
    }

    /// Returns the workers of a service on which `need` fits, in order of preference. Unless the step prefers workers by
    /// their speed, all workers in the home data centre come before the others. Workers that are preferred alike are
    /// sorted by accelerators in use, most first, then by free share of CPU, greatest first, and then by name. Looks at
    /// most at the first `max_looked_at` workers.
    pub fn by_preference(
        &self,
        service: &str,
        home: Option<&str>,
        need: Resources,
        preference: SpeedPreference,
        max_looked_at: usize,
    ) -> impl Iterator<Item = &WorkerName> {
        let mut groups: Vec<&Group> =
            self.pool(service).into_iter().flat_map(|pool| &pool.groups).collect();
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
        let in_order = alike.into_iter().flat_map(merge).take(max_looked_at);
        let in_order = in_order.inspect(|_| self.count_visit());
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
        let pool = self.pool(service);
        let descending = pool.into_iter().flat_map(|pool| pool.by_cpu.iter().rev());
        let fitting = descending
            .take_while(|((cpu_milli, _), _)| *cpu_milli >= need.cpu.0)
            .inspect(|_| self.count_visit())
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
        self.groups.push(Group { data_centre, speed, workers, free_cpu_milli: 0 });
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
