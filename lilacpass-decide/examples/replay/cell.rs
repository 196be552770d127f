//! The cell under the real decision code: entry instances that are holders too, in three data
//! centres, with stale digests of each other.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{AttemptNo, DataCentreId, InstanceId, JobId, RackId, TaskId, WorkerId},
};
use lilacpass_decide::{
    Decision, HolderDigest, How, JobQueue, Outcome, Policy, Preempt, QuickTask, RetryBudget,
    Scheduler, SchedulerOptions, TaskMeta, WorkerSpec, route,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    events::Events,
    stats::Stats,
    workload::{self, DEADLINE_US, SECOND_US, Setup, Work},
};

const DATA_CENTRES: usize = 3;
pub(crate) const HOLDERS: usize = 9;
const HEARTBEAT_US: u64 = 100_000;
const DRIVER_TICK_US: u64 = 50_000;
const STOP_US: u64 = 20_000;
const MAX_ATTEMPTS: u64 = 3;
/// Work that a resumed task does again.
const RESUME_US: u64 = SECOND_US;

/// How an entry instance chooses a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Routing {
    /// The decision code.
    Chosen,
    /// The holder with the least wait, then the most free room, in the last digests.
    LeastWait,
    Random,
}

/// What is switched off for a replay, each a guard or a policy of the decision code.
#[derive(Clone, Debug)]
pub(crate) struct Knobs {
    pub(crate) options: SchedulerOptions,
    pub(crate) policy: Policy,
    pub(crate) routing: Routing,
    /// Whether sizes are learned.
    pub(crate) learn_sizes: bool,
    /// Whether requests are admitted by their deadline.
    pub(crate) admit: bool,
    /// Whether a refused request is sent to another holder.
    pub(crate) retry: bool,
}

impl Default for Knobs {
    fn default() -> Self {
        Self {
            options: SchedulerOptions::default(),
            policy: Policy { batch_aging: Duration::from_secs(60), ..Policy::default() },
            routing: Routing::Chosen,
            learn_sizes: true,
            admit: true,
            retry: true,
        }
    }
}

enum Event {
    Arrival(usize),
    Submit { work: usize, entry: usize, holder: usize, attempt: u64 },
    End { task: TaskId, run: u64 },
    Stopped { task: TaskId, run: u64, how: How },
    Throttled { task: TaskId, run: u64, keeps: Resources },
    Heartbeat,
    DriverTick,
    Wake { holder: usize },
}

/// A task that runs.
struct Running {
    /// Tells this run from earlier ones of the same task.
    run: u64,
    work: usize,
    holder: usize,
    worker: WorkerId,
    started_us: u64,
    ends_us: u64,
    given: Resources,
}

/// A job between its arrival and its end.
#[derive(Clone)]
pub(crate) struct Job {
    pub(crate) attempt: u64,
    /// Run time that is left, after a checkpoint.
    pub(crate) left_us: u64,
    pub(crate) tasks_left: u32,
    pub(crate) started: bool,
}

pub(crate) struct Cell<'a> {
    pub(crate) setup: &'a Setup,
    knobs: &'a Knobs,
    pub(crate) works: Vec<Work>,
    events: Events<Event>,
    pub(crate) holders: Vec<Scheduler>,
    digests: Vec<HolderDigest>,
    digests_at_us: u64,
    names: BTreeMap<InstanceId, usize>,
    pub(crate) queues: Vec<JobQueue>,
    pub(crate) jobs: BTreeMap<usize, Job>,
    running: BTreeMap<TaskId, Running>,
    wakes: Vec<u64>,
    budgets: Vec<RetryBudget>,
    runs: u64,
    rng: SmallRng,
    pub(crate) stats: Stats,
}

pub(crate) fn worker_spec(n: usize) -> WorkerSpec {
    WorkerSpec {
        id: WorkerId::new(format!("w{n:05}")),
        data_centre: DataCentreId::new(format!("hal-{}", n % DATA_CENTRES)),
        rack: RackId::new(format!("rack-{}-{}", n % DATA_CENTRES, n / DATA_CENTRES / 8)),
        capacity: workload::worker_capacity(),
        draining: false,
        connections: 64,
    }
}

