//! Changes of the configuration: asked for by operators, decided by the order of the log.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lilacpass_config::{
    change::{self, Load, TeamLoad, WorkerLoad},
    fold::ChangeOutcome,
};
use lilacpass_core::{
    MonoTime, Verdict,
    ids::{Offset, Revision, ShardId, WorkerId},
};
use lilacpass_schema::v1;

use crate::{
    Control, convert, counters,
    event::{Answer, CallFailure, Caller, ChangeRequest, Effect, PeerReply, ReplyId, Role, Stream},
    history,
    inventory::{Inventory, Worker},
    problem,
};

/// Longest that an operator waits for a change to be decided.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// An operator that waits for its change to be read back.
#[derive(Debug)]
pub(crate) struct PendingChange {
    reply: ReplyId,
    until: MonoTime,
    base: Revision,
    caller: Caller,
    summary: String,
}

/// Changes that are on their way, by the id of their record.
pub(crate) type PendingChanges = BTreeMap<String, PendingChange>;

impl Control {
    /// An operator asks for a change.
    pub(crate) fn change(
        &mut self,
        reply: ReplyId,
        caller: &Caller,
        request: ChangeRequest,
        now: MonoTime,
    ) {
        let checked = self.check_change(caller, &request, now);
        let next = match checked {
            Ok(next) => next,
            Err(problem) => {
                self.audit_change(caller, request.base, None, &problem.detail, now);
                self.refuse(reply, *problem);
                return;
            }
        };
        if request.dry_run {
            let effects = self.effects(&next);
            let revision = self.config.revision().0;
            self.answer(reply, Answer::Change(v1::ChangeAnswer { revision, effects }));
            return;
        }
        let summary = summary(&request.ops);
        let record = v1::ConfigChange {
            base_revision: request.base.0,
            actor: caller.name.clone(),
            reason: request.reason,
            ops: request.ops,
        };
        let id = self.append(Stream::Config, v1::record::Body::Config(record), now);
        let pending = PendingChange {
            reply,
            until: now + CHANGE_TIMEOUT,
            base: request.base,
            caller: caller.clone(),
            summary,
        };
        self.changes.insert(id, pending);
    }

    fn check_change(
        &self,
        caller: &Caller,
        request: &ChangeRequest,
        now: MonoTime,
    ) -> Result<v1::Configuration, Box<v1::Problem>> {
        if caller.role != Role::Operator {
            let detail = "only an operator may change the configuration";
            return Err(Box::new(problem::problem(&problem::FORBIDDEN, Verdict::NotRun, detail)));
        }
        if request.base != self.config.revision() {
            return Err(Box::new(self.conflict(request.base)));
        }
        let next =
            change::apply(self.config.configuration(), &request.ops).map_err(|problems| {
                problem::problem(&problem::INVALID, Verdict::NotRun, join(&problems))
            })?;
        if let Some(worker) = self.removed_in_use(&next).filter(|_| !request.dry_run) {
            let detail = format!("worker {worker} has running tasks: drain it first");
            return Err(Box::new(problem::problem(&problem::INVALID, Verdict::NotRun, detail)));
        }
        let read = self.streams.is_complete(Stream::Config) && !self.config.has_gap();
        let log_ready = self.log_reachable(now) && read;
        if !request.dry_run && !log_ready {
            let detail = "the log service can't be reached, so no change can be accepted";
            return Err(Box::new(problem::log_down(Verdict::NotRun, detail)));
        }
        Ok(next)
    }

    /// A worker that `next` no longer has in the same place, and on which recorded tasks run: nobody
    /// could ask it how they ended, or its new holder would know nothing of what runs there.
    fn removed_in_use(&self, next: &v1::Configuration) -> Option<WorkerId> {
        let next = Inventory::index(next);
        let stays = |id: &WorkerId, worker: &Worker| {
            let same_place =
                |other: &Worker| other.shard == worker.shard && other.address == worker.address;
            next.worker(id).is_some_and(same_place)
        };
        let in_use = |id: &&WorkerId| self.jobs.placements_on(id).next().is_some();
        let moved = self.inventory.workers().filter(|(id, worker)| !stays(id, worker));
        moved.map(|(id, _)| id).find(in_use).cloned()
    }

