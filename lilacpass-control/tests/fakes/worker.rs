//! A worker in memory that runs tasks under leases and keeps count of what it was given.

use std::{collections::BTreeMap, time::Duration};

use lilacpass_core::{MonoTime, Resources};
use lilacpass_schema::v1;

/// One run of a task, the evidence for what ran where and when.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) payload: String,
    pub(crate) key: v1::TaskKey,
    pub(crate) worker: String,
    pub(crate) from: MonoTime,
    pub(crate) to: Option<MonoTime>,
}

#[derive(Clone, Debug)]
struct Task {
    key: v1::TaskKey,
    given: Resources,
    payload: String,
    started: MonoTime,
    ends: Option<MonoTime>,
    lease_until: Option<MonoTime>,
    lease: Duration,
    quick: bool,
    ended: Option<v1::TaskOutcome>,
}

/// A worker; its tasks run as long as their payload says ("250" is 250 ms, "stays" runs on).
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) name: String,
    pub(crate) capacity: Resources,
    pub(crate) incarnation: u64,
    /// Takes calls and never answers.
    pub(crate) silent: bool,
    /// Is gone: no connection can be made, nothing runs.
    pub(crate) dead: bool,
    /// Starts take effect, and their answers are lost.
    pub(crate) loses_answers: bool,
    /// Does what it is told and answers nothing.
    pub(crate) mute: bool,
    /// Answers with half of each result.
    pub(crate) cuts_results: bool,
    /// A start is under way for so much longer.
    pub(crate) start_delay: Duration,
    /// Fails all that it starts.
    pub(crate) black_hole: bool,
    /// Moments at which more was given than there is.
    pub(crate) over_capacity: u64,
    /// When the latest start came.
    pub(crate) last_start: Option<MonoTime>,
    pub(crate) runs: Vec<Run>,
    pub(crate) version: u64,
    tasks: BTreeMap<(String, u64, u32), Task>,
}

fn id(key: &v1::TaskKey) -> (String, u64, u32) {
    (key.job_id.clone(), key.attempt, key.index)
}

fn resources(amount: Option<&v1::Amount>) -> Resources {
    amount.map_or(Resources::ZERO, |a| {
        Resources::new(a.cpu_milli, a.memory_mib, a.accelerators, a.slots)
    })
}

impl Worker {
    pub(crate) fn new(name: &str, capacity: Resources) -> Self {
        Self {
            name: name.to_owned(),
            capacity,
            incarnation: 1,
            silent: false,
            dead: false,
            loses_answers: false,
            mute: false,
            cuts_results: false,
            start_delay: Duration::ZERO,
            black_hole: false,
            over_capacity: 0,
            last_start: None,
            runs: Vec::new(),
            version: 1,
            tasks: BTreeMap::new(),
        }
    }

    /// Ends tasks whose time or lease is over.
    pub(crate) fn advance(&mut self, now: MonoTime) {
        for task in self.tasks.values_mut().filter(|task| task.ended.is_none()) {
            let lapsed = task.lease_until.filter(|at| at.reached(now));
            let done = task.ends.filter(|at| at.reached(now));
            let (at, outcome) = match (lapsed, done) {
                (Some(lapsed), Some(done)) if done <= lapsed => (done, v1::TaskOutcome::Succeeded),
                (Some(lapsed), _) => (lapsed, v1::TaskOutcome::Lapsed),
                (None, Some(done)) => (done, v1::TaskOutcome::Succeeded),
                (None, None) => continue,
            };
            task.ended = Some(outcome);
            self.version += 1;
            end_run(&mut self.runs, &task.key, at);
        }
        self.tasks.retain(|_, task| !(task.quick && task.ended.is_some()));
    }

    /// The process goes away with all that runs.
    pub(crate) fn die(&mut self, now: MonoTime) {
        self.advance(now);
        self.dead = true;
        for task in self.tasks.values().filter(|task| task.ended.is_none()) {
            end_run(&mut self.runs, &task.key, now);
        }
        self.tasks.clear();
    }

    /// A new process in the place of the one that went away.
    pub(crate) fn restart(&mut self) {
        self.dead = false;
        self.incarnation += 1;
    }

    fn put(
        &mut self,
        key: &v1::TaskKey,
        given: Resources,
        payload: &str,
        lease: Option<Duration>,
        now: MonoTime,
    ) {
        let run =
            payload.split(' ').next().and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        let task = Task {
            key: key.clone(),
            given,
            payload: payload.to_owned(),
            started: now,
            ends: run.map(|run| now + run),
            lease_until: lease.map(|lease| now + lease),
            lease: lease.unwrap_or_default(),
            quick: lease.is_none(),
            ended: None,
        };
        self.runs.push(Run {
            payload: payload.to_owned(),
            key: key.clone(),
            worker: self.name.clone(),
            from: now,
            to: None,
        });
        self.tasks.insert(id(key), task);
        self.version += 1;
        self.last_start = Some(now);
        let sum = self.running().fold(Resources::ZERO, |sum, task| sum.plus(&task.given));
        self.over_capacity += u64::from(!sum.fits(&self.capacity));
    }

