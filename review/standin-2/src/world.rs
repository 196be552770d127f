//! The platform's store, the workers, and the rules that are checked on what the workers see.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{Reply, Request},
    store::Store,
};

const STOP_MS: u64 = 100;
/// Tail of the response times of a task that serves.
const TAIL_MS: u64 = 40;
const GANG_MS: u64 = 3_000;
const MAX_LEASE_MS: u64 = 10_000;
/// Reading of a worker's clock at its start.
const FIRST_CLOCK_MS: u64 = 480_000;

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// A step of a submitted job.
#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub runtime_ms: u64,
    /// The client's estimate of it; `None` if it is right.
    pub estimate_ms: Option<u64>,
    pub after: Vec<usize>,
    pub gang: bool,
    pub lasting: bool,
    pub label: String,
    pub per_worker: u64,
    /// The tail of the response times of a lasting task that serves; 0 for other tasks.
    pub target_ms: u64,
    /// How many tasks of the step may be away by orders of the system.
    pub may_miss: u64,
    /// Whether its tasks fill what others leave unused.
    pub fills: bool,
    /// How many runs of each task fail first.
    pub failures: u64,
}

impl Step {
    fn to_json(&self) -> Value {
        let mut step = json!({
            "count": self.count, "cpu": self.cpu, "memMb": 256, "estRuntimeMs": self.estimate_ms.unwrap_or(self.runtime_ms),
        });
        if !self.after.is_empty() {
            step["after"] = json!(self.after);
        }
        let flags = [("gang", self.gang), ("longRunning", self.lasting), ("fills", self.fills)];
        for (name, is_set) in flags {
            if is_set {
                step[name] = json!(true);
            }
        }
        if !self.label.is_empty() {
            step["requiredLabel"] = json!(self.label);
        }
        if self.target_ms > 0 {
            step["targetMs"] = json!(self.target_ms);
        }
        if self.may_miss > 0 {
            step["mayMiss"] = json!(self.may_miss);
        }
        if self.target_ms > 0 || self.fills {
            step["image"] = json!(if self.fills { "fill" } else { "serve" });
        }
        if self.per_worker > 0 {
            step["antiAffinity"] = json!(self.per_worker);
        }
        step
    }
}

/// A job as a client submits it.
#[derive(Clone, Debug, Default)]
pub struct Job {
    pub spec: String,
    pub steps: Vec<Step>,
    pub repeat: u64,
    pub first_ms: u64,
    pub interval_ms: u64,
}

impl Job {
    pub fn body(&self) -> String {
        let steps: Vec<Value> = self.steps.iter().map(Step::to_json).collect();
        let mut body = json!({ "spec": self.spec, "steps": steps });
        if self.repeat > 0 {
            body["repeatCount"] = json!(self.repeat);
            body["firstRunMs"] = json!(self.first_ms);
            body["intervalMs"] = json!(self.interval_ms);
        }
        body.to_string()
    }
}

/// The name of a task: job, occurrence, step, index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Task(pub String, pub u64, pub usize, pub u64);

impl Task {
    fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = parts.next()?.to_owned();
        let mut number = || parts.next()?.parse::<u64>().ok();
        Some(Self(job, number()?, number()? as usize, number()?))
    }
}

impl std::fmt::Display for Task {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}.{}", self.0, self.1, self.2, self.3)
    }
}

struct Run {
    number: u64,
    /// When it began to work; `None` while a gang is incomplete.
    working_ms: Option<u64>,
    present_ms: u64,
    stop_ms: Option<u64>,
    cpu: u64,
}

