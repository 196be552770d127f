//! A small cell under made-up time: leaders, a store and workers, with faults switched on by calls.
//!
//! Each start of a run is judged as it happens: no worker above its capacity, no task in two places but
//! where copies may run, none after it was done and that was noted, none before the steps that it waits
//! for, none too often after it has crashed workers. Each answer about jobs that wait or run is judged by
//! what workers have begun.

#![allow(dead_code, unreachable_pub)]

pub(crate) mod cost;
pub(crate) mod crashes;
pub(crate) mod requests;
pub(crate) mod store;
pub(crate) mod worker;

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use lilacpass_core::{Resources, Verdict, event_queue::EventQueue};
use lilacpass_jobs::{Job, JobKey, StepName, TaskName, WorkerName, record};
use lilacpass_lead::{
    Effect, Event, Leader, Now, Options,
    event::{
        Advice, CallError, Lane, Record, Registration, Request, RequestId, Response, WorkerTicket,
    },
};
use lilacpass_schema::v1;

use cost::{Costs, Loop};
use crashes::Crashes;
use requests::Requests;
use store::Store;
use worker::Worker;

/// Time of day at the start, in milliseconds since 1970.
const DAY_MS: u64 = 1_800_000_000_000;
/// How long a call without an answer takes to fail.
const CALL_TIMEOUT_MS: u64 = 600;
/// The latest that an order without an answer is carried out.
const LATEST_MS: u64 = 12_000;
/// The shortest time of a call for advice.
const LEAST_ADVICE_MS: u64 = 40;
/// Time between two registrations of a worker.
const HEARTBEAT_MS: u64 = 1_500;
/// Time between ticks of a leader.
const TICK_MS: u64 = 50;

/// Numbers at random, the same for the same seed.
pub struct Random(pub u64);

impl Random {
    /// A number from 0 to below `below`.
    pub fn below(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % below.max(1)
    }

    /// True in so many of a hundred cases.
    pub fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// One leader, in force or not.
pub struct LeaderInstance {
    pub leader: Leader,
    pub epoch: u64,
    pub alive: bool,
    pub paused_until_ms: u64,
    next_sequence: u64,
    event_loop: Loop,
}

#[derive(Debug)]
enum Action {
    /// An effect arrives at its receiver.
    Arrive { member: usize, effect: Effect, answered: bool },
    /// An event reaches a leader.
    Deliver { member: usize, event: Event },
    /// A leader ticks.
    Tick { member: usize },
    /// A member sends its renewal.
    Renew { member: usize },
    /// A member whose operations take time is free again.
    Round { member: usize },
    /// A look that waited for an end is answered.
    PollEnds { member: usize, at: usize, effect: Effect, sent_ms: u64 },
    /// A task crashes the worker that started it.
    Crash { worker: WorkerName, task: TaskName },
    /// A worker that crashed is back as another.
    Return { at: usize },
}

/// The cell.
pub struct World {
    pub now_ms: u64,
    pub random: Random,
    pub store: Store,
    pub workers: Vec<Worker>,
    pub instances: Vec<LeaderInstance>,
    pub responses: Vec<(RequestId, Response)>,
    /// What was asked, and what workers have begun.
    pub requests: Requests,
    /// Tasks that crash their workers.
    pub crashes: Crashes,
    /// Calls for advice: the step, and how many workers were named.
    pub advice_calls: Vec<(StepName, usize)>,
    /// Share of orders, in percent, that get no answer and may be carried out late.
    pub lost_order_percent: u64,
    pub options: Options,
    /// When each request was answered.
    pub responded_ms: BTreeMap<u64, u64>,
    /// What the operations of a leader take; none where they take no time.
    pub costs: Option<Costs>,
    /// Of all that leaders asked for, and when.
    effects: DefaultHasher,
    actions: EventQueue<Action>,
    next_request_id: u64,
}

impl World {
    pub fn new(seed: u64, workers: usize, capacity: Resources) -> Self {
        let workers = (0..workers).map(|n| Worker::new(n, capacity)).collect();
        // With RUST_LOG set, the log lines of a play show what led to its end.
        let _already = env_logger::builder().is_test(true).try_init();
        let mut world = Self {
            now_ms: 1_000,
            random: Random(seed | 1),
            store: Store::default(),
            workers,
            instances: Vec::new(),
            responses: Vec::new(),
            requests: Requests::default(),
            crashes: Crashes::default(),
            advice_calls: Vec::new(),
            lost_order_percent: 0,
            options: Options::default(),
            responded_ms: BTreeMap::new(),
            costs: None,
            effects: DefaultHasher::new(),
            actions: EventQueue::default(),
            next_request_id: 0,
        };
        world.take_over();
        world
    }

