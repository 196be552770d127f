//! From the end of a call to a verdict.

use lilacpass_control::event::{CallFailure, FailureKind};
use lilacpass_core::Verdict;
use tonic::{Code, Status};

use crate::link::trace::{CallTrace, Progress};

/// A failure before anything was sent: no connection.
pub fn connect(detail: impl ToString) -> CallFailure {
    not_run(FailureKind::Connect, detail)
}

/// The permission to send ended before the bytes left.
pub fn lapsed() -> CallFailure {
    not_run(FailureKind::PermitLapsed, "the permission to send had lapsed")
}

/// An answer that can't be the answer to the call.
pub fn broken(detail: impl ToString) -> CallFailure {
    may_have_run(FailureKind::Broken, detail)
}

/// The failure of a call that got no answer in time.
pub fn timeout(trace: &CallTrace) -> CallFailure {
    match trace.progress() {
        Progress::Waiting => connect("no connection in time"),
        Progress::NotSent => connect("connection closed before the call was sent"),
        Progress::Lapsed => lapsed(),
        Progress::Handed => may_have_run(FailureKind::Timeout, "no answer in time"),
    }
}

/// The failure of a call that ended with `status`.
///
/// Only a bare status of the callee that says "refused before any effect" counts as not run. The
/// same codes also arise on this side, from a reset connection for one; those don't come as bare
/// status.
pub fn status(status: &Status, trace: &CallTrace) -> CallFailure {
    match trace.progress() {
        Progress::Waiting => connect(status.message()),
        Progress::NotSent => connect("connection closed before the call was sent"),
        Progress::Lapsed => lapsed(),
        Progress::Handed if trace.bare_status() && is_refusal(status.code()) => {
            not_run(FailureKind::Refused, status.message())
        }
        Progress::Handed if is_timeout(status.code()) => {
            may_have_run(FailureKind::Timeout, status.message())
        }
        Progress::Handed => {
            let detail = format!("{:?}: {}", status.code(), status.message());
            may_have_run(FailureKind::Broken, detail)
        }
    }
}

fn is_refusal(code: Code) -> bool {
    matches!(code, Code::FailedPrecondition | Code::ResourceExhausted | Code::Unauthenticated)
}

fn is_timeout(code: Code) -> bool {
    matches!(code, Code::DeadlineExceeded)
}

fn not_run(kind: FailureKind, detail: impl ToString) -> CallFailure {
    CallFailure { verdict: Verdict::NotRun, kind, detail: detail.to_string() }
}

fn may_have_run(kind: FailureKind, detail: impl ToString) -> CallFailure {
    CallFailure { verdict: Verdict::MayHaveRun, kind, detail: detail.to_string() }
}