/// Replays the workload and says what was measured.
pub(crate) fn replay(setup: &Setup, knobs: &Knobs) -> Stats {
    let mut cell = Cell::new(setup, knobs);
    cell.start();
    let end_us = setup.seconds * SECOND_US;
    while let Some((now_us, event)) = cell.events.next() {
        if now_us > end_us {
            break;
        }
        cell.step(now_us, event);
    }
    let last: Vec<TaskId> = cell.running.keys().copied().collect();
    last.iter().for_each(|task| cell.count_use(task, end_us));
    cell.stats
}

pub(crate) fn at(us: u64) -> MonoTime {
    MonoTime(us)
}

impl<'a> Cell<'a> {
    fn new(setup: &'a Setup, knobs: &'a Knobs) -> Self {
        let mut holders: Vec<Scheduler> =
            (0..HOLDERS).map(|_| Scheduler::new(knobs.options.clone())).collect();
        for n in 0..setup.workers {
            let spec = worker_spec(n);
            let holder = n % DATA_CENTRES + DATA_CENTRES * (n / DATA_CENTRES % 3);
            let pool = &mut holders[holder].pool;
            pool.upsert_worker(spec.clone(), at(0));
            pool.set_limit(&spec.id, spec.capacity, at(0));
        }
        holders.iter_mut().for_each(|holder| holder.set_policy(knobs.policy.clone()));
        let mut queue = JobQueue::new();
        queue.set_policy(knobs.policy.clone());
        let name = |n: usize| InstanceId::new(format!("entry-{n}"));
        Self {
            setup,
            knobs,
            works: workload::arrivals(setup),
            events: Events::new(),
            holders,
            digests: Vec::new(),
            digests_at_us: 0,
            names: (0..HOLDERS).map(|n| (name(n), n)).collect(),
            queues: vec![queue; HOLDERS],
            jobs: BTreeMap::new(),
            running: BTreeMap::new(),
            wakes: vec![u64::MAX; HOLDERS],
            budgets: vec![RetryBudget::new(20, 100); HOLDERS],
            runs: 0,
            rng: SmallRng::seed_from_u64(setup.seed + 1),
            stats: Stats::default(),
        }
    }

    fn start(&mut self) {
        for (n, work) in workload::watchers(self.setup).into_iter().enumerate() {
            let index = self.works.len();
            self.works.push(work);
            let task = self.task_id(index, 1, 0);
            let holder = n % HOLDERS;
            let (need, meta) = (self.works[index].declared, self.works[index].meta.clone());
            if let Ok(worker) =
                self.holders[holder].pool.place_and_give(task, need, &meta, &[], at(0))
            {
                self.run(task, index, holder, worker, need, 0);
            }
        }
        for index in 0..self.works.len() - self.setup.workers / 2 {
            self.events.add(self.works[index].arrives_us, Event::Arrival(index));
        }
        self.heartbeat(0);
        self.events.add(DRIVER_TICK_US, Event::DriverTick);
    }

    fn step(&mut self, now_us: u64, event: Event) {
        match event {
            Event::Arrival(work) if self.works[work].is_quick() => self.quick(work, now_us),
            Event::Arrival(work) => self.job(work, now_us),
            Event::Submit { work, entry, holder, attempt } => {
                self.submit(work, entry, holder, attempt, now_us);
            }
            Event::End { task, run } => self.end(task, run, now_us),
            Event::Stopped { task, run, how } => self.stopped(task, run, how, now_us),
            Event::Throttled { task, run, keeps } => self.throttled(task, run, keeps, now_us),
            Event::Heartbeat => self.heartbeat(now_us),
            Event::DriverTick => {
                (0..HOLDERS).for_each(|entry| self.drive(entry, now_us));
                self.events.add(now_us + DRIVER_TICK_US, Event::DriverTick);
            }
            Event::Wake { holder } => {
                if self.wakes[holder] == now_us {
                    self.wakes[holder] = u64::MAX;
                    self.dispatch(holder, now_us);
                }
            }
        }
    }

