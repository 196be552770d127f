//! The workers of the inventory: added, changed and removed.

use lilacpass_core::{MonoTime, Resources, ids::WorkerId};

use crate::pool::{
    Pool,
    worker::{Worker, WorkerSpec},
};

impl Pool {
    /// Adds a worker, or changes what is known of it. A new one gets nothing before `set_limit`.
    pub fn upsert_worker(&mut self, spec: WorkerSpec, _now: MonoTime) {
        let next_rack = self.racks.len() as u32;
        let rack = *self.racks.entry(spec.rack.clone()).or_insert(next_rack);
        let number = self.number_or_new(&spec, rack);
        self.unlist(number);
        self.recount_standing(number, false);
        let worker = &mut self.workers[number as usize];
        worker.spec = spec;
        worker.rack = rack;
        self.recount_standing(number, true);
        self.list(number);
        self.keep_to_cap();
        self.refresh(number);
    }

    /// Removes a worker. Its tasks stay accounted for until they are released.
    pub fn remove_worker(&mut self, id: &WorkerId) {
        let Some(&number) = self.numbers.get(id) else { return };
        self.unlist(number);
        let worker = &mut self.workers[number as usize];
        worker.limit = Resources::ZERO;
        self.drop_kept(number);
        self.refresh(number);
        self.keep_to_cap();
        self.forget_if_empty(number);
    }

    /// Sets the most that may be given on a worker in all right now; zero for nothing new.
    pub fn set_limit(&mut self, id: &WorkerId, limit: Resources, _now: MonoTime) {
        let Some(&number) = self.numbers.get(id) else { return };
        self.workers[number as usize].limit = limit;
        self.refresh(number);
    }

    /// Says whether a worker is leaving, according to the instance list: it gets nothing new.
    pub fn set_leaving(&mut self, id: &WorkerId, leaving: bool) {
        let Some(&number) = self.numbers.get(id) else { return };
        self.workers[number as usize].leaving = leaving;
        self.refresh(number);
    }

    pub(super) fn number_or_new(&mut self, spec: &WorkerSpec, rack: u32) -> u32 {
        if let Some(&number) = self.numbers.get(&spec.id) {
            return number;
        }
        let mut worker = Worker::new(spec.clone(), rack);
        worker.listed = false;
        let number = match self.vacant.pop() {
            Some(number) => {
                self.workers[number as usize] = worker;
                number
            }
            None => {
                self.workers.push(worker);
                self.index.push();
                self.workers.len() as u32 - 1
            }
        };
        self.numbers.insert(spec.id.clone(), number);
        number
    }

    /// The number of a worker, which is made up where the inventory does not have it (yet).
    pub(super) fn number_or_unlisted(&mut self, id: &WorkerId) -> u32 {
        if let Some(&number) = self.numbers.get(id) {
            return number;
        }
        let spec = WorkerSpec::unknown(id.clone());
        self.number_or_new(&spec, u32::MAX)
    }

    pub(super) fn list(&mut self, number: u32) {
        let worker = &mut self.workers[number as usize];
        worker.listed = true;
        self.listed += 1;
        self.in_quarantine += usize::from(worker.health.is_quarantined());
        let capacity = worker.spec.capacity;
        self.capacity = self.capacity.plus(&capacity);
        self.usage.capacity = self.capacity;
        match self.shapes.iter_mut().find(|(shape, _)| *shape == capacity) {
            Some((_, count)) => *count += 1,
            None => self.shapes.push((capacity, 1)),
        }
    }

    pub(super) fn unlist(&mut self, number: u32) {
        let worker = &mut self.workers[number as usize];
        if !worker.listed {
            return;
        }
        worker.listed = false;
        self.listed -= 1;
        self.in_quarantine -= usize::from(worker.health.is_quarantined());
        let capacity = worker.spec.capacity;
        self.capacity = self.capacity.minus(&capacity);
        self.usage.capacity = self.capacity;
        if let Some(at) = self.shapes.iter().position(|(shape, _)| *shape == capacity) {
            self.shapes[at].1 -= 1;
            self.shapes.retain(|(_, count)| *count > 0);
        }
    }

    pub(super) fn forget_if_empty(&mut self, number: u32) {
        let worker = &self.workers[number as usize];
        if !worker.is_forgotten() || self.numbers.get(&worker.spec.id) != Some(&number) {
            return;
        }
        self.numbers.remove(&worker.spec.id);
        self.evidence.forget_worker(number);
        self.vacant.push(number);
    }
}
