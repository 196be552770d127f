//! The table of all settings with their paths, units, defaults and ranges.
//!
//! It is the single source for the defaults, the checks and the documentation of the settings.

use crate::shape::{self, Member};

/// A setting that is a number.
#[derive(Debug)]
pub(crate) struct Number {
    pub(crate) path: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) default: u64,
    pub(crate) min: u64,
    pub(crate) max: u64,
    pub(crate) doc: &'static str,
}

/// A setting that is a string or a list of strings.
#[derive(Debug)]
pub(crate) struct Text {
    pub(crate) path: &'static str,
    /// Human-readable description of the expected format.
    pub(crate) form: &'static str,
    /// Default value; empty if the setting is required or empty by default.
    pub(crate) default: &'static str,
    pub(crate) kind: TextKind,
    pub(crate) doc: &'static str,
}

/// Type of a text setting in TOML.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TextKind {
    /// A string.
    Single,
    /// A list of strings.
    List,
}

macro_rules! numbers {
    ($($name:ident: $path:literal, $unit:literal, $default:literal, $min:literal..=$max:literal, $doc:literal;)*) => {
        $(pub(crate) const $name: Number = Number {
            path: $path, unit: $unit, default: $default, min: $min, max: $max, doc: $doc,
        };)*
        /// All settings that are numbers.
        pub(crate) const NUMBERS: &[Number] = &[$($name),*];
    };
}

macro_rules! texts {
    ($($name:ident: $path:literal, $kind:ident, $form:literal, $default:literal, $doc:literal;)*) => {
        $(pub(crate) const $name: Text = Text {
            path: $path, kind: TextKind::$kind, form: $form, default: $default, doc: $doc,
        };)*
        /// All settings that are strings.
        pub(crate) const TEXTS: &[Text] = &[$($name),*];
    };
}

texts! {
    NAME: "instance.name", Single, "name", "",
        "Name of this entry instance, as in the instance list.";
    DATA_CENTRE: "instance.data_centre", Single, "name", "",
        "Data centre that this entry instance is in.";
    HTTP_ADDRESS: "instance.http_address", Single, "IP:port", "",
        "Address for callers and operators; port 0 takes a free one.";
    PEER_ADDRESS: "instance.peer_address", Single, "IP:port", "",
        "Address for other entry instances; port 0 takes a free one.";
    PEER_KEY: "instance.peer_key", Single, "16 to 256 characters, empty only on loopback", "",
        "Key that entry instances and the platform show each other.";
    LOG_ADDRESSES: "platform.log_addresses", List, "list of IP:port", "",
        "Addresses of the log service.";
    LIST_ADDRESSES: "platform.instance_list_addresses", List, "list of IP:port", "",
        "Addresses of the instance list.";
    STREAM_PREFIX: "platform.stream_prefix", Single, "name", "lilacpass",
        "Name that stands before the names of this cell's streams.";
}

numbers! {
    CALL_TIMEOUT: "platform.call_timeout_ms", "ms", 1_000, 10..=60_000,
        "Deadline of one call to the platform.";
    BATCH: "platform.batch_ms", "ms", 3, 1..=1_000,
        "How long records of one batch are gathered before they are appended.";
    LIST_INTERVAL: "platform.list_interval_ms", "ms", 1_000, 50..=60_000,
        "How often the instance list is read.";
    SNAPSHOT_RECORDS: "platform.snapshot_records", "records", 20_000, 100..=10_000_000,
        "Records after which a stream is written again as a snapshot.";
    LEASE: "holding.lease_ms", "ms", 2_500, 500..=60_000,
        "Duration of a lease on workers.";
    RENEW: "holding.renew_ms", "ms", 1_000, 50..=30_000,
        "Time between two renewals of a lease; less than half of the lease.";
    CLOCK_DRIFT: "holding.clock_drift_ppm", "ppm", 1_000, 1..=100_000,
        "Largest difference in rate between two clocks.";
    START_FLIGHT: "holding.start_flight_ms", "ms", 500, 10..=30_000,
        "Longest time that a start may be under way between its sending and its arrival.";
    GRANT: "holding.grant_ms", "ms", 2_000, 100..=60_000,
        "Duration of a grant; at least two heartbeats.";
    LONGEST_PAUSE: "holding.longest_pause_ms", "ms", 60_000, 1_000..=3_600_000,
        "Longest pause of a process that clears an old holder once it is off the instance list.";
    HEARTBEAT: "peers.heartbeat_ms", "ms", 1_000, 20..=30_000,
        "Time between two heartbeats to a peer of the same data centre.";
    SILENT: "peers.silent_ms", "ms", 3_000, 50..=300_000,
        "Time without an answer after which a peer counts as unreachable; more than a heartbeat.";
    THREADS: "traffic.threads", "threads", 2, 1..=256,
        "Threads for traffic.";
    MAX_BODY: "traffic.max_body_bytes", "bytes", 1_048_576, 1_024..=67_108_864,
        "Largest request body.";
    MAX_CONNECTIONS: "traffic.max_connections", "connections", 4_096, 1..=1_000_000,
        "Most connections of callers at once.";
    MAX_QUEUED: "traffic.max_queued", "requests", 1_024, 1..=1_000_000,
        "Most quick requests that wait at this instance at once.";
    MAX_DEADLINE: "traffic.max_deadline_ms", "ms", 60_000, 10..=3_600_000,
        "Longest deadline that a caller may set.";
    RETRY_BUDGET: "traffic.retry_budget_percent", "percent", 10, 1..=100,
        "Retries per hundred requests that this instance may make.";
    TASK_LEASE: "jobs.task_lease_ms", "ms", 10_000, 500..=600_000,
        "Duration of a task's lease on its worker; more than three times holding.lease_ms.";
    HOLD: "jobs.hold_ms", "ms", 3_000, 100..=60_000,
        "How long room is set aside while an attempt is written.";
    KEEP_ENDED: "jobs.keep_ended_s", "s", 86_400, 60..=31_536_000,
        "How long results of ended jobs are kept.";
    MAX_RESULT: "jobs.max_result_bytes", "bytes", 65_536, 1_024..=16_777_216,
        "Largest result that is kept.";
    REPORT_WAIT: "jobs.report_wait_ms", "ms", 2_000, 10..=60_000,
        "Longest wait for news in one report call to a worker.";
}

/// Returns the shape of the settings file, with the sections in the order of the schema.
pub(crate) fn shape() -> Vec<Member> {
    ["instance", "platform", "holding", "peers", "traffic", "jobs"]
        .map(|section| shape::table(section, section_members(section)))
        .into()
}

/// Returns the keys of one section.
fn section_members(section: &str) -> Vec<Member> {
    let key_of = |path: &'static str| {
        path.split_once('.').filter(|(prefix, _)| *prefix == section).map(|(_, key)| key)
    };
    let texts = TEXTS.iter().filter_map(|field| {
        let key = key_of(field.path)?;
        Some(match field.kind {
            TextKind::Single => shape::text(key),
            TextKind::List => shape::texts(key),
        })
    });
    let numbers = NUMBERS.iter().filter_map(|field| key_of(field.path).map(shape::whole));
    texts.chain(numbers).collect()
}
