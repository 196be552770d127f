//! Selects and orders the workers that a call to the advice service could name for a step.

use std::{cmp::Reverse, collections::HashSet};

use lilacpass_core::Resources;
use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    advice::{self, Candidate, StepAdvice},
    event::Now,
    job_entry::JobEntry,
    leader::Leader,
    learned::preference::SpeedPreference,
    place,
    rank::Rank,
    work::Part,
    worker::Worker,
};

/// Maximum number of workers with enough free capacity that are all rated. If there are more, the most suitable ones are.
const MAX_ALL_RATED: usize = 128;
/// Maximum number of workers of each kind that one search looks at besides: in the order of preference, of those that are
/// known to be allowed, and from the position at which the last search ended. The last ones make sure that each worker is
/// looked at sooner or later. So the cost of a search does not grow with the workers of the cell.
const MAX_PREFERRED: usize = 96;
const MAX_KNOWN_ALLOWED: usize = 64;
pub(crate) const MAX_FROM_POSITION: usize = 64;

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

/// Counts what a search has found.
#[derive(Default)]
struct Found<'a> {
    rated: Vec<Rated<'a>>,
    /// Number of tasks that the workers can hold.
    task_capacity: u64,
    /// Number of tasks that the allowed ones of them can be expected to hold.
    expected: f64,
    seen: HashSet<&'a WorkerName>,
}

impl<'a> Found<'a> {
    fn push(&mut self, rated: Rated<'a>, demand: &AdviceDemand) {
        let share = if rated.known_allowed { 1.0 } else { demand.allowed_share };
        self.expected += share * rated.task_capacity as f64;
        self.task_capacity += rated.task_capacity;
        self.rated.push(rated);
    }

    /// Returns whether the workers are more than enough for one call and can hold all waiting tasks.
    fn is_enough(&self, demand: &AdviceDemand) -> bool {
        // The last worker is not counted. If the call named all that were found, the caller would conclude that there
        // are no others.
        let last = self.rated.last().map_or(0, |rated| rated.task_capacity);
        self.expected - last as f64 >= demand.target_tasks as f64
            && self.task_capacity >= demand.waiting_tasks
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
    ///
    /// A search looks at a bounded number of workers, and may miss some that another one finds.
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
        to_candidates(&self.rate_some(&search, demand, now))
    }

    /// Rates the workers with enough free capacity and sorts them, best first.
    fn rate_fitting(&self, search: &Search<'_>, demand: &AdviceDemand, now: Now) -> Vec<Rated<'_>> {
        let service = &search.entry.job.queue.service;
        let Some(fitting) = self.capacity_index.fitting(service, &search.need, MAX_ALL_RATED)
        else {
            return self.rate_some(search, demand, now);
        };
        let workers = fitting.into_iter().filter_map(|name| self.workers.get(name));
        sorted_best_first(workers.filter_map(|worker| self.rate(search, worker, now)).collect())
    }

    /// Rates a bounded number of workers until there are enough, and sorts them, best first.
    fn rate_some(&self, search: &Search<'_>, demand: &AdviceDemand, now: Now) -> Vec<Rated<'_>> {
        let position = advice::search_position(search.name, search.advice);
        let allowed = search.advice.into_iter().flat_map(StepAdvice::allowed);
        let first_allowed = position % search.advice.map_or(0, StepAdvice::allowed_count).max(1);
        let allowed = allowed.skip(first_allowed).take(MAX_KNOWN_ALLOWED);
        let allowed = allowed.filter_map(|name| Some(self.workers.get_key_value(name)?.0));
        let affinity = &search.plan.affinity_rack;
        let near = (!affinity.is_empty()).then(|| self.roster.on_rack(affinity));
        let mut found = Found::default();
        for name in near.into_iter().flatten().chain(allowed) {
            self.rate_into(&mut found, search, demand, name, now);
        }
        let home = search.entry.home_for(search.plan);
        // Preemption may free enough capacity on any worker, so none is left out because it has too little now.
        let need = if search.with_preemption { Resources::ZERO } else { search.need };
        let service = &search.entry.job.queue.service;
        let preferred = self.capacity_index.by_preference(
            service,
            home,
            need,
            search.preference,
            MAX_PREFERRED,
        );
        let others = self.roster.from_position(position, MAX_FROM_POSITION);
        for name in preferred.chain(others) {
            if found.is_enough(demand) {
                break;
            }
            // Those that are known to be allowed have been rated, or are next time.
            if search.verdict(name).is_none() {
                self.rate_into(&mut found, search, demand, name, now);
            }
        }
        sorted_best_first(found.rated)
    }

    /// Rates a worker and adds it to those that were found, unless it is unsuitable.
    fn rate_into<'a>(
        &'a self,
        found: &mut Found<'a>,
        search: &Search<'_>,
        demand: &AdviceDemand,
        name: &'a WorkerName,
        now: Now,
    ) {
        let Some(worker) = self.workers.get(name).filter(|_| found.seen.insert(name)) else {
            return;
        };
        if let Some(rated) = self.rate(search, worker, now) {
            found.push(rated, demand);
        }
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

/// Sorts workers, best first.
fn sorted_best_first(mut rated: Vec<Rated<'_>>) -> Vec<Rated<'_>> {
    rated.sort_by_key(|rated| Reverse((rated.known_allowed, rated.score)));
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
