//! The state of the leader and the way of an event through it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    mem,
};

use lilacpass_core::Resources;
use lilacpass_jobs::{Job, JobKey, Outcome, StepName, TaskName, WorkerName};

use lilacpass_schema::v1;

use crate::{
    advice::{Lanes, StepAdvice},
    advice_queue::AdviceQueue,
    capacity_index::CapacityIndex,
    counters::Counters,
    event::{Effect, Event, Now, Registration},
    options::{self, Mechanism, Options},
    outages::RecentOutages,
    outbox::Outbox,
    pending_changes::PendingChanges,
    place,
    pressure::Pressure,
    reservations::Reservations,
    response_loss::ResponseLossMeter,
    scan::Scan,
    waiting::WaitingSteps,
    worker::{Phase, PollState, Worker},
};

/// A job and what is stored and shown of it.
#[derive(Debug)]
pub struct JobEntry {
    /// The job.
    pub job: Job,
    /// Its plan is stored: its caller may be told.
    pub is_plan_stored: bool,
    /// The outcome that callers are shown: one that is stored.
    pub visible_outcome: Outcome,
    /// Workers on which its tasks failed or stood still since one of them was done, and when they last did, on the
    /// steady clock.
    pub failed_on: BTreeMap<WorkerName, u64>,
    /// Tasks of which a copy is to run, because the run that they have may be lost.
    pub wanted_copies: BTreeSet<TaskName>,
    /// How often each task was stopped for more urgent work.
    pub preemptions: BTreeMap<TaskName, u32>,
    /// Addresses of workers that crashed under its tasks.
    pub crashed_addresses: BTreeSet<String>,
    /// The data centre in which its tasks are to run, once one was chosen.
    pub home_data_centre: Option<String>,
}

impl JobEntry {
    /// An entry for a job; `stored` tells whether its plan is.
    pub fn new(job: Job, stored: bool) -> Self {
        Self {
            visible_outcome: job.outcome,
            is_plan_stored: stored,
            job,
            failed_on: BTreeMap::new(),
            wanted_copies: BTreeSet::new(),
            preemptions: BTreeMap::new(),
            crashed_addresses: BTreeSet::new(),
            home_data_centre: None,
        }
    }

    /// The data centre in which tasks of a step are to run; none where they are spread or it is open.
    pub fn home_for(&self, step: &v1::WorkStep) -> Option<&str> {
        self.home_data_centre.as_deref().filter(|_| !step.lasting)
    }

    /// Whether tasks of the job keep off a worker for a moment, since one has just failed there.
    ///
    /// Without this a task whose few allowed workers spoil their work goes through all its attempts there within half a
    /// second, and its job fails, while workers that nobody has asked about stand idle.
    pub fn avoids(&self, worker: &WorkerName, now_ms: u64) -> bool {
        /// Longer than a call for advice about other workers takes.
        const KEEP_OFF_MS: u64 = 700;
        self.failed_on.get(worker).is_some_and(|failed_ms| now_ms < failed_ms + KEEP_OFF_MS)
    }

    /// Whether a task may be given a run now: it has none, or is to have a copy.
    pub fn needs_run(&self, name: TaskName) -> bool {
        self.job.task(name).is_some_and(|task| {
            // Of a task that crashes its workers a copy takes one more.
            let may_have_copy = || self.wanted_copies.contains(&name) && task.crashes.known == 0;
            task.is_waiting() || !task.done && task.runs.len() == 1 && may_have_copy()
        })
    }
}

/// What deciding has taken since the leader began. What takes its time is looking at steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulingWork {
    /// Steps that were looked at for room, or for workers to ask about.
    pub steps_examined: u64,
}

