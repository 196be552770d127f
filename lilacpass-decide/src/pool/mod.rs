//! The workers that this entry instance may give work on, and all that is given and held there.
//!
//! A pool accounts for every task from the moment that it is given to the moment that the caller
//! reports how it ended. Workers have small internal numbers; names are looked up once.

mod account;
mod gang;
pub(crate) mod health;
mod hold;
mod index;
mod inventory;
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
    task::{Given, HoldId},
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
}
