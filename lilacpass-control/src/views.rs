//! What callers and operators can look at: jobs, workers, status, the audit trail.

use std::collections::BTreeMap;

use lilacpass_core::{
    Class, MonoTime, Resources, Verdict,
    ids::{JobId, WorkerId},
};
use lilacpass_decide::{WaitReason, share::TeamUsage};
use lilacpass_hold::Mode;
use lilacpass_records::{audit::AuditFilter, jobs::Job};
use lilacpass_schema::v1;

use crate::{
    Control, convert,
    event::{Answer, Caller, ReplyId, Request, Role},
    workers::HeldWorker,
};

/// Most jobs in one list.
const MAX_JOBS: usize = 1_000;
/// A watcher whose last heartbeat is older than this counts as silent, in milliseconds.
const SILENT_WATCHER_MS: u64 = 10_000;

impl Control {
    /// Routes a request that only looks.
    pub(crate) fn on_view_request(
        &mut self,
        to: ReplyId,
        caller: &Caller,
        request: &Request,
        now: MonoTime,
    ) {
        let answer = match request {
            Request::Jobs => Answer::Jobs(self.job_list(caller)),
            Request::Changes => Answer::Changes(self.change_list()),
            Request::Inventory => Answer::Inventory(self.inventory_view(caller)),
            Request::Workers => Answer::Workers(self.worker_list(now)),
            Request::Status => Answer::Status(Box::new(self.status(now))),
            _ => Answer::Audit(v1::AuditList {
                entries: self
                    .audit
                    .select(&AuditFilter::default())
                    .map(|(_, entry)| entry.clone())
                    .collect(),
            }),
        };
        self.answer(to, answer);
    }

    /// How much each team has, over the whole cell, as far as the log tells.
    pub(crate) fn team_usage(&self) -> TeamUsage {
        let mut usage = TeamUsage::new(self.inventory.cell());
        for (team, given) in self.jobs.team_usage() {
            usage.add(team, given);
        }
        usage
    }

    fn job_list(&self, caller: &Caller) -> v1::JobList {
        let jobs = self
            .jobs
            .iter()
            .map(Job::id)
            .filter(|id| self.may_see(caller, *id))
            .filter_map(|id| self.job_view(id))
            .take(MAX_JOBS)
            .collect();
        v1::JobList { jobs }
    }

    /// A job as callers see it.
    pub(crate) fn job_view(&self, id: JobId) -> Option<v1::JobView> {
        let job = self.jobs.get(&id)?;
        let spec = job.spec();
        let mut view = v1::JobView {
            job_id: id.to_string(),
            state: self.job_state(id).to_owned(),
            verdict: waiting_verdict(job).as_str().to_owned(),
            team: spec.team.clone(),
            service: spec.service.clone(),
            kind: spec.kind.clone(),
            class: spec.class.clone(),
            tasks: convert::task_count(spec),
            standing: spec.standing,
            ..v1::JobView::default()
        };
        if let Some(attempt) = job.attempt() {
            view.attempt = attempt.number.0;
            view.placements = attempt.placements().to_vec();
            Verdict::MayHaveRun.as_str().clone_into(&mut view.verdict);
        }
        if let Some(ended) = job.ended() {
            ended.verdict.as_str().clone_into(&mut view.verdict);
            view.result = ended.results.join("\n");
            view.reason.clone_from(&ended.reason);
        }
        Some(view)
    }

