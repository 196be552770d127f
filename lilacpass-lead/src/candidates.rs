//! The workers that a call for advice about a step could name, best first.

use std::cmp::Reverse;

use lilacpass_core::Resources;
use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    advice::{Candidate, StepAdvice},
    advice_requests::MAX_WORKERS_PER_CALL,
    event::Now,
    leader::{JobEntry, Leader},
    place,
    rank::{self, Rank},
    worker::Worker,
};

/// Most workers that are put in order for one call, of thousands that may come into question. A call names
/// fewer.
const MOST_RATED: usize = 2 * MAX_WORKERS_PER_CALL;
/// Where fewer than one worker in so many has room, those are all put in order.
const MANY_IN: usize = 8;

/// Workers that are tried in the order in which they suit before all are rated. That is several times as dear for
/// each worker, and steps that have asked about all that have room search in vain, again and again.
const MOST_TRIED: usize = 32;

/// What a call for advice should find.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wanted {
    /// Tasks that wait.
    pub(crate) waiting: u64,
    /// Tasks that the allowed workers should hold.
    pub(crate) tasks: u64,
    /// Share of the workers that is allowed.
    pub(crate) good_share: f64,
}

impl Wanted {
    /// Whether candidates, the best first, hold more than a call names and all tasks that wait.
    fn has_enough(&self, candidates: &[Rated<'_>]) -> bool {
        let share = |rated: &Rated<'_>| if rated.known_good { 1.0 } else { self.good_share };
        // The last is one more than a call names: without it they would seem to be all that there are.
        let named = candidates.split_last().map(|(_, named)| named).unwrap_or_default();
        let expected: f64 = named.iter().map(|rated| share(rated) * rated.fits as f64).sum();
        let fits: u64 = candidates.iter().map(|rated| rated.fits).sum();
        expected >= self.tasks as f64 && fits >= self.waiting
    }
}

/// A worker that could be asked about.
#[derive(Clone, Copy, Debug)]
struct Rated<'a> {
    known_good: bool,
    score: place::Score,
    worker: &'a WorkerName,
    /// How many of the waiting tasks fit there.
    fits: u64,
}

/// What is looked for, for one step.
struct Search<'a> {
    name: StepName,
    plan: &'a v1::WorkStep,
    entry: &'a JobEntry,
    advice: Option<&'a StepAdvice>,
    need: Resources,
    rank: Rank,
    waiting: u64,
    /// Room counts that less urgent work could make.
    preempting: bool,
}

impl Leader {
    /// Workers that could run tasks of a step if they were allowed to, best first: those with room, or if
    /// that is too little, those that could be given room. Of many, only as many as are wanted.
    pub(crate) fn candidates(
        &self,
        name: StepName,
        plan: &v1::WorkStep,
        wanted: &Wanted,
        now: Now,
    ) -> Vec<Candidate> {
        let Some(entry) = self.jobs.get(&name.job) else { return Vec::new() };
        let rank = self.waiting.rank_of(name).unwrap_or_else(|| rank::of_step(&entry.job, name));
        let mut search = Search {
            name,
            plan,
            entry,
            advice: self.advice.get(&name),
            need: place::need(plan),
            rank,
            waiting: wanted.waiting,
            preempting: false,
        };
        let roomy = self.with_room(&search, wanted, now);
        let fits: u64 = roomy.iter().map(|rated| rated.fits).sum();
        if fits >= wanted.waiting || !self.may_preempt_any(name) || plan.lasting {
            return to_candidates(&roomy);
        }
        search.preempting = true;
        to_candidates(&self.among_many(&search, wanted, now))
    }

