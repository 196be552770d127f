//! Checks of the format and range of single values.

use std::net::SocketAddr;

use lilacpass_core::ids::KindId;

use crate::{access, problem::Problem};

/// Valid range of an integer field of an entry, with both bounds included.
pub(super) struct Range {
    pub(super) member: &'static str,
    pub(super) unit: &'static str,
    pub(super) min: u64,
    pub(super) max: u64,
}

const fn range(member: &'static str, unit: &'static str, min: u64, max: u64) -> Range {
    Range { member, unit, min, max }
}

pub(super) const CPU: Range = range("cpu_milli", "thousandths of a core", 1, 10_000_000);
pub(super) const MEMORY: Range = range("memory_mib", "MiB", 1, 1 << 30);
pub(super) const ACCELERATORS: Range = range("accelerators", "", 0, 1_024);
pub(super) const SLOTS: Range = range("slots", "", 1, 65_536);
pub(super) const CONNECTIONS: Range = range("connections", "", 1, 65_536);
pub(super) const DEADLINE: Range = range("default_deadline_ms", "ms", 1, 86_400_000);
pub(super) const RATE_LIMIT: Range = range("rate_limit_per_s", "per second", 0, 1_000_000);
pub(super) const TASKS: Range = range("tasks", "", 1, 100_000);
pub(super) const RUN: Range = range("run_ms", "ms", 0, 31_536_000_000);
pub(super) const RESERVE: Range = range("urgent_reserve_permille", "parts per thousand", 0, 1_000);
pub(super) const AGING: Range = range("batch_aging_s", "s", 0, 31_536_000);
pub(super) const QUARANTINE: Range =
    range("quarantine_cap_permille", "parts per thousand", 0, 1_000);
pub(super) const ATTEMPTS: Range = range("max_attempts", "", 0, 1_000);
pub(super) const PRIORITY: Range = range("priority", "", 0, 1_000_000);
pub(super) const EXPIRY: Range = range("expires_unix_s", "s since 1970", 0, 1 << 40);

/// Maximum size of the payload of standing work, in bytes.
const MAX_PAYLOAD_LEN: usize = 65_536;

impl Range {
    /// Returns a problem if `value` is out of range.
    pub(super) fn check(&self, value: u64) -> Option<Problem> {
        let ok = (self.min..=self.max).contains(&value);
        (!ok).then(|| Problem::out_of_range(self.member, value, (self.min, self.max), self.unit))
    }
}

/// Returns a problem if a name is empty, too long or contains an invalid character.
pub(super) fn name(member: &str, value: &str) -> Option<Problem> {
    // Names of all kinds have the same format, so any type of id can check it.
    let ok = value.parse::<KindId>().is_ok();
    (!ok).then(|| {
        let allowed = "1 to 128 letters, digits and - _ . / :";
        let message = format!("must be a name of {allowed}");
        let problem = Problem::new(member, message).with_allowed(allowed);
        problem.with_value(format_args!("{value:?}"))
    })
}

/// Like [`name`], but the name may be empty.
pub(super) fn optional_name(member: &str, value: &str) -> Option<Problem> {
    if value.is_empty() { None } else { name(member, value) }
}

/// Returns whether `value` is an address that can be connected to, written in its canonical form. Requiring the
/// canonical form ensures that two workers have the same address only if the texts are equal.
pub(super) fn is_address(value: &str) -> bool {
    value.parse().is_ok_and(|address: SocketAddr| {
        let ip = address.ip();
        let usable = address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
        usable && ip.to_canonical() == ip && address.to_string() == value
    })
}

/// Returns the problem for an address that [`is_address`] rejects.
pub(super) fn bad_address(value: &str) -> Problem {
    Problem::new("address", "must be IP:port of one worker, such as 192.0.2.10:7100")
        .with_allowed("IP:port")
        .with_value(format_args!("{value:?}"))
}

/// Returns a problem if a payload is too large to be stored in the configuration.
pub(super) fn payload(value: &str) -> Option<Problem> {
    (value.len() > MAX_PAYLOAD_LEN).then(|| {
        let allowed = format!("at most {MAX_PAYLOAD_LEN} bytes");
        let message = format!("must be {allowed}, is {}", value.len());
        Problem { unit: "bytes", allowed, ..Problem::new("spec.payload", message) }
    })
}

/// Returns a problem if `value` is not a hash of the form that [`access::hash_token`] generates. The problem does not
/// show the value.
pub(super) fn token_hash(value: &str) -> Option<Problem> {
    (!access::is_token_hash(value)).then(|| {
        let allowed = "$argon2id$ hash in PHC string form";
        Problem::new("hash", format!("must be an {allowed}, as made by `lilacpass token`"))
            .with_allowed(allowed)
    })
}
