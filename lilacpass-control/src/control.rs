//! The state of control and the order in which an event is handled.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use lilacpass_config::fold::ConfigFold;
use lilacpass_core::{
    Class, MonoTime,
    ids::{JobId, RequestId, ShardId, TaskId},
};
use lilacpass_decide::{JobQueue, Scheduler, SchedulerOptions, budget::RetryBudget};
use lilacpass_hold::Holding;
use lilacpass_records::{
    audit::AuditWindow,
    jobs::{Jobs, JobsOptions},
};
use lilacpass_schema::v1;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    calls::{PeerOrigin, Pending},
    change::PendingChanges,
    counters::{self, Counters},
    event::{
        Answer, CallFailure, CallId, Effect, Event, PeerCall, PeerReply, ReplyId, Request, Stream,
    },
    inventory::Inventory,
    members::Members,
    outbox::{self, Outbox},
    preparing::{PreparingJobs, Tries},
    quick_requests::{AttemptEnd, QuickRequests},
    serve::ServedTasks,
    settings::ControlSettings,
    snapshots::JobsSnapshot,
    standing::StandingAsked,
    stop::Stop,
    stranded::Stranded,
    streams::Streams,
    tasks::{RecordedTasks, RefusedTasks},
    waiters::Waiters,
    workers::HeldWorkers,
};

/// Longest time between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// Shortest time between two rounds over all held workers and peers.
const ROUND: Duration = Duration::from_millis(5);
/// Time between two rounds of work that need not be done at once.
const SLOW_ROUND: Duration = Duration::from_millis(500);
/// Entries of the audit trail that are kept in memory.
const AUDIT_WINDOW: usize = 2_000;
/// Memory for them, in bytes.
const AUDIT_WINDOW_BYTES: usize = 4 << 20;
/// Retries that the budget saves up at most.
const RETRY_BURST: u32 = 20;

/// The control state machine of one entry instance.
#[derive(Debug)]
pub struct Control {
    pub(crate) settings: ControlSettings,
    pub(crate) counters: Arc<Counters>,
    pub(crate) rng: StdRng,
    /// Effects of the event that is handled now.
    pub(crate) out: Vec<Effect>,
    pub(crate) last_call: u64,
    pub(crate) last_record: u64,
    pub(crate) calls: BTreeMap<CallId, Pending>,
    /// Peer calls of this instance to itself.
    pub(crate) own_calls: VecDeque<(CallId, PeerCall)>,
    /// Answers to peer calls of this instance to itself, and to calls that could not be sent.
    pub(crate) own_replies: VecDeque<(CallId, Result<PeerReply, CallFailure>)>,
    /// Ends of attempts of own quick requests that this instance served itself.
    pub(crate) attempt_ends: VecDeque<(RequestId, TaskId, AttemptEnd)>,
    pub(crate) outboxes: BTreeMap<Stream, Outbox>,
    pub(crate) streams: Streams,
    /// The snapshot of the jobs that this instance is writing.
    pub(crate) jobs_snapshot: Option<JobsSnapshot>,
    pub(crate) stranded: Stranded,
    pub(crate) members: Members,
    pub(crate) holding: Holding,
    /// Shards that are being given up: nothing more is started there.
    pub(crate) releasing: BTreeSet<ShardId>,
    /// Releases that wait for starts under way.
    pub(crate) deferred_releases: Vec<v1::HoldingRecord>,
    pub(crate) config: ConfigFold,
    pub(crate) fetching_config: bool,
    /// Since when a peer is known to have a newer revision.
    pub(crate) behind_since: Option<MonoTime>,
    pub(crate) inventory: Inventory,
    pub(crate) changes: PendingChanges,
    pub(crate) audit: AuditWindow,
    pub(crate) jobs: Jobs,
    pub(crate) queue: JobQueue,
    pub(crate) preparing: PreparingJobs,
    pub(crate) last_round: u64,
    pub(crate) tries: BTreeMap<JobId, Tries>,
    pub(crate) waiters: Waiters,
    pub(crate) standing_asked: StandingAsked,
    /// Jobs of the configuration's standing work that have not ended, with the names of the entries.
    pub(crate) standing_open: BTreeMap<JobId, String>,
    /// Jobs of whose active attempt some task has ended without success.
    pub(crate) broken: BTreeSet<JobId>,
    pub(crate) scheduler: Scheduler,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) quick: QuickRequests,
    pub(crate) served: ServedTasks,
    pub(crate) held: HeldWorkers,
    pub(crate) recorded: RecordedTasks,
    pub(crate) refused: RefusedTasks,
    pub(crate) stop: Stop,
    pub(crate) ready: bool,
    round_at: MonoTime,
    /// Whether an event was handled since the last round.
    round_due: bool,
    slow_round_at: MonoTime,
}

