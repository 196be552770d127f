//! Fair use of the pool by client accounts while capacity is short.
//!
//! Load pattern: an account with a few wide jobs beside accounts with many small ones. Shares count jobs, so the wide
//! ones are within the share of their account, and all work that was submitted after them waits until they are done.
//!
//! The usage of an account is its dominant share of the pool, integrated over time with exponential decay. Its fair part
//! is a max-min fair division, by weight, of what the accounts that have work use together. While capacity is short,
//! accounts are put into a few bands by the ratio of the two, and the band is a field of
//! [`Rank`](crate::rank::Rank). A few bands with hysteresis change seldom, whereas an order by usage would
//! change with each start.

use std::collections::{BTreeMap, BTreeSet};

use lilacpass_core::Resources;

use crate::accounts::AccountNumber;

/// Time in ms after which usage counts half. A few times the run time of a usual task, so that the usage is that of an
/// account and not that of the tasks that it happens to have running.
pub const HALF_LIFE_MS: u64 = 5_000;
/// Time in ms between two reviews of the bands. Capacity that is freed between two reviews is assigned by the earlier
/// bands, and each review goes through all waiting steps.
pub const REVIEW_INTERVAL_MS: u64 = 500;
/// Time in ms that a step must have waited before capacity counts as short. Workers that have not answered a new leader
/// yet have no free capacity for it.
pub const MIN_SHORTAGE_MS: u64 = 200;
/// Time in ms for which capacity counts as short after a review has last found it so. A pool that is just full would
/// otherwise change all bands with each review.
const SHORTAGE_HOLD_MS: u64 = 1_000;
/// Ratios of usage to fair part above which an account enters the second and third band.
const ENTRY_RATIOS: [f64; 2] = [1.2, 2.2];
/// Ratios at and below which an account leaves the second and third band for the one before. The distance keeps accounts
/// that use alike, but not exactly so, in the first band.
const EXIT_RATIOS: [f64; 2] = [1.0, 1.8];

/// How much an account uses compared with its fair part. Smaller bands are scheduled first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Band(u8);

impl Band {
    /// The band of accounts that use no more than their fair part, and of all work while capacity is not short.
    pub const FIRST: Self = Self(0);
    /// All bands in scheduling order.
    pub const ALL: [Self; 3] = [Self(0), Self(1), Self(2)];

    /// Returns the index of the band, starting from zero.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns the name of the band in logs, metrics and status reports.
    pub fn as_str(self) -> &'static str {
        ["within", "above", "far-above"][self.index()]
    }

    /// Returns the band that follows from the ratio of usage to fair part.
    fn next(self, ratio: f64) -> Self {
        let is_beyond = |index: &usize| {
            let limits = if *index < self.index() { EXIT_RATIOS } else { ENTRY_RATIOS };
            ratio > limits[*index]
        };
        Self((0..ENTRY_RATIOS.len()).take_while(is_beyond).count() as u8)
    }
}

/// What an account uses at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountSample {
    /// The account.
    pub account: AccountNumber,
    /// Its weight.
    pub weight: f64,
    /// Its dominant share of the pool.
    pub share: f64,
}

/// A change of the band of an account, with the inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BandChange {
    /// The account.
    pub account: AccountNumber,
    /// The earlier band.
    pub from: Band,
    /// The new band.
    pub to: Band,
    /// The state that led to it.
    pub state: AccountState,
}

/// The usage of an account and what follows from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountState {
    /// Weight of the account; 0 if it does not take part any more.
    pub weight: f64,
    /// Share of the pool that it uses now.
    pub share: f64,
    /// Share of the pool that it has used, integrated over time.
    pub usage: f64,
    /// Its fair part of the pool as of the last review.
    pub fair_part: f64,
    /// Its band as of the last review.
    pub band: Band,
}

/// The usage and the bands of the accounts that take part: those that the desired state lists with a weight.
#[derive(Debug, Default)]
pub struct FairUse {
    accounts: BTreeMap<AccountNumber, AccountState>,
    /// The capacity that shares are shares of.
    pool: Resources,
    /// Time of the last sample on the monotonic clock.
    sampled_ms: u64,
    /// Time of the next review on the monotonic clock.
    next_review_ms: u64,
    /// Time of the last review that found capacity to be short, on the monotonic clock.
    last_shortage_ms: Option<u64>,
}

impl FairUse {
    /// Returns whether no account takes part.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Sets the capacity of the pool.
    pub fn set_pool(&mut self, pool: Resources) {
        self.pool = pool;
    }

    /// Returns the capacity of the pool, zero while it is unknown.
    pub fn pool(&self) -> Resources {
        self.pool
    }

    /// Returns the band of an account, or of a job without one.
    pub fn band_of(&self, account: Option<AccountNumber>) -> Band {
        account.and_then(|account| self.accounts.get(&account)).map_or(Band::FIRST, |a| a.band)
    }

