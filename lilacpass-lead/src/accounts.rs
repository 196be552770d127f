//! Client accounts: what each may have running at the same time, what it has running, and whether it keeps within its
//! share.
//!
//! Load pattern: one account sends many times its usual jobs, or all of its large ones, into a cell that is full
//! without them. Its cap bounds what it holds, and the jobs beyond its share are scheduled after those within a share.
//!
//! Everything counts as running that may run: from the moment at which a run is assigned until its end is settled. So
//! the sums contain orders that got no response, stops that are not confirmed, and the runs of lost workers until their
//! leases have expired. A new leader starts with the runs of all stored jobs.

use lilacpass_core::{Resources, hash_map::HashMap, ids::AccountId};
use lilacpass_jobs::WorkerName;
use lilacpass_schema::v1;

use crate::{place, worker::RunKey};

/// Identifies an account within one leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountNumber(usize);

/// The accounts that a leader knows, from the desired state and from the jobs that it has.
#[derive(Debug, Default)]
pub struct Accounts {
    numbers: HashMap<AccountId, AccountNumber>,
    /// By number. Entries are never removed.
    entries: Vec<Entry>,
    /// What each run occupies of the cap of its account.
    charges: HashMap<(WorkerName, RunKey), Charge>,
}

/// An account.
#[derive(Debug)]
struct Entry {
    name: AccountId,
    /// The newest policy that is known. It stays after the account has been deleted, for the jobs that it has left.
    policy: v1::AccountPolicy,
    /// Whether the desired state lists the account.
    is_listed: bool,
    used: Resources,
    share: ShareMeter,
}

#[derive(Clone, Copy, Debug)]
struct Charge {
    account: AccountNumber,
    amount: Resources,
}

/// The state of an account as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountUsage<'a> {
    /// The account.
    pub account: AccountNumber,
    /// Share and cap of the account.
    pub policy: &'a v1::AccountPolicy,
    /// Whether the desired state lists the account.
    pub is_listed: bool,
    /// What it has running.
    pub used: Resources,
}

impl Accounts {
    /// Replaces the policies by those of a desired state.
    pub fn set_listed(&mut self, policies: &[v1::AccountPolicy]) {
        self.entries.iter_mut().for_each(|entry| entry.is_listed = false);
        for policy in policies {
            let number = self.number_of(policy);
            let entry = &mut self.entries[number.0];
            entry.policy = policy.clone();
            entry.is_listed = true;
        }
    }

    /// Returns the number of an account, and adds the account with this policy if it is not known.
    pub fn number_of(&mut self, policy: &v1::AccountPolicy) -> AccountNumber {
        let name = AccountId::new(&policy.name);
        if let Some(number) = self.numbers.get(&name) {
            return *number;
        }
        let number = AccountNumber(self.entries.len());
        self.numbers.insert(name.clone(), number);
        let (used, share) = (Resources::ZERO, ShareMeter::default());
        self.entries.push(Entry { name, policy: policy.clone(), is_listed: false, used, share });
        number
    }

    /// Returns the name of an account.
    pub fn name(&self, account: AccountNumber) -> &AccountId {
        &self.entries[account.0].name
    }

    /// Counts a job that an account submits at `now_ms` on the monotonic clock. Returns whether it is within the share
    /// of the account.
    pub fn count_job(&mut self, account: AccountNumber, now_ms: u64) -> bool {
        let entry = &mut self.entries[account.0];
        entry.share.take(entry.policy.weight, now_ms)
    }

    /// Counts a run against the cap of an account until [`Accounts::release`].
    pub fn charge(
        &mut self,
        worker: &WorkerName,
        run: RunKey,
        account: AccountNumber,
        amount: Resources,
    ) {
        let charge = Charge { account, amount };
        if self.charges.insert((worker.clone(), run), charge).is_none() {
            let used = &mut self.entries[account.0].used;
            *used = used.plus(&amount);
        }
    }

    /// Stops counting a run.
    pub fn release(&mut self, worker: &WorkerName, run: RunKey) {
        let Some(charge) = self.charges.remove(&(worker.clone(), run)) else { return };
        let used = &mut self.entries[charge.account.0].used;
        *used = used.minus(&charge.amount);
    }

