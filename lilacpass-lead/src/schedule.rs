//! What starts where, and for which steps advice is asked.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use lilacpass_core::Resources;
use lilacpass_jobs::{StepName, TaskName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    event::Now,
    hosts::{self, Chooser, Host},
    leader::Leader,
    options::Mechanism,
    outbox::OnStored,
    pending_changes::RoundScope,
    place,
    rank::Rank,
    worker::{Phase, RunKey, Worker},
};

/// Steps for which room is looked for by preemption in one round, the first in order. Each goes through the
/// runs of all workers that it may use; in an overload hundreds of steps wait.
const MOST_TRIES_FOR_ROOM: u32 = 16;

impl Leader {
    /// Places waiting tasks and asks for the advice that others need.
    pub(crate) fn schedule(&mut self, now: Now) {
        for worker in self.reservations.expire(now.steady_ms) {
            self.pending_changes.mark_worker_freed(&worker);
        }
        let mut news = self.pending_changes.take(now.steady_ms);
        self.preemption_searches = 0;
        for step in self.advice_queue.take_due(now.steady_ms) {
            self.update_advice_queue(step, now);
        }
        self.request_advice_for_advance_reservations(now);
        if self.scan.is_under_way() {
            return self.schedule_by_scan(news, now);
        }
        let end = self.work.steps_examined + self.pressure.max_steps_per_round();
        let mut due = self.due(&news);
        let mut last = None;
        while let Some(rank) = self.next_step(&due, last) {
            if self.work.steps_examined >= end {
                return self.end_round_early(rank, news, now);
            }
            match due.remove(&rank) {
                Some(Scope::All) => self.place_step(rank.step, None, now),
                Some(Scope::Freed) => self.place_step(rank.step, Some(&news.freed), now),
                None => {}
            }
            news.changed.remove(&rank.step);
            if self.lanes.has_idle() {
                self.request_advice(rank.step, now);
            }
            last = Some(rank);
        }
        if news.all {
            self.scan.reset_duration();
            self.make_advance_reservations(now);
        }
    }

    /// The steps for which workers may have come into question since they were last looked at.
    pub(crate) fn due(&self, news: &RoundScope) -> BTreeMap<Rank, Scope> {
        if news.all {
            return self.waiting.in_order().map(|rank| (rank, Scope::All)).collect();
        }
        let mut due = BTreeMap::new();
        if !news.freed.is_empty() {
            due.extend(self.waiting.plain().map(|rank| (rank, Scope::Freed)));
            let allowed = news.freed.iter().filter_map(|worker| self.allowed_steps.get(worker));
            let advised = allowed.flatten().filter_map(|step| self.waiting.rank_of_advised(*step));
            due.extend(advised.map(|rank| (rank, Scope::Freed)));
            due.extend(self.waiting.combined().map(|rank| (rank, Scope::All)));
        }
        let changed = news.changed.iter().filter_map(|step| self.waiting.rank_of(*step));
        due.extend(changed.map(|rank| (rank, Scope::All)));
        due
    }

    /// The step after `last` that is due or may ask for advice.
    fn next_step(&self, due: &BTreeMap<Rank, Scope>, last: Option<Rank>) -> Option<Rank> {
        let first = due.first_key_value().map(|(rank, _)| *rank);
        if !self.lanes.has_idle() {
            return first;
        }
        let may_call = |queue: &str, base_ms| self.lanes.may_call(queue, base_ms);
        let asking = self.advice_queue.next_after(last, may_call);
        first.into_iter().chain(asking).min()
    }

