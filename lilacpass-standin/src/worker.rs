//! The state of one worker: what runs, what ended, and the history that judges read.
//!
//! Time is an argument everywhere. [`Worker::advance`] comes first in each call, so that after a
//! pause of the process lapsed leases are seen before anything else happens.

use std::{collections::HashMap, time::Duration};

use lilacpass_core::{MonoTime, Resources};
use lilacpass_schema::v1::{self, TaskOutcome};

use crate::{
    clock,
    task::{Task, TaskEnd, TaskStart},
};

/// How long an ended task is remembered when nobody says that it can be forgotten.
pub const REMEMBER: Duration = Duration::from_secs(600);
/// Lag of the reported usage.
pub const USAGE_LAG: Duration = Duration::from_secs(1);

/// One worker.
#[derive(Debug)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// What it has.
    pub capacity: Resources,
    /// Start number: milliseconds since 1970.
    pub incarnation: u64,
    /// Whether it tells holders that it is about to leave.
    pub leaving: bool,
    /// Grows with each change of the task list.
    pub version: u64,
    /// What it counted.
    pub counts: v1::WorkerCount,
    /// All runs, in the order of their starts.
    pub history: Vec<Run>,
    running: HashMap<v1::TaskKey, Task>,
    ended: HashMap<v1::TaskKey, EndedTask>,
}

/// A run in the history.
#[derive(Clone, Debug)]
pub struct Run {
    /// The task.
    pub key: v1::TaskKey,
    /// Its input.
    pub payload: String,
    /// When it started.
    pub started_at: MonoTime,
    /// When and how it ended; absent while it runs.
    pub ended: Option<(MonoTime, TaskOutcome)>,
    /// A quick request.
    pub quick: bool,
    /// Standing work.
    pub standing: bool,
}

#[derive(Debug)]
struct EndedTask {
    task: Task,
    end: TaskEnd,
}

impl Worker {
    /// A worker that runs nothing.
    pub fn new(name: &str, capacity: Resources, incarnation: u64) -> Self {
        Self {
            name: name.to_owned(),
            capacity,
            incarnation,
            leaving: false,
            // Versions of two lives of a worker must not be mistaken for each other.
            version: incarnation,
            counts: v1::WorkerCount { worker: name.to_owned(), ..Default::default() },
            history: Vec::new(),
            running: HashMap::new(),
            ended: HashMap::new(),
        }
    }

    /// Ends all tasks whose end or lapse has been reached.
    pub fn advance(&mut self, now: MonoTime) {
        let ends: Vec<(v1::TaskKey, TaskEnd)> = self
            .running
            .iter()
            .filter_map(|(key, task)| task.reached_end(now).map(|end| (key.clone(), end)))
            .collect();
        for (key, end) in ends {
            self.end_task(&key, end);
        }
        self.ended.retain(|_, ended| now.since(ended.end.at) < REMEMBER);
    }

    /// When [`Worker::advance`] is due next.
    pub fn next_wake(&self) -> Option<MonoTime> {
        self.running.values().filter_map(Task::due).min()
    }

    /// Starts a task. A task that is known already is left as it is; false then.
    pub fn start(&mut self, start: TaskStart, now: MonoTime) -> bool {
        self.advance(now);
        if self.is_known(&start.key) {
            return false;
        }
        let quick = start.lease.is_none();
        match quick {
            true => self.counts.runs += 1,
            false => {
                self.counts.starts += 1;
                self.version += 1;
            }
        }
        if self.leaving {
            self.counts.after_leaving += 1;
        }
        self.history.push(Run {
            key: start.key.clone(),
            payload: start.payload.clone(),
            started_at: now,
            ended: None,
            quick,
            standing: start.standing,
        });
        let key = start.key.clone();
        self.running.insert(key, Task::new(start, self.history.len() - 1, now));
        self.count_given();
        self.advance(now);
        true
    }

    /// Whether a task runs, or ended and is not forgotten.
    pub fn is_known(&self, key: &v1::TaskKey) -> bool {
        self.running.contains_key(key) || self.ended.contains_key(key)
    }

    /// Takes the end of a quick request out, once it has ended.
    pub fn take_end(&mut self, key: &v1::TaskKey, now: MonoTime) -> Option<TaskEnd> {
        self.advance(now);
        self.ended.remove(key).map(|ended| ended.end)
    }

    /// Renews leases; returns the tasks that don't run here.
    pub fn renew(
        &mut self,
        keys: Vec<v1::TaskKey>,
        lease: Duration,
        now: MonoTime,
    ) -> Vec<v1::TaskKey> {
        self.advance(now);
        let unknown = |key: &v1::TaskKey| match self.running.get_mut(key) {
            Some(task) => {
                task.renew(lease, now);
                false
            }
            None => true,
        };
        keys.into_iter().filter(unknown).collect()
    }

