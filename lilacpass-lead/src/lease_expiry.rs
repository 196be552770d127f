//! Ends the runs on workers whose leases have expired, and forgets workers that are gone.
//!
//! Leases are extended with each poll, so a worker is looked at when its lease would end if it were not polled any more:
//! a responsive one once in some seconds, whatever the number of workers.

use std::collections::BTreeSet;

use lilacpass_jobs::WorkerName;

use crate::{counters::WorkerLoss, event::Now, leader::Leader, work::Part, worker::Worker};

/// Time in ms until a worker whose leases have expired is looked at again.
const RECHECK_MS: u64 = 200;

impl Leader {
    /// Looks at the leases on a worker at `at_ms`, or earlier if that is planned already.
    pub(crate) fn check_leases_at(&mut self, name: &WorkerName, at_ms: u64) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        match worker.lease_check_ms {
            Some(planned_ms) if planned_ms <= at_ms => return,
            Some(planned_ms) => {
                self.lease_checks.remove(&(planned_ms, name.clone()));
            }
            None => {}
        }
        worker.lease_check_ms = Some(at_ms);
        self.lease_checks.insert((at_ms, name.clone()));
    }

    /// Plans a look at the leases on each worker for when they will have expired.
    pub(crate) fn check_all_leases(&mut self) {
        let ends: Vec<(WorkerName, u64)> = self
            .workers
            .iter()
            .map(|(name, worker)| (name.clone(), worker.leases_expire_by_ms + 1))
            .collect();
        ends.iter().for_each(|(name, at_ms)| self.check_leases_at(name, *at_ms));
    }

    /// Ends the runs on workers whose leases have expired even by the slowest possible worker clock, and forgets
    /// workers that are gone.
    pub(crate) fn expire_unresponsive_workers(&mut self, now: Now) {
        let expired = self.take_expired(now);
        if expired.is_empty() {
            return;
        }
        let missing = self.missing_workers(&expired, now);
        for name in &expired {
            let Some(worker) = self.workers.get(name) else { continue };
            if missing.contains(name) {
                self.presume_gone(name, missing.len(), now);
                continue;
            }
            if !worker.runs.is_empty() {
                log::info!(
                    worker:% = name, runs = worker.runs.len(),
                    silent_ms = worker.unresponsive_ms(now.steady_ms),
                    lease_age_ms:? = worker.lease_age_ms(now.steady_ms);
                    "leases of an unresponsive worker have expired"
                );
                self.counters.count_lost_worker(WorkerLoss::LeasesExpired);
            }
            self.expire_worker(name, now);
        }
        for name in &expired {
            let Some(worker) = self.workers.get(name) else { continue };
            let is_gone = !worker.registered
                && worker.runs.is_empty()
                && !Self::awaits_crash_evidence(worker, now);
            if is_gone {
                self.forget_worker(name, now);
            } else {
                self.check_leases_at(name, now.steady_ms + RECHECK_MS);
            }
        }
    }

    /// Returns the workers whose leases have expired and that have runs or are not registered, sorted by name.
    fn take_expired(&mut self, now: Now) -> Vec<WorkerName> {
        let mut expired = Vec::new();
        while let Some((at_ms, _)) = self.lease_checks.first()
            && *at_ms <= now.steady_ms
        {
            let Some((_, name)) = self.lease_checks.pop_first() else { break };
            self.visits.add(Part::Review, 1);
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            worker.lease_check_ms = None;
            if now.steady_ms <= worker.leases_expire_by_ms {
                let at_ms = worker.leases_expire_by_ms + 1;
                self.check_leases_at(&name, at_ms);
            } else if worker.runs.is_empty() && worker.registered {
                self.check_leases_at(&name, now.steady_ms + RECHECK_MS);
            } else {
                expired.push(name);
            }
        }
        expired.sort_unstable();
        expired
    }

    /// Those of the workers whose leases have expired that are presumed gone: the worker is not registered and has not
    /// responded to this leader, while others of its data centre do. If none did, the data centre would be cut off.
    fn missing_workers(&self, expired: &[WorkerName], now: Now) -> BTreeSet<WorkerName> {
        if !self.registration_age.is_current(now.steady_ms) {
            return BTreeSet::new();
        }
        let is_candidate = |worker: &&Worker| {
            !worker.registered
                && worker.successor.is_none()
                && !worker.accepted_epoch
                && worker.expired_runs.is_empty()
        };
        let expired = expired.iter().filter_map(|name| self.workers.get(name));
        let candidates: Vec<&Worker> = expired.filter(is_candidate).collect();
        if candidates.is_empty() {
            // A worker that may have crashed stays among the expired ones for long; the rest goes through all workers.
            return BTreeSet::new();
        }
        let responsive = self.responsive_data_centres(now);
        let registrations = candidates.into_iter().map(|worker| &worker.registration);
        let missing = registrations.filter(|known| responsive.contains(&known.data_centre));
        missing.map(|known| known.name.clone()).collect()
    }

    /// Data centres of which a worker has responded recently.
    fn responsive_data_centres(&self, now: Now) -> BTreeSet<String> {
        let responded_since_ms = now.steady_ms.saturating_sub(2 * self.options.poll_wait_ms);
        self.workers
            .values()
            .filter(|worker| worker.accepted_epoch && worker.failed_polls == 0)
            .filter(|worker| worker.last_response_ms > responded_since_ms)
            .map(|worker| worker.registration.data_centre.clone())
            .collect()
    }
}
