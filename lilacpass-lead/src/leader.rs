//! The state of the leader, and the dispatch of events to its parts.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    sync::Arc,
};

use lilacpass_core::{Resources, hash_map::HashMap};
use lilacpass_jobs::{Job, JobKey, Outcome, StepName, TaskName, WorkerName, step::Step};

use lilacpass_schema::v1;

use crate::{
    accounts::{AccountNumber, Accounts},
    advice::{Lanes, StepAdvice},
    advice_claims::AdviceClaims,
    advice_hedge::AdviceHedge,
    advice_queue::AdviceQueue,
    capacity_index::CapacityIndex,
    counters::Counters,
    data_centres::DataCentres,
    event::{Effect, Event, Now, Registration},
    fair_use::FairUse,
    incarnations::Incarnations,
    job_memory::JobMemory,
    learned::Learned,
    log_limit::LogLimit,
    open_jobs::OpenJobs,
    options::{Mechanism, Options},
    outages::RecentOutages,
    outbox::Outbox,
    pending_changes::PendingChanges,
    place,
    pressure::Pressure,
    probes::Probes,
    rank::Rank,
    registration_age::RegistrationAge,
    reservations::Reservations,
    response_loss::ResponseLossMeter,
    roster::Roster,
    scan::Scan,
    waiting::WaitingSteps,
    work::{Part, SchedulingWork, VisitCounter},
    work_budget::WorkBudget,
    worker::{Phase, Worker},
};

/// A job with what the leader keeps about it beside its stored records.
#[derive(Debug)]
pub struct JobEntry {
    /// The job and the state of its tasks.
    pub job: Job,
    /// The payload of the job, shared by all starts of its tasks.
    pub payload: Arc<str>,
    /// The account that the job belongs to; `None` if its queue is public.
    pub account: Option<AccountNumber>,
    /// Whether the plan of the job is stored, so that its client may be told that it is accepted.
    pub is_plan_stored: bool,
    /// The outcome that clients see: the latest one that is stored.
    pub visible_outcome: Outcome,
    /// Workers on which its tasks have failed or stalled since a task of the job last completed, each with the time of
    /// the last failure on the monotonic clock.
    pub failed_on: BTreeMap<WorkerName, u64>,
    /// Tasks that are to have a copy, because their only run may be lost.
    pub wanted_copies: BTreeSet<TaskName>,
    /// How often each task has been preempted.
    pub preemptions: BTreeMap<TaskName, u32>,
    /// Addresses of workers that crashed while they ran its tasks.
    pub crashed_addresses: BTreeSet<String>,
    /// The data centre in which its tasks are to run, once one has been chosen.
    pub home_data_centre: Option<String>,
}

impl JobEntry {
    /// Creates the entry of a job.
    pub fn new(job: Job, account: Option<AccountNumber>, is_plan_stored: bool) -> Self {
        Self {
            payload: Arc::from(job.plan.payload.as_str()),
            visible_outcome: job.outcome,
            account,
            is_plan_stored,
            job,
            failed_on: BTreeMap::new(),
            wanted_copies: BTreeSet::new(),
            preemptions: BTreeMap::new(),
            crashed_addresses: BTreeSet::new(),
            home_data_centre: None,
        }
    }

    /// The data centre in which the tasks of a step are to run; `None` if they may run in any.
    pub fn home_for(&self, step: &v1::WorkStep) -> Option<&str> {
        self.home_data_centre.as_deref().filter(|_| !step.lasting)
    }

    /// Whether the tasks of the job avoid a worker for the moment, because one of them has just failed there.
    ///
    /// Without this, a task that is allowed on a few faulty workers only would use up all its attempts there within
    /// half a second and fail its job, while workers about which no advice has been requested stand idle.
    pub fn avoids(&self, worker: &WorkerName, now_ms: u64) -> bool {
        /// Longer than a request for advice about other workers takes.
        const AVOID_MS: u64 = 700;
        self.failed_on.get(worker).is_some_and(|failed_ms| now_ms < failed_ms + AVOID_MS)
    }

