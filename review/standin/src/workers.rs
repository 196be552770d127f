//! The workers: they run tasks under leases, list what runs and what has ended, and crash when they are told to.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{self, Request, Response, Server},
    record::Record,
    store::Store,
};

/// Interval of a worker's entries in the store, and how long an entry outlives the last one.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const ENTRY_LIFE: Duration = Duration::from_millis(4_500);
/// Longest lease (`holdMaxMs`).
const MAX_LEASE_MS: u64 = 10_000;
/// Time from a stop to its end; at most `stopMs`.
const STOP_MS: u64 = 60;
/// Time until a task that lasts is at work.
const STARTUP_MS: u64 = 200;
/// Capacity of a worker: thousandths of a core, and MB.
const CPU: u64 = 64_000;
const MEMORY_MB: u64 = 262_144;

/// What a client has handed in about the tasks of a step.
#[derive(Clone, Copy)]
pub struct Plan {
    pub is_lasting: bool,
    pub work_ms: u64,
}

struct Run {
    started_ms: u64,
    ends_ms: Option<u64>,
    how: &'static str,
    plan: Plan,
}

/// What is known of a worker's entry in the store.
#[derive(Default)]
struct Entry {
    /// When the worker last wrote it, and under which id; `None` before the first time and after its removal.
    written: Option<(Instant, String)>,
    /// Whether the worker is cut off from the store.
    is_cut: bool,
}

struct Life {
    id: String,
    is_up: bool,
    began: Instant,
    fence: u64,
    lease_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    last_ended: HashMap<String, u64>,
}

impl Life {
    fn new(id: String) -> Self {
        Self {
            id,
            is_up: true,
            began: Instant::now(),
            fence: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            last_ended: HashMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        100_000 + self.began.elapsed().as_millis() as u64
    }

    /// Takes note of the fence of an order. Returns whether the order may be carried out.
    fn accepts(&mut self, fence: u64) -> bool {
        let is_accepted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_accepted
    }

    fn extend(&mut self, until_ms: u64) {
        self.lease_ms = self.lease_ms.max(until_ms.min(self.clock_ms() + MAX_LEASE_MS));
    }
}

/// One worker. Its address and place stay the same over its lives.
pub struct Worker {
    pub address: SocketAddr,
    pub zone: String,
    pub rack: String,
    life: Mutex<Life>,
    entry: Mutex<Entry>,
    changed: Condvar,
    server: Mutex<Option<Arc<Server>>>,
}

/// All workers, and what they need to know.
pub struct Pool {
    pub workers: Vec<Arc<Worker>>,
    pub plans: Arc<Mutex<HashMap<String, Plan>>>,
    /// The tasks of which a run has ended as done.
    done: Arc<Mutex<HashSet<String>>>,
    record: Record,
    next_id: Mutex<u64>,
}

impl Pool {
    /// Starts the workers at `places`: address, zone and rack of each.
    pub fn start(
        places: Vec<(SocketAddr, String, String)>,
        store: Arc<Store>,
        record: Record,
    ) -> std::io::Result<Arc<Self>> {
        let plans: Arc<Mutex<HashMap<String, Plan>>> = Arc::default();
        let done: Arc<Mutex<HashSet<String>>> = Arc::default();
        let mut workers = Vec::new();
        for (number, (address, zone, rack)) in places.into_iter().enumerate() {
            let worker = Arc::new(Worker {
                address,
                zone,
                rack,
                life: Mutex::new(Life::new(format!("w-{number:04x}"))),
                entry: Mutex::default(),
                changed: Condvar::new(),
                server: Mutex::new(None),
            });
            let (copy, known, notes) = (worker.clone(), plans.clone(), record.clone());
            let server = Server::start(address, http::CHANNELS, move |request| {
                copy.answer(&request, &known, &notes)
            })?;
            *worker.server.lock().unwrap() = Some(server);
            let (copy, ended, notes) = (worker.clone(), done.clone(), record.clone());
            thread::spawn(move || copy.keep_time(&ended, &notes));
            let (copy, store, notes) = (worker.clone(), store.clone(), record.clone());
            thread::spawn(move || copy.register(&store, &notes));
            workers.push(worker);
        }
        let next_id = Mutex::new(0x100);
        Ok(Arc::new(Self { workers, plans, done, record, next_id }))
    }

