//! Settings as typed values.

use std::{net::SocketAddr, time::Duration};

use lilacpass_core::{
    ids::{DataCentreId, InstanceId},
    size::Bytes,
};

use crate::access::PeerKey;

/// Settings of one process, checked, with all defaults applied.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who and where this process is.
    pub instance: InstanceSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Leases on workers.
    pub holding: HoldingSettings,
    /// Other entry instances.
    pub peers: PeerSettings,
    /// Callers.
    pub traffic: TrafficSettings,
    /// Jobs and their tasks.
    pub jobs: JobSettings,
}

/// Who and where this process is.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// Name of this entry instance.
    pub name: InstanceId,
    /// Data centre that it is in.
    pub data_centre: DataCentreId,
    /// Address for callers and operators.
    pub http_address: SocketAddr,
    /// Address for other entry instances.
    pub peer_address: SocketAddr,
    /// Key that entry instances show each other; `None` only on loopback.
    pub peer_key: Option<PeerKey>,
}

/// The platform's services.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Addresses of the log service, at least one.
    pub log_addresses: Vec<SocketAddr>,
    /// Addresses of the instance list, at least one.
    pub instance_list_addresses: Vec<SocketAddr>,
    /// Deadline of one call.
    pub call_timeout: Duration,
    /// How long records of one batch are gathered.
    pub batch: Duration,
    /// How often the instance list is read.
    pub list_interval: Duration,
    /// Name that stands before the names of this cell's streams.
    pub stream_prefix: String,
    /// Records after which a stream is written again as a snapshot.
    pub snapshot_records: u64,
}

/// Leases on workers.
#[derive(Clone, Debug)]
pub struct HoldingSettings {
    /// Duration of a lease.
    pub lease: Duration,
    /// Time between two renewals.
    pub renew: Duration,
    /// Largest difference in rate between two clocks, in parts per million.
    pub clock_drift_ppm: u64,
    /// Longest time that a start may be under way.
    pub start_flight: Duration,
    /// Duration of a grant.
    pub grant: Duration,
    /// Longest pause of a process that clears an old holder.
    pub longest_pause: Duration,
}

/// Other entry instances.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// Time without an answer after which a peer counts as unreachable.
    pub silent: Duration,
}

/// Callers.
#[derive(Clone, Debug)]
pub struct TrafficSettings {
    /// Threads for traffic.
    pub threads: usize,
    /// Largest request body.
    pub max_body: Bytes,
    /// Most connections at once.
    pub max_connections: usize,
    /// Most quick requests that wait at once.
    pub max_queued: usize,
    /// Longest deadline that a caller may set.
    pub max_deadline: Duration,
    /// Retries per hundred requests.
    pub retry_budget_percent: u64,
}

/// Jobs and their tasks.
#[derive(Clone, Debug)]
pub struct JobSettings {
    /// Duration of a task's lease on its worker.
    pub task_lease: Duration,
    /// How long room is set aside while an attempt is written.
    pub hold: Duration,
    /// How long results of ended jobs are kept.
    pub keep_ended: Duration,
    /// Largest result that is kept.
    pub max_result: Bytes,
    /// Longest wait for news in one report call.
    pub report_wait: Duration,
}