impl Control {
    /// The state of an instance that has just started and knows nothing yet.
    pub fn new(settings: ControlSettings, now: MonoTime) -> Self {
        let mut holding =
            Holding::new(settings.me.clone(), settings.incarnation, settings.hold.clone(), now);
        holding.set_address(&settings.peer_address.to_string());
        let scheduler =
            SchedulerOptions { max_queued: settings.max_queued, ..SchedulerOptions::default() };
        let jobs = JobsOptions {
            keep_ended: settings.keep_ended,
            max_result_bytes: settings.max_result_bytes,
            ..JobsOptions::default()
        };
        let percent = u32::try_from(settings.retry_budget_percent).unwrap_or(u32::MAX);
        Self {
            counters: Arc::new(Counters::default()),
            rng: StdRng::seed_from_u64(settings.seed),
            out: Vec::new(),
            last_call: 0,
            last_record: 0,
            calls: BTreeMap::new(),
            own_calls: VecDeque::new(),
            own_replies: VecDeque::new(),
            attempt_ends: VecDeque::new(),
            outboxes: outbox::outboxes(settings.batch),
            streams: Streams::new(settings.snapshot_records, now),
            jobs_snapshot: None,
            stranded: Stranded::default(),
            members: Members::default(),
            holding,
            releasing: BTreeSet::new(),
            deferred_releases: Vec::new(),
            config: ConfigFold::new(),
            fetching_config: false,
            behind_since: None,
            inventory: Inventory::default(),
            changes: BTreeMap::new(),
            audit: AuditWindow::new(AUDIT_WINDOW, AUDIT_WINDOW_BYTES),
            jobs: Jobs::new(jobs),
            queue: JobQueue::new(),
            preparing: BTreeMap::new(),
            last_round: 0,
            tries: BTreeMap::new(),
            waiters: BTreeMap::new(),
            standing_asked: BTreeMap::new(),
            standing_open: BTreeMap::new(),
            broken: BTreeSet::new(),
            scheduler: Scheduler::new(scheduler),
            retry_budget: RetryBudget::new(percent, RETRY_BURST),
            quick: QuickRequests::default(),
            served: BTreeMap::new(),
            held: BTreeMap::new(),
            recorded: BTreeMap::new(),
            refused: BTreeSet::new(),
            stop: Stop::No,
            ready: false,
            round_at: now,
            round_due: false,
            slow_round_at: now,
            settings,
        }
    }