    /// Crashes a worker, and starts it again under a new id after `down`.
    pub fn crash(self: &Arc<Self>, number: usize, down: Duration) {
        let worker = self.workers[number].clone();
        let server = worker.server.lock().unwrap().clone();
        let former = {
            let mut life = worker.life.lock().unwrap();
            life.is_up = false;
            for ((task, run), _) in std::mem::take(&mut life.running) {
                self.record
                    .line(&format!("run lost by the crash: {task} run {run} on {}", life.id));
            }
            life.id.clone()
        };
        worker.changed.notify_all();
        self.record.line(&format!(
            "disruption: worker {former} crashes, down for {} ms",
            down.as_millis()
        ));
        if let Some(server) = &server {
            server.down();
        }
        let pool = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            let id = {
                let mut next = pool.next_id.lock().unwrap();
                *next += 1;
                format!("w-{:04x}", *next)
            };
            *worker.life.lock().unwrap() = Life::new(id.clone());
            if let Some(server) = server {
                while server.up().is_err() {
                    thread::sleep(Duration::from_millis(50));
                }
            }
            pool.record.line(&format!("worker {former} is back as {id}"));
        });
    }

    /// Cuts a worker off from the store, or heals the cut. The instances still reach the worker.
    pub fn cut_from_store(&self, number: usize, is_cut: bool) {
        let worker = &self.workers[number];
        worker.entry.lock().unwrap().is_cut = is_cut;
        let id = worker.life.lock().unwrap().id.clone();
        let what =
            if is_cut { "disruption: worker is cut off from the store" } else { "the cut heals" };
        self.record.line(&format!("{what}: {id}"));
    }

    /// Whether a task of a job of `tasks` tasks is neither done nor running, and nothing of the job runs.
    pub fn stands_still(&self, job: &str, tasks: u32) -> bool {
        let done = self.done.lock().unwrap().iter().filter(|task| task.starts_with(job)).count();
        let runs = |worker: &Arc<Worker>| {
            let life = worker.life.lock().unwrap();
            life.is_up && life.running.keys().any(|(task, _)| task.starts_with(job))
        };
        done < tasks as usize && !self.workers.iter().any(runs)
    }

    /// Number of channels that the workers have reset because they had too many.
    pub fn reset_channels(&self) -> usize {
        let servers =
            self.workers.iter().filter_map(|worker| worker.server.lock().unwrap().clone());
        servers.map(|server| server.reset()).sum()
    }

    /// When a worker last wrote its entry.
    pub fn last_entry(&self, number: usize) -> Option<Instant> {
        self.workers[number].entry.lock().unwrap().written.as_ref().map(|(time, _)| *time)
    }

    /// The workers on which a task runs now.
    pub fn running_on(&self, task: &str) -> Vec<String> {
        let lives = self.workers.iter().map(|worker| worker.life.lock().unwrap());
        let runs =
            lives.filter(|life| life.is_up && life.running.keys().any(|(name, _)| name == task));
        runs.map(|life| life.id.clone()).collect()
    }

    /// The worker on which a task is at work.
    pub fn at_work_on(&self, task: &str) -> Option<usize> {
        self.workers.iter().position(|worker| {
            let life = worker.life.lock().unwrap();
            let clock_ms = life.clock_ms();
            let is_it = |((name, _), run): (&(String, u64), &Run)| {
                name == task && clock_ms >= run.started_ms + STARTUP_MS
            };
            life.is_up && life.running.iter().any(is_it)
        })
    }
}

impl Worker {
    /// Whether the worker is up.
    pub fn is_up(&self) -> bool {
        self.life.lock().unwrap().is_up
    }

    fn write_entry(&self, store: &Store, number: u64) {
        let id = {
            let life = self.life.lock().unwrap();
            if !life.is_up {
                return;
            }
            life.id.clone()
        };
        let content = json!({
            "service": "pool",
            "address": self.address.to_string(),
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "warmupLeftMs": 0,
            "seqNum": number,
            "capacity": { "cpu": CPU, "memMb": MEMORY_MB, "gpu": 0 },
            "labels": ["a", self.rack],
        });
        let mut entry = self.entry.lock().unwrap();
        if entry.is_cut {
            return;
        }
        if let Some((_, former)) = entry.written.take().filter(|(_, former)| *former != id) {
            store.write("keyed.servers", &former, &[]);
        }
        store.write("keyed.servers", &id, content.to_string().as_bytes());
        entry.written = Some((Instant::now(), id));
    }

    /// Writes the worker's entry again and again. The store removes an entry after three intervals of silence, and
    /// that of a worker that has come back under another id.
    fn register(&self, store: &Store, record: &Record) {
        let mut next = Instant::now();
        for number in 1.. {
            self.write_entry(store, number);
            next += HEARTBEAT;
            while Instant::now() < next {
                thread::sleep(Duration::from_millis(5));
                let mut entry = self.entry.lock().unwrap();
                if entry.written.as_ref().is_some_and(|(time, _)| time.elapsed() > ENTRY_LIFE)
                    && let Some((_, id)) = entry.written.take()
                {
                    record.line(&format!(
                        "the store removes the entry of {id}, which has been silent"
                    ));
                    store.write("keyed.servers", &id, &[]);
                }
            }
        }
    }

