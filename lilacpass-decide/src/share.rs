//! Dominant shares: how much of its quota, or of the cell, a team uses.
//!
//! Shares are whole numbers in parts per million, so that equal input gives equal order on any
//! machine.

use lilacpass_core::{
    Resources,
    ids::{AccountId, TeamId},
};

use crate::{
    map::Map,
    rules::{Policy, TeamShare},
};

/// One whole, in parts per million.
pub const WHOLE_PPM: u64 = 1_000_000;

/// Offset of the rank of a team without a quota, which puts it behind any team with one.
const NO_QUOTA_RANK: u64 = 1_000 * WHOLE_PPM;

/// The greatest part of `whole` that `used` takes of any resource, in parts per million.
///
/// A resource of which `whole` has none is not counted.
pub fn dominant_ppm(used: &Resources, whole: &Resources) -> u64 {
    let part = |used: u64, whole: u64| match whole {
        0 => 0,
        _ => used.saturating_mul(WHOLE_PPM) / whole,
    };
    part(used.cpu.0, whole.cpu.0)
        .max(part(used.memory.0, whole.memory.0))
        .max(part(used.accelerators.0, whole.accelerators.0))
        .max(part(used.slots.0, whole.slots.0))
}

/// What each team is given, and the capacity of the cell.
#[derive(Clone, Debug, Default)]
pub struct TeamUsage {
    /// The capacity of the cell.
    pub capacity: Resources,
    given: Map<TeamId, Resources>,
}

impl TeamUsage {
    /// No team uses anything of a cell with `capacity`.
    pub fn new(capacity: Resources) -> Self {
        Self { capacity, given: Map::default() }
    }

    /// Counts `amount` more for `team`.
    pub fn add(&mut self, team: &TeamId, amount: &Resources) {
        match self.given.get_mut(team) {
            Some(given) => *given = given.plus(amount),
            None => {
                self.given.insert(team.clone(), *amount);
            }
        }
    }

    /// Counts `amount` less for `team`.
    pub fn sub(&mut self, team: &TeamId, amount: &Resources) {
        let Some(given) = self.given.get_mut(team) else { return };
        *given = given.minus(amount);
        if given.is_zero() {
            self.given.remove(team);
        }
    }

    /// What `team` is given.
    pub fn given(&self, team: &TeamId) -> Resources {
        self.given.get(team).copied().unwrap_or_default()
    }

    /// All teams that are given anything, in no stated order.
    pub fn iter(&self) -> impl Iterator<Item = (&TeamId, &Resources)> {
        self.given.iter()
    }
}

/// The shares and account priorities of a policy, looked up by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    teams: Map<TeamId, TeamShare>,
    accounts: Map<(TeamId, AccountId), u32>,
}

impl Shares {
    pub(crate) fn new(policy: &Policy) -> Self {
        Self {
            teams: policy.teams.iter().map(|t| (t.team.clone(), t.clone())).collect(),
            accounts: policy
                .accounts
                .iter()
                .map(|(team, account, priority)| ((team.clone(), account.clone()), *priority))
                .collect(),
        }
    }

    pub(crate) fn team(&self, team: &TeamId) -> Option<&TeamShare> {
        self.teams.get(team)
    }

    /// The priority of an account within its team; 0 where no rule names it.
    pub(crate) fn priority(&self, team: &TeamId, account: Option<&AccountId>) -> u32 {
        let Some(account) = account else { return 0 };
        if self.accounts.is_empty() {
            return 0;
        }
        self.accounts.get(&(team.clone(), account.clone())).copied().unwrap_or(0)
    }

    /// The rank of a team that is given `used`: the lesser goes first.
    pub(crate) fn rank(&self, team: &TeamId, used: &Resources, capacity: &Resources) -> u64 {
        match self.teams.get(team) {
            Some(share) if !share.quota.is_zero() => dominant_ppm(used, &share.quota),
            _ => NO_QUOTA_RANK + dominant_ppm(used, capacity),
        }
    }

    /// Whether `team`, given `used` already, may be given `need` more.
    pub(crate) fn may_take(&self, team: &TeamId, used: &Resources, need: &Resources) -> bool {
        match self.teams.get(team) {
            Some(share) if !share.may_borrow => {
                dominant_ppm(&used.plus(need), &share.quota) <= WHOLE_PPM
            }
            _ => true,
        }
    }
}

/// The sum over the resources of the part of `whole` that `used` takes, in parts per million.
pub(crate) fn total_ppm(used: &Resources, whole: &Resources) -> u64 {
    let part = |used: u64, whole: u64| match whole {
        0 => 0,
        _ => used.saturating_mul(WHOLE_PPM) / whole,
    };
    part(used.cpu.0, whole.cpu.0)
        + part(used.memory.0, whole.memory.0)
        + part(used.accelerators.0, whole.accelerators.0)
        + part(used.slots.0, whole.slots.0)
}

/// `permille` thousandths of each resource.
pub(crate) fn permille_of(whole: &Resources, permille: u32) -> Resources {
    let part = |amount: u64| amount.saturating_mul(u64::from(permille)) / 1_000;
    Resources::new(
        part(whole.cpu.0),
        part(whole.memory.0),
        part(whole.accelerators.0),
        part(whole.slots.0),
    )
}
