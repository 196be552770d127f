//! The queue of quick requests at a holder: admission, order and start.
//!
//! Each request that is submitted is refused at once, or ends in exactly one of: a start, a
//! refusal, a cancellation.

mod admit;
mod dispatch;
mod queue;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{TaskId, TeamId, WorkerId},
};

pub use crate::sched::admit::{Refusal, RefusalReason};
use crate::{
    map::Map,
    pool::{Pool, PoolOptions, Preempt},
    rules::Policy,
    sched::{
        admit::RateLimit,
        queue::{Lines, Place},
    },
    share::{Shares, TeamUsage},
    task::{Outcome, Released, TaskMeta},
};

/// How a scheduler behaves, beyond the rules of the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchedulerOptions {
    /// Options of the pool.
    pub pool: PoolOptions,
    /// The most requests that wait in all; 20,000 by default.
    pub max_queued: usize,
    /// The most requests of one team that wait in one class; 5,000 by default.
    pub max_queued_per_team: usize,
    /// The run time that is assumed for a kind of which nothing is known or declared; 100 ms by
    /// default.
    pub default_run: Duration,
    /// The quantile of the run time that a start must leave time for, in thousandths; 900 by
    /// default.
    pub run_quantile_permille: u32,
    /// The wait of urgent requests from which on others must make room; 50 ms by default.
    pub preempt_wait: Duration,
    /// How long a request that finds no room waits at least before a worker is kept for it; 1 s
    /// by default.
    pub reserve_after: Duration,
    /// How many requests overtake it at least before a worker is kept for it; 8 by default.
    pub reserve_after_overtaken: u32,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        Self {
            pool: PoolOptions::default(),
            max_queued: 20_000,
            max_queued_per_team: 5_000,
            default_run: Duration::from_millis(100),
            run_quantile_permille: 900,
            preempt_wait: Duration::from_millis(50),
            reserve_after: Duration::from_secs(1),
            reserve_after_overtaken: 8,
        }
    }
}

/// A request for one task that is answered while the caller waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuickTask {
    /// The task.
    pub task: TaskId,
    /// What it needs.
    pub need: Resources,
    /// Whose it is and how it may be treated.
    pub meta: TaskMeta,
    /// When the answer must be there.
    pub deadline: MonoTime,
    /// The run time that the caller declares; often far off, and used only until the kind is known.
    pub run_declared: Option<Duration>,
}

/// What becomes of a request, or of a task in its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The task is given on a worker and must be started there now.
    Start {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// How long it waited.
        waited: Duration,
    },
    /// The request is answered now: it was not run.
    Refuse {
        /// The task.
        task: TaskId,
        /// Why.
        reason: RefusalReason,
        /// When it may be worth trying again.
        retry_after: Option<Duration>,
    },
    /// A task that runs must make room. Report its end by `Scheduler::ended`.
    Preempt(Preempt),
}

/// What a cancellation found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// It waited and is gone: it was not run.
    Queued,
    /// It runs on this worker, and counts as given until its end is reported.
    Running(WorkerId),
    /// It is not here.
    Unknown,
}

/// A request that waits.
#[derive(Clone, Debug)]
struct Waiting {
    number: u64,
    place: Place,
    need: Resources,
    meta: TaskMeta,
    since: MonoTime,
    /// The mean run time of its kind.
    mean_run: Duration,
    /// How many others started in its turn, because they needed less.
    overtaken: u32,
    /// Whether it has asked others to make room.
    has_preempted: bool,
}

/// Quick requests that wait at a holder, and the pool that they start on.
#[derive(Clone, Debug)]
pub struct Scheduler {
    /// The workers, and all that is given on them.
    pub pool: Pool,
    options: SchedulerOptions,
    policy: Policy,
    shares: Shares,
    /// What other holders give to the teams.
    elsewhere: TeamUsage,
    rates: Map<TeamId, RateLimit>,
    waiting: Map<TaskId, Waiting>,
    lines: [Lines; Class::ALL.len()],
    /// Sum of the mean run times that wait, per class.
    work: [Duration; Class::ALL.len()],
    by_latest_start: BinaryHeap<Reverse<(MonoTime, u64, TaskId)>>,
    /// Decisions made outside of a dispatch, for the next one to report.
    pending: Vec<Decision>,
    next_number: u64,
    starts_since_aged: u32,
}

