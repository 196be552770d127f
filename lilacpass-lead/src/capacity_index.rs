//! Workers by their room, so that a step that waits finds those that can hold it, and those that suit it best,
//! without going through all.
//!
//! Load pattern: a full cell of a thousand workers, in which hundreds of steps look for room again and again and
//! hardly a worker has any.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, btree_map},
};

use lilacpass_core::Resources;
use lilacpass_jobs::WorkerName;

use crate::{leader::Leader, place, worker::Worker};

/// Where more than one worker in so many has room, going through all is quicker than putting those in order.
const FEW_IN: usize = 8;

/// The workers of each pool, by free processors.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    /// Pools are few, and one that has had a worker stays.
    pools: Vec<Pool>,
    places: HashMap<WorkerName, Place>,
}

#[derive(Debug)]
struct Pool {
    service: String,
    /// By free processors in thousandths, and by name, what is free.
    by_cpu: BTreeMap<(u64, WorkerName), Resources>,
    /// By data centre, the workers in the order in which they suit, with what is free.
    by_score: BTreeMap<String, BTreeMap<Preferred, Resources>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Place {
    pool: usize,
    room: Resources,
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

impl CapacityIndex {
    /// Notes what a worker has free, and whether it can get work at all. To be called whenever either changes.
    ///
    /// One that has not answered this leader can't. Right after a change of the leader none has, and hundreds of
    /// steps look for room.
    pub fn update(&mut self, worker: &Worker) {
        let name = &worker.registration.name;
        if !worker.is_available() {
            return self.remove(name);
        }
        let room = worker.free_capacity();
        let place = Place {
            pool: self.pool(&worker.registration.service),
            room,
            data_centre: worker.registration.data_centre.clone(),
            preferred: Preferred {
                used_accelerators: Reverse(worker.used.accelerators.0),
                free_share: Reverse(place::free_share(&room, &worker.registration.capacity)),
                worker: name.clone(),
            },
        };
        if self.places.get(name) == Some(&place) {
            return;
        }
        self.remove(name);
        let pool = &mut self.pools[place.pool];
        pool.by_cpu.insert((room.cpu.0, name.clone()), room);
        let centre = pool.by_score.entry(place.data_centre.clone()).or_default();
        centre.insert(place.preferred.clone(), room);
        self.places.insert(name.clone(), place);
    }

    /// A worker is gone.
    pub fn remove(&mut self, worker: &WorkerName) {
        let Some(place) = self.places.remove(worker) else { return };
        let pool = &mut self.pools[place.pool];
        pool.by_cpu.remove(&(place.room.cpu.0, worker.clone()));
        if let Some(centre) = pool.by_score.get_mut(&place.data_centre) {
            centre.remove(&place.preferred);
        }
    }

    /// The workers of a pool with room for `need`, in the order in which they suit a step: those of its home first, then by what is in
    /// use and free there, then by name.
    pub fn by_preference(
        &self,
        service: &str,
        home: Option<&str>,
        need: Resources,
    ) -> impl Iterator<Item = &WorkerName> {
        let pool = self.pools.iter().find(|pool| pool.service == service);
        let at_home = pool.and_then(|pool| pool.by_score.get(home?));
        let centres = pool.into_iter().flat_map(|pool| &pool.by_score);
        let others = centres.filter(move |(centre, _)| Some(centre.as_str()) != home);
        let mut others: Vec<_> = others.map(|(_, workers)| workers.iter()).collect();
        let merged = std::iter::from_fn(move || {
            let first = others.iter_mut().min_by_key(|rest| {
                // Those that are used up come last.
                let next = btree_map::Iter::clone(rest).next().map(|(preferred, _)| preferred);
                (next.is_none(), next)
            });
            first.and_then(Iterator::next)
        });
        let in_order = at_home.into_iter().flatten().chain(merged);
        in_order.filter(move |(_, room)| need.fits(room)).map(|(preferred, _)| &preferred.worker)
    }

    /// The workers of a pool with room for `need`, in order of their names; none where they are more than
    /// `most`.
    pub fn fitting(
        &self,
        service: &str,
        need: &Resources,
        most: usize,
    ) -> Option<Vec<&WorkerName>> {
        let pool = self.pools.iter().find(|pool| pool.service == service);
        let most_first = pool.into_iter().flat_map(|pool| pool.by_cpu.iter().rev());
        let roomy = most_first
            .take_while(|((cpu_milli, _), _)| *cpu_milli >= need.cpu.0)
            .filter(|(_, room)| need.fits(room));
        let mut names: Vec<&WorkerName> = roomy.take(most + 1).map(|((_, name), _)| name).collect();
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
        let (by_cpu, by_score) = (BTreeMap::new(), BTreeMap::new());
        self.pools.push(Pool { service: service.to_owned(), by_cpu, by_score });
        self.pools.len() - 1
    }
}

impl Leader {
    /// Workers in order of their names, among them all of a service with room for `need`.
    pub(crate) fn workers_fitting(&self, service: &str, need: &Resources) -> Vec<&Worker> {
        match self.capacity_index.fitting(service, need, self.workers.len() / FEW_IN) {
            Some(few) => few.into_iter().filter_map(|name| self.workers.get(name)).collect(),
            None => self.workers.values().collect(),
        }
    }
}
