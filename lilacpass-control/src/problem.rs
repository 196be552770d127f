//! Problem documents: the errors that callers and operators see, each with its verdict.

use std::time::Duration;

use lilacpass_core::Verdict;
use lilacpass_schema::v1;

use crate::convert;

/// When a caller should come back while the log service does not answer.
const LOG_DOWN_RETRY: Duration = Duration::from_secs(5);

/// A kind of problem: its name in the `type` member, its title and its HTTP status.
pub(crate) struct Kind {
    name: &'static str,
    title: &'static str,
    status: u32,
}

/// The request itself is wrong; repeating it does not help.
pub(crate) const INVALID: Kind = Kind { name: "invalid", title: "Invalid request", status: 400 };
/// The caller may not do this.
pub(crate) const FORBIDDEN: Kind = Kind { name: "forbidden", title: "Not allowed", status: 403 };
/// There is no such thing.
pub(crate) const NOT_FOUND: Kind = Kind { name: "not-found", title: "Not found", status: 404 };
/// The idempotency key was used with another body.
pub(crate) const KEY_REUSED: Kind =
    Kind { name: "key-reused", title: "Idempotency key used with another body", status: 409 };
/// Another change came first.
pub(crate) const CONFLICT: Kind =
    Kind { name: "revision-conflict", title: "Another change came first", status: 412 };
/// No worker of the inventory could ever hold it.
pub(crate) const NEVER_FITS: Kind =
    Kind { name: "never-fits", title: "No worker can hold this", status: 422 };
/// There is too much work right now.
pub(crate) const OVERLOADED: Kind = Kind { name: "overloaded", title: "Overloaded", status: 429 };
/// The task ran and failed.
pub(crate) const FAILED: Kind =
    Kind { name: "failed", title: "The work ran and failed", status: 502 };
/// The system can't do this now.
pub(crate) const UNAVAILABLE: Kind =
    Kind { name: "unavailable", title: "Not available now", status: 503 };
/// The deadline has passed.
pub(crate) const DEADLINE: Kind = Kind { name: "deadline", title: "Deadline passed", status: 504 };

/// Builds a problem document.
pub(crate) fn problem(kind: &Kind, verdict: Verdict, detail: impl Into<String>) -> v1::Problem {
    v1::Problem {
        r#type: format!("urn:lilacpass:problem:{}", kind.name),
        title: kind.title.to_owned(),
        status: kind.status,
        detail: detail.into(),
        verdict: verdict.as_str().to_owned(),
        ..v1::Problem::default()
    }
}

/// Builds a problem document that tells when coming back helps.
pub(crate) fn retry_later(
    kind: &Kind,
    verdict: Verdict,
    detail: impl Into<String>,
    retry_after: Duration,
) -> v1::Problem {
    v1::Problem { retry_after_ms: convert::millis(retry_after), ..problem(kind, verdict, detail) }
}

/// Builds the problem document for what can't be done while the log service does not answer.
pub(crate) fn log_down(verdict: Verdict, detail: impl Into<String>) -> v1::Problem {
    retry_later(&UNAVAILABLE, verdict, detail, LOG_DOWN_RETRY)
}
