//! The incarnations of workers, and what follows when a worker starts again under the id that it had.
//!
//! A new incarnation runs nothing and knows nothing of before, and its counts start anew. The leader keeps all state
//! about a worker under the [`WorkerName`] of one incarnation, so a new incarnation is a new worker to it. But
//! incarnations of one worker share the id and the address that orders are sent to, and a start or a poll that was
//! meant for one incarnation may be carried out in the next, seconds late. Two rules keep that from doing harm:
//!
//! - Orders to the next incarnation carry a higher fence. Once that incarnation has responded to a poll, it refuses all
//!   orders that were meant for former incarnations.
//! - The runs of the former incarnation are kept until then. The first response of the next incarnation lists the runs
//!   that were started there after all. They move to that incarnation; the others have ended with the former one.
//!
//! The fence of an order is the leader's epoch plus the step of the incarnation. An epoch is one more than the end of
//! the log at the take-over, so each record that a leader stores leaves room for one more fence below the epoch of its
//! successor. Orders to an incarnation follow a record about their run, so no more steps are needed than records are
//! stored.

use std::collections::{HashMap, VecDeque};

use lilacpass_jobs::WorkerName;

use crate::{
    event::{Now, PollResponse, Registration},
    leader::Leader,
    worker::{Phase, RunKey, Worker},
};

/// Number of ended incarnations that are remembered for each worker, to ignore registrations that they wrote.
const MAX_ENDED_INCARNATIONS: usize = 8;
/// How long an order may be on its way to a worker that does not refuse it, where connections go on when a worker starts
/// again. The longest call, a poll that waits, has a timeout of 1.2 s; the platform names some seconds.
const MAX_ORDER_DELAY_MS: u64 = 4_000;
/// How long a worker without a known incarnation is remembered. Orders are carried out some seconds late at most.
const RETENTION_MS: u64 = 60_000;

/// The workers of which an incarnation has ended, or is not known any more, since the leader took over.
#[derive(Debug, Default)]
pub struct Incarnations {
    /// These workers, by id.
    workers: HashMap<String, FormerIncarnations>,
    /// Number of records in the last append.
    appended_records: u64,
    /// Number of records that this leader has stored.
    stored_records: u64,
}

/// What is remembered of the former incarnations of a worker.
#[derive(Debug, Default)]
struct FormerIncarnations {
    /// The highest step of a fence that was used for the worker.
    fence_step: u64,
    /// Whether that step was used for two incarnations in a row.
    has_same_step: bool,
    /// Incarnations that are known to have ended, the latest ones last.
    ended: VecDeque<WorkerName>,
    /// When an incarnation was last removed, on the monotonic clock.
    removed_ms: u64,
}

impl Incarnations {
    /// Records that an append of `records` records is sent.
    pub fn record_append(&mut self, records: u64) {
        self.appended_records = records;
    }

    /// Records that some records of the last append will not be stored.
    pub fn record_rejected(&mut self, records: u64) {
        self.appended_records = self.appended_records.saturating_sub(records);
    }

    /// Records that the last append is stored.
    pub fn record_stored(&mut self) {
        self.stored_records += std::mem::take(&mut self.appended_records);
    }

    /// Returns the step of the fence for a new incarnation of a worker. It is higher than those of its former
    /// incarnations, unless nothing has been stored since the last step, and so nothing was started. Leases may have been
    /// granted; see [`Self::max_order_delay_ms`].
    pub fn next_fence_step(&mut self, id: &str) -> u64 {
        let Some(former) = self.workers.get_mut(id) else { return 0 };
        former.has_same_step = former.fence_step >= self.stored_records;
        if !former.has_same_step {
            former.fence_step += 1;
        }
        former.fence_step
    }

    /// How long after its first response a worker may still carry out polls that were meant for its former incarnation, in
    /// ms. It refuses them if its orders have a higher fence.
    pub fn max_order_delay_ms(&self, id: &str) -> u64 {
        let has_same_step = self.workers.get(id).is_some_and(|former| former.has_same_step);
        if has_same_step { MAX_ORDER_DELAY_MS } else { 0 }
    }

