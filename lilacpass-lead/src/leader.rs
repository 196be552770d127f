//! The state of the leader, and the dispatch of events to its parts.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

use lilacpass_core::{Resources, hash_map::HashMap};
use lilacpass_jobs::{Job, JobKey, Outcome, StepName, TaskName, WorkerName};

use crate::{
    accounts::Accounts,
    admission::Admission,
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
    job_entry::JobEntry,
    job_memory::JobMemory,
    learned::Learned,
    log_limit::LogLimit,
    open_jobs::OpenJobs,
    options::Options,
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
    ticks,
    waiting::WaitingSteps,
    work::{Part, SchedulingWork, VisitCounter},
    work_budget::WorkBudget,
    worker::{Phase, Worker},
};

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
    pub(crate) admission: Admission,
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
    /// Open jobs of which no worker has started a task, and others until the next client asks for them.
    pub(crate) unstarted_jobs: BTreeSet<JobKey>,
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
    /// Number of requests to other instances to take over that are under way.
    open_takeover_requests: u32,
    /// When the last of them was settled, on the monotonic clock; 0 if there was none.
    takeover_settled_ms: u64,
    /// When the last append was sent, on the monotonic clock.
    pub(crate) append_sent_ms: u64,
    /// The latest time at which leases of a former leader expire on a worker that does not respond, on the
    /// monotonic clock. Until a former leader is known to have stopped, it may go on to extend leases for as long as
    /// [`Leader::may_extend_leases`] allows.
    inherited_leases_expire_by_ms: u64,
    /// When this leader took over.
    taken_over: Now,
    /// When ended jobs are next checked for removal, on the monotonic clock.
    pub(crate) next_cleanup_ms: u64,
    /// When the next review is due, and the next one of all workers and runs, on the monotonic clock.
    pub(crate) next_review_ms: u64,
    pub(crate) next_full_review_ms: u64,
    /// When the last tick was processed, on the monotonic clock.
    pub(crate) last_tick_ms: u64,
    /// When the leader last resumed after a stall, on the monotonic clock.
    pub(crate) last_stall_ms: Option<u64>,
}

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
            admission: Admission::new(now),
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
            unstarted_jobs: BTreeSet::new(),
            job_memory: JobMemory::default(),
            refusal_log_limit: LogLimit::default(),
            pool_sizes: HashMap::default(),
            are_pool_sizes_outdated: true,
            upcoming_occurrences: BTreeSet::new(),
            allowed_shares: HashMap::default(),
            effects: Vec::new(),
            leadership_confirmed_ms: now.steady_ms,
            open_takeover_requests: 0,
            takeover_settled_ms: 0,
            append_sent_ms: now.steady_ms,
            inherited_leases_expire_by_ms,
            taken_over: now,
            next_cleanup_ms: now.steady_ms + ticks::CLEANUP_INTERVAL_MS,
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
            let misdirected_ms = self.misdirected_leases_expire_by_ms(&run.host.worker);
            let worker = self.workers.entry(run.host.worker.clone()).or_insert_with(|| {
                let worker = Worker::from_run_record(run, leases_expire_by_ms);
                worker.with_misdirected_leases(misdirected_ms)
            });
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
            Event::RecordsRejected(keys) => self.on_records_rejected(&keys, now),
            Event::Appended => self.on_appended(now),
            Event::NotAppended => {
                self.outbox.append_refused(now.steady_ms);
                self.refuse_unstored_jobs(now);
            }
            Event::LeadershipConfirmed { sent_ms } => {
                self.leadership_confirmed_ms = self.leadership_confirmed_ms.max(sent_ms);
            }
            Event::TakeoverRequested => self.open_takeover_requests += 1,
            Event::TakeoverNotConfirmed => {
                self.open_takeover_requests = self.open_takeover_requests.saturating_sub(1);
                self.takeover_settled_ms = now.steady_ms;
            }
            Event::InheritedLeases { expire_by_ms } => self.update_inherited_leases(expire_by_ms),
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

    /// Whether the store has confirmed the leadership so recently that no other instance can have taken over. One that is
    /// asked to do so takes some hundredths of a second, so no earlier confirmation counts then.
    pub fn is_leadership_certain(&self, now: Now) -> bool {
        /// Less than the shortest time in which another instance can take over from a leader that still runs.
        const MAX_CONFIRMATION_AGE_MS: u64 = 900;
        let confirmed_ms = self.leadership_confirmed_ms;
        self.open_takeover_requests == 0
            && confirmed_ms >= self.takeover_settled_ms
            && now.steady_ms.saturating_sub(confirmed_ms) < MAX_CONFIRMATION_AGE_MS
    }

    /// Records that all leases of former leaders expire by `expire_by_ms`, on the monotonic clock.
    fn update_inherited_leases(&mut self, expire_by_ms: u64) {
        let assumed_ms = mem::replace(&mut self.inherited_leases_expire_by_ms, expire_by_ms);
        if expire_by_ms == assumed_ms {
            return;
        }
        // On a worker that has responded, leases end at another time.
        let workers = self.workers.values_mut().filter(|worker| !worker.has_responded());
        if expire_by_ms > assumed_ms {
            workers.for_each(|worker| {
                worker.leases_expire_by_ms = worker.leases_expire_by_ms.max(expire_by_ms);
            });
            return;
        }
        log::info!(sooner_ms = assumed_ms - expire_by_ms; "former leaders have stopped, and their leases end sooner");
        workers.filter(|worker| worker.leases_expire_by_ms == assumed_ms).for_each(|worker| {
            worker.leases_expire_by_ms = expire_by_ms.max(worker.misdirected_leases_expire_by_ms);
        });
        self.check_all_leases();
    }

    /// When leases have expired that calls for a former incarnation of a worker may have granted to this one before the
    /// take-over; 0 if there are none.
    fn misdirected_leases_expire_by_ms(&self, worker: &WorkerName) -> u64 {
        if self.options.may_hold_longest_lease(worker, self.taken_over) {
            self.options.longest_lease_expires_by_ms(self.taken_over.steady_ms)
        } else {
            0
        }
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
        let misdirected_ms = self.misdirected_leases_expire_by_ms(&name);
        let incarnations = &mut self.incarnations;
        let worker = self.workers.entry(name.clone()).or_insert_with(|| {
            Worker::new(registration.clone(), leases_expire_by_ms)
                .with_fence_step(incarnations.next_fence_step(name.id()))
                .with_misdirected_leases(misdirected_ms)
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

    /// How overloaded the leader is.
    pub fn pressure(&self) -> &Pressure {
        &self.pressure
    }

    /// Which new jobs are accepted.
    pub fn admission(&self) -> &Admission {
        &self.admission
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
        self.unstarted_jobs.insert(entry.job.key);
        self.jobs.insert(entry.job.key, entry);
    }

    /// Removes a job that is not needed any more.
    pub(crate) fn remove_job(&mut self, key: JobKey) {
        if let Some(entry) = self.jobs.remove(&key) {
            self.job_memory.remove(&entry.job.plan);
            self.unstarted_jobs.remove(&key);
        }
    }
}
