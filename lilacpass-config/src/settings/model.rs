//! The settings as typed values.

use std::{net::SocketAddr, time::Duration};

use lilacpass_core::{
    ids::{DataCentreId, InstanceId},
    size::Bytes,
};

use crate::access::PeerKey;

/// Settings of one process, checked and with all defaults applied.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, location and addresses of this process.
    pub instance: InstanceSettings,
    /// Use of the platform's services.
    pub platform: PlatformSettings,
    /// Leases on workers.
    pub holding: HoldingSettings,
    /// Communication with other entry instances.
    pub peers: PeerSettings,
    /// Limits on the requests of callers.
    pub traffic: TrafficSettings,
    /// Execution of jobs and retention of their results.
    pub jobs: JobSettings,
}

/// Name, location and addresses of this process.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// Name of this entry instance, as in the instance list.
    pub name: InstanceId,
    /// Data centre in which this entry instance runs.
    pub data_centre: DataCentreId,
    /// Listen address for callers and operators.
    pub http_address: SocketAddr,
    /// Listen address for other entry instances.
    pub peer_address: SocketAddr,
    /// Key with which entry instances and the platform authenticate to each other; may be `None` only if the peer
    /// address is a loopback address.
    pub peer_key: Option<PeerKey>,
}

/// Use of the platform's services: the log and the instance list.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Addresses of the log service, at least one.
    pub log_addresses: Vec<SocketAddr>,
    /// Addresses of the instance list, at least one.
    pub instance_list_addresses: Vec<SocketAddr>,
    /// Deadline of one call to the platform.
    pub call_timeout: Duration,
    /// How long records are collected into a batch before it is appended.
    pub batch: Duration,
    /// Interval at which the instance list is read.
    pub list_interval: Duration,
    /// Prefix of the names of this cell's streams.
    pub stream_prefix: String,
    /// Number of records after which a new snapshot of a stream is written.
    pub snapshot_records: u64,
}

/// Leases on workers.
#[derive(Clone, Debug)]
pub struct HoldingSettings {
    /// Duration of a lease on workers.
    pub lease: Duration,
    /// Time between two renewals of a lease.
    pub renew: Duration,
    /// Maximum difference in rate between two clocks, in parts per million.
    pub clock_drift_ppm: u64,
    /// Maximum time between the sending and the arrival of a start.
    pub start_flight: Duration,
    /// Duration of a grant, a peer's promise not to claim shards of this instance until the grant expires.
    pub grant: Duration,
    /// Maximum time for which a process may be paused and then resume. An old holder that is off the instance list for
    /// longer is considered dead.
    pub longest_pause: Duration,
}

/// Communication with other entry instances.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Time between two heartbeats to a peer of the same data centre.
    pub heartbeat: Duration,
    /// Time without a response after which a peer counts as unreachable.
    pub silent: Duration,
}

/// Limits on the requests of callers.
#[derive(Clone, Debug)]
pub struct TrafficSettings {
    /// Number of threads that serve traffic.
    pub threads: usize,
    /// Maximum size of a request body.
    pub max_body: Bytes,
    /// Maximum number of concurrent connections of callers.
    pub max_connections: usize,
    /// Maximum number of quick requests that wait at this instance at the same time.
    pub max_queued: usize,
    /// Maximum deadline that a caller may set.
    pub max_deadline: Duration,
    /// Maximum number of retries that this instance makes per hundred requests.
    pub retry_budget_percent: u64,
}

/// Execution of jobs and retention of their results.
#[derive(Clone, Debug)]
pub struct JobSettings {
    /// Duration of a task's lease on its worker.
    pub task_lease: Duration,
    /// How long capacity stays reserved while the record of an attempt is written.
    pub hold: Duration,
    /// How long the results of ended jobs are kept.
    pub keep_ended: Duration,
    /// Maximum size of a result that is kept.
    pub max_result: Bytes,
    /// Maximum time that a report call to a worker waits for changes.
    pub report_wait: Duration,
}
