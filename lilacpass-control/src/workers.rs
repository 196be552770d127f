//! Workers that this instance holds: reports, task leases, what runs there.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lilacpass_core::{
    MonoTime, Resources,
    ids::{Incarnation, ShardId, TaskId, WorkerId},
};
use lilacpass_decide::{How, Outcome, Preempt, WorkerSpec};
use lilacpass_hold::{Limit, Mode};
use lilacpass_schema::v1;

use crate::{
    Control,
    calls::Pending,
    convert, counters,
    event::{CallFailure, CallId, Effect, WorkerCall, WorkerReply},
};

/// Added to the wait of a report call before it is given up.
const REPORT_MARGIN: Duration = Duration::from_millis(800);
/// Shortest time between two report calls to a worker.
const REPORT_PAUSE: Duration = Duration::from_millis(20);
/// Time between two report calls while they fail.
const REPORT_RETRY: Duration = Duration::from_millis(250);
/// Failed report calls in a row after which a worker counts as silent.
const SILENT_AFTER: u32 = 2;
/// Deadline of renewals, stops and the like.
const SMALL_CALL: Duration = Duration::from_millis(1_000);
/// A task's lease is renewed after this part of its duration. What is left of it when a holder dies
/// must last until the next holder has claimed the worker and read its first report.
const RENEW_DIVISOR: u32 = 5;

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
    /// When the shard was gained.
    pub(crate) gained_at: MonoTime,
    /// Whether the worker said that it is about to leave.
    pub(crate) leaving: bool,
    /// Whether the instance list says that it is about to leave.
    pub(crate) listed_leaving: bool,
    /// Failed report calls in a row.
    failures: u32,
    version: u64,
    report_call: Option<CallId>,
    report_at: MonoTime,
    /// A picture taken from now on is needed soon: ask without waiting for news.
    urgent: bool,
    renew_at: MonoTime,
    /// When a start or a renewal was last sent; a task's lease can't have been renewed later.
    lease_sent_at: MonoTime,
    forget: Vec<v1::TaskKey>,
    /// Quick tasks of a former holder or of unknown origin that only take room.
    foreign: BTreeSet<TaskId>,
}