    pub fn now(&self) -> Now {
        Now { steady_ms: self.now_ms, unix_ms: DAY_MS + self.now_ms }
    }

    /// The member that the store lets write.
    pub fn current_instance(&mut self) -> &mut LeaderInstance {
        self.instances.last_mut().expect("a member leads")
    }

    /// Another member takes over, whether the former one lives or not.
    pub fn take_over(&mut self) {
        let epoch = self.store.close();
        let jobs = self.store.jobs();
        let leader = Leader::new(self.options.clone(), jobs, self.now());
        self.instances.push(LeaderInstance {
            leader,
            epoch,
            alive: true,
            paused_until_ms: 0,
            next_sequence: 1,
            event_loop: Loop::default(),
        });
        let member = self.instances.len() - 1;
        self.plan(0, Action::Tick { member });
        self.plan(1, Action::Renew { member });
        self.list_workers(member);
        self.deliver(member, Event::Lanes(vec![Lane("a".to_owned()), Lane("b".to_owned())]));
    }

    fn list_workers(&mut self, member: usize) {
        let now_ms = self.now_ms;
        let is_listed = |w: &&Worker| w.alive && w.registered || now_ms < w.stale_until_ms;
        let entries: Vec<Registration> =
            self.workers.iter().filter(is_listed).map(Worker::registration).collect();
        for entry in entries {
            self.deliver(member, Event::WorkerRegistered(entry));
        }
    }

    /// A worker has another room from now on, and says so with its next heartbeat.
    pub fn set_capacity(&mut self, at: usize, capacity: Resources) {
        let now_ms = self.now_ms;
        let worker = &mut self.workers[at];
        worker.set_capacity(capacity, now_ms);
        if !worker.alive {
            return;
        }
        let entry = worker.registration();
        let member = self.instances.len() - 1;
        self.plan(HEARTBEAT_MS, Action::Deliver { member, event: Event::WorkerRegistered(entry) });
    }

    /// The store drops the registration of a worker that it has not heard of.
    pub fn unregister(&mut self, at: usize) {
        let member = self.instances.len() - 1;
        self.deliver(member, Event::WorkerUnregistered(self.workers[at].name.clone()));
    }

    /// Sets how many instances can call for advice.
    pub fn set_lanes(&mut self, count: usize) {
        let member = self.instances.len() - 1;
        let lanes = (0..count).map(|lane| Lane(format!("lane-{lane:02}"))).collect();
        self.deliver(member, Event::Lanes(lanes));
    }

    /// A new worker comes at the address of one that crashed.
    pub fn replace_worker(&mut self, index: usize) {
        // As good for advice as the old one, so that some worker is allowed for each step.
        let count = self.workers.len();
        let old = &mut self.workers[index];
        let number = 2 * count + old.number % 2;
        old.alive = false;
        let mut new = Worker::new(number, old.capacity);
        new.address = old.address.clone();
        self.workers.push(new);
        let member = self.instances.len() - 1;
        self.list_workers(member);
    }

    /// Asks the leader, and returns the token of the answer.
    pub fn request(&mut self, request: Request) -> RequestId {
        let request_id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let member = self.instances.len() - 1;
        self.requests.record(request_id, &request);
        self.deliver(member, Event::Request { request_id, request });
        request_id
    }

    pub fn submit(&mut self, key: u64, plan: v1::WorkPlan, queue: v1::QueuePolicy) -> RequestId {
        self.request(Request::Submit { job: JobKey(key), plan, queue })
    }