    /// Stops, checkpoints or throttles a task; returns whether it is known.
    pub fn control(&mut self, key: &v1::TaskKey, control: v1::TaskControl, now: MonoTime) -> bool {
        self.advance(now);
        let Some(task) = self.running.get_mut(key) else {
            return self.ended.contains_key(key);
        };
        let outcome = match control {
            v1::TaskControl::Stop => TaskOutcome::Stopped,
            v1::TaskControl::Checkpoint if task.payload.checkpoint => TaskOutcome::Checkpointed,
            // Ending it without a checkpoint would lose what was asked to be kept.
            v1::TaskControl::Checkpoint | v1::TaskControl::Unspecified => return true,
            v1::TaskControl::Throttle | v1::TaskControl::Unthrottle => {
                task.throttle(control == v1::TaskControl::Throttle, now);
                self.version += 1;
                return true;
            }
        };
        let end = task.end(outcome, now);
        self.end_task(key, end);
        true
    }

    /// Drops ended tasks that the caller has recorded.
    pub fn forget(&mut self, keys: &[v1::TaskKey]) {
        for key in keys {
            self.ended.remove(key);
        }
    }

    /// Ends everything without a trace but in the history: the worker is dead.
    pub fn die(&mut self, now: MonoTime) {
        self.advance(now);
        for (_, task) in self.running.drain() {
            self.history[task.run_index].ended = Some((now, TaskOutcome::Unknown));
        }
        self.ended.clear();
    }

    /// Comes back after its death, without memory of its former life.
    pub fn revive(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.version = self.version.max(incarnation) + 1;
    }

    /// The report that holders read.
    pub fn report(&mut self, now: MonoTime) -> v1::ReportAnswer {
        self.advance(now);
        let running = self.running.values().map(|task| report_running(task, now));
        let ended = self.ended.values().map(report_ended);
        v1::ReportAnswer {
            version: self.version,
            worker_incarnation: self.incarnation,
            age_ms: 0,
            tasks: running.chain(ended).collect(),
            leaving: self.leaving,
        }
    }

    /// Number of running tasks.
    pub fn running_now(&self) -> u64 {
        self.running.len() as u64
    }

    fn end_task(&mut self, key: &v1::TaskKey, end: TaskEnd) {
        let Some(task) = self.running.remove(key) else {
            return;
        };
        self.history[task.run_index].ended = Some((end.at, end.outcome));
        // The end of a quick request goes to its own caller and wakes nobody who waits for a report.
        if task.start.lease.is_some() {
            self.version += 1;
        }
        self.ended.insert(key.clone(), EndedTask { task, end });
    }

    /// Judges what is given now against what the worker has.
    fn count_given(&mut self) {
        let given = self
            .running
            .values()
            .map(|task| with_slot(task.start.given))
            .fold(Resources::ZERO, |sum, given| sum.plus(&given));
        if !given.fits(&self.capacity) {
            self.counts.over_capacity += 1;
        }
        let most = self.counts.most_given.unwrap_or_default();
        self.counts.most_given = Some(to_amount(from_amount(most).max(&given)));
    }
}

/// Reads an amount of the schema; an absent one is nothing.
pub fn from_amount(amount: v1::Amount) -> Resources {
    Resources::new(amount.cpu_milli, amount.memory_mib, amount.accelerators, amount.slots)
}

/// Writes an amount of the schema.
pub fn to_amount(resources: Resources) -> v1::Amount {
    v1::Amount {
        cpu_milli: resources.cpu.0,
        memory_mib: resources.memory.0,
        accelerators: resources.accelerators.0,
        slots: resources.slots.0,
    }
}

/// Each task takes at least one slot, also where it is given none.
fn with_slot(given: Resources) -> Resources {
    given.max(&Resources::new(0, 0, 0, 1))
}

fn report_running(task: &Task, now: MonoTime) -> v1::ReportedTask {
    v1::ReportedTask {
        task: Some(task.start.key.clone()),
        running: true,
        quick: task.start.lease.is_none(),
        given: Some(to_amount(task.start.given)),
        used: Some(to_amount(task.used(USAGE_LAG, now))),
        run_ms: clock::as_ms(now.since(task.started_at)),
        heartbeat_age_ms: clock::as_ms(task.heartbeat_age(now)),
        epoch: task.start.epoch,
        throttled: task.throttled,
        ..Default::default()
    }
}

fn report_ended(ended: &EndedTask) -> v1::ReportedTask {
    v1::ReportedTask {
        task: Some(ended.task.start.key.clone()),
        running: false,
        quick: ended.task.start.lease.is_none(),
        outcome: ended.end.outcome.into(),
        result: ended.end.result.clone(),
        result_bytes: ended.end.result.len() as u64,
        given: Some(to_amount(ended.task.start.given)),
        run_ms: clock::as_ms(ended.end.ran),
        epoch: ended.task.start.epoch,
        checkpoint: ended.end.checkpoint.clone(),
        ..Default::default()
    }
}
