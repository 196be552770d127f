//! Requests advice about which workers may run a step, and handles the responses.

use std::collections::HashSet;

use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    advice::{self, Lanes, StepAdvice},
    advice_claims,
    candidates::{self, AdviceDemand},
    event::{Advice, Effect, Lane, Now},
    leader::Leader,
    place,
    work::Part,
    worker::Worker,
};

/// Maximum number of workers named in one call for advice.
pub(crate) const MAX_WORKERS_PER_CALL: usize = 100;
/// Assumed share of workers that are allowed, until a queue has had responses of its own.
const INITIAL_ALLOWED_SHARE: f64 = 0.5;
/// Weight of a new response in the moving average of the allowed share.
const ALLOWED_SHARE_WEIGHT: f64 = 0.1;
/// The allowed workers among those named should have capacity for this many times the waiting tasks, because other
/// steps take some of it before the response arrives. One more worker lengthens a call by a seventieth.
const TASK_MARGIN: f64 = 2.5;
/// Advice for a step that may not start yet is requested only if the minimum duration of the call is at most this,
/// because tickets expire after about 2 s and time on the lanes for slow calls is scarce: the advice service handles
/// one call per lane at a time.
const MAX_EARLY_CALL_MS: f64 = 50.0;
/// Maximum extra duration of a call that also names workers without enough free capacity, as a share of its minimum
/// duration.
const EXTRA_WORKERS_TIME_SHARE: f64 = 0.5;
/// Minimum pause in ms before a step searches again for workers to name, after a search that found none.
const MIN_EMPTY_SEARCH_PAUSE_MS: u64 = 25;
/// The pause gets longer with the number of steps that pause, so that they make at most this many searches a second in
/// all. With a fixed pause the number of searches grows with the steps.
const MAX_EMPTY_SEARCHES_PER_SECOND: u64 = 300;
/// Maximum pause in ms, unless the calls of the step take longer.
const MAX_EMPTY_SEARCH_PAUSE_MS: u64 = 250;
/// Maximum number of workers that are tried for each one to name in addition; see [`Leader::extra_workers`].
const MAX_TRIES_PER_EXTRA_WORKER: usize = 4;
/// Minimum number of tasks that the allowed workers among those named should have capacity for.
const MIN_TARGET_TASKS: u64 = 4;

impl Leader {
    /// Requests advice for the steps that depend on `step`, if the calls are quick. Called when a task of `step` has
    /// completed.
    ///
    /// The other tasks of `step` usually end soon after. If tickets are available by then, the end of this step and
    /// the starts of the next ones are stored with one append.
    pub(crate) fn request_advice_for_next_steps(&mut self, step: StepName, now: Now) {
        let Some(entry) = self.jobs.get(&step.job) else { return };
        let is_quick =
            entry.job.queue.advice.is_some_and(|policy| policy.base_ms <= MAX_EARLY_CALL_MS);
        if !is_quick || !self.lanes.has_idle() {
            return;
        }
        let next: Vec<StepName> = entry
            .job
            .step_names()
            .filter(|name| name.occurrence == step.occurrence)
            .filter(|name| entry.job.step_plan(name.step).after.contains(&step.step))
            .filter(|name| !self.advice.contains_key(name))
            .collect();
        for name in next {
            self.request_advice(name, now);
        }
    }

