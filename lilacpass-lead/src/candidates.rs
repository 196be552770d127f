//! Selects and orders the workers that a call to the advice service could name for a step.

use std::cmp::Reverse;

use lilacpass_core::Resources;
use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    advice::{Candidate, StepAdvice},
    advice_requests::MAX_WORKERS_PER_CALL,
    event::Now,
    leader::{JobEntry, Leader},
    learned::preference::SpeedPreference,
    place,
    rank::Rank,
    work::Part,
    worker::Worker,
};

/// Maximum number of workers that are sorted for one call, out of possibly thousands. A call names fewer than this.
const MAX_RATED_WORKERS: usize = 2 * MAX_WORKERS_PER_CALL;
/// If fewer than one worker in this many has enough free capacity, all of those are rated and sorted.
const RATE_ALL_DIVISOR: usize = 8;
/// If a step is known to be allowed on more than one worker in this many, all workers are rated in one pass. To look up
/// and sort that many by name costs several times as much.
const MANY_ALLOWED_DIVISOR: usize = 8;

/// Maximum number of workers that are tried in order of preference before all workers are rated instead. Trying a
/// worker this way costs several times as much as rating it in a scan of all workers, and a step that already has
/// advice about all workers with enough free capacity would search in vain again and again.
const MAX_PREFERRED_TRIES: usize = 32;

/// How many tasks a call for advice should find workers for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdviceDemand {
    /// Number of tasks of the step that are waiting.
    pub(crate) waiting_tasks: u64,
    /// Number of tasks that the allowed workers among those named should have capacity for.
    pub(crate) target_tasks: u64,
    /// Expected share of unknown workers that are allowed to run the step.
    pub(crate) allowed_share: f64,
}

impl AdviceDemand {
    /// Returns whether the candidates, sorted best first, are more than enough for one call and can hold all waiting
    /// tasks.
    fn has_enough(&self, candidates: &[Rated<'_>]) -> bool {
        let share = |rated: &Rated<'_>| if rated.known_allowed { 1.0 } else { self.allowed_share };
        // The last candidate is not counted. If the call named all candidates found, the caller would conclude that
        // there are no others.
        let named = candidates.split_last().map(|(_, named)| named).unwrap_or_default();
        let expected: f64 =
            named.iter().map(|rated| share(rated) * rated.task_capacity as f64).sum();
        let task_capacity: u64 = candidates.iter().map(|rated| rated.task_capacity).sum();
        expected >= self.target_tasks as f64 && task_capacity >= self.waiting_tasks
    }
}

/// A worker that a call could name, with the values it is sorted by.
#[derive(Clone, Copy, Debug)]
struct Rated<'a> {
    known_allowed: bool,
    score: place::Score,
    worker: &'a WorkerName,
    /// Number of waiting tasks that fit on the worker.
    task_capacity: u64,
}

/// Parameters of the search for candidates for one step.
struct Search<'a> {
    name: StepName,
    plan: &'a v1::WorkStep,
    entry: &'a JobEntry,
    advice: Option<&'a StepAdvice>,
    /// Resources that one task needs.
    need: Resources,
    rank: Rank,
    /// Which workers the step prefers by their speed.
    preference: SpeedPreference,
    /// Number of waiting tasks of the step.
    waiting: u64,
    /// Whether capacity that could be freed by preempting less urgent work counts as free.
    with_preemption: bool,
}

impl Leader {
    /// Returns workers that could run tasks of a step if advice permits it, best first. These are workers with enough
    /// free capacity or, if they cannot hold all waiting tasks, workers on which preemption could free capacity. If
    /// there are many, only as many as needed are returned.
    pub(crate) fn candidates(
        &self,
        name: StepName,
        plan: &v1::WorkStep,
        demand: &AdviceDemand,
        now: Now,
    ) -> Vec<Candidate> {
        let Some(entry) = self.jobs.get(&name.job) else { return Vec::new() };
        let rank = self.waiting.rank_of(name).unwrap_or_else(|| self.compute_rank(entry, name));
        let mut search = Search {
            name,
            plan,
            entry,
            advice: self.advice.get(&name),
            need: place::need(plan),
            rank,
            preference: self.speed_preference(entry, plan),
            waiting: demand.waiting_tasks,
            with_preemption: false,
        };
        let fitting = self.rate_fitting(&search, demand, now);
        let task_capacity: u64 = fitting.iter().map(|rated| rated.task_capacity).sum();
        if task_capacity >= demand.waiting_tasks || !self.may_preempt_for(name, plan) {
            return to_candidates(&fitting);
        }
        search.with_preemption = true;
        to_candidates(&self.rate_many(&search, demand, now))
    }