    /// Records that the leader forgets an incarnation, which may still exist.
    pub fn record_removal(&mut self, incarnation: &WorkerName, now: Now) {
        self.workers.entry(incarnation.id().to_owned()).or_default().removed_ms = now.steady_ms;
    }

    /// Records that an incarnation has ended.
    pub fn record_end(&mut self, incarnation: &WorkerName, now: Now) {
        self.record_removal(incarnation, now);
        let Some(former) = self.workers.get_mut(incarnation.id()) else { return };
        if former.ended.contains(incarnation) {
            return;
        }
        if former.ended.len() == MAX_ENDED_INCARNATIONS {
            former.ended.pop_front();
        }
        former.ended.push_back(incarnation.clone());
    }

    /// Returns whether an incarnation is known to have ended.
    pub fn has_ended(&self, incarnation: &WorkerName) -> bool {
        self.workers.get(incarnation.id()).is_some_and(|former| former.ended.contains(incarnation))
    }

    /// Whether another incarnation of a worker was known, so that orders meant for it may have reached the present one.
    pub fn has_former(&self, id: &str) -> bool {
        self.workers.contains_key(id)
    }

    /// Forgets the workers of which no incarnation is known any more, according to `is_known`, and of which the last
    /// one was removed long ago.
    pub fn forget_old(&mut self, is_known: impl Fn(&str) -> bool, now: Now) {
        self.workers
            .retain(|id, former| now.steady_ms < former.removed_ms + RETENTION_MS || is_known(id));
    }
}

/// Returns the incarnation that gave a response to a poll of `polled`; `None` if the response does not say so although
/// workers of this platform do, for example because a relay of an older version has left it out.
pub(crate) fn incarnation_of_response(
    polled: &WorkerName,
    response: &PollResponse,
) -> Option<WorkerName> {
    match (polled.started_ms(), response.worker_started_ms) {
        (None, _) => Some(polled.clone()),
        (Some(_), None) => None,
        (Some(_), started_ms) => Some(polled.with_start(started_ms)),
    }
}

impl Leader {
    /// Processes a response that shows that the incarnation `former` has ended and that `next` has followed it. The
    /// response itself is not used: until `next` has accepted its fence, it may still carry out orders meant for
    /// `former`.
    pub(crate) fn begin_next_incarnation(
        &mut self,
        former: &WorkerName,
        next: WorkerName,
        now: Now,
    ) {
        self.incarnations.record_end(former, now);
        self.replace_incarnation(former, next, now);
    }

    /// Replaces the other known incarnations of a worker by the one that has registered.
    pub(crate) fn replace_former_incarnations(&mut self, registered: &WorkerName, now: Now) {
        for former in self.incarnations_of(registered) {
            if former != *registered {
                self.replace_incarnation(&former, registered.clone(), now);
            }
        }
    }

    /// Forgets the former incarnations of workers that are gone for long.
    pub(crate) fn forget_old_incarnations(&mut self, now: Now) {
        let workers = &self.workers;
        let is_known = |id: &str| {
            let first = WorkerName::from(id);
            workers.range(&first..).next().is_some_and(|(name, _)| name.has_same_id(&first))
        };
        self.incarnations.forget_old(is_known, now);
    }

    /// The known incarnations of the worker of which `incarnation` is one.
    fn incarnations_of(&self, incarnation: &WorkerName) -> Vec<WorkerName> {
        let incarnations = self.workers.range(incarnation.with_start(None)..).map(|(name, _)| name);
        incarnations.take_while(|name| name.has_same_id(incarnation)).cloned().collect()
    }

