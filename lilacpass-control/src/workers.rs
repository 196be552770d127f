//! Workers that this instance holds: reports, task leases, what runs there.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lilacpass_core::{
    MonoTime, Resources,
    ids::{Incarnation, ShardId, TaskId, WorkerId},
};
use lilacpass_decide::{How, Preempt, WorkerSpec};
use lilacpass_hold::Limit;
use lilacpass_schema::v1;

use crate::{
    Control,
    calls::Pending,
    convert, counters,
    event::{CallId, Effect, WorkerCall},
};

/// Failed report calls in a row after which a worker counts as silent.
pub(crate) const SILENT_AFTER: u32 = 2;
/// Deadline of renewals, stops and the like.
pub(crate) const SMALL_CALL: Duration = Duration::from_millis(1_000);

/// A worker whose shard this instance holds.
#[derive(Debug)]
pub(crate) struct HeldWorker {
    /// Its shard.
    pub(crate) shard: ShardId,
    /// Start number of its process, as it last reported.
    pub(crate) incarnation: Option<Incarnation>,
    /// Lower bound of the moment at which its last report was taken.
    pub(crate) report_taken: Option<MonoTime>,
    /// When its last report arrived.
    pub(crate) reported_at: Option<MonoTime>,
    /// Until when a former holder may have renewed tasks here; the start of the tenure at least.
    pub(crate) shared_until: MonoTime,
    /// Whether the worker said that it is about to leave.
    pub(crate) leaving: bool,
    /// Whether the instance list says that it is about to leave.
    pub(crate) listed_leaving: bool,
    /// Failed report calls in a row.
    pub(crate) failures: u32,
    pub(crate) version: u64,
    pub(crate) report_call: Option<CallId>,
    pub(crate) report_at: MonoTime,
    /// A picture taken from now on is needed soon: ask without waiting for news.
    pub(crate) urgent: bool,
    pub(crate) renew_at: MonoTime,
    /// When a start or a renewal was last sent; a task's lease can't have been renewed later.
    pub(crate) lease_sent_at: MonoTime,
    pub(crate) forget: Vec<v1::TaskKey>,
    /// Quick tasks of a former holder or of unknown origin that only take room.
    pub(crate) foreign: BTreeSet<TaskId>,
}

impl HeldWorker {
    fn new(shard: ShardId, now: MonoTime) -> Self {
        Self {
            shard,
            incarnation: None,
            report_taken: None,
            reported_at: None,
            shared_until: now,
            leaving: false,
            listed_leaving: false,
            failures: 0,
            version: 0,
            report_call: None,
            report_at: now,
            urgent: true,
            renew_at: now,
            lease_sent_at: now,
            forget: Vec::new(),
            foreign: BTreeSet::new(),
        }
    }

    /// Whether it takes no new work since it is about to leave.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving || self.listed_leaving
    }

    /// Whether its reports fail.
    pub(crate) fn is_silent(&self) -> bool {
        self.failures >= SILENT_AFTER
    }
}

/// All workers whose shards this instance holds.
pub(crate) type HeldWorkers = BTreeMap<WorkerId, HeldWorker>;

impl Control {
    /// This instance has become the holder of a shard.
    pub(crate) fn gained(&mut self, shard: &ShardId, now: MonoTime) {
        log::info!(shard:% = shard; "shard gained");
        self.held.retain(|_, held| held.shard != *shard);
        self.track_shard(shard, now);
    }

