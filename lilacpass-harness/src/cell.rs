//! A whole cell as processes on loopback: platform, workers, entry instances.

use std::{
    collections::HashMap,
    env, fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use lilacpass_config::access;
use lilacpass_schema::v1::{
    self, config_op, platform_control_client::PlatformControlClient,
    worker_control_client::WorkerControlClient,
};
use lilacpass_standin::shim::{Mode, Shim};
use rustix::process::Signal;
use tokio::time;
use tonic::transport::Channel;

use crate::{
    client::{Api, Reply},
    deployment::Deployment,
    error::{Error, Result},
    ledger::EntryKey,
    process::Process,
};

const DAEMON: &str = "lilacpassd";
const STANDIN: &str = "lilacpass-standin";
/// Environment variable with the token that may publish the first configuration.
const BOOTSTRAP_ENV: &str = "LILACPASS_BOOTSTRAP_TOKEN";
const BOOTSTRAP_TOKEN: &str = "lilac_bootstrap_00000000000000000000000000000000";
const PEER_KEY: &str = "key of the entry instances";
/// How long a cell may take until all entry instances are ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(50);
/// How long a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// What a cell is made of.
#[derive(Clone, Debug)]
pub struct CellOptions {
    /// Which deployment.
    pub deployment: Deployment,
    /// Number of entry instances; default 8.
    pub entries: usize,
    /// Appends a second that the log takes; default 300.
    pub appends_per_s: u64,
    /// Settings of all entry instances besides their names and addresses.
    pub settings: v1::Settings,
    /// Whether the data centres can be cut off from each other.
    pub cuttable: bool,
    /// Seed of the stand-ins.
    pub seed: u64,
}

impl CellOptions {
    /// A cell of today's size.
    pub fn new(deployment: Deployment) -> Self {
        Self {
            deployment,
            entries: 8,
            appends_per_s: 300,
            settings: v1::Settings::default(),
            cuttable: false,
            seed: 1,
        }
    }
}

/// One entry instance.
#[derive(Debug)]
pub struct Entry {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Number of its process, from 0.
    pub generation: u32,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for other entry instances.
    pub peer: SocketAddr,
    /// The process; absent while there is none.
    pub process: Option<Process>,
}

impl Entry {
    /// Name and generation.
    pub fn key(&self) -> EntryKey {
        EntryKey { name: self.name.clone(), generation: self.generation }
    }
}

/// A running cell; all its processes end when this is dropped.
#[derive(Debug)]
pub struct Cell {
    /// What it is made of.
    pub options: CellOptions,
    /// Entry instances.
    pub entries: Vec<Entry>,
    /// Control of the platform's faults.
    pub platform: PlatformControlClient<Channel>,
    /// Control of the workers' faults.
    pub workers: WorkerControlClient<Channel>,
    /// Workers with their addresses.
    pub worker_specs: Vec<v1::WorkerSpec>,
    /// Token of the operator.
    pub operator_token: String,
    /// Token of the team.
    pub team_token: String,
    /// Directory of settings and logs.
    pub dir: PathBuf,
    platform_address: SocketAddr,
    shims: HashMap<(String, String), Shim>,
    _processes: Vec<Process>,
}

impl Cell {
    /// Starts everything, publishes the first configuration and waits until all are ready.
    pub async fn start(options: CellOptions) -> Result<Self> {
        let dir = scratch_dir(options.deployment.name)?;
        let (platform_process, platform_address) = start_platform(&dir, &options).await?;
        let (workers_process, worker_specs, control) = start_workers(&dir, &options).await?;
        let platform = PlatformControlClient::new(channel(platform_address).await?);
        let workers =
            WorkerControlClient::new(channel(control).await?).max_decoding_message_size(usize::MAX);
        let mut cell = Self {
            entries: Vec::new(),
            platform,
            workers,
            worker_specs,
            operator_token: String::new(),
            team_token: String::new(),
            dir,
            platform_address,
            shims: HashMap::new(),
            _processes: vec![platform_process, workers_process],
            options,
        };
        for index in 0..cell.options.entries {
            cell.add_entry(index).await?;
        }
        let revision = cell.publish_first().await?;
        cell.wait_in_force(revision).await?;
        Ok(cell)
    }

    /// Addresses for callers of the entry instances that run.
    pub fn targets(&self) -> Vec<(EntryKey, SocketAddr)> {
        let running = self.entries.iter().filter(|entry| entry.process.is_some());
        running.map(|entry| (entry.key(), entry.http)).collect()
    }

    /// Ends an entry instance at once.
    pub async fn kill_entry(&mut self, index: usize) -> Result<()> {
        match self.entries[index].process.take() {
            Some(process) => process.kill().await,
            None => Ok(()),
        }
    }

    /// Lists an entry instance as leaving and takes its process away, for a planned stop that
    /// others wait for.
    pub async fn begin_stop(&mut self, index: usize) -> Result<Option<Process>> {
        self.put_instance(index, v1::InstanceState::Leaving).await?;
        Ok(self.entries[index].process.take())
    }

    /// Pauses an entry instance, or lets it go on.
    pub fn pause_entry(&self, index: usize, paused: bool) -> Result<()> {
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        self.entries[index].process.as_ref().map_or(Ok(()), |process| process.signal(signal))
    }

    /// Starts a new process in the place of one that has ended.
    pub async fn replace_entry(&mut self, index: usize) -> Result<()> {
        let generation = self.entries[index].generation + 1;
        self.start_entry(index, generation).await
    }

    /// Waits until an entry instance takes traffic.
    pub async fn wait_ready(&self, index: usize) -> Result<()> {
        let api = Api::new("")?;
        let address = self.entries[index].http;
        let what = format!("{} to be ready", self.entries[index].name);
        wait_until(READY_LIMIT, &what, async || api.is_ready(address).await).await
    }

    /// Waits until all running entry instances are ready and have a revision.
    pub async fn wait_in_force(&self, revision: u64) -> Result<()> {
        let api = Api::new(&self.operator_token)?;
        for (key, address) in self.targets() {
            let what = format!("revision {revision} in force on {}", key.name);
            wait_until(READY_LIMIT, &what, async || {
                let status: Reply<v1::StatusView> = api.get(address, "/v1/status").await;
                status.done().is_some_and(|status| status.ready && status.revision >= revision)
            })
            .await?;
        }
        Ok(())
    }

    /// What the workers counted so far.
    pub async fn counts(&mut self) -> Result<v1::WorkerCounts> {
        Ok(self.workers.counts(v1::WorkerCountsRequest {}).await?.into_inner())
    }

    /// Does something to the connections between two data centres.
    pub fn set_link(&self, one: &str, other: &str, mode: Mode) {
        for ((viewer, entry), shim) in &self.shims {
            let home = self.entries.iter().find(|e| e.name == *entry).map(|e| &e.data_centre);
            let is_between = home.is_some_and(|home| {
                (viewer == one && home == other) || (viewer == other && home == one)
            });
            if is_between {
                shim.set_mode(mode);
            }
        }
    }

    async fn add_entry(&mut self, index: usize) -> Result<()> {
        let data_centre = self.options.deployment.data_centre(index);
        let number = index / self.options.deployment.data_centres.len() + 1;
        self.entries.push(Entry {
            name: format!("{data_centre}-{number}"),
            data_centre: data_centre.to_owned(),
            generation: 0,
            http: loopback(),
            peer: loopback(),
            process: None,
        });
        self.start_entry(index, 0).await
    }

    async fn start_entry(&mut self, index: usize, generation: u32) -> Result<()> {
        let name = self.entries[index].name.clone();
        let settings = toml::to_string(&self.settings_of(index))?;
        let settings_path = self.dir.join(format!("{name}.toml"));
        fs::write(&settings_path, settings)?;
        let log = self.dir.join(format!("{name}.{generation}.log"));
        let settings_arg = settings_path.to_string_lossy().into_owned();
        let envs = [(BOOTSTRAP_ENV, BOOTSTRAP_TOKEN)];
        let args = ["--settings", settings_arg.as_str()];
        let mut process = Process::spawn(&name, &binary(DAEMON)?, &args, &envs, &log)?;
        let (mut http, mut peer) = (None, None);
        let (http, peer) = process
            .expect(|line| {
                http = http.or_else(|| address_after(line, "http "));
                peer = peer.or_else(|| address_after(line, "peer "));
                http.zip(peer)
            })
            .await?;
        process.drain_output();
        let entry = &mut self.entries[index];
        entry.http = http;
        entry.peer = peer;
        entry.generation = generation;
        entry.process = Some(process);
        self.put_shims(index, peer).await?;
        self.put_instance(index, v1::InstanceState::Live).await
    }

    /// Lists an entry instance with its state and address.
    pub async fn put_instance(&mut self, index: usize, state: v1::InstanceState) -> Result<()> {
        let entry = &self.entries[index];
        let instance = v1::Instance {
            name: entry.name.clone(),
            data_centre: entry.data_centre.clone(),
            role: v1::InstanceRole::Entry.into(),
            state: state.into(),
            address: entry.peer.to_string(),
            incarnation: 0,
        };
        self.platform.put_instance(instance).await?;
        Ok(())
    }

    /// Puts a forwarder in front of an entry instance for each other data centre.
    async fn put_shims(&mut self, index: usize, peer: SocketAddr) -> Result<()> {
        if !self.options.cuttable {
            return Ok(());
        }
        let (name, home) = {
            let entry = &self.entries[index];
            (entry.name.clone(), entry.data_centre.clone())
        };
        for viewer in self.options.deployment.data_centres.into_iter().filter(|dc| *dc != home) {
            let shim = Shim::start(loopback(), peer).await?;
            let view = v1::AddressView {
                viewer_data_centre: viewer.to_owned(),
                name: name.clone(),
                address: shim.address.to_string(),
            };
            self.platform.put_address_view(view).await?;
            self.shims.insert((viewer.to_owned(), name.clone()), shim);
        }
        Ok(())
    }

    fn settings_of(&self, index: usize) -> v1::Settings {
        let entry = &self.entries[index];
        let common = self.options.settings.clone();
        v1::Settings {
            instance: Some(v1::InstanceSettings {
                name: entry.name.clone(),
                data_centre: entry.data_centre.clone(),
                http_address: loopback().to_string(),
                peer_address: loopback().to_string(),
                peer_key: PEER_KEY.to_owned(),
            }),
            platform: Some(v1::PlatformSettings {
                log_addresses: vec![self.platform_address.to_string()],
                instance_list_addresses: vec![self.platform_address.to_string()],
                ..common.platform.clone().unwrap_or_default()
            }),
            ..common
        }
    }

    /// Publishes the first configuration; returns its revision.
    async fn publish_first(&mut self) -> Result<u64> {
        let (operator_token, mut operator) = access::new_token("ops");
        operator.role = access::Role::Operator.to_string();
        let (team_token, mut team) = access::new_token("desk");
        team.role = access::Role::Team.to_string();
        team.team = self.options.deployment.team.to_owned();
        self.operator_token = operator_token;
        self.team_token = team_token;
        let configuration =
            self.options.deployment.configuration(self.worker_specs.clone(), vec![operator, team]);
        let change = v1::ChangeRequest {
            ops: vec![v1::ConfigOp { op: Some(config_op::Op::Replace(configuration)) }],
            reason: "first inventory".to_owned(),
            dry_run: false,
        };
        let api = Api::new(BOOTSTRAP_TOKEN)?;
        let to = self.entries[0].http;
        let give_up_at = time::Instant::now() + READY_LIMIT;
        loop {
            let reply = api.change(to, 0, &change).await;
            match reply {
                Reply::Done(answer) => return Ok(answer.revision),
                other if time::Instant::now() > give_up_at => {
                    return other.require("the first configuration").map(|answer| answer.revision);
                }
                _ => time::sleep(READY_POLL).await,
            }
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        // Logs of a failed run are worth more than a clean directory.
        if env::var_os("LILACPASS_KEEP").is_none() && !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Stops an entry instance as planned and waits for its end.
pub async fn planned_stop(process: Process) -> Result<()> {
    process.stop(STOP_LIMIT).await
}

/// Waits until `done` says so, at most for `limit`.
pub async fn wait_until(
    limit: Duration,
    what: &str,
    mut done: impl AsyncFnMut() -> bool,
) -> Result<()> {
    let give_up_at = time::Instant::now() + limit;
    while !done().await {
        if time::Instant::now() > give_up_at {
            return Err(Error::TooLate(what.to_owned()));
        }
        time::sleep(READY_POLL).await;
    }
    Ok(())
}

/// The program that was built next to this one.
fn binary(name: &str) -> Result<PathBuf> {
    Ok(env::current_exe()?.with_file_name(name))
}

async fn start_platform(dir: &Path, options: &CellOptions) -> Result<(Process, SocketAddr)> {
    let appends = options.appends_per_s.to_string();
    let seed = options.seed.to_string();
    let args = ["platform", "--appends-per-s", &appends, "--seed", &seed];
    let log = dir.join("platform.log");
    let mut process = Process::spawn("platform", &binary(STANDIN)?, &args, &[], &log)?;
    let address = process.expect(|line| address_after(line, "listening ")).await?;
    process.drain_output();
    Ok((process, address))
}

async fn start_workers(
    dir: &Path,
    options: &CellOptions,
) -> Result<(Process, Vec<v1::WorkerSpec>, SocketAddr)> {
    let mut specs = options.deployment.worker_specs();
    let inventory = v1::Configuration { workers: specs.clone(), ..Default::default() };
    let path = dir.join("workers.toml");
    fs::write(&path, toml::to_string(&inventory)?)?;
    let path = path.to_string_lossy().into_owned();
    let seed = options.seed.to_string();
    let args = ["workers", "--inventory", &path, "--seed", &seed];
    let log = dir.join("workers.log");
    let mut process = Process::spawn("workers", &binary(STANDIN)?, &args, &[], &log)?;
    let mut addresses = HashMap::new();
    let control = process
        .expect(|line| {
            if let Some((name, address)) =
                line.strip_prefix("worker ").and_then(|l| l.split_once(' '))
            {
                addresses.insert(name.to_owned(), address.to_owned());
            }
            address_after(line, "control ")
        })
        .await?;
    process.expect(|line| (line == "ready").then_some(())).await?;
    for spec in &mut specs {
        spec.address = addresses.remove(&spec.name).unwrap_or_default();
    }
    process.drain_output();
    Ok((process, specs, control))
}

/// Reads an address that stands behind `prefix`.
fn address_after(line: &str, prefix: &str) -> Option<SocketAddr> {
    line.strip_prefix(prefix)?.trim().parse().ok()
}

async fn channel(address: SocketAddr) -> Result<Channel> {
    let uri = format!("http://{address}");
    let endpoint = Channel::from_shared(uri)
        .map_err(|err| Error::Unexpected("an address".to_owned(), err.to_string()))?;
    Ok(endpoint.connect().await?)
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn scratch_dir(name: &str) -> Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = env::temp_dir().join(format!("lilacpass-{name}-{}-{number}", std::process::id()));
    fs::create_dir_all(&dir)?;
    Ok(dir)
}