    /// The tasks of a step that may be assigned another run now: those that have none, and those that are to have a
    /// copy, in the order of their names.
    pub fn tasks_to_start(&self, step: StepName) -> Vec<TaskName> {
        let waiting = self.job.step(step).into_iter().flat_map(Step::waiting);
        let mut tasks: Vec<TaskName> = waiting.map(|index| step.task(index)).collect();
        let waiting_count = tasks.len();
        tasks.extend(self.copies_to_start(step));
        if tasks.len() > waiting_count {
            tasks.sort_unstable();
        }
        tasks
    }

    /// The number of these tasks.
    pub fn count_to_start(&self, step: StepName) -> usize {
        let waiting = self.job.step(step).map_or(0, |step| step.waiting().len());
        waiting + self.copies_to_start(step).count()
    }

    /// The tasks of a step that may be assigned a copy beside their only run.
    pub fn copies_to_start(&self, step: StepName) -> impl Iterator<Item = TaskName> {
        let wanted = self.wanted_copies.range(step.task(0)..=step.task(u32::MAX));
        wanted.copied().filter(|name| {
            // A copy of a task that crashes its workers would take down one more.
            self.job
                .task(*name)
                .is_some_and(|task| !task.done && task.runs.len() == 1 && task.crashes.known == 0)
        })
    }
}

/// The leader of a cell: a state machine that takes events and returns effects.
#[derive(Debug)]
pub struct Leader {
    pub(crate) options: Options,
    /// All jobs that are known, including ended ones until their retention time is over.
    pub(crate) jobs: HashMap<JobKey, JobEntry>,
    /// Registered workers, and unregistered ones whose runs or crash are not settled yet.
    pub(crate) workers: BTreeMap<WorkerName, Worker>,
    pub(crate) roster: Roster,
    pub(crate) capacity_index: CapacityIndex,
    /// Workers on which no runs are started until a time, in ms on the monotonic clock. They are indexed again then.
    pub(crate) held_back: BTreeSet<(u64, WorkerName)>,
    pub(crate) accounts: Accounts,
    pub(crate) fair_use: FairUse,
    pub(crate) outbox: Outbox,
    pub(crate) advice: HashMap<StepName, StepAdvice>,
    pub(crate) lanes: Lanes,
    pub(crate) advice_claims: AdviceClaims,
    pub(crate) advice_hedge: AdviceHedge,
    pub(crate) waiting: WaitingSteps,
    pub(crate) advice_queue: AdviceQueue,
    /// The steps that have valid tickets for each worker.
    pub(crate) ticketed_steps: HashMap<WorkerName, BTreeSet<StepName>>,
    /// When tickets of steps expire, in ms on the monotonic clock.
    pub(crate) ticket_expiries: BTreeSet<(u64, StepName)>,
    pub(crate) reservations: Reservations,
    /// Number of steps for which this round has searched for runs to preempt.
    pub(crate) preemption_searches: u32,
    pub(crate) work: SchedulingWork,
    /// Counts what searches and reviews go through. Read into `work` by [`Leader::work`].
    pub(crate) visits: VisitCounter,
    /// Limits the searches for workers to name in calls for advice.
    pub(crate) search_budget: WorkBudget,
    pub(crate) scan: Scan,
    /// The last step that the previous full round examined; `None` if the next one begins anew.
    pub(crate) full_round_position: Option<Rank>,
    pub(crate) pressure: Pressure,
    pub(crate) pending_changes: PendingChanges,
    pub(crate) registration_age: RegistrationAge,
    pub(crate) response_loss: ResponseLossMeter,
    pub(crate) outages: RecentOutages,
    pub(crate) data_centres: DataCentres,
    pub(crate) probes: Probes,
    /// Limits the log lines about single workers that stop responding or respond again.
    pub(crate) worker_log_limit: LogLimit,
    /// The worker that registered most recently at each address.
    pub(crate) latest_by_address: HashMap<String, WorkerName>,
    /// The incarnations of workers that started again under their ids.
    pub(crate) incarnations: Incarnations,
    /// Workers that were presumed gone without a response, with the tasks for which they were counted as crashed.
    pub(crate) presumed_gone: HashMap<WorkerName, Vec<TaskName>>,
    /// Open jobs whose tasks ran on workers that crashed.
    pub(crate) crash_affected_jobs: BTreeSet<JobKey>,
    pub(crate) counters: Counters,
    /// Workers without a regular poll in flight, each with the time at which its next one is due, in ms on the monotonic
    /// clock.
    pub(crate) due_polls: BTreeSet<(u64, WorkerName)>,
    /// When the leases on each worker are next looked at, in ms on the monotonic clock.
    pub(crate) lease_checks: BTreeSet<(u64, WorkerName)>,
    /// Workers that have not answered their last poll.
    pub(crate) unresponsive_workers: BTreeSet<WorkerName>,
    /// Workers with runs that are being stopped; those of which all such runs have ended are removed sooner or later.
    pub(crate) stopping_workers: BTreeSet<WorkerName>,
    /// What was learned from the ends of runs.
    pub(crate) learned: Learned,
    pub(crate) open_jobs: OpenJobs,
    pub(crate) job_memory: JobMemory,
    pub(crate) refusal_log_limit: LogLimit,
    /// Number of registered workers of each service, as of the last review.
    pub(crate) pool_sizes: HashMap<String, usize>,
    /// Whether a worker has registered, or is not registered any more, since then.
    pub(crate) are_pool_sizes_outdated: bool,
    /// Jobs with an occurrence that is not due yet, each with the time at which that is due, in ms since the Unix
    /// epoch.
    pub(crate) upcoming_occurrences: BTreeSet<(u64, JobKey)>,
    /// Share of the workers that advice allows, learned for each queue.
    pub(crate) allowed_shares: HashMap<String, f64>,
    /// Effects collected since the last call of [`Leader::finish`].
    pub(crate) effects: Vec<Effect>,
    /// Send time of the latest call in whose response the store confirmed the leadership, on the monotonic clock.
    pub(crate) leadership_confirmed_ms: u64,
    /// When the last append was sent, on the monotonic clock.
    pub(crate) append_sent_ms: u64,
    /// The latest time at which leases of a former leader expire on a worker that does not respond, on the
    /// monotonic clock. Until a former leader is known to have stopped, it may go on to extend leases for as long as
    /// [`Leader::may_extend_leases`] allows.
    inherited_leases_expire_by_ms: u64,
    /// When ended jobs are next checked for removal, on the monotonic clock.
    next_cleanup_ms: u64,
    /// When the next review is due, and the next one of all workers and runs, on the monotonic clock.
    next_review_ms: u64,
    next_full_review_ms: u64,
    /// When the last tick was processed, on the monotonic clock.
    last_tick_ms: u64,
    /// When the leader last resumed after a stall, on the monotonic clock.
    pub(crate) last_stall_ms: Option<u64>,
}

