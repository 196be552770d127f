//! A model of a cell around the real leader, under made-up time.
//!
//! Modelled: workers with room, leases, ends and saved progress; appends one at a time; calls for advice;
//! callers that try again; bursts, slow and failing workers, a store that is slow or away, advice that
//! is silent. Left out: other instances and take-overs, lost messages, cancelled jobs, racks that make
//! tasks slow, and the processor of the leader: deciding takes no made-up time, and is measured beside.

use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

use lilacpass_core::{Resources, Verdict, event_queue::EventQueue};
use lilacpass_jobs::{EndReason, JobKey, StepName, TaskName, WorkerName, record};
use lilacpass_lead::{
    Effect, Event, Leader, Now, Options,
    event::{CallError, Lane, Record, Request, RequestId, Response},
};
use lilacpass_schema::v1;
use prost::Message;

use crate::{
    arrivals::{self, Arrival, DAY_MS},
    callers::{Caller, Standing},
    model_worker::{ModelWorker, Running, WaitingLook},
    outcome::{Outcome, Recorder},
    policy::Policy,
    scenario::{FaultKind, Scenario},
    services, workers,
};

/// Time between ticks of the leader.
const TICK_MS: u64 = 50;
/// Time between confirmations that it still leads.
const RENEWAL_MS: u64 = 200;
/// Time between looks at the registrations.
const REGISTRY_MS: u64 = 500;
/// Time before the first job, in which the leader meets its workers.
const START_MS: u64 = 1_000;
/// One way between the leader and a worker.
pub(crate) const HOP_MS: u64 = 1;
/// An append that is refused is answered after so long.
const REFUSED_MS: u64 = 2;
/// Interval of the samples of use and of waiting tasks.
const SAMPLE_MS: u64 = 1_000;
/// How long a task that fails has worked, as a part of its work.
const FAILS_AFTER: f64 = 0.5;

#[derive(Debug)]
pub(crate) enum Action {
    /// An event reaches the leader.
    Tell(Event),
    /// An effect reaches its receiver.
    Arrive(Effect),
    /// Something may happen on a worker.
    Worker(usize),
    /// A caller hands its job in.
    Submit(usize),
    Tick,
    Renew,
    Registry,
    Sample,
    /// A worker crashes, if it is still this one.
    Crash {
        at: usize,
        worker: WorkerName,
    },
    /// A worker that crashed is back.
    Return(usize),
}

/// A play of a policy.
pub(crate) struct Cell<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) arrivals: &'a [Arrival],
    by_key: HashMap<JobKey, usize>,
    pub(crate) seed: u64,
    pub(crate) leader: Leader,
    pub(crate) now_ms: u64,
    pub(crate) workers: Vec<ModelWorker>,
    pub(crate) by_name: BTreeMap<WorkerName, usize>,
    /// Lives of workers that began after a crash.
    pub(crate) lives: u64,
    /// Starts of each task that crashes its workers.
    pub(crate) starts_of_crashing: BTreeMap<TaskName, u32>,
    callers: Vec<Caller>,
    pub(crate) recorder: Recorder,
    /// Tasks that are done, by step.
    done: HashMap<StepName, u32>,
    actions: EventQueue<Action>,
    /// When the append under way is done; the next waits for it.
    store_free_ms: u64,
    /// Until when each lane is busy with a call.
    lanes_free_ms: HashMap<Lane, u64>,
}

/// Plays a scenario with the real leader under these options.
pub fn play(
    scenario: &Scenario,
    arrivals: &[Arrival],
    policy: Policy,
    options: Options,
    seed: u64,
) -> Outcome {
    let mut cell = Cell::new(scenario, arrivals, options, seed);
    let end_ms = START_MS + ((scenario.length_s + scenario.rest_s) * 1_000.0) as u64;
    cell.run(end_ms);
    cell.recorder.most_crashing_starts =
        cell.starts_of_crashing.values().copied().max().unwrap_or(0);
    let Cell { recorder, callers, .. } = cell;
    recorder.finish(policy.to_string(), seed, scenario, arrivals, &callers)
}

