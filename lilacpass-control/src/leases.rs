//! Leases of tasks on held workers: renewed, and told to have lapsed for certain.

use lilacpass_core::{MonoTime, ids::WorkerId};
use lilacpass_schema::v1;

use crate::{Control, calls::Pending, convert, event::WorkerCall, workers::SMALL_CALL};

/// A task's lease is renewed after this part of its duration. What is left of it when a holder dies
/// must last until the next holder has claimed the worker and read its first report.
const RENEW_DIVISOR: u32 = 5;

impl Control {
    /// A start or a renewal is about to be sent to `worker`.
    pub(crate) fn lease_sent(&mut self, worker: &WorkerId, now: MonoTime) {
        if let Some(held) = self.held.get_mut(worker) {
            held.lease_sent_at = held.lease_sent_at.max(now);
        }
    }

    /// Renews the leases of recorded tasks that run on held workers.
    ///
    /// A silent worker gets no renewal: from the last one on its tasks' leases run out, and the time
    /// at which they have certainly lapsed can be told without hearing of it.
    pub(crate) fn renew_tasks(&mut self, now: MonoTime) {
        let every = self.settings.task_lease / RENEW_DIVISOR;
        let due: Vec<WorkerId> = self
            .held
            .iter()
            .filter(|(_, held)| held.renew_at.reached(now) && !held.is_silent())
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let tasks: Vec<v1::TaskKey> = self.renewable_on(&id).map(convert::task_key).collect();
            let Some(held) = self.held.get_mut(&id) else { continue };
            held.renew_at = now + every;
            if tasks.is_empty() {
                continue;
            }
            let request = WorkerCall::Renew(v1::RenewTasksRequest {
                tasks,
                lease_ms: convert::millis(self.settings.task_lease),
                epoch: self.holding.epoch_of(&held.shard).map_or(0, |epoch| epoch.0),
            });
            held.lease_sent_at = now;
            let not_after = now + self.settings.hold.start_flight;
            self.call_worker(
                &id,
                request,
                SMALL_CALL,
                not_after,
                Pending::Renew { worker: id.clone() },
            );
        }
    }

    /// When the leases of all tasks on a silent worker have certainly lapsed.
    ///
    /// The last renewal may have been under way for `start_flight`, and the worker's clock may be
    /// slower than ours. A former holder that does not know of its replacement renews too: nothing
    /// has lapsed for certain while this tenure is not cleared, and the lease counts from then on.
    pub(crate) fn lapsed_at(&self, worker: &WorkerId, now: MonoTime) -> Option<MonoTime> {
        let held = self.held.get(worker)?;
        if !held.is_silent() || !self.holding.is_cleared(&held.shard) {
            return None;
        }
        if !self.settings.guards.lapse_wait {
            return Some(now);
        }
        let lease = self.settings.task_lease;
        let drift = lease.mul_f64(self.settings.hold.clock_drift_ppm as f64 * 2e-6);
        let flight = self.settings.hold.start_flight * 2;
        Some(held.lease_sent_at.max(held.shared_until) + lease + drift + flight)
    }

    /// Ends what runs on workers that have been silent until all leases lapsed.
    pub(crate) fn lapse_silent_workers(&mut self, now: MonoTime) {
        let lapsed: Vec<WorkerId> = self
            .held
            .keys()
            .filter(|id| self.lapsed_at(id, now).is_some_and(|at| at.reached(now)))
            .cloned()
            .collect();
        for id in lapsed {
            self.lapse_recorded(&id, now);
        }
    }
}