    /// Requests advice about which workers may run a step, unless a call is pending, the step must wait before its next
    /// call, or there are no candidates.
    pub(crate) fn request_advice(&mut self, name: StepName, now: Now) {
        let Some(entry) = self.jobs.get(&name.job) else { return };
        let Some(policy) = entry.job.queue.advice else { return };
        let advice = self.advice.get(&name);
        if advice.is_some_and(|advice| advice.call_pending || now.steady_ms < advice.next_call_ms) {
            return;
        }
        if !self.may_call_advice(&entry.job.queue.name, policy.base_ms as u64) {
            return;
        }
        let plan = entry.job.step_plan(name.step);
        let fits_nowhere = !self.may_preempt_for(name, plan) && !self.fits_anywhere(name);
        if fits_nowhere || self.is_held_back_by_cap(name) {
            return self.delay_advice(name, MIN_EMPTY_SEARCH_PAUSE_MS, now);
        }
        let plan = plan.clone();
        let waiting = self.count_within_cap(name, entry.count_to_start(name)) as u64;
        if waiting == 0 {
            return;
        }
        self.work.steps_examined += 1;
        self.choose_home_data_centre(name, &plan, now);
        let Some(entry) = self.jobs.get(&name.job) else { return };
        let share = self.allowed_shares.get(&entry.job.queue.name).copied();
        let demand = AdviceDemand {
            waiting_tasks: waiting,
            target_tasks: ((waiting as f64 * TASK_MARGIN) as u64).max(MIN_TARGET_TASKS),
            allowed_share: share.unwrap_or(INITIAL_ALLOWED_SHARE),
        };
        let before = self.search_visits();
        let candidates = self.candidates(name, &plan, &demand, now);
        self.search_budget.spend(self.search_visits() - before);
        self.work.advice_searches += 1;
        self.advice.entry(name).or_default().searched_positions += candidates::MAX_FROM_POSITION;
        if candidates.is_empty() {
            self.work.empty_advice_searches += 1;
            let pause_ms = self.empty_search_pause_ms(policy.base_ms as u64);
            return self.delay_advice(name, pause_ms, now);
        }
        let mut workers = advice::choose(
            &candidates,
            demand.target_tasks,
            demand.allowed_share,
            MAX_WORKERS_PER_CALL,
        );
        if workers.is_empty() {
            return;
        }
        if workers.len() == candidates.len() {
            // Too few workers have enough free capacity, so the step will probably wait and need advice again.
            workers.extend(self.extra_workers(
                name,
                &plan,
                &workers,
                max_extra_workers(&policy),
                now,
            ));
        }
        let expected_ms = (policy.base_ms + policy.per_worker_ms * workers.len() as f64) as u64;
        let queue = &entry.job.queue.name;
        let is_contended = self.advice_queue.has_slow_beside(queue);
        let Some(lane) = self.lanes.acquire(queue, expected_ms, is_contended) else { return };
        if let Some(rank) = self.waiting.rank_of(name) {
            let share = demand.allowed_share;
            let claims =
                advice_claims::expected_use(&candidates, &workers, &place::need(&plan), share);
            self.advice_claims.set(rank, claims);
        }
        if !Lanes::is_slow(expected_ms) {
            self.advice_hedge.record_call(&lane, name, expected_ms, now.steady_ms);
        }
        self.advice.entry(name).or_default().call_pending = true;
        self.advice_queue.remove(name);
        self.counters.advice.workers_named += workers.len() as u64;
        log::info!(
            step:% = name, waiting, workers = workers.len(), candidates = candidates.len(),
            expected_ms, lane = lane.0.as_str();
            "advice requested"
        );
        self.effects.push(Effect::RequestAdvice { lane, step: name, workers, expected_ms });
    }

    /// Returns whether a call for a step of a queue that takes `expected_ms` can be made now. A search for workers to ask
    /// about is dear, and in vain if no lane is idle for the call. In a full cell, searches are limited by their budget.
    pub(crate) fn may_call_advice(&self, queue: &str, expected_ms: u64) -> bool {
        let is_contended = self.advice_queue.has_slow_beside(queue);
        self.search_budget.allows(Lanes::is_slow(expected_ms))
            && self.lanes.has_idle_for(expected_ms)
            && self.lanes.may_call(queue, expected_ms, is_contended)
    }

    /// Returns the number of items that searches for workers to name have gone through.
    fn search_visits(&self) -> u64 {
        let visits = self.visits.read();
        visits.of(Part::AdviceSearch) + visits.of(Part::Preemption) + self.capacity_index.visits()
    }