impl<'a> Cell<'a> {
    fn new(scenario: &'a Scenario, arrivals: &'a [Arrival], options: Options, seed: u64) -> Self {
        let workers: Vec<ModelWorker> =
            scenario.pools.iter().flat_map(workers::registrations).map(ModelWorker::new).collect();
        let names = workers.iter().enumerate().map(|(at, worker)| (worker.name().clone(), at));
        let start = Now { steady_ms: 0, unix_ms: DAY_MS };
        let mut cell = Self {
            by_name: names.collect(),
            by_key: arrivals.iter().enumerate().map(|(job, a)| (a.key, job)).collect(),
            leader: Leader::new(options, Vec::new(), start),
            now_ms: 0,
            lives: 0,
            starts_of_crashing: BTreeMap::new(),
            workers,
            callers: vec![Caller::default(); arrivals.len()],
            recorder: Recorder::new(scenario.classes.len()),
            done: HashMap::new(),
            actions: EventQueue::default(),
            store_free_ms: 0,
            lanes_free_ms: HashMap::new(),
            scenario,
            arrivals,
            seed,
        };
        for action in [Action::Registry, Action::Tick, Action::Renew] {
            cell.plan(0, action);
        }
        cell.plan(START_MS, Action::Sample);
        for (job, arrival) in arrivals.iter().enumerate() {
            cell.plan(START_MS + arrival.at_ms, Action::Submit(job));
        }
        cell
    }

    /// Milliseconds from the first job.
    pub(crate) fn play_ms(&self) -> u64 {
        self.now_ms.saturating_sub(START_MS)
    }

    pub(crate) fn now(&self) -> Now {
        Now { steady_ms: self.now_ms, unix_ms: DAY_MS + self.now_ms }
    }

    pub(crate) fn plan(&mut self, at_ms: u64, action: Action) {
        self.actions.schedule(at_ms, action);
    }

    fn run(&mut self, end_ms: u64) {
        while let Some((at_ms, action)) = self.actions.pop_until(end_ms) {
            self.now_ms = at_ms;
            self.act(action);
            if self.actions.next_ms() != Some(self.now_ms) {
                self.decide();
            }
        }
    }

    /// Has the leader decide what follows from all that happened at this time.
    fn decide(&mut self) {
        let now = self.now();
        let begin = Instant::now();
        let effects = self.leader.finish(now);
        self.recorder.round(begin.elapsed());
        for effect in effects {
            let delay_ms = match &effect {
                Effect::Reply { .. } | Effect::Append(_) | Effect::RequestAdvice { .. } => 0,
                _ => HOP_MS,
            };
            self.plan(self.now_ms + delay_ms, Action::Arrive(effect));
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Tell(event) => self.leader.handle(event, self.now()),
            Action::Arrive(effect) => self.arrive(effect),
            Action::Worker(at) => self.worker_advances(at),
            Action::Submit(job) => self.submit(job),
            Action::Tick => {
                self.plan(self.now_ms + TICK_MS, Action::Tick);
                self.leader.handle(Event::Tick, self.now());
            }
            Action::Renew => self.renew(),
            Action::Registry => self.read_registry(),
            Action::Sample => self.sample(),
            Action::Crash { at, worker } => self.crash(at, &worker),
            Action::Return(at) => self.comes_back(at),
        }
    }

    fn renew(&mut self) {
        self.plan(self.now_ms + RENEWAL_MS, Action::Renew);
        let play_ms = self.play_ms();
        if services::append_ms(self.scenario, play_ms).is_some() {
            let sent_ms = self.now_ms;
            self.leader.handle(Event::LeadershipConfirmed { sent_ms }, self.now());
        }
    }

    fn read_registry(&mut self) {
        let now = self.now();
        if self.now_ms == 0 {
            for worker in &self.workers {
                self.leader.handle(Event::WorkerRegistered(worker.entry.clone()), now);
            }
            let lanes = (0..self.scenario.advice.lanes).map(|n| Lane(format!("lane-{n:03}")));
            self.leader.handle(Event::Lanes(lanes.collect()), now);
        }
        self.set_capacities();
        self.leader.handle(Event::RegistrationsRead, now);
        self.plan(self.now_ms + REGISTRY_MS, Action::Registry);
    }

    fn sample(&mut self) {
        self.plan(self.now_ms + SAMPLE_MS, Action::Sample);
        let cpu = |resources: Resources| resources.cpu.0 as f64;
        let used: f64 = self.workers.iter().map(|worker| cpu(worker.used())).sum();
        let all: f64 = self.workers.iter().map(|worker| cpu(worker.entry.capacity)).sum();
        self.recorder.use_by_s.push(used / all.max(1.0));
        self.recorder.waiting_by_s.push(self.leader.status(self.now()).waiting_steps);
    }

