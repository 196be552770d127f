//! Settings of the holding state machine, and the switches that tests use on its guards.

use std::time::Duration;

/// Durations and bounds of holding. All members of a data centre must use the same values.
#[derive(Clone, Debug)]
pub struct HoldOptions {
    /// How long a holder may give work after it sent a renewal that it has read back.
    /// Default 2500 ms.
    pub lease: Duration,
    /// Time between two renewals. Default 1 s.
    pub renew: Duration,
    /// How far the rate of a member's clock may be off true time, in parts per million.
    /// Default 1000.
    pub clock_drift_ppm: u64,
    /// Longest time from the last check of the permission to the arrival of a start at the worker:
    /// the TCP user timeout of connections to workers, and what the process adds before it.
    /// Default 500 ms.
    pub start_flight: Duration,
    /// Duration of a grant to a peer. Default 2 s.
    pub grant: Duration,
    /// Longest time for which an instance that the platform has given up may still be paused and
    /// then go on. Default 60 s.
    pub longest_pause: Duration,
    /// Longest time that the instance list needs to show an instance. Default 60 s.
    pub list_lag: Duration,
    /// Time after its own entry into the roster during which a member claims nothing, so that
    /// members that start together divide the shards once. Default 300 ms.
    pub settle: Duration,
    /// Time by which the next member in the ranking of a shard waits longer for its turn to claim.
    /// Default 500 ms.
    pub stagger: Duration,
    /// Time after which an append that was not read back is made again. Default 1 s.
    pub retry: Duration,
    /// Most shards that a member hands over at once to even out the load. Default 2.
    pub moves_at_once: usize,
    /// For tests only: guards that can be taken out one by one.
    pub guards: Guards,
}

impl Default for HoldOptions {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(2_500),
            renew: Duration::from_secs(1),
            clock_drift_ppm: 1_000,
            start_flight: Duration::from_millis(500),
            grant: Duration::from_secs(2),
            longest_pause: Duration::from_secs(60),
            list_lag: Duration::from_secs(60),
            settle: Duration::from_millis(300),
            stagger: Duration::from_millis(500),
            retry: Duration::from_secs(1),
            moves_at_once: 2,
            guards: Guards::default(),
        }
    }
}

impl HoldOptions {
    /// How long to wait on the own clock so that `duration` has certainly passed on the clock of
    /// another member. Both may be off by the drift `p` in opposite directions, so the wait is
    /// `(1 + p) / (1 - p)` times as long, which is `1 + 2 p / (1 - p)`.
    pub fn with_margin(&self, duration: Duration) -> Duration {
        if !self.guards.drift_margin {
            return duration;
        }
        const PPM: u128 = 1_000_000;
        let drift = u128::from(self.clock_drift_ppm).min(PPM / 2);
        let margin_us = duration.as_micros() * 2 * drift / (PPM - drift);
        duration + Duration::from_micros(u64::try_from(margin_us).unwrap_or(u64::MAX)) + ROUNDING
    }
}

/// Covers the rounding of times to microseconds.
const ROUNDING: Duration = Duration::from_micros(2);

/// Guards of the state machine. For tests only: with any one of them off, a worker can be given
/// more than it has; the tests show this for each.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// The holder counts its lease from when it sent the renewal, not from when it read it back.
    pub lease_from_sent: bool,
    /// The holder stops giving at the end of its lease.
    pub lease_ends: bool,
    /// A claim is void where the holder has renewed since what the claimant read.
    pub claim_void_after_renew: bool,
    /// A claimant waits for the lease of the holder to lapse.
    pub claim_after_lapse: bool,
    /// Waits for another member's clock are lengthened by the drift.
    pub drift_margin: bool,
    /// A claimant waits until its own grants to the holder have run out.
    pub grants_run_out: bool,
    /// A claim without a release is void where the holder may have the grants of all others
    /// without the claimant.
    pub claimant_known: bool,
    /// A second claim without a release is void before the first is cleared.
    pub one_unclean: bool,
    /// A claimant without a release starts nothing before a report that was taken after the last
    /// start of the old holder arrived.
    pub report_wait: bool,
    /// A new holder after a release starts nothing before a report.
    pub report_after_release: bool,
    /// A holder past its lease keeps to its half.
    pub escrow_half: bool,
    /// A claimant that is not cleared leaves the other half alone.
    pub claimed_half: bool,
    /// A holder that took over from a claimant that was not cleared counts that claimant's tasks
    /// as its own.
    pub inherited_total: bool,
    /// A holder keeps the whole worker only with grants of all members of the roster.
    pub grants_from_all: bool,
    /// Grants count only for the incarnations that they name.
    pub grant_incarnation: bool,
    /// A member grants nothing to the previous holder of a shard that was claimed without a
    /// release and is not cleared.
    pub no_grant_to_replaced: bool,
    /// A member grants nothing to a holder that it has a claim against under way.
    pub no_grant_with_claim_out: bool,
    /// Records of an incarnation count only for that incarnation.
    pub record_incarnation: bool,
    /// A release is written only when the last start has certainly arrived.
    pub release_after_flight: bool,
    /// A member that gets a shard back waits for what it started there in its earlier tenure.
    pub own_last_starts: bool,
    /// What a member that is proved dead did last, starts and grants, is waited for.
    pub last_acts_of_dead: bool,
    /// A member leaves the roster only when its grants have run out.
    pub leave_after_grants: bool,
    /// A member that gave a shard up gives no work there any more.
    pub stop_before_release: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            lease_from_sent: true,
            lease_ends: true,
            claim_void_after_renew: true,
            claim_after_lapse: true,
            drift_margin: true,
            grants_run_out: true,
            claimant_known: true,
            one_unclean: true,
            report_wait: true,
            report_after_release: true,
            escrow_half: true,
            claimed_half: true,
            inherited_total: true,
            grants_from_all: true,
            grant_incarnation: true,
            no_grant_to_replaced: true,
            no_grant_with_claim_out: true,
            record_incarnation: true,
            release_after_flight: true,
            own_last_starts: true,
            last_acts_of_dead: true,
            leave_after_grants: true,
            stop_before_release: true,
        }
    }
}