    pub fn response(&self, request_id: RequestId) -> Option<&Response> {
        self.responses.iter().find(|(t, _)| *t == request_id).map(|(_, answer)| answer)
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while let Some((at_ms, action)) = self.actions.pop_until(end_ms) {
            self.advance(at_ms);
            self.act(action);
        }
        self.advance(end_ms);
    }

    fn advance(&mut self, to_ms: u64) {
        self.now_ms = self.now_ms.max(to_ms);
        self.record_disturbance();
        for worker in &mut self.workers {
            worker.advance(self.now_ms);
        }
    }

    fn plan(&mut self, after_ms: u64, action: Action) {
        self.actions.schedule(self.now_ms + after_ms, action);
    }

    fn act(&mut self, action: Action) {
        log::trace!("{} {action:?}", self.now_ms);
        match action {
            Action::Deliver { member, event } => self.deliver(member, event),
            Action::Tick { member } => {
                if self.instances[member].alive {
                    if self.costs.is_none() {
                        self.plan(TICK_MS, Action::Tick { member });
                    }
                    self.deliver(member, Event::Tick);
                    self.deliver(member, Event::RegistrationsRead);
                }
            }
            Action::Renew { member } => {
                if !self.instances[member].alive {
                    return;
                }
                self.plan(300, Action::Renew { member });
                let sent_ms = self.now_ms;
                let in_force = self.instances[member].epoch == self.store.epoch;
                if in_force && !self.store.down && !self.is_paused(member) {
                    self.deliver(member, Event::LeadershipConfirmed { sent_ms });
                }
            }
            Action::Arrive { member, effect, answered } => self.carry_out(member, effect, answered),
            Action::Round { member } => self.run_round(member),
            Action::PollEnds { member, at, effect, sent_ms } => {
                self.answer_waiting_poll(member, at, &effect, sent_ms);
            }
            Action::Crash { worker, task } => self.crash_under(&worker, task),
            Action::Return { at } => self.replace_worker(at),
        }
    }

    fn is_paused(&self, member: usize) -> bool {
        self.instances[member].paused_until_ms > self.now_ms
    }

    fn deliver(&mut self, member: usize, event: Event) {
        if !self.instances[member].alive {
            return;
        }
        if self.is_paused(member) {
            let after_ms = self.instances[member].paused_until_ms - self.now_ms;
            return self.plan(after_ms, Action::Deliver { member, event });
        }
        if self.costs.is_some() {
            self.instances[member].event_loop.inbox.push(event);
            return self.wake(member);
        }
        let now = self.now();
        let leader = &mut self.instances[member].leader;
        leader.handle(event, now);
        for effect in leader.finish(now) {
            (self.now_ms, member, format!("{effect:?}")).hash(&mut self.effects);
            self.send(member, effect, 0);
        }
    }

    /// The same for plays in which all leaders asked for the same at the same times.
    pub fn digest(&self) -> u64 {
        self.effects.finish()
    }

    /// An effect leaves its leader.
    fn send(&mut self, member: usize, effect: Effect, after_ms: u64) {
        let delay_ms = 1 + self.random.below(4) + after_ms;
        let is_order =
            matches!(effect, Effect::Start { .. } | Effect::Stop { .. } | Effect::Poll { .. });
        if is_order && self.random.percent(self.lost_order_percent) {
            // No answer; perhaps carried out, perhaps late.
            self.fail(member, &effect);
            if self.random.percent(70) {
                let late_ms = self.random.below(LATEST_MS);
                self.plan(late_ms, Action::Arrive { member, effect, answered: false });
            }
            return;
        }
        self.plan(delay_ms, Action::Arrive { member, effect, answered: true });
    }

    fn fail(&mut self, member: usize, effect: &Effect) {
        let error = CallError::Failed(Verdict::MayHaveRun);
        if let Some(event) = self.outcome(effect, Err(error)) {
            self.plan(CALL_TIMEOUT_MS, Action::Deliver { member, event });
        }
    }