/// If more time than this passes between two ticks, the leader itself counts as late. Ticks come every 50 ms.
const LATE_TICK_MS: u64 = 150;
/// If more time than this passes between two ticks, the leader counts as stalled: it can't tell when events happened in
/// the meantime.
const STALL_MS: u64 = 1_000;
/// Minimum interval between reviews, in ms. Workers hardly report progress more often.
const REVIEW_INTERVAL_MS: u64 = 200;
/// Maximum number of items that reviews of all workers and runs go through per second.
const MAX_REVIEW_VISITS_PER_SECOND: u64 = 30_000;
/// How often ended jobs are checked for those whose retention time is over.
const CLEANUP_INTERVAL_MS: u64 = 10_000;

impl Leader {
    /// Creates a leader that has just taken over, with all stored jobs.
    pub fn new(options: Options, jobs: Vec<Job>, now: Now) -> Self {
        let last_granted_ms = now.steady_ms + options.unconfirmed_lease_ms;
        let inherited_leases_expire_by_ms = options.leases_expire_by_ms(last_granted_ms);
        let mut leader = Self {
            options,
            jobs: HashMap::default(),
            workers: BTreeMap::new(),
            roster: Roster::default(),
            capacity_index: CapacityIndex::default(),
            held_back: BTreeSet::new(),
            accounts: Accounts::default(),
            fair_use: FairUse::default(),
            outbox: Outbox::default(),
            advice: HashMap::default(),
            lanes: Lanes::default(),
            advice_claims: AdviceClaims::default(),
            advice_hedge: AdviceHedge::default(),
            waiting: WaitingSteps::default(),
            advice_queue: AdviceQueue::default(),
            ticketed_steps: HashMap::default(),
            ticket_expiries: BTreeSet::new(),
            reservations: Reservations::default(),
            preemption_searches: 0,
            work: SchedulingWork::default(),
            visits: VisitCounter::default(),
            search_budget: WorkBudget::default(),
            scan: Scan::default(),
            full_round_position: None,
            pressure: Pressure::new(now),
            pending_changes: PendingChanges::default(),
            registration_age: RegistrationAge::default(),
            response_loss: ResponseLossMeter::default(),
            outages: RecentOutages::default(),
            data_centres: DataCentres::default(),
            probes: Probes::default(),
            worker_log_limit: LogLimit::default(),
            latest_by_address: HashMap::default(),
            incarnations: Incarnations::default(),
            presumed_gone: HashMap::default(),
            crash_affected_jobs: BTreeSet::new(),
            counters: Counters::default(),
            due_polls: BTreeSet::new(),
            lease_checks: BTreeSet::new(),
            unresponsive_workers: BTreeSet::new(),
            stopping_workers: BTreeSet::new(),
            learned: Learned::default(),
            open_jobs: OpenJobs::default(),
            job_memory: JobMemory::default(),
            refusal_log_limit: LogLimit::default(),
            pool_sizes: HashMap::default(),
            are_pool_sizes_outdated: true,
            upcoming_occurrences: BTreeSet::new(),
            allowed_shares: HashMap::default(),
            effects: Vec::new(),
            leadership_confirmed_ms: now.steady_ms,
            append_sent_ms: now.steady_ms,
            inherited_leases_expire_by_ms,
            next_cleanup_ms: now.steady_ms + CLEANUP_INTERVAL_MS,
            next_review_ms: now.steady_ms,
            next_full_review_ms: now.steady_ms,
            last_tick_ms: now.steady_ms,
            last_stall_ms: None,
        };
        leader.count_inherited_jobs(&jobs, now);
        for job in jobs {
            leader.inherit(job, now);
        }
        leader
    }

