//! Asking for advice about a step, and taking the answer in.

use std::collections::HashSet;

use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    advice,
    candidates::Wanted,
    event::{Advice, Effect, Lane, Now},
    leader::Leader,
    place,
    worker::Worker,
};

/// Most workers that one call for advice may name.
pub(crate) const MAX_WORKERS_PER_CALL: usize = 100;
/// Share of workers that are allowed, before a queue has shown its own.
const GOOD_SHARE_AT_FIRST: f64 = 0.5;
/// Weight of a new answer in the learned share.
const GOOD_SHARE_WEIGHT: f64 = 0.1;
/// Room that is asked about beyond what the waiting tasks take, because others take some of it
/// before the answer is there.
const ASK_MARGIN: f64 = 1.5;
/// Calls that take longer are not made before their step may start: tickets lapse after some 2 s, and the
/// time of these calls is scarce.
const MOST_AHEAD_MS: f64 = 50.0;
/// Share of the time that a call takes at least which may be spent on workers that have no room now.
const EXTRA_SHARE: f64 = 0.5;
/// Fewest tasks that the workers asked about should hold.
const FEWEST_WANTED: u64 = 4;

impl Leader {
    /// Asks about the steps that wait for this one, of which a task is done, where that takes little time.
    ///
    /// Its other tasks end soon after. With tickets at hand by then, the end of this step and the starts of the
    /// next are recorded together.
    pub(crate) fn request_advice_for_next_steps(&mut self, done: StepName, now: Now) {
        let Some(entry) = self.jobs.get(&done.job) else { return };
        let is_quick = entry.job.queue.advice.is_some_and(|policy| policy.base_ms <= MOST_AHEAD_MS);
        if !is_quick || !self.lanes.has_idle() {
            return;
        }
        let next: Vec<StepName> = entry
            .job
            .step_names()
            .filter(|name| name.occurrence == done.occurrence)
            .filter(|name| entry.job.step_plan(name.step).after.contains(&done.step))
            .filter(|name| !self.advice.contains_key(name))
            .collect();
        for name in next {
            self.request_advice(name, now);
        }
    }

    /// Asks which workers may run a step, unless a call is under way, its time has not come, or there is
    /// nobody to ask about.
    pub(crate) fn request_advice(&mut self, name: StepName, now: Now) {
        let Some(entry) = self.jobs.get(&name.job) else { return };
        let Some(policy) = entry.job.queue.advice else { return };
        let known = self.advice.get(&name);
        if known.is_some_and(|a| a.asking || now.steady_ms < a.ask_from_ms) {
            return;
        }
        let plan = entry.job.step_plan(name.step).clone();
        if !self.lanes.may_call(&entry.job.queue.name, policy.base_ms as u64) {
            return;
        }
        let waiting = entry.job.task_names(name).filter(|t| entry.needs_run(*t)).count() as u64;
        if waiting == 0 {
            return;
        }
        self.work.steps_examined += 1;
        self.choose_home(name, &plan, now);
        let Some(entry) = self.jobs.get(&name.job) else { return };
        let share = self.allowed_shares.get(&entry.job.queue.name).copied();
        let wanted = Wanted {
            waiting,
            tasks: ((waiting as f64 * ASK_MARGIN) as u64).max(FEWEST_WANTED),
            good_share: share.unwrap_or(GOOD_SHARE_AT_FIRST),
        };
        let candidates = self.candidates(name, &plan, &wanted, now);
        if candidates.is_empty() {
            self.advice.entry(name).or_default().nobody_to_ask(now.steady_ms);
            return self.update_advice_queue(name, now);
        }
        let mut workers =
            advice::choose(&candidates, wanted.tasks, wanted.good_share, MAX_WORKERS_PER_CALL);
        if workers.is_empty() {
            return;
        }
        if workers.len() == candidates.len() {
            // Too few have room: most likely the step waits, and asks again.
            workers.extend(self.unknown_workers(name, &plan, &workers, extra_workers(&policy)));
        }
        let expected_ms = (policy.base_ms + policy.per_worker_ms * workers.len() as f64) as u64;
        let Some(lane) = self.lanes.acquire(&entry.job.queue.name, expected_ms) else { return };
        self.advice.entry(name).or_default().asking = true;
        self.advice_queue.remove(name);
        log::info!(
            step:% = name, waiting, workers = workers.len(), candidates = candidates.len(),
            expected_ms, lane = lane.0.as_str();
            "advice asked"
        );
        self.effects.push(Effect::RequestAdvice { lane, step: name, workers, expected_ms });
    }

