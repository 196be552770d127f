//! A model of a worker: carries out orders, saves checkpoints and reports runs and their ends.

use std::collections::BTreeMap;

use lilacpass_core::Resources;
use lilacpass_jobs::{EndReason, RunEnd, TaskName, WorkerName};
use lilacpass_lead::event::{
    CallError, PollResponse, Refusal, Registration, ReportedEnd, ReportedRun,
};

/// Time between a stop order and the end of the run.
const STOP_MS: u64 = 100;

/// A run on a model worker.
#[derive(Clone, Debug)]
pub struct ModelRun {
    /// Number of the run.
    pub run: u32,
    /// Resources that the run takes.
    pub need: Resources,
    /// Time at which the run started, in simulated milliseconds.
    pub started_ms: u64,
    /// Time at which the run ends, in simulated milliseconds.
    pub ends_ms: u64,
    /// The reason for which the run ends.
    pub reason: EndReason,
    /// Work that earlier runs had done and saved, in milliseconds.
    pub saved_ms: u64,
    /// Factor by which the run takes longer than on a healthy worker.
    pub slowness: f64,
    /// Whether the run saves checkpoints.
    pub saves_progress: bool,
}

impl ModelRun {
    /// Returns the work that is done at `now_ms`, in milliseconds.
    fn progress_ms(&self, now_ms: u64) -> u64 {
        let ran_ms = now_ms.min(self.ends_ms).saturating_sub(self.started_ms);
        self.saved_ms + (ran_ms as f64 / self.slowness) as u64
    }

    /// Returns the progress as a checkpoint, or an empty text if the run saves none.
    fn checkpoint(&self, now_ms: u64) -> String {
        if self.saves_progress { self.progress_ms(now_ms).to_string() } else { String::new() }
    }

    fn percent(&self, now_ms: u64) -> u32 {
        let total_ms = self.progress_ms(self.ends_ms).max(1);
        (self.progress_ms(now_ms) * 100 / total_ms) as u32
    }
}

/// A poll that waits on the worker for the end of a run.
#[derive(Clone, Debug)]
pub struct WaitingPoll {
    /// The incarnation of the worker that the poll is meant for.
    pub polled: WorkerName,
    /// Time at which the leader sent the poll, in simulated milliseconds.
    pub sent_ms: u64,
    /// Time at which the poll is answered even if no run has ended.
    pub until_ms: u64,
}

/// A worker. Its clock shows the simulated time.
#[derive(Debug)]
pub struct ModelWorker {
    /// The current registration of the worker.
    pub registration: Registration,
    /// Capacity of the worker without faults.
    pub full_capacity: Resources,
    /// Whether the worker has crashed and not restarted yet.
    pub is_down: bool,
    /// Time at which the capacity last changed, in simulated milliseconds.
    pub capacity_changed_ms: u64,
    /// The current runs by task.
    pub runs: BTreeMap<TaskName, ModelRun>,
    /// The poll that waits on the worker, if any.
    pub waiting_poll: Option<WaitingPoll>,
    /// End of the leases of all runs, in simulated milliseconds.
    lease_until_ms: u64,
    /// Ends that the leader has not acknowledged yet.
    ends: Vec<ReportedEnd>,
    /// Number of the next end.
    next_end: u64,
    /// For each task, the number of the last run that has ended or been stopped.
    last_ended_run: BTreeMap<TaskName, u32>,
}

impl ModelWorker {
    /// Creates an idle worker.
    pub fn new(registration: Registration) -> Self {
        Self {
            full_capacity: registration.capacity,
            is_down: false,
            capacity_changed_ms: 0,
            registration,
            runs: BTreeMap::new(),
            waiting_poll: None,
            lease_until_ms: 0,
            ends: Vec::new(),
            next_end: 1,
            last_ended_run: BTreeMap::new(),
        }
    }

    /// Crashes the worker. Returns the poll that waited on it and now gets no response.
    pub fn crash(&mut self) -> Option<WaitingPoll> {
        self.is_down = true;
        self.runs.clear();
        self.ends.clear();
        self.waiting_poll.take()
    }