/// The leader of a cell.
#[derive(Debug)]
pub struct Leader {
    pub(crate) options: Options,
    pub(crate) jobs: HashMap<JobKey, JobEntry>,
    pub(crate) workers: BTreeMap<WorkerName, Worker>,
    pub(crate) capacity_index: CapacityIndex,
    pub(crate) outbox: Outbox,
    pub(crate) advice: HashMap<StepName, StepAdvice>,
    pub(crate) lanes: Lanes,
    pub(crate) waiting: WaitingSteps,
    pub(crate) advice_queue: AdviceQueue,
    /// The steps that are allowed on each worker, as far as advice has told.
    pub(crate) allowed_steps: HashMap<WorkerName, BTreeSet<StepName>>,
    pub(crate) reservations: Reservations,
    /// Steps for which room was looked for by preemption in this round.
    pub(crate) preemption_searches: u32,
    pub(crate) work: SchedulingWork,
    pub(crate) scan: Scan,
    pub(crate) pressure: Pressure,
    pub(crate) pending_changes: PendingChanges,
    pub(crate) response_loss: ResponseLossMeter,
    pub(crate) outages: RecentOutages,
    /// The worker that was last to register anew at each address.
    pub(crate) latest_by_address: HashMap<String, WorkerName>,
    /// Workers that were taken for gone unseen, with the tasks under which they were counted as crashed.
    pub(crate) presumed_gone: HashMap<WorkerName, Vec<TaskName>>,
    /// Open jobs under which workers have crashed.
    pub(crate) crash_affected_jobs: BTreeSet<JobKey>,
    pub(crate) counters: Counters,
    /// Workers at which no look is under way: hardly any. Going through all workers at each event, and
    /// putting all in order for each call for advice, took 17 of 60 % of a core at 3,000 of them.
    pub(crate) unpolled_workers: BTreeSet<WorkerName>,
    /// The lowest priority (its greatest number) of an open job, as of the last review.
    pub(crate) least_urgent_priority: u32,
    /// Registered workers of each service, as of the last review.
    pub(crate) pool_sizes: HashMap<String, usize>,
    /// Occurrences whose time has not come, by time of day.
    pub(crate) upcoming_occurrences: BTreeSet<(u64, JobKey)>,
    /// Share of workers that are allowed, learned per queue.
    pub(crate) allowed_shares: HashMap<String, f64>,
    pub(crate) effects: Vec<Effect>,
    /// Start of the last call by which the store confirmed that we lead.
    pub(crate) leadership_confirmed_ms: u64,
    pub(crate) append_sent_ms: u64,
    /// Until when a former leader's leases may last at a worker that we can't reach.
    inherited_leases_expire_by_ms: u64,
    next_cleanup_ms: u64,
    next_review_ms: u64,
    last_tick_ms: u64,
    /// When it last went on after it had stood still, on the steady clock.
    pub(crate) last_stall_ms: Option<u64>,
}

/// Time between two ticks that shows a leader to be late itself. Ticks come each 0.05 s.
const LATE_TICK_MS: u64 = 150;
/// The same that shows it to have stood still, so that it can't tell when anything happened meanwhile.
const STOOD_STILL_MS: u64 = 1_000;
/// How often all runs are looked through for lost ones. It costs time for each run; progress is
/// reported hardly more often.
const REVIEW_INTERVAL_MS: u64 = 200;
/// How often ended jobs are looked through for those that can be forgotten.
const CLEANUP_INTERVAL_MS: u64 = 10_000;

impl Leader {
    /// A leader that has just taken over, with the jobs that are stored.
    pub fn new(options: Options, jobs: Vec<Job>, now: Now) -> Self {
        let last_lease_ms =
            options::longest_lease_ms(options.lease_ms, options.unconfirmed_lease_ms);
        let inherited_until_ms = now.steady_ms + options.unconfirmed_lease_ms + last_lease_ms;
        let mut leader = Self {
            options,
            jobs: HashMap::new(),
            workers: BTreeMap::new(),
            capacity_index: CapacityIndex::default(),
            outbox: Outbox::default(),
            advice: HashMap::new(),
            lanes: Lanes::default(),
            waiting: WaitingSteps::default(),
            advice_queue: AdviceQueue::default(),
            allowed_steps: HashMap::new(),
            reservations: Reservations::default(),
            preemption_searches: 0,
            work: SchedulingWork::default(),
            scan: Scan::default(),
            pressure: Pressure::new(now),
            pending_changes: PendingChanges::default(),
            response_loss: ResponseLossMeter::default(),
            outages: RecentOutages::default(),
            latest_by_address: HashMap::new(),
            presumed_gone: HashMap::new(),
            crash_affected_jobs: BTreeSet::new(),
            counters: Counters::default(),
            unpolled_workers: BTreeSet::new(),
            least_urgent_priority: 0,
            pool_sizes: HashMap::new(),
            upcoming_occurrences: BTreeSet::new(),
            allowed_shares: HashMap::new(),
            effects: Vec::new(),
            leadership_confirmed_ms: now.steady_ms,
            append_sent_ms: now.steady_ms,
            inherited_leases_expire_by_ms: inherited_until_ms,
            next_cleanup_ms: now.steady_ms + CLEANUP_INTERVAL_MS,
            next_review_ms: now.steady_ms,
            last_tick_ms: now.steady_ms,
            last_stall_ms: None,
        };
        for job in jobs {
            leader.inherit(job, now);
        }
        leader
    }

