//! A model of a worker: runs what it is told to, lists ends, saves progress.

use std::collections::BTreeMap;

use lilacpass_core::Resources;
use lilacpass_jobs::{EndReason, RunEnd, TaskName, WorkerName};
use lilacpass_lead::event::{
    CallError, PollResponse, Refusal, Registration, ReportedEnd, ReportedRun,
};

/// How long a stop takes.
const STOP_MS: u64 = 100;

/// A run.
#[derive(Clone, Debug)]
pub struct Running {
    /// Its number.
    pub run: u32,
    /// What it takes.
    pub need: Resources,
    /// When it started.
    pub began_ms: u64,
    /// When it ends.
    pub ends_ms: u64,
    /// How it ends.
    pub how: EndReason,
    /// Work that was done before it started, in milliseconds.
    pub saved_ms: u64,
    /// It takes so many times as long as on a sound worker.
    pub slowness: f64,
    /// It saves its progress.
    pub saves: bool,
}

impl Running {
    /// Work that is done by now, in milliseconds.
    fn done_ms(&self, now_ms: u64) -> u64 {
        let ran_ms = now_ms.min(self.ends_ms).saturating_sub(self.began_ms);
        self.saved_ms + (ran_ms as f64 / self.slowness) as u64
    }

    /// The progress as a checkpoint; empty where none is saved.
    fn checkpoint(&self, now_ms: u64) -> String {
        if self.saves { self.done_ms(now_ms).to_string() } else { String::new() }
    }

    fn percent(&self, now_ms: u64) -> u32 {
        let whole_ms = self.done_ms(self.ends_ms).max(1);
        (self.done_ms(now_ms) * 100 / whole_ms) as u32
    }
}

/// A look that waits for an end.
#[derive(Clone, Copy, Debug)]
pub struct WaitingLook {
    /// When it was sent.
    pub sent_ms: u64,
    /// It is answered by then.
    pub until_ms: u64,
}

/// A worker. Time is that of the play; its clock shows the same.
#[derive(Debug)]
pub struct ModelWorker {
    /// What it registers.
    pub entry: Registration,
    /// What it has when nothing shrinks it.
    pub whole: Resources,
    /// It has crashed and is not back.
    pub is_away: bool,
    /// When its room last changed.
    pub resized_ms: u64,
    /// Its name in its first life.
    first_name: String,
    /// What it runs.
    pub runs: BTreeMap<TaskName, Running>,
    /// A look that waits here.
    pub waiting_look: Option<WaitingLook>,
    lease_until_ms: u64,
    ends: Vec<ReportedEnd>,
    next_end: u64,
    over: BTreeMap<TaskName, u32>,
}

impl ModelWorker {
    /// An idle worker.
    pub fn new(entry: Registration) -> Self {
        Self {
            whole: entry.capacity,
            is_away: false,
            resized_ms: 0,
            first_name: entry.name.to_string(),
            entry,
            runs: BTreeMap::new(),
            waiting_look: None,
            lease_until_ms: 0,
            ends: Vec::new(),
            next_end: 1,
            over: BTreeMap::new(),
        }
    }

    /// It crashes. Returns the look that waits there and gets no answer.
    pub fn crash(&mut self) -> Option<WaitingLook> {
        self.is_away = true;
        self.runs.clear();
        self.ends.clear();
        self.waiting_look.take()
    }

    /// It is back, as another: nothing runs there, and it knows of nothing.
    pub fn comes_back(&mut self, life: u64) {
        let name = format!("{}-life-{life}", self.first_name);
        let entry = Registration { name: WorkerName::from(name.as_str()), ..self.entry.clone() };
        let (whole, resized_ms) = (self.whole, self.resized_ms);
        let first_name = self.first_name.clone();
        *self = Self { whole, resized_ms, first_name, ..Self::new(entry) };
    }

    /// Its name.
    pub fn name(&self) -> &WorkerName {
        &self.entry.name
    }

    /// What its runs take.
    pub fn used(&self) -> Resources {
        self.runs.values().fold(Resources::ZERO, |sum, run| sum.plus(&run.need))
    }

    /// When something happens here next without anybody's doing.
    pub fn next_ms(&self) -> Option<u64> {
        let end_ms = self.runs.values().map(|run| run.ends_ms).min()?;
        Some(end_ms.min(self.lease_until_ms))
    }

    /// Lets time pass. Returns the ends that are new.
    pub fn advance(&mut self, now_ms: u64) -> Vec<ReportedEnd> {
        let known = self.ends.len();
        let has_lapsed = now_ms >= self.lease_until_ms;
        let over: Vec<(TaskName, EndReason)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| match run.ends_ms <= now_ms {
                true => Some((*task, run.how)),
                false => has_lapsed.then_some((*task, EndReason::Expired)),
            })
            .collect();
        for (task, how) in over {
            self.end(task, how, now_ms);
        }
        self.ends[known..].to_vec()
    }

    fn end(&mut self, task: TaskName, how: EndReason, now_ms: u64) {
        let Some(run) = self.runs.remove(&task) else { return };
        self.over.insert(task, run.run);
        let end = RunEnd { run: run.run, reason: how, checkpoint: run.checkpoint(now_ms) };
        self.ends.push(ReportedEnd { number: self.next_end, task, end });
        self.next_end += 1;
    }

    /// Whether it lists ends.
    pub fn lists_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// A look arrives: leases are extended, ends forgotten.
    pub fn look(&mut self, lease_until_ms: Option<u64>, forget_up_to: u64) {
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms.unwrap_or(0));
        self.ends.retain(|row| row.number > forget_up_to);
    }

    /// What it answers to a look.
    pub fn look_answer(&self, now_ms: u64) -> PollResponse {
        let row = |(task, run): (&TaskName, &Running)| ReportedRun {
            task: *task,
            run: run.run,
            checkpoint: run.checkpoint(now_ms),
            percent: run.percent(now_ms),
            gauge: 0,
        };
        PollResponse {
            clock_ms: now_ms,
            running: self.runs.iter().map(row).collect(),
            ends: self.ends.clone(),
            remaining_ms: None,
        }
    }

    /// An order to start arrives.
    pub fn start(
        &mut self,
        task: TaskName,
        running: Running,
        lease_until_ms: u64,
    ) -> Result<(), CallError> {
        if self.over.get(&task).is_some_and(|&over| running.run <= over) {
            return Err(CallError::Refused(Refusal::Old));
        }
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms);
        self.runs.entry(task).or_insert(running);
        Ok(())
    }

    /// An order to stop arrives. Returns the work that is lost, in milliseconds.
    pub fn stop(&mut self, task: TaskName, run: u32, now_ms: u64) -> u64 {
        match self.runs.get_mut(&task) {
            Some(running) if running.run <= run && running.how != EndReason::Stopped => {
                running.ends_ms = running.ends_ms.min(now_ms + STOP_MS);
                running.how = EndReason::Stopped;
                if running.saves { 0 } else { now_ms.saturating_sub(running.began_ms) }
            }
            Some(_) => 0,
            None => {
                let over = self.over.entry(task).or_insert(run);
                *over = (*over).max(run);
                0
            }
        }
    }
}