    /// Places tasks of a step, on any worker or only on some of them.
    pub(crate) fn place_step(
        &mut self,
        name: StepName,
        among: Option<&BTreeSet<WorkerName>>,
        now: Now,
    ) {
        let Some(entry) = self.jobs.get(&name.job) else { return };
        let mut waiting: Vec<TaskName> =
            entry.job.task_names(name).filter(|task| entry.needs_run(*task)).collect();
        if waiting.is_empty() {
            return;
        }
        let plan = entry.job.step_plan(name.step).clone();
        self.work.steps_examined += 1;
        self.choose_home(name, &plan, now);
        let mut hosts = self.hosts(name, &plan, among, now);
        let strays =
            among.is_none() && !hosts.is_empty() && !hosts.iter().any(|host| host.score.at_home);
        if strays && let Some(entry) = self.jobs.get_mut(&name.job) {
            // Its data centre is full or cut off; the next step looks for another.
            entry.home_data_centre = None;
        }
        if plan.one_rack {
            hosts::keep_one_rack(&mut hosts, &plan, waiting.len());
        }
        let chooser =
            Chooser { placement: self.options.placement, step: name, now_ms: now.steady_ms };
        let wanted = waiting.len();
        let picks = self.pick_hosts(&mut waiting, &mut hosts, &plan, &chooser);
        if plan.target_ms > 0 && picks.len() < wanted {
            self.make_way(name, &plan, now);
        }
        let missing = (wanted - picks.len()) as u64;
        if missing > 0 && among.is_none() {
            let wanted = if plan.gang { wanted as u64 } else { missing };
            let may_preempt = !plan.lasting && self.options.uses(Mechanism::Preemption);
            if may_preempt && self.preemption_searches < MOST_TRIES_FOR_ROOM {
                self.preemption_searches += 1;
                self.preempt_for(name, &plan, wanted, now);
            }
        }
        if plan.gang {
            if missing == 0 {
                self.give_gang(name, &picks, now);
            }
            return;
        }
        for (task, worker) in waiting.into_iter().zip(picks) {
            if !self.runs_on(task, &worker) {
                self.give(task, worker, now);
            }
        }
    }

    /// Picks workers for waiting tasks of a step, the first for the first. Brings those that may crash their workers
    /// behind all others.
    fn pick_hosts(
        &self,
        waiting: &mut Vec<TaskName>,
        hosts: &mut Vec<Host>,
        plan: &v1::WorkStep,
        chooser: &Chooser,
    ) -> Vec<WorkerName> {
        let entry = self.jobs.get(&chooser.step.job);
        let is_on_trial =
            |task: &TaskName| entry.is_some_and(|entry| self.is_on_trial(entry, *task));
        if plan.gang || !waiting.iter().any(is_on_trial) {
            return hosts::pick(hosts, plan, waiting.len(), chooser);
        }
        let (suspects, others): (Vec<_>, Vec<_>) = waiting.iter().copied().partition(is_on_trial);
        let mut picks = hosts::pick(hosts, plan, others.len(), chooser);
        waiting.clear();
        waiting.extend(others.into_iter().take(picks.len()));
        waiting.extend(&suspects);
        hosts.retain(|host| !picks.contains(&host.name));
        if let Some(entry) = entry {
            picks.extend(self.pick_for_trials(entry, hosts, plan, suspects.len()));
        }
        picks
    }

    /// Chooses the data centre in which the tasks of a job are to run, if that is still open. Tasks that
    /// last are spread instead: each that is lost counts by itself.
    pub(crate) fn choose_home(&mut self, name: StepName, plan: &v1::WorkStep, now: Now) {
        let Some(entry) = self.jobs.get(&name.job) else { return };
        if entry.home_data_centre.is_some() || plan.lasting || !self.options.uses(Mechanism::Home) {
            return;
        }
        let service = entry.job.queue.service.as_str();
        let could_run = |worker: &&Worker| {
            worker.accepts_starts(now.steady_ms) && place::is_eligible(worker, service, plan)
        };
        let roomy = self.workers_fitting(service, &place::need(plan));
        let home = place::home(roomy.into_iter().filter(could_run), plan);
        if let Some(entry) = self.jobs.get_mut(&name.job) {
            entry.home_data_centre = home;
        }
    }

    /// Whether a run of a task may be on a worker already: a copy there would gain nothing.
    fn runs_on(&self, task: TaskName, worker: &WorkerName) -> bool {
        let entry = self.jobs.get(&task.step.job);
        let runs = entry.and_then(|entry| entry.job.task(task)).map(|task| &task.runs);
        runs.is_some_and(|runs| runs.iter().any(|run| run.worker == *worker))
    }