    /// Sends nothing to the incarnation `former` any more, and polls `next` instead, under a higher fence.
    fn replace_incarnation(&mut self, former: &WorkerName, next: WorkerName, now: Now) {
        let Some(worker) = self.workers.get_mut(former) else { return };
        if worker.successor.as_ref() == Some(&next) {
            return;
        }
        // Orders that were meant for `former` may have granted leases to `next`.
        let longest_ms = self.options.longest_lease_expires_by_ms(now.steady_ms);
        let leases_expire_by_ms = worker.leases_expire_by_ms.max(longest_ms);
        log::info!(
            worker:% = next, former:% = former, runs = worker.runs.len(),
            leases_end_ms = leases_expire_by_ms - now.steady_ms;
            "worker has started again under its id"
        );
        let registration =
            Registration { name: next.clone(), draining: false, ..worker.registration.clone() };
        worker.leases_expire_by_ms = leases_expire_by_ms;
        worker.misdirected_leases_expire_by_ms = longest_ms;
        worker.registered = false;
        self.capacity_index.update(worker, now.steady_ms);
        for incarnation in self.incarnations_of(&next) {
            let Some(worker) = self.workers.get_mut(&incarnation) else { continue };
            if incarnation == *former || worker.successor.as_ref() == Some(former) {
                worker.successor = Some(next.clone());
            }
        }
        self.incarnations.record_removal(former, now);
        let fence_step = self.incarnations.next_fence_step(next.id());
        let worker = self
            .workers
            .entry(next.clone())
            .or_insert_with(|| Worker::new(registration.clone(), leases_expire_by_ms));
        worker.leases_expire_by_ms = worker.leases_expire_by_ms.max(leases_expire_by_ms);
        worker.misdirected_leases_expire_by_ms = longest_ms;
        worker.successor = None;
        worker.fence_step = fence_step;
        if worker.registration.address.is_empty() {
            worker.registration = registration;
        }
        let check_ms = worker.leases_expire_by_ms + 1;
        self.schedule_poll(&next);
        self.check_leases_at(&next, check_ms);
    }

    /// Settles the runs of the former incarnations of a worker by the first response of `next`. From then on it refuses
    /// orders that were meant for them.
    pub(crate) fn settle_former_incarnations(
        &mut self,
        next: &WorkerName,
        response: &PollResponse,
        now: Now,
    ) {
        let mut former = self.incarnations_of(next);
        former.retain(|incarnation| {
            let successor =
                self.workers.get(incarnation).and_then(|worker| worker.successor.as_ref());
            successor == Some(next)
        });
        if !former.is_empty()
            && let Some(worker) = self.workers.get(next)
        {
            log::info!(
                worker:% = next, former = former.len(),
                leases_end_ms = worker.leases_expire_by_ms.saturating_sub(now.steady_ms);
                "worker refuses orders that were meant for its former incarnations"
            );
        }
        for incarnation in former {
            let running = response.running.iter().map(|reported| (reported.task, reported.run));
            let ended = response.ends.iter().map(|reported| (reported.task, reported.end.run));
            running.chain(ended).for_each(|key| self.move_run(key, &incarnation, next, now));
            self.incarnations.record_end(&incarnation, now);
            self.end_incarnation(&incarnation, now);
        }
    }

    /// Moves a run that the incarnation `next` has reported, although it was assigned to a former incarnation.
    fn move_run(&mut self, key: RunKey, former: &WorkerName, next: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get_mut(former) else { return };
        let is_trial = worker.trial == Some(key);
        let Some(assigned) = worker.remove_run(key) else { return };
        let Some(worker) = self.workers.get_mut(next) else { return };
        log::info!(task:% = key.0, run = key.1, worker:% = next; "run was started in the next incarnation of its worker");
        worker.assign(key, assigned.need, Phase::Ordered);
        worker.trial = worker.trial.or(is_trial.then_some(key));
        self.capacity_index.update(worker, now.steady_ms);
        self.accounts.release(former, key);
        self.charge_run(next, key);
        if let Some(entry) = self.jobs.get_mut(&key.0.step.job)
            && entry.job.reassign_run(key.0, key.1, former, next)
        {
            self.outbox.pending.states.insert(key.0.step.job);
        }
        if matches!(assigned.phase, Phase::Stopping { .. }) {
            self.stop_run(next, key, now);
        }
    }
}