    /// Counts the stored jobs against the shares of their accounts, in the order of their acceptance.
    fn count_inherited_jobs(&mut self, jobs: &[Job], now: Now) {
        let mut jobs: Vec<&Job> = jobs.iter().filter(|job| !job.is_beyond_share).collect();
        jobs.sort_by_key(|job| job.accepted_ms);
        for job in jobs {
            let Some(policy) = &job.account else { continue };
            let account = self.accounts.number_of(policy);
            let age_ms = now.unix_ms.saturating_sub(job.accepted_ms);
            self.accounts.count_job(account, now.steady_ms.saturating_sub(age_ms));
        }
    }

    /// Takes over a stored job. A run that the former leader assigned may be in any state between its start order and
    /// its end until its worker responds.
    fn inherit(&mut self, job: Job, now: Now) {
        let key = job.key;
        let account = job.account.as_ref().map(|policy| self.accounts.number_of(policy));
        let live_runs = job.live_runs();
        for (task, run) in &live_runs {
            let (task, run) = (*task, run);
            let need = place::need(job.step_plan(task.step.step));
            let leases_expire_by_ms = self.inherited_leases_expire_by_ms;
            let worker = self
                .workers
                .entry(run.host.worker.clone())
                .or_insert_with(|| Worker::from_run_record(run, leases_expire_by_ms));
            worker.assign((task, run.number), need, Phase::Uncertain { since_ms: now.steady_ms });
            if job.is_suspected(task) {
                worker.resume_trial((task, run.number));
            }
            self.capacity_index.update(worker, now.steady_ms);
            self.schedule_poll(&run.host.worker);
            self.check_leases_at(&run.host.worker, leases_expire_by_ms + 1);
        }
        if job.outcome == Outcome::Open && job.has_crashes() {
            self.crash_affected_jobs.insert(key);
        }
        self.insert_job(JobEntry::new(job, account, true));
        live_runs
            .iter()
            .for_each(|(task, run)| self.charge_run(&run.host.worker, (*task, run.number)));
        self.reindex(key, now);
        let has_ended = self.jobs.get(&key).is_some_and(|entry| entry.job.outcome != Outcome::Open);
        if has_ended {
            self.stop_job(key, now);
        }
    }