/// A life of a worker.
pub struct Worker {
    pub id: String,
    pub address: String,
    pub zone: String,
    pub labels: [String; 2],
    pub service: String,
    pub cpu: u64,
    pub alive: bool,
    /// Cut off: it runs on, and no call reaches it.
    pub cut: bool,
    pub draining: bool,
    born_ms: u64,
    silent_since_ms: u64,
    registered: bool,
    fence: u64,
    deadline_ms: u64,
    lapsed_up_to: u64,
    running: BTreeMap<Task, Run>,
    finished: Vec<(u64, Task, u64, &'static str)>,
    next_end: u64,
    last_ended: HashMap<Task, u64>,
}

#[derive(Default)]
pub struct TaskHistory {
    pub starts: u64,
    pub done: bool,
    acked_done: bool,
    pub failed_ends: u64,
    pub stopped_ends: u64,
    pub last_running_ms: u64,
}

pub struct World {
    start: Instant,
    pub store: Store,
    pub workers: Vec<Worker>,
    pub jobs: HashMap<String, Job>,
    pub tasks: BTreeMap<Task, TaskHistory>,
    pub record: Vec<String>,
    pub broken: Vec<String>,
    pub store_status: u16,
    sequence: u64,
}

impl World {
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            store: Store::default(),
            workers: Vec::new(),
            jobs: HashMap::new(),
            tasks: BTreeMap::new(),
            record: Vec::new(),
            broken: Vec::new(),
            store_status: 200,
            sequence: 0,
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Notes an event for `record.txt`.
    pub fn note(&mut self, text: impl Into<String>) {
        let line = format!("{:>7.3} {}", self.now_ms() as f64 / 1_000.0, text.into());
        self.record.push(line);
    }

    /// Notes that a rule was broken.
    pub fn break_rule(&mut self, text: String) {
        self.note(format!("BROKEN {text}"));
        self.broken.push(text);
    }

    pub fn add_worker(
        &mut self,
        id: String,
        address: String,
        zone: &str,
        labels: [&str; 2],
        cpu: u64,
    ) {
        let now_ms = self.now_ms();
        self.note(format!("worker {id} starts"));
        self.workers.push(Worker {
            id,
            address,
            zone: zone.to_owned(),
            labels: labels.map(str::to_owned),
            service: "pool".to_owned(),
            cpu,
            alive: true,
            cut: false,
            draining: false,
            born_ms: now_ms,
            silent_since_ms: 0,
            registered: false,
            fence: 0,
            deadline_ms: 0,
            lapsed_up_to: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            next_end: 1,
            last_ended: HashMap::new(),
        });
        self.register(self.workers.len() - 1);
    }

    fn register(&mut self, n: usize) {
        self.sequence += 1;
        let worker = &mut self.workers[n];
        worker.registered = true;
        let entry = json!({
            "service": worker.service, "address": worker.address, "zone": worker.zone,
            "version": "v1", "slots": 8, "warmupLeftMs": 0, "seqNum": self.sequence,
            "state": if worker.draining { "draining" } else { "ready" },
            "capacity": { "cpu": worker.cpu, "memMb": 262_144, "gpu": 0 },
            "labels": worker.labels,
        });
        let id = worker.id.clone();
        self.store.put("keyed.servers", &id, &entry.to_string());
    }

    /// Renews the registrations, and removes those of workers that have been silent for `expiry_ms`.
    pub fn renew_registrations(&mut self, expiry_ms: u64) {
        let now_ms = self.now_ms();
        for n in 0..self.workers.len() {
            let worker = &mut self.workers[n];
            if worker.alive && !worker.cut {
                self.register(n);
            } else if worker.registered && now_ms > worker.silent_since_ms + expiry_ms {
                worker.registered = false;
                let id = worker.id.clone();
                self.store.put("keyed.servers", &id, "");
            }
        }
    }

    /// Crashes a worker for good: it runs nothing any more and does not respond.
    pub fn crash(&mut self, n: usize) {
        let now_ms = self.now_ms();
        let id = self.workers[n].id.clone();
        let lost = std::mem::take(&mut self.workers[n].running);
        let names: Vec<String> = lost.keys().map(Task::to_string).collect();
        self.note(format!("worker {id} crashes with {}", names.join(" ")));
        for task in lost.into_keys() {
            self.task(&task).last_running_ms = now_ms;
        }
        let worker = &mut self.workers[n];
        worker.alive = false;
        worker.silent_since_ms = now_ms;
        worker.finished.clear();
    }