    /// Takes a stored job over. Runs that the former leader gave out may be anywhere between their
    /// order and their end, until their worker tells.
    fn inherit(&mut self, job: Job, now: Now) {
        let key = job.key;
        for (task, run) in job.live_runs() {
            let need = place::need(job.step_plan(task.step.step));
            let until_ms = self.inherited_leases_expire_by_ms;
            let worker = self
                .workers
                .entry(run.worker.clone())
                .or_insert_with(|| Worker::from_run_record(&run, until_ms));
            self.unpolled_workers.insert(run.worker.clone());
            worker.assign((task, run.number), need, Phase::Uncertain { since_ms: now.steady_ms });
            if job.is_suspected(task) {
                worker.resume_trial((task, run.number));
            }
            self.capacity_index.update(worker);
        }
        if job.outcome == Outcome::Open && job.has_crashes() {
            self.crash_affected_jobs.insert(key);
        }
        self.jobs.insert(key, JobEntry::new(job, true));
        self.reindex(key, now);
        let ended = self.jobs.get(&key).is_some_and(|entry| entry.job.outcome != Outcome::Open);
        if ended {
            self.stop_job(key, now);
        }
    }

    /// Takes in an event. Effects are collected until [`Leader::finish`].
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
            Event::Polled { worker, sent_ms, extra, result } => {
                self.on_polled(&worker, sent_ms, extra, result, now);
            }
            Event::Started { worker, task, run, result } => {
                self.on_started(&worker, task, run, result, now);
            }
            Event::Stopped { worker, task, run, result } => {
                self.on_stopped(&worker, task, run, result, now);
            }
            Event::AdviceReceived { lane, step, asked, advice } => {
                self.on_advice_received(&lane, step, &asked, advice, now);
            }
            Event::WorkerRegistered(entry) => self.on_listed(entry),
            Event::WorkerUnregistered(name) => self.on_unlisted(&name),
            Event::RegistrationsRead => self.give_up_missing_workers(now),
            Event::Lanes(lanes) => self.lanes.set(lanes),
            Event::Tick => self.on_tick(now),
        }
    }

    /// Decides what follows from all events so far, and returns what is to be done.
    pub fn finish(&mut self, now: Now) -> Vec<Effect> {
        self.send_due_polls(now);
        self.schedule(now);
        self.flush(now);
        mem::take(&mut self.effects)
    }

    /// The data centre of a worker that answered the last look; none for one that did not, or is not known.
    pub fn responsive_worker_data_centre(&self, name: &WorkerName) -> Option<&str> {
        let worker = self.workers.get(name).filter(|worker| worker.failed_polls == 0)?;
        Some(&worker.registration.data_centre)
    }

    /// What has happened since this was last called.
    pub fn take_counters(&mut self) -> Counters {
        mem::take(&mut self.counters)
    }

    /// What deciding has taken so far.
    pub fn work(&self) -> SchedulingWork {
        self.work
    }

    /// Whether the store confirmed so lately that we lead that no other can have taken over.
    pub fn is_leadership_certain(&self, now: Now) -> bool {
        /// Below the shortest time in which another takes over from a leader that still runs.
        const SURE_MS: u64 = 900;
        now.steady_ms.saturating_sub(self.leadership_confirmed_ms) < SURE_MS
    }

    /// Whether leases may be extended: only so long after the last confirmation, because a
    /// successor that can't reach a worker waits just this long before it starts its work again.
    pub(crate) fn may_extend_leases(&self, now: Now) -> bool {
        now.steady_ms.saturating_sub(self.leadership_confirmed_ms)
            < self.options.unconfirmed_lease_ms
    }

    /// How long the store has owed the answer to an append.
    pub fn store_stuck_ms(&self, now: Now) -> u64 {
        self.outbox.stuck_ms(now.steady_ms)
    }

    fn on_listed(&mut self, entry: Registration) {
        self.retract_presumed_crashes(&entry.name);
        self.track_address(&entry);
        let until_ms = self.inherited_leases_expire_by_ms;
        let worker = self
            .workers
            .entry(entry.name.clone())
            .or_insert_with(|| Worker::new(entry.clone(), until_ms));
        worker.registered = true;
        worker.draining |= entry.draining;
        self.pending_changes.mark_worker_freed(&entry.name);
        if worker.poll != PollState::InFlight {
            self.unpolled_workers.insert(entry.name.clone());
        }
        worker.max_capacity = worker.max_capacity.max(&entry.capacity);
        worker.registration = entry;
        self.capacity_index.update(worker);
    }

    fn on_unlisted(&mut self, name: &WorkerName) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.registered = false;
            self.capacity_index.update(worker);
        }
    }

    fn on_tick(&mut self, now: Now) {
        if now.steady_ms > self.last_tick_ms + LATE_TICK_MS {
            self.response_loss.clear();
        }
        if now.steady_ms > self.last_tick_ms + STOOD_STILL_MS {
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
        if now.steady_ms >= self.next_review_ms {
            self.next_review_ms = now.steady_ms + REVIEW_INTERVAL_MS;
            if self.options.uses(Mechanism::Replacement) {
                self.replace_stuck_runs(now);
            }
            self.review_pools();
        }
        self.refuse_unstored_jobs(now);
        if now.steady_ms >= self.next_cleanup_ms {
            self.next_cleanup_ms = now.steady_ms + CLEANUP_INTERVAL_MS;
            self.forget_old_jobs(now);
        }
    }

    /// Judges whether the leader keeps up.
    fn update_pressure(&mut self, now: Now) {
        let turn_ms = self.scan.duration_ms(now);
        let Some(level) = self.pressure.tick(turn_ms, self.work.steps_examined, now) else {
            return;
        };
        log::info!(
            leader = level.as_str(), behind_ms = self.pressure.behind_ms(),
            tries_a_round = self.pressure.max_steps_per_round(), waiting = self.waiting.len(),
            unseen = self.pending_changes.changed_steps();
            "pressure changes"
        );
    }

    /// Whether the leader keeps up, and how far it is behind.
    pub fn pressure(&self) -> &Pressure {
        &self.pressure
    }

    /// Counts the workers of each service, and finds the least urgent work.
    fn review_pools(&mut self) {
        let open = self.jobs.values().filter(|entry| entry.job.outcome == Outcome::Open);
        self.least_urgent_priority = open.map(|entry| entry.job.queue.priority).max().unwrap_or(0);
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

    /// What a run of a task takes; nothing where the task is not known.
    pub(crate) fn need_of(&self, task: TaskName) -> Resources {
        let Some(entry) = self.jobs.get(&task.step.job) else { return Resources::ZERO };
        let step = entry.job.plan.steps.get(task.step.step as usize);
        step.map(place::need).unwrap_or(Resources::ZERO)
    }

    fn forget_old_jobs(&mut self, now: Now) {
        let retention_ms = self.options.retention_ms;
        let old: Vec<JobKey> = self
            .jobs
            .values()
            .filter(|entry| {
                entry.visible_outcome != Outcome::Open
                    && entry.job.ended_ms + retention_ms < now.unix_ms
                    && entry.job.live_runs().is_empty()
            })
            .map(|entry| entry.job.key)
            .collect();
        for key in old {
            // Advice that was answered after the end.
            self.release_steps(key);
            self.jobs.remove(&key);
            self.outbox.pending.deletions.insert(key);
        }
        let jobs = &self.jobs;
        self.presumed_gone
            .retain(|_, tasks| tasks.iter().any(|task| jobs.contains_key(&task.step.job)));
    }
}
