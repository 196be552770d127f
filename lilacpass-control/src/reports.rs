//! Reports of held workers: asked for, and compared with what this instance accounts for.

use std::{collections::BTreeMap, time::Duration};

use lilacpass_core::{
    MonoTime, Resources,
    ids::{Incarnation, TaskId, WorkerId},
};
use lilacpass_decide::Outcome;
use lilacpass_schema::v1;

use crate::{
    Control,
    calls::Pending,
    convert, counters,
    event::{CallFailure, CallId, WorkerCall, WorkerReply},
    workers::SILENT_AFTER,
};

/// Added to the wait of a report call before it is given up.
const REPORT_MARGIN: Duration = Duration::from_millis(800);
/// Shortest time between two report calls to a worker.
const REPORT_PAUSE: Duration = Duration::from_millis(20);
/// Time between two report calls while they fail.
const REPORT_RETRY: Duration = Duration::from_millis(250);

impl Control {
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
}

/// Whether a report lists a task as running.
fn is_running(listed: &BTreeMap<TaskId, &v1::ReportedTask>, task: &TaskId) -> bool {
    listed.get(task).is_some_and(|reported| reported.running)
}
