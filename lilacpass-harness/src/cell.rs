//! A whole cell as processes on loopback: platform, workers, entry instances.

use std::{collections::HashMap, env, fs, net::SocketAddr, path::PathBuf, time::Duration};

use lilacpass_schema::v1::{
    self, platform_control_client::PlatformControlClient,
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

mod start;

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
        let dir = start::scratch_dir(options.deployment.name)?;
        let (platform_process, platform_address) = start::start_platform(&dir, &options).await?;
        let (workers_process, worker_specs, control) = start::start_workers(&dir, &options).await?;
        let platform = PlatformControlClient::new(start::channel(platform_address).await?);
        let workers = WorkerControlClient::new(start::channel(control).await?)
            .max_decoding_message_size(usize::MAX);
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
