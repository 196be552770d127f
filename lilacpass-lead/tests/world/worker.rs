//! A worker: keeps the highest epoch, runs what it is told to under a lease, lists ends.

use std::collections::{BTreeMap, BTreeSet};

use lilacpass_core::Resources;
use lilacpass_jobs::{EndReason, RunEnd, TaskName, WorkerName};
use lilacpass_lead::event::{
    CallError, PollResponse, Refusal, Registration, ReportedEnd, ReportedRun,
};

/// How long a stop takes.
const STOP_MS: u64 = 100;
/// A room that has shrunk counts after so long: what all may need to hear of it, and a heartbeat.
const SHRINKS_AFTER_MS: u64 = 4_500;
/// Its clock at the start of the made-up time, so that no test takes one clock for the other.
const CLOCK_AHEAD_MS: u64 = 500_000;

pub struct Running {
    pub run: u32,
    pub need: Resources,
    began_ms: u64,
    ends_ms: u64,
    how: EndReason,
}

impl Running {
    fn percent(&self, now_ms: u64) -> u32 {
        let whole_ms = self.ends_ms.saturating_sub(self.began_ms).max(1);
        (now_ms.saturating_sub(self.began_ms).min(whole_ms) * 100 / whole_ms) as u32
    }
}

pub struct Worker {
    pub number: usize,
    pub name: WorkerName,
    pub address: String,
    /// What it says that it has.
    pub capacity: Resources,
    /// What it had before it shrank, which counts until this time.
    earlier_capacities: Vec<(u64, Resources)>,
    pub alive: bool,
    /// Nobody reaches it, and it runs on.
    pub unreachable: bool,
    pub draining: bool,
    /// All that starts there fails.
    pub fails_all_runs: bool,
    /// It is registered.
    pub registered: bool,
    /// Until when it is registered though it has crashed.
    pub stale_until_ms: u64,
    pub data_centre: &'static str,
    pub runs: BTreeMap<TaskName, Running>,
    /// Tasks that were done here.
    pub done: BTreeSet<TaskName>,
    /// Tasks of which a run failed here, once for each.
    pub failed: Vec<TaskName>,
    /// Those of the done whose end was noted.
    pub recorded_done: BTreeSet<TaskName>,
    epoch: u64,
    lease_until_ms: u64,
    ends: Vec<ReportedEnd>,
    next_end: u64,
    /// Ends up to this number were listed before a lease ran out: they may be noted too late, after
    /// the task was started elsewhere.
    last_end_at_expiry: u64,
    last_ended_run: BTreeMap<TaskName, u32>,
    clock_ms: u64,
    /// Runs whose lease ran out.
    pub expired_run_count: u64,
    /// Runs that were told to stop.
    pub stopped: u64,
}

impl Worker {
    pub fn new(number: usize, capacity: Resources) -> Self {
        Self {
            number,
            name: WorkerName::from(format!("w-{number}").as_str()),
            address: format!("10.0.0.{number}:80"),
            capacity,
            earlier_capacities: Vec::new(),
            alive: true,
            unreachable: false,
            draining: false,
            fails_all_runs: false,
            registered: true,
            stale_until_ms: 0,
            data_centre: "here",
            runs: BTreeMap::new(),
            done: BTreeSet::new(),
            failed: Vec::new(),
            recorded_done: BTreeSet::new(),
            epoch: 0,
            lease_until_ms: 0,
            ends: Vec::new(),
            next_end: 1,
            last_end_at_expiry: 0,
            last_ended_run: BTreeMap::new(),
            clock_ms: CLOCK_AHEAD_MS,
            expired_run_count: 0,
            stopped: 0,
        }
    }

    pub fn registration(&self) -> Registration {
        Registration {
            name: self.name.clone(),
            address: self.address.clone(),
            data_centre: self.data_centre.to_owned(),
            service: "pool".to_owned(),
            capacity: self.capacity,
            labels: vec!["a".to_owned(), "r-1".to_owned()],
            draining: self.draining,
        }
    }

    /// Number of the worker that was first at its address.
    pub fn address_number(&self) -> usize {
        let number = self.address.trim_start_matches("10.0.0.").trim_end_matches(":80");
        number.parse().expect("an address of this cell")
    }

    /// Has another room from now on.
    pub fn set_capacity(&mut self, capacity: Resources, now_ms: u64) {
        self.earlier_capacities.push((now_ms + SHRINKS_AFTER_MS, self.capacity));
        self.capacity = capacity;
    }

    /// What runs there may take: a room that has shrunk counts after a while.
    pub fn limit(&self, now_ms: u64) -> Resources {
        let had = self.earlier_capacities.iter().filter(|(until_ms, _)| now_ms < *until_ms);
        had.fold(self.capacity, |limit, (_, capacity)| limit.max(capacity))
    }

