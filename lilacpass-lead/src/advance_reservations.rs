//! Advance reservations: capacity that is still in use is reserved for a step that has waited for long.
//!
//! Load pattern: a full pool of small tasks, each of which is replaced as soon as it ends. The capacity for a task that
//! needs most of a worker, or for a step that may run on one worker only, never becomes free all at the same time. Such
//! a step reserves capacity on the worker that will have enough first, and only more urgent work may still use it.

use lilacpass_core::Resources;
use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    event::Now, leader::Leader, options::Mechanism, place, rank::Rank, reservations::Share,
    work::Part, worker::Worker,
};

/// Time in ms that a step waits before capacity is reserved in advance for it. Most steps wait for less in a pool that
/// is merely busy, and reserved capacity stays idle until all of it is free.
const MIN_WAIT_MS: u64 = 4_000;
/// At most one step per this many workers of a pool has an advance reservation, so that most of the pool keeps running
/// whatever fits.
const WORKERS_PER_RESERVATION: usize = 12;
/// Calls for advice for steps with an advance reservation may use one lane in this many at a time, but always at least
/// one.
const LANES_PER_RESERVATION_CALL: usize = 4;
/// Time in ms that an advance reservation lasts beyond the time at which the capacity should be free.
const SLACK_MS: u64 = 1_500;
/// Maximum duration of an advance reservation in ms, since the time at which capacity becomes free is only an estimate.
const MAX_RESERVATION_MS: u64 = 10_000;

/// A worker that will have enough free capacity. Offers sort by field order, best first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Offer {
    /// Whether it is unknown if the step may run on the worker.
    is_unknown: bool,
    /// Expected time in ms until the capacity is free.
    wait_ms: u64,
    worker: WorkerName,
}

impl Leader {
    /// Makes advance reservations for the steps that have waited longest, if they have waited for at least
    /// [`MIN_WAIT_MS`].
    ///
    /// Steps are taken by waiting time and not in scheduling order. In an overload the first steps in scheduling order
    /// change all the time, so the last ones would never be reached.
    pub(crate) fn make_advance_reservations(&mut self, now: Now) {
        if !self.options.uses(Mechanism::AdvanceReservations) {
            return;
        }
        self.visits.add(Part::Reservation, self.waiting.len());
        for name in self.waiting.waiting_since(now.steady_ms.saturating_sub(MIN_WAIT_MS)) {
            self.make_advance_reservation(name, now);
        }
    }

    /// Requests advice for steps with an advance reservation, before the other steps request it in scheduling order.
    ///
    /// Load pattern: after an outage thousands of steps need advice, and the more urgent ones take every lane that
    /// becomes idle. Advance reservations then expired unused again and again because the step had no ticket, and
    /// accepted work did not start for half a minute although most workers had free capacity. Most lanes remain for the
    /// first steps in scheduling order.
    pub(crate) fn request_advice_for_advance_reservations(&mut self, now: Now) {
        if !self.lanes.has_idle() {
            return;
        }
        let steps = self.reservations.steps_with_advance();
        let has_pending_call =
            |step: &StepName| self.advice.get(step).is_some_and(|advice| advice.call_pending);
        let pending = steps.iter().filter(|step| has_pending_call(step)).count();
        let max_calls =
            (self.lanes.len() / LANES_PER_RESERVATION_CALL).max(1).saturating_sub(pending);
        let steps: Vec<StepName> =
            steps.into_iter().filter(|step| !has_pending_call(step)).collect();
        for step in steps.into_iter().take(max_calls) {
            self.request_advice(step, now);
        }
    }