    /// Returns the state of an account; `None` if it does not take part.
    pub fn state_of(&self, account: AccountNumber) -> Option<&AccountState> {
        self.accounts.get(&account)
    }

    /// Integrates what all accounts that take part use. An account that is not known counts as if it had used this for
    /// one half-life, which holds for all accounts of a new leader.
    pub fn sample(&mut self, samples: impl IntoIterator<Item = AccountSample>, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.sampled_ms);
        let kept = decay(elapsed_ms);
        self.sampled_ms = now_ms;
        self.accounts.values_mut().for_each(|state| state.weight = 0.0);
        for AccountSample { account, weight, share } in samples {
            if let Some(state) = self.accounts.get_mut(&account) {
                state.usage = state.usage * kept + share * (1.0 - kept);
                (state.weight, state.share) = (weight, share);
                continue;
            }
            let usage = share * (1.0 - decay(HALF_LIFE_MS));
            let state = AccountState { weight, share, usage, fair_part: 0.0, band: Band::FIRST };
            self.accounts.insert(account, state);
        }
    }

    /// Returns whether the bands are to be reviewed.
    pub fn is_review_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_review_ms
    }

    /// Reviews the bands. `is_short` says whether a step waits for lack of capacity, and `wanting` names the accounts
    /// with waiting steps that their caps allow. Returns the changes.
    pub fn review(
        &mut self,
        is_short: bool,
        wanting: &BTreeSet<AccountNumber>,
        now_ms: u64,
    ) -> Vec<BandChange> {
        self.next_review_ms = now_ms + REVIEW_INTERVAL_MS;
        if is_short {
            self.last_shortage_ms = Some(now_ms);
        }
        let is_short = self.last_shortage_ms.is_some_and(|ms| now_ms < ms + SHORTAGE_HOLD_MS);
        self.update_fair_parts(wanting);
        let mut changes = Vec::new();
        for (&account, state) in &mut self.accounts {
            let from = state.band;
            state.band = if is_short && state.fair_part > 0.0 {
                from.next(state.usage / state.fair_part)
            } else {
                Band::FIRST
            };
            if state.band != from {
                changes.push(BandChange { account, from, to: state.band, state: *state });
            }
        }
        self.accounts.retain(|_, state| state.weight > 0.0);
        changes
    }

    /// Divides what the accounts that have work use together among them. The fair part of the others is zero.
    fn update_fair_parts(&mut self, wanting: &BTreeSet<AccountNumber>) {
        let has_work = |account: &AccountNumber, state: &AccountState| {
            state.weight > 0.0 && (state.share > 0.0 || wanting.contains(account))
        };
        let mut claims = Vec::new();
        for (account, state) in &self.accounts {
            if has_work(account, state) {
                let demand = if wanting.contains(account) { f64::INFINITY } else { state.usage };
                claims.push(Claim { weight: state.weight, demand });
            }
        }
        let states = self.accounts.iter().filter(|(account, state)| has_work(account, state));
        let total = states.map(|(_, state)| state.usage).sum();
        let mut parts = max_min_parts(total, &claims).into_iter();
        for (account, state) in &mut self.accounts {
            let part = if has_work(account, state) { parts.next() } else { None };
            state.fair_part = part.unwrap_or(0.0);
        }
    }
}

/// What an account claims of an amount that is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Weight of the account, greater than zero.
    pub weight: f64,
    /// The most that it can use.
    pub demand: f64,
}

/// Divides an amount by weight, but gives nobody more than its demand: what some do not need is divided among the
/// others, again by weight. Returns the parts in the order of the claims.
pub fn max_min_parts(total: f64, claims: &[Claim]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    let saturation = |index: usize| claims[index].demand / claims[index].weight;
    order.sort_by(|&a, &b| saturation(a).total_cmp(&saturation(b)));
    let mut remaining = total;
    let mut weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    let mut parts = vec![0.0; claims.len()];
    for index in order {
        let claim = claims[index];
        parts[index] = claim.demand.min(remaining * claim.weight / weight).max(0.0);
        remaining -= parts[index];
        weight -= claim.weight;
    }
    parts
}

/// Returns the larger of the shares of the CPU and of the memory of a pool, at most 1.
pub fn dominant_share(used: &Resources, pool: &Resources) -> f64 {
    let share = |used: u64, pool: u64| if pool == 0 { 0.0 } else { used as f64 / pool as f64 };
    share(used.cpu.0, pool.cpu.0).max(share(used.memory.0, pool.memory.0)).min(1.0)
}

/// Returns the factor by which usage decays in `elapsed_ms`.
fn decay(elapsed_ms: u64) -> f64 {
    (-(elapsed_ms as f64) / HALF_LIFE_MS as f64).exp2()
}