    /// The event by which a leader hears of the end of an order.
    fn outcome(&self, effect: &Effect, result: Result<(), CallError>) -> Option<Event> {
        Some(match effect {
            Effect::Start { worker, task, run, .. } => {
                Event::Started { worker: worker.clone(), task: *task, run: *run, result }
            }
            Effect::Stop { worker, task, run, .. } => {
                Event::Stopped { worker: worker.clone(), task: *task, run: *run, result }
            }
            Effect::Poll { worker, extra, .. } => Event::Polled {
                worker: worker.clone(),
                sent_ms: self.now_ms,
                extra: *extra,
                result: Err(result.err()?),
            },
            _ => return None,
        })
    }

    fn carry_out(&mut self, member: usize, effect: Effect, answered: bool) {
        match effect {
            Effect::Reply { request_id, response } => {
                if member + 1 == self.instances.len() {
                    self.requests.check(request_id, &response, &self.store);
                }
                self.responded_ms.insert(request_id.0, self.now_ms);
                self.responses.push((request_id, response));
            }
            Effect::Append(records) => self.append(member, &records),
            Effect::RequestAdvice { lane, step, workers, expected_ms } => {
                self.advice_calls.push((step, workers.len()));
                let good = workers
                    .iter()
                    .filter(|worker| is_good(worker))
                    .map(|worker| WorkerTicket { worker: worker.clone(), ticket: "t".to_owned() })
                    .collect();
                let advice = Some(Advice { good, valid_ms: 2_500 });
                let event = Event::AdviceReceived { lane, step, asked: workers, advice };
                self.plan(expected_ms.max(LEAST_ADVICE_MS), Action::Deliver { member, event });
            }
            Effect::Deposed => self.instances[member].alive = false,
            order => self.order_arrives(member, &order, answered),
        }
    }

    fn append(&mut self, member: usize, records: &[Record]) {
        if self.store.down {
            let event = Event::NotAppended;
            return self.plan(2, Action::Deliver { member, event });
        }
        let LeaderInstance { epoch, next_sequence, .. } = self.instances[member];
        if !self.store.append(epoch, records) {
            self.instances[member].alive = false;
            return;
        }
        self.instances[member].next_sequence = next_sequence + 1;
        self.plan(5, Action::Deliver { member, event: Event::Appended });
    }

    fn order_arrives(&mut self, member: usize, effect: &Effect, answered: bool) {
        let (name, address) = match effect {
            Effect::Start { worker, address, .. }
            | Effect::Stop { worker, address, .. }
            | Effect::Poll { worker, address, .. } => (worker.clone(), address.clone()),
            _ => return,
        };
        let at = self.workers.iter().position(|w| w.alive && w.address == address);
        let reachable = at.filter(|&at| !self.workers[at].unreachable);
        let Some(at) = reachable else {
            if answered {
                self.fail(member, effect);
            }
            return;
        };
        if self.workers[at].name != name {
            let event = match effect {
                Effect::Poll { extra, .. } => Some(Event::Polled {
                    worker: name,
                    sent_ms: self.now_ms,
                    extra: *extra,
                    result: Err(CallError::OtherLife),
                }),
                other => self.outcome(other, Err(CallError::OtherLife)),
            };
            return self.send_order_result(member, event, answered);
        }
        let epoch = self.instances[member].epoch;
        let now_ms = self.now_ms;
        let event = match effect {
            Effect::Poll { worker, lease_until_ms, forget_up_to, wait_ms, extra, .. } => {
                let result = self.workers[at].poll(epoch, *lease_until_ms, *forget_up_to);
                if self.costs.is_some() && result.is_ok() {
                    let wait_ms = self.workers[at].next_end_ms(*wait_ms, now_ms);
                    let effect = effect.clone();
                    let ends = Action::PollEnds { member, at, effect, sent_ms: now_ms };
                    return self.plan(wait_ms, ends);
                }
                // A waiting look is answered when something ends; here, after part of the wait.
                let wait_ms = (*wait_ms).min(100);
                let event = Event::Polled {
                    worker: worker.clone(),
                    sent_ms: now_ms,
                    extra: *extra,
                    result,
                };
                if answered {
                    self.plan(1 + wait_ms, Action::Deliver { member, event });
                }
                return;
            }
            Effect::Start { task, run, lease_until_ms, .. } => {
                let result = self.start(at, *task, *run, epoch, *lease_until_ms);
                self.outcome(effect, result)
            }
            Effect::Stop { task, run, .. } => {
                let result = self.workers[at].stop(*task, *run, epoch, now_ms);
                self.outcome(effect, result)
            }
            _ => None,
        };
        self.send_order_result(member, event, answered);
    }