    /// The conflict that an operator sees whose change builds on a revision that is no longer, or
    /// not yet, in force. It shows the change that won.
    fn conflict(&self, base: Revision) -> v1::Problem {
        let revision = self.config.revision();
        let detail =
            format!("the change builds on revision {base}, in force is revision {revision}");
        let problem = problem::problem(&problem::CONFLICT, Verdict::NotRun, detail);
        v1::Problem { winner: Some(self.config.winner(base)), ..problem }
    }

    /// What a change would do to what runs now.
    fn effects(&self, next: &v1::Configuration) -> Vec<String> {
        let mut running: BTreeMap<WorkerId, u64> = BTreeMap::new();
        for (_, attempt) in self.jobs.active() {
            for worker in history::running_workers(attempt) {
                *running.entry(worker).or_default() += 1;
            }
        }
        let workers =
            running.into_iter().map(|(worker, tasks)| WorkerLoad { worker, tasks }).collect();
        let usage = self.jobs.team_usage().iter();
        let teams =
            usage.map(|(team, given)| TeamLoad { team: team.clone(), allocated: *given }).collect();
        change::effects(self.config.configuration(), next, &Load { workers, teams })
    }

    /// A record of the configuration stream was read.
    pub(crate) fn on_config_record(
        &mut self,
        offset: Offset,
        record_id: &str,
        record: &v1::ConfigChange,
        now: MonoTime,
    ) {
        let before = self.config.revision();
        let outcome = if self.settings.guards.compare_and_set {
            self.config.fold(offset, record)
        } else {
            let record = v1::ConfigChange { base_revision: before.0, ..record.clone() };
            self.config.fold(offset, &record)
        };
        if self.config.revision() != before {
            self.config_changed(now);
        }
        if !matches!(outcome, ChangeOutcome::Accepted(_)) {
            counters::bump(&self.counters.records_void);
        }
        // Records before it were lost to this member: it is decided once the gap is closed, or the
        // operator is told at the end of the wait that it may be in force.
        if outcome == ChangeOutcome::Undecided {
            return;
        }
        let Some(pending) = self.changes.remove(record_id) else { return };
        let (answer, to, detail) = self.change_answer(offset, outcome, &pending);
        self.answer(pending.reply, answer);
        self.audit_change(&pending.caller, pending.base, to, &detail, now);
    }

    /// What the operator is told of a change that was read back, the revision where it is in force,
    /// and the words for the audit trail.
    fn change_answer(
        &self,
        offset: Offset,
        outcome: ChangeOutcome,
        pending: &PendingChange,
    ) -> (Answer, Option<Revision>, String) {
        let accepted = |revision: Revision| {
            let answer = v1::ChangeAnswer { revision: revision.0, effects: Vec::new() };
            (Answer::Change(answer), Some(revision), pending.summary.clone())
        };
        let refused = |problem: v1::Problem| {
            let detail = problem.detail.clone();
            (Answer::Problem(problem), None, detail)
        };
        match outcome {
            ChangeOutcome::Accepted(revision) => accepted(revision),
            // This member adopted a later configuration from a peer before it read the change, so
            // the change was decided without it.
            ChangeOutcome::Duplicate if self.config.was_accepted(offset) => {
                accepted(Revision(offset.next().0))
            }
            ChangeOutcome::Duplicate | ChangeOutcome::Undecided => {
                let detail = "decided before this instance read it; look at the revision in force";
                refused(problem::problem(&problem::CONFLICT, Verdict::MayHaveRun, detail))
            }
            ChangeOutcome::Conflict { .. } => refused(self.conflict(pending.base)),
            ChangeOutcome::Invalid(problems) => {
                refused(problem::problem(&problem::INVALID, Verdict::NotRun, join(&problems)))
            }
        }
    }

    /// A peer has sent its configuration.
    pub(crate) fn fetch_config_done(
        &mut self,
        result: Result<PeerReply, CallFailure>,
        now: MonoTime,
    ) {
        self.fetching_config = false;
        let Ok(PeerReply::FetchConfig(answer)) = result else { return };
        let Some(snapshot) = answer.snapshot else { return };
        let before = self.config.revision();
        self.config.adopt(&snapshot);
        if self.config.revision() != before {
            self.config_changed(now);
        }
    }

    /// The answer to a peer that asks for the configuration in force.
    pub(crate) fn config_for_peer(
        &self,
        request: &v1::FetchConfigRequest,
    ) -> v1::FetchConfigAnswer {
        let newer = self.config.revision().0 > request.known_revision;
        v1::FetchConfigAnswer { snapshot: if newer { self.config.snapshot() } else { None } }
    }