    /// Delays the next request for advice for a step that no worker has capacity for.
    fn delay_advice(&mut self, name: StepName, pause_ms: u64, now: Now) {
        self.advice.entry(name).or_default().next_call_ms = now.steady_ms + pause_ms;
        self.update_advice_queue(name, now);
    }

    /// Returns the pause in ms after a search that found no worker, for a step whose calls take `base_ms` at least.
    fn empty_search_pause_ms(&self, base_ms: u64) -> u64 {
        let pausing = self.advice_queue.delayed_count() as u64;
        let pause_ms = pausing * 1_000 / MAX_EMPTY_SEARCHES_PER_SECOND;
        pause_ms.clamp(MIN_EMPTY_SEARCH_PAUSE_MS, MAX_EMPTY_SEARCH_PAUSE_MS.max(base_ms))
    }

    /// Updates whether and when a step may request advice.
    pub(crate) fn update_advice_queue(&mut self, step: StepName, now: Now) {
        let policy = self.jobs.get(&step.job).and_then(|entry| {
            let policy = entry.job.queue.advice?;
            Some((entry.job.queue.name.as_str(), policy.base_ms as u64))
        });
        let (Some((queue, base_ms)), Some(rank)) = (policy, self.waiting.rank_of(step)) else {
            return self.advice_queue.remove(step);
        };
        match self.advice.get(&step) {
            Some(advice) if advice.call_pending => self.advice_queue.remove(step),
            Some(advice) if now.steady_ms < advice.next_call_ms => {
                self.advice_queue.delay(step, advice.next_call_ms);
            }
            Some(_) | None => self.advice_queue.enqueue(rank, queue, base_ms),
        }
    }

    /// Returns up to `max` workers to name in addition to `named`. They need not have free capacity now: first those that
    /// are known to be allowed and whose tickets have expired, then those of which it is unknown whether the step may run
    /// there.
    ///
    /// Which workers may run a step never changes, so the result stays useful. When only the few workers with enough
    /// free capacity were named, a step that three in ten workers may run learned about them one at a time, at half a
    /// second each, and the calls for such steps held nearly all lanes.
    fn extra_workers(
        &self,
        name: StepName,
        plan: &v1::WorkStep,
        named: &[WorkerName],
        max: usize,
        now: Now,
    ) -> Vec<WorkerName> {
        let Some(entry) = self.jobs.get(&name.job) else { return Vec::new() };
        let need = place::need(plan);
        let advice = self.advice.get(&name);
        let named: HashSet<&WorkerName> = named.iter().collect();
        let is_usable = |worker: &&Worker| {
            self.visits.add(Part::AdviceSearch, 1);
            worker.registered
                && !worker.draining
                && need.fits(&worker.registration.capacity)
                && place::is_eligible(worker, &entry.job.queue.service, plan)
                && !named.contains(&worker.registration.name)
        };
        let lacks_ticket = |worker: &&WorkerName| {
            advice.is_none_or(|advice| advice.ticket(worker, now.steady_ms).is_none())
        };
        let is_unknown = |worker: &&Worker| {
            advice.is_none_or(|advice| advice.allows(&worker.registration.name).is_none())
        };
        let max = max.min(MAX_WORKERS_PER_CALL.saturating_sub(named.len()));
        let max_tries = max * MAX_TRIES_PER_EXTRA_WORKER;
        let known = advice.into_iter().flat_map(StepAdvice::allowed).take(max_tries);
        let known = known.filter(lacks_ticket).filter_map(|worker| self.workers.get(worker));
        let position = advice::search_position(name, advice);
        let rotated = self.roster.from_position(position, max_tries);
        let rotated = rotated.filter_map(|worker| self.workers.get(worker));
        let extra = known.chain(rotated.filter(is_unknown)).filter(is_usable).take(max);
        extra.map(|worker| worker.registration.name.clone()).collect()
    }