    /// Ends the run of a task as failed.
    pub fn fail(&mut self, task: &Task) {
        match self.worker_of(task) {
            Some(n) => self.end(n, task, "failed"),
            None => self.note(format!("{task} does not run, and can't fail")),
        }
    }

    /// The index of the living worker that runs a task.
    pub fn worker_of(&self, task: &Task) -> Option<usize> {
        self.workers.iter().position(|worker| worker.alive && worker.running.contains_key(task))
    }

    fn task(&mut self, task: &Task) -> &mut TaskHistory {
        self.tasks.entry(task.clone()).or_default()
    }

    fn step(&self, task: &Task) -> Option<Step> {
        self.jobs.get(&task.0)?.steps.get(task.2).cloned()
    }

    /// Ends what has ended by now.
    pub fn advance(&mut self) {
        let now_ms = self.now_ms();
        self.begin_gangs(now_ms);
        for n in 0..self.workers.len() {
            if !self.workers[n].alive {
                continue;
            }
            let worker = &self.workers[n];
            let has_lapsed = !worker.running.is_empty()
                && now_ms - worker.born_ms + FIRST_CLOCK_MS > worker.deadline_ms;
            let tasks: Vec<Task> = worker.running.keys().cloned().collect();
            for task in tasks {
                let Some(step) = self.step(&task) else { continue };
                let starts = self.task(&task).failed_ends;
                let Some(run) = self.workers[n].running.get(&task) else { continue };
                let fails = starts < step.failures;
                let runtime_ms = if fails { step.runtime_ms.min(50) } else { step.runtime_ms };
                let is_due = (!step.lasting || fails)
                    && run.working_ms.is_some_and(|began| now_ms >= began + runtime_ms);
                let how = if has_lapsed {
                    "lapsed"
                } else if run.stop_ms.is_some_and(|ms| now_ms >= ms) {
                    "stopped"
                } else if is_due {
                    if fails { "failed" } else { "done" }
                } else if run.working_ms.is_none() && now_ms > run.present_ms + GANG_MS {
                    "alone"
                } else {
                    continue;
                };
                self.end(n, &task, how);
            }
            if has_lapsed {
                let worker = &mut self.workers[n];
                worker.lapsed_up_to = worker.next_end - 1;
            }
        }
    }

    fn begin_gangs(&mut self, now_ms: u64) {
        let mut present: HashMap<(String, u64, usize, u64), u64> = HashMap::new();
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            for (task, run) in &worker.running {
                if run.working_ms.is_none() && run.stop_ms.is_none() {
                    *present.entry((task.0.clone(), task.1, task.2, run.number)).or_default() += 1;
                }
            }
        }
        for ((job, occurrence, step, number), count) in present {
            let wanted = self.jobs.get(&job).map_or(0, |job| job.steps[step].count);
            if count < wanted {
                continue;
            }
            for worker in &mut self.workers {
                for (task, run) in &mut worker.running {
                    if task.0 == job
                        && task.1 == occurrence
                        && task.2 == step
                        && run.number == number
                    {
                        run.working_ms = Some(now_ms);
                    }
                }
            }
        }
    }

    fn end(&mut self, n: usize, task: &Task, how: &'static str) {
        let now_ms = self.now_ms();
        let worker = &mut self.workers[n];
        let Some(run) = worker.running.remove(task) else { return };
        let number = worker.next_end;
        worker.next_end += 1;
        worker.finished.push((number, task.clone(), run.number, how));
        let last = worker.last_ended.entry(task.clone()).or_default();
        *last = (*last).max(run.number);
        let id = worker.id.clone();
        self.note(format!("end {task} run {} on {id}: {how}", run.number));
        let history = self.task(task);
        history.last_running_ms = now_ms;
        history.done |= how == "done";
        history.failed_ends += u64::from(how == "failed");
        history.stopped_ends += u64::from(how == "stopped");
        let is_gang = self.step(task).is_some_and(|step| step.gang);
        if !is_gang {
            return;
        }
        let is_member = |other: &Task| other.0 == task.0 && other.1 == task.1 && other.2 == task.2;
        if how == "done" {
            let step = self.step(task).unwrap_or_default();
            for index in 0..step.count {
                self.task(&Task(task.0.clone(), task.1, task.2, index)).done = true;
            }
        }
        let others: Vec<(usize, Task)> = (0..self.workers.len())
            .flat_map(|n| {
                let running = self.workers[n].running.iter();
                let same = running.filter(|(other, r)| is_member(other) && r.number == run.number);
                same.map(move |(other, _)| (n, other.clone())).collect::<Vec<_>>()
            })
            .collect();
        for (n, other) in others {
            let how = if how == "done" { "done" } else { "broken" };
            if self.workers[n].running.get(&other).is_some_and(|run| run.working_ms.is_some()) {
                self.end(n, &other, how);
            }
        }
    }

