//! The workers that this entry instance may give work on, and all that is given and held there.
//!
//! A pool accounts for every task from the moment that it is given to the moment that the caller
//! reports how it ended. Workers have small internal numbers; names are looked up once.

mod gang;
pub(crate) mod health;
mod hold;
mod index;
mod peak;
mod place;
mod preempt;
mod quarantine;
mod worker;

use std::{collections::BTreeSet, time::Duration};

use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{RackId, TaskId, TeamId, WorkerId},
};

pub use crate::pool::{
    health::Reason,
    place::NoPlace,
    preempt::{How, Preempt},
    quarantine::Blame,
    worker::WorkerSpec,
};
use crate::{
    learned::Learned,
    map::Map,
    pool::{
        gang::Turn, hold::Hold, index::Index, peak::Peak, place::Kept, quarantine::Evidence,
        worker::Worker,
    },
    rules::Policy,
    share::TeamUsage,
    task::{Given, HoldId, Outcome, Released, TaskMeta},
};

/// How a pool behaves, beyond the rules of the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolOptions {
    /// For how long the peak of urgent work is remembered, between once and twice this time;
    /// 30 s by default.
    pub peak_window: Duration,
    /// The most room that is kept for the peak of urgent work, in thousandths of the capacity;
    /// 150 by default.
    pub max_reserve_permille: u32,
    /// The most room that is kept free or in the hands of tasks that can be checkpointed, in
    /// thousandths of the capacity; 350 by default.
    pub max_cheap_reserve_permille: u32,
    /// One batch task in this time starts in a pool even in the room kept for urgent work; 5 s
    /// by default.
    pub batch_trickle: Duration,
    /// How long gangs find too little room before single batch tasks are held back for them; 5 s
    /// by default.
    pub gang_patience: Duration,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            peak_window: Duration::from_secs(30),
            max_reserve_permille: 150,
            max_cheap_reserve_permille: 350,
            batch_trickle: Duration::from_secs(5),
            gang_patience: Duration::from_secs(5),
        }
    }
}

/// What a pool tells others of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolDigest {
    /// The room on all workers that take new work.
    pub free: Resources,
    /// The most room that one of them has, per resource.
    pub largest: Resources,
    /// The number of workers that take new work.
    pub workers: u32,
    /// The number of workers in quarantine.
    pub quarantined: u32,
    /// What all workers of the inventory have.
    pub capacity: Resources,
    /// What is given on them.
    pub given: Resources,
}

/// The workers that this entry instance may give work on.
#[derive(Clone, Debug)]
pub struct Pool {
    options: PoolOptions,
    policy: Policy,
    /// Sizes and run times that were seen here.
    pub learned: Learned,
    numbers: Map<WorkerId, u32>,
    racks: Map<RackId, u32>,
    workers: Vec<Worker>,
    index: Index,
    /// The worker that is kept for a large task which smaller ones would otherwise starve.
    kept: Option<Kept>,
    /// What is given to tasks that could make room at a small cost.
    cheap: Resources,
    /// Whether gangs are short of room.
    turn: Turn,
    /// When batch work was last given or held.
    last_batch: MonoTime,
    /// Where the next search for tasks to preempt begins.
    preempt_from: usize,
    vacant: Vec<u32>,
    listed: u32,
    in_quarantine: usize,
    capacity: Resources,
    /// Distinct capacities and the number of listed workers with each.
    shapes: Vec<(Resources, u32)>,
    tasks: Map<TaskId, Given>,
    given: Resources,
    usage: TeamUsage,
    urgent: Peak,
    /// Tasks that are given, per class.
    running: [usize; Class::ALL.len()],
    /// Tasks that were chosen to be preempted and are still given.
    preempting: usize,
    holds: Map<HoldId, Hold>,
    expiry: BTreeSet<(MonoTime, HoldId)>,
    evidence: Evidence,
    /// Standing tasks per service, kind and rack, to spread them.
    standing: Map<place::StandingKey, u32>,
}

impl Pool {
    /// A pool without workers, under the default rules.
    pub fn new(options: PoolOptions) -> Self {
        let urgent = Peak::new(options.peak_window);
        Self {
            options,
            policy: Policy::default(),
            learned: Learned::default(),
            numbers: Map::default(),
            racks: Map::default(),
            workers: Vec::new(),
            index: Index::default(),
            kept: None,
            cheap: Resources::ZERO,
            turn: Turn::Idle,
            last_batch: MonoTime::default(),
            preempt_from: 0,
            vacant: Vec::new(),
            listed: 0,
            in_quarantine: 0,
            capacity: Resources::ZERO,
            shapes: Vec::new(),
            tasks: Map::default(),
            given: Resources::ZERO,
            usage: TeamUsage::default(),
            urgent,
            running: Default::default(),
            preempting: 0,
            holds: Map::default(),
            expiry: BTreeSet::new(),
            evidence: Evidence::default(),
            standing: Map::default(),
        }
    }