    /// Rates the workers with enough free capacity and sorts them, best first.
    fn rate_fitting(&self, search: &Search<'_>, demand: &AdviceDemand, now: Now) -> Vec<Rated<'_>> {
        let service = &search.entry.job.queue.service;
        let fitting = self.capacity_index.fitting(
            service,
            &search.need,
            self.workers.len() / RATE_ALL_DIVISOR,
        );
        if let Some(fitting) = fitting {
            let workers = fitting.into_iter().filter_map(|name| self.workers.get(name));
            return best_rated(self.rate_all(search, workers, now));
        }
        self.rate_many(search, demand, now)
    }

    /// Rates workers and returns them, best first. Avoids rating all workers if possible, as many may be suitable.
    fn rate_many(&self, search: &Search<'_>, demand: &AdviceDemand, now: Now) -> Vec<Rated<'_>> {
        // The order of preference in the capacity index does not consider racks.
        let by_rack = !search.plan.affinity_rack.is_empty();
        let max_allowed = self.workers.len() / MANY_ALLOWED_DIVISOR;
        let knows_many = search.advice.is_some_and(|advice| advice.ticket_count() > max_allowed);
        let quick =
            if by_rack || knows_many { None } else { self.rate_preferred(search, demand, now) };
        quick.unwrap_or_else(|| best_rated(self.rate_all(search, self.workers.values(), now)))
    }

    /// Rates workers until there are enough: first those known to be allowed, then the others in order of preference.
    /// Returns `None` if that would take too many tries.
    fn rate_preferred(
        &self,
        search: &Search<'_>,
        demand: &AdviceDemand,
        now: Now,
    ) -> Option<Vec<Rated<'_>>> {
        let allowed = search.advice.into_iter().flat_map(StepAdvice::allowed);
        let mut allowed: Vec<&Worker> = allowed.filter_map(|name| self.workers.get(name)).collect();
        allowed.sort_unstable_by_key(|worker| &worker.registration.name);
        let mut rated = best_rated(self.rate_all(search, allowed.into_iter(), now));
        let home = search.entry.home_for(search.plan);
        // Preemption may free enough capacity on any worker, so none is left out because it has too little now.
        let need = if search.with_preemption { Resources::ZERO } else { search.need };
        let service = &search.entry.job.queue.service;
        let names = self.capacity_index.by_preference(service, home, need, search.preference);
        let mut others = names
            .take(MAX_PREFERRED_TRIES)
            .filter(|name| search.verdict(name).is_none())
            .filter_map(|name| self.rate(search, self.workers.get(name)?, now));
        while rated.len() < MAX_RATED_WORKERS && !demand.has_enough(&rated) {
            rated.push(others.next()?);
        }
        Some(rated)
    }

    /// Rates all of `workers` and drops the unsuitable ones.
    fn rate_all<'a>(
        &'a self,
        search: &Search<'_>,
        workers: impl Iterator<Item = &'a Worker>,
        now: Now,
    ) -> Vec<Rated<'a>> {
        workers.filter_map(|worker| self.rate(search, worker, now)).collect()
    }

    /// Rates a worker for the step. Returns `None` if it cannot run a task of the step, or if the step already has a
    /// valid ticket for it.
    fn rate<'a>(&self, search: &Search<'_>, worker: &'a Worker, now: Now) -> Option<Rated<'a>> {
        let Search { name, plan, entry, advice, need, rank, waiting, with_preemption, .. } = search;
        self.visits.add(Part::AdviceSearch, 1);
        // The cheap checks come first, because in a full cell each waiting step goes through many workers.
        let max_capacity =
            if *with_preemption { worker.registration.capacity } else { worker.free_capacity() };
        let could_start = need.fits(&max_capacity)
            && worker.accepts_starts(now.steady_ms)
            && place::is_eligible(worker, &entry.job.queue.service, plan);
        if !could_start {
            return None;
        }
        let worker_name = &worker.registration.name;
        let verdict = search.verdict(worker_name);
        // Only allowed workers have tickets.
        let holds_ticket =
            || advice.is_some_and(|advice| advice.ticket(worker_name, now.steady_ms).is_some());
        if verdict == Some(false) || verdict == Some(true) && holds_ticket() {
            return None;
        }
        let capacity = if *with_preemption {
            self.capacity_with_preemption(rank, worker)
        } else {
            let claimed = self.advice_claims.claimed_before(rank, worker_name);
            self.free_capacity_for(rank, worker).minus(&claimed)
        };
        let max_tasks = (*waiting).min(self.remaining_task_limit(worker, *name, plan));
        let task_capacity = place::count_fitting(&capacity, need, max_tasks);
        let score = place::Score::new(worker, plan, entry.home_for(plan), search.preference);
        let known_allowed = verdict == Some(true);
        (task_capacity > 0).then_some(Rated {
            known_allowed,
            score,
            worker: worker_name,
            task_capacity,
        })
    }
}

impl Search<'_> {
    /// Returns whether the worker is known to be allowed to run the step; `None` if that is unknown.
    fn verdict(&self, worker: &WorkerName) -> Option<bool> {
        self.advice.and_then(|advice| advice.allows(worker))
    }
}

/// Sorts workers, best first, and keeps at most [`MAX_RATED_WORKERS`].
fn best_rated(mut rated: Vec<Rated<'_>>) -> Vec<Rated<'_>> {
    let by_preference = |rated: &Rated<'_>| Reverse((rated.known_allowed, rated.score));
    if rated.len() > MAX_RATED_WORKERS {
        rated.select_nth_unstable_by_key(MAX_RATED_WORKERS, by_preference);
        rated.truncate(MAX_RATED_WORKERS);
    }
    rated.sort_by_key(by_preference);
    rated
}

fn to_candidates(rated: &[Rated<'_>]) -> Vec<Candidate> {
    let candidate = |rated: &Rated<'_>| Candidate {
        worker: rated.worker.clone(),
        known_allowed: rated.known_allowed,
        task_capacity: rated.task_capacity,
    };
    rated.iter().map(candidate).collect()
}
