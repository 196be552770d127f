//! Metrics of an instance, served as text on the metrics port.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    slice,
    time::Duration,
};

use bytes::Bytes;
use http::StatusCode;
use lilacpass_jobs::failure::Cause;
use lilacpass_lead::{
    admission::JobShare,
    counters::{Counters, WorkerLoss},
    fair_use::Band,
    learned::speeds::KindStatus,
    pressure::Level,
    work::{Part, SchedulingWork},
};
use lilacpass_platform::{
    accepted::{AcceptedConnections, Usage},
    desired::Limits,
    server::Reply,
    workers::ConnectionCount,
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use tokio::runtime::Handle;

use crate::logging;

/// Port of the metrics, as configured in `deploy/system.toml`.
pub const PORT: u16 = 9_464;
/// Path of the metrics, as configured in `deploy/system.toml`.
pub const PATH: &str = "/metrics";
/// Number of kinds of workers whose speed is shown. Labels of workers are free text.
const MAX_KINDS: usize = 16;
/// Bucket bounds of time histograms, in seconds: from a response within one instance up to a client's timeout.
const TIME_BOUNDS_S: [f64; 12] =
    [0.001, 0.003, 0.01, 0.03, 0.06, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 10.0];

/// Time that the leader's event loop has taken, by part.
#[derive(Clone, Copy, Debug, Default)]
pub struct BusyTime {
    /// Processing of events and requests.
    pub events: Duration,
    /// Scheduling rounds, and the polls, probes and appends that go with them.
    pub round: Duration,
    /// Execution of the effects that the leader requests.
    pub effects: Duration,
    /// Ticks, with their reviews of all workers and runs.
    pub ticks: Duration,
}

/// Metrics of an instance. Counters start from 0 with the process.
pub struct Metrics {
    registry: Registry,
    // Keeps the exporter alive.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    keys_refused: Counter<u64>,
    request_seconds: Histogram<f64>,
    orders: Counter<u64>,
    order_seconds: Histogram<f64>,
    append_seconds: Histogram<f64>,
    appends: Counter<u64>,
    advice: Counter<u64>,
    advised_workers: Counter<u64>,
    advised_starts: Counter<u64>,
    heartbeats: Counter<u64>,
    desired_reads: Counter<u64>,
    desired_version: Gauge<u64>,
    workers_reads: Counter<u64>,
    workers_lost: Counter<u64>,
    runs_beyond_leases: Counter<u64>,
    connections: Gauge<u64>,
    max_connections: Gauge<u64>,
    body_bytes: Gauge<u64>,
    max_body_bytes: Gauge<u64>,
    given_way: Counter<u64>,
    /// What `given_way` includes, by listener.
    reported_usage: RefCell<BTreeMap<&'static str, Usage>>,
    worker_connections: Gauge<u64>,
    worker_connections_opened: Counter<u64>,
    misdirected_orders: Counter<u64>,
    orders_at_other: Counter<u64>,
    jobs_failed: Counter<u64>,
    jobs_refused: Counter<u64>,
    job_bytes: Gauge<u64>,
    band_changes: Counter<u64>,
    steps_moved: Counter<u64>,
    steps_examined: Counter<u64>,
    advice_searches: Counter<u64>,
    leader_visits: Counter<u64>,
    leader_busy_seconds: Counter<f64>,
    busy_seconds: Counter<f64>,
    /// The part of the time of the event loop that `busy_seconds` includes.
    reported_busy: Cell<Duration>,
    takeovers: Counter<u64>,
    leads: Gauge<u64>,
    behind_seconds: Gauge<f64>,
    pressure: Gauge<u64>,
    refused_job_ratio: Gauge<f64>,
    worker_speed: Gauge<f64>,
    dropped_lines: Gauge<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Metrics that are all 0.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build();
        let provider = match exporter {
            Ok(exporter) => SdkMeterProvider::builder().with_reader(exporter).build(),
            Err(err) => {
                log::error!(error:% = err; "metrics cannot be exported");
                SdkMeterProvider::builder().build()
            }
        };
        let meter = provider.meter("lilacpass");
        let seconds = |name: &'static str| {
            meter.f64_histogram(name).with_boundaries(TIME_BOUNDS_S.to_vec()).build()
        };
        Self {
            requests: meter.u64_counter("lilacpass_requests").build(),
            keys_refused: meter.u64_counter("lilacpass_keys_refused").build(),
            request_seconds: seconds("lilacpass_request_seconds"),
            orders: meter.u64_counter("lilacpass_orders").build(),
            order_seconds: seconds("lilacpass_order_seconds"),
            append_seconds: seconds("lilacpass_append_seconds"),
            appends: meter.u64_counter("lilacpass_appends").build(),
            advice: meter.u64_counter("lilacpass_advice_calls").build(),
            advised_workers: meter.u64_counter("lilacpass_advised_workers").build(),
            advised_starts: meter.u64_counter("lilacpass_advised_starts").build(),
            heartbeats: meter.u64_counter("lilacpass_greetings").build(),
            desired_reads: meter.u64_counter("lilacpass_desired_reads").build(),
            desired_version: meter.u64_gauge("lilacpass_desired_version").build(),
            workers_reads: meter.u64_counter("lilacpass_workers_reads").build(),
            workers_lost: meter.u64_counter("lilacpass_workers_lost").build(),
            runs_beyond_leases: meter.u64_counter("lilacpass_runs_beyond_leases").build(),
            connections: meter.u64_gauge("lilacpass_connections").build(),
            max_connections: meter.u64_gauge("lilacpass_connections_limit").build(),
            body_bytes: meter.u64_gauge("lilacpass_body_bytes").build(),
            max_body_bytes: meter.u64_gauge("lilacpass_body_bytes_limit").build(),
            given_way: meter.u64_counter("lilacpass_given_way").build(),
            reported_usage: RefCell::default(),
            worker_connections: meter.u64_gauge("lilacpass_worker_connections").build(),
            worker_connections_opened: meter
                .u64_counter("lilacpass_worker_connections_opened")
                .build(),
            misdirected_orders: meter.u64_counter("lilacpass_misdirected_orders").build(),
            orders_at_other: meter.u64_counter("lilacpass_orders_at_other_incarnations").build(),
            jobs_failed: meter.u64_counter("lilacpass_jobs_failed").build(),
            jobs_refused: meter.u64_counter("lilacpass_jobs_refused_for_memory").build(),
            job_bytes: meter.u64_gauge("lilacpass_job_bytes").build(),
            band_changes: meter.u64_counter("lilacpass_account_band_changes").build(),
            steps_moved: meter.u64_counter("lilacpass_waiting_steps_moved").build(),
            steps_examined: meter.u64_counter("lilacpass_steps_examined").build(),
            advice_searches: meter.u64_counter("lilacpass_advice_searches").build(),
            leader_visits: meter.u64_counter("lilacpass_leader_visits").build(),
            leader_busy_seconds: meter.f64_counter("lilacpass_leader_busy_seconds").build(),
            busy_seconds: meter.f64_counter("lilacpass_busy_seconds").build(),
            reported_busy: Cell::default(),
            takeovers: meter.u64_counter("lilacpass_takeovers").build(),
            leads: meter.u64_gauge("lilacpass_leads").build(),
            behind_seconds: meter.f64_gauge("lilacpass_leader_behind_seconds").build(),
            pressure: meter.u64_gauge("lilacpass_leader_pressure").build(),
            refused_job_ratio: meter.f64_gauge("lilacpass_leader_refused_job_ratio").build(),
            worker_speed: meter.f64_gauge("lilacpass_worker_speed").build(),
            dropped_lines: meter.u64_gauge("lilacpass_dropped_log_lines").build(),
            registry,
            _provider: provider,
        }
    }

    /// Records a client request that was answered.
    pub fn request(&self, status: StatusCode, took: Duration) {
        let status = KeyValue::new("status", i64::from(status.as_u16()));
        self.requests.add(1, &[status]);
        self.request_seconds.record(took.as_secs_f64(), &[]);
    }

    /// Records a request that was refused by its key. `is_judged` is false if the key may be in force.
    pub fn key_refused(&self, is_judged: bool) {
        self.keys_refused.add(1, &[KeyValue::new("judged", is_judged)]);
    }

    /// Records what the connections of a listener hold against their limits, and how many had to give way.
    pub fn connections(&self, listener: &AcceptedConnections, limits: &Limits) {
        let (usage, capacity) = (listener.usage(), listener.capacity());
        let label = KeyValue::new("listener", listener.name());
        let max_connections = capacity.max_connections(limits) as u64;
        self.connections.record(usage.connections as u64, slice::from_ref(&label));
        self.max_connections.record(max_connections, slice::from_ref(&label));
        self.body_bytes.record(usage.body_bytes as u64, slice::from_ref(&label));
        self.max_body_bytes.record(capacity.body_bytes as u64, slice::from_ref(&label));
        let reported = self.reported_usage.borrow_mut().insert(listener.name(), usage);
        let reported = reported.unwrap_or_default();
        for (reason, count, before) in [
            ("idle", usage.idle_closed, reported.idle_closed),
            ("unfinished", usage.unfinished_closed, reported.unfinished_closed),
            ("no_place", usage.connections_refused, reported.connections_refused),
            ("no_body_room", usage.bodies_refused, reported.bodies_refused),
        ] {
            self.given_way.add(count - before, &[label.clone(), KeyValue::new("reason", reason)]);
        }
    }

    /// Records the open connections to workers, and what has changed since the last call, when `reported` was counted.
    pub fn worker_connections(&self, count: ConnectionCount, reported: ConnectionCount) {
        self.worker_connections.record(count.open as u64, &[]);
        self.worker_connections_opened.add(count.opened - reported.opened, &[]);
        self.misdirected_orders.add(count.misdirected_orders - reported.misdirected_orders, &[]);
        self.orders_at_other.add(count.orders_at_other - reported.orders_at_other, &[]);
    }

    /// Records an order to a worker that has completed or failed.
    pub fn order(&self, order: &'static str, outcome: &'static str, took: Duration) {
        let order = KeyValue::new("order", order);
        self.orders.add(1, &[order.clone(), KeyValue::new("outcome", outcome)]);
        self.order_seconds.record(took.as_secs_f64(), &[order]);
    }

    /// Records an append that has completed or failed.
    pub fn append(&self, outcome: &'static str, took: Duration) {
        self.appends.add(1, &[KeyValue::new("outcome", outcome)]);
        self.append_seconds.record(took.as_secs_f64(), &[]);
    }

    /// Records an advice call that has completed or failed.
    pub fn advice(&self, outcome: &'static str) {
        self.advice.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records a heartbeat to the leader that has completed or failed.
    pub fn heartbeat(&self, outcome: &'static str) {
        self.heartbeats.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records a read of the desired state. `source` is the store or another instance.
    pub fn desired_read(&self, source: &'static str, outcome: &'static str) {
        let source = KeyValue::new("source", source);
        self.desired_reads.add(1, &[source, KeyValue::new("outcome", outcome)]);
    }

    /// Records the version of a desired state that was adopted.
    pub fn desired_version(&self, version: u64) {
        self.desired_version.record(version, &[]);
    }

    /// Records a read of the registered workers. `scope` is `all` for a full read, or `changes`.
    pub fn workers_read(&self, scope: &'static str, outcome: &'static str) {
        let scope = KeyValue::new("what", scope);
        self.workers_reads.add(1, &[scope, KeyValue::new("outcome", outcome)]);
    }

    /// Records that this instance took over.
    pub fn took_over(&self) {
        self.takeovers.add(1, &[]);
        self.leads.record(1, &[]);
    }

    /// Records how far behind this instance is as the leader, and its pressure level.
    pub fn pressure(&self, level: Level, behind: Duration) {
        let level = match level {
            Level::KeepsUp => 0,
            Level::Behind => 1,
            Level::Refuses => 2,
        };
        self.pressure.record(level, &[]);
        self.behind_seconds.record(behind.as_secs_f64(), &[]);
    }

    /// Records the share of new jobs that this instance accepts as the leader.
    pub fn accepted_jobs(&self, share: JobShare) {
        self.refused_job_ratio.record(f64::from(share.refused_permille()) / 1_000.0, &[]);
    }

    /// Records the estimated memory of the jobs that this instance leads, in bytes.
    pub fn job_memory(&self, job_bytes: u64) {
        self.job_bytes.record(job_bytes, &[]);
    }

    /// Adds the counts of events in the cell since the last call.
    pub fn record_counters(&self, counters: &Counters) {
        for loss in WorkerLoss::ALL {
            let loss_label = KeyValue::new("how", loss.as_str());
            self.workers_lost.add(counters.workers_lost(loss), &[loss_label]);
        }
        for cause in Cause::ALL {
            let cause_label = KeyValue::new("cause", cause.as_str());
            self.jobs_failed.add(counters.jobs_failed(cause), &[cause_label]);
        }
        self.runs_beyond_leases.add(counters.runs_beyond_leases, &[]);
        self.jobs_refused.add(counters.jobs_refused_for_memory, &[]);
        let advice = &counters.advice;
        self.advised_workers.add(advice.workers_named, &[KeyValue::new("verdict", "asked")]);
        self.advised_workers.add(advice.workers_allowed, &[KeyValue::new("verdict", "allowed")]);
        self.advised_starts.add(advice.starts, &[]);
        for band in Band::ALL {
            let band_label = KeyValue::new("to", band.as_str());
            self.band_changes.add(counters.band_changes(band), &[band_label]);
        }
    }

    /// Adds scheduling work of the leader.
    pub fn scheduling_work(&self, work: &SchedulingWork) {
        self.steps_moved.add(work.steps_moved, &[]);
        self.steps_examined.add(work.steps_examined, &[]);
        let found = work.advice_searches - work.empty_advice_searches;
        self.advice_searches.add(found, &[KeyValue::new("found", true)]);
        self.advice_searches.add(work.empty_advice_searches, &[KeyValue::new("found", false)]);
        for part in Part::ALL {
            self.leader_visits.add(work.visits.of(part), &[KeyValue::new("part", part.as_str())]);
        }
    }

    /// Adds the time that the leader took for its parts.
    pub fn leader_busy(&self, busy: &BusyTime) {
        for (part, took) in [
            ("events", busy.events),
            ("round", busy.round),
            ("effects", busy.effects),
            ("ticks", busy.ticks),
        ] {
            self.leader_busy_seconds.add(took.as_secs_f64(), &[KeyValue::new("part", part)]);
        }
    }

    /// Records the learned speeds of the kinds of workers. Shows the first kinds only if there are too many.
    pub fn worker_speeds(&self, kinds: &[KindStatus]) {
        for kind in kinds.iter().take(MAX_KINDS) {
            let service = KeyValue::new("service", kind.service.clone());
            self.worker_speed
                .record(kind.speed, &[service, KeyValue::new("kind", kind.kind.clone())]);
        }
    }

    /// Records that this instance does not lead any more.
    pub fn leadership_lost(&self) {
        self.leads.record(0, &[]);
        self.job_memory(0);
        self.pressure(Level::KeepsUp, Duration::ZERO);
        self.accepted_jobs(JobShare::ALL);
    }

    /// Adds the time for which the event loop of the process has been busy, with everything that runs on it.
    fn update_busy_seconds(&self) {
        // The runtime has one thread.
        let Ok(runtime) = Handle::try_current() else { return };
        let busy = runtime.metrics().worker_total_busy_duration(0);
        let reported = self.reported_busy.replace(busy);
        self.busy_seconds.add(busy.saturating_sub(reported).as_secs_f64(), &[]);
    }

    /// The response to a request for metrics, in the text format of Prometheus.
    pub fn reply(&self, path: &str) -> Reply {
        if path != PATH {
            return Reply::error(StatusCode::NOT_FOUND, "no such path");
        }
        self.dropped_lines.record(logging::dropped(), &[]);
        self.update_busy_seconds();
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => Reply::body(StatusCode::OK, Bytes::from(text)),
            Err(err) => Reply::error(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
        }
    }
}

/// The metric label for the result of a call.
pub fn outcome<T, E>(result: &Result<T, E>) -> &'static str {
    if result.is_ok() { "ok" } else { "failed" }
}
