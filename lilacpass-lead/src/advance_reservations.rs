//! Keeps room that has not fallen free yet for a step that has waited for long.
//!
//! Load pattern: a full pool of small tasks, each of which is replaced as it ends. Room for a task that needs
//! most of a worker never comes together, nor does it for a step that may run on one worker only. Such a
//! step gets the worker on which it comes first, and all that is not more urgent keeps off.

use lilacpass_core::Resources;
use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    event::Now, leader::Leader, options::Mechanism, place, rank::Rank, reservations::Share,
    worker::Worker,
};

/// How long a step waits in vain until room is kept ahead for it. Most wait for less in a pool that is
/// merely busy, and room that is kept stands idle until all of it is there.
const WAITED_MS: u64 = 4_000;
/// At most one step for so many workers of a pool has room kept ahead, so that most of the pool goes on
/// with whatever fits.
const WORKERS_A_STEP: usize = 12;
/// One lane in so many, one at least, may be taken by calls about steps for which room is kept ahead.
const LANES_IN: usize = 4;
/// How long room is kept beyond the time at which it should be there.
const SLACK_MS: u64 = 1_500;
/// The longest time for which room is kept ahead, where nobody knows when it falls free.
const MOST_KEPT_MS: u64 = 10_000;

/// A worker that will have room, the best first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Offer {
    is_unknown: bool,
    wait_ms: u64,
    worker: WorkerName,
}

impl Leader {
    /// Keeps room ahead for the steps that have waited longest, if that is for long.
    ///
    /// By waiting time and not by order: in an overload the first in order change all the time, and the last
    /// would never have a turn.
    pub(crate) fn make_advance_reservations(&mut self, now: Now) {
        if !self.options.uses(Mechanism::AdvanceReservations) {
            return;
        }
        for name in self.waiting.waiting_since(now.steady_ms.saturating_sub(WAITED_MS)) {
            self.keep_ahead(name, now);
        }
    }

    /// Asks for advice about steps for which room is kept ahead, before the others ask in order.
    ///
    /// Load pattern: after an outage thousands of steps ask, and the more urgent take every lane that falls idle. The
    /// room that is kept for a step then lapses unused again and again, for want of a ticket: accepted work stood
    /// still for half a minute while most workers had room. Most lanes stay with those that are first in order.
    pub(crate) fn request_advice_for_advance_reservations(&mut self, now: Now) {
        if !self.lanes.has_idle() {
            return;
        }
        let steps = self.reservations.steps_with_advance();
        let is_asking = |step: &StepName| self.advice.get(step).is_some_and(|advice| advice.asking);
        let asking = steps.iter().filter(|step| is_asking(step)).count();
        let may_ask = (self.lanes.len() / LANES_IN).max(1).saturating_sub(asking);
        let steps: Vec<StepName> = steps.into_iter().filter(|step| !is_asking(step)).collect();
        for step in steps.into_iter().take(may_ask) {
            self.request_advice(step, now);
        }
    }

    /// Keeps the next room that can hold a task of a step (all that wait, for a gang), if few others have
    /// room kept ahead.
    fn keep_ahead(&mut self, name: StepName, now: Now) {
        if self.reservations.has(name) {
            return;
        }
        let Some(entry) = self.jobs.get(&name.job) else { return };
        let Some(rank) = self.waiting.rank_of(name) else { return };
        let plan = entry.job.step_plan(name.step);
        let service = &entry.job.queue.service;
        let pool = self.pool_sizes.get(service).copied().unwrap_or(0);
        if self.reservations.advance_count(service) >= (pool / WORKERS_A_STEP).max(1) {
            return;
        }
        let wanted = if plan.gang { u64::from(plan.count) } else { 1 };
        let mut offers = self.rooms_ahead(name, plan, &rank, now);
        offers.sort();
        if (offers.len() as u64) < wanted {
            return;
        }
        offers.truncate(wanted as usize);
        let need = place::need(plan);
        let wait_ms = offers.iter().map(|offer| offer.wait_ms).max().unwrap_or(0);
        let until_ms = now.steady_ms + (wait_ms + SLACK_MS).min(MOST_KEPT_MS);
        let shares: Vec<Share> = offers.into_iter().map(|offer| (offer.worker, need)).collect();
        log::info!(step:% = name, wait_ms, workers = shares.len(); "room kept ahead");
        let service = service.clone();
        self.reservations.set_advance(rank, shares, until_ms, &service);
    }

    /// The workers that can hold a task of a step. Those of which it is not known whether it may run there
    /// are among them: where all room is taken at once, it never gets to ask.
    fn rooms_ahead(
        &self,
        name: StepName,
        plan: &v1::WorkStep,
        rank: &Rank,
        now: Now,
    ) -> Vec<Offer> {
        let advice = self.advice.get(&name);
        let verdict =
            |worker: &Worker| advice.and_then(|advice| advice.verdict(&worker.registration.name));
        self.workers
            .values()
            .filter(|worker| {
                verdict(worker) != Some(false) && self.could_start(worker, name, plan, now)
            })
            .filter(|worker| self.remaining_task_limit(worker, name, plan) > 0)
            .filter_map(|worker| {
                let wait_ms = self.wait_for_room_ms(worker, plan, rank, now)?;
                let is_unknown = verdict(worker).is_none();
                Some(Offer { is_unknown, wait_ms, worker: worker.registration.name.clone() })
            })
            .collect()
    }

    /// The time after which a worker will have room for a task beside what is kept there for others; none
    /// where tasks that last, or what is kept, take too much.
    fn wait_for_room_ms(
        &self,
        worker: &Worker,
        plan: &v1::WorkStep,
        rank: &Rank,
        now: Now,
    ) -> Option<u64> {
        let need = place::need(plan);
        let kept = self.reservations.reserved_before(rank, &worker.registration.name);
        let mut ends: Vec<(u64, Resources)> = worker
            .runs
            .iter()
            .filter_map(|((task, _), given)| {
                let running = self.jobs.get(&task.step.job)?.job.step_plan(task.step.step);
                let estimate_ms = u64::from(running.estimate_ms);
                let left_ms = given
                    .progress
                    .and_then(|seen| seen.estimated_remaining_ms(now.steady_ms))
                    .unwrap_or(estimate_ms);
                (!running.lasting).then_some((left_ms, given.need))
            })
            .collect();
        ends.sort_by_key(|(left_ms, _)| *left_ms);
        let mut freed = Resources::ZERO;
        let mut wait_ms = 0;
        let mut ends = ends.into_iter();
        while !need.fits(&worker.free_capacity_after(&freed).minus(&kept)) {
            let (left_ms, need) = ends.next()?;
            wait_ms = left_ms;
            freed = freed.plus(&need);
        }
        Some(wait_ms)
    }
}
