//! Where a task is placed.

use std::fmt;

use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{KindId, ServiceId, TaskId, WorkerId},
};

use crate::{
    pool::{Pool, health::State, worker::Worker},
    share,
    task::TaskMeta,
};

/// Why a task was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoPlace {
    /// No worker of the inventory could ever hold it.
    NeverFits,
    /// No worker has room now.
    NoRoom,
    /// There is room, but it is kept for urgent work.
    KeptForUrgent,
}

impl fmt::Display for NoPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NeverFits => "never_fits",
            Self::NoRoom => "no_room",
            Self::KeptForUrgent => "kept_for_urgent",
        })
    }
}

/// A kind of standing work on a rack.
pub(super) type StandingKey = (ServiceId, KindId, u32);

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Gate {
    /// Nothing.
    #[default]
    Closed,
    /// Anything that fits.
    Open,
    /// Only the task that it is kept for, until then.
    Reserved(MonoTime),
    /// A probe, from then on.
    Probe(MonoTime),
}

/// What placing looks at for each worker, kept together so that a scan stays in the cache.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Hot {
    pub(super) room: Resources,
    pub(super) gate: Gate,
    /// Evidence against the worker: 0 for none.
    suspicion: u32,
}

impl Hot {
    pub(super) fn is_open(&self) -> bool {
        matches!(self.gate, Gate::Open | Gate::Reserved(_))
    }

    pub(super) fn open_room(&self) -> Resources {
        if self.is_open() { self.room } else { Resources::ZERO }
    }
}

impl Pool {
    /// Chooses a worker for a task, or says why there is none now. Gives nothing yet.
    pub fn place(
        &mut self,
        need: &Resources,
        meta: &TaskMeta,
        avoid: &[WorkerId],
        now: MonoTime,
    ) -> Result<WorkerId, NoPlace> {
        let avoid = self.numbers_of(avoid);
        self.find(need, meta, &avoid, None, now).map(|number| self.name(number))
    }

    /// Chooses a worker and gives the task there.
    pub fn place_and_give(
        &mut self,
        task: TaskId,
        need: Resources,
        meta: &TaskMeta,
        avoid: &[WorkerId],
        now: MonoTime,
    ) -> Result<WorkerId, NoPlace> {
        if self.tasks.contains_key(&task) {
            return Err(NoPlace::NoRoom);
        }
        let avoid = self.numbers_of(avoid);
        let number = self.find(&need, meta, &avoid, Some(&task), now)?;
        self.start_probe(number, task, now);
        self.put_in(task, number, need, meta.clone(), now);
        Ok(self.name(number))
    }

    /// Whether any worker of the inventory could ever hold a task that needs `need`.
    pub fn could_fit(&self, need: &Resources) -> bool {
        self.shapes.iter().any(|(shape, _)| need.fits(shape))
    }

    /// Keeps the best worker for a task that finds no room: nothing else is placed on it before
    /// `until`, and it empties.
    ///
    /// Failure: while small tasks keep coming, they take each bit of room as it comes free, and a
    /// large task waits for ever. At most one worker is kept at a time, so that the room lost to
    /// waiting stays small.
    pub fn reserve(
        &mut self,
        task: &TaskId,
        need: &Resources,
        until: MonoTime,
        now: MonoTime,
    ) -> Option<WorkerId> {
        match self.workers.iter().find_map(|w| w.reserved) {
            Some((other, kept_until)) if !kept_until.reached(now) && other != *task => return None,
            Some((other, _)) => self.unreserve(&other),
            None => {}
        }
        let fits =
            |&n: &usize| self.hot[n].gate == Gate::Open && need.fits(&self.workers[n].allowed());
        let missing =
            |&n: &usize| share::dominant_ppm(&need.minus(&self.hot[n].room), &self.capacity);
        let best = (0..self.workers.len()).filter(fits).min_by_key(missing)?;
        self.workers[best].reserved = Some((*task, until));
        self.refresh(best as u32);
        Some(self.name(best as u32))
    }

    /// Gives up what is kept for a task.
    pub fn unreserve(&mut self, task: &TaskId) {
        let kept = |w: &Worker| w.reserved.is_some_and(|(t, _)| t == *task);
        if let Some(number) = self.workers.iter().position(kept) {
            self.workers[number].reserved = None;
            self.refresh(number as u32);
        }
    }