    fn submit(&mut self, job: usize) {
        let arrival = &self.arrivals[job];
        let class = &self.scenario.classes[arrival.class];
        let step = StepName { job: arrival.key, occurrence: 0, step: 0 };
        self.recorder.ready(step, self.now_ms);
        let request = Request::Submit {
            job: arrival.key,
            plan: arrival.plan(class),
            queue: arrivals::queue(class, self.scenario),
        };
        self.leader
            .handle(Event::Request { request_id: RequestId(job as u64), request }, self.now());
    }

    fn arrive(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { request_id, response } => self.caller_hears(request_id, &response),
            Effect::Append(records) => self.append(&records),
            Effect::RequestAdvice { lane, step, workers, .. } => self.advise(lane, step, workers),
            Effect::Poll { worker, lease_until_ms, forget_up_to, wait_ms, extra, .. } => {
                self.look(&worker, lease_until_ms, forget_up_to, wait_ms, extra);
            }
            Effect::Start { worker, task, run, lease_until_ms, checkpoint, .. } => {
                let result = self.start(&worker, task, run, lease_until_ms, &checkpoint);
                let event = Event::Started { worker, task, run, result };
                self.plan(self.now_ms + HOP_MS, Action::Tell(event));
            }
            Effect::Stop { worker, task, run, .. } => {
                self.stop(&worker, task, run);
                let event = Event::Stopped { worker, task, run, result: Ok(()) };
                self.plan(self.now_ms + HOP_MS, Action::Tell(event));
            }
            Effect::Deposed => log::error!("the only leader is deposed"),
        }
    }

    fn caller_hears(&mut self, request_id: RequestId, answer: &Response) {
        let job = request_id.0 as usize;
        if let Some(again_ms) = self.callers[job].answered(answer, self.now_ms) {
            self.plan(again_ms, Action::Submit(job));
        }
    }

    fn append(&mut self, records: &[Record]) {
        let play_ms = self.play_ms();
        let Some(takes_ms) = services::append_ms(self.scenario, play_ms) else {
            return self.plan(self.now_ms + REFUSED_MS, Action::Tell(Event::NotAppended));
        };
        self.store_free_ms = self.store_free_ms.max(self.now_ms) + takes_ms;
        let stored_ms = self.store_free_ms;
        for record in records {
            self.note_outcome(record, stored_ms);
        }
        self.plan(stored_ms, Action::Tell(Event::Appended));
    }

    /// A job is completed for its caller once that is stored.
    fn note_outcome(&mut self, record: &Record, stored_ms: u64) {
        let Some(record::Key::State(key)) = record::parse_key(&record.key) else { return };
        let Some(&job) = self.by_key.get(&key) else { return };
        let Ok(state) = v1::StateRecord::decode(record.value.as_slice()) else { return };
        let at_ms = stored_ms.saturating_sub(START_MS);
        let standing = match state.outcome {
            1 => Standing::Completed { at_ms },
            2 => Standing::Failed,
            _ => return,
        };
        let is_open = matches!(self.callers[job].standing, Standing::Open | Standing::Accepted);
        if is_open {
            self.callers[job].standing = standing;
        }
    }

    fn advise(&mut self, lane: Lane, step: StepName, workers: Vec<WorkerName>) {
        let play_ms = self.play_ms();
        let (takes_ms, advice) = services::advise(self.scenario, step, &workers, play_ms);
        let free_ms = self.lanes_free_ms.get(&lane).copied().unwrap_or(0).max(self.now_ms);
        let answered_ms = free_ms + takes_ms + HOP_MS;
        self.lanes_free_ms.insert(lane.clone(), answered_ms);
        let event = Event::AdviceReceived { lane, step, asked: workers, advice };
        self.plan(answered_ms, Action::Tell(event));
    }

    fn look(
        &mut self,
        name: &WorkerName,
        lease_until_ms: Option<u64>,
        forget_up_to: u64,
        wait_ms: u64,
        extra: bool,
    ) {
        let Some(&at) = self.by_name.get(name) else {
            return self.look_at_former_life(name, extra);
        };
        let now_ms = self.now_ms;
        let worker = &mut self.workers[at];
        if worker.is_away {
            return self.unanswered_look(name, now_ms, extra);
        }
        worker.look(lease_until_ms, forget_up_to);
        if wait_ms == 0 || worker.lists_ends() {
            return self.answer_look(at, now_ms, extra);
        }
        let until_ms = now_ms + wait_ms;
        worker.waiting_look = Some(WaitingLook { sent_ms: now_ms, until_ms });
        self.plan(until_ms, Action::Worker(at));
        self.plan_next(at);
    }

    fn answer_look(&mut self, at: usize, sent_ms: u64, extra: bool) {
        let worker = &self.workers[at];
        let event = Event::Polled {
            worker: worker.name().clone(),
            sent_ms,
            extra,
            result: Ok(worker.look_answer(self.now_ms)),
        };
        self.plan(self.now_ms + HOP_MS, Action::Tell(event));
    }

    fn plan_next(&mut self, at: usize) {
        if let Some(next_ms) = self.workers[at].next_ms() {
            self.plan(next_ms.max(self.now_ms), Action::Worker(at));
        }
    }

    fn worker_advances(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let ends = self.workers[at].advance(now_ms);
        for row in &ends {
            if row.end.reason == EndReason::Done {
                self.note_next_step(row.task.step);
            }
        }
        if !ends.is_empty() {
            self.plan_next(at);
        }
        let waiting = self.workers[at].waiting_look;
        if let Some(look) = waiting.filter(|look| !ends.is_empty() || look.until_ms <= now_ms) {
            self.workers[at].waiting_look = None;
            self.answer_look(at, look.sent_ms, false);
        }
    }

    /// From the last end of its tasks on, the step after it could start.
    fn note_next_step(&mut self, step: StepName) {
        let Some(&job) = self.by_key.get(&step.job) else { return };
        let tasks = self.scenario.classes[self.arrivals[job].class].tasks;
        let done = self.done.entry(step).or_default();
        *done += 1;
        if *done >= tasks {
            let next = StepName { step: step.step + 1, ..step };
            self.recorder.ready(next, self.now_ms);
        }
    }

    fn start(
        &mut self,
        name: &WorkerName,
        task: TaskName,
        run: u32,
        lease_until_ms: u64,
        checkpoint: &str,
    ) -> Result<(), CallError> {
        let Some(&at) = self.by_name.get(name) else { return Err(CallError::OtherLife) };
        let Some(&job) = self.by_key.get(&task.step.job) else { return Ok(()) };
        if self.workers[at].is_away {
            return Err(CallError::Failed(Verdict::MayHaveRun));
        }
        let running = self.begin(at, job, task, run, checkpoint);
        self.judge_room(at, &running.need);
        let result = self.workers[at].start(task, running, lease_until_ms);
        if result.is_ok() && run == 1 {
            let class = self.arrivals[job].class;
            self.recorder.started(task.step, class, self.now_ms);
        }
        if result.is_ok() {
            self.may_crash(at, job, task);
        }
        self.plan_next(at);
        result
    }

    fn begin(&self, at: usize, job: usize, task: TaskName, run: u32, checkpoint: &str) -> Running {
        let arrival = &self.arrivals[job];
        let class = &self.scenario.classes[arrival.class];
        let work_ms = arrival.work_ms[task.step.step as usize][task.index as usize];
        // Without a checkpoint there is none to read.
        let saved_ms = checkpoint.parse().unwrap_or(0).min(work_ms);
        let conditions = workers::Conditions {
            scenario: self.scenario,
            seed: self.seed,
            worker: at,
            at_ms: self.play_ms(),
        };
        let slowness = conditions.strength(FaultKind::SlowWorkers).unwrap_or(1.0);
        let fails = conditions
            .strength(FaultKind::FailingWorkers)
            .is_some_and(|part| workers::drawn(&(self.seed, task, run)) < part);
        let part = if fails { FAILS_AFTER } else { 1.0 };
        let left_ms = (work_ms - saved_ms) as f64 * slowness * part;
        Running {
            run,
            need: lilacpass_lead::place::need(&arrival.plan(class).steps[0]),
            began_ms: self.now_ms,
            ends_ms: self.now_ms + (left_ms as u64).max(1),
            how: if fails { EndReason::Failed } else { EndReason::Done },
            saved_ms,
            slowness,
            saves: class.checkpointing,
        }
    }

    fn stop(&mut self, name: &WorkerName, task: TaskName, run: u32) {
        let Some(&at) = self.by_name.get(name) else { return };
        let lost_ms = self.workers[at].stop(task, run, self.now_ms);
        if let Some(&job) = self.by_key.get(&task.step.job) {
            let cpu_milli = self.scenario.classes[self.arrivals[job].class].cpu_milli;
            self.recorder.thrown_away_milli_ms += lost_ms * u64::from(cpu_milli);
        }
        self.plan_next(at);
    }
}