    /// Returns whether an account may have `amount` running in addition to what it has.
    pub fn fits(&self, account: AccountNumber, amount: &Resources) -> bool {
        amount.fits(&self.headroom(account))
    }

    /// Returns how many tasks that each need `need` an account may start, at most `max`.
    pub fn count_fitting(&self, account: AccountNumber, need: &Resources, max: u64) -> u64 {
        place::count_fitting(&self.headroom(account), need, max)
    }

    /// Returns whether an account has more running than its cap, for example because the cap was lowered.
    pub fn is_over_cap(&self, account: AccountNumber) -> bool {
        let entry = &self.entries[account.0];
        !entry.used.fits(&cap(&entry.policy))
    }

    /// Returns whether any account has more running than its cap.
    pub fn any_over_cap(&self) -> bool {
        self.entries.iter().any(|entry| !entry.used.fits(&cap(&entry.policy)))
    }

    /// Returns whether the cap of an account allows `amount` while nothing else of it runs.
    pub fn could_fit(&self, account: AccountNumber, amount: &Resources) -> bool {
        amount.fits(&cap(&self.entries[account.0].policy))
    }

    /// Returns what an account may still have running.
    fn headroom(&self, account: AccountNumber) -> Resources {
        let entry = &self.entries[account.0];
        cap(&entry.policy).minus(&entry.used)
    }

    /// Returns whether the desired state lists an account with a weight.
    pub fn any_weighted(&self) -> bool {
        self.entries.iter().any(Entry::is_weighted)
    }

    /// Returns the accounts that the desired state lists with a weight, each with its weight and what it has running.
    pub fn weighted(&self) -> impl Iterator<Item = (AccountNumber, f64, Resources)> {
        let numbered = self.entries.iter().enumerate();
        let weighted = numbered.filter(|(_, entry)| entry.is_weighted());
        weighted.map(|(number, entry)| (AccountNumber(number), entry.policy.weight, entry.used))
    }

    /// Returns the state of an account.
    pub fn usage(&self, account: AccountNumber) -> AccountUsage<'_> {
        let Entry { policy, is_listed, used, .. } = &self.entries[account.0];
        AccountUsage { account, policy, is_listed: *is_listed, used: *used }
    }

    /// Returns the state of all accounts.
    pub fn usages(&self) -> impl Iterator<Item = AccountUsage<'_>> {
        (0..self.entries.len()).map(|number| self.usage(AccountNumber(number)))
    }
}

impl Entry {
    fn is_weighted(&self) -> bool {
        self.is_listed && self.policy.weight > 0.0 && self.policy.weight.is_finite()
    }
}

/// The cap of an account. Resources without a limit are unlimited.
fn cap(policy: &v1::AccountPolicy) -> Resources {
    let limit = |max: u64| if max == 0 { u64::MAX } else { max };
    let (cpu_milli, memory_mb) = (limit(policy.max_cpu_milli), limit(policy.max_memory_mb));
    Resources::new(cpu_milli, memory_mb, limit(policy.max_accelerators), u64::MAX)
}

/// Counts the jobs of an account against its share: a token bucket that gains the weight of the account in tokens per
/// second.
#[derive(Debug, Default)]
struct ShareMeter {
    /// Tokens that had been taken and not gained back at `counted_ms`.
    taken: f64,
    /// Time of the last job, in ms on the monotonic clock.
    counted_ms: u64,
}

impl ShareMeter {
    /// Time in seconds of which the bucket holds the tokens.
    const DEPTH_S: f64 = 1.0;

    /// Takes a token for a job. Returns `false` if there was none.
    fn take(&mut self, weight: f64, now_ms: u64) -> bool {
        let elapsed_s = now_ms.saturating_sub(self.counted_ms) as f64 / 1_000.0;
        self.taken = (self.taken - weight * elapsed_s).max(0.0);
        self.counted_ms = self.counted_ms.max(now_ms);
        // An account with a weight below one still has a job within its share now and then.
        let depth = if weight > 0.0 { (weight * Self::DEPTH_S).max(1.0) } else { 0.0 };
        let is_within = self.taken + 1.0 <= depth;
        self.taken += f64::from(u8::from(is_within));
        is_within
    }
}
