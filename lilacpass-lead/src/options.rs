//! Time limits of the leader with their reasons, and the options that are only changed for comparisons.

use std::{fmt, str::FromStr};

use lilacpass_jobs::WorkerName;

use crate::event::Now;

/// Options of the leader. All times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Duration to which each call to a worker extends the leases there. It must be longer than a take-over, which
    /// takes about 2 s, with time to spare, but short, because the work on a dead worker can only restart once its
    /// leases have expired.
    pub lease_ms: u64,
    /// Duration of the leases on a draining worker. Once such a worker is unresponsive and unregistered, it has either
    /// left or is cut off and keeps working. Its tasks can start elsewhere only after its leases have expired, so these
    /// are short, but long enough for a take-over.
    pub draining_lease_ms: u64,
    /// The longest lease that a worker grants; it shortens longer ones.
    pub longest_lease_ms: u64,
    /// Time for which a leader keeps extending leases after the store last confirmed that it leads. The store may be
    /// down for this long before accepted work is stopped.
    pub unconfirmed_lease_ms: u64,
    /// Maximum time for which a worker may hold a poll until a run ends there. Half of the lease time that remains
    /// after the longest wait must be enough for the next poll.
    pub poll_wait_ms: u64,
    /// Replaces `poll_wait_ms` while responses get lost. If a response is lost, the leader learns of a task's end later
    /// by this time plus `poll_answer_lossy_ms`.
    pub poll_wait_lossy_ms: u64,
    /// Time that the response to a poll may take in addition to its wait. Healthy workers respond within 5 ms; a slow
    /// link or a busy instance adds tens of ms, a slow instance some hundreds.
    pub poll_answer_ms: u64,
    /// Replaces `poll_answer_ms` while responses get lost.
    pub poll_answer_lossy_ms: u64,
    /// Pause after a failed poll before the next one.
    pub poll_retry_ms: u64,
    /// Minimum pause between polls of a worker whose reported ends are not stored yet. It is still polled because it
    /// may report the ends of other tasks. An ordinary append takes 8 ms, a slow one 0.7 s.
    pub poll_unrecorded_min_ms: u64,
    /// Maximum of that pause, which grows with the number of workers.
    pub poll_unrecorded_max_ms: u64,
    /// Pause before a stop order that got no response is sent again.
    pub stop_retry_ms: u64,
    /// Time for which no run is started on a worker that has just refused an order or not responded.
    pub worker_avoidance_ms: u64,
    /// Time for which the store may refuse all appends before jobs that wait to be stored are refused. A client that
    /// retries after a second is served sooner than one that waits for the end of an outage.
    pub store_refusal_limit_ms: u64,
    /// The same limit while the store does not respond at all. A slow store takes up to 0.6 s for an append, and twice
    /// that for one that waits for another.
    pub store_unresponsive_limit_ms: u64,
    /// Time for which the state of an ended job can still be queried.
    pub retention_ms: u64,
    /// Subtracted from the validity of a ticket to allow for the transmission of the start order.
    pub ticket_margin_ms: u64,
    /// Memory that all jobs may take up by estimate, in bytes, open ones and those that are retained. New jobs are refused
    /// above it.
    pub max_job_bytes: u64,
    /// How a worker is chosen among those with enough free capacity. Strategies other than the default are for
    /// comparisons only.
    pub placement: Placement,
    /// A mechanism that is disabled to measure its benefit; `None` in production.
    pub disabled_mechanism: Option<Mechanism>,
}

impl Options {
    /// Returns when the leases of a leader that granted the last one at `last_granted_ms` have certainly expired. Both
    /// times are on the clock of the leader that asks.
    pub fn leases_expire_by_ms(&self, last_granted_ms: u64) -> u64 {
        // A leader may have read the clock of a worker that long before it granted the lease.
        last_granted_ms + max_lease_ms(self.lease_ms, self.unconfirmed_lease_ms)
    }

    /// Returns when the longest lease that a worker grants has certainly expired, if it was granted at `granted_ms`. An
    /// order that was meant for another incarnation of the worker may grant it, as the clocks of the two differ.
    pub fn longest_lease_expires_by_ms(&self, granted_ms: u64) -> u64 {
        granted_ms + max_lease_ms(self.longest_lease_ms, 0)
    }

    /// Returns whether orders for a former incarnation of a worker may have granted leases to `incarnation` that last. That
    /// is the case if it began less than [`RESTART_EFFECT_MS`] before `now`, or later by this clock, which may be behind.
    pub fn may_hold_longest_lease(&self, incarnation: &WorkerName, now: Now) -> bool {
        incarnation
            .started_ms()
            .is_some_and(|started_ms| now.unix_ms.saturating_sub(started_ms) < RESTART_EFFECT_MS)
    }

