//! A scheduling round: places waiting tasks on workers and requests advice for steps that need it.

use std::collections::{BTreeMap, BTreeSet};

use lilacpass_core::Resources;
use lilacpass_jobs::{StepName, TaskName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    event::Now,
    hosts::{self, Host, HostSelector},
    job_entry::JobEntry,
    leader::Leader,
    learned::{
        preference::{self, SpeedPreference},
        speeds::SpeedBucket,
    },
    options::Mechanism,
    pending_changes::RoundScope,
    place,
    rank::Rank,
    work::Part,
    worker::{RunKey, Worker},
};

/// Maximum number of steps per round for which preemption is attempted, in scheduling order. Each attempt scans the
/// runs of all workers that the step may use, and hundreds of steps wait during an overload.
const MAX_PREEMPTION_SEARCHES: u32 = 16;
/// The home data centre of a job is chosen among those that can hold this many times the tasks of a step, if there are
/// any, because others take some of the capacity before the step starts.
const HOME_MARGIN: u64 = 4;
/// Number of steps that each full round examines from the first one on, and in turn from the others.
const FIRST_FULL_ROUND_STEPS: usize = 32;
const NEXT_FULL_ROUND_STEPS: usize = 32;
/// Maximum number of steps of the kind [`StepKind::Combined`](crate::waiting::StepKind), from the first one on, that are
/// examined in each full round and when capacity becomes free.
const MAX_COMBINED_STEPS: usize = 24;
/// Number of workers that are looked at for a step that may use all of them, in addition to two for each task.
const MIN_HOSTS: usize = 64;

impl Leader {
    /// Runs one scheduling round: places waiting tasks and requests advice for steps that need it.
    pub(crate) fn schedule(&mut self, now: Now) {
        for worker in self.reservations.expire(now.steady_ms) {
            self.pending_changes.mark_worker_freed(&worker);
        }
        self.end_holds(now);
        self.forget_expired_tickets(now);
        let mut round = self.pending_changes.take(now.steady_ms);
        self.preemption_searches = 0;
        self.search_budget.refill(now.steady_ms);
        for step in self.advice_queue.take_due(now.steady_ms) {
            self.update_advice_queue(step, now);
        }
        self.request_advice_for_advance_reservations(now);
        if self.scan.is_active() {
            return self.schedule_by_scan(round, now);
        }
        let end = self.work.steps_examined + self.pressure.max_steps_per_round();
        let mut due = self.due_steps(&round, now);
        let mut last = None;
        while let Some(rank) = self.next_step(&due, last) {
            if self.work.steps_examined >= end {
                return self.end_round_early(rank, round, now);
            }
            match due.remove(&rank) {
                Some(WorkerScope::All) => self.place_step(rank.step, None, now),
                Some(WorkerScope::Freed) => self.place_step(rank.step, Some(&round.freed), now),
                None => {}
            }
            round.changed.remove(&rank.step);
            if self.lanes.has_idle() {
                self.request_advice(rank.step, now);
            }
            last = Some(rank);
        }
        if round.all {
            self.scan.reset_duration();
            self.make_advance_reservations(now);
        }
    }

    /// Returns the steps that may be placeable now although they were not in the previous round, with the workers to
    /// consider for each.
    pub(crate) fn due_steps(
        &mut self,
        round: &RoundScope,
        now: Now,
    ) -> BTreeMap<Rank, WorkerScope> {
        let mut due = BTreeMap::new();
        if round.all {
            due.extend(self.take_full_round_steps().into_iter().map(|r| (r, WorkerScope::All)));
        }
        if !round.freed.is_empty() {
            for rank in self.steps_fitting(&round.freed) {
                due.entry(rank).or_insert(WorkerScope::Freed);
            }
            for rank in self.combined_steps_fitting(&round.freed, now) {
                due.insert(rank, WorkerScope::All);
            }
        }
        let changed = round.changed.iter().filter_map(|step| self.waiting.rank_of(*step));
        due.extend(changed.map(|rank| (rank, WorkerScope::All)));
        due
    }

