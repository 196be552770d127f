//! Client accounts in the simulated cell, and what their workers run. The sums are those of the workers, not the
//! leader's.

use std::collections::BTreeMap;

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, TaskName};
use lilacpass_lead::{
    Event,
    event::{Request, RequestId},
};
use lilacpass_schema::v1;

use super::World;

/// Time for which an earlier cap may still apply: the delay until the leader knows of the change.
const CAP_CHANGE_MS: u64 = 500;
/// Time for which an earlier cap may apply to an order that is carried out late: the cap was in force when the order
/// was sent, and nothing can call it back while calls to its worker get lost.
const LATE_ORDER_MS: u64 = CAP_CHANGE_MS + super::MAX_ORDER_DELAY_MS;

/// The accounts of the desired state.
#[derive(Default)]
pub struct AccountOracle {
    policies: BTreeMap<String, v1::AccountPolicy>,
    /// Caps before changes, each with the time in ms of the change and its account.
    earlier_caps: Vec<(u64, String, u64)>,
    /// When the last change reaches the leader. Changes reach it in order, and a leader that is paused once it resumes:
    /// if that takes long, another one has replaced it, and its records are refused.
    pub(super) told_ms: u64,
    /// Number of starts that were checked against a cap.
    pub checks: u64,
}

impl AccountOracle {
    /// The highest cap on the CPU of an account that may apply now, in thousandths of a core.
    fn max_cpu_milli(&self, account: &str, is_late: bool, now_ms: u64) -> u64 {
        let still_ms = if is_late { LATE_ORDER_MS } else { CAP_CHANGE_MS };
        let limit = |max: u64| if max == 0 { u64::MAX } else { max };
        let earlier = self.earlier_caps.iter().filter(|(changed_ms, name, _)| {
            name == account && (now_ms < changed_ms + still_ms || now_ms <= self.told_ms)
        });
        let earlier = earlier.map(|(.., max)| limit(*max));
        let current = self.policies.get(account).map_or(u64::MAX, |p| limit(p.max_cpu_milli));
        earlier.fold(current, u64::max)
    }
}

/// An account with a share of `weight` jobs per second and a cap on its CPU in thousandths of a core.
pub fn account(name: &str, weight: f64, max_cpu_milli: u64) -> v1::AccountPolicy {
    v1::AccountPolicy { name: name.to_owned(), weight, max_cpu_milli, ..Default::default() }
}

impl World {
    /// Publishes an account, or a change of it. The current leader learns of it within [`CAP_CHANGE_MS`].
    pub fn set_account(&mut self, policy: v1::AccountPolicy) {
        let name = policy.name.clone();
        if let Some(former) = self.accounts.policies.insert(name.clone(), policy) {
            self.accounts.earlier_caps.push((self.now_ms, name, former.max_cpu_milli));
        }
        let delay_ms = self.random.below(CAP_CHANGE_MS);
        self.tell_accounts(delay_ms);
    }

    /// Removes an account from the desired state.
    pub fn remove_account(&mut self, name: &str) {
        self.accounts.policies.remove(name);
        self.tell_accounts(0);
    }

    /// Tells the current leader the accounts after a delay.
    pub(super) fn tell_accounts(&mut self, delay_ms: u64) {
        if self.accounts.policies.is_empty() && self.accounts.earlier_caps.is_empty() {
            return;
        }
        let instance = self.instances.len() - 1;
        self.accounts.told_ms = self.accounts.told_ms.max(self.now_ms + delay_ms);
        let delay_ms = self.accounts.told_ms - self.now_ms;
        let policies = self.accounts.policies.values().cloned().collect();
        self.schedule_event(delay_ms, instance, Event::Accounts(policies));
    }

    /// Submits a job of an account.
    pub fn submit_for(
        &mut self,
        account: &str,
        key: u64,
        plan: v1::WorkPlan,
        queue: v1::QueuePolicy,
    ) -> RequestId {
        let policy = self.accounts.policies.get(account).cloned();
        let policy = policy.unwrap_or_else(|| self::account(account, 1.0, 0));
        self.request(Request::Submit {
            job: JobKey(key),
            plan,
            queue,
            account: Some(Box::new(policy)),
        })
    }

    /// What all live workers run for an account.
    pub fn running_of(&self, account: &str) -> Resources {
        let runs = self.workers.iter().filter(|worker| worker.alive).flat_map(|w| &w.runs);
        let is_of_account = |task: &TaskName| {
            let job = self.store.job(task.step.job);
            job.and_then(|job| job.account).is_some_and(|policy| policy.name == account)
        };
        let runs = runs.filter(|(task, _)| is_of_account(task));
        runs.fold(Resources::ZERO, |sum, (_, run)| sum.plus(&run.need))
    }

    /// Checks that a start, which has just happened, leaves its account within its cap.
    pub(super) fn check_cap(
        &mut self,
        task: TaskName,
        policy: Option<&v1::AccountPolicy>,
        is_late: bool,
    ) {
        let Some(policy) = policy else { return };
        let max = self.accounts.max_cpu_milli(&policy.name, is_late, self.now_ms);
        let used = self.running_of(&policy.name).cpu.0;
        self.accounts.checks += 1;
        assert!(used <= max, "{task} brings account {} to {used} of {max}", policy.name);
    }
}