    fn send_order_result(&mut self, member: usize, event: Option<Event>, answered: bool) {
        if let Some(event) = event.filter(|_| answered) {
            let delay_ms = 1 + self.random.below(4);
            self.plan(delay_ms, Action::Deliver { member, event });
        }
    }

    fn start(
        &mut self,
        at: usize,
        task: TaskName,
        run: u32,
        epoch: u64,
        lease_until_ms: u64,
    ) -> Result<(), CallError> {
        self.workers[at].accepts(task, run, epoch, lease_until_ms)?;
        if self.workers[at].runs.contains_key(&task) {
            return Ok(());
        }
        let job = self.store.job(task.step.job).expect("a task of a stored job");
        self.check_start(at, task, &job);
        self.requests.begun.insert(job.key);
        let plan = job.step_plan(task.step.step);
        let work_ms = u64::from(plan.estimate_ms).max(1);
        let fails = self.random.percent(3) || self.workers[at].fails_all_runs;
        let need = lilacpass_lead::place::need(plan);
        let now_ms = self.now_ms;
        self.workers[at].begin(task, run, need, now_ms + work_ms, fails, plan.lasting);
        self.schedule_crash(at, task);
        Ok(())
    }

    /// What must hold at each start.
    fn check_start(&self, at: usize, task: TaskName, job: &Job) {
        let plan = job.step_plan(task.step.step);
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            assert!(
                plan.speculative || !worker.runs.contains_key(&task),
                "{task} starts on {} while it runs on {}",
                self.workers[at].name,
                worker.name
            );
            assert!(
                !worker.recorded_done.contains(&task),
                "{task} starts again after it was done and that was noted"
            );
        }
        let need = lilacpass_lead::place::need(plan);
        let used = self.workers[at].used().plus(&need);
        assert!(
            used.fits(&self.workers[at].limit(self.now_ms)),
            "{task} brings {} over its capacity: {used}",
            self.workers[at].name
        );
        for &earlier in &plan.after {
            let step = StepName { step: earlier, ..task.step };
            for index in 0..job.step_plan(earlier).count {
                let earlier = step.task(index);
                let done = self.workers.iter().any(|worker| worker.done.contains(&earlier));
                assert!(done, "{task} starts before {earlier} is done");
            }
        }
    }
}

/// Workers with an even number may run what needs advice.
fn is_good(worker: &WorkerName) -> bool {
    worker
        .as_str()
        .bytes()
        .last()
        .is_some_and(|b| b.is_ascii_digit() && (b - b'0').is_multiple_of(2))
}

/// A plan of steps, each after the one before.
pub fn plan(steps: &[v1::WorkStep]) -> v1::WorkPlan {
    let steps = steps
        .iter()
        .enumerate()
        .map(|(number, step)| {
            let after = number.checked_sub(1).map(|earlier| earlier as u32).into_iter().collect();
            v1::WorkStep { after, ..step.clone() }
        })
        .collect();
    v1::WorkPlan { payload: "do".to_owned(), steps, ..Default::default() }
}

/// A step of `count` tasks that take `cpu_milli` for `estimate_ms`.
pub fn step(count: u32, cpu_milli: u32, estimate_ms: u32) -> v1::WorkStep {
    v1::WorkStep { count, cpu_milli, memory_mb: 10, estimate_ms, ..Default::default() }
}

/// A queue without advice.
pub fn queue(name: &str, priority: u32) -> v1::QueuePolicy {
    v1::QueuePolicy {
        name: name.to_owned(),
        service: "pool".to_owned(),
        priority,
        attempts: 20,
        stretch: 1.5,
        objective_ms: 250,
        advice: None,
    }
}

/// The key of a record of a job, for tests that read the store.
pub fn state_key(key: u64) -> String {
    record::state_key(JobKey(key))
}