    fn running(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values().filter(|task| task.ended.is_none())
    }

    /// Begins a quick request and says how long it runs.
    pub(crate) fn run(&mut self, request: &v1::RunRequest, now: MonoTime) -> Duration {
        self.advance(now);
        let key = request.task.clone().unwrap_or_default();
        self.put(&key, resources(request.given.as_ref()), &request.payload, None, now);
        let ends = self.tasks.get(&id(&key)).and_then(|task| task.ends);
        ends.map_or(Duration::ZERO, |at| at.since(now))
    }

    /// The answer to a quick request that has run to its end.
    pub(crate) fn run_answer(&mut self, request: &v1::RunRequest, now: MonoTime) -> v1::RunAnswer {
        self.advance(now);
        let whole = format!("answer to {}", request.payload);
        let result = self.cut(&whole);
        let outcome =
            if self.black_hole { v1::TaskOutcome::Failed } else { v1::TaskOutcome::Succeeded };
        v1::RunAnswer {
            task: request.task.clone(),
            verdict: v1::Verdict::Ran.into(),
            outcome: outcome.into(),
            result_bytes: whole.len() as u64,
            result,
            run_ms: 1,
        }
    }

    fn cut(&self, result: &str) -> String {
        let len = if self.cuts_results { result.len() / 2 } else { result.len() };
        result[..len].to_owned()
    }

    pub(crate) fn start(
        &mut self,
        request: &v1::StartTaskRequest,
        now: MonoTime,
    ) -> v1::StartTaskAnswer {
        self.advance(now);
        let key = request.task.clone().unwrap_or_default();
        if !self.tasks.contains_key(&id(&key)) {
            let lease = Duration::from_millis(request.lease_ms);
            let given = resources(request.given.as_ref());
            self.put(&key, given, &request.payload, Some(lease), now);
        }
        v1::StartTaskAnswer {
            started: true,
            worker_incarnation: self.incarnation,
            ..Default::default()
        }
    }

    pub(crate) fn renew(
        &mut self,
        request: &v1::RenewTasksRequest,
        now: MonoTime,
    ) -> v1::RenewTasksAnswer {
        self.advance(now);
        let mut unknown = Vec::new();
        for key in &request.tasks {
            match self.tasks.get_mut(&id(key)).filter(|task| task.ended.is_none()) {
                Some(task) => task.lease_until = Some(now + task.lease),
                None => unknown.push(key.clone()),
            }
        }
        v1::RenewTasksAnswer { unknown, worker_incarnation: self.incarnation }
    }

    pub(crate) fn control(
        &mut self,
        request: &v1::ControlTaskRequest,
        now: MonoTime,
    ) -> v1::ControlTaskAnswer {
        self.advance(now);
        let key = request.task.clone().unwrap_or_default();
        let task = self.tasks.get_mut(&id(&key)).filter(|task| task.ended.is_none());
        let known = task.is_some();
        if let Some(task) = task {
            let outcome = match request.control() {
                v1::TaskControl::Checkpoint => v1::TaskOutcome::Checkpointed,
                _ => v1::TaskOutcome::Stopped,
            };
            task.ended = Some(outcome);
            self.version += 1;
            end_run(&mut self.runs, &key, now);
        }
        v1::ControlTaskAnswer { known }
    }

    pub(crate) fn report(
        &mut self,
        request: &v1::ReportRequest,
        now: MonoTime,
    ) -> v1::ReportAnswer {
        self.advance(now);
        for key in &request.forget {
            self.tasks.remove(&id(key));
        }
        let mut tasks: Vec<v1::ReportedTask> =
            self.tasks.values().map(|task| reported(task, now)).collect();
        for task in &mut tasks {
            task.result = self.cut(&task.result);
        }
        v1::ReportAnswer {
            version: self.version,
            worker_incarnation: self.incarnation,
            age_ms: 0,
            tasks,
            leaving: false,
        }
    }
}

fn reported(task: &Task, now: MonoTime) -> v1::ReportedTask {
    let result =
        if task.ended.is_some() { format!("answer to {}", task.payload) } else { String::new() };
    let given = task.given;
    v1::ReportedTask {
        task: Some(task.key.clone()),
        running: task.ended.is_none(),
        quick: task.quick,
        outcome: task.ended.unwrap_or_default().into(),
        result_bytes: result.len() as u64,
        result,
        given: Some(v1::Amount {
            cpu_milli: given.cpu.0,
            memory_mib: given.memory.0,
            accelerators: given.accelerators.0,
            slots: given.slots.0,
        }),
        run_ms: now.since(task.started).as_millis() as u64,
        ..Default::default()
    }
}

fn end_run(runs: &mut [Run], key: &v1::TaskKey, at: MonoTime) {
    if let Some(run) = runs.iter_mut().rev().find(|run| run.key == *key && run.to.is_none()) {
        run.to = Some(at);
    }
}