    /// Handles a call to the worker with this address.
    pub fn worker_call(&mut self, address: &str, request: &Request) -> Option<Reply> {
        self.advance();
        let n = self.workers.iter().rposition(|worker| worker.address == address)?;
        if !self.workers[n].alive || self.workers[n].cut {
            return None;
        }
        if request.header("X-Target-Instance").is_some_and(|id| id != self.workers[n].id) {
            return Some(Reply::json(421, &json!({})));
        }
        let body = request.json();
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let clock_ms = self.now_ms() - self.workers[n].born_ms + FIRST_CLOCK_MS;
        let refuse = |reason: &str| {
            Some(Reply::json(409, &json!({ "clockMs": clock_ms, "reason": reason })))
        };
        let worker = &mut self.workers[n];
        if number("fence") < worker.fence {
            return refuse("fence");
        }
        worker.fence = number("fence");
        let extend = |worker: &mut Worker, deadline_ms: u64| {
            let deadline_ms = deadline_ms.min(clock_ms + MAX_LEASE_MS);
            worker.deadline_ms = worker.deadline_ms.max(deadline_ms);
        };
        if request.path == "/v1/hold" {
            extend(worker, number("deadlineMs"));
            let upto = number("ackedUpto");
            let lapsed_up_to = worker.lapsed_up_to;
            let acked: Vec<_> = worker.finished.extract_if(.., |end| end.0 <= upto).collect();
            for (number, task, _, how) in acked {
                if how == "done" && number > lapsed_up_to {
                    self.task(&task).acked_done = true;
                }
            }
            return Some(self.hold_reply(n));
        }
        let task = Task::parse(body["task"].as_str()?)?;
        let run = number("run");
        if request.path == "/v1/run-stop" {
            match worker.running.get_mut(&task) {
                Some(running) if running.number <= run => {
                    let stop_ms = clock_ms - FIRST_CLOCK_MS + worker.born_ms + STOP_MS;
                    running.stop_ms.get_or_insert(stop_ms);
                }
                _ => {
                    let last = worker.last_ended.entry(task.clone()).or_default();
                    *last = (*last).max(run);
                }
            }
            self.note(format!("stop {task} run {run}"));
            return Some(Reply::json(200, &json!({ "clockMs": clock_ms })));
        }
        if worker.last_ended.get(&task).is_some_and(|last| run <= *last) {
            extend(worker, number("deadlineMs"));
            return refuse("old");
        }
        if number("deadlineMs") <= clock_ms {
            return refuse("late");
        }
        extend(worker, number("deadlineMs"));
        if worker.running.get(&task).is_none_or(|running| running.number != run) {
            self.check_start(n, &task, run, body["spec"].as_str().unwrap_or_default());
            let now_ms = self.now_ms();
            let step = self.step(&task).unwrap_or_default();
            let working_ms = (!step.gang).then_some(now_ms);
            let cpu = if step.fills { 0 } else { step.cpu };
            let (number, present_ms, stop_ms) = (run, now_ms, None);
            let started = Run { number, working_ms, present_ms, stop_ms, cpu };
            self.workers[n].running.insert(task, started);
        }
        Some(Reply::json(200, &json!({ "clockMs": clock_ms })))
    }

