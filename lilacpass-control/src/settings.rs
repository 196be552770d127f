//! What the control state machine has to know of its own instance.

use std::{net::SocketAddr, time::Duration};

use lilacpass_config::settings::Settings;
use lilacpass_core::ids::{DataCentreId, Incarnation, InstanceId};
use lilacpass_hold::HoldOptions;

use crate::Guards;

/// Settings of the control state machine.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of this entry instance.
    pub me: InstanceId,
    /// Start number of this process.
    pub incarnation: Incarnation,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Address for peers, as told to them in heartbeats.
    pub peer_address: SocketAddr,
    /// Seed of random choices, such as backoff.
    pub seed: u64,
    /// Holding of workers.
    pub hold: HoldOptions,
    /// Time between two heartbeats to a peer of the same data centre.
    pub heartbeat: Duration,
    /// Time without an answer after which a peer counts as silent.
    pub silent: Duration,
    /// How long records are gathered before they are appended together.
    pub batch: Duration,
    /// Records after which a stream is written again as a snapshot.
    pub snapshot_records: u64,
    /// Most quick requests that wait here at once.
    pub max_queued: usize,
    /// Retries per hundred quick requests.
    pub retry_budget_percent: u64,
    /// Duration of a task's lease on its worker.
    pub task_lease: Duration,
    /// How long room is set aside while an attempt is written.
    pub task_hold: Duration,
    /// How long results of ended jobs are kept.
    pub keep_ended: Duration,
    /// Largest result that is kept, in bytes.
    pub max_result_bytes: usize,
    /// Longest wait for news in one report call.
    pub report_wait: Duration,
    /// For tests only: guards that can be taken out one by one.
    pub guards: Guards,
}

impl ControlSettings {
    /// Takes over what control needs of the settings of the process.
    pub fn from_settings(
        settings: &Settings,
        incarnation: Incarnation,
        seed: u64,
        peer_address: SocketAddr,
    ) -> Self {
        let holding = &settings.holding;
        Self {
            me: settings.instance.name.clone(),
            incarnation,
            data_centre: settings.instance.data_centre.clone(),
            peer_address,
            seed,
            hold: HoldOptions {
                lease: holding.lease,
                renew: holding.renew,
                clock_drift_ppm: holding.clock_drift_ppm,
                start_flight: holding.start_flight,
                grant: holding.grant,
                longest_pause: holding.longest_pause,
                ..HoldOptions::default()
            },
            heartbeat: settings.peers.heartbeat,
            silent: settings.peers.silent,
            batch: settings.platform.batch,
            snapshot_records: settings.platform.snapshot_records,
            max_queued: settings.traffic.max_queued,
            retry_budget_percent: settings.traffic.retry_budget_percent,
            task_lease: settings.jobs.task_lease,
            task_hold: settings.jobs.hold,
            keep_ended: settings.jobs.keep_ended,
            max_result_bytes: usize::try_from(settings.jobs.max_result.0).unwrap_or(usize::MAX),
            report_wait: settings.jobs.report_wait,
            guards: Guards::default(),
        }
    }
}
