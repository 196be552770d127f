//! One running task of a worker: its progress, its lease and when it ends.

use std::time::Duration;

use lilacpass_core::{MonoTime, Resources};
use lilacpass_schema::v1::{self, TaskOutcome};

use crate::payload::{DEFAULT_RUN, Payload};

const HUNDRED_PERCENT: u64 = 100;
/// Speed of a throttled task.
const THROTTLED_PERCENT: u64 = 10;
/// Text before the progress in a checkpoint.
const CHECKPOINT_PREFIX: &str = "done_ms=";

/// What a task is started with.
#[derive(Clone, Debug)]
pub struct TaskStart {
    /// The task.
    pub key: v1::TaskKey,
    /// Epoch under which it is started.
    pub epoch: u64,
    /// What it is given.
    pub given: Resources,
    /// Its input.
    pub payload: String,
    /// Declared run time; zero where unknown.
    pub declared_run: Duration,
    /// How long it runs without a renewal; absent for quick requests.
    pub lease: Option<Duration>,
    /// Time after which it is stopped; absent for tasks under a lease.
    pub stop_after: Option<Duration>,
    /// Runs until it is stopped.
    pub standing: bool,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// How fast the worker is, in per cent.
    pub speed_percent: u64,
    /// Fails at once.
    pub black_hole: bool,
}

/// Why and when a task ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskEnd {
    /// When.
    pub at: MonoTime,
    /// How.
    pub outcome: TaskOutcome,
    /// Result, or the text of the error.
    pub result: String,
    /// Checkpoint, where one was written.
    pub checkpoint: String,
    /// Time that it ran.
    pub ran: Duration,
}

/// A running task.
#[derive(Clone, Debug)]
pub struct Task {
    /// What it was started with.
    pub start: TaskStart,
    /// What its payload says.
    pub payload: Payload,
    /// When it started.
    pub started_at: MonoTime,
    /// Whether it is throttled now.
    pub throttled: bool,
    /// Its run in the worker's history.
    pub run_index: usize,
    /// Work of an attempt or a stretch before `progress_at`.
    progress: Duration,
    progress_at: MonoTime,
    lease_until: Option<MonoTime>,
}

impl Task {
    /// Starts a task.
    pub fn new(start: TaskStart, run_index: usize, now: MonoTime) -> Self {
        let payload = Payload::parse(&start.payload);
        Self {
            throttled: false,
            run_index,
            progress: checkpoint_progress(&start.checkpoint),
            progress_at: now,
            lease_until: start.lease.map(|lease| now + lease),
            started_at: now,
            payload,
            start,
        }
    }

    /// Renews the lease.
    pub fn renew(&mut self, lease: Duration, now: MonoTime) {
        if self.lease_until.is_some() {
            self.lease_until = Some(now + lease);
        }
    }

    /// Changes the speed from now on.
    pub fn throttle(&mut self, throttled: bool, now: MonoTime) {
        self.progress = self.progress_at(now);
        self.progress_at = now;
        self.throttled = throttled;
    }

    /// When the task ends if nothing else happens; absent for standing work without a lease.
    pub fn due(&self) -> Option<MonoTime> {
        self.ends().into_iter().map(|(at, _)| at).min()
    }

    /// The end that has been reached by `now`, where there is one.
    pub fn reached_end(&self, now: MonoTime) -> Option<TaskEnd> {
        let (at, outcome) = self.ends().into_iter().min_by_key(|(at, _)| *at)?;
        at.reached(now).then(|| self.end(outcome, at))
    }

    /// The end of the task with `outcome` at `at`.
    pub fn end(&self, outcome: TaskOutcome, at: MonoTime) -> TaskEnd {
        let ran = at.since(self.started_at);
        let result = match outcome {
            TaskOutcome::Succeeded => self.payload.expected_result(),
            _ => format!("{}|{}", self.payload.id, outcome.as_str_name()),
        };
        let checkpoint = match outcome {
            TaskOutcome::Checkpointed => {
                format!("{CHECKPOINT_PREFIX}{}", self.progress_at(at).as_millis())
            }
            _ => String::new(),
        };
        TaskEnd { at, outcome, result, checkpoint, ran }
    }

    /// Time since the last heartbeat of standing work.
    pub fn heartbeat_age(&self, now: MonoTime) -> Duration {
        let ran = now.since(self.started_at);
        let beating = self.payload.hang_at.map_or(ran, |hang_at| ran.min(hang_at));
        let beat_us = self.payload.beat.as_micros().max(1);
        let since_beat_us = u64::try_from(beating.as_micros() % beat_us).unwrap_or(0);
        ran - beating + Duration::from_micros(since_beat_us)
    }

    /// What the task used `lag` ago: nothing before its start, then what its payload says.
    pub fn used(&self, lag: Duration, now: MonoTime) -> Resources {
        if now.since(self.started_at) < lag {
            return Resources::ZERO;
        }
        let grown = |given: u64| given.saturating_mul(self.payload.grow_percent) / HUNDRED_PERCENT;
        let given = self.start.given;
        let cpu = match self.throttled {
            true => given.cpu.0 * THROTTLED_PERCENT / HUNDRED_PERCENT,
            false => grown(given.cpu.0),
        };
        Resources::new(cpu, grown(given.memory.0), given.accelerators.0, given.slots.0)
    }

    /// All moments at which the task may end, with the outcome of each.
    fn ends(&self) -> Vec<(MonoTime, TaskOutcome)> {
        if self.start.black_hole {
            return vec![(self.started_at, TaskOutcome::Failed)];
        }
        let lapse = self.lease_until.map(|at| (at, TaskOutcome::Lapsed));
        let stop = self.start.stop_after.map(|d| (self.started_at + d, TaskOutcome::Stopped));
        let crash = self.payload.crash_at.map(|d| (self.started_at + d, TaskOutcome::Failed));
        let own_end = (!self.start.standing).then(|| (self.own_end(), self.own_outcome()));
        [lapse, stop, crash, own_end].into_iter().flatten().collect()
    }

    fn own_outcome(&self) -> TaskOutcome {
        match self.payload.fail {
            true => TaskOutcome::Failed,
            false => TaskOutcome::Succeeded,
        }
    }

    fn own_end(&self) -> MonoTime {
        let declared = match self.start.declared_run {
            Duration::ZERO => DEFAULT_RUN,
            run => run,
        };
        let left = self.payload.run.unwrap_or(declared).saturating_sub(self.progress);
        self.progress_at + scale(left, HUNDRED_PERCENT, self.speed_percent())
    }

    fn progress_at(&self, now: MonoTime) -> Duration {
        let ran = now.since(self.progress_at);
        self.progress + scale(ran, self.speed_percent(), HUNDRED_PERCENT)
    }

    fn speed_percent(&self) -> u64 {
        let speed = self.start.speed_percent.max(1);
        match self.throttled {
            true => (speed * THROTTLED_PERCENT / HUNDRED_PERCENT).max(1),
            false => speed,
        }
    }
}

fn scale(duration: Duration, by: u64, over: u64) -> Duration {
    let us = duration.as_micros() * u128::from(by) / u128::from(over.max(1));
    Duration::from_micros(u64::try_from(us).unwrap_or(u64::MAX))
}

fn checkpoint_progress(checkpoint: &str) -> Duration {
    let ms = checkpoint.strip_prefix(CHECKPOINT_PREFIX).and_then(|ms| ms.parse().ok());
    Duration::from_millis(ms.unwrap_or(0))
}
