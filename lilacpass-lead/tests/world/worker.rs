//! A simulated worker. It keeps the highest epoch it has seen, executes runs under a lease, and lists their ends.

use std::collections::{BTreeMap, BTreeSet};

use lilacpass_core::Resources;
use lilacpass_jobs::{EndReason, RunEnd, TaskName, WorkerName};
use lilacpass_lead::event::{
    CallError, PollResponse, Refusal, Registration, ReportedEnd, ReportedRun,
};

use super::START_UNIX_MS;

/// Time that a run takes to stop.
const STOP_MS: u64 = 100;
/// Time for which an earlier capacity still counts after a reduction: the time that all may need to learn of it, and
/// one heartbeat.
const CAPACITY_CHANGE_MS: u64 = 4_500;
/// Reading of the clock of each worker when it starts, so that tests fail if the leader's clock and the worker's are
/// mixed up. Workers that exist from the beginning have run for long.
const FIRST_CLOCK_MS: u64 = 1_000;
const AGE_AT_BEGINNING_MS: u64 = 500_000;
/// A longer lease is shortened to this.
const MAX_LEASE_MS: u64 = 10_000;

/// A run that has not ended.
pub struct ActiveRun {
    pub run: u32,
    pub need: Resources,
    began_ms: u64,
    ends_ms: u64,
    reason: EndReason,
}

impl ActiveRun {
    /// The share of the work that is done, in percent.
    fn percent(&self, now_ms: u64) -> u32 {
        let total_ms = self.ends_ms.saturating_sub(self.began_ms).max(1);
        (now_ms.saturating_sub(self.began_ms).min(total_ms) * 100 / total_ms) as u32
    }
}

/// A simulated worker.
pub struct Worker {
    pub number: usize,
    pub name: WorkerName,
    pub address: String,
    /// The capacity that it registers.
    pub capacity: Resources,
    /// Capacities before changes, each with the time in ms until which it still counts.
    earlier_capacities: Vec<(u64, Resources)>,
    pub alive: bool,
    /// Whether no call reaches it, while its runs go on.
    pub unreachable: bool,
    /// Calls of leaders with this epoch or a higher one don't reach it.
    pub unreachable_from_epoch: u64,
    pub draining: bool,
    /// Whether all its runs fail.
    pub fails_all_runs: bool,
    /// Whether it is registered.
    pub registered: bool,
    /// Until when its registration remains after a crash.
    pub stale_until_ms: u64,
    pub data_centre: &'static str,
    /// Its first label.
    pub kind: &'static str,
    /// Its speed in percent. A run takes its estimate divided by this.
    pub speed_percent: u64,
    pub runs: BTreeMap<TaskName, ActiveRun>,
    /// Tasks that were done here.
    pub done: BTreeSet<TaskName>,
    /// Tasks of which a run failed here, once for each failed run.
    pub failed: Vec<TaskName>,
    /// Tasks that were done here and whose end is known to be stored, because the leader let the worker forget it.
    pub stored_done: BTreeSet<TaskName>,
    epoch: u64,
    lease_until_ms: u64,
    ends: Vec<ReportedEnd>,
    next_end: u64,
    /// Number of the newest end when a lease last expired. Ends up to this one may be stored too late, after the task
    /// was started elsewhere.
    last_end_at_expiry: u64,
    /// Number of the last run of each task that ended or was stopped here.
    last_ended_run: BTreeMap<TaskName, u32>,
    /// The worker's clock minus the simulated time, and the reading of the clock.
    clock_offset_ms: i64,
    clock_ms: u64,
    /// Number of runs that ended because their lease had expired.
    pub expired_run_count: u64,
    /// Number of stop orders for active runs.
    pub stopped: u64,
}

