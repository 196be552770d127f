//! Converts the settings message to typed values: applies defaults and checks ranges and relations between settings.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use lilacpass_core::{ids::InstanceId, size::Bytes};
use lilacpass_schema::v1;

use super::{
    fields::{self, Number, Text},
    model::{
        HoldingSettings, InstanceSettings, JobSettings, PeerSettings, PlatformSettings, Settings,
        TrafficSettings,
    },
};
use crate::{
    access::PeerKey,
    problem::{self, Problem},
};

/// Minimum and maximum length of a peer key, in bytes.
const PEER_KEY_LEN: (usize, usize) = (16, 256);

/// Checks a settings message and applies the defaults. All problems are returned together.
pub fn check(message: &v1::Settings) -> Result<Settings, Vec<Problem>> {
    let mut reader = Reader::default();
    let message = message.clone();
    let instance = reader.instance(&message.instance.unwrap_or_default());
    let platform = reader.platform(&message.platform.unwrap_or_default());
    let holding = reader.holding(&message.holding.unwrap_or_default());
    let peers = reader.peers(&message.peers.unwrap_or_default());
    let traffic = reader.traffic(&message.traffic.unwrap_or_default());
    let jobs = reader.jobs(&message.jobs.unwrap_or_default());
    let (Some(instance), Some(platform)) = (instance, platform) else {
        return Err(reader.problems);
    };
    let settings = Settings { instance, platform, holding, peers, traffic, jobs };
    // Relations are checked only if all values are in range; otherwise one wrong value could be reported twice.
    if reader.problems.is_empty() {
        reader.check_relations(&settings);
    }
    problem::ok_if_none(reader.problems, settings)
}

/// Reads the fields of the message and collects the problems found.
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

    fn platform(&mut self, message: &v1::PlatformSettings) -> Option<PlatformSettings> {
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

    /// Checks the constraints between settings.
    fn check_relations(&mut self, settings: &Settings) {
        let Settings { platform, holding, peers, jobs, .. } = settings;
        // If one renewal is lost, there must be time for another one before the lease expires.
        self.require_less(
            &fields::RENEW,
            holding.renew,
            "half of holding.lease_ms",
            holding.lease / 2,
        );
        let remaining = holding.lease.saturating_sub(holding.renew);
        let source = "holding.lease_ms less holding.renew_ms";
        self.require_less(&fields::CALL_TIMEOUT, platform.call_timeout, source, remaining);
        self.require_less(
            &fields::START_FLIGHT,
            holding.start_flight,
            "holding.lease_ms",
            holding.lease,
        );
        self.require_less(&fields::HEARTBEAT, peers.heartbeat, "peers.silent_ms", peers.silent);
        self.require_less(
            &fields::REPORT_WAIT,
            jobs.report_wait,
            "half of jobs.task_lease_ms",
            jobs.task_lease / 2,
        );
        self.require_less(
            &fields::LEASE,
            holding.lease,
            "holding.longest_pause_ms",
            holding.longest_pause,
        );
        // A task's lease must not expire before the next holder of its worker has claimed it and renews the lease.
        let third = "a third of jobs.task_lease_ms";
        self.require_less(&fields::LEASE, holding.lease, third, jobs.task_lease / 3);
        if holding.grant < peers.heartbeat * 2 {
            let message = "must be at least two times peers.heartbeat_ms, \
                           so that one lost heartbeat doesn't end the grants";
            let problem = Problem::new(fields::GRANT.path, message);
            self.problems.push(problem.with_value(holding.grant.as_millis()));
        }
    }

    /// Reports a problem unless `value` is less than `bound`, which `source` describes.
    fn require_less(&mut self, field: &Number, value: Duration, source: &str, bound: Duration) {
        if value >= bound {
            let allowed = format!("less than {}", bound.as_millis());
            let message = format!("must be {allowed} ms ({source})");
            let problem = Problem::new(field.path, message).with_value(value.as_millis());
            self.problems.push(Problem { unit: field.unit, allowed, ..problem });
        }
    }

    /// Returns the value of a number, or its default if it is 0. Reports a problem if it is out of range.
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

    /// Returns the value of a setting in milliseconds as a duration.
    fn ms(&mut self, field: &Number, value: u64) -> Duration {
        Duration::from_millis(self.number(field, value))
    }

    /// Returns the value of a setting that is a count.
    fn count(&mut self, field: &Number, value: u64) -> usize {
        usize::try_from(self.number(field, value)).unwrap_or(usize::MAX)
    }

    /// Parses the value of a text setting. Reports a problem if it is missing or malformed.
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

    /// Parses a list of addresses. Reports a problem if it is empty or if an address is malformed.
    fn addresses(&mut self, field: &Text, values: &[String]) -> Option<Vec<SocketAddr>> {
        if values.is_empty() {
            let problem = Problem::new(field.path, "needs at least one address, as IP:port");
            self.problems.push(problem.with_allowed(field.form));
            return None;
        }
        let parsed: Vec<_> = values.iter().filter_map(|v| self.value(field, v)).collect();
        (parsed.len() == values.len()).then_some(parsed)
    }

    /// Reads the peer key, which may be absent only if the peer address is a loopback address. Without a key, anyone
    /// who can reach the address could impersonate an entry instance.
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