    /// Notes whether and when a step may ask.
    pub(crate) fn update_advice_queue(&mut self, step: StepName, now: Now) {
        let policy = self.jobs.get(&step.job).and_then(|entry| {
            let policy = entry.job.queue.advice?;
            Some((entry.job.queue.name.as_str(), policy.base_ms as u64))
        });
        let (Some((queue, base_ms)), Some(rank)) = (policy, self.waiting.rank_of(step)) else {
            return self.advice_queue.remove(step);
        };
        match self.advice.get(&step) {
            Some(advice) if advice.asking => self.advice_queue.remove(step),
            Some(advice) if now.steady_ms < advice.ask_from_ms => {
                self.advice_queue.delay(step, advice.ask_from_ms);
            }
            Some(_) | None => self.advice_queue.enqueue(rank, queue, base_ms),
        }
    }

    /// Up to `most` more workers that have no room now and of which it is not known whether the step may
    /// run there.
    ///
    /// Which workers may run a step never changes. Asked about the few with room alone, a step for which
    /// three in ten are allowed learned of one after the other, half a second each, and the calls of such
    /// steps held nearly all lanes.
    fn unknown_workers(
        &self,
        name: StepName,
        plan: &v1::WorkStep,
        asked: &[WorkerName],
        most: usize,
    ) -> Vec<WorkerName> {
        let Some(entry) = self.jobs.get(&name.job) else { return Vec::new() };
        let need = place::need(plan);
        let advice = self.advice.get(&name);
        let asked: HashSet<&WorkerName> = asked.iter().collect();
        let is_unknown = |worker: &&Worker| {
            worker.registered
                && !worker.draining
                && need.fits(&worker.registration.capacity)
                && place::is_eligible(worker, &entry.job.queue.service, plan)
                && advice.is_none_or(|advice| advice.verdict(&worker.registration.name).is_none())
                && !asked.contains(&worker.registration.name)
        };
        let most = most.min(MAX_WORKERS_PER_CALL.saturating_sub(asked.len()));
        let unknown = self.workers.values().filter(is_unknown).take(most);
        unknown.map(|worker| worker.registration.name.clone()).collect()
    }

    pub(crate) fn on_advice_received(
        &mut self,
        lane: &Lane,
        step: StepName,
        asked: &[WorkerName],
        answer: Option<Advice>,
        now: Now,
    ) {
        self.lanes.release(lane);
        let Some(entry) = self.jobs.get(&step.job) else { return };
        let good = answer.as_ref().map(|answer| answer.good.len());
        log::info!(step:% = step, asked = asked.len(), good:? = good; "advice answered");
        if let Some(answer) = &answer {
            let share = answer.good.len() as f64 / asked.len().max(1) as f64;
            let learned = self
                .allowed_shares
                .entry(entry.job.queue.name.clone())
                .or_insert(GOOD_SHARE_AT_FIRST);
            *learned += (share - *learned) * GOOD_SHARE_WEIGHT;
        }
        let margin_ms = self.options.ticket_margin_ms;
        let known = self.advice.entry(step).or_default();
        known.answered(asked, answer, margin_ms, now.steady_ms);
        let is_bad = |worker: &WorkerName| known.verdict(worker) == Some(false);
        for worker in asked.iter().filter(|worker| known.verdict(worker) == Some(true)) {
            self.allowed_steps.entry(worker.clone()).or_default().insert(step);
        }
        if self.reservations.workers_of(step).iter().any(is_bad) {
            for worker in self.reservations.release(step) {
                self.pending_changes.mark_worker_freed(&worker);
            }
        }
        self.pending_changes.mark_step_changed(step);
        self.update_advice_queue(step, now);
    }
}

/// How many workers a call may name beyond those with room, so that it takes little longer.
fn extra_workers(policy: &v1::AdvicePolicy) -> usize {
    (policy.base_ms * EXTRA_SHARE / policy.per_worker_ms.max(f64::MIN_POSITIVE)) as usize
}