    /// Processes an event. Its effects are collected until [`Leader::finish`].
    pub fn handle(&mut self, event: Event, now: Now) {
        match event {
            Event::Request { request_id, request } => self.on_request(request_id, request, now),
            Event::Appended => self.on_appended(now),
            Event::NotAppended => {
                self.outbox.append_refused(now.steady_ms);
                self.refuse_unstored_jobs(now);
            }
            Event::LeadershipConfirmed { sent_ms } => {
                self.leadership_confirmed_ms = self.leadership_confirmed_ms.max(sent_ms);
            }
            Event::InheritedLeases { expire_by_ms } => self.limit_inherited_leases(expire_by_ms),
            Event::Polled { worker, sent_ms, extra, result } => {
                self.on_polled(&worker, sent_ms, extra, result, now);
            }
            Event::Started { worker, task, run, result } => {
                self.on_started(&worker, task, run, result, now);
            }
            Event::Stopped { worker, task, run, result } => {
                self.on_stopped(&worker, task, run, result, now);
            }
            Event::AdviceReceived { lane, step, queried, advice } => {
                self.on_advice_received(&lane, step, &queried, advice, now);
            }
            Event::WorkerRegistered(registration) => {
                self.on_worker_registered(registration, now);
            }
            Event::WorkerUnregistered(name) => self.on_worker_unregistered(&name, now),
            Event::RegistrationsRead { sent_ms } => self.on_registrations_read(sent_ms, now),
            Event::Lanes(lanes) => self.lanes.set(lanes, now.steady_ms),
            Event::Accounts(policies) => self.on_accounts(&policies),
            Event::Tick => self.on_tick(now),
        }
    }

    /// Makes the decisions that follow from all events so far, and returns the collected effects.
    pub fn finish(&mut self, now: Now) -> Vec<Effect> {
        self.send_due_polls(now);
        self.send_due_probes(now);
        self.schedule(now);
        self.flush(now);
        mem::take(&mut self.effects)
    }

    /// The data centre of a worker, and the number of polls that it has failed to answer since its last response.
    pub fn reachability(&self, name: &WorkerName) -> Option<(&str, u32)> {
        let worker = self.workers.get(name)?;
        Some((&worker.registration.data_centre, worker.failed_polls))
    }

    /// Returns the counters, and resets them.
    pub fn take_counters(&mut self) -> Counters {
        mem::take(&mut self.counters)
    }

    /// The scheduling work done so far.
    pub fn work(&self) -> SchedulingWork {
        let visits = self.visits.read().with(Part::CapacityIndex, self.capacity_index.visits());
        SchedulingWork { visits, ..self.work }
    }

    /// Whether the store has confirmed the leadership so recently that no other instance can have taken over.
    pub fn is_leadership_certain(&self, now: Now) -> bool {
        /// Less than the shortest time in which another instance can take over from a leader that still runs.
        const MAX_CONFIRMATION_AGE_MS: u64 = 900;
        now.steady_ms.saturating_sub(self.leadership_confirmed_ms) < MAX_CONFIRMATION_AGE_MS
    }

    /// Records that all leases of former leaders expire by `expire_by_ms`, on the monotonic clock.
    fn limit_inherited_leases(&mut self, expire_by_ms: u64) {
        let assumed_ms = self.inherited_leases_expire_by_ms;
        if expire_by_ms >= assumed_ms {
            return;
        }
        log::info!(sooner_ms = assumed_ms - expire_by_ms; "former leaders have stopped, and their leases end sooner");
        self.inherited_leases_expire_by_ms = expire_by_ms;
        // On a worker that has responded, or whose next incarnation may have been granted leases, they end at another time.
        self.workers
            .values_mut()
            .filter(|worker| !worker.has_responded() && worker.leases_expire_by_ms == assumed_ms)
            .for_each(|worker| worker.leases_expire_by_ms = expire_by_ms);
        self.check_all_leases();
    }

    /// Whether leases may be extended: only for `unconfirmed_lease_ms` after the last confirmation of the leadership,
    /// because a successor that can't reach a worker waits that long before it starts the worker's runs elsewhere.
    pub(crate) fn may_extend_leases(&self, now: Now) -> bool {
        now.steady_ms.saturating_sub(self.leadership_confirmed_ms)
            < self.options.unconfirmed_lease_ms
    }