    /// Whether the worker with this address has an end to list, or does not respond.
    pub fn has_end(&mut self, address: &str) -> bool {
        self.advance();
        let worker = self.workers.iter().rfind(|worker| worker.address == address);
        worker.is_none_or(|worker| !worker.alive || worker.cut || !worker.finished.is_empty())
    }

    /// The response to a poll, or `None` if the worker has crashed.
    pub fn hold_again(&mut self, address: &str) -> Option<Reply> {
        let n = self.workers.iter().rposition(|worker| worker.address == address)?;
        (self.workers[n].alive && !self.workers[n].cut).then(|| self.hold_reply(n))
    }

    fn hold_reply(&self, n: usize) -> Reply {
        let worker = &self.workers[n];
        let now_ms = self.now_ms();
        let percent = |task: &Task, run: &Run| {
            let step = self.step(task).unwrap_or_default();
            match run.working_ms {
                None => 0,
                Some(_) if step.lasting => 100,
                Some(began) => ((now_ms - began) * 100 / step.runtime_ms.max(1)).min(99),
            }
        };
        let gauge = |task: &Task, run: &Run| {
            let serves = self.step(task).is_some_and(|step| step.target_ms > 0);
            if serves { TAIL_MS } else { run.cpu }
        };
        let running: Vec<Value> = worker
            .running
            .iter()
            .map(|(task, run)| {
                json!([task.to_string(), run.number, "", percent(task, run), gauge(task, run)])
            })
            .collect();
        let finished: Vec<Value> = worker
            .finished
            .iter()
            .take(500)
            .map(|(number, task, run, how)| json!([number, task.to_string(), run, how, ""]))
            .collect();
        let clock_ms = now_ms - worker.born_ms + FIRST_CLOCK_MS;
        Reply::json(200, &json!({ "clockMs": clock_ms, "running": running, "finished": finished }))
    }

    fn check_start(&mut self, n: usize, task: &Task, run: u64, spec: &str) {
        let id = self.workers[n].id.clone();
        self.note(format!("start {task} run {run} on {id}"));
        let Some(job) = self.jobs.get(&task.0).cloned() else {
            return self.break_rule(format!("UNASKED {task}: no such job"));
        };
        let Some(step) = job.steps.get(task.2).cloned() else {
            return self.break_rule(format!("UNASKED {task}: no such step"));
        };
        let is_beyond = task.3 >= step.count || task.1 >= job.repeat.max(1);
        if spec != job.spec || is_beyond {
            self.break_rule(format!("UNASKED {task}: another spec, or no such task"));
        }
        if let Some(other) = self.worker_of(task) {
            let other = self.workers[other].id.clone();
            self.break_rule(format!("TWICE {task} run {run} on {id}, and still on {other}"));
        }
        if self.task(task).acked_done {
            self.break_rule(format!("TWICE {task} run {run} after it was done"));
        }
        for earlier in &step.after {
            for index in 0..job.steps[*earlier].count {
                let before = Task(task.0.clone(), task.1, *earlier, index);
                if !self.task(&before).done {
                    self.break_rule(format!("ORDER {task} before {before}"));
                }
            }
        }
        if job.repeat > 0 && unix_ms() + 250 < job.first_ms + task.1 * job.interval_ms {
            self.break_rule(format!("ORDER {task} before its time"));
        }
        let worker = &self.workers[n];
        let used: u64 = worker.running.values().map(|run| run.cpu).sum();
        if !step.fills && used + step.cpu > worker.cpu {
            self.break_rule(format!("LIMIT {task} on {id}"));
        }
        let worker = &self.workers[n];
        let lacks_label = !step.label.is_empty() && !worker.labels.contains(&step.label);
        let same =
            worker.running.keys().filter(|t| t.0 == task.0 && t.1 == task.1 && t.2 == task.2);
        if lacks_label || step.per_worker > 0 && same.count() as u64 >= step.per_worker {
            self.break_rule(format!("ROUTE {task} on {id}"));
        }
        let history = self.task(task);
        history.starts += 1;
    }
}
