//! Settings of one `lilacpassd` process: TOML text to typed values, with defaults and checks.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use lilacpass_core::{
    ids::{DataCentreId, InstanceId},
    size::Bytes,
};
use lilacpass_schema::v1;

use crate::{
    access::PeerKey,
    document::Document,
    problem::{self, Problem},
};

mod fields;

use fields::{Number, Text};

/// Shortest and longest key that peers show each other, in bytes.
const PEER_KEY_LEN: (usize, usize) = (16, 256);

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

/// Description of one setting, for documents and `--help`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldDoc {
    /// Section and key, such as `holding.lease_ms`.
    pub path: &'static str,
    /// Unit of a number; empty for others.
    pub unit: &'static str,
    /// Default as written in TOML; empty where the setting is required.
    pub default: String,
    /// What is allowed, such as `500 to 60000`.
    pub allowed: String,
    /// What it is for.
    pub doc: &'static str,
}

/// Reads settings from TOML text. All problems are reported at once.
pub fn parse(text: &str) -> Result<Settings, Vec<Problem>> {
    let document = Document::parse(text)?;
    let problems = document.verify(&fields::shape());
    problem::unless(problems, ())?;
    let message: v1::Settings = document.decode()?;
    let located = |problem: Problem| {
        let place = document.locate(&problem.field);
        problem.at(place)
    };
    check(&message).map_err(|problems| problem::sorted(problems.into_iter().map(located).collect()))
}

/// Checks settings and applies the defaults.
pub fn check(message: &v1::Settings) -> Result<Settings, Vec<Problem>> {
    let mut reader = Reader::default();
    let v1::Settings { instance, platform, holding, peers, traffic, jobs } = message.clone();
    let instance = reader.instance(&instance.unwrap_or_default());
    let platform = reader.platform(platform.unwrap_or_default());
    let settings = instance.zip(platform).map(|(instance, platform)| Settings {
        instance,
        platform,
        holding: reader.holding(&holding.unwrap_or_default()),
        peers: reader.peers(&peers.unwrap_or_default()),
        traffic: reader.traffic(&traffic.unwrap_or_default()),
        jobs: reader.jobs(&jobs.unwrap_or_default()),
    });
    // A value that is out of range would be told a second time by what it relates to.
    if let Some(settings) = settings.as_ref().filter(|_| reader.problems.is_empty()) {
        reader.relations(settings);
    }
    match settings {
        Some(settings) if reader.problems.is_empty() => Ok(settings),
        _ => Err(reader.problems),
    }
}

/// All settings in the order of the schema's sections.
pub fn describe() -> Vec<FieldDoc> {
    let texts = fields::TEXTS.iter().map(|field| FieldDoc {
        path: field.path,
        unit: "",
        default: field.default.to_owned(),
        allowed: field.form.to_owned(),
        doc: field.doc,
    });
    let numbers = fields::NUMBERS.iter().map(|field| FieldDoc {
        path: field.path,
        unit: field.unit,
        default: field.default.to_string(),
        allowed: format!("{} to {}", field.min, field.max),
        doc: field.doc,
    });
    let mut docs: Vec<_> = texts.chain(numbers).collect();
    let section = |path: &str| path.split('.').next().unwrap_or_default().to_owned();
    let order: Vec<_> = fields::shape().iter().map(|member| member.key).collect();
    docs.sort_by_key(|doc| order.iter().position(|key| *key == section(doc.path)));
    docs
}

/// Reads fields one by one and gathers what is wrong.
#[derive(Default)]
struct Reader {
    problems: Vec<Problem>,
}

impl Reader {
    fn instance(&mut self, message: &v1::InstanceSettings) -> Option<InstanceSettings> {
        let name = self.value(&fields::NAME, &message.name);
        let data_centre = self.value(&fields::DATA_CENTRE, &message.data_centre);
        let http_address = self.value(&fields::HTTP_ADDRESS, &message.http_address);
        let peer_address = self.value(&fields::PEER_ADDRESS, &message.peer_address);
        let peer_key = self.peer_key(&message.peer_key, peer_address);
        Some(InstanceSettings {
            name: name?,
            data_centre: data_centre?,
            http_address: http_address?,
            peer_address: peer_address?,
            peer_key,
        })
    }

    fn platform(&mut self, message: v1::PlatformSettings) -> Option<PlatformSettings> {
        let log_addresses = self.addresses(&fields::LOG_ADDRESSES, &message.log_addresses);
        let list_addresses =
            self.addresses(&fields::LIST_ADDRESSES, &message.instance_list_addresses);
        let stream_prefix = match message.stream_prefix.as_str() {
            "" => fields::STREAM_PREFIX.default,
            prefix => prefix,
        };
        let stream_prefix = self.value::<InstanceId>(&fields::STREAM_PREFIX, stream_prefix);
        Some(PlatformSettings {
            call_timeout: self.ms(&fields::CALL_TIMEOUT, message.call_timeout_ms),
            batch: self.ms(&fields::BATCH, message.batch_ms),
            list_interval: self.ms(&fields::LIST_INTERVAL, message.list_interval_ms),
            snapshot_records: self.number(&fields::SNAPSHOT_RECORDS, message.snapshot_records),
            log_addresses: log_addresses?,
            instance_list_addresses: list_addresses?,
            stream_prefix: stream_prefix?.to_string(),
        })
    }

    fn holding(&mut self, message: &v1::HoldingSettings) -> HoldingSettings {
        HoldingSettings {
            lease: self.ms(&fields::LEASE, message.lease_ms),
            renew: self.ms(&fields::RENEW, message.renew_ms),
            clock_drift_ppm: self.number(&fields::CLOCK_DRIFT, message.clock_drift_ppm),
            start_flight: self.ms(&fields::START_FLIGHT, message.start_flight_ms),
            grant: self.ms(&fields::GRANT, message.grant_ms),
            longest_pause: self.ms(&fields::LONGEST_PAUSE, message.longest_pause_ms),
        }
    }