impl Worker {
    pub fn new(number: usize, capacity: Resources) -> Self {
        Self {
            number,
            name: WorkerName::new(
                &format!("w-{number}"),
                Some(START_UNIX_MS - AGE_AT_BEGINNING_MS),
            ),
            address: format!("10.0.0.{number}:80"),
            capacity,
            earlier_capacities: Vec::new(),
            alive: true,
            unreachable: false,
            unreachable_from_epoch: u64::MAX,
            draining: false,
            fails_all_runs: false,
            registered: true,
            stale_until_ms: 0,
            data_centre: "here",
            kind: "a",
            speed_percent: 100,
            runs: BTreeMap::new(),
            done: BTreeSet::new(),
            failed: Vec::new(),
            stored_done: BTreeSet::new(),
            epoch: 0,
            lease_until_ms: 0,
            ends: Vec::new(),
            next_end: 1,
            last_end_at_expiry: 0,
            last_ended_run: BTreeMap::new(),
            clock_offset_ms: AGE_AT_BEGINNING_MS as i64,
            clock_ms: AGE_AT_BEGINNING_MS,
            expired_run_count: 0,
            stopped: 0,
        }
    }

    /// A worker that starts at `now_ms` at the address of another one. Its clock starts anew.
    pub fn start_at_address_of(former: &Self, number: usize, now_ms: u64) -> Self {
        let new = Self::new(number, former.capacity);
        Self {
            name: new.name.with_start(Some(START_UNIX_MS + now_ms)),
            address: former.address.clone(),
            data_centre: former.data_centre,
            kind: former.kind,
            unreachable: former.unreachable,
            speed_percent: former.speed_percent,
            clock_offset_ms: FIRST_CLOCK_MS as i64 - now_ms as i64,
            clock_ms: FIRST_CLOCK_MS,
            ..new
        }
    }

    /// Whether calls of a leader with this epoch reach it.
    pub fn is_reachable_from(&self, epoch: u64) -> bool {
        !self.unreachable && epoch < self.unreachable_from_epoch
    }

    pub fn registration(&self) -> Registration {
        Registration {
            name: self.name.clone(),
            address: self.address.clone(),
            data_centre: self.data_centre.to_owned(),
            service: "pool".to_owned(),
            capacity: self.capacity,
            labels: vec![self.kind.to_owned(), "r-1".to_owned()],
            draining: self.draining,
        }
    }

    /// Number of the worker that first had this address.
    pub fn address_number(&self) -> usize {
        let number = self.address.trim_start_matches("10.0.0.").trim_end_matches(":80");
        number.parse().expect("an address of this cell")
    }

    /// Changes the capacity. A reduction counts after a while.
    pub fn set_capacity(&mut self, capacity: Resources, now_ms: u64) {
        self.earlier_capacities.push((now_ms + CAPACITY_CHANGE_MS, self.capacity));
        self.capacity = capacity;
    }

    /// The capacity that the runs may use now, with earlier capacities that still count.
    pub fn limit(&self, now_ms: u64) -> Resources {
        let still_allowed =
            self.earlier_capacities.iter().filter(|(until_ms, _)| now_ms < *until_ms);
        still_allowed.fold(self.capacity, |limit, (_, capacity)| limit.max(capacity))
    }

    pub fn used(&self) -> Resources {
        self.runs.values().fold(Resources::ZERO, |sum, run| sum.plus(&run.need))
    }

    /// Advances the time: runs end, and leases expire.
    pub fn advance(&mut self, now_ms: u64) {
        if !self.alive {
            return;
        }
        let ended: Vec<TaskName> =
            self.runs.iter().filter(|(_, run)| run.ends_ms <= now_ms).map(|(t, _)| *t).collect();
        for task in ended {
            let reason = self.runs[&task].reason;
            self.end(task, reason);
        }
        self.clock_ms = (now_ms as i64 + self.clock_offset_ms) as u64;
        if self.clock_ms > self.lease_until_ms {
            let expired: Vec<TaskName> = self.runs.keys().copied().collect();
            self.expired_run_count += expired.len() as u64;
            expired.into_iter().for_each(|task| self.end(task, EndReason::Expired));
            self.last_end_at_expiry = self.next_end - 1;
        }
    }

    /// The simulated time at which the clock was last set.
    fn now_ms(&self) -> u64 {
        (self.clock_ms as i64 - self.clock_offset_ms) as u64
    }