    fn heartbeat(&mut self, now_us: u64) {
        let meta = self.works.first().map(|work| work.meta.clone());
        let digest = |(name, &n): (&InstanceId, &usize)| {
            let holder = &self.holders[n];
            let pool = holder.pool.digest();
            HolderDigest {
                holder: name.clone(),
                same_data_centre: true,
                free: pool.free,
                largest: pool.largest,
                queued: holder.queued(Class::Urgent) as u32,
                wait: meta
                    .as_ref()
                    .map(|meta| TaskMeta { class: Class::Urgent, ..meta.clone() })
                    .map_or(Duration::ZERO, |meta| holder.estimate_wait(&meta, at(now_us))),
                age: Duration::ZERO,
            }
        };
        self.digests = self.names.iter().map(digest).collect();
        self.digests_at_us = now_us;
        self.events.add(now_us + HEARTBEAT_US, Event::Heartbeat);
    }

    /// One-way latency between two entry instances.
    fn hop_us(from: usize, to: usize) -> u64 {
        match (from == to, from % DATA_CENTRES == to % DATA_CENTRES) {
            (true, _) => 0,
            (_, true) => 200,
            _ => 500,
        }
    }

    pub(crate) fn choose(
        &mut self,
        entry: usize,
        need: &Resources,
        avoid: &[usize],
        now_us: u64,
    ) -> Option<usize> {
        let age = Duration::from_micros(now_us - self.digests_at_us);
        let mut digests = self.digests.clone();
        for digest in &mut digests {
            digest.age = age;
            let holder = self.names[&digest.holder];
            digest.same_data_centre = holder % DATA_CENTRES == entry % DATA_CENTRES;
            if holder == entry {
                // An entry instance knows its own pool as it is now.
                let pool = self.holders[entry].pool.digest();
                (digest.free, digest.largest) = (pool.free, pool.largest);
                digest.queued = self.holders[entry].queued(Class::Urgent) as u32;
                let meta = TaskMeta { class: Class::Urgent, ..self.works[0].meta.clone() };
                digest.wait = self.holders[entry].estimate_wait(&meta, at(now_us));
                digest.age = Duration::ZERO;
            }
        }
        let avoid: Vec<InstanceId> = self
            .names
            .iter()
            .filter(|(_, n)| avoid.contains(n))
            .map(|(id, _)| id.clone())
            .collect();
        let chosen = match self.knobs.routing {
            Routing::Chosen => route::choose(&digests, need, &mut self.rng, &avoid),
            Routing::Random => Some(digests[self.rng.random_range(0..HOLDERS)].holder.clone()),
            Routing::LeastWait => digests
                .iter()
                .filter(|d| !avoid.contains(&d.holder))
                .min_by_key(|d| (d.wait, u64::MAX - d.free.slots.0))
                .map(|d| d.holder.clone()),
        };
        chosen.map(|id| self.names[&id])
    }

    /// The size to ask for: learned, else declared.
    pub(crate) fn size(&self, entry: usize, work: usize) -> Resources {
        let work = &self.works[work];
        let learned = &self.holders[entry].pool.learned;
        match self.knobs.learn_sizes {
            true => learned.size(
                &work.meta.service,
                &work.meta.kind,
                &work.declared,
                &workload::worker_capacity(),
            ),
            false => work.declared,
        }
    }

    fn quick(&mut self, work: usize, now_us: u64) {
        self.stats.arrived(&self.works[work], self.setup);
        let entry = self.rng.random_range(0..HOLDERS);
        self.budgets[entry].on_request();
        self.forward(work, entry, &[], 1, now_us);
    }

    fn forward(&mut self, work: usize, entry: usize, avoid: &[usize], attempt: u64, now_us: u64) {
        let need = self.size(entry, work);
        let Some(holder) = self.choose(entry, &need, avoid, now_us) else { return };
        let submit = Event::Submit { work, entry, holder, attempt };
        self.events.add(now_us + Self::hop_us(entry, holder), submit);
    }