    /// Lets the steps whose calls are overdue request advice again. The responses to the first calls still count.
    pub(crate) fn repeat_overdue_advice_calls(&mut self, now: Now) {
        for step in self.advice_hedge.take_overdue(now.steady_ms) {
            let Some(advice) = self.advice.get_mut(&step).filter(|advice| advice.call_pending)
            else {
                continue;
            };
            advice.call_pending = false;
            log::info!(step:% = step; "advice call is overdue");
            self.pending_changes.mark_step_changed(step);
            self.update_advice_queue(step, now);
        }
    }

    /// Handles the response to a call for advice.
    pub(crate) fn on_advice_received(
        &mut self,
        lane: &Lane,
        step: StepName,
        queried: &[WorkerName],
        response: Option<Advice>,
        now: Now,
    ) {
        self.lanes.release(lane);
        if self.advice_hedge.record_end(lane) && response.is_none() {
            return;
        }
        self.advice_claims.release(step);
        let Some(entry) = self.jobs.get(&step.job) else { return };
        let good = response.as_ref().map(|response| response.good.len());
        log::info!(step:% = step, asked = queried.len(), good:? = good; "advice received");
        if let Some(response) = &response {
            self.counters.advice.workers_allowed += response.good.len() as u64;
            let share = response.good.len() as f64 / queried.len().max(1) as f64;
            let average_share = self
                .allowed_shares
                .entry(entry.job.queue.name.clone())
                .or_insert(INITIAL_ALLOWED_SHARE);
            *average_share += (share - *average_share) * ALLOWED_SHARE_WEIGHT;
        }
        let margin_ms = self.options.ticket_margin_ms;
        let advice = self.advice.entry(step).or_default();
        advice.record_response(queried, response, margin_ms, now.steady_ms);
        let is_forbidden = |worker: &WorkerName| advice.allows(worker) == Some(false);
        for worker in queried.iter().filter(|worker| advice.allows(worker) == Some(true)) {
            self.ticketed_steps.entry(worker.clone()).or_default().insert(step);
        }
        self.ticket_expiries.extend(advice.last_expiry_ms().map(|expiry_ms| (expiry_ms, step)));
        if self.reservations.workers_of(step).iter().any(is_forbidden) {
            for worker in self.reservations.release(step) {
                self.pending_changes.mark_worker_freed(&worker);
            }
        }
        self.pending_changes.mark_step_changed(step);
        self.update_advice_queue(step, now);
    }

    /// Drops the tickets that have expired. A step has a ticket for a few seconds, and waits for longer in a full cell;
    /// without this, each freed worker would bring in all the steps that ever had one for it.
    pub(crate) fn forget_expired_tickets(&mut self, now: Now) {
        while let Some((expiry_ms, _)) = self.ticket_expiries.first()
            && *expiry_ms <= now.steady_ms
        {
            let Some((_, step)) = self.ticket_expiries.pop_first() else { return };
            let Some(advice) = self.advice.get_mut(&step) else { continue };
            let expired = advice.take_expired(now.steady_ms);
            self.visits.add(Part::StepSelection, expired.len());
            expired.iter().for_each(|worker| self.remove_ticketed_step(worker, step));
        }
    }

    /// Records that a step has no valid ticket for a worker any more.
    pub(crate) fn remove_ticketed_step(&mut self, worker: &WorkerName, step: StepName) {
        let Some(steps) = self.ticketed_steps.get_mut(worker) else { return };
        steps.remove(&step);
        if steps.is_empty() {
            self.ticketed_steps.remove(worker);
        }
    }
}

/// Returns how many workers without enough free capacity a call may name without taking much longer.
fn max_extra_workers(policy: &v1::AdvicePolicy) -> usize {
    (policy.base_ms * EXTRA_WORKERS_TIME_SHARE / policy.per_worker_ms.max(f64::MIN_POSITIVE))
        as usize
}