    /// Returns the steps that a full round examines whatever has changed: the first ones in scheduling order, the first
    /// of those that need several workers, and then those that follow the last one of the previous full round.
    ///
    /// What comes with time alone, such as work that may be preempted, matters to the first steps most. If all waiting
    /// steps were examined each time, the cost would grow with their number.
    fn take_full_round_steps(&mut self) -> Vec<Rank> {
        let first = self.waiting.after(None, FIRST_FULL_ROUND_STEPS);
        let mut steps = first.clone();
        steps.extend(self.waiting.combined().take(MAX_COMBINED_STEPS));
        let from = self.full_round_position.take().max(first.last().copied());
        let next = self.waiting.after(from, NEXT_FULL_ROUND_STEPS);
        if next.len() == NEXT_FULL_ROUND_STEPS {
            self.full_round_position = next.last().copied();
        }
        steps.extend(next);
        self.visits.add(Part::StepSelection, steps.len());
        steps
    }

    /// Returns the waiting steps of which a task fits on one of `workers`, except those of the kind
    /// [`StepKind::Combined`](crate::waiting::StepKind). The others stay out of the round: in a full cell, hundreds of
    /// steps wait for each worker.
    fn steps_fitting(&self, workers: &BTreeSet<WorkerName>) -> Vec<Rank> {
        let known = workers.iter().filter_map(|name| self.workers.get_key_value(name));
        let free: Vec<(&WorkerName, Resources)> =
            known.map(|(name, worker)| (name, worker.free_capacity())).collect();
        let fits_on_any = |rank: &Rank| {
            let need = self.waiting.need_of(rank.step);
            need.is_some_and(|need| free.iter().any(|(_, free)| need.fits(free)))
        };
        let mut fitting: Vec<Rank> = self.waiting.plain().filter(fits_on_any).collect();
        self.visits.add(Part::StepSelection, self.waiting.plain().count() * free.len());
        for (worker, free) in &free {
            let allowed = self.ticketed_steps.get(*worker).into_iter().flatten();
            let allowed = allowed.inspect(|_| self.visits.add(Part::StepSelection, 1));
            fitting.extend(allowed.filter_map(|step| self.waiting.rank_of_advised(*step, free)));
        }
        fitting
    }

    /// Returns those of the first steps of the kind [`StepKind::Combined`](crate::waiting::StepKind) that may start now
    /// that `workers` have more free capacity: as many of their tasks fit there as they lacked capacity for.
    fn combined_steps_fitting(&mut self, workers: &BTreeSet<WorkerName>, now: Now) -> Vec<Rank> {
        let first: Vec<Rank> = self.waiting.combined().take(MAX_COMBINED_STEPS).collect();
        self.visits.add(Part::StepSelection, first.len() * workers.len());
        let mut due = Vec::new();
        for rank in first {
            let Some(need) = self.waiting.need_of(rank.step) else { continue };
            let fitting = workers.iter().filter(|name| {
                self.workers.get(*name).is_some_and(|worker| need.fits(&worker.free_capacity()))
            });
            let allowed = self.allowed_among(rank.step, fitting, now).into_iter();
            let capacities = allowed
                .map(|worker| place::count_fitting(&worker.free_capacity(), &need, u64::MAX));
            let tasks = capacities.fold(0, u64::saturating_add);
            if self.waiting.record_freed(rank.step, tasks) {
                due.push(rank);
            }
        }
        due
    }

    /// Returns the first step in scheduling order that is due, or that comes after `last` and may request advice.
    fn next_step(&self, due: &BTreeMap<Rank, WorkerScope>, last: Option<Rank>) -> Option<Rank> {
        let first = due.first_key_value().map(|(rank, _)| *rank);
        if !self.lanes.has_idle() {
            return first;
        }
        let may_call = |queue: &str, base_ms| self.may_call_advice(queue, base_ms);
        let next_request = self.advice_queue.next_after(last, may_call);
        first.into_iter().chain(next_request).min()
    }