    fn submit(&mut self, index: usize, entry: usize, holder: usize, attempt: u64, now_us: u64) {
        let need = self.size(entry, index);
        let work = &self.works[index];
        let deadline = if self.knobs.admit { work.arrives_us + DEADLINE_US } else { u64::MAX / 2 };
        let request = QuickTask {
            task: self.task_id(index, attempt, 0),
            need,
            meta: work.meta.clone(),
            deadline: at(deadline),
            run_declared: Some(Duration::from_micros(work.run_declared_us)),
        };
        let clock = Instant::now();
        let taken = self.holders[holder].submit(request, at(now_us));
        self.stats.decided(clock.elapsed());
        match taken {
            Ok(()) => self.dispatch(holder, now_us),
            Err(_) => self.refused(index, entry, holder, attempt, now_us),
        }
    }

    fn refused(&mut self, work: usize, entry: usize, holder: usize, attempt: u64, now_us: u64) {
        let late = now_us >= self.works[work].arrives_us + DEADLINE_US;
        if self.knobs.retry && !late && attempt < MAX_ATTEMPTS && self.budgets[entry].try_spend() {
            let back_us = now_us + Self::hop_us(entry, holder);
            self.forward(work, entry, &[holder], attempt + 1, back_us);
        }
    }

    fn dispatch(&mut self, holder: usize, now_us: u64) {
        let clock = Instant::now();
        let decisions = self.holders[holder].dispatch(at(now_us));
        self.stats.decided(clock.elapsed() / u32::try_from(decisions.len().max(1)).unwrap_or(1));
        for decision in decisions {
            match decision {
                Decision::Start { task, worker, .. } => {
                    let index = task.job.0 as usize;
                    let given = self.holders[holder].pool.task(&task).expect("given").1.need;
                    self.stats.started(&self.works[index], now_us, self.setup);
                    self.run(task, index, holder, worker, given, now_us);
                }
                Decision::Refuse { task, .. } => {
                    // Any entry instance may have sent it; the budget of the holder stands in.
                    let index = task.job.0 as usize;
                    self.refused(index, holder, holder, task.attempt.0, now_us);
                }
                Decision::Preempt(preempt) => self.preempt(&preempt, now_us),
            }
        }
        if let Some(wake) = self.holders[holder].next_wake(at(now_us)) {
            let wake = wake.0.max(now_us + 1);
            if wake < self.wakes[holder] {
                self.wakes[holder] = wake;
                self.events.add(wake, Event::Wake { holder });
            }
        }
    }

    fn preempt(&mut self, preempt: &Preempt, now_us: u64) {
        let Some(running) = self.running.get(&preempt.task) else { return };
        let meta = &self.works[running.work].meta;
        let allowed = meta.checkpointable || meta.idempotent || preempt.how == How::Throttle;
        self.stats.unsafe_preemptions += u64::from(!allowed);
        self.stats.preempted += 1;
        let (task, run) = (preempt.task, running.run);
        let event = match preempt.how {
            How::Throttle => Event::Throttled { task, run, keeps: preempt.keeps },
            how => Event::Stopped { task, run, how },
        };
        self.events.add(now_us + STOP_US, event);
    }

    pub(crate) fn run(
        &mut self,
        task: TaskId,
        work: usize,
        holder: usize,
        worker: WorkerId,
        given: Resources,
        now_us: u64,
    ) {
        self.runs += 1;
        let run = self.runs;
        let bad = self.setup.black_hole && worker.as_str() == "w00000";
        let left = self.jobs.get(&work).map_or(self.works[work].run_us, |job| job.left_us);
        let whole = self.works[work].run_us.max(1);
        let stretched = self.works[work].run_with_us(&given) as f64 / whole as f64;
        let takes_us = if bad { 1_000 } else { (left as f64 * stretched) as u64 };
        let ends_us = now_us + takes_us;
        self.events.add(ends_us, Event::End { task, run });
        let running = Running { run, work, holder, worker, started_us: now_us, ends_us, given };
        self.running.insert(task, running);
    }