    /// Returns whether a mechanism is enabled.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        self.disabled_mechanism != Some(mechanism)
    }
}

/// How a worker is chosen among those with enough free capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// The worker with the best [`crate::place::Score`].
    #[default]
    BestScore,
    /// The first worker by name.
    FirstFit,
    /// The worker with the largest free share of its CPU.
    LeastLoaded,
    /// A random worker.
    Random,
    /// The less loaded of two random workers.
    TwoChoices,
}

impl Placement {
    /// All placement strategies.
    pub const ALL: [Self; 5] =
        [Self::BestScore, Self::FirstFit, Self::LeastLoaded, Self::Random, Self::TwoChoices];

    /// Returns the name by which it is printed and parsed.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BestScore => "suited",
            Self::FirstFit => "first-fit",
            Self::LeastLoaded => "least-loaded",
            Self::Random => "random",
            Self::TwoChoices => "two-choices",
        }
    }
}

/// A mechanism that the leader uses beyond scheduling in order. Each one can be disabled separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Work that saves checkpoints is preempted for more urgent work.
    Preemption,
    /// Capacity is reserved in advance for the steps that have waited longest.
    AdvanceReservations,
    /// Advice for the next steps of a job is requested while a step is ending.
    NextStepAdvice,
    /// Workers on which tasks keep failing get no work for a while.
    Quarantine,
    /// Runs that are stuck, slow or unresponsive are replaced.
    Replacement,
    /// The tasks of a job run in one home data centre.
    Home,
    /// A leader that is late accepts a share of the new jobs only.
    Admission,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 7] = [
        Self::Preemption,
        Self::AdvanceReservations,
        Self::NextStepAdvice,
        Self::Quarantine,
        Self::Replacement,
        Self::Home,
        Self::Admission,
    ];

    /// Returns the name by which it is printed and parsed.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Preemption => "preemption",
            Self::AdvanceReservations => "room-ahead",
            Self::NextStepAdvice => "next-step-advice",
            Self::Quarantine => "quarantine",
            Self::Replacement => "replacement",
            Self::Home => "home",
            Self::Admission => "admission",
        }
    }
}

/// Implements `Display` and `FromStr` with the name that `as_str` returns.
macro_rules! impl_name_conversions {
    ($name:ident) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl FromStr for $name {
            type Err = String;

            fn from_str(s: &str) -> Result<Self, String> {
                let known = Self::ALL.into_iter().find(|value| value.as_str() == s);
                known.ok_or_else(|| format!("{s:?} is not known"))
            }
        }
    };
}

impl_name_conversions!(Placement);
impl_name_conversions!(Mechanism);

impl Default for Options {
    fn default() -> Self {
        Self {
            lease_ms: 5_000,
            draining_lease_ms: 2_000,
            longest_lease_ms: 10_000,
            unconfirmed_lease_ms: 7_000,
            poll_wait_ms: 800,
            poll_wait_lossy_ms: 300,
            poll_answer_ms: 400,
            poll_answer_lossy_ms: 200,
            poll_retry_ms: 250,
            poll_unrecorded_min_ms: 100,
            poll_unrecorded_max_ms: 400,
            stop_retry_ms: 400,
            worker_avoidance_ms: 1_000,
            store_refusal_limit_ms: 700,
            store_unresponsive_limit_ms: 1_500,
            retention_ms: 150_000,
            ticket_margin_ms: 150,
            max_job_bytes: u64::MAX,
            placement: Placement::default(),
            disabled_mechanism: None,
        }
    }
}

/// The monotonic clock of a worker may be slow by this share, in percent, so its leases last longer by the leader's
/// clock.
const WORKER_CLOCK_SLOW_PERCENT: u64 = 2;
/// Added to each upper bound of a lease, in ms, for the rounding of clocks to whole milliseconds and for the time
/// between reading the clock and sending.
const LEASE_MARGIN_MS: u64 = 100;

/// Time in ms after the start of an incarnation for which leases may last that orders for its predecessor granted. Such an
/// order arrives within 12 s, and the lease lasts for 10 s; the rest is for clocks that differ.
const RESTART_EFFECT_MS: u64 = 30_000;

/// Returns the maximum time, by the leader's clock, until a lease of `lease_ms` by a worker's clock has expired, if the
/// worker's clock was last read `age_ms` ago.
pub fn max_lease_ms(lease_ms: u64, age_ms: u64) -> u64 {
    let drift_ms = age_ms * WORKER_CLOCK_SLOW_PERCENT / 100;
    // A clock that is 2 % slow takes 100/98 of the time, slightly more than 102 %.
    let slow_ms = (lease_ms + drift_ms) * (100 + WORKER_CLOCK_SLOW_PERCENT + 1) / 100;
    slow_ms + LEASE_MARGIN_MS
}
