//! Asking for advice about a step, and taking the answer in.

use std::cmp::Reverse;

use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    advice::{self, Candidate},
    event::{Advice, Effect, Lane, Now},
    leader::Leader,
    place,
};

/// Most workers that one call for advice may name.
const MOST_ASKED: usize = 100;
/// Share of workers that are allowed, before a queue has shown its own.
const GOOD_SHARE_AT_FIRST: f64 = 0.5;
/// Weight of a new answer in the learned share.
const GOOD_SHARE_WEIGHT: f64 = 0.1;
/// Room that is asked about beyond what the waiting tasks take, because others take some of it
/// before the answer is there.
const ASK_MARGIN: f64 = 1.5;
/// Fewest tasks that the workers asked about should hold.
const FEWEST_WANTED: u64 = 4;
/// Most workers that are put in order for one call, of thousands that may come into question. A call names
/// fewer.
const MOST_RATED: usize = 2 * MOST_ASKED;

/// A worker that could be asked about: whether it is known to be allowed, how well it suits, its name,
/// and how many of the waiting tasks fit there.
type Rated<'a> = (bool, place::Score, &'a WorkerName, u64);

impl Leader {
    /// Asks which workers may run a step, unless a call is under way, its time has not come, or there is
    /// nobody to ask about.
    pub(crate) fn ask_advice(&mut self, name: StepName, now: Now) {
        let Some(entry) = self.jobs.get(&name.job) else { return };
        let Some(policy) = entry.job.queue.advice else { return };
        let known = self.advice.get(&name);
        if known.is_some_and(|a| a.asking || now.steady_ms < a.ask_from_ms) {
            return;
        }
        let plan = entry.job.step_plan(name.step).clone();
        let waiting = entry.job.task_names(name).filter(|t| entry.wants_run(*t)).count() as u64;
        if waiting == 0 {
            return;
        }
        self.choose_home(name, &plan, now);
        let Some(entry) = self.jobs.get(&name.job) else { return };
        let candidates = self.candidates(name, &plan, waiting, now);
        if candidates.is_empty() {
            self.advice.entry(name).or_default().nobody_to_ask(now.steady_ms);
            return;
        }
        let share = self.good_shares.get(&entry.job.queue.name).copied();
        let wanted = ((waiting as f64 * ASK_MARGIN) as u64).max(FEWEST_WANTED);
        let share = share.unwrap_or(GOOD_SHARE_AT_FIRST);
        let workers = advice::choose(&candidates, wanted, share, MOST_ASKED);
        if workers.is_empty() {
            return;
        }
        let expected_ms = (policy.base_ms + policy.per_worker_ms * workers.len() as f64) as u64;
        let Some(lane) = self.lanes.take(expected_ms) else { return };
        self.advice.entry(name).or_default().asking = true;
        self.effects.push(Effect::Advise { lane, step: name, workers, expected_ms });
    }

    /// Workers that could run tasks of a step if they were allowed to, best first.
    fn candidates(
        &self,
        name: StepName,
        plan: &v1::WorkStep,
        waiting: u64,
        now: Now,
    ) -> Vec<Candidate> {
        let Some(entry) = self.jobs.get(&name.job) else { return Vec::new() };
        let home = entry.home_of(plan);
        let need = place::need(plan);
        let advice = self.advice.get(&name);
        let mut rated: Vec<Rated<'_>> = Vec::new();
        for worker in self.workers.values() {
            if !need.fits(&worker.room()) {
                continue;
            }
            let worker_name = &worker.entry.name;
            let verdict = advice.and_then(|a| a.verdict(worker_name));
            let holds_ticket =
                advice.is_some_and(|a| a.ticket(worker_name, now.steady_ms).is_some());
            let usable = verdict != Some(false)
                && !holds_ticket
                && worker.takes_starts(now.steady_ms)
                && place::is_eligible(worker, &entry.job.queue.service, plan);
            if !usable {
                continue;
            }
            let most = waiting.min(self.may_take(worker, name, plan));
            let fits = place::fits(&worker.room(), &need, most);
            if fits == 0 {
                continue;
            }
            let known_good = verdict == Some(true);
            rated.push((known_good, place::Score::new(worker, plan, home), worker_name, fits));
        }
        let rank = |&(known_good, score, ..): &Rated<'_>| Reverse((known_good, score));
        if rated.len() > MOST_RATED {
            rated.select_nth_unstable_by_key(MOST_RATED, rank);
            rated.truncate(MOST_RATED);
        }
        rated.sort_by_key(rank);
        let candidate = |(known_good, _, worker, fits): Rated<'_>| Candidate {
            worker: worker.clone(),
            known_good,
            fits,
        };
        rated.into_iter().map(candidate).collect()
    }

    pub(crate) fn on_advised(
        &mut self,
        lane: &Lane,
        step: StepName,
        asked: &[WorkerName],
        answer: Option<Advice>,
        now: Now,
    ) {
        self.lanes.give_back(lane);
        let Some(entry) = self.jobs.get(&step.job) else { return };
        if let Some(answer) = &answer {
            let share = answer.good.len() as f64 / asked.len().max(1) as f64;
            let learned =
                self.good_shares.entry(entry.job.queue.name.clone()).or_insert(GOOD_SHARE_AT_FIRST);
            *learned += (share - *learned) * GOOD_SHARE_WEIGHT;
        }
        let margin_ms = self.options.ticket_margin_ms;
        let known = self.advice.entry(step).or_default();
        known.answered(asked, answer, margin_ms, now.steady_ms);
        self.news.change(step);
    }
}