    /// Places waiting tasks of a step. If `subset` is `Some`, only its workers are considered.
    pub(crate) fn place_step(
        &mut self,
        name: StepName,
        subset: Option<&BTreeSet<WorkerName>>,
        now: Now,
    ) {
        if self.is_held_back_by_cap(name) {
            return;
        }
        let may_be_placed = match subset {
            Some(subset) => self.fits_on_any(name, subset),
            None => self.fits_anywhere(name) || self.may_make_room(name),
        };
        if !may_be_placed {
            return;
        }
        let Some(entry) = self.jobs.get(&name.job) else { return };
        if !entry.job.has_room_for_run() {
            return;
        }
        let mut waiting = entry.tasks_to_start(name);
        waiting.truncate(self.count_within_cap(name, waiting.len()));
        if waiting.is_empty() {
            return;
        }
        let plan = entry.job.step_plan(name.step).clone();
        self.work.steps_examined += 1;
        self.visits.add(Part::Placement, waiting.len());
        self.choose_home_data_centre(name, &plan, now);
        let mut hosts = self.available_hosts(name, &plan, subset, now);
        let home_is_unusable =
            subset.is_none() && !hosts.is_empty() && !hosts.iter().any(|host| host.score.at_home);
        if home_is_unusable && let Some(entry) = self.jobs.get_mut(&name.job) {
            // The job's data centre is full or unreachable. The next step of the job chooses another one.
            entry.home_data_centre = None;
        }
        if plan.one_rack {
            hosts::retain_one_rack(&mut hosts, &plan, waiting.len());
        }
        let selector =
            HostSelector { placement: self.options.placement, step: name, now_ms: now.steady_ms };
        let wanted = waiting.len();
        let picks = self.pick_hosts(&mut waiting, &mut hosts, &plan, &selector);
        self.visits.add(Part::Placement, hosts.len() + picks.len());
        if plan.target_ms > 0 && picks.len() < wanted {
            self.stop_filling_tasks(name, &plan, now);
        }
        let missing = (wanted - picks.len()) as u64;
        if plan.gang {
            self.waiting.record_lack(name, missing);
        }
        if missing > 0 && subset.is_none() {
            let wanted = if plan.gang { wanted as u64 } else { missing };
            let may_preempt = !plan.lasting && self.options.uses(Mechanism::Preemption);
            if may_preempt && self.preemption_searches < MAX_PREEMPTION_SEARCHES {
                self.preemption_searches += 1;
                self.preempt_for(name, &plan, wanted, now);
            }
        }
        if plan.gang {
            if missing == 0 {
                self.assign_gang(name, &picks, now);
            }
            return;
        }
        for (task, worker) in waiting.into_iter().zip(picks) {
            if !self.has_run_on(task, &worker) {
                self.assign(task, worker, now);
            }
        }
    }

    /// Returns whether a task of a waiting step fits on one of `workers`. Steps that were placed earlier in the round may
    /// have taken the capacity.
    fn fits_on_any(&self, step: StepName, workers: &BTreeSet<WorkerName>) -> bool {
        let Some(need) = self.waiting.need_of(step) else { return false };
        let mut free = workers.iter().filter_map(|name| self.workers.get(name));
        free.any(|worker| need.fits(&worker.free_capacity()))
    }

    /// Returns whether a task of a step fits on any worker of its service.
    pub(crate) fn fits_anywhere(&self, step: StepName) -> bool {
        let Some(entry) = self.jobs.get(&step.job) else { return false };
        let need = place::need(entry.job.step_plan(step.step));
        self.capacity_index.fits_any(&entry.job.queue.service, &need)
    }

