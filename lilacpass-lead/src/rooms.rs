//! Workers by their room, so that a step that waits finds those that can hold it, and those that suit it best,
//! without going through all.
//!
//! Load pattern: a full cell of a thousand workers, in which hundreds of steps look for room again and again and
//! hardly a worker has any.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, btree_set},
};

use lilacpass_core::Resources;
use lilacpass_jobs::WorkerName;

use crate::{leader::Leader, place, worker::Worker};

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
    /// By data centre, the workers in the order in which they suit.
    by_score: BTreeMap<String, BTreeSet<Preferred>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Place {
    pool: usize,
    cpu_milli: u64,
    data_centre: String,
    preferred: Preferred,
}

/// A worker by what its score takes from its room; the least comes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preferred {
    used_accelerators: Reverse<u64>,
    free_share: Reverse<u64>,
    worker: WorkerName,
}

impl Rooms {
    /// Notes what a worker has free. To be called whenever that changes.
    pub fn note(&mut self, worker: &Worker) {
        let name = &worker.entry.name;
        let room = worker.room();
        let place = Place {
            pool: self.pool(&worker.entry.service),
            cpu_milli: room.cpu.0,
            data_centre: worker.entry.data_centre.clone(),
            preferred: Preferred {
                used_accelerators: Reverse(worker.used.accelerators.0),
                free_share: Reverse(place::free_share(&room, &worker.entry.capacity)),
                worker: name.clone(),
            },
        };
        if self.places.get(name) == Some(&place) {
            return;
        }
        self.remove(name);
        let pool = &mut self.pools[place.pool];
        pool.by_cpu.insert((place.cpu_milli, name.clone()));
        let centre = pool.by_score.entry(place.data_centre.clone()).or_default();
        centre.insert(place.preferred.clone());
        self.places.insert(name.clone(), place);
    }

    /// A worker is gone.
    pub fn remove(&mut self, worker: &WorkerName) {
        let Some(place) = self.places.remove(worker) else { return };
        let pool = &mut self.pools[place.pool];
        pool.by_cpu.remove(&(place.cpu_milli, worker.clone()));
        if let Some(centre) = pool.by_score.get_mut(&place.data_centre) {
            centre.remove(&place.preferred);
        }
    }

    /// The workers of a pool in the order in which they suit a step: those of its home first, then by what is in
    /// use and free there, then by name.
    pub fn preferred(
        &self,
        service: &str,
        home: Option<&str>,
    ) -> impl Iterator<Item = &WorkerName> {
        let pool = self.pools.iter().find(|pool| pool.service == service);
        let at_home = pool.and_then(|pool| pool.by_score.get(home?));
        let centres = pool.into_iter().flat_map(|pool| &pool.by_score);
        let others = centres.filter(move |(centre, _)| Some(centre.as_str()) != home);
        let mut others: Vec<_> = others.map(|(_, workers)| workers.iter()).collect();
        let merged = std::iter::from_fn(move || {
            let first = others.iter_mut().min_by_key(|rest| {
                // Those that are used up come last.
                let next = btree_set::Iter::clone(rest).next();
                (next.is_none(), next)
            });
            first.and_then(Iterator::next)
        });
        at_home.into_iter().flatten().chain(merged).map(|preferred| &preferred.worker)
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
        let (by_cpu, by_score) = (BTreeSet::new(), BTreeMap::new());
        self.pools.push(Pool { service: service.to_owned(), by_cpu, by_score });
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