    /// The workers that may start tasks of a step now, among some or all.
    fn hosts(
        &self,
        name: StepName,
        plan: &v1::WorkStep,
        among: Option<&BTreeSet<WorkerName>>,
        now: Now,
    ) -> Vec<Host> {
        let Some(entry) = self.jobs.get(&name.job) else { return Vec::new() };
        let home = entry.home_for(plan);
        let need = place::need(plan);
        let Some(rank) = self.waiting.rank_of(name) else { return Vec::new() };
        let is_host = |worker: &&Worker| {
            need.fits(&self.free_capacity_for(&rank, worker))
                && self.could_start(worker, name, plan, now)
        };
        let open_to_all = among.is_none() && entry.job.queue.advice.is_none();
        let workers = if open_to_all {
            self.workers_fitting(&entry.job.queue.service, &need)
        } else {
            self.allowed(name, among, now)
        };
        workers
            .into_iter()
            .filter(is_host)
            .map(|worker| Host {
                name: worker.registration.name.clone(),
                room: self.free_capacity_for(&rank, worker),
                clean: worker.health.is_clean()
                    && !entry.failed_on.contains_key(&worker.registration.name),
                rack: worker.rack().to_owned(),
                score: place::Score::new(worker, plan, home),
                capacity: worker.registration.capacity,
                remaining_task_limit: self.remaining_task_limit(worker, name, plan),
            })
            .collect()
    }

    /// The workers that a step may start on as far as advice goes, among some or all.
    pub(crate) fn allowed(
        &self,
        name: StepName,
        among: Option<&BTreeSet<WorkerName>>,
        now: Now,
    ) -> Vec<&Worker> {
        let Some(entry) = self.jobs.get(&name.job) else { return Vec::new() };
        if entry.job.queue.advice.is_some() {
            let Some(advice) = self.advice.get(&name) else { return Vec::new() };
            let ticketed = advice.ticketed(now.steady_ms);
            let within = ticketed.filter(|name| among.is_none_or(|among| among.contains(*name)));
            within.filter_map(|name| self.workers.get(name)).collect()
        } else if let Some(among) = among {
            among.iter().filter_map(|name| self.workers.get(name)).collect()
        } else {
            self.workers.values().collect()
        }
    }

    /// Whether a worker takes starts of a step now, if it has room.
    pub(crate) fn could_start(
        &self,
        worker: &Worker,
        name: StepName,
        plan: &v1::WorkStep,
        now: Now,
    ) -> bool {
        let Some(entry) = self.jobs.get(&name.job) else { return false };
        worker.accepts_starts(now.steady_ms)
            && place::is_eligible(worker, &entry.job.queue.service, plan)
            && (plan.lasting || !entry.avoids(&worker.registration.name, now.steady_ms))
            && !self.would_disturb(worker, plan)
    }

    /// The room on a worker that is open to a step with this rank.
    pub(crate) fn free_capacity_for(&self, rank: &Rank, worker: &Worker) -> Resources {
        worker
            .free_capacity()
            .minus(&self.reservations.reserved_before(rank, &worker.registration.name))
    }

    /// Whether a task of this step and those on the worker would disturb each other: one that fills
    /// takes processors that nobody reserved, and the tail of the response times of one that serves
    /// users grows with that, by an amount that nobody knows beforehand.
    fn would_disturb(&self, worker: &Worker, plan: &v1::WorkStep) -> bool {
        let any = |is_such: fn(&v1::WorkStep) -> bool| {
            worker.runs.keys().any(|(task, _)| self.plan_of(*task).is_some_and(is_such))
        };
        plan.fills && any(|other| other.target_ms > 0)
            || plan.target_ms > 0 && any(|other| other.fills)
    }

    fn plan_of(&self, task: TaskName) -> Option<&v1::WorkStep> {
        let entry = self.jobs.get(&task.step.job)?;
        entry.job.plan.steps.get(task.step.step as usize)
    }