impl Scheduler {
    /// A scheduler without workers and with an empty queue, under the default rules.
    pub fn new(options: SchedulerOptions) -> Self {
        Self {
            pool: Pool::new(options.pool.clone()),
            options,
            policy: Policy::default(),
            shares: Shares::default(),
            elsewhere: TeamUsage::default(),
            rates: Map::default(),
            waiting: Map::default(),
            lines: Default::default(),
            work: Default::default(),
            by_latest_start: BinaryHeap::new(),
            pending: Vec::new(),
            next_number: 0,
            starts_since_aged: 0,
        }
    }

    /// Puts other rules into force. Requests that wait keep the account priority that they had.
    pub fn set_policy(&mut self, policy: Policy) {
        self.shares = Shares::new(&policy);
        let shares = &self.shares;
        self.rates.retain(|team, _| shares.team(team).is_some_and(|t| t.rate_limit.is_some()));
        self.pool.set_policy(policy.clone());
        self.policy = policy;
    }

    /// Sets what other holders give to the teams, as their heartbeats say, with the capacity of
    /// their workers.
    pub fn set_usage_elsewhere(&mut self, usage: TeamUsage) {
        self.elsewhere = usage;
    }

    /// Takes a task off its worker after it ended.
    pub fn ended(
        &mut self,
        task: &TaskId,
        outcome: Outcome,
        ran: Duration,
        now: MonoTime,
    ) -> Option<Released> {
        self.pool.release(task, outcome, ran, now)
    }

    /// Takes a request out of the queue, in constant time.
    pub fn cancel(&mut self, task: &TaskId, _now: MonoTime) -> Cancelled {
        if self.take(task).is_some() {
            return Cancelled::Queued;
        }
        match self.pool.task(task) {
            Some((worker, _)) => Cancelled::Running(worker.clone()),
            None => Cancelled::Unknown,
        }
    }

    /// The requests of a class that wait.
    pub fn queued(&self, class: Class) -> usize {
        self.lines[class as usize].live
    }

    /// How long the oldest request of a class has waited.
    pub fn oldest(&self, class: Class, now: MonoTime) -> Option<Duration> {
        let heads = self.lines[class as usize].heads();
        let since = heads.map(|task| self.waiting[&task].since).min();
        since.map(|since| now.since(since))
    }

    /// When `dispatch` has something to do even if nothing else happens.
    pub fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        let deadline = self.by_latest_start.peek().map(|Reverse((at, ..))| *at);
        let probe = match self.waiting.is_empty() {
            true => None,
            false => self.pool.next_probe().filter(|at| *at > now),
        };
        let pending = (!self.pending.is_empty()).then_some(now);
        [deadline, probe, pending, self.pool.next_expiry()].into_iter().flatten().min()
    }

    fn is_waiting(&self, number: u64, task: &TaskId) -> bool {
        self.waiting.get(task).is_some_and(|w| w.number == number)
    }

    /// Takes a request out of the queue.
    fn take(&mut self, task: &TaskId) -> Option<Waiting> {
        let request = self.waiting.remove(task)?;
        let class = request.meta.class as usize;
        self.work[class] = self.work[class].saturating_sub(request.mean_run);
        self.lines[class].remove(request.place);
        self.pool.unreserve(task);
        self.trim_deadlines();
        Some(request)
    }

    /// Drops stale deadlines once they are most of the heap.
    fn trim_deadlines(&mut self) {
        const MAX_STALE: usize = 256;
        if self.by_latest_start.len() <= 2 * self.waiting.len() + MAX_STALE {
            return;
        }
        let waiting = &self.waiting;
        self.by_latest_start.retain(|Reverse((_, number, task))| {
            waiting.get(task).is_some_and(|w| w.number == *number)
        });
    }
}