    /// Returns whether runs may be stopped in this round to free capacity for a step that fits nowhere.
    fn may_make_room(&self, step: StepName) -> bool {
        let Some(entry) = self.jobs.get(&step.job) else { return false };
        let plan = entry.job.step_plan(step.step);
        let may_preempt = self.preemption_searches < MAX_PREEMPTION_SEARCHES
            && self.options.uses(Mechanism::Preemption)
            && self.may_preempt_for(step, plan);
        plan.target_ms > 0 || may_preempt
    }

    /// Picks workers for waiting tasks of a step; the first worker is for the first task, and so on. Reorders `waiting`
    /// so that tasks suspected of crashing their workers come last.
    fn pick_hosts(
        &self,
        waiting: &mut Vec<TaskName>,
        hosts: &mut Vec<Host>,
        plan: &v1::WorkStep,
        selector: &HostSelector,
    ) -> Vec<WorkerName> {
        let entry = self.jobs.get(&selector.step.job);
        let is_on_trial =
            |task: &TaskName| entry.is_some_and(|entry| self.is_on_trial(entry, *task));
        if plan.gang || !waiting.iter().any(is_on_trial) {
            return hosts::pick(hosts, plan, waiting.len(), selector);
        }
        let (suspects, others): (Vec<_>, Vec<_>) = waiting.iter().copied().partition(is_on_trial);
        let mut picks = hosts::pick(hosts, plan, others.len(), selector);
        waiting.clear();
        waiting.extend(others.into_iter().take(picks.len()));
        waiting.extend(&suspects);
        hosts.retain(|host| !picks.contains(&host.name));
        if let Some(entry) = entry {
            picks.extend(self.pick_for_trials(entry, hosts, plan, suspects.len()));
        }
        picks
    }

    /// Chooses the home data centre of a job, in which all its tasks should run, unless it has one. Long-running tasks
    /// are spread instead, because their job does not wait for a last task to complete: each one that is lost counts by
    /// itself.
    ///
    /// A job completes only with its last task. If one of three data centres is cut off, a third of the running jobs are
    /// delayed. If tasks were spread over all workers, nearly every job with ten tasks would be delayed.
    pub(crate) fn choose_home_data_centre(
        &mut self,
        name: StepName,
        plan: &v1::WorkStep,
        now: Now,
    ) {
        let Some(entry) = self.jobs.get(&name.job) else { return };
        if entry.home_data_centre.is_some() || plan.lasting || !self.options.uses(Mechanism::Home) {
            return;
        }
        let service = entry.job.queue.service.as_str();
        let could_run = |name: &WorkerName| {
            self.workers.get(name).is_some_and(|worker| {
                worker.accepts_starts(now.steady_ms) && place::is_eligible(worker, service, plan)
            })
        };
        let need = place::need(plan);
        let wanted = u64::from(plan.count);
        let best_among = |usable_speed: fn(SpeedBucket) -> bool| {
            let max_tasks = HOME_MARGIN * wanted;
            let capacities = self.capacity_index.estimate_by_data_centre(
                service,
                &need,
                max_tasks,
                usable_speed,
                could_run,
            );
            capacities.into_iter().max().filter(|best| best.tasks > 0)
        };
        let prefers_fast = self.speed_preference(entry, plan) == SpeedPreference::Faster;
        let fast = if prefers_fast { best_among(preference::is_fast) } else { None };
        // If only some tasks fit on fast workers, the data centre matters more for the others.
        let fast = fast.filter(|best| best.tasks >= wanted);
        let home = fast.or_else(|| best_among(|_| true)).map(|best| best.data_centre.to_owned());
        if let Some(entry) = self.jobs.get_mut(&name.job) {
            entry.home_data_centre = home;
        }
    }

    /// Returns whether the worker may already have a run of the task. A second copy on the same worker gains nothing.
    fn has_run_on(&self, task: TaskName, worker: &WorkerName) -> bool {
        let entry = self.jobs.get(&task.step.job);
        let runs = entry.and_then(|entry| entry.job.task(task)).map(|task| &task.runs);
        runs.is_some_and(|runs| runs.iter().any(|run| run.host.worker == *worker))
    }

