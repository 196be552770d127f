//! Gives the decisions about fair use their input, and carries them out: moves the waiting steps of accounts whose band
//! has changed.

use std::collections::{BTreeMap, BTreeSet};

use lilacpass_core::Resources;
use lilacpass_jobs::StepName;

use crate::{
    accounts::AccountNumber,
    event::Now,
    fair_use::{self, AccountSample, BandChange},
    leader::Leader,
};

/// Maximum number of changes of bands that a review logs. With hundreds of accounts, all bands may change at once.
const MAX_LOGGED_CHANGES: usize = 4;

/// Maximum number of steps in a review whose tickets are compared with the free capacity of their workers. A step holds up
/// to a hundred tickets.
const MAX_TICKET_CHECKS: usize = 32;

/// The waiting work at the time of a review.
#[derive(Debug, Default)]
struct WaitingWork {
    /// Whether a step that ends by itself waits for lack of capacity.
    is_short: bool,
    /// The accounts with waiting steps that their caps allow.
    wanting: BTreeSet<AccountNumber>,
}

impl Leader {
    /// Integrates the usage of the accounts and, if a review is due, updates their bands. Must not be called during a
    /// round, because it changes ranks.
    pub(crate) fn update_fair_use(&mut self, now: Now) {
        if self.fair_use.is_empty() && !self.accounts.any_weighted() {
            return;
        }
        let is_review_due = self.fair_use.is_review_due(now.steady_ms);
        if is_review_due {
            self.fair_use.set_pool(self.registered_capacity());
        }
        let pool = self.fair_use.pool();
        if pool == Resources::ZERO {
            // A new leader knows no registrations yet.
            return;
        }
        let samples = self.accounts.weighted().map(|(account, weight, used)| {
            let share = fair_use::dominant_share(&used, &pool);
            AccountSample { account, weight, share }
        });
        self.fair_use.sample(samples, now.steady_ms);
        if is_review_due {
            let WaitingWork { is_short, wanting } = self.waiting_work(now);
            let changes = self.fair_use.review(is_short, &wanting, now.steady_ms);
            self.adopt_bands(&changes);
        }
    }

    /// Returns the capacity of all registered workers together.
    fn registered_capacity(&self) -> Resources {
        let registered =
            self.workers.values().filter(|worker| worker.registered && worker.successor.is_none());
        registered.fold(Resources::ZERO, |sum, worker| sum.plus(&worker.registration.capacity))
    }

    /// Goes through all waiting steps once.
    fn waiting_work(&self, now: Now) -> WaitingWork {
        let mut largest: BTreeMap<&str, Resources> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.registered) {
            let entry = largest.entry(&worker.registration.service).or_default();
            *entry = entry.max(&worker.registration.capacity);
        }
        let latest_ms = now.steady_ms.saturating_sub(fair_use::MIN_SHORTAGE_MS);
        let mut work = WaitingWork::default();
        let mut ticket_checks = 0;
        for rank in self.waiting.in_order() {
            let Some(entry) = self.jobs.get(&rank.step.job) else { continue };
            let new_account = entry.account.filter(|account| !work.wanting.contains(account));
            if work.is_short && new_account.is_none() || self.is_held_back_by_cap(rank.step) {
                continue;
            }
            work.wanting.extend(new_account);
            let could_fit = |need: &Resources| {
                largest.get(entry.job.queue.service.as_str()).is_some_and(|max| need.fits(max))
            };
            let has_waited = !entry.job.step_plan(rank.step.step).lasting
                && self.waiting.has_waited_since(rank.step, latest_ms)
                && self.waiting.need_of(rank.step).as_ref().is_some_and(could_fit);
            if work.is_short || !has_waited {
                continue;
            }
            work.is_short = !self.fits_anywhere(rank.step);
            if !work.is_short && self.advice.contains_key(&rank.step) {
                work.is_short =
                    ticket_checks < MAX_TICKET_CHECKS && self.fits_on_no_ticket(rank.step, now);
                ticket_checks += 1;
            }
        }
        work
    }

    /// Returns whether a step holds tickets, and a task of it fits on none of their workers.
    fn fits_on_no_ticket(&self, step: StepName, now: Now) -> bool {
        let Some(need) = self.waiting.need_of(step) else { return false };
        let allowed = self.allowed_workers(step, now);
        !allowed.is_empty() && !allowed.iter().any(|worker| need.fits(&worker.free_capacity()))
    }

    /// Moves the waiting steps of the accounts whose band has changed.
    fn adopt_bands(&mut self, changes: &[BandChange]) {
        if changes.is_empty() {
            return;
        }
        let changed: BTreeSet<AccountNumber> =
            changes.iter().map(|change| change.account).collect();
        let is_changed = |step: &StepName| {
            let account = self.jobs.get(&step.job).and_then(|entry| entry.account);
            account.is_some_and(|account| changed.contains(&account))
        };
        let steps: Vec<StepName> =
            self.waiting.in_order().map(|rank| rank.step).filter(is_changed).collect();
        steps.into_iter().for_each(|step| self.update_rank(step));
        changes.iter().for_each(|change| self.counters.count_band_change(change.to));
        for change in changes.iter().take(MAX_LOGGED_CHANGES) {
            let BandChange { account, from, to, state } = change;
            log::info!(
                account:% = self.accounts.name(*account), from = from.as_str(), to = to.as_str(),
                usage = state.usage, fair_part = state.fair_part, weight = state.weight,
                changes = changes.len();
                "band of account changed"
            );
        }
    }
}
