//! Figures for `/metrics`, in the Prometheus text format.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use lilacpass_control::Counters;
use lilacpass_core::{Class, Verdict};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use quick_error::quick_error;

/// Stands before the name of each figure.
const PREFIX: &str = "lilacpass";

/// Bounds of time histograms, in seconds: fine where a person waits, coarse for a night.
const TIME_BOUNDS_S: [f64; 19] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
    300.0, 1_800.0, 14_400.0,
];

/// Figures of the state machine that go up and down; all others only grow.
const GAUGES: [&str; 14] = [
    "watchers_silent",
    "streams_stranded",
    "shards_held",
    "workers_serving",
    "workers_silent",
    "workers_quarantined",
    "peers_alive",
    "revision",
    "log_reachable",
    "queued_urgent",
    "jobs_waiting",
    "jobs_active",
    "given_cpu_milli",
    "free_cpu_milli",
];

quick_error! {
    /// Why there are no figures.
    #[derive(Debug)]
    pub enum MetricsError {
        /// The exporter could not be set up.
        Setup(detail: String) {
            display("can't set up metrics: {detail}")
        }
        /// The figures could not be written as text.
        Encode(detail: String) {
            display("can't write metrics: {detail}")
        }
    }
}

/// All figures of this process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    meter: Meter,
    waiting: Histogram<f64>,
    answering: Histogram<f64>,
    ended: Counter<u64>,
    refused: Counter<u64>,
}

impl Metrics {
    /// Sets up the figures that events feed.
    ///
    /// # Errors
    ///
    /// The exporter could not be set up.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(PREFIX)
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .map_err(|error| MetricsError::Setup(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("lilacpassd");
        let times = |name, description| {
            let histogram = meter.f64_histogram(name).with_unit("s");
            histogram.with_description(description).with_boundaries(TIME_BOUNDS_S.into()).build()
        };
        let waiting = times("waiting", "Time that work waited from its arrival to its start");
        let answering =
            times("answering", "Time from the arrival of an HTTP request to its answer");
        let ended = meter.u64_counter("ended").with_description("Ended work, by verdict").build();
        let refused = meter
            .u64_counter("http_refused")
            .with_description("HTTP requests that the front refused, by status")
            .build();
        Ok(Self { registry, provider, meter, waiting, answering, ended, refused })
    }

    /// Notes how long a piece of work has waited.
    pub fn waited(&self, class: Class, waited: Duration) {
        self.waiting.record(waited.as_secs_f64(), &[KeyValue::new("class", class.as_str())]);
    }

    /// Notes the end of a piece of work.
    pub fn ended(&self, class: Class, verdict: Verdict) {
        let class = KeyValue::new("class", class.as_str());
        self.ended.add(1, &[class, KeyValue::new("verdict", verdict.as_str())]);
    }

    /// Notes the answer to an HTTP request.
    pub fn answered(&self, route: &'static str, status: u16, took: Duration) {
        let status = KeyValue::new("status", i64::from(status));
        self.answering.record(took.as_secs_f64(), &[KeyValue::new("route", route), status]);
    }

    /// Notes a request that never reached the state machine.
    pub fn refused(&self, status: u16) {
        self.refused.add(1, &[KeyValue::new("status", i64::from(status))]);
    }

    /// Shows the figures of the state machine.
    pub fn watch_counters(&self, counters: &Arc<Counters>) {
        counters.each(|name, description, _| {
            let counters = counters.clone();
            let value = move || counter_value(&counters, name);
            if GAUGES.contains(&name) {
                self.watch_gauge(name, description, value);
            } else {
                self.watch_total(name, description, value);
            }
        });
    }

    /// Shows a figure that goes up and down.
    pub fn watch_gauge(
        &self,
        name: &'static str,
        description: &'static str,
        value: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let gauge = self.meter.u64_observable_gauge(name).with_description(description);
        gauge.with_callback(move |observer| observer.observe(value(), &[])).build();
    }

    /// Shows a figure that only grows.
    pub fn watch_total(
        &self,
        name: &'static str,
        description: &'static str,
        value: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let counter = self.meter.u64_observable_counter(name).with_description(description);
        counter.with_callback(move |observer| observer.observe(value(), &[])).build();
    }

    /// Shows a time that only grows.
    pub fn watch_time(
        &self,
        name: &'static str,
        description: &'static str,
        value: impl Fn() -> Duration + Send + Sync + 'static,
    ) {
        let counter = self.meter.f64_observable_counter(name).with_unit("s");
        let counter = counter.with_description(description);
        counter.with_callback(move |observer| observer.observe(value().as_secs_f64(), &[])).build();
    }

    /// Shows the bytes that went over connections of one kind.
    pub fn watch_bytes(&self, kind: &'static str, bytes: &Arc<crate::link::stream::ByteCounts>) {
        let bytes = bytes.clone();
        let name = format!("{kind}_link");
        let counter = self.meter.u64_observable_counter(name).with_unit("By");
        let counter = counter.with_description("Bytes over connections that this instance opened");
        counter
            .with_callback(move |observer| {
                let direction = |name| [KeyValue::new("direction", name)];
                observer.observe(bytes.sent.load(Ordering::Relaxed), &direction("sent"));
                observer.observe(bytes.received.load(Ordering::Relaxed), &direction("received"));
            })
            .build();
    }

    /// All figures as text.
    ///
    /// # Errors
    ///
    /// A figure could not be written.
    pub fn text(&self) -> Result<String, MetricsError> {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .map_err(|error| MetricsError::Encode(error.to_string()))
    }
}

impl Drop for Metrics {
    fn drop(&mut self) {
        // Nothing is sent anywhere; a failure here has no consequence.
        let _ = self.provider.shutdown();
    }
}

fn counter_value(counters: &Counters, wanted: &str) -> u64 {
    let mut found = 0;
    counters.each(|name, _, value| {
        if name == wanted {
            found = value;
        }
    });
    found
}