    fn count_use(&mut self, task: &TaskId, now_us: u64) {
        let Some(running) = self.running.remove(task) else { return };
        let size = self.works[running.work].size;
        self.stats.used(&size, running.started_us, now_us, self.setup);
    }

    fn end(&mut self, task: TaskId, run: u64, now_us: u64) {
        let Some(running) = self.running.get(&task).filter(|r| r.run == run) else { return };
        let (index, holder) = (running.work, running.holder);
        let bad = self.setup.black_hole && running.worker.as_str() == "w00000";
        let ran = Duration::from_micros(now_us - running.started_us);
        self.count_use(&task, now_us);
        let outcome = if bad { Outcome::Failed } else { Outcome::Succeeded };
        let work = &self.works[index];
        let clock = Instant::now();
        self.holders[holder].ended(&task, outcome, ran, at(now_us));
        self.stats.decided(clock.elapsed());
        if self.knobs.learn_sizes && !bad {
            let learned = &mut self.holders[holder].pool.learned;
            learned.observe_size(&work.meta.service, &work.meta.kind, &work.size);
        }
        if work.is_quick() {
            self.quick_ended(index, holder, task, bad, now_us);
        } else {
            self.job_ended(index, bad, now_us);
        }
        self.dispatch(holder, now_us);
    }

    fn quick_ended(&mut self, work: usize, holder: usize, task: TaskId, bad: bool, now_us: u64) {
        let attempt = task.attempt.0;
        if bad && self.knobs.retry && attempt < MAX_ATTEMPTS && self.budgets[holder].try_spend() {
            self.forward(work, holder, &[holder], attempt + 1, now_us);
            return;
        }
        self.stats.answered(&self.works[work], now_us, !bad, self.setup);
    }

    fn stopped(&mut self, task: TaskId, run: u64, how: How, now_us: u64) {
        let Some(running) = self.running.get(&task).filter(|r| r.run == run) else { return };
        let (index, holder) = (running.work, running.holder);
        let ran_us = now_us - running.started_us;
        let left_us = running.ends_us - now_us;
        self.count_use(&task, now_us);
        let ran = Duration::from_micros(ran_us);
        self.holders[holder].ended(&task, Outcome::Stopped, ran, at(now_us));
        if let Some(job) = self.jobs.get_mut(&index) {
            let lost_us = match how {
                How::Checkpoint => RESUME_US.min(ran_us),
                _ => ran_us,
            };
            self.stats.lost_preempted_us += u128::from(lost_us);
            job.left_us = (left_us + lost_us).min(self.works[index].run_us);
            job.attempt += 1;
            if self.works[index].tasks == 1 {
                self.requeue(index, now_us);
            } else {
                // The task of a gang that was stopped ends the gang's use of it.
                job.tasks_left = job.tasks_left.saturating_sub(1);
            }
        }
        self.dispatch(holder, now_us);
    }

    fn throttled(&mut self, task: TaskId, run: u64, keeps: Resources, now_us: u64) {
        let Some(running) = self.running.get_mut(&task).filter(|r| r.run == run) else { return };
        let slower = running.given.cpu.0 as f64 / keeps.cpu.0.max(1) as f64;
        let left = (running.ends_us - now_us) as f64 * slower;
        running.ends_us = now_us + left as u64;
        running.given = keeps;
        self.runs += 1;
        running.run = self.runs;
        let holder = running.holder;
        self.events.add(running.ends_us, Event::End { task, run: self.runs });
        self.holders[holder].pool.resize(&task, keeps, at(now_us));
        self.dispatch(holder, now_us);
    }

    pub(crate) fn task_id(&self, work: usize, attempt: u64, index: u32) -> TaskId {
        TaskId { job: JobId(work as u128), attempt: AttemptNo(attempt), index }
    }
}