impl HeldWorker {
    fn new(shard: ShardId, now: MonoTime) -> Self {
        Self {
            shard,
            incarnation: None,
            report_taken: None,
            reported_at: None,
            gained_at: now,
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
    pub(crate) fn lost(&mut self, shard: &ShardId) {
        log::info!(shard:% = shard; "shard lost");
        let workers: Vec<WorkerId> = self
            .held
            .iter()
            .filter(|(_, held)| held.shard == *shard)
            .map(|(id, _)| id.clone())
            .collect();
        for worker in workers {
            self.untrack_worker(&worker);
        }
        self.releasing.remove(shard);
    }

    /// Forgets a worker that is no longer held or no longer in the inventory.
    pub(crate) fn untrack_worker(&mut self, worker: &WorkerId) {
        self.held.remove(worker);
        self.recorded.retain(|_, task| task.worker != *worker);
        self.scheduler.pool.remove_worker(worker);
        self.close_idle_worker(worker);
    }

    /// Drops the connection to a worker that is not held, once no call is under way there.
    pub(crate) fn close_idle_worker(&mut self, worker: &WorkerId) {
        let busy = self.calls.values().any(|pending| match pending {
            Pending::Run { worker: of, .. } | Pending::Start { worker: of, .. } => of == worker,
            _ => false,
        });
        if !self.held.contains_key(worker) && !busy {
            self.out.push(Effect::CloseWorker { worker: worker.clone() });
        }
    }

    /// The permission to start work on a worker now; `None` where there is none, or where what is
    /// given already exceeds it.
    pub(crate) fn start_limit(&self, worker: &WorkerId, now: MonoTime) -> Option<Limit> {
        let held = self.held.get(worker)?;
        if held.incarnation.is_none()
            || self.takes_nothing(held)
            || self.releasing.contains(&held.shard)
        {
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
            let Some(held) = self.held.get(&id) else { continue };
            let blocked = held.incarnation.is_none()
                || held.is_silent()
                || self.takes_nothing(held)
                || self.releasing.contains(&held.shard);
            silent += u64::from(held.is_silent());
            let limit = if blocked { None } else { self.holding.limit(&id, now) };
            serving += u64::from(limit.is_some());
            let resources = limit.map_or(Resources::ZERO, |limit| limit.resources);
            self.scheduler.pool.set_limit(&id, resources, now);
        }
        counters::set(&self.counters.workers_serving, serving);
        counters::set(&self.counters.workers_silent, silent);
    }

    /// Whether a worker that is leaving gets nothing new.
    fn takes_nothing(&self, held: &HeldWorker) -> bool {
        held.is_leaving() && self.settings.guards.leaving
    }

    /// Asks for a report of `worker` as soon as possible.
    pub(crate) fn want_report(&mut self, worker: &WorkerId, now: MonoTime) {
        if let Some(held) = self.held.get_mut(worker) {
            held.urgent = true;
            held.report_at = held.report_at.min(now);
        }
    }

    /// Sends the report calls that are due.
    pub(crate) fn ask_reports(&mut self, now: MonoTime) {
        let due: Vec<WorkerId> = self
            .held
            .iter()
            .filter(|(_, held)| held.report_call.is_none() && held.report_at.reached(now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.ask_report(&id, now);
        }
    }

    fn ask_report(&mut self, id: &WorkerId, now: MonoTime) {
        let waits = self.holding.needs_report(id, now).is_some()
            || self.has_unsettled_served(id)
            || self.has_unsettled_recorded(id);
        let Some(held) = self.held.get_mut(id) else { return };
        let ask_now = waits || std::mem::take(&mut held.urgent) || held.is_silent();
        let wait = if ask_now { Duration::ZERO } else { self.settings.report_wait };
        let request = WorkerCall::Report(v1::ReportRequest {
            known_version: if ask_now { 0 } else { held.version },
            wait_ms: convert::millis(wait),
            forget: std::mem::take(&mut held.forget),
            epoch: self.holding.epoch_of(&held.shard).map_or(0, |epoch| epoch.0),
        });
        held.report_at = now + REPORT_PAUSE;
        let pending = Pending::Report { worker: id.clone() };
        let timeout = wait + REPORT_MARGIN;
        let call = self.call_worker(id, request, timeout, now + timeout, pending);
        if let Some(held) = self.held.get_mut(id) {
            held.report_call = call;
        }
    }

    /// A report call has ended.
    pub(crate) fn report_done(
        &mut self,
        call: CallId,
        worker: &WorkerId,
        sent_at: MonoTime,
        result: Result<WorkerReply, CallFailure>,
        now: MonoTime,
    ) {
        let Some(held) = self.held.get_mut(worker).filter(|held| held.report_call == Some(call))
        else {
            return;
        };
        held.report_call = None;
        match result {
            Ok(WorkerReply::Report(report)) => {
                let pause = if held.is_silent() { Duration::ZERO } else { REPORT_PAUSE };
                held.report_at = now + pause;
                held.failures = 0;
                self.on_report(worker, sent_at, &report, now);
            }
            _ => {
                held.failures += 1;
                held.report_at = now + REPORT_RETRY;
                if held.failures == SILENT_AFTER {
                    log::warn!(worker:% = worker; "worker is silent");
                }
            }
        }
    }

    /// Compares what a worker reports with what this instance accounts for.
    fn on_report(
        &mut self,
        worker: &WorkerId,
        sent_at: MonoTime,
        report: &v1::ReportAnswer,
        now: MonoTime,
    ) {
        let taken_at = sent_at - Duration::from_millis(report.age_ms);
        let Some(held) = self.held.get_mut(worker) else { return };
        held.version = report.version;
        held.incarnation = Some(Incarnation(report.worker_incarnation));
        held.report_taken = Some(held.report_taken.map_or(taken_at, |at| at.max(taken_at)));
        held.reported_at = Some(now);
        held.leaving = report.leaving;
        let leaving = report.leaving || held.listed_leaving;
        self.scheduler.pool.set_leaving(worker, leaving && self.settings.guards.leaving);
        let listed: BTreeMap<TaskId, &v1::ReportedTask> = report
            .tasks
            .iter()
            .filter_map(|task| Some((convert::task_id(task.task.as_ref()?)?, task)))
            .collect();
        let mut others = Resources::ZERO;
        for (task, reported) in &listed {
            if reported.running && !self.started_here(task) {
                others = others
                    .plus(&reported.given.as_ref().map(convert::resources).unwrap_or_default());
            }
            self.on_reported_task(worker, *task, reported, now);
        }
        self.drop_unlisted_foreign(worker, &listed, now);
        self.settle_served(worker, taken_at, |task| is_running(&listed, task), now);
        self.settle_recorded(worker, taken_at, |task| listed.contains_key(task), now);
        self.holding.report(worker, taken_at, others, now);
    }

    /// Whether this process itself sent the start of a task.
    fn started_here(&self, task: &TaskId) -> bool {
        self.serves(task) || self.recorded.get(task).is_some_and(|task| task.started_here)
    }

    fn on_reported_task(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        reported: &v1::ReportedTask,
        now: MonoTime,
    ) {
        if self.recorded.contains_key(&task) || self.is_recorded_placement(worker, &task) {
            self.on_reported_recorded(worker, task, reported, now);
            return;
        }
        if !reported.running {
            if !reported.quick {
                self.forget_task(worker, &task);
            }
            return;
        }
        if self.serves(&task) {
            return;
        }
        self.adopt_foreign(worker, task, reported, now);
    }

    /// Accounts for a running task that this process did not start: a quick task of the former
    /// holder, or a recorded one that the log has not told of yet.
    fn adopt_foreign(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        reported: &v1::ReportedTask,
        now: MonoTime,
    ) {
        let Some(held) = self.held.get_mut(worker) else { return };
        if !held.foreign.insert(task) {
            return;
        }
        counters::bump(&self.counters.adopted);
        let given = reported.given.as_ref().map(convert::resources).unwrap_or_default();
        let meta =
            convert::meta(&v1::JobSpec { class: "urgent".to_owned(), ..v1::JobSpec::default() });
        self.scheduler.pool.give(task, worker, given, meta, now);
    }

    fn drop_unlisted_foreign(
        &mut self,
        worker: &WorkerId,
        listed: &BTreeMap<TaskId, &v1::ReportedTask>,
        now: MonoTime,
    ) {
        let Some(held) = self.held.get_mut(worker) else { return };
        let gone: Vec<TaskId> =
            held.foreign.iter().filter(|task| !is_running(listed, task)).copied().collect();
        for task in gone {
            held.foreign.remove(&task);
            self.scheduler.pool.release(&task, Outcome::Stopped, Duration::ZERO, now);
        }
    }

    /// A task that was accounted for as foreign turns out to be recorded.
    pub(crate) fn no_longer_foreign(&mut self, worker: &WorkerId, task: &TaskId, now: MonoTime) {
        let known = self.held.get_mut(worker).is_some_and(|held| held.foreign.remove(task));
        if known {
            self.scheduler.pool.release(task, Outcome::Stopped, Duration::ZERO, now);
        }
    }

    /// The end of a recorded task is in the log, or it means nothing here: the worker may forget it.
    pub(crate) fn forget_task(&mut self, worker: &WorkerId, task: &TaskId) {
        if let Some(held) = self.held.get_mut(worker) {
            held.forget.push(convert::task_key(task));
        }
    }

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
    /// slower than ours. Other holders: one that went on past its tenure renews too, so nothing has
    /// lapsed for certain while this tenure began with an unclean claim that is not cleared.
    pub(crate) fn lapsed_at(&self, worker: &WorkerId, now: MonoTime) -> Option<MonoTime> {
        let held = self.held.get(worker)?;
        if !held.is_silent() || self.holding.mode_of(&held.shard, now) == Some(Mode::Claimed) {
            return None;
        }
        if !self.settings.guards.lapse_wait {
            return Some(now);
        }
        let lease = self.settings.task_lease;
        let drift = lease.mul_f64(self.settings.hold.clock_drift_ppm as f64 * 2e-6);
        let flight = self.settings.hold.start_flight * 2;
        Some(held.lease_sent_at.max(held.gained_at) + lease + drift + flight)
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

/// Whether a report lists a task as running.
fn is_running(listed: &BTreeMap<TaskId, &v1::ReportedTask>, task: &TaskId) -> bool {
    listed.get(task).is_some_and(|reported| reported.running)
}