    /// Finds the best worker for a task.
    ///
    /// A worker whose probe is due goes first for idempotent work: without work there is no
    /// probe, and a failed probe is retried elsewhere. Otherwise the tightest fit is taken, which
    /// leaves large holes for gangs and large tasks; copies of standing work go to the rack that
    /// has the fewest of them.
    pub(super) fn find(
        &mut self,
        need: &Resources,
        meta: &TaskMeta,
        avoid: &[u32],
        task: Option<&TaskId>,
        now: MonoTime,
    ) -> Result<u32, NoPlace> {
        if !self.could_fit(need) {
            return Err(NoPlace::NeverFits);
        }
        let mut best: Option<((u32, u32, u64), u32)> = None;
        for (number, hot) in self.hot.iter().enumerate() {
            let number = number as u32;
            if !need.fits(&hot.room)
                || !self.gate_lets(number, meta, task, now)
                || avoid.contains(&number)
                || !self.workers[number as usize].has_connection()
            {
                continue;
            }
            let score = self.score(number, hot, need, meta);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, number));
            }
        }
        let Some((_, number)) = best else { return Err(NoPlace::NoRoom) };
        if meta.class == Class::Batch && !self.leaves_reserve(need, now) {
            return Err(NoPlace::KeptForUrgent);
        }
        Ok(number)
    }

    /// Whether `number` takes this very task now.
    pub(super) fn takes(
        &self,
        number: u32,
        need: &Resources,
        meta: &TaskMeta,
        task: Option<&TaskId>,
        now: MonoTime,
    ) -> bool {
        need.fits(&self.hot[number as usize].room)
            && self.gate_lets(number, meta, task, now)
            && self.workers[number as usize].has_connection()
    }

    fn gate_lets(
        &self,
        number: u32,
        meta: &TaskMeta,
        task: Option<&TaskId>,
        now: MonoTime,
    ) -> bool {
        match self.hot[number as usize].gate {
            Gate::Closed => false,
            Gate::Open => true,
            Gate::Reserved(until) => {
                let kept_for = self.workers[number as usize].reserved.map(|(task, _)| task);
                until.reached(now) || (task.is_some() && kept_for.as_ref() == task)
            }
            Gate::Probe(from) => from.reached(now) && meta.idempotent && !meta.standing,
        }
    }

    /// The lesser goes first: copies of the same standing work on the rack, then evidence against
    /// the worker, then the room that is left.
    fn score(&self, number: u32, hot: &Hot, need: &Resources, meta: &TaskMeta) -> (u32, u32, u64) {
        if matches!(hot.gate, Gate::Probe(_)) {
            return (0, 0, 0);
        }
        let copies = if meta.standing { self.copies_on_rack(number, meta) } else { 0 };
        let left = hot.room.minus(need);
        let capacity = &self.workers[number as usize].spec.capacity;
        (copies, hot.suspicion, 1 + share::total_ppm(&left, capacity))
    }

    /// Whether enough room for urgent work is left after `need` more is given.
    fn leaves_reserve(&mut self, need: &Resources, now: MonoTime) -> bool {
        let reserve = self.reserve_size(now);
        if reserve.is_zero() {
            return true;
        }
        let free = self
            .hot
            .iter()
            .filter(|hot| hot.is_open())
            .fold(Resources::ZERO, |sum, hot| sum.plus(&hot.room));
        reserve.fits(&free.minus(need))
    }

    /// The room to keep free of batch work.
    fn reserve_size(&mut self, now: MonoTime) -> Resources {
        match self.policy.urgent_reserve_permille {
            Some(permille) => share::permille_of(&self.capacity, permille),
            None => {
                let most = share::permille_of(&self.capacity, self.options.max_reserve_permille);
                self.urgent.headroom(now).min(&most)
            }
        }
    }

    pub(super) fn numbers_of(&self, ids: &[WorkerId]) -> Vec<u32> {
        ids.iter().filter_map(|id| self.numbers.get(id).copied()).collect()
    }

    /// Makes a task the probe of a worker in quarantine.
    pub(super) fn start_probe(&mut self, number: u32, task: TaskId, now: MonoTime) {
        let health = &mut self.workers[number as usize].health;
        if health.probe_due(now)
            && let Some(reason) = health.reason()
        {
            health.state = State::Probing { task, reason };
        }
    }

    /// Brings what placing looks at up to date with the worker.
    pub(super) fn refresh(&mut self, number: u32) {
        let worker = &self.workers[number as usize];
        let gate = match (worker.is_open(), worker.health.state, worker.reserved) {
            (false, ..) | (_, State::Probing { .. }, _) => Gate::Closed,
            (_, State::Quarantined { until, .. }, _) => Gate::Probe(until),
            (_, State::Healthy, Some((_, until))) => Gate::Reserved(until),
            (_, State::Healthy, None) => Gate::Open,
        };
        let suspicion = worker.health.failures_milli / 1_000;
        self.hot[number as usize] = Hot { room: worker.room(), gate, suspicion };
    }

    pub(super) fn count_standing(&mut self, number: u32, meta: &TaskMeta, more: bool) {
        if !meta.standing {
            return;
        }
        let rack = self.workers[number as usize].rack;
        let key = (meta.service.clone(), meta.kind.clone(), rack);
        let count = self.standing.entry(key.clone()).or_default();
        *count = if more { *count + 1 } else { count.saturating_sub(1) };
        if *count == 0 {
            self.standing.remove(&key);
        }
    }

    /// Counts all standing work of a worker, before and after its rack changes.
    pub(super) fn recount_standing(&mut self, number: u32, more: bool) {
        let standing = |task: &TaskId| {
            let meta = &self.tasks.get(task)?.meta;
            meta.standing.then(|| meta.clone())
        };
        let metas: Vec<TaskMeta> =
            self.workers[number as usize].tasks.iter().filter_map(standing).collect();
        metas.iter().for_each(|meta| self.count_standing(number, meta, more));
    }

    fn copies_on_rack(&self, number: u32, meta: &TaskMeta) -> u32 {
        let rack = self.workers[number as usize].rack;
        let key = (meta.service.clone(), meta.kind.clone(), rack);
        self.standing.get(&key).copied().unwrap_or(0)
    }
}
