//! A small deployment: the stand-ins as servers on loopback, and the project's instances as processes.

use std::{
    env, fs,
    fs::File,
    io,
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    http::{self, Reply, Request},
    world::{Job, World},
};

pub const HOST: &str = "cell.example";
const CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);
const REGISTRATION_MS: u64 = 1_500;

pub struct Instance {
    pub front: String,
    ready: String,
    peers: String,
    settings: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

impl Instance {
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/lilacpass-node")
            .env("LILACPASS_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _status = child.wait();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Cell {
    pub world: Arc<Mutex<World>>,
    pub instances: Vec<Instance>,
    folder: PathBuf,
    store_address: String,
    next_id: u64,
    next_front: usize,
    started: usize,
}

fn lock(world: &Arc<Mutex<World>>) -> MutexGuard<'_, World> {
    world.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A listener on a free loopback port, and its address. The port lies below those that the system gives to outgoing
/// connections, so that it stays free until an instance opens it.
fn listen() -> io::Result<(TcpListener, String)> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..1_000 {
        let offset = std::process::id().wrapping_mul(331) + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = format!("127.0.0.1:{}", 12_000 + offset % 20_000);
        if let Ok(listener) = TcpListener::bind(&address) {
            return Ok((listener, address));
        }
    }
    Err(io::Error::other("no free port"))
}

fn store_call(world: &Arc<Mutex<World>>, request: &Request) -> Reply {
    let status = lock(world).store_status;
    if status != 200 {
        return Reply::json(status, &json!({}));
    }
    match request.path.as_str() {
        "/v1/log-append" => {
            thread::sleep(Duration::from_millis(3));
            lock(world).store.append(request)
        }
        "/v1/log-newest" => lock(world).store.newest(request),
        "/v1/log-read" => {
            let end = Instant::now() + Duration::from_millis(request.number("waitMs").unwrap_or(0));
            loop {
                let (reply, has_records) = lock(world).store.read(request);
                if has_records || Instant::now() >= end {
                    return reply;
                }
                thread::sleep(Duration::from_millis(5));
            }
        }
        _ => Reply::json(404, &json!({})),
    }
}

fn worker_call(world: &Arc<Mutex<World>>, address: &str, request: &Request) -> Option<Reply> {
    let reply = lock(world).worker_call(address, request)?;
    let wait_ms = request.json()["waitMs"].as_u64().unwrap_or(0);
    if request.path != "/v1/hold" || wait_ms == 0 || reply.0 != 200 {
        return Some(reply);
    }
    let end = Instant::now() + Duration::from_millis(wait_ms);
    while Instant::now() < end && !lock(world).has_end(address) {
        thread::sleep(Duration::from_millis(5));
    }
    lock(world).hold_again(address)
}

impl Cell {
    pub fn new() -> io::Result<Self> {
        let folder = env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let world = Arc::new(Mutex::new(World::new(Instant::now())));
        let (listener, store_address) = listen()?;
        let stored = world.clone();
        http::serve(listener, Arc::new(move |request| Some(store_call(&stored, &request))));
        let ticking = world.clone();
        thread::spawn(move || {
            let mut next = Instant::now();
            loop {
                lock(&ticking).advance();
                if Instant::now() >= next {
                    next += Duration::from_millis(REGISTRATION_MS);
                    lock(&ticking).renew_registrations(3 * REGISTRATION_MS);
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        let instances = Vec::new();
        Ok(Self { world, instances, folder, store_address, next_id: 0, next_front: 0, started: 0 })
    }

    pub fn world(&self) -> MutexGuard<'_, World> {
        lock(&self.world)
    }

    /// Starts a new worker, at an address of its own.
    pub fn add_worker(&mut self, zone: &str, labels: [&str; 2], cpu: u64) -> io::Result<()> {
        let (listener, address) = listen()?;
        let id = self.new_worker_id();
        let (world, own) = (self.world.clone(), address.clone());
        http::serve(listener, Arc::new(move |request| worker_call(&world, &own, &request)));
        self.world().add_worker(id, address, zone, labels, cpu);
        Ok(())
    }

    fn new_worker_id(&mut self) -> String {
        self.next_id += 1;
        format!("i-{:08x}", self.next_id.wrapping_mul(2_654_435_761) as u32)
    }

    /// Publishes a desired state with one queue for each of `queues`: name, priority, attempts.
    pub fn publish(&self, version: u64, queues: &[(&str, u64, u64)]) {
        let route = |(name, priority, attempts): &(&str, u64, u64)| {
            json!({
                "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "timeoutMs": 3000,
                "targetLatencyMs": 250, "priority": priority, "service": "pool",
                "attempts": attempts, "stretch": 1.5,
            })
        };
        let routes: Vec<_> = queues.iter().map(route).collect();
        let state = json!({
            "version": version, "routes": routes,
            "services": [{ "name": "pool", "enforcesCapacity": false }],
            "limits": { "headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 3000,
                        "idleTimeoutMs": 15000 },
        });
        self.world().store.put("keyed.op", "config", &state.to_string());
    }

    /// Prepares and starts an instance.
    pub fn start_instance(&mut self, zone: &str) -> io::Result<()> {
        let n = self.started;
        self.started += 1;
        let mut reserved = Vec::new();
        for _ in 0..3 {
            reserved.push(listen()?);
        }
        let addresses: Vec<String> = reserved.iter().map(|(_, address)| address.clone()).collect();
        let port: u16 = addresses[2].rsplit(':').next().and_then(|p| p.parse().ok()).unwrap_or(0);
        drop(reserved);
        let settings = self.folder.join(format!("instance-{n}.json"));
        let text = json!({
            "nodeName": format!("front-{zone}-{n}"), "role": "entry", "machineClass": "front",
            "serves": ["front"], "ip": "127.0.0.1", "zone": zone, "region": "r",
            "zones": { "a": "r", "b": "r", "c": "r" },
            "listen": { "front": addresses[0], "ready": addresses[1] },
            "internalPorts": [port, port], "seeds": [], "bootstrap": true, "inTolerance": false,
            "limits": { "cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                        "linkMbps": 1000.0, "diskMb": 0 },
            "dataDir": null, "discovery": "platform", "entry": "vip",
            "heartbeatMs": REGISTRATION_MS,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "faultTolerance": { "machines": 1, "zones": 1, "regions": 0 },
            "bounds": { "stableWindowMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6,
                        "configApplyMs": 2000, "holdMaxMs": 10000, "stopMs": 900, "gangMs": 3000,
                        "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
                        "status_s": 120 },
            "orders": "call",
            "platform": { "address": self.store_address, "form": "log", "writesPerS": 600,
                          "readsPerS": 2000, "parts": 16, "recordBytes": 262144,
                          "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000 },
        });
        fs::write(&settings, text.to_string())?;
        let log = self.folder.join(format!("instance-{n}.log"));
        let [front, ready, peers] = [0, 1, 2].map(|n| addresses[n].clone());
        let mut instance = Instance { front, ready, peers, settings, log, child: None };
        instance.start()?;
        self.instances.push(instance);
        Ok(())
    }

    /// The instance that says that it leads, as operators ask it.
    pub fn leader(&self) -> Option<usize> {
        self.instances.iter().position(|instance| {
            let path = "/operator/instance";
            let response = http::call(&instance.peers, "GET", path, HOST, "", CALLER_TIMEOUT);
            let body = response.map(|(_, body)| body).unwrap_or_default();
            serde_json::from_str::<serde_json::Value>(&body).is_ok_and(|body| body["leads"] == true)
        })
    }

    /// Waits until all instances are ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            let is_ready = |instance: &Instance| {
                let response =
                    http::call(&instance.ready, "GET", "/v1/ready", HOST, "", CALLER_TIMEOUT);
                response.is_ok_and(|(status, _)| status == 200)
            };
            if self.instances.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a request of a client to the next instance. Returns the status, 0 if there is none, and the body.
    pub fn send(&mut self, method: &str, path: &str, body: &str) -> (u16, String) {
        self.next_front = (self.next_front + 1) % self.instances.len();
        self.send_to(self.next_front, method, path, body)
    }

    pub fn send_to(&mut self, n: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let front = self.instances[n].front.clone();
        let response = http::call(&front, method, path, HOST, body, CALLER_TIMEOUT);
        let (status, text) = response.unwrap_or((0, String::new()));
        let sent: String = body.chars().take(300).collect();
        self.world().note(format!("client {method} {path} {sent} -> {status} {text}"));
        (status, text)
    }

    /// Submits a job, with retries under the same id. Returns whether it was accepted.
    pub fn submit(&mut self, queue: &str, id: &str, job: Job) -> bool {
        let body = job.body();
        self.world().jobs.insert(id.to_owned(), job);
        for _ in 0..12 {
            if self.send("POST", &format!("/{queue}/{id}"), &body).0 / 100 == 2 {
                return true;
            }
            thread::sleep(Duration::from_millis(400));
        }
        false
    }

    /// The state of a job as a client sees it; empty if there is no answer.
    pub fn state(&mut self, queue: &str, id: &str) -> String {
        let (status, text) = self.send("GET", &format!("/{queue}/{id}"), "");
        if status == 410 {
            return "410".to_owned();
        }
        let body: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        body["state"].as_str().unwrap_or_default().to_owned()
    }

    /// Ends the instances, writes the record, and removes the folder unless `keep`.
    pub fn finish(mut self, record: &str, keep: bool) -> io::Result<()> {
        self.instances.iter_mut().for_each(Instance::kill);
        fs::write(record, self.world().record.join("\n") + "\n")?;
        if keep {
            eprintln!("logs in {}", self.folder.display());
        } else {
            fs::remove_dir_all(&self.folder)?;
        }
        Ok(())
    }
}