    /// Ends runs whose time has come.
    fn keep_time(&self, done: &Mutex<HashSet<String>>, record: &Record) {
        loop {
            thread::sleep(Duration::from_millis(5));
            let mut life = self.life.lock().unwrap();
            let clock_ms = life.clock_ms();
            let has_lapsed = clock_ms > life.lease_ms;
            let due = |run: &Run| has_lapsed || run.ends_ms.is_some_and(|ms| ms <= clock_ms);
            let ended: Vec<(String, u64)> = life
                .running
                .iter()
                .filter(|(_, run)| due(run))
                .map(|(key, _)| key.clone())
                .collect();
            for key in ended {
                let Some(run) = life.running.remove(&key) else { continue };
                let is_due = run.ends_ms.is_some_and(|ms| ms <= clock_ms);
                let how = if is_due { run.how } else { "lapsed" };
                let (task, number) = key;
                record.line(&format!("run ended {how}: {task} run {number} on {}", life.id));
                if how == "done" {
                    done.lock().unwrap().insert(task.clone());
                }
                life.last_ended.insert(task.clone(), number);
                let end = life.next_end;
                life.next_end += 1;
                life.ends.push((end, task, number, how));
                self.changed.notify_all();
            }
        }
    }

    fn answer(
        &self,
        request: &Request,
        plans: &Mutex<HashMap<String, Plan>>,
        record: &Record,
    ) -> Option<Response> {
        let body: Value = serde_json::from_slice(&request.body).ok()?;
        let mut life = self.life.lock().unwrap();
        if !life.is_up {
            return None;
        }
        if request.headers.get("x-target-instance").is_some_and(|id| *id != life.id) {
            return Some(Response::json(421, &json!({})));
        }
        let clock_ms = life.clock_ms();
        let refuse = |reason: &str| {
            Some(Response::json(409, &json!({ "clockMs": clock_ms, "reason": reason })))
        };
        if !life.accepts(body["fence"].as_u64().unwrap_or(0)) {
            return refuse("fence");
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let key = (task.clone(), run);
        match request.path.as_str() {
            "/v1/run-start" => {
                let until_ms = body["deadlineMs"].as_u64().unwrap_or(0);
                if life.running.contains_key(&key) {
                    life.extend(until_ms);
                    return Some(Response::json(200, &json!({ "clockMs": clock_ms })));
                }
                if life.last_ended.get(&task).is_some_and(|ended| run <= *ended) {
                    life.extend(until_ms);
                    return refuse("old");
                }
                if until_ms <= clock_ms {
                    return refuse("late");
                }
                life.extend(until_ms);
                let job = task.split('.').next().unwrap_or_default();
                let plan = plans.lock().unwrap().get(job).copied();
                let Some(plan) = plan else {
                    record.line(&format!("start of a task that nobody sent: {task}"));
                    return Some(Response::json(400, &json!({ "clockMs": clock_ms })));
                };
                record.line(&format!("run started: {task} run {run} on {}", life.id));
                let ends_ms = (!plan.is_lasting).then_some(clock_ms + plan.work_ms);
                life.running.insert(key, Run { started_ms: clock_ms, ends_ms, how: "done", plan });
                Some(Response::json(200, &json!({ "clockMs": clock_ms })))
            }
            "/v1/run-stop" => {
                match life.running.get_mut(&key) {
                    Some(known) => {
                        known.ends_ms = Some(clock_ms + STOP_MS);
                        known.how = "stopped";
                        record.line(&format!("stop ordered: {task} run {run}"));
                    }
                    None => {
                        let last = life.last_ended.entry(task).or_insert(run);
                        *last = (*last).max(run);
                    }
                }
                Some(Response::json(200, &json!({ "clockMs": clock_ms })))
            }
            "/v1/hold" => {
                if let Some(until_ms) = body["deadlineMs"].as_u64() {
                    life.extend(until_ms);
                }
                let acked = body["ackedUpto"].as_u64().unwrap_or(0);
                life.ends.retain(|(number, ..)| *number > acked);
                let id = life.id.clone();
                let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2_000));
                let until = Instant::now() + wait;
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.is_up || life.id != id {
                        return None;
                    }
                    if !life.ends.is_empty() || left.is_zero() {
                        return Some(list(&life));
                    }
                    life = self.changed.wait_timeout(life, left).unwrap().0;
                }
            }
            _ => Some(Response::json(404, &json!({}))),
        }
    }
}

/// What a worker says of itself in answer to a look.
fn list(life: &Life) -> Response {
    let clock_ms = life.clock_ms();
    let percent = |run: &Run| {
        let worked_ms = clock_ms.saturating_sub(run.started_ms);
        if run.plan.is_lasting {
            return if worked_ms >= STARTUP_MS { 100 } else { 0 };
        }
        (worked_ms * 100 / run.plan.work_ms.max(1)).min(99)
    };
    let running: Vec<Value> = life
        .running
        .iter()
        .map(|((task, run), state)| json!([task, run, "", percent(state), 0]))
        .collect();
    let ends = life.ends.iter().take(500);
    let finished: Vec<Value> =
        ends.map(|(number, task, run, how)| json!([number, task, run, how, ""])).collect();
    let body = json!({ "clockMs": clock_ms, "running": running, "finished": finished });
    Response::json(200, &body)
}