    /// Another revision is in force here.
    pub(crate) fn config_changed(&mut self, now: MonoTime) {
        let configuration = Arc::clone(self.config.configuration());
        let revision = self.config.revision();
        self.behind_since = None;
        // A peer that is cut from the log learns of the change from the next heartbeat: now.
        for (_, peer) in self.members.iter_mut().filter(|(_, peer)| !peer.log_reachable) {
            peer.heartbeat_at = now;
        }
        log::info!(revision:% = revision; "configuration in force");
        counters::set(&self.counters.revision, revision.0);
        self.inventory = Inventory::index(&configuration);
        self.holding.set_shards(self.inventory.shards(&self.settings.data_centre), now);
        let policy = convert::policy(&configuration);
        self.queue.set_policy(policy.clone());
        self.scheduler.set_policy(policy);
        let held: Vec<WorkerId> = self.held.keys().cloned().collect();
        for id in held {
            match self.inventory.worker(&id) {
                Some(_) => self.upsert_pool_worker(&id, now),
                None => self.untrack_worker(&id, now),
            }
        }
        let shards: Vec<ShardId> = self.holding.held().cloned().collect();
        for shard in shards {
            self.track_shard(&shard, now);
        }
        self.out.push(Effect::InForce { revision, configuration });
    }

    /// Changes that were certainly not written are refused at once.
    pub(crate) fn refuse_unsent_changes(&mut self, now: MonoTime) {
        for record in self.take_unsent(Stream::Config, is_change) {
            let Some(pending) = self.changes.remove(&record.record_id) else { continue };
            let detail = "the log service did not take the change";
            self.refuse_change(&pending, problem::log_down(Verdict::NotRun, detail), now);
        }
    }

    /// Operators whose change was not decided in time are told that it may yet come into force.
    pub(crate) fn expire_changes(&mut self, now: MonoTime) {
        let is_over = |change: &PendingChange| change.until.reached(now);
        let over: Vec<String> = self
            .changes
            .iter()
            .filter(|(_, change)| is_over(change))
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            let unsent =
                !self.take_unsent(Stream::Config, |record| record.record_id == id).is_empty();
            let Some(pending) = self.changes.remove(&id) else { continue };
            let verdict = if unsent { Verdict::NotRun } else { Verdict::MayHaveRun };
            let detail =
                "the log service did not decide the change in time; look at the revision in force";
            self.refuse_change(&pending, problem::log_down(verdict, detail), now);
        }
    }

    fn refuse_change(&mut self, pending: &PendingChange, problem: v1::Problem, now: MonoTime) {
        self.audit_change(&pending.caller, pending.base, None, &problem.detail, now);
        self.refuse(pending.reply, problem);
    }

    fn audit_change(
        &mut self,
        caller: &Caller,
        base: Revision,
        to: Option<Revision>,
        detail: &str,
        now: MonoTime,
    ) {
        self.audit_entry(caller, "change", "configuration", (base, to), detail, now);
    }

    /// Writes an entry of the audit trail; `revisions` are those before and, where accepted, after.
    pub(crate) fn audit_entry(
        &mut self,
        caller: &Caller,
        action: &str,
        subject: &str,
        revisions: (Revision, Option<Revision>),
        detail: &str,
        now: MonoTime,
    ) {
        let (from, to) = revisions;
        let entry = v1::AuditEntry {
            actor: caller.name.clone(),
            origin: caller.origin.map(|origin| origin.ip().to_string()).unwrap_or_default(),
            entry: self.settings.me.to_string(),
            action: action.to_owned(),
            subject: subject.to_owned(),
            from_revision: from.0,
            to_revision: to.map_or(0, |revision| revision.0),
            accepted: to.is_some(),
            detail: detail.to_owned(),
            at_unix_ms: 0,
        };
        self.append(Stream::Audit, v1::record::Body::Audit(entry), now);
    }
}

fn is_change(record: &v1::Record) -> bool {
    matches!(record.body, Some(v1::record::Body::Config(_)))
}

fn summary(ops: &[v1::ConfigOp]) -> String {
    const MAX_SHOWN: usize = 8;
    let shown: Vec<String> = ops.iter().take(MAX_SHOWN).map(change::describe_op).collect();
    let more = ops.len().saturating_sub(MAX_SHOWN);
    if more > 0 { format!("{} and {more} more", shown.join(", ")) } else { shown.join(", ") }
}

fn join(problems: &[lilacpass_config::Problem]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