    fn job_state(&self, id: JobId) -> &'static str {
        let Some(job) = self.jobs.get(&id) else { return "unknown" };
        if let Some(ended) = job.ended() {
            return match (ended.succeeded, ended.verdict) {
                _ if ended.cancelled => "cancelled",
                (true, _) => "succeeded",
                (false, Verdict::MayHaveRun) => "may_have_run",
                (false, _) => "failed",
            };
        }
        match job.attempt() {
            Some(_) if job.cancelled_by().is_some() => "stopping",
            Some(_) => "running",
            None if self.preparing.contains_key(&id) => "starting",
            None => "waiting",
        }
    }

    /// Why a job waits, and what would end the wait.
    pub(crate) fn explain(&self, id: JobId, now: MonoTime) -> v1::Explanation {
        let state = self.job_state(id).to_owned();
        let mut explanation =
            v1::Explanation { job_id: id.to_string(), state, ..v1::Explanation::default() };
        let usage = self.team_usage();
        let Some(waiting) = self.queue.explain(&id, &usage, now) else {
            "it does not wait".clone_into(&mut explanation.reason);
            return explanation;
        };
        explanation.ahead = waiting.ahead;
        explanation.waiting_ms = convert::millis(waiting.waited);
        let (reason, remedy) = self.wait_reason(id, waiting.reason, now);
        explanation.reason = reason;
        explanation.remedy = remedy;
        explanation
    }

    fn wait_reason(&self, id: JobId, reason: WaitReason, now: MonoTime) -> (String, String) {
        let spec = self.jobs.get(&id).map(|job| job.spec().clone()).unwrap_or_default();
        let need = convert::task_size(&spec);
        if !self.inventory.could_hold(&need) {
            let reason = format!("no worker of the inventory can hold {need}");
            return (
                reason,
                "a larger worker in the inventory, or a smaller declared size".to_owned(),
            );
        }
        if !self.log_reachable(now) {
            let reason =
                "the log service can't be reached, so no attempt can be recorded".to_owned();
            return (reason, "the log service answers again".to_owned());
        }
        match reason {
            WaitReason::Behind => {
                ("others go first".to_owned(), "those ahead are placed".to_owned())
            }
            WaitReason::OverQuota => (
                format!("team {} has used up its quota and may not borrow", spec.team),
                "work of the team ends, or a larger quota".to_owned(),
            ),
            WaitReason::NoRoom | WaitReason::Next => {
                let last =
                    self.tries.get(&id).map(|tries| tries.reason.clone()).unwrap_or_default();
                let reason =
                    if last.is_empty() { "it is the first in line".to_owned() } else { last };
                (reason, "running work ends, or more workers".to_owned())
            }
        }
    }

    fn change_list(&self) -> v1::ChangeList {
        let changes = self.config.changes().map(v1::ChangeView::from).collect();
        v1::ChangeList { changes }
    }

    /// The configuration in force. Hashes of tokens are for operators only.
    fn inventory_view(&self, caller: &Caller) -> v1::InventoryView {
        let mut configuration = v1::Configuration::clone(self.config.configuration());
        if caller.role != Role::Operator {
            configuration.tokens.clear();
        }
        v1::InventoryView { revision: self.config.revision().0, configuration: Some(configuration) }
    }

    fn worker_list(&self, now: MonoTime) -> v1::WorkerList {
        let quarantined: BTreeMap<&WorkerId, String> = self
            .scheduler
            .pool
            .quarantined()
            .map(|(id, reason)| (id, reason.to_string()))
            .collect();
        let workers = self
            .inventory
            .workers()
            .map(|(id, worker)| {
                let held = self.held.get(id);
                let (state, reason) = worker_state(held, worker.draining, quarantined.get(id));
                let holder = self.holding.holder_of(&worker.shard);
                let given = held.map_or(Resources::ZERO, |_| self.scheduler.pool.given(id));
                v1::WorkerView {
                    name: id.to_string(),
                    data_centre: worker.data_centre.to_string(),
                    rack: worker.rack.to_string(),
                    state: state.to_owned(),
                    holder: holder.map(ToString::to_string).unwrap_or_default(),
                    epoch: self.holding.epoch_of(&worker.shard).map_or(0, |epoch| epoch.0),
                    capacity: Some(convert::amount(&worker.capacity)),
                    given: Some(convert::amount(&given)),
                    tasks: self.worker_tasks(id),
                    reason,
                }
            })
            .collect();
        let _ = now;
        v1::WorkerList { workers }
    }

    fn worker_tasks(&self, id: &WorkerId) -> Vec<v1::WorkerTaskView> {
        self.scheduler
            .pool
            .tasks_on(id)
            .map(|(task, given)| v1::WorkerTaskView {
                task: task.to_string(),
                team: given.meta.team.to_string(),
                class: given.meta.class.to_string(),
            })
            .collect()
    }

    /// The state of the system at a glance, as this instance sees it.
    fn status(&self, now: MonoTime) -> v1::StatusView {
        let answered = self.streams.answered_at();
        let workers_total = self.inventory.workers().count();
        v1::StatusView {
            instance: self.settings.me.to_string(),
            data_centre: self.settings.data_centre.to_string(),
            revision: self.config.revision().0,
            ready: self.ready,
            log_reachable: self.log_reachable(now),
            log_silent_ms: answered.map_or(u64::MAX, |at| convert::millis(now.since(at))),
            members: self.member_views(now),
            classes: Class::ALL.into_iter().map(|class| self.class_view(class, now)).collect(),
            holdings: self.holding_views(now),
            silent_watchers: self.silent_watchers(),
            quarantined_workers: self
                .scheduler
                .pool
                .quarantined()
                .map(|(id, _)| id.to_string())
                .collect(),
            workers_total: u32::try_from(workers_total).unwrap_or(u32::MAX),
            workers_held: u32::try_from(self.held.len()).unwrap_or(u32::MAX),
            jobs_running: u32::try_from(self.jobs.active().count()).unwrap_or(u32::MAX),
        }
    }

    fn member_views(&self, now: MonoTime) -> Vec<v1::MemberView> {
        let silent = self.settings.silent;
        let own = v1::MemberView {
            name: self.settings.me.to_string(),
            data_centre: self.settings.data_centre.to_string(),
            state: if self.is_leaving() { "leaving" } else { "alive" }.to_owned(),
            revision: self.config.revision().0,
            silent_ms: 0,
        };
        let peers = self.members.iter().map(|(id, peer)| {
            let state = match (peer.is_alive(silent, now), peer.leaving) {
                (false, _) => "silent",
                (true, true) => "leaving",
                (true, false) => "alive",
            };
            v1::MemberView {
                name: id.to_string(),
                data_centre: peer.data_centre.to_string(),
                state: state.to_owned(),
                revision: peer.revision.0,
                silent_ms: peer.heard_at.map_or(0, |at| convert::millis(now.since(at))),
            }
        });
        std::iter::once(own).chain(peers).collect()
    }

    fn class_view(&self, class: Class, now: MonoTime) -> v1::ClassView {
        let jobs: Vec<_> =
            self.jobs.waiting().filter(|job| convert::class(job.spec()) == class).collect();
        let oldest_job = jobs.iter().map(|job| now.since(job.since())).max();
        let oldest = oldest_job.max(self.scheduler.oldest(class, now)).unwrap_or_default();
        let waiting = jobs.len() + self.scheduler.queued(class);
        let running = self.jobs.active().filter(|(id, _)| {
            self.jobs.get(id).is_some_and(|job| convert::class(job.spec()) == class)
        });
        v1::ClassView {
            class: class.to_string(),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            oldest_ms: convert::millis(oldest),
            running: u32::try_from(running.count()).unwrap_or(u32::MAX),
        }
    }

    fn holding_views(&self, now: MonoTime) -> Vec<v1::HoldingView> {
        let mut modes: BTreeMap<String, u32> = BTreeMap::new();
        for shard in self.holding.held() {
            let mode = self
                .holding
                .mode_of(shard, now)
                .map_or("none".to_owned(), |mode| mode_name(mode).to_owned());
            *modes.entry(mode).or_default() += 1;
        }
        modes.into_iter().map(|(mode, shards)| v1::HoldingView { mode, shards }).collect()
    }

    pub(crate) fn silent_watchers(&self) -> Vec<String> {
        self.recorded
            .iter()
            .filter(|(task, recorded)| {
                let standing = self.jobs.get(&task.job).is_some_and(|job| job.spec().standing);
                standing && recorded.heartbeat_age_ms > SILENT_WATCHER_MS
            })
            .map(|(task, _)| task.job.to_string())
            .collect()
    }
}

/// The verdict on a job that waits: earlier attempts may have started.
fn waiting_verdict(job: &Job) -> Verdict {
    if job.may_have_started() { Verdict::MayHaveRun } else { Verdict::NotRun }
}

fn mode_name(mode: Mode) -> &'static str {
    match mode {
        Mode::Lease => "lease",
        Mode::Grants => "grants",
        Mode::Escrow => "escrow",
        Mode::Claimed => "claimed",
    }
}

fn worker_state(
    held: Option<&HeldWorker>,
    draining: bool,
    quarantined: Option<&String>,
) -> (&'static str, String) {
    match (held, quarantined) {
        (Some(held), _) if held.is_leaving() => ("leaving", String::new()),
        (Some(held), _) if held.is_silent() => ("silent", "its reports fail".to_owned()),
        (_, Some(reason)) => ("quarantined", reason.clone()),
        _ if draining => ("draining", String::new()),
        (Some(_), None) => ("serving", String::new()),
        (None, None) => ("unheld", "held by another instance, or by none".to_owned()),
    }
}