    fn peers(&mut self, message: &v1::PeerSettings) -> PeerSettings {
        PeerSettings {
            heartbeat: self.ms(&fields::HEARTBEAT, message.heartbeat_ms),
            silent: self.ms(&fields::SILENT, message.silent_ms),
        }
    }

    fn traffic(&mut self, message: &v1::TrafficSettings) -> TrafficSettings {
        TrafficSettings {
            threads: self.count(&fields::THREADS, message.threads),
            max_body: Bytes(self.number(&fields::MAX_BODY, message.max_body_bytes)),
            max_connections: self.count(&fields::MAX_CONNECTIONS, message.max_connections),
            max_queued: self.count(&fields::MAX_QUEUED, message.max_queued),
            max_deadline: self.ms(&fields::MAX_DEADLINE, message.max_deadline_ms),
            retry_budget_percent: self.number(&fields::RETRY_BUDGET, message.retry_budget_percent),
        }
    }

    fn jobs(&mut self, message: &v1::JobSettings) -> JobSettings {
        let keep_ended_s = self.number(&fields::KEEP_ENDED, message.keep_ended_s);
        JobSettings {
            task_lease: self.ms(&fields::TASK_LEASE, message.task_lease_ms),
            hold: self.ms(&fields::HOLD, message.hold_ms),
            keep_ended: Duration::from_secs(keep_ended_s),
            max_result: Bytes(self.number(&fields::MAX_RESULT, message.max_result_bytes)),
            report_wait: self.ms(&fields::REPORT_WAIT, message.report_wait_ms),
        }
    }

    /// What must hold between two settings.
    fn relations(&mut self, settings: &Settings) {
        let Settings { platform, holding, peers, jobs, .. } = settings;
        // A renewal that is lost once must be made up for before the lease ends.
        self.less(&fields::RENEW, holding.renew, "half of holding.lease_ms", holding.lease / 2);
        let left = holding.lease.saturating_sub(holding.renew);
        let rest = "holding.lease_ms less holding.renew_ms";
        self.less(&fields::CALL_TIMEOUT, platform.call_timeout, rest, left);
        self.less(&fields::START_FLIGHT, holding.start_flight, "holding.lease_ms", holding.lease);
        self.less(&fields::HEARTBEAT, peers.heartbeat, "peers.silent_ms", peers.silent);
        self.less(
            &fields::REPORT_WAIT,
            jobs.report_wait,
            "half of jobs.task_lease_ms",
            jobs.task_lease / 2,
        );
        self.less(&fields::LEASE, holding.lease, "holding.longest_pause_ms", holding.longest_pause);
        if holding.grant < peers.heartbeat * 2 {
            let message = "must be at least two times peers.heartbeat_ms, \
                           so that one lost heartbeat doesn't end the grants";
            let problem = Problem::new(fields::GRANT.path, message);
            self.problems.push(problem.with_value(holding.grant.as_millis()));
        }
    }

    fn less(&mut self, field: &Number, value: Duration, of: &str, bound: Duration) {
        if value >= bound {
            let allowed = format!("less than {}", bound.as_millis());
            let message = format!("must be {allowed} ms ({of})");
            let problem = Problem::new(field.path, message).with_value(value.as_millis());
            self.problems.push(Problem { unit: field.unit, allowed, ..problem });
        }
    }

    fn number(&mut self, field: &Number, value: u64) -> u64 {
        if value == 0 {
            return field.default;
        }
        if !(field.min..=field.max).contains(&value) {
            let range = (field.min, field.max);
            self.problems.push(Problem::out_of_range(field.path, value, range, field.unit));
        }
        value
    }

    fn ms(&mut self, field: &Number, value: u64) -> Duration {
        Duration::from_millis(self.number(field, value))
    }

    fn count(&mut self, field: &Number, value: u64) -> usize {
        usize::try_from(self.number(field, value)).unwrap_or(usize::MAX)
    }

    fn value<T: FromStr>(&mut self, field: &Text, value: &str) -> Option<T> {
        let parsed = value.parse().ok();
        if parsed.is_none() {
            let problem = match value {
                "" => Problem::new(field.path, format!("is required: {}", field.form)),
                _ => Problem::new(field.path, format!("must be a valid {}", field.form))
                    .with_value(format_args!("{value:?}")),
            };
            self.problems.push(problem.with_allowed(field.form));
        }
        parsed
    }

    fn addresses(&mut self, field: &Text, values: &[String]) -> Option<Vec<SocketAddr>> {
        if values.is_empty() {
            let problem = Problem::new(field.path, "needs at least one address, as IP:port");
            self.problems.push(problem.with_allowed(field.form));
            return None;
        }
        let parsed: Vec<_> = values.iter().filter_map(|v| self.value(field, v)).collect();
        (parsed.len() == values.len()).then_some(parsed)
    }

    /// Anyone who reaches the peer address could otherwise speak for an entry instance, so only
    /// loopback goes without a key.
    fn peer_key(&mut self, key: &str, address: Option<SocketAddr>) -> Option<PeerKey> {
        let (min, max) = PEER_KEY_LEN;
        let loopback = address.is_none_or(|a| a.ip().is_loopback());
        let message = match key.len() {
            0 if loopback => return None,
            0 => "is required where peer_address is not on loopback",
            len if len < min || len > max => "must be 16 to 256 characters",
            _ => return Some(PeerKey::new(key)),
        };
        let problem = Problem::new(fields::PEER_KEY.path, message);
        self.problems.push(problem.with_allowed(fields::PEER_KEY.form));
        None
    }
}
