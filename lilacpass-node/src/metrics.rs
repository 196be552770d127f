//! Figures of an instance, served as text on the metrics address.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use lilacpass_jobs::failure::Cause;
use lilacpass_lead::{
    counters::{Counters, WorkerLoss},
    pressure::Level,
};
use lilacpass_platform::server::Reply;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::logging;

/// Port of the metrics, as `deploy/system.toml` names it.
pub const PORT: u16 = 9_464;
/// Path of the metrics, as `deploy/system.toml` names it.
pub const PATH: &str = "/metrics";
/// Bounds of time histograms, in seconds: from an answer within one instance to a caller's patience.
const TIME_BOUNDS_S: [f64; 12] =
    [0.001, 0.003, 0.01, 0.03, 0.06, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 10.0];

/// Figures of an instance. Counters rise from 0 at the start of the process.
pub struct Metrics {
    registry: Registry,
    // Keeps the exporter alive.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    request_seconds: Histogram<f64>,
    orders: Counter<u64>,
    order_seconds: Histogram<f64>,
    append_seconds: Histogram<f64>,
    appends: Counter<u64>,
    advice: Counter<u64>,
    heartbeats: Counter<u64>,
    desired_reads: Counter<u64>,
    desired_version: Gauge<u64>,
    workers_reads: Counter<u64>,
    workers_lost: Counter<u64>,
    jobs_failed: Counter<u64>,
    takeovers: Counter<u64>,
    leads: Gauge<u64>,
    behind_seconds: Gauge<f64>,
    pressure: Gauge<u64>,
    dropped_lines: Gauge<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Figures that are all 0.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build();
        let provider = match exporter {
            Ok(exporter) => SdkMeterProvider::builder().with_reader(exporter).build(),
            Err(err) => {
                log::error!(error:% = err; "metrics can't be exported");
                SdkMeterProvider::builder().build()
            }
        };
        let meter = provider.meter("lilacpass");
        let seconds = |name: &'static str| {
            meter.f64_histogram(name).with_boundaries(TIME_BOUNDS_S.to_vec()).build()
        };
        Self {
            requests: meter.u64_counter("lilacpass_requests").build(),
            request_seconds: seconds("lilacpass_request_seconds"),
            orders: meter.u64_counter("lilacpass_orders").build(),
            order_seconds: seconds("lilacpass_order_seconds"),
            append_seconds: seconds("lilacpass_append_seconds"),
            appends: meter.u64_counter("lilacpass_appends").build(),
            advice: meter.u64_counter("lilacpass_advice_calls").build(),
            heartbeats: meter.u64_counter("lilacpass_greetings").build(),
            desired_reads: meter.u64_counter("lilacpass_desired_reads").build(),
            desired_version: meter.u64_gauge("lilacpass_desired_version").build(),
            workers_reads: meter.u64_counter("lilacpass_workers_reads").build(),
            workers_lost: meter.u64_counter("lilacpass_workers_lost").build(),
            jobs_failed: meter.u64_counter("lilacpass_jobs_failed").build(),
            takeovers: meter.u64_counter("lilacpass_takeovers").build(),
            leads: meter.u64_gauge("lilacpass_leads").build(),
            behind_seconds: meter.f64_gauge("lilacpass_leader_behind_seconds").build(),
            pressure: meter.u64_gauge("lilacpass_leader_pressure").build(),
            dropped_lines: meter.u64_gauge("lilacpass_dropped_log_lines").build(),
            registry,
            _provider: provider,
        }
    }

    /// A request of a caller was answered.
    pub fn request(&self, status: StatusCode, took: Duration) {
        let status = KeyValue::new("status", i64::from(status.as_u16()));
        self.requests.add(1, &[status]);
        self.request_seconds.record(took.as_secs_f64(), &[]);
    }

    /// An order to a worker has ended.
    pub fn order(&self, order: &'static str, outcome: &'static str, took: Duration) {
        let order = KeyValue::new("order", order);
        self.orders.add(1, &[order.clone(), KeyValue::new("outcome", outcome)]);
        self.order_seconds.record(took.as_secs_f64(), &[order]);
    }

    /// An append has ended.
    pub fn append(&self, outcome: &'static str, took: Duration) {
        self.appends.add(1, &[KeyValue::new("outcome", outcome)]);
        self.append_seconds.record(took.as_secs_f64(), &[]);
    }

    /// A call for advice has ended.
    pub fn advice(&self, outcome: &'static str) {
        self.advice.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// A greeting to the leader has ended.
    pub fn heartbeat(&self, outcome: &'static str) {
        self.heartbeats.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// A read of the desired state has ended. `source` is the store or another instance.
    pub fn desired_read(&self, source: &'static str, outcome: &'static str) {
        let source = KeyValue::new("source", source);
        self.desired_reads.add(1, &[source, KeyValue::new("outcome", outcome)]);
    }

    /// A desired state was taken in.
    pub fn desired_version(&self, version: u64) {
        self.desired_version.record(version, &[]);
    }

    /// A read of the registered workers has ended: of all, or of changes.
    pub fn workers_read(&self, what: &'static str, outcome: &'static str) {
        let what = KeyValue::new("what", what);
        self.workers_reads.add(1, &[what, KeyValue::new("outcome", outcome)]);
    }

    /// This instance took over.
    pub fn took_over(&self) {
        self.takeovers.add(1, &[]);
        self.leads.record(1, &[]);
    }

    /// How far this instance is behind as the leader, and what it does about that.
    pub fn pressure(&self, level: Level, behind: Duration) {
        let level = match level {
            Level::KeepsUp => 0,
            Level::Behind => 1,
            Level::Refuses => 2,
        };
        self.pressure.record(level, &[]);
        self.behind_seconds.record(behind.as_secs_f64(), &[]);
    }

    /// What has happened in the cell since this was last told.
    pub fn record_counters(&self, tally: &Counters) {
        for loss in WorkerLoss::ALL {
            let how = KeyValue::new("how", loss.as_str());
            self.workers_lost.add(tally.workers_lost(loss), &[how]);
        }
        for cause in Cause::ALL {
            let kind = KeyValue::new("cause", cause.as_str());
            self.jobs_failed.add(tally.jobs_failed(cause), &[kind]);
        }
    }

    /// This instance leads no more.
    pub fn leadership_lost(&self) {
        self.leads.record(0, &[]);
        self.pressure(Level::KeepsUp, Duration::ZERO);
    }

    /// All figures as text.
    pub fn reply(&self, path: &str) -> Reply {
        if path != PATH {
            return Reply::error(StatusCode::NOT_FOUND, "no such path");
        }
        self.dropped_lines.record(logging::dropped(), &[]);
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => Reply::body(StatusCode::OK, Bytes::from(text)),
            Err(err) => Reply::error(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
        }
    }
}

/// The outcome of a call for metrics.
pub fn outcome<T, E>(result: &Result<T, E>) -> &'static str {
    if result.is_ok() { "ok" } else { "failed" }
}