    /// Returns the workers that can start tasks of a step now, limited to those in `subset` if it is `Some`.
    fn available_hosts(
        &self,
        name: StepName,
        plan: &v1::WorkStep,
        subset: Option<&BTreeSet<WorkerName>>,
        now: Now,
    ) -> Vec<Host> {
        let Some(entry) = self.jobs.get(&name.job) else { return Vec::new() };
        let home = entry.home_for(plan);
        let preference = self.speed_preference(entry, plan);
        let need = place::need(plan);
        let Some(rank) = self.waiting.rank_of(name) else { return Vec::new() };
        let can_host = |worker: &&Worker| {
            need.fits(&self.free_capacity_for(&rank, worker))
                && self.could_start(worker, name, plan, now)
        };
        let workers = match subset {
            Some(subset) => self.allowed_among(name, subset, now),
            None if entry.job.queue.advice.is_none() => self.preferred_hosts(entry, name, plan),
            None => self.allowed_and_fitting(name, &need, now),
        };
        self.visits.add(Part::Placement, workers.len());
        workers
            .into_iter()
            .filter(can_host)
            .map(|worker| Host {
                name: worker.registration.name.clone(),
                free_capacity: self.free_capacity_for(&rank, worker),
                is_clean: worker.health.is_clean()
                    && !entry.failed_on.contains_key(&worker.registration.name),
                rack: worker.rack().to_owned(),
                score: place::Score::new(worker, plan, home, preference),
                capacity: worker.registration.capacity,
                remaining_task_limit: self.remaining_task_limit(worker, name, plan),
            })
            .collect()
    }

    /// Returns workers on which the tasks of a step fit whose queue needs no advice, sorted by name: those that it prefers,
    /// and more than its waiting tasks can use. All of them if only some can be used for another reason.
    fn preferred_hosts(
        &self,
        entry: &JobEntry,
        name: StepName,
        plan: &v1::WorkStep,
    ) -> Vec<&Worker> {
        let may_use_some_only = plan.one_rack || plan.target_ms > 0;
        let max = if may_use_some_only || !plan.required_label.is_empty() {
            usize::MAX
        } else {
            MIN_HOSTS + 2 * entry.count_to_start(name)
        };
        let preferred = self.capacity_index.by_preference(
            &entry.job.queue.service,
            entry.home_for(plan),
            place::need(plan),
            self.speed_preference(entry, plan),
            max,
        );
        let near = self.roster.on_rack(&plan.affinity_rack);
        let names: BTreeSet<&WorkerName> = preferred.chain(near).collect();
        names.into_iter().filter_map(|name| self.workers.get(name)).collect()
    }

    /// Stops the filling tasks on a worker that could otherwise run a task of this step, which has a latency target.
    /// That task would have to wait for as long as they run.
    fn stop_filling_tasks(&mut self, name: StepName, plan: &v1::WorkStep, now: Now) {
        let Some(entry) = self.jobs.get(&name.job) else { return };
        let service = &entry.job.queue.service;
        let need = place::need(plan);
        let occupied = self.workers.values().find(|worker| {
            worker.accepts_starts(now.steady_ms)
                && place::is_eligible(worker, service, plan)
                && need.fits(&worker.free_capacity())
                && self.would_interfere(worker, plan)
        });
        let Some(worker) = occupied else { return };
        let host = worker.registration.name.clone();
        let fills = |task: TaskName| self.plan_of(task).is_some_and(|plan| plan.fills);
        let stopped: Vec<RunKey> =
            worker.runs.keys().copied().filter(|(task, _)| fills(*task)).collect();
        for key in stopped {
            self.stop_run(&host, key, now);
        }
    }
}

/// Which workers a round considers for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerScope {
    /// Only workers whose capacity was freed since the previous round.
    Freed,
    /// All workers.
    All,
}
