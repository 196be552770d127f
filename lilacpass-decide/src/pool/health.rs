//! What the outcomes of its tasks say about a worker, and the states of its quarantine.

use std::{fmt, time::Duration};

use lilacpass_core::{MonoTime, ids::TaskId};

/// Why a worker is in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It fails work that succeeds elsewhere.
    Fails,
    /// It takes several times as long as other workers.
    Slow,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fails => "fails",
            Self::Slow => "slow",
        })
    }
}

/// Whether a worker may be given work, as far as its health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// It is given work.
    Healthy,
    /// It is given nothing until `until`, then one probe.
    Quarantined { until: MonoTime, reason: Reason },
    /// One idempotent task tries whether it is well again.
    Probing { task: TaskId, reason: Reason },
}

/// The evidence against one worker.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    pub(crate) state: State,
    /// Failures that the kind of work does not explain, in thousandths.
    pub(crate) failures_milli: u32,
    /// Runs that were far slower than the kind of work explains, less the others.
    pub(crate) slow_runs: u32,
    /// The length of the next quarantine.
    pub(crate) backoff: Duration,
}

/// First length of a quarantine; doubled each time that a probe fails.
const MIN_BACKOFF: Duration = Duration::from_secs(5);
/// Greatest length of a quarantine.
const MAX_BACKOFF: Duration = Duration::from_secs(300);
/// Unexplained failures that put a worker into quarantine, in thousandths.
pub(crate) const FAILURES_LIMIT_MILLI: u32 = 3_000;
/// Slow runs that put a worker into quarantine.
pub(crate) const SLOW_LIMIT: u32 = 8;
/// How much one success takes off the unexplained failures, in thousandths.
const SUCCESS_CREDIT_MILLI: u32 = 500;

impl Default for Health {
    fn default() -> Self {
        Self { state: State::Healthy, failures_milli: 0, slow_runs: 0, backoff: MIN_BACKOFF }
    }
}

impl Health {
    /// Whether the worker is in quarantine, a probe included.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.state != State::Healthy
    }

    /// Whether a probe may start at `now`.
    pub(crate) fn probe_due(&self, now: MonoTime) -> bool {
        matches!(self.state, State::Quarantined { until, .. } if until.reached(now))
    }

    /// The reason for the quarantine, where there is one.
    pub(crate) fn reason(&self) -> Option<Reason> {
        match self.state {
            State::Healthy => None,
            State::Quarantined { reason, .. } | State::Probing { reason, .. } => Some(reason),
        }
    }

    /// Counts a success; `slow` where it took far longer than the kind explains.
    pub(crate) fn succeeded(&mut self, slow: bool) {
        self.failures_milli = self.failures_milli.saturating_sub(SUCCESS_CREDIT_MILLI);
        match slow {
            true => self.slow_runs += 1,
            false => self.slow_runs = self.slow_runs.saturating_sub(1),
        }
    }

    /// Counts a failure of which `weight_milli` thousandths are not explained by the work.
    pub(crate) fn failed(&mut self, weight_milli: u32) {
        self.failures_milli = (self.failures_milli + weight_milli).min(2 * FAILURES_LIMIT_MILLI);
    }

    /// What the evidence calls for, in a worker that is not in quarantine.
    pub(crate) fn suspicion(&self) -> Option<Reason> {
        if self.failures_milli >= FAILURES_LIMIT_MILLI {
            Some(Reason::Fails)
        } else if self.slow_runs >= SLOW_LIMIT {
            Some(Reason::Slow)
        } else {
            None
        }
    }

    pub(crate) fn quarantine(&mut self, reason: Reason, now: MonoTime) {
        self.state = State::Quarantined { until: now + self.backoff, reason };
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Ends the quarantine. The backoff stays doubled, so that a worker that fails again soon
    /// stays away for longer.
    pub(crate) fn restore(&mut self) {
        self.state = State::Healthy;
        self.failures_milli = 0;
        self.slow_runs = 0;
    }

    /// Forgets an old backoff after a long run of successes.
    pub(crate) fn relax(&mut self) {
        if self.failures_milli == 0 && self.slow_runs == 0 {
            self.backoff = self.backoff.mul_f64(0.95).max(MIN_BACKOFF);
        }
    }
}
