//! Where a task is placed.

use std::fmt;

use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{KindId, ServiceId, TaskId, WorkerId},
};

use crate::{
    pool::{
        Pool,
        health::State,
        index::{Entry, Gate},
    },
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
    /// There is room, but it is collected for gangs.
    KeptForGang,
}

impl fmt::Display for NoPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NeverFits => "never_fits",
            Self::NoRoom => "no_room",
            Self::KeptForUrgent => "kept_for_urgent",
            Self::KeptForGang => "kept_for_gang",
        })
    }
}

/// A kind of standing work on a rack.
pub(super) type StandingKey = (ServiceId, KindId, u32);

/// What a place is looked for.
#[derive(Clone, Copy)]
pub(super) struct Asked<'a> {
    pub(super) meta: &'a TaskMeta,
    pub(super) task: Option<&'a TaskId>,
    /// Whether it is one of several tasks that start together.
    pub(super) gang: bool,
    /// Whether it has waited too long, and may use the room that is kept for others.
    pub(super) aged: bool,
}

/// The worker that is kept for a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kept {
    task: TaskId,
    worker: u32,
    until: MonoTime,
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
        let asked = Asked { meta, task: None, gang: false, aged: false };
        self.find(need, &asked, &avoid, now).map(|number| self.name(number))
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
        let avoid = self.numbers_of(avoid);
        let asked = Asked { meta, task: Some(&task), gang: false, aged: false };
        self.find_and_give(task, need, &asked, &avoid, now)
    }

    /// Chooses a worker for a task that has waited too long, also in the room kept for others,
    /// and gives it there.
    pub fn place_and_give_aged(
        &mut self,
        task: TaskId,
        need: Resources,
        meta: &TaskMeta,
        now: MonoTime,
    ) -> Result<WorkerId, NoPlace> {
        let asked = Asked { meta, task: Some(&task), gang: false, aged: true };
        self.find_and_give(task, need, &asked, &[], now)
    }

    fn find_and_give(
        &mut self,
        task: TaskId,
        need: Resources,
        asked: &Asked<'_>,
        avoid: &[u32],
        now: MonoTime,
    ) -> Result<WorkerId, NoPlace> {
        if self.tasks.contains_key(&task) {
            return Err(NoPlace::NoRoom);
        }
        let number = self.find(&need, asked, avoid, now)?;
        self.start_probe(number, task, now);
        self.put_in(task, number, need, asked.meta.clone(), false, now);
        Ok(self.name(number))
    }

    /// Whether any worker of the inventory could ever hold a task that needs `need`.
    pub fn could_fit(&self, need: &Resources) -> bool {
        self.shapes.iter().any(|(shape, _)| need.fits(shape))
    }

    /// Whether some worker may have room for `need` now; `false` is certain.
    pub fn may_fit(&self, need: &Resources) -> bool {
        self.index.may_fit(need)
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
        match self.kept {
            Some(kept) if !kept.until.reached(now) => return None,
            Some(kept) => self.unreserve(&kept.task),
            None => {}
        }
        let fits = |&n: &usize| {
            self.index.get(n as u32).gate == Gate::Open && need.fits(&self.workers[n].allowed())
        };
        let missing = |&n: &usize| {
            share::dominant_ppm(&need.minus(&self.index.get(n as u32).room), &self.capacity)
        };
        let best = (0..self.workers.len()).filter(fits).min_by_key(missing)? as u32;
        self.kept = Some(Kept { task: *task, worker: best, until });
        self.refresh(best);
        Some(self.name(best))
    }

    /// Gives up what is kept for a task.
    pub fn unreserve(&mut self, task: &TaskId) {
        if let Some(kept) = self.kept.filter(|kept| kept.task == *task) {
            self.drop_kept(kept.worker);
            self.refresh(kept.worker);
        }
    }

    /// Whether a worker is kept for a task.
    pub fn is_kept_for(&self, task: &TaskId) -> bool {
        self.kept.is_some_and(|kept| kept.task == *task)
    }

    pub(super) fn drop_kept(&mut self, number: u32) {
        self.kept = self.kept.filter(|kept| kept.worker != number);
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
        asked: &Asked<'_>,
        avoid: &[u32],
        now: MonoTime,
    ) -> Result<u32, NoPlace> {
        let Asked { meta, task, gang, aged } = *asked;
        if !self.may_fit(need) {
            let fits_some_day = self.could_fit(need);
            return Err(if fits_some_day { NoPlace::NoRoom } else { NoPlace::NeverFits });
        }
        let best = self
            .index
            .fitting(need)
            .filter(|(number, entry)| {
                self.gate_lets(entry.gate, meta, task, now)
                    && self.workers[*number as usize].has_connection()
                    && !avoid.contains(number)
            })
            .min_by_key(|(number, entry)| (self.score(*number, entry, meta), *number));
        let Some((number, _)) = best else { return Err(NoPlace::NoRoom) };
        if meta.class != Class::Batch || aged {
            return Ok(number);
        }
        if !gang && self.turn.holds_back(now) {
            return Err(NoPlace::KeptForGang);
        }
        if meta.class == Class::Batch
            && !self.leaves_reserve(need, gang || meta.checkpointable, now)
        {
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
        let entry = self.index.get(number);
        need.fits(&entry.room)
            && self.gate_lets(entry.gate, meta, task, now)
            && self.workers[number as usize].has_connection()
    }

    fn gate_lets(&self, gate: Gate, meta: &TaskMeta, task: Option<&TaskId>, now: MonoTime) -> bool {
        match gate {
            Gate::Closed => false,
            Gate::Open => true,
            Gate::Kept(until) => {
                let kept_for = self.kept.as_ref().map(|kept| &kept.task);
                until.reached(now) || (task.is_some() && kept_for == task)
            }
            Gate::Probe(from) => from.reached(now) && meta.idempotent && !meta.standing,
        }
    }

    /// The lesser goes first: a probe, copies of the same standing work on the rack, evidence
    /// against the worker, the room on it.
    fn score(&self, number: u32, entry: &Entry, meta: &TaskMeta) -> (bool, u32, u32, u32) {
        let no_probe = !matches!(entry.gate, Gate::Probe(_));
        let copies = if meta.standing { self.copies_on_rack(number, meta) } else { 0 };
        (no_probe, copies, entry.suspicion, entry.room_ppm)
    }

    /// Whether enough room for urgent work is left after `need` more is given to batch work.
    ///
    /// Failure: while urgent work is at its peak for long, batch work never starts. One task in a
    /// fixed time starts whatever is kept, so batch work goes on, if slowly.
    fn leaves_reserve(&mut self, need: &Resources, is_exempt: bool, now: MonoTime) -> bool {
        let (reserve, with_cheap) = self.reserve_size(now);
        let free = self.index.open_room().minus(need);
        let leaves = reserve.fits(&free) && (is_exempt || with_cheap.fits(&free.plus(&self.cheap)));
        leaves || now.since(self.last_batch) >= self.options.batch_trickle
    }

    /// The room to keep free of batch work, and the room to keep free of batch work that can't
    /// make room at a small cost.
    fn reserve_size(&mut self, now: MonoTime) -> (Resources, Resources) {
        if let Some(permille) = self.policy.urgent_reserve_permille {
            let fixed = share::permille_of(&self.capacity, permille);
            return (fixed, fixed);
        }
        let headroom = self.urgent.headroom(now);
        let most = |permille| headroom.min(&share::permille_of(&self.capacity, permille));
        (most(self.options.max_reserve_permille), most(self.options.max_cheap_reserve_permille))
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
        let kept = self.kept.filter(|kept| kept.worker == number);
        let gate = match (worker.is_open(), worker.health.state, kept) {
            (false, ..) | (_, State::Probing { .. }, _) => Gate::Closed,
            (_, State::Quarantined { until, .. }, _) => Gate::Probe(until),
            (_, State::Healthy, Some(kept)) => Gate::Kept(kept.until),
            (_, State::Healthy, None) => Gate::Open,
        };
        let room = worker.room();
        let suspicion = worker.health.failures_milli / 1_000;
        let room_ppm = share::total_ppm(&room, &worker.spec.capacity) as u32;
        self.index.set(number, Entry { room, gate, suspicion, room_ppm });
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