    /// Starts the worker again under its id, without any runs or ends. `unix_ms` is the current time, in milliseconds
    /// since 1970.
    pub fn restart(&mut self, unix_ms: u64) {
        let name = self.registration.name.with_start(Some(unix_ms));
        let registration = Registration { name, ..self.registration.clone() };
        let (full_capacity, capacity_changed_ms) = (self.full_capacity, self.capacity_changed_ms);
        *self = Self { full_capacity, capacity_changed_ms, ..Self::new(registration) };
    }

    /// Returns the name of the current incarnation.
    pub fn name(&self) -> &WorkerName {
        &self.registration.name
    }

    /// Returns the resources that the current runs take.
    pub fn used(&self) -> Resources {
        self.runs.values().fold(Resources::ZERO, |sum, run| sum.plus(&run.need))
    }

    /// Returns the time at which the first of the current runs ends or the leases expire, or `None` if there are no
    /// runs.
    pub fn next_ms(&self) -> Option<u64> {
        let end_ms = self.runs.values().map(|run| run.ends_ms).min()?;
        Some(end_ms.min(self.lease_until_ms))
    }

    /// Ends the runs that are due at `now_ms`. Returns the new ends.
    pub fn advance(&mut self, now_ms: u64) -> Vec<ReportedEnd> {
        let known_ends = self.ends.len();
        let has_expired = now_ms >= self.lease_until_ms;
        let ended: Vec<(TaskName, EndReason)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| match run.ends_ms <= now_ms {
                true => Some((*task, run.reason)),
                false => has_expired.then_some((*task, EndReason::Expired)),
            })
            .collect();
        for (task, reason) in ended {
            self.end(task, reason, now_ms);
        }
        self.ends[known_ends..].to_vec()
    }

    fn end(&mut self, task: TaskName, reason: EndReason, now_ms: u64) {
        let Some(run) = self.runs.remove(&task) else { return };
        self.last_ended_run.insert(task, run.run);
        let end = RunEnd { run: run.run, reason, checkpoint: run.checkpoint(now_ms) };
        self.ends.push(ReportedEnd { number: self.next_end, task, end });
        self.next_end += 1;
    }

    /// Returns whether there are ends to report.
    pub fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Handles a poll: extends the leases and forgets the ends that the leader has recorded.
    pub fn poll(&mut self, lease_until_ms: Option<u64>, forget_up_to: u64) {
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms.unwrap_or(0));
        self.ends.retain(|ended| ended.number > forget_up_to);
    }

    /// Returns the response to a poll.
    pub fn poll_response(&self, now_ms: u64) -> PollResponse {
        let reported = |(task, run): (&TaskName, &ModelRun)| ReportedRun {
            task: *task,
            run: run.run,
            checkpoint: run.checkpoint(now_ms),
            percent: run.percent(now_ms),
            gauge: 0,
        };
        PollResponse {
            worker_started_ms: self.name().started_ms(),
            clock_ms: now_ms,
            running: self.runs.iter().map(reported).collect(),
            ends: self.ends.clone(),
            remaining_ms: None,
        }
    }

    /// Handles a start order.
    pub fn start(
        &mut self,
        task: TaskName,
        model_run: ModelRun,
        lease_until_ms: u64,
    ) -> Result<(), CallError> {
        if self.last_ended_run.get(&task).is_some_and(|&last_run| model_run.run <= last_run) {
            return Err(CallError::Refused(Refusal::Old));
        }
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms);
        self.runs.entry(task).or_insert(model_run);
        Ok(())
    }

    /// Handles a stop order. Returns the work that is lost, in milliseconds.
    pub fn stop(&mut self, task: TaskName, run: u32, now_ms: u64) -> u64 {
        match self.runs.get_mut(&task) {
            Some(model_run) if model_run.run <= run && model_run.reason != EndReason::Stopped => {
                model_run.ends_ms = model_run.ends_ms.min(now_ms + STOP_MS);
                model_run.reason = EndReason::Stopped;
                if model_run.saves_progress {
                    0
                } else {
                    now_ms.saturating_sub(model_run.started_ms)
                }
            }
            Some(_) => 0,
            None => {
                let last_run = self.last_ended_run.entry(task).or_insert(run);
                *last_run = (*last_run).max(run);
                0
            }
        }
    }
}