    /// Time in ms since the current append was first sent, including repetitions after refusals; 0 if there is none.
    pub fn store_stuck_ms(&self, now: Now) -> u64 {
        self.outbox.stuck_ms(now.steady_ms)
    }

    fn on_worker_registered(&mut self, registration: Registration, now: Now) {
        if self.incarnations.has_ended(&registration.name) {
            return;
        }
        self.retract_presumed_crashes(&registration.name);
        self.track_address(&registration);
        let name = registration.name.clone();
        let leases_expire_by_ms = self.inherited_leases_expire_by_ms;
        let incarnations = &mut self.incarnations;
        let worker = self.workers.entry(name.clone()).or_insert_with(|| {
            let worker = Worker::new(registration.clone(), leases_expire_by_ms);
            worker.with_fence_step(incarnations.next_fence_step(name.id()))
        });
        self.are_pool_sizes_outdated |= !worker.registered;
        worker.registered = true;
        worker.draining |= registration.draining;
        self.pending_changes.mark_worker_freed(&name);
        worker.max_capacity = worker.max_capacity.max(&registration.capacity);
        self.roster.remove(&name, worker.rack());
        worker.registration = registration;
        self.roster.add(&name, worker.rack());
        self.capacity_index.update(worker, now.steady_ms);
        let check_ms = worker.leases_expire_by_ms + 1;
        self.schedule_poll(&name);
        self.check_leases_at(&name, check_ms);
        self.replace_former_incarnations(&name, now);
    }

