//! Starts the processes of a cell and publishes its first configuration.

use std::{
    collections::HashMap,
    env, fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use lilacpass_config::access;
use lilacpass_schema::v1::{self, config_op};
use lilacpass_standin::shim::Shim;
use tokio::time;
use tonic::transport::Channel;

use super::{Cell, CellOptions, Entry, READY_LIMIT, READY_POLL};
use crate::{
    client::{Api, Reply},
    error::{Error, Result},
    process::Process,
};

const DAEMON: &str = "lilacpassd";
const STANDIN: &str = "lilacpass-standin";
/// Environment variable with the token that may publish the first configuration.
const BOOTSTRAP_ENV: &str = "LILACPASS_BOOTSTRAP_TOKEN";
const BOOTSTRAP_TOKEN: &str = "lilac_bootstrap_00000000000000000000000000000000";
const PEER_KEY: &str = "key of the entry instances";

impl Cell {
    pub(super) async fn add_entry(&mut self, index: usize) -> Result<()> {
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

    pub(super) async fn start_entry(&mut self, index: usize, generation: u32) -> Result<()> {
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
    pub(super) async fn publish_first(&mut self) -> Result<u64> {
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

/// The program that was built next to this one.
fn binary(name: &str) -> Result<PathBuf> {
    Ok(env::current_exe()?.with_file_name(name))
}

pub(super) async fn start_platform(
    dir: &Path,
    options: &CellOptions,
) -> Result<(Process, SocketAddr)> {
    let appends = options.appends_per_s.to_string();
    let seed = options.seed.to_string();
    let args = ["platform", "--appends-per-s", &appends, "--seed", &seed];
    let log = dir.join("platform.log");
    let mut process = Process::spawn("platform", &binary(STANDIN)?, &args, &[], &log)?;
    let address = process.expect(|line| address_after(line, "listening ")).await?;
    process.drain_output();
    Ok((process, address))
}

pub(super) async fn start_workers(
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

pub(super) async fn channel(address: SocketAddr) -> Result<Channel> {
    let uri = format!("http://{address}");
    let endpoint = Channel::from_shared(uri)
        .map_err(|err| Error::Unexpected("an address".to_owned(), err.to_string()))?;
    Ok(endpoint.connect().await?)
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub(super) fn scratch_dir(name: &str) -> Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = env::temp_dir().join(format!("lilacpass-{name}-{}-{number}", std::process::id()));
    fs::create_dir_all(&dir)?;
    Ok(dir)
}