    fn with_room(&self, search: &Search<'_>, wanted: &Wanted, now: Now) -> Vec<Rated<'_>> {
        let service = &search.entry.job.queue.service;
        let few = self.capacity_index.fitting(service, &search.need, self.workers.len() / MANY_IN);
        if let Some(few) = few {
            let few = few.into_iter().filter_map(|name| self.workers.get(name));
            return best(self.rate_all(search, few, now));
        }
        self.among_many(search, wanted, now)
    }

    fn among_many(&self, search: &Search<'_>, wanted: &Wanted, now: Now) -> Vec<Rated<'_>> {
        // The order in which workers suit knows nothing of racks.
        let by_rack = !search.plan.affinity_rack.is_empty();
        let quick = if by_rack { None } else { self.best_of_many(search, wanted, now) };
        quick.unwrap_or_else(|| best(self.rate_all(search, self.workers.values(), now)))
    }

    /// The best workers, until they are enough: those that are known to be allowed, then the others in the order
    /// in which they suit. None where that takes many tries.
    fn best_of_many(
        &self,
        search: &Search<'_>,
        wanted: &Wanted,
        now: Now,
    ) -> Option<Vec<Rated<'_>>> {
        let allowed = search.advice.into_iter().flat_map(StepAdvice::allowed);
        let mut allowed: Vec<&Worker> = allowed.filter_map(|name| self.workers.get(name)).collect();
        allowed.sort_unstable_by_key(|worker| &worker.registration.name);
        let mut rated = best(self.rate_all(search, allowed.into_iter(), now));
        let home = search.entry.home_for(search.plan);
        let need = if search.preempting { Resources::ZERO } else { search.need };
        let names = self.capacity_index.by_preference(&search.entry.job.queue.service, home, need);
        let mut others = names
            .take(MOST_TRIED)
            .filter(|name| search.verdict(name).is_none())
            .filter_map(|name| self.rate(search, self.workers.get(name)?, now));
        while rated.len() < MOST_RATED && !wanted.has_enough(&rated) {
            rated.push(others.next()?);
        }
        Some(rated)
    }

    fn rate_all<'a>(
        &'a self,
        search: &Search<'_>,
        workers: impl Iterator<Item = &'a Worker>,
        now: Now,
    ) -> Vec<Rated<'a>> {
        workers.filter_map(|worker| self.rate(search, worker, now)).collect()
    }

    /// How a worker suits; none where it can't run a task of the step, or needs not be asked about.
    fn rate<'a>(&self, search: &Search<'_>, worker: &'a Worker, now: Now) -> Option<Rated<'a>> {
        let Search { name, plan, entry, advice, need, rank, waiting, preempting } = search;
        // What is cheap to tell comes first: in a full cell each waiting step goes through many workers.
        let most_room =
            if *preempting { worker.registration.capacity } else { worker.free_capacity() };
        let could_start = need.fits(&most_room)
            && worker.accepts_starts(now.steady_ms)
            && place::is_eligible(worker, &entry.job.queue.service, plan);
        if !could_start {
            return None;
        }
        let worker_name = &worker.registration.name;
        let verdict = search.verdict(worker_name);
        let holds_ticket = advice.is_some_and(|a| a.ticket(worker_name, now.steady_ms).is_some());
        if verdict == Some(false) || holds_ticket {
            return None;
        }
        let room = if *preempting {
            self.capacity_with_preemption(rank, worker)
        } else {
            self.free_capacity_for(rank, worker)
        };
        let most = (*waiting).min(self.remaining_task_limit(worker, *name, plan));
        let fits = place::fits(&room, need, most);
        let score = place::Score::new(worker, plan, entry.home_for(plan));
        let known_good = verdict == Some(true);
        (fits > 0).then_some(Rated { known_good, score, worker: worker_name, fits })
    }
}

impl Search<'_> {
    fn verdict(&self, worker: &WorkerName) -> Option<bool> {
        self.advice.and_then(|advice| advice.verdict(worker))
    }
}

/// The best, in order.
fn best(mut rated: Vec<Rated<'_>>) -> Vec<Rated<'_>> {
    let by_preference = |rated: &Rated<'_>| Reverse((rated.known_good, rated.score));
    if rated.len() > MOST_RATED {
        rated.select_nth_unstable_by_key(MOST_RATED, by_preference);
        rated.truncate(MOST_RATED);
    }
    rated.sort_by_key(by_preference);
    rated
}

fn to_candidates(rated: &[Rated<'_>]) -> Vec<Candidate> {
    let candidate = |rated: &Rated<'_>| Candidate {
        worker: rated.worker.clone(),
        known_good: rated.known_good,
        fits: rated.fits,
    };
    rated.iter().map(candidate).collect()
}
