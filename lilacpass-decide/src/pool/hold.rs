//! Timed holds for gang jobs, which need room for all their tasks at once.
//!
//! A driver asks holders one after the other in the order of their names, and lets all go where
//! one has too little. Nobody waits while holding, so two gangs can't block each other for good;
//! of two that meet, the one that was first at the first holder where they meet goes on. A hold
//! whose driver died expires as a whole and by itself.

use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{TaskId, WorkerId},
};

use crate::{
    pool::{Pool, place::Asked},
    task::{HoldId, TaskMeta},
};

/// The holds of one attempt.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    expires: MonoTime,
    need: Resources,
    meta: TaskMeta,
    /// Whether the job has several tasks, as far as was asked here.
    gang: bool,
    /// Task positions and the numbers of the workers that room is held on.
    parts: Vec<(u32, u32)>,
}

impl Pool {
    /// Holds room for as many of the tasks as fit, until `expires`, and returns where.
    ///
    /// Asking again for the same attempt adds to the hold and moves its end.
    #[expect(clippy::too_many_arguments, reason = "each is a separate fact of the request")]
    pub fn hold(
        &mut self,
        hold: HoldId,
        tasks: &[u32],
        need: &Resources,
        meta: &TaskMeta,
        avoid: &[WorkerId],
        expires: MonoTime,
        now: MonoTime,
    ) -> Vec<(u32, WorkerId)> {
        self.expire(now);
        if expires.reached(now) {
            return Vec::new();
        }
        let avoid = self.numbers_of(avoid);
        let gang = tasks.len() > 1 || tasks.iter().any(|&index| index > 0);
        self.open_hold(hold, need, meta, gang, expires);
        let mut placed = Vec::new();
        for &index in tasks {
            if self.is_known(&hold, index) {
                continue;
            }
            let asked = Asked { meta, task: Some(&hold.task(index)), gang, aged: false };
            let Ok(number) = self.find(need, &asked, &avoid, now) else {
                self.note_short_gang(gang, now);
                break;
            };
            self.add_part(hold, index, number, now);
            placed.push((index, self.name(number)));
        }
        self.close_if_empty(&hold);
        placed
    }

    fn note_short_gang(&mut self, gang: bool, now: MonoTime) {
        if gang {
            self.turn.gang_is_short(self.options.gang_patience, now);
        }
    }

    /// Turns the hold of a task into a task that is given, where it may still start there.
    ///
    /// Returns `None` where the hold has expired, or the worker has since lost its room, is
    /// leaving or in quarantine; the hold of this task is gone then.
    pub fn commit_hold(&mut self, task: TaskId, now: MonoTime) -> Option<WorkerId> {
        self.expire(now);
        let id = HoldId::of(&task);
        let hold = self.holds.get_mut(&id)?;
        let at = hold.parts.iter().position(|(index, _)| *index == task.index)?;
        let (need, meta, gang) = (hold.need, hold.meta.clone(), hold.gang);
        let (_, number) = hold.parts.swap_remove(at);
        self.drop_part(number, &need);
        self.close_if_empty(&id);
        if !self.takes(number, &need, &meta, Some(&task), now) || self.tasks.contains_key(&task) {
            self.forget_if_empty(number);
            return None;
        }
        self.start_probe(number, task, now);
        if gang {
            self.turn.gang_started();
        }
        self.put_in(task, number, need, meta, gang, now);
        Some(self.name(number))
    }

    /// Lets go of all that is held for an attempt.
    pub fn unhold(&mut self, id: &HoldId) {
        let Some(hold) = self.holds.remove(id) else { return };
        self.expiry.remove(&(hold.expires, *id));
        for (_, number) in hold.parts {
            self.drop_part(number, &hold.need);
            self.forget_if_empty(number);
        }
    }

    /// Lets go of the holds whose time is over.
    pub fn expire(&mut self, now: MonoTime) {
        while let Some(&(expires, id)) = self.expiry.first()
            && expires.reached(now)
        {
            self.unhold(&id);
        }
    }

    /// When the next hold expires.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.expiry.first().map(|(expires, _)| *expires)
    }

    /// What is held for an attempt: task positions and workers.
    pub fn holds(&self, id: &HoldId) -> impl Iterator<Item = (u32, &WorkerId)> {
        let parts = self.holds.get(id).map(|hold| hold.parts.as_slice()).unwrap_or_default();
        parts.iter().map(|&(index, number)| (index, &self.workers[number as usize].spec.id))
    }

    fn open_hold(
        &mut self,
        id: HoldId,
        need: &Resources,
        meta: &TaskMeta,
        gang: bool,
        expires: MonoTime,
    ) {
        let new = || Hold { expires, need: *need, meta: meta.clone(), gang, parts: Vec::new() };
        let hold = self.holds.entry(id).or_insert_with(new);
        hold.gang |= gang;
        self.expiry.remove(&(hold.expires, id));
        hold.expires = expires;
        self.expiry.insert((expires, id));
    }

    fn is_known(&self, id: &HoldId, index: u32) -> bool {
        let held = |hold: &Hold| hold.parts.iter().any(|(i, _)| *i == index);
        self.holds.get(id).is_some_and(held) || self.tasks.contains_key(&id.task(index))
    }

    fn add_part(&mut self, id: HoldId, index: u32, number: u32, now: MonoTime) {
        let Some(hold) = self.holds.get_mut(&id) else { return };
        hold.parts.push((index, number));
        let need = hold.need;
        if hold.meta.class == Class::Batch {
            self.last_batch = now;
        }
        let worker = &mut self.workers[number as usize];
        worker.held = worker.held.plus(&need);
        worker.holds += 1;
        self.refresh(number);
    }

    fn drop_part(&mut self, number: u32, need: &Resources) {
        let worker = &mut self.workers[number as usize];
        worker.held = worker.held.minus(need);
        worker.holds -= 1;
        self.refresh(number);
    }

    fn close_if_empty(&mut self, id: &HoldId) {
        if self.holds.get(id).is_some_and(|hold| hold.parts.is_empty()) {
            self.unhold(id);
        }
    }
}
