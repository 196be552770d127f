//! Whether a request is taken into the queue.

use std::{cmp::Reverse, fmt, time::Duration};

use lilacpass_core::{Class, MonoTime, ids::TeamId, size::PerSecond};

use crate::{
    sched::{Decision, QuickTask, Scheduler, Waiting},
    task::TaskMeta,
};

/// Why a request is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// A request with the same id waits or runs here.
    Duplicate,
    /// No worker of the inventory could ever hold it.
    NeverFits,
    /// Too many requests wait.
    QueueFull,
    /// The team sends more than its rate limit.
    RateLimited,
    /// The answer can't be there before the deadline.
    DeadlineTooClose,
    /// It made way for more urgent requests.
    Shed,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::Duplicate,
        Self::NeverFits,
        Self::QueueFull,
        Self::RateLimited,
        Self::DeadlineTooClose,
        Self::Shed,
    ];

    /// The name in messages and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Duplicate => "duplicate",
            Self::NeverFits => "never_fits",
            Self::QueueFull => "queue_full",
            Self::RateLimited => "rate_limited",
            Self::DeadlineTooClose => "deadline_too_close",
            Self::Shed => "shed",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A request that is not taken: it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When it may be worth trying again; `None` where time alone does not help.
    pub retry_after: Option<Duration>,
}

/// Shortest time that a caller is told to stay away.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A token bucket for the requests of one team, worth one second of its rate.
#[derive(Clone, Debug)]
pub(super) struct RateLimit {
    /// The moment up to which the rate is used up.
    used_until: MonoTime,
}

impl RateLimit {
    /// Takes one request, or says after what time one may come.
    fn take(&mut self, rate: PerSecond, now: MonoTime) -> Result<(), Duration> {
        const BURST: Duration = Duration::from_secs(1);
        if rate.0 == 0 {
            return Err(BURST);
        }
        let next = self.used_until.max(now) + BURST / u32::try_from(rate.0).unwrap_or(u32::MAX);
        let over = next.since(now).saturating_sub(BURST);
        if !over.is_zero() {
            return Err(over);
        }
        self.used_until = next;
        Ok(())
    }
}

impl Scheduler {
    /// Takes a request into the queue, or refuses it at once.
    pub fn submit(&mut self, request: QuickTask, now: MonoTime) -> Result<(), Refusal> {
        let expected = self.expected_run(&request.meta, request.run_declared);
        self.check(&request, expected, now)?;
        self.make_space(request.meta.class)?;
        self.enqueue(request, expected, now);
        Ok(())
    }

    /// How long a new request would wait: the work that waits ahead of it, over the tasks that
    /// run side by side; nothing while nothing waits and there is room.
    pub fn estimate_wait(&self, meta: &TaskMeta, _now: MonoTime) -> Duration {
        let classes = 0..=meta.class as usize;
        let ahead: Duration = classes.clone().map(|class| self.work[class]).sum();
        if ahead.is_zero() {
            return Duration::ZERO;
        }
        let side_by_side = self.pool.running(meta.class).max(1);
        ahead / u32::try_from(side_by_side).unwrap_or(u32::MAX)
    }

    fn check(
        &mut self,
        request: &QuickTask,
        expected: Duration,
        now: MonoTime,
    ) -> Result<(), Refusal> {
        let refuse = |reason, retry_after| Err(Refusal { reason, retry_after });
        let known = self.waiting.contains_key(&request.task);
        if known || self.pool.task(&request.task).is_some() {
            return refuse(RefusalReason::Duplicate, None);
        }
        if !self.pool.could_fit(&request.need) {
            return refuse(RefusalReason::NeverFits, None);
        }
        let wait = self.estimate_wait(&request.meta, now);
        let left = request.deadline.since(now);
        if wait + expected > left {
            let late = (wait + expected).saturating_sub(left);
            return refuse(RefusalReason::DeadlineTooClose, Some(late.max(MIN_RETRY_AFTER)));
        }
        let line = &self.lines[request.meta.class as usize];
        if line.live_of(&request.meta.team) >= self.options.max_queued_per_team {
            return refuse(RefusalReason::QueueFull, Some(wait.max(MIN_RETRY_AFTER)));
        }
        match self.take_rate(&request.meta.team, now) {
            Ok(()) => Ok(()),
            Err(after) => refuse(RefusalReason::RateLimited, Some(after.max(MIN_RETRY_AFTER))),
        }
    }

    fn take_rate(&mut self, team: &TeamId, now: MonoTime) -> Result<(), Duration> {
        let Some(rate) = self.shares.team(team).and_then(|share| share.rate_limit) else {
            return Ok(());
        };
        let new = || RateLimit { used_until: now };
        self.rates.entry(team.clone()).or_insert_with(new).take(rate, now)
    }

    /// Makes sure that one more request may wait; the newest of the least urgent class makes way.
    fn make_space(&mut self, class: Class) -> Result<(), Refusal> {
        if self.waiting.len() < self.options.max_queued {
            return Ok(());
        }
        let lower = Class::ALL.into_iter().rev().take_while(|c| *c > class);
        let Some(task) = lower.into_iter().find_map(|c| self.lines[c as usize].newest()) else {
            let retry_after = Some(MIN_RETRY_AFTER);
            return Err(Refusal { reason: RefusalReason::QueueFull, retry_after });
        };
        self.take(&task);
        let retry_after = Some(MIN_RETRY_AFTER);
        self.pending.push(Decision::Refuse { task, reason: RefusalReason::Shed, retry_after });
        Ok(())
    }

    fn enqueue(&mut self, request: QuickTask, expected: Duration, now: MonoTime) {
        let QuickTask { task, need, meta, deadline, .. } = request;
        let number = self.next_number;
        self.next_number += 1;
        let class = meta.class as usize;
        let priority = self.shares.priority(&meta.team, meta.account.as_ref());
        let place = self.lines[class].push(&meta.team, priority, task);
        let learned = self.pool.learned.mean_run_time(&meta.service, &meta.kind);
        let mean_run = learned.unwrap_or(expected);
        self.work[class] += mean_run;
        let latest_start = (deadline - expected).max(now);
        self.by_latest_start.push(Reverse((latest_start, number, task)));
        let waiting = Waiting {
            number,
            place,
            need,
            meta,
            since: now,
            mean_run,
            overtaken: 0,
            has_preempted: false,
        };
        self.waiting.insert(task, waiting);
    }

    /// The run time to expect of a request: learned, else declared, else the default.
    fn expected_run(&self, meta: &TaskMeta, declared: Option<Duration>) -> Duration {
        self.pool
            .learned
            .run_time(&meta.service, &meta.kind, self.options.run_quantile_permille)
            .or(declared)
            .unwrap_or(self.options.default_run)
    }
}
