//! A small deployment: the store, the workers and three instances of the project as processes, all on loopback.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    http::{self, Response, Server},
    record::Record,
    store::Store,
    workers::Pool,
};

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
pub const HOST: &str = "cell.example";
/// The command of the deploy file.
const PROGRAM: &str = "target/release/lilacpass-node";
const INTERNAL_PORTS: u16 = 16;

fn ip(group: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, group, number)
}

fn at(ip: Ipv4Addr, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), port)
}

/// The processes that this run has started and not ended, and its folder.
static STARTED: Mutex<(Vec<u32>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

/// Ends all processes that this run has started, and removes its folder, when the case is given up.
pub fn end_all() {
    let (processes, folder) = &mut *STARTED.lock().unwrap();
    for process in processes.drain(..) {
        let _ended = Command::new("kill").args(["-KILL", &process.to_string()]).status();
    }
    if let Some(folder) = folder.take() {
        let _removed = fs::remove_dir_all(folder);
    }
}

/// An instance.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    peer: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Instance {
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env("LILACPASS_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().0.push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = http::call(self.ready, "GET", "/v1/ready", &[], &[], timeout);
        answer.is_ok_and(|(status, _)| status == 200)
    }

    /// Sends SIGTERM, as the platform does for a planned stop.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal("-TERM")
    }

    /// Stops the process for good, as a machine that has no power: it answers nothing, and closes none of its channels.
    pub fn silence(&self) -> io::Result<()> {
        self.signal("-STOP")
    }

    fn signal(&self, name: &str) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let status = Command::new("kill").args([name, &child.id().to_string()]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("no signal was sent")) }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Whether the instance says that it leads.
    pub fn leads(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = http::call(self.peer, "GET", "/operator/instance", &[], &[], timeout);
        let body = answer.map(|(_, body)| body).unwrap_or_default();
        let body: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        body["leads"] == true
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _killed = child.kill();
            let _ended = child.wait();
            STARTED.lock().unwrap().0.retain(|process| *process != child.id());
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What the settings of all instances share.
struct Place {
    port: u16,
    store_address: SocketAddr,
    advice_address: SocketAddr,
    folder: PathBuf,
}

impl Place {
    /// Prepares the instance with a number, and writes its settings.
    fn instance(&self, number: u8) -> io::Result<Instance> {
        let port = self.port;
        let seeds: Vec<String> =
            (0..3).map(|number| at(ip(1, number + 1), port).to_string()).collect();
        let ip = ip(1, number + 1);
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let name = format!("front-{zone}-{}", usize::from(number) / ZONES.len() + 1);
        let settings = json!({
            "nodeName": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": ip.to_string(),
            "zone": zone,
            "region": "region",
            "zones": { "zone-a": "region", "zone-b": "region", "zone-c": "region" },
            "listen": {
                "front": at(ip, port).to_string(),
                "ready": at(ip, port + 1).to_string(),
            },
            "internalPorts": [port + 2, port + 1 + INTERNAL_PORTS],
            "seeds": seeds,
            "bootstrap": true,
            "inTolerance": false,
            "limits": {
                "cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": null,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1500,
            "contracts": [
                "base", "drain", "config", "cost", "recover", "sched", "platform", "advice",
                "upkeep", "sharing",
            ],
            "faultTolerance": { "machines": 1, "zones": 1, "regions": 0 },
            "bounds": {
                "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000,
                "syncS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
                "configApplyMs": 2000, "downgradeMs": 250, "maxStretchMs": 5000,
                "recoveryS": 12, "holdMaxMs": 10000, "stopMs": 900, "gangMs": 3000,
                "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
                "status_s": 120, "farX": 1.5, "saveS": 2, "restoreMs": 250,
                "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2, "fencingEnforced": false,
                "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000,
            },
            "orders": "call",
            "advice": self.advice_address.to_string(),
            "platform": {
                "address": self.store_address.to_string(), "form": "log", "writesPerS": 600,
                "readsPerS": 2000, "parts": 16, "appendMs": 3.0, "partitionMbS": 20.0,
                "readMbS": 80.0, "recordBytes": 262_144, "callBytes": 2_097_152,
                "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
            },
        });
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        Ok(Instance {
            log: self.folder.join(format!("{name}.log")),
            name,
            front: at(ip, port),
            ready: at(ip, port + 1),
            peer: at(ip, port + 2),
            settings: path,
            child: None,
        })
    }
}

/// The deployment.
pub struct Cluster {
    pub pool: Arc<Pool>,
    pub instances: Vec<Instance>,
    place: Place,
    record: Record,
    folder: PathBuf,
}

impl Cluster {
    /// Starts a deployment of three instances and `workers` workers.
    pub fn start(workers: u8, queues: &[serde_json::Value], record: &Record) -> io::Result<Self> {
        if !Path::new(PROGRAM).exists() {
            return Err(io::Error::other("the build of the deploy file is missing"));
        }
        let port = free_ports()?;
        let folder = std::env::temp_dir().join(format!("lilacpass-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        STARTED.lock().unwrap().1 = Some(folder.clone());
        let store = Arc::new(Store::default());
        let store_address = at(ip(3, 1), port);
        let answers = store.clone();
        Server::start(store_address, usize::MAX, move |request| answers.answer(request))?;
        let advice_address = at(ip(3, 2), port);
        Server::start(advice_address, usize::MAX, |_| Some(Response::json(404, &json!({}))))?;
        let places = (0..workers).map(|number| {
            let zone = usize::from(number) % ZONES.len();
            let rack = format!("r{}-{}", zone + 1, number / 6 + 1);
            (at(ip(2, number + 1), port), ZONES[zone].to_owned(), rack)
        });
        let pool = Pool::start(places.collect(), store.clone(), record.clone())?;
        let desired = json!({
            "version": 1,
            "routes": queues,
            "services": [{ "name": "pool", "enforcesCapacity": false }],
            "limits": {
                "headerBytes": 16384, "bodyBytes": 262_144, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        });
        store.write("keyed.op", "config", desired.to_string().as_bytes());
        let place = Place { port, store_address, advice_address, folder: folder.clone() };
        let instances = (0..3_u8).map(|number| place.instance(number));
        let mut cluster = Self {
            pool,
            instances: instances.collect::<io::Result<Vec<_>>>()?,
            place,
            record: record.clone(),
            folder,
        };
        cluster.instances.iter_mut().try_for_each(Instance::start)?;
        let until = Instant::now() + Duration::from_secs(15);
        while !cluster.instances.iter().all(Instance::is_ready) {
            if Instant::now() > until {
                return Err(io::Error::other("the instances did not become ready"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        record.line("all instances are ready");
        Ok(cluster)
    }

    /// Adds an instance at a new address, and starts it.
    pub fn add_instance(&mut self) -> io::Result<()> {
        let mut instance = self.place.instance(self.instances.len() as u8)?;
        instance.start()?;
        self.record.line(&format!("{} is added", instance.name));
        self.instances.push(instance);
        Ok(())
    }

    /// Sends a client's request to an instance, and records it with its answer.
    pub fn request(
        &self,
        instance: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, String)> {
        let target = &self.instances[instance];
        let headers =
            [("Host", HOST), ("Content-Type", "application/json"), ("X-Deadline-Ms", "3000")];
        let timeout = Duration::from_secs(3);
        let answer = http::call(target.front, method, path, &headers, body, timeout).ok();
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("{method} {path} at {} -> {text}", target.name));
        answer
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.instances.iter_mut().for_each(Instance::kill);
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A port from which on all ports that an instance needs are free.
fn free_ports() -> io::Result<u16> {
    for attempt in 0..50_u16 {
        let seed = std::process::id() as u16 % 400;
        let first = 20_000 + (seed + attempt * 37) % 400 * 20;
        let is_free = |port| TcpListener::bind(at(Ipv4Addr::UNSPECIFIED, port)).is_ok();
        if (first..first + 2 + INTERNAL_PORTS).all(is_free) {
            return Ok(first);
        }
    }
    Err(io::Error::other("no free ports"))
}
