//! What to do after an attempt failed: retry elsewhere, or end with a verdict.
//!
//! Retries are decided in one place only, the entry instance that took the request.

use std::time::Duration;

use lilacpass_core::Verdict;

use crate::budget::RetryBudget;

/// What went wrong with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// The holder or the worker answered that it does not start the task.
    Refused,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke, or went silent and was closed.
    ConnectionLost,
    /// The attempt took longer than it may.
    TimedOut,
    /// The answer was not whole or could not be decoded.
    BadAnswer,
    /// The worker reported that the task ran and failed.
    TaskFailed,
}

impl Failure {
    /// All failures.
    pub const ALL: [Self; 6] = [
        Self::Refused,
        Self::ConnectFailed,
        Self::ConnectionLost,
        Self::TimedOut,
        Self::BadAnswer,
        Self::TaskFailed,
    ];
}

/// How far the attempt had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Nothing of it was handed to a connection.
    Queued,
    /// Some of it was handed to a connection; nothing came back.
    Sent,
    /// The worker said that it started, or some of the answer came back.
    Started,
}

impl Phase {
    /// All phases.
    pub const ALL: [Self; 3] = [Self::Queued, Self::Sent, Self::Started];
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Next {
    /// Try another holder or worker.
    RetryElsewhere,
    /// Answer the caller with this verdict.
    End(Verdict),
}

/// Whether the failed attempt may have run.
///
/// | failure        | queued  | sent         | started      |
/// |----------------|---------|--------------|--------------|
/// | refused        | not run | not run      | may have run |
/// | connect failed | not run | may have run | may have run |
/// | lost, timeout  | not run | may have run | may have run |
/// | bad answer     | not run | may have run | may have run |
/// | task failed    | ran     | ran          | ran          |
///
/// A refusal after a start contradicts itself, so it proves nothing. A report that the task ran
/// counts in any phase.
pub fn verdict(failure: Failure, phase: Phase) -> Verdict {
    match (failure, phase) {
        (Failure::TaskFailed, _) => Verdict::Ran,
        (_, Phase::Queued) | (Failure::Refused, Phase::Sent) => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}

/// The verdict over two attempts of one request: the one that admits more.
pub fn combine(earlier: Verdict, later: Verdict) -> Verdict {
    earlier.max(later)
}

/// Decides what follows on a failed attempt, and pays for the retry out of `budget`.
///
/// `remaining` is the time left before the deadline of the caller. The verdict is that of this
/// attempt alone; [`combine`] it with those of earlier attempts.
pub fn after_failure(
    failure: Failure,
    phase: Phase,
    idempotent: bool,
    budget: &mut RetryBudget,
    remaining: Duration,
) -> Next {
    let verdict = verdict(failure, phase);
    let may_repeat = idempotent || verdict == Verdict::NotRun;
    if may_repeat && !remaining.is_zero() && budget.try_spend() {
        Next::RetryElsewhere
    } else {
        Next::End(verdict)
    }
}