    pub fn used(&self) -> Resources {
        self.runs.values().fold(Resources::ZERO, |sum, run| sum.plus(&run.need))
    }

    /// Lets time pass: runs end, leases run out.
    pub fn advance(&mut self, now_ms: u64) {
        if !self.alive {
            return;
        }
        let over: Vec<TaskName> =
            self.runs.iter().filter(|(_, run)| run.ends_ms <= now_ms).map(|(t, _)| *t).collect();
        for task in over {
            let how = self.runs[&task].how;
            self.end(task, how);
        }
        if now_ms + CLOCK_AHEAD_MS > self.lease_until_ms {
            let lapsed: Vec<TaskName> = self.runs.keys().copied().collect();
            self.expired_run_count += lapsed.len() as u64;
            lapsed.into_iter().for_each(|task| self.end(task, EndReason::Expired));
            self.last_end_at_expiry = self.next_end - 1;
        }
        self.now_ms_is(now_ms);
    }

    fn now_ms_is(&mut self, now_ms: u64) {
        self.clock_ms = now_ms + CLOCK_AHEAD_MS;
    }

    fn end(&mut self, task: TaskName, how: EndReason) {
        let Some(run) = self.runs.remove(&task) else { return };
        if how == EndReason::Done {
            self.done.insert(task);
        }
        if how == EndReason::Failed {
            self.failed.push(task);
        }
        self.last_ended_run.insert(task, run.run);
        let end = RunEnd { run: run.run, reason: how, checkpoint: String::new() };
        self.ends.push(ReportedEnd { number: self.next_end, task, end });
        self.next_end += 1;
    }

    fn fence(&mut self, epoch: u64) -> Result<(), CallError> {
        if epoch < self.epoch {
            return Err(CallError::Refused(Refusal::Fence));
        }
        self.epoch = epoch;
        Ok(())
    }

    pub fn poll(
        &mut self,
        epoch: u64,
        lease_until_ms: Option<u64>,
        forget_up_to: u64,
    ) -> Result<PollResponse, CallError> {
        self.fence(epoch)?;
        if let Some(until_ms) = lease_until_ms {
            self.lease_until_ms = self.lease_until_ms.max(until_ms);
        }
        for row in self.ends.iter().filter(|row| row.number <= forget_up_to) {
            if row.end.reason == EndReason::Done && row.number > self.last_end_at_expiry {
                self.recorded_done.insert(row.task);
            }
        }
        self.ends.retain(|row| row.number > forget_up_to);
        let running = self.runs.iter().map(|(task, run)| ReportedRun {
            task: *task,
            run: run.run,
            checkpoint: String::new(),
            percent: run.percent(self.clock_ms - CLOCK_AHEAD_MS),
            gauge: 0,
        });
        Ok(PollResponse {
            clock_ms: self.clock_ms,
            running: running.collect(),
            ends: self.ends.clone(),
            remaining_ms: None,
        })
    }

    /// How long a look that waits `most_ms` at most waits for an end.
    pub fn next_end_ms(&self, most_ms: u64, now_ms: u64) -> u64 {
        if !self.ends.is_empty() {
            return 0;
        }
        let ends = self.runs.values().map(|run| run.ends_ms.saturating_sub(now_ms));
        ends.min().unwrap_or(most_ms).min(most_ms)
    }

    /// Whether an order to start is carried out.
    pub fn accepts(
        &mut self,
        task: TaskName,
        run: u32,
        epoch: u64,
        lease_until_ms: u64,
    ) -> Result<(), CallError> {
        self.fence(epoch)?;
        if self.last_ended_run.get(&task).is_some_and(|&over| run <= over) {
            return Err(CallError::Refused(Refusal::Old));
        }
        if lease_until_ms <= self.clock_ms {
            return Err(CallError::Refused(Refusal::Late));
        }
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms);
        Ok(())
    }

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
        let how = if fails { EndReason::Failed } else { EndReason::Done };
        let began_ms = self.clock_ms - CLOCK_AHEAD_MS;
        self.runs.insert(task, Running { run, need, began_ms, ends_ms, how });
    }

    pub fn stop(
        &mut self,
        task: TaskName,
        run: u32,
        epoch: u64,
        now_ms: u64,
    ) -> Result<(), CallError> {
        self.fence(epoch)?;
        match self.runs.get_mut(&task) {
            Some(running) if running.run <= run => {
                running.ends_ms = running.ends_ms.min(now_ms + STOP_MS);
                running.how = EndReason::Stopped;
                self.stopped += 1;
            }
            Some(_) => {}
            None => {
                let over = self.last_ended_run.entry(task).or_insert(run);
                *over = (*over).max(run);
            }
        }
        Ok(())
    }
}