    /// Puts other rules into force.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
        self.keep_to_cap();
    }

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

    /// Accounts for a task that runs on a worker, whatever the limit says; for adoption.
    ///
    /// Returns the other worker that the task was accounted for on until now, if any: one of the
    /// two reports must be wrong, and the caller has to find out which.
    pub fn give(
        &mut self,
        task: TaskId,
        worker: &WorkerId,
        need: Resources,
        meta: TaskMeta,
        now: MonoTime,
    ) -> Option<WorkerId> {
        let number = self.number_or_unlisted(worker);
        let earlier = self.take_out(&task);
        if let Some((earlier, _)) = &earlier {
            self.drop_probe(*earlier, &task, now);
            self.refresh(*earlier);
        }
        self.put_in(task, number, need, meta, false, now);
        let (earlier, _) = earlier.filter(|(earlier, _)| *earlier != number)?;
        let name = self.name(earlier);
        self.forget_if_empty(earlier);
        Some(name)
    }

    /// Gives a task where the worker takes new work and has room; `false` changes nothing.
    pub fn try_give(
        &mut self,
        task: TaskId,
        worker: &WorkerId,
        need: Resources,
        meta: TaskMeta,
        now: MonoTime,
    ) -> bool {
        let Some(&number) = self.numbers.get(worker) else { return false };
        if self.tasks.contains_key(&task) || !self.takes(number, &need, &meta, Some(&task), now) {
            return false;
        }
        self.start_probe(number, task, now);
        self.put_in(task, number, need, meta, false, now);
        true
    }

    /// Takes a task off its worker and learns from how it ended.
    pub fn release(
        &mut self,
        task: &TaskId,
        outcome: Outcome,
        ran: Duration,
        now: MonoTime,
    ) -> Option<Released> {
        let (number, given) = self.take_out(task)?;
        self.worker_outcome(number, task, &given.meta, outcome, ran, now);
        self.refresh(number);
        let worker = self.name(number);
        self.forget_if_empty(number);
        Some(Released {
            worker,
            need: given.need,
            meta: given.meta,
            given_for: now.since(given.since),
        })
    }

    /// Changes what is given to a task, such as after it was throttled.
    ///
    /// Returns `false` and changes nothing where the task is unknown or would outgrow the limit.
    pub fn resize(&mut self, task: &TaskId, need: Resources, now: MonoTime) -> bool {
        let Some(given) = self.tasks.get(task) else { return false };
        let (number, old) = (given.worker, given.need);
        let room = self.workers[number as usize].room();
        if !need.minus(&old).fits(&room) {
            return false;
        }
        let (_, given) = self.take_out(task).expect("the task was just found");
        self.put_in(*task, number, need, given.meta, given.gang, now);
        let resized = self.tasks.get_mut(task).expect("the task was just put in");
        resized.since = given.since;
        true
    }

    /// What is given on a worker.
    pub fn given(&self, worker: &WorkerId) -> Resources {
        self.worker(worker).map(|w| w.given).unwrap_or_default()
    }

    /// What is held for gangs on a worker.
    pub fn held(&self, worker: &WorkerId) -> Resources {
        self.worker(worker).map(|w| w.held).unwrap_or_default()
    }

    /// The room on a worker; none where it takes no new work.
    pub fn free(&self, worker: &WorkerId) -> Resources {
        let Some(&number) = self.numbers.get(worker) else { return Resources::ZERO };
        self.index.get(number).open_room()
    }

    /// What a team is given in this pool.
    pub fn team_given(&self, team: &TeamId) -> Resources {
        self.usage.given(team)
    }

    /// What each team is given in this pool, with the capacity of its workers.
    pub fn usage(&self) -> &TeamUsage {
        &self.usage
    }

    /// What is given to a task and where.
    pub fn task(&self, task: &TaskId) -> Option<(&WorkerId, &Given)> {
        let given = self.tasks.get(task)?;
        Some((&self.workers[given.worker as usize].spec.id, given))
    }

    /// The tasks that are given on a worker.
    pub fn tasks_on(&self, worker: &WorkerId) -> impl Iterator<Item = (TaskId, &Given)> {
        let tasks = self.worker(worker).map(|w| w.tasks.as_slice()).unwrap_or_default();
        tasks.iter().filter_map(|task| Some((*task, self.tasks.get(task)?)))
    }

    /// The number of tasks that are given.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// The number of tasks that are given and at least as urgent as `class`.
    pub fn running(&self, class: Class) -> usize {
        self.running[..=class as usize].iter().sum()
    }

    /// The number of tasks that were chosen to be preempted and are still given.
    pub fn preempting(&self) -> usize {
        self.preempting
    }

    /// The workers of the inventory.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerSpec> {
        self.workers.iter().filter(|w| w.listed).map(|w| &w.spec)
    }

    /// What all workers of the inventory have.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// What others need to know of this pool.
    pub fn digest(&self) -> PoolDigest {
        let open = self.index.iter().filter(|entry| entry.is_open());
        let mut digest = PoolDigest {
            quarantined: self.in_quarantine as u32,
            capacity: self.capacity,
            given: self.given,
            free: self.index.open_room(),
            ..PoolDigest::default()
        };
        for entry in open {
            digest.largest = digest.largest.max(&entry.room);
            digest.workers += 1;
        }
        digest
    }

    fn worker(&self, id: &WorkerId) -> Option<&Worker> {
        self.numbers.get(id).map(|&number| &self.workers[number as usize])
    }

    fn name(&self, number: u32) -> WorkerId {
        self.workers[number as usize].spec.id.clone()
    }

    fn number_or_new(&mut self, spec: &WorkerSpec, rack: u32) -> u32 {
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
    fn number_or_unlisted(&mut self, id: &WorkerId) -> u32 {
        if let Some(&number) = self.numbers.get(id) {
            return number;
        }
        let spec = WorkerSpec::unknown(id.clone());
        self.number_or_new(&spec, u32::MAX)
    }

    fn list(&mut self, number: u32) {
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

    fn unlist(&mut self, number: u32) {
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

    fn forget_if_empty(&mut self, number: u32) {
        let worker = &self.workers[number as usize];
        if !worker.is_forgotten() || self.numbers.get(&worker.spec.id) != Some(&number) {
            return;
        }
        self.numbers.remove(&worker.spec.id);
        self.evidence.forget_worker(number);
        self.vacant.push(number);
    }

    fn put_in(
        &mut self,
        task: TaskId,
        number: u32,
        need: Resources,
        meta: TaskMeta,
        gang: bool,
        now: MonoTime,
    ) {
        self.usage.add(&meta.team, &need);
        self.given = self.given.plus(&need);
        self.running[meta.class as usize] += 1;
        if meta.class == Class::Urgent {
            self.urgent.add(&need, now);
        }
        if meta.class == Class::Batch {
            self.last_batch = now;
        }
        if is_cheap(&meta, gang) {
            self.cheap = self.cheap.plus(&need);
        }
        self.count_standing(number, &meta, true);
        let worker = &mut self.workers[number as usize];
        worker.given = worker.given.plus(&need);
        worker.running[meta.class as usize] += 1;
        worker.tasks.push(task);
        let given = Given { need, meta, since: now, preempted: false, gang, worker: number };
        self.tasks.insert(task, given);
        self.unreserve(&task);
        self.refresh(number);
    }

    fn take_out(&mut self, task: &TaskId) -> Option<(u32, Given)> {
        let given = self.tasks.remove(task)?;
        let number = given.worker;
        self.usage.sub(&given.meta.team, &given.need);
        self.given = self.given.minus(&given.need);
        self.running[given.meta.class as usize] -= 1;
        self.preempting -= usize::from(given.preempted);
        if given.meta.class == Class::Urgent {
            self.urgent.sub(&given.need);
        }
        if is_cheap(&given.meta, given.gang) {
            self.cheap = self.cheap.minus(&given.need);
        }
        self.count_standing(number, &given.meta, false);
        let worker = &mut self.workers[number as usize];
        worker.given = worker.given.minus(&given.need);
        worker.running[given.meta.class as usize] -= 1;
        if let Some(at) = worker.tasks.iter().position(|t| t == task) {
            worker.tasks.swap_remove(at);
        }
        self.refresh(number);
        Some((number, given))
    }
}

/// Whether a task can make room for urgent work at a small cost.
fn is_cheap(meta: &TaskMeta, gang: bool) -> bool {
    meta.class == Class::Batch && meta.checkpointable && !gang
}