    /// Stops tasks that fill on a worker that could serve users. Without this, filling tasks that
    /// came first would keep tasks with a target waiting for as long as they run.
    fn make_way(&mut self, name: StepName, plan: &v1::WorkStep, now: Now) {
        let Some(entry) = self.jobs.get(&name.job) else { return };
        let service = &entry.job.queue.service;
        let need = place::need(plan);
        let filled = self.workers.values().find(|worker| {
            worker.accepts_starts(now.steady_ms)
                && place::is_eligible(worker, service, plan)
                && need.fits(&worker.free_capacity())
                && self.would_disturb(worker, plan)
        });
        let Some(worker) = filled else { return };
        let host = worker.registration.name.clone();
        let fills = |task: TaskName| self.plan_of(task).is_some_and(|plan| plan.fills);
        let stopped: Vec<RunKey> =
            worker.runs.keys().copied().filter(|(task, _)| fills(*task)).collect();
        for key in stopped {
            self.stop_run(&host, key, now);
        }
    }

    /// How many more tasks of a step a worker may run, by the step's own limit.
    pub(crate) fn remaining_task_limit(
        &self,
        worker: &Worker,
        name: StepName,
        plan: &v1::WorkStep,
    ) -> u64 {
        if plan.max_per_worker == 0 {
            return u64::MAX;
        }
        let there = worker.runs.keys().filter(|(task, _)| task.step == name).count() as u64;
        u64::from(plan.max_per_worker).saturating_sub(there)
    }

    fn give(&mut self, task: TaskName, worker: WorkerName, now: Now) {
        let entry = self.jobs.get(&task.step.job);
        let is_on_trial = entry.is_some_and(|entry| self.is_on_trial(entry, task));
        let Some(entry) = self.jobs.get_mut(&task.step.job) else { return };
        let data_centre = data_centre_of(&self.workers, &worker);
        let Some(run) = entry.job.assign_run(task, worker.clone(), data_centre) else { return };
        entry.wanted_copies.remove(&task);
        self.record_start(task, run, worker.clone(), now);
        if is_on_trial {
            self.begin_trial(&worker, (task, run));
        }
        self.reindex_step(task.step, now);
    }

    fn give_gang(&mut self, name: StepName, workers: &[WorkerName], now: Now) {
        let Some(entry) = self.jobs.get_mut(&name.job) else { return };
        let hosts: Vec<(WorkerName, Arc<str>)> = workers
            .iter()
            .map(|worker| (worker.clone(), data_centre_of(&self.workers, worker)))
            .collect();
        let is_on_trial = entry.job.is_suspected(name.task(0));
        let Some(run) = entry.job.assign_gang(name, &hosts) else { return };
        self.reservations.release(name);
        for (index, worker) in workers.iter().enumerate() {
            let task = name.task(index as u32);
            self.record_start(task, run, worker.clone(), now);
            if is_on_trial {
                self.begin_trial(worker, (task, run));
            }
        }
        self.reindex_step(name, now);
    }

    /// Records a start; its order follows once that is stored.
    fn record_start(&mut self, task: TaskName, run: u32, name: WorkerName, now: Now) {
        let need = self.need_of(task);
        self.reservations.consume(task.step, &name, &need);
        self.waiting.record_start(task.step, now.steady_ms);
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.assign((task, run), need, Phase::Recording);
            self.capacity_index.update(worker);
        }
        log::info!(task:% = task, run, worker:% = name, need:% = need; "task placed");
        self.outbox.pending.states.insert(task.step.job);
        self.outbox.when_stored(OnStored::SendStart { worker: name, task, run });
    }
}

/// Which workers are to be looked at for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    Freed,
    All,
}

fn data_centre_of(workers: &BTreeMap<WorkerName, Worker>, name: &WorkerName) -> Arc<str> {
    Arc::from(workers.get(name).map_or("", |worker| worker.registration.data_centre.as_str()))
}