    fn on_worker_unregistered(&mut self, name: &WorkerName, now: Now) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.registered = false;
            self.are_pool_sizes_outdated = true;
            self.capacity_index.update(worker, now.steady_ms);
            self.check_leases_at(name, now.steady_ms);
        }
    }

    /// Takes a worker on which no runs are started until `until_ms` out of the index of free capacity.
    pub(crate) fn hold_back(&mut self, name: &WorkerName, until_ms: u64, now: Now) {
        if let Some(worker) = self.workers.get(name) {
            self.capacity_index.update(worker, now.steady_ms);
            self.held_back.insert((until_ms, name.clone()));
        }
    }

    /// Indexes the workers on which runs may be started again.
    pub(crate) fn end_holds(&mut self, now: Now) {
        while let Some((until_ms, _)) = self.held_back.first()
            && *until_ms <= now.steady_ms
        {
            let Some((_, name)) = self.held_back.pop_first() else { return };
            if let Some(worker) = self.workers.get(&name) {
                self.capacity_index.update(worker, now.steady_ms);
                self.pending_changes.mark_worker_freed(&name);
            }
        }
    }

    fn on_tick(&mut self, now: Now) {
        if now.steady_ms > self.last_tick_ms + LATE_TICK_MS {
            self.response_loss.clear();
        }
        if now.steady_ms > self.last_tick_ms + STALL_MS {
            self.last_stall_ms = Some(now.steady_ms);
        }
        self.last_tick_ms = now.steady_ms;
        self.update_pressure(now);
        while let Some(&(due_ms, key)) = self.upcoming_occurrences.first() {
            if due_ms > now.unix_ms {
                break;
            }
            self.upcoming_occurrences.pop_first();
            self.reindex(key, now);
        }
        self.expire_unresponsive_workers(now);
        self.retry_stops(now);
        self.stop_unanswered_beyond_caps(now);
        self.update_fair_use(now);
        self.repeat_overdue_advice_calls(now);
        self.suspect_silent_data_centres(now);
        self.review(now);
        self.refuse_unstored_jobs(now);
        self.log_unresponsive_workers(now);
        if now.steady_ms >= self.next_cleanup_ms {
            self.next_cleanup_ms = now.steady_ms + CLEANUP_INTERVAL_MS;
            self.forget_old_jobs(now);
            self.forget_old_incarnations(now);
            self.check_all_leases();
        }
    }

    /// Whether the leader was late so recently that it may hear only now of what happened meanwhile.
    pub(crate) fn has_just_stalled(&self, now: Now) -> bool {
        const CATCH_UP_MS: u64 = 500;
        now.steady_ms > self.last_tick_ms + LATE_TICK_MS
            || self.last_stall_ms.is_some_and(|ms| now.steady_ms < ms + CATCH_UP_MS)
    }

    /// Updates the pressure level, and logs a change.
    fn update_pressure(&mut self, now: Now) {
        let scan_ms = self.scan.duration_ms(now);
        let Some(level) = self.pressure.tick(scan_ms, self.work.steps_examined, now) else {
            return;
        };
        log::info!(
            leader = level.as_str(), behind_ms = self.pressure.behind_ms(),
            tries_a_round = self.pressure.max_steps_per_round(), waiting = self.waiting.len(),
            unseen = self.pending_changes.changed_step_count();
            "pressure level changed"
        );
    }

    /// How overloaded the leader is.
    pub fn pressure(&self) -> &Pressure {
        &self.pressure
    }

    /// Reviews what comes with time alone.
    fn review(&mut self, now: Now) {
        if now.steady_ms < self.next_review_ms {
            return;
        }
        self.next_review_ms = now.steady_ms + REVIEW_INTERVAL_MS;
        if self.options.uses(Mechanism::Replacement) {
            self.copy_unresponsive_runs(now);
        }
        self.update_pool_sizes();
        if now.steady_ms >= self.next_full_review_ms {
            self.review_all(now);
        }
    }

    /// Reviews all workers and their runs. The more there are, the rarer are these reviews.
    fn review_all(&mut self, now: Now) {
        let before = self.visits.read().of(Part::Review);
        if self.options.uses(Mechanism::Replacement) {
            self.replace_stuck_runs(now);
        }
        self.count_responsive_workers();
        self.review_speeds(now);
        let visits = self.visits.read().of(Part::Review) - before;
        let pause_ms = visits * 1_000 / MAX_REVIEW_VISITS_PER_SECOND;
        self.next_full_review_ms = now.steady_ms + pause_ms.max(REVIEW_INTERVAL_MS);
    }

    /// Counts the registered workers of each service, if that may have changed.
    fn update_pool_sizes(&mut self) {
        if !mem::take(&mut self.are_pool_sizes_outdated) {
            return;
        }
        self.visits.add(Part::Review, self.workers.len());
        self.pool_sizes.clear();
        for worker in self.workers.values().filter(|worker| worker.registered) {
            match self.pool_sizes.get_mut(&worker.registration.service) {
                Some(size) => *size += 1,
                None => {
                    self.pool_sizes.insert(worker.registration.service.clone(), 1);
                }
            }
        }
    }

    /// Resources that a run of a task occupies; zero if the task is not known.
    pub(crate) fn need_of(&self, task: TaskName) -> Resources {
        let Some(entry) = self.jobs.get(&task.step.job) else { return Resources::ZERO };
        let step = entry.job.plan.steps.get(task.step.step as usize);
        step.map(place::need).unwrap_or(Resources::ZERO)
    }

    /// Returns the estimated memory of all jobs, in bytes.
    pub fn job_bytes(&self) -> u64 {
        self.job_memory.bytes()
    }

    /// Adds a job that is not known yet.
    pub(crate) fn insert_job(&mut self, entry: JobEntry) {
        self.open_jobs.add(&entry.job);
        self.job_memory.add(&entry.job.plan);
        self.jobs.insert(entry.job.key, entry);
    }

    /// Removes a job that is not needed any more.
    pub(crate) fn remove_job(&mut self, key: JobKey) {
        if let Some(entry) = self.jobs.remove(&key) {
            self.job_memory.remove(&entry.job.plan);
        }
    }

    fn forget_old_jobs(&mut self, now: Now) {
        let retention_ms = self.options.retention_ms;
        let old_jobs: Vec<JobKey> = self
            .jobs
            .values()
            .filter(|entry| {
                entry.visible_outcome != Outcome::Open
                    && entry.job.ended_ms + retention_ms < now.unix_ms
                    && entry.job.live_runs().is_empty()
            })
            .map(|entry| entry.job.key)
            .collect();
        for key in old_jobs {
            // Drops advice that arrived after the end of the job.
            self.release_steps(key);
            self.remove_job(key);
            self.outbox.pending.deletions.insert(key);
        }
        let jobs = &self.jobs;
        self.presumed_gone
            .retain(|_, tasks| tasks.iter().any(|task| jobs.contains_key(&task.step.job)));
    }
}