    fn extend_lease(&mut self, until_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(self.clock_ms + MAX_LEASE_MS));
    }

    /// Ends a run, and lists its end.
    fn end(&mut self, task: TaskName, reason: EndReason) {
        let Some(run) = self.runs.remove(&task) else { return };
        if reason == EndReason::Done {
            self.done.insert(task);
        }
        if reason == EndReason::Failed {
            self.failed.push(task);
        }
        self.last_ended_run.insert(task, run.run);
        let end = RunEnd { run: run.run, reason, checkpoint: String::new() };
        self.ends.push(ReportedEnd { number: self.next_end, task, end });
        self.next_end += 1;
    }

    /// Refuses an order of a leader whose epoch is lower than one seen before.
    fn check_epoch(&mut self, epoch: u64) -> Result<(), CallError> {
        if epoch < self.epoch {
            return Err(CallError::Refused(Refusal::Fence));
        }
        self.epoch = epoch;
        Ok(())
    }

    /// Answers a poll: extends the lease, forgets ends, and lists runs and ends.
    pub fn poll(
        &mut self,
        epoch: u64,
        lease_until_ms: Option<u64>,
        forget_up_to: u64,
    ) -> Result<PollResponse, CallError> {
        self.check_epoch(epoch)?;
        if let Some(until_ms) = lease_until_ms {
            self.extend_lease(until_ms);
        }
        for reported in self.ends.iter().filter(|reported| reported.number <= forget_up_to) {
            if reported.end.reason == EndReason::Done && reported.number > self.last_end_at_expiry {
                self.stored_done.insert(reported.task);
            }
        }
        self.ends.retain(|reported| reported.number > forget_up_to);
        let running = self.runs.iter().map(|(task, run)| ReportedRun {
            task: *task,
            run: run.run,
            checkpoint: String::new(),
            percent: run.percent(self.now_ms()),
            gauge: 0,
        });
        Ok(PollResponse {
            worker_started_ms: self.name.started_ms(),
            clock_ms: self.clock_ms,
            running: running.collect(),
            ends: self.ends.clone(),
            remaining_ms: None,
        })
    }

    /// How long a poll waits for the end of a run, at most `max_wait_ms`.
    pub fn next_end_ms(&self, max_wait_ms: u64, now_ms: u64) -> u64 {
        if !self.ends.is_empty() {
            return 0;
        }
        let ends = self.runs.values().map(|run| run.ends_ms.saturating_sub(now_ms));
        ends.min().unwrap_or(max_wait_ms).min(max_wait_ms)
    }

    /// Checks whether a start order is accepted, and extends the lease if so.
    pub fn accepts(
        &mut self,
        task: TaskName,
        run: u32,
        epoch: u64,
        lease_until_ms: u64,
    ) -> Result<(), CallError> {
        self.check_epoch(epoch)?;
        if self.last_ended_run.get(&task).is_some_and(|&ended| run <= ended) {
            return Err(CallError::Refused(Refusal::Old));
        }
        if lease_until_ms <= self.clock_ms {
            return Err(CallError::Refused(Refusal::Late));
        }
        self.extend_lease(lease_until_ms);
        Ok(())
    }

    /// Begins a run that ends at `ends_ms`, or never if it is `lasting`.
    pub fn begin(
        &mut self,
        task: TaskName,
        run: u32,
        need: Resources,
        ends_ms: u64,
        fails: bool,
        lasting: bool,
    ) {
        let ends_ms = if lasting { u64::MAX } else { ends_ms };
        let reason = if fails { EndReason::Failed } else { EndReason::Done };
        let began_ms = self.now_ms();
        self.runs.insert(task, ActiveRun { run, need, began_ms, ends_ms, reason });
    }

    /// Stops a run, or prevents it from starting later.
    pub fn stop(
        &mut self,
        task: TaskName,
        run: u32,
        epoch: u64,
        now_ms: u64,
    ) -> Result<(), CallError> {
        self.check_epoch(epoch)?;
        match self.runs.get_mut(&task) {
            Some(running) if running.run <= run => {
                running.ends_ms = running.ends_ms.min(now_ms + STOP_MS);
                running.reason = EndReason::Stopped;
                self.stopped += 1;
            }
            Some(_) => {}
            None => {
                let ended = self.last_ended_run.entry(task).or_insert(run);
                *ended = (*ended).max(run);
            }
        }
        Ok(())
    }
}