    /// Takes the workers of a held shard in that the configuration has and that are not tracked yet.
    pub(crate) fn track_shard(&mut self, shard: &ShardId, now: MonoTime) {
        let new: Vec<WorkerId> = self
            .inventory
            .workers()
            .filter(|(id, worker)| worker.shard == *shard && !self.held.contains_key(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in new {
            self.upsert_pool_worker(&id, now);
            // Nothing may be started before a report has told what runs there already.
            self.scheduler.pool.set_limit(&id, Resources::ZERO, now);
            self.held.insert(id, HeldWorker::new(shard.clone(), now));
        }
    }

    /// Tells the pool of workers what the inventory says of a worker.
    pub(crate) fn upsert_pool_worker(&mut self, id: &WorkerId, now: MonoTime) {
        let Some(worker) = self.inventory.worker(id) else { return };
        let spec = WorkerSpec {
            id: id.clone(),
            data_centre: worker.data_centre.clone(),
            rack: worker.rack.clone(),
            capacity: worker.capacity,
            draining: worker.draining && self.settings.guards.leaving,
            connections: worker.connections,
        };
        self.scheduler.pool.upsert_worker(spec, now);
    }

    /// This instance no longer holds a shard.
    pub(crate) fn lost(&mut self, shard: &ShardId, now: MonoTime) {
        log::info!(shard:% = shard; "shard lost");
        let workers: Vec<WorkerId> = self
            .held
            .iter()
            .filter(|(_, held)| held.shard == *shard)
            .map(|(id, _)| id.clone())
            .collect();
        for worker in workers {
            self.untrack_worker(&worker, now);
        }
        self.releasing.remove(shard);
    }

    /// Forgets a worker that is no longer held or no longer in the inventory.
    pub(crate) fn untrack_worker(&mut self, worker: &WorkerId, now: MonoTime) {
        self.held.remove(worker);
        self.recorded.retain(|_, task| task.worker != *worker);
        self.drop_unsettled_served(worker, now);
        self.scheduler.pool.remove_worker(worker);
        self.close_idle_worker(worker);
    }

    /// Drops the connection to a worker that is not held, once no call is under way there.
    pub(crate) fn close_idle_worker(&mut self, worker: &WorkerId) {
        if self.held.contains_key(worker) {
            return;
        }
        let busy = self.calls.values().any(|pending| match pending {
            Pending::Run { worker: of, .. } | Pending::Start { worker: of, .. } => of == worker,
            _ => false,
        });
        if !busy {
            self.out.push(Effect::CloseWorker { worker: worker.clone() });
        }
    }

    /// The permission to start work on a worker now; `None` where there is none, or where what is
    /// given already exceeds it.
    pub(crate) fn start_limit(&self, worker: &WorkerId, now: MonoTime) -> Option<Limit> {
        let held = self.held.get(worker)?;
        if self.takes_no_starts(held) {
            return None;
        }
        let limit = self.holding.limit(worker, now)?;
        let given = self.scheduler.pool.given(worker);
        given.fits(&limit.resources).then_some(limit)
    }

    /// Tells the pool how much may be given on each worker now.
    pub(crate) fn refresh_limits(&mut self, now: MonoTime) {
        let mut serving = 0;
        let mut silent = 0;
        let ids: Vec<WorkerId> = self.held.keys().cloned().collect();
        for id in ids {
            let Some(held) = self.held.get_mut(&id) else { continue };
            if !self.holding.is_cleared(&held.shard) {
                held.shared_until = now;
            }
            let Some(held) = self.held.get(&id) else { continue };
            let blocked = held.is_silent() || self.takes_no_starts(held);
            silent += u64::from(held.is_silent());
            let limit = if blocked { None } else { self.holding.limit(&id, now) };
            serving += u64::from(limit.is_some());
            let resources = limit.map_or(Resources::ZERO, |limit| limit.resources);
            self.scheduler.pool.set_limit(&id, resources, now);
        }
        counters::set(&self.counters.workers_serving, serving);
        counters::set(&self.counters.workers_silent, silent);
    }

    /// Whether nothing may be started on a held worker, whatever the permission: it has not told
    /// what runs there, is leaving, or its shard is being given up.
    fn takes_no_starts(&self, held: &HeldWorker) -> bool {
        held.incarnation.is_none()
            || self.takes_nothing(held)
            || self.releasing.contains(&held.shard)
    }

    /// Whether a worker that is leaving gets nothing new.
    fn takes_nothing(&self, held: &HeldWorker) -> bool {
        held.is_leaving() && self.settings.guards.leaving
    }

    /// Sends a stop, checkpoint or throttle for a task.
    pub(crate) fn control_task(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        control: v1::TaskControl,
        now: MonoTime,
    ) {
        let Some(held) = self.held.get(worker) else { return };
        let epoch = self.holding.epoch_of(&held.shard).map_or(0, |epoch| epoch.0);
        let request = WorkerCall::Control(v1::ControlTaskRequest {
            task: Some(convert::task_key(task)),
            epoch,
            control: control.into(),
        });
        self.call_worker(worker, request, SMALL_CALL, now + SMALL_CALL, Pending::TaskControl);
    }

    /// Makes room for urgent work.
    pub(crate) fn preempt(&mut self, preempt: &Preempt, now: MonoTime) {
        counters::bump(&self.counters.preemptions);
        let control = match preempt.how {
            How::Throttle => v1::TaskControl::Throttle,
            How::Checkpoint => v1::TaskControl::Checkpoint,
            How::Stop => v1::TaskControl::Stop,
        };
        self.control_task(&preempt.worker, &preempt.task, control, now);
    }
}