    /// Reserves the capacity that becomes free next for one task of a step, or for all tasks of a gang, unless too many
    /// other steps in the pool have an advance reservation.
    fn make_advance_reservation(&mut self, name: StepName, now: Now) {
        if self.reservations.has(name) || self.is_held_back_by_cap(name) {
            return;
        }
        let Some(entry) = self.jobs.get(&name.job) else { return };
        let Some(rank) = self.waiting.rank_of(name) else { return };
        let plan = entry.job.step_plan(name.step);
        let service = &entry.job.queue.service;
        let pool_size = self.pool_sizes.get(service).copied().unwrap_or(0);
        if self.reservations.advance_count(service) >= (pool_size / WORKERS_PER_RESERVATION).max(1)
        {
            return;
        }
        let worker_count = if plan.gang { u64::from(plan.count) } else { 1 };
        let mut offers = self.advance_offers(name, plan, &rank, now);
        offers.sort();
        if (offers.len() as u64) < worker_count {
            return;
        }
        offers.truncate(worker_count as usize);
        let need = place::need(plan);
        let wait_ms = offers.iter().map(|offer| offer.wait_ms).max().unwrap_or(0);
        let until_ms = now.steady_ms + (wait_ms + SLACK_MS).min(MAX_RESERVATION_MS);
        let shares: Vec<Share> = offers.into_iter().map(|offer| (offer.worker, need)).collect();
        log::info!(step:% = name, wait_ms, workers = shares.len(); "capacity reserved in advance");
        let service = service.clone();
        self.reservations.set_advance(rank, shares, until_ms, &service);
    }

    /// Returns the workers that will be able to hold a task of a step. They include workers of which it is unknown
    /// whether the step may run there. Advice is requested about workers with enough free capacity, so the step
    /// might never learn about them if other tasks take all capacity as soon as it becomes free.
    fn advance_offers(
        &self,
        name: StepName,
        plan: &v1::WorkStep,
        rank: &Rank,
        now: Now,
    ) -> Vec<Offer> {
        let advice = self.advice.get(&name);
        let verdict =
            |worker: &Worker| advice.and_then(|advice| advice.allows(&worker.registration.name));
        self.visits.add(Part::Reservation, self.workers.len());
        self.workers
            .values()
            .filter(|worker| {
                verdict(worker) != Some(false) && self.could_start(worker, name, plan, now)
            })
            .filter(|worker| self.remaining_task_limit(worker, name, plan) > 0)
            .filter_map(|worker| {
                let wait_ms = self.time_until_free_ms(worker, plan, rank, now)?;
                let is_unknown = verdict(worker).is_none();
                Some(Offer { is_unknown, wait_ms, worker: worker.registration.name.clone() })
            })
            .collect()
    }

    /// Returns the expected time in ms until a worker has enough free capacity for a task in addition to what is
    /// reserved there for other steps. Returns `None` if long-running tasks or reservations use too much.
    fn time_until_free_ms(
        &self,
        worker: &Worker,
        plan: &v1::WorkStep,
        rank: &Rank,
        now: Now,
    ) -> Option<u64> {
        let need = place::need(plan);
        let reserved = self.reservations.reserved_before(rank, &worker.registration.name);
        self.visits.add(Part::Reservation, worker.runs.len());
        // The remaining time of each run in ms, and the resources that its end frees.
        let mut ends: Vec<(u64, Resources)> = worker
            .runs
            .iter()
            .filter_map(|((task, _), assigned)| {
                let running_plan = self.jobs.get(&task.step.job)?.job.step_plan(task.step.step);
                let estimate_ms = u64::from(running_plan.estimate_ms);
                let remaining_ms = assigned
                    .progress
                    .and_then(|progress| progress.estimated_remaining_ms(now.steady_ms))
                    .unwrap_or(estimate_ms);
                (!running_plan.lasting).then_some((remaining_ms, assigned.need))
            })
            .collect();
        ends.sort_by_key(|(remaining_ms, _)| *remaining_ms);
        let mut freed = Resources::ZERO;
        let mut wait_ms = 0;
        let mut ends = ends.into_iter();
        while !need.fits(&worker.free_capacity_after(&freed).minus(&reserved)) {
            let (remaining_ms, resources) = ends.next()?;
            wait_ms = remaining_ms;
            freed = freed.plus(&resources);
        }
        Some(wait_ms)
    }
}
