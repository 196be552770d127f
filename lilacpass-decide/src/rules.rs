//! The rules that operators set for the decisions.

use std::time::Duration;

use lilacpass_core::{
    Resources,
    ids::{AccountId, TeamId},
    size::PerSecond,
};

/// The part of the cell that one team may count on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamShare {
    /// The team.
    pub team: TeamId,
    /// Its quota over the whole cell. A resource left at zero is not counted, unless all are zero.
    pub quota: Resources,
    /// Whether it may use more than its quota while others leave room idle.
    pub may_borrow: bool,
    /// The most requests a second that one holder takes from it, where it is limited.
    pub rate_limit: Option<PerSecond>,
}

/// The rules in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The teams with a quota. Any other team only borrows.
    pub teams: Vec<TeamShare>,
    /// Accounts that go first within their team; the greater priority goes first, 0 is the default.
    pub accounts: Vec<(TeamId, AccountId, u32)>,
    /// Room kept free of batch work, in thousandths of the capacity; `None` sizes it from the
    /// recent peak of urgent work.
    pub urgent_reserve_permille: Option<u32>,
    /// How long batch work waits before it takes its turn among more urgent classes.
    pub batch_aging: Duration,
    /// Whether a non-idempotent task that can't be checkpointed may be preempted.
    pub preempt_non_idempotent: bool,
    /// Whether a task may be throttled to free a part of its processors; default no. What a worker
    /// was told to give to a task stays what it reports, so that the next holder would count the
    /// whole, and the sum given would be above what the worker has.
    pub throttle: bool,
    /// The most workers in quarantine at once, in thousandths of the workers of a pool; one worker
    /// of two or more may always be in quarantine unless this is 0.
    pub quarantine_cap_permille: u32,
}

impl Default for Policy {
    /// No teams, a reserve sized from peaks, ageing after 10 minutes, a quarter in quarantine.
    fn default() -> Self {
        Self {
            teams: Vec::new(),
            accounts: Vec::new(),
            urgent_reserve_permille: None,
            batch_aging: Duration::from_secs(600),
            preempt_non_idempotent: false,
            throttle: false,
            quarantine_cap_permille: 250,
        }
    }
}

/// The rules for one preemption.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rules {
    /// Whether a non-idempotent task that can't be checkpointed may be stopped.
    pub preempt_non_idempotent: bool,
    /// Whether a task may be throttled to free a part of its processors.
    pub throttle: bool,
}

impl Policy {
    /// The part of the rules that a preemption needs.
    pub fn preemption(&self) -> Rules {
        Rules { preempt_non_idempotent: self.preempt_non_idempotent, throttle: self.throttle }
    }
}