    /// The counters, to be read while control runs.
    pub fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.counters)
    }

    /// Handles one event and adds what is to be done to `out`.
    pub fn handle(&mut self, event: Event, now: MonoTime, out: &mut Vec<Effect>) {
        counters::bump(&self.counters.events);
        self.on_event(event, now);
        self.run_own_calls(now);
        self.run_rounds(now);
        self.run_own_calls(now);
        self.flush_outboxes(now);
        out.append(&mut self.out);
    }

    /// When control wants to be called again, with [`Event::Tick`] where nothing else happens.
    pub fn next_wake(&self, now: MonoTime) -> MonoTime {
        let wakes = [
            Some(if self.round_due { self.round_at } else { now + TICK }),
            self.outbox_wake(),
            self.quick.next_deadline(),
            self.scheduler.next_wake(now),
            Some(self.holding.next_wake(now)),
        ];
        wakes.into_iter().flatten().min().unwrap_or(now + TICK).max(now)
    }

    fn on_event(&mut self, event: Event, now: MonoTime) {
        match event {
            Event::Tick => {}
            Event::Request { reply, caller, request } => {
                self.on_request(reply, &caller, request, now);
            }
            Event::Gone { reply } => self.quick_gone(reply, now),
            Event::PeerRequest { reply, request } => {
                self.on_peer_request(PeerOrigin::Remote(reply), request, now);
            }
            Event::PeerDone { call, result } => self.on_peer_done(call, result, now),
            Event::WorkerDone { call, sent_at, result } => {
                let result = result.map_err(|failure| self.trusted(failure));
                self.on_worker_done(call, sent_at, result, now);
            }
            Event::Appended { call, result } => match self.calls.remove(&call) {
                Some(Pending::Append(stream)) => self.append_done(stream, result, now),
                Some(Pending::AppendHolding(records)) => {
                    self.holding_appended(&records, result, now);
                }
                _ => {}
            },
            Event::Read { stream, sent_at, records, tail, oldest } => {
                self.on_read(stream, sent_at, records, (tail, oldest), now);
            }
            Event::ReadFailed { .. } => self.log_failed(now),
            Event::InstanceList(list) => self.on_instance_list(&list, now),
            Event::Stop => self.on_stop(now),
        }
    }

    /// A call without an answer may have run; without that guard it is taken for one that did not.
    fn trusted(&self, failure: CallFailure) -> CallFailure {
        match self.settings.guards.unanswered_may_have_run {
            true => failure,
            false => CallFailure { verdict: lilacpass_core::Verdict::NotRun, ..failure },
        }
    }

    fn on_request(
        &mut self,
        reply: ReplyId,
        caller: &crate::event::Caller,
        request: Request,
        now: MonoTime,
    ) {
        match request {
            Request::Change(change) => self.change(reply, caller, change, now),
            Request::Refused { action, detail } => {
                let revision = self.config.revision();
                self.audit_entry(caller, &action, "", (revision, None), &detail, now);
                self.answer(reply, Answer::Done);
            }
            Request::Jobs
            | Request::Changes
            | Request::Inventory
            | Request::Workers
            | Request::Status
            | Request::Audit => self.on_view_request(reply, caller, &request, now),
            _ => self.on_work_request(reply, caller, request, now),
        }
    }

    fn on_peer_request(&mut self, origin: PeerOrigin, request: PeerCall, now: MonoTime) {
        match request {
            PeerCall::Heartbeat(beat) => self.on_heartbeat(origin, &beat, now),
            PeerCall::Forward(forward) => self.on_forward(origin, forward, now),
            PeerCall::CancelForward(cancel) => self.on_cancel_forward(origin, &cancel, now),
            PeerCall::Hold(hold) => self.on_hold(origin, &hold, now),
            PeerCall::Unhold(unhold) => self.on_unhold(origin, &unhold),
            PeerCall::StartHeld(start) => self.on_start_held(origin, &start, now),
            PeerCall::StopTasks(stop) => self.on_stop_tasks(origin, &stop, now),
            PeerCall::FetchConfig(fetch) => {
                let answer = self.config_for_peer(&fetch);
                self.reply_peer(origin, Ok(PeerReply::FetchConfig(Box::new(answer))));
            }
        }
    }

    fn on_peer_done(
        &mut self,
        call: CallId,
        result: Result<PeerReply, CallFailure>,
        now: MonoTime,
    ) {
        match self.calls.remove(&call) {
            Some(Pending::Heartbeat(peer)) => self.on_heartbeat_done(&peer, result, now),
            Some(Pending::FetchConfig) => self.fetch_config_done(result, now),
            Some(Pending::Forward { request, task, holder }) => {
                self.forward_done(request, task, &holder, result, now);
            }
            Some(Pending::Hold { job, attempt, round, holder }) => {
                self.hold_done(job, (attempt, round), &holder, result, now);
            }
            Some(Pending::StartHeld { job, attempt }) => self.start_held_done(job, attempt),
            _ => {}
        }
    }

    fn on_worker_done(
        &mut self,
        call: CallId,
        sent_at: MonoTime,
        result: Result<crate::event::WorkerReply, CallFailure>,
        now: MonoTime,
    ) {
        match self.calls.remove(&call) {
            Some(Pending::Run { task, worker }) => {
                self.run_done(task, &worker, sent_at, result, now);
                self.close_idle_worker(&worker);
            }
            Some(Pending::Start { task, worker }) => {
                self.start_done(task, &worker, sent_at, result, now);
                self.close_idle_worker(&worker);
            }
            Some(Pending::Report { worker }) => {
                self.report_done(call, &worker, sent_at, result, now);
            }
            Some(Pending::Renew { worker }) => self.lease_sent(&worker, sent_at),
            _ => {}
        }
    }

    /// Carries out the calls of this instance to itself, and what follows from them.
    fn run_own_calls(&mut self, now: MonoTime) {
        loop {
            if let Some((call, request)) = self.own_calls.pop_front() {
                self.on_peer_request(PeerOrigin::Own(call), request, now);
            } else if let Some((call, result)) = self.own_replies.pop_front() {
                self.on_peer_done(call, result, now);
            } else if let Some((id, task, end)) = self.attempt_ends.pop_front() {
                self.attempt_ended(id, task, end, now);
            } else {
                return;
            }
        }
    }

    /// What is looked at after each event, and in rounds.
    fn run_rounds(&mut self, now: MonoTime) {
        self.round_due = !self.round_at.reached(now);
        if !self.round_due {
            self.round_at = now + ROUND;
            self.run_round(now);
        }
        if self.slow_round_at.reached(now) {
            self.slow_round_at = now + SLOW_ROUND;
            self.run_slow_round(now);
        }
        self.dispatch(now);
        self.expire_quick(now);
    }

    fn run_round(&mut self, now: MonoTime) {
        // A newer process of the same name has taken this one's place, so this one stops.
        if self.holding.superseded() && !self.is_leaving() {
            log::error!("a newer process of this name is in the log; stopping");
            self.on_stop(now);
        }
        self.tick_holding(now);
        self.refresh_limits(now);
        self.scheduler.pool.expire(now);
        self.ask_reports(now);
        self.renew_tasks(now);
        self.send_heartbeats(now);
        self.drive(now);
        self.advance_stop(now);
    }

    fn run_slow_round(&mut self, now: MonoTime) {
        self.expire_preparing(now);
        self.expire_waiters(now);
        self.expire_changes(now);
        self.lapse_silent_workers(now);
        self.stop_unwanted_tasks(now);
        self.keep_gangs_whole(now);
        self.align_standing(now);
        self.write_snapshots(now);
        self.watch_stranded(now);
        self.jobs.expire(now);
        self.count_peers(now);
        self.count_work(now);
        self.update_ready();
    }

    /// An instance takes traffic once it knows a configuration, and no longer once it is to stop.
    fn update_ready(&mut self) {
        let ready = self.config.revision().0 > 0 && !self.is_leaving();
        if ready != self.ready {
            self.ready = ready;
            self.out.push(Effect::Ready(ready));
        }
    }

    fn count_work(&mut self, now: MonoTime) {
        let counters = &self.counters;
        let queued = self.scheduler.queued(Class::Urgent);
        counters::set(&counters.queued_urgent, queued as u64);
        counters::set(&counters.jobs_waiting, self.jobs.waiting_len() as u64);
        counters::set(&counters.jobs_active, self.jobs.active_len() as u64);
        counters::set(&counters.log_reachable, u64::from(self.log_reachable(now)));
        counters::set(&counters.watchers_silent, self.silent_watchers().len() as u64);
        let free = self.scheduler.pool.digest().free;
        counters::set(&counters.free_cpu_milli, free.cpu.0);
        let given = self.held.keys().map(|id| self.scheduler.pool.given(id).cpu.0).sum();
        counters::set(&counters.given_cpu_milli, given);
        let quarantined = self.scheduler.pool.quarantined().count() as u64;
        counters::set(&counters.workers_quarantined, quarantined);
    }

    /// Answers a caller.
    pub(crate) fn answer(&mut self, to: ReplyId, answer: Answer) {
        self.out.push(Effect::Reply { to, answer });
    }

    /// A random 128-bit number.
    pub(crate) fn random_u128(&mut self) -> u128 {
        self.rng.random()
    }

    /// A random number from 0 up to 1.
    pub(crate) fn random_fraction(&mut self) -> f64 {
        self.rng.random()
    }
}
