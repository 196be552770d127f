//! A simulation of a cell around the real leader, with simulated time.
//!
//! The model includes workers with capacity, leases, ends and checkpoints; one append at a time; calls of the advice
//! service; callers that retry; bursts; slow, failing, crashing and shrinking workers; a slow or unavailable store; and
//! an unresponsive advice service. It leaves out other instances and take-overs, lost messages, cancelled jobs and tasks
//! that are slow across racks. A scheduling round takes no simulated time unless the scenario has a model of the
//! leader's processor; its real duration is measured separately.

use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

use lilacpass_core::{Resources, Verdict, event_queue::EventQueue};
use lilacpass_jobs::{EndReason, JobKey, StepName, TaskName, WorkerName, record};
use lilacpass_lead::{
    Effect, Event, Leader, Now, Options,
    event::{CallError, Lane, Record, Request, RequestId, Response},
    requests::retry_after_ms,
};
use lilacpass_schema::v1;
use prost::Message;

use crate::{
    arrivals::{self, Arrival, START_UNIX_MS},
    callers::{Caller, JobStatus},
    model_worker::{ModelRun, ModelWorker, WaitingPoll},
    outcome::{Outcome, Recorder},
    policy::Policy,
    processor::EventLoop,
    scenario::{FaultKind, Scenario},
    services, workers,
};

/// Time between ticks of the leader.
const TICK_INTERVAL_MS: u64 = 50;
/// Time between confirmations of the leadership.
const RENEWAL_INTERVAL_MS: u64 = 200;
/// Time between two reads of the registrations.
const REGISTRATIONS_INTERVAL_MS: u64 = 500;
/// Simulated time at which the scenario starts. Before that, the leader polls its workers for the first time.
const FIRST_JOB_MS: u64 = 1_000;
/// Time that a message takes between the leader and a worker, one way.
pub(crate) const ONE_WAY_DELAY_MS: u64 = 1;
/// Time after which the store refuses an append.
const REFUSAL_DELAY_MS: u64 = 2;
/// Time between two samples of the processor use and the waiting steps.
const SAMPLE_INTERVAL_MS: u64 = 1_000;
/// Fraction of its work after which a failing task ends.
const FAILURE_POINT: f64 = 0.5;

/// A scheduled action of the simulation.
#[derive(Debug)]
pub(crate) enum Action {
    /// Delivers an event to the leader.
    Deliver(Event),
    /// Carries out an effect of the leader.
    CarryOut(Effect),
    /// Ends the runs and the poll that are due on the worker with this index.
    AdvanceWorker(usize),
    /// Submits the job with this index.
    Submit(usize),
    /// Sends a tick to the leader.
    Tick,
    /// Confirms the leadership, unless the store is unavailable.
    Renew,
    /// Reports the registrations of the workers to the leader.
    ReadRegistrations,
    /// Records the processor use and the number of waiting steps.
    Sample,
    /// Runs the next round of a leader whose processor is limited.
    RunRound,
    /// Crashes the worker with this index, if `worker` is still its current incarnation.
    Crash { index: usize, worker: WorkerName },
    /// Restarts the crashed worker with this index.
    Restart(usize),
}

/// The state of a simulation of one policy.
pub(crate) struct Simulation<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) arrivals: &'a [Arrival],
    /// Indices into `arrivals` by the names of the jobs.
    job_indices: HashMap<JobKey, usize>,
    pub(crate) seed: u64,
    pub(crate) leader: Leader,
    pub(crate) now_ms: u64,
    pub(crate) workers: Vec<ModelWorker>,
    /// Indices into `workers` by id.
    worker_indices: BTreeMap<String, usize>,
    /// Number of starts of each task that crashes its workers.
    pub(crate) crashing_task_starts: BTreeMap<TaskName, u32>,
    callers: Vec<Caller>,
    pub(crate) recorder: Recorder,
    /// Number of tasks that are done, by step.
    done_tasks: HashMap<StepName, u32>,
    actions: EventQueue<Action>,
    event_loop: EventLoop,
    /// Time at which the current append is done; the next one waits for it.
    store_free_ms: u64,
    /// Time until which each lane is busy with a call.
    lanes_free_ms: HashMap<Lane, u64>,
}

/// Simulates a scenario with the real leader, configured by `options`.
pub fn simulate(
    scenario: &Scenario,
    arrivals: &[Arrival],
    policy: Policy,
    options: Options,
    seed: u64,
) -> Outcome {
    let mut simulation = Simulation::new(scenario, arrivals, options, seed);
    let end_ms = FIRST_JOB_MS + ((scenario.length_s + scenario.rest_s) * 1_000.0) as u64;
    simulation.run(end_ms);
    simulation.recorder.most_crashing_starts =
        simulation.crashing_task_starts.values().copied().max().unwrap_or(0);
    let Simulation { recorder, callers, .. } = simulation;
    recorder.finish(policy.to_string(), seed, scenario, arrivals, &callers)
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, arrivals: &'a [Arrival], options: Options, seed: u64) -> Self {
        let workers: Vec<ModelWorker> =
            scenario.pools.iter().flat_map(workers::registrations).map(ModelWorker::new).collect();
        let names = workers
            .iter()
            .enumerate()
            .map(|(index, worker)| (worker.name().id().to_owned(), index));
        let start = Now { steady_ms: 0, unix_ms: START_UNIX_MS };
        let mut simulation = Self {
            worker_indices: names.collect(),
            job_indices: arrivals
                .iter()
                .enumerate()
                .map(|(job, arrival)| (arrival.key, job))
                .collect(),
            leader: Leader::new(options, Vec::new(), start),
            now_ms: 0,
            crashing_task_starts: BTreeMap::new(),
            workers,
            callers: vec![Caller::default(); arrivals.len()],
            recorder: Recorder::new(scenario.classes.len()),
            done_tasks: HashMap::new(),
            actions: EventQueue::default(),
            event_loop: EventLoop::default(),
            store_free_ms: 0,
            lanes_free_ms: HashMap::new(),
            scenario,
            arrivals,
            seed,
        };
        for action in [Action::ReadRegistrations, Action::Tick, Action::Renew] {
            simulation.schedule(0, action);
        }
        simulation.schedule(FIRST_JOB_MS, Action::Sample);
        for (job, arrival) in arrivals.iter().enumerate() {
            simulation.schedule(FIRST_JOB_MS + arrival.at_ms, Action::Submit(job));
        }
        simulation
    }

    /// Returns the time since the start of the scenario, in milliseconds.
    pub(crate) fn scenario_ms(&self) -> u64 {
        self.now_ms.saturating_sub(FIRST_JOB_MS)
    }

    pub(crate) fn now(&self) -> Now {
        Now { steady_ms: self.now_ms, unix_ms: START_UNIX_MS + self.now_ms }
    }

    pub(crate) fn schedule(&mut self, at_ms: u64, action: Action) {
        self.actions.schedule(at_ms, action);
    }

    fn run(&mut self, end_ms: u64) {
        while let Some((at_ms, action)) = self.actions.pop_until(end_ms) {
            self.now_ms = at_ms;
            self.handle_action(action);
            if self.scenario.processor.is_none() && self.actions.next_ms() != Some(self.now_ms) {
                self.decide();
            }
        }
    }

    /// Passes an event to the leader, at once unless its processor is limited.
    fn send_to_leader(&mut self, event: Event) {
        if self.scenario.processor.is_none() {
            return self.leader.handle(event, self.now());
        }
        self.event_loop.push(event, self.io_turns());
        self.schedule_round();
    }

    /// Returns the number of turns of the event loop that a message takes between the leader and the network.
    fn io_turns(&self) -> usize {
        self.scenario.processor.as_ref().map_or(0, |processor| processor.io_turns)
    }

    fn schedule_round(&mut self) {
        if let Some(at_ms) = self.event_loop.schedule_round(self.now_ms) {
            self.schedule(at_ms, Action::RunRound);
        }
    }

    /// Runs a round of a leader whose processor is limited. Its effects follow once the round is over.
    fn run_round(&mut self) {
        let Some(processor) = &self.scenario.processor else { return };
        let now = self.now();
        let before = self.leader.work();
        let turn = self.event_loop.begin_round();
        self.schedule_effects(turn.effects, self.now_ms);
        let event_count = turn.events.len();
        for event in turn.events {
            if event == Event::Tick {
                self.schedule(self.now_ms + TICK_INTERVAL_MS, Action::Tick);
            }
            self.leader.handle(event, now);
        }
        let effects = self.leader.finish(now);
        let visits = self.leader.work().since(&before).visits.total();
        let duration_us = processor.time_us(event_count, effects.len(), visits);
        let ends_ms = self.event_loop.end_round(self.now_ms, duration_us);
        match self.io_turns() {
            0 => self.schedule_effects(effects, ends_ms),
            turns => self.event_loop.push_effects(effects, turns - 1),
        }
        if self.leader.has_more() || self.event_loop.has_messages() {
            self.schedule_round();
        }
    }

    /// Runs a scheduling round of the leader after all events of the current time, and schedules its effects.
    fn decide(&mut self) {
        let now = self.now();
        let started = Instant::now();
        let effects = self.leader.finish(now);
        self.recorder.record_round(started.elapsed());
        self.schedule_effects(effects, self.now_ms);
    }

    fn schedule_effects(&mut self, effects: Vec<Effect>, at_ms: u64) {
        for effect in effects {
            let delay_ms = match &effect {
                Effect::Reply { .. } | Effect::Append(_) | Effect::RequestAdvice { .. } => 0,
                _ => ONE_WAY_DELAY_MS,
            };
            self.schedule(at_ms + delay_ms, Action::CarryOut(effect));
        }
    }

    fn handle_action(&mut self, action: Action) {
        match action {
            Action::Deliver(event) => self.send_to_leader(event),
            Action::CarryOut(effect) => self.carry_out(effect),
            Action::AdvanceWorker(index) => self.advance_worker(index),
            Action::Submit(job) => self.submit(job),
            Action::Tick => {
                // With a limited processor, the next tick follows once this one has been processed.
                if self.scenario.processor.is_none() {
                    self.schedule(self.now_ms + TICK_INTERVAL_MS, Action::Tick);
                }
                // Ticks come from the loop itself.
                match self.scenario.processor {
                    Some(_) => {
                        self.event_loop.push(Event::Tick, 0);
                        self.schedule_round();
                    }
                    None => self.send_to_leader(Event::Tick),
                }
            }
            Action::Renew => self.renew(),
            Action::ReadRegistrations => self.read_registrations(),
            Action::Sample => self.sample(),
            Action::RunRound => self.run_round(),
            Action::Crash { index, worker } => self.crash(index, &worker),
            Action::Restart(index) => self.restart(index),
        }
    }

    fn renew(&mut self) {
        self.schedule(self.now_ms + RENEWAL_INTERVAL_MS, Action::Renew);
        let scenario_ms = self.scenario_ms();
        if services::append_ms(self.scenario, scenario_ms).is_some() {
            let sent_ms = self.now_ms;
            self.send_to_leader(Event::LeadershipConfirmed { sent_ms });
        }
    }

    fn read_registrations(&mut self) {
        if self.now_ms == 0 {
            let registrations: Vec<_> =
                self.workers.iter().map(|worker| worker.registration.clone()).collect();
            for registration in registrations {
                self.send_to_leader(Event::WorkerRegistered(registration));
            }
            let lanes = (0..self.scenario.advice.lanes).map(|n| Lane(format!("lane-{n:03}")));
            self.send_to_leader(Event::Lanes(lanes.collect()));
        }
        self.set_capacities();
        self.send_to_leader(Event::RegistrationsRead { sent_ms: self.now_ms });
        self.schedule(self.now_ms + REGISTRATIONS_INTERVAL_MS, Action::ReadRegistrations);
    }

    fn sample(&mut self) {
        self.schedule(self.now_ms + SAMPLE_INTERVAL_MS, Action::Sample);
        let cpu = |resources: Resources| resources.cpu.0 as f64;
        let used: f64 = self.workers.iter().map(|worker| cpu(worker.used())).sum();
        let total: f64 = self.workers.iter().map(|worker| cpu(worker.registration.capacity)).sum();
        self.recorder.use_by_s.push(used / total.max(1.0));
        self.recorder.waiting_by_s.push(self.leader.status(self.now()).waiting_steps);
        self.recorder.record_work(self.leader.work(), self.event_loop.busy_us);
    }

    fn submit(&mut self, job: usize) {
        let arrival = &self.arrivals[job];
        let class = &self.scenario.classes[arrival.class];
        let step = StepName { job: arrival.key, occurrence: 0, step: 0 };
        self.recorder.record_ready(step, self.now_ms);
        // Other instances refuse jobs that the leader has not accepted lately, without asking it.
        let plan = arrival.work_plan(class);
        let admission = self.leader.admission();
        if admission.recent_share().refuses(arrival.key, &plan) {
            let retry_after_ms = retry_after_ms(admission.limited_ms(self.now()));
            let reason = "the leader is behind";
            let refused = Response::Refused { reason, retry_after_ms };
            return self.deliver_response(RequestId(job as u64), &refused);
        }
        let request = Request::Submit {
            job: arrival.key,
            plan,
            queue: arrivals::queue_policy(class, self.scenario),
            account: None,
        };
        self.send_to_leader(Event::Request { request_id: RequestId(job as u64), request });
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { request_id, response } => self.deliver_response(request_id, &response),
            Effect::Append(records) => self.append(&records),
            Effect::RequestAdvice { lane, step, workers, .. } => self.advise(lane, step, workers),
            Effect::Poll { worker, lease_until_ms, forget_up_to, wait_ms, extra, .. } => {
                self.poll(&worker, lease_until_ms, forget_up_to, wait_ms, extra);
            }
            Effect::Start { worker, task, run, lease_until_ms, checkpoint, .. } => {
                let result = self.start(&worker, task, run, lease_until_ms, &checkpoint);
                let event = Event::Started { worker, task, run, result };
                self.schedule(self.now_ms + ONE_WAY_DELAY_MS, Action::Deliver(event));
            }
            Effect::Stop { worker, task, run, .. } => {
                self.stop(&worker, task, run);
                let event = Event::Stopped { worker, task, run, result: Ok(()) };
                self.schedule(self.now_ms + ONE_WAY_DELAY_MS, Action::Deliver(event));
            }
            Effect::Deposed => log::error!("the only leader is deposed"),
        }
    }

    fn deliver_response(&mut self, request_id: RequestId, response: &Response) {
        let job = request_id.0 as usize;
        if let Some(retry_ms) = self.callers[job].handle_response(response, self.now_ms) {
            self.schedule(retry_ms, Action::Submit(job));
        }
    }

    fn append(&mut self, records: &[Record]) {
        let scenario_ms = self.scenario_ms();
        let Some(duration_ms) = services::append_ms(self.scenario, scenario_ms) else {
            return self
                .schedule(self.now_ms + REFUSAL_DELAY_MS, Action::Deliver(Event::NotAppended));
        };
        self.store_free_ms = self.store_free_ms.max(self.now_ms) + duration_ms;
        let stored_ms = self.store_free_ms;
        for record in records {
            self.record_outcome(record, stored_ms);
        }
        self.schedule(stored_ms, Action::Deliver(Event::Appended));
    }

    /// Records the outcome of a job. Its caller sees the outcome once it is stored.
    fn record_outcome(&mut self, record: &Record, stored_ms: u64) {
        let Some(record::Key::State(key)) = record::parse_key(&record.key) else { return };
        let Some(&job) = self.job_indices.get(&key) else { return };
        let Ok(state) = v1::StateRecord::decode(record.value.as_slice()) else { return };
        let at_ms = stored_ms.saturating_sub(FIRST_JOB_MS);
        let status = match state.outcome {
            1 => JobStatus::Completed { at_ms },
            2 => JobStatus::Failed,
            _ => return,
        };
        let is_open = matches!(self.callers[job].status, JobStatus::Open | JobStatus::Accepted);
        if is_open {
            self.callers[job].status = status;
        }
    }

    fn advise(&mut self, lane: Lane, step: StepName, workers: Vec<WorkerName>) {
        let scenario_ms = self.scenario_ms();
        let Some(&job) = self.job_indices.get(&step.job) else { return };
        let class = &self.scenario.classes[self.arrivals[job].class];
        let (duration_ms, advice) =
            services::advise(self.scenario, class, step, &workers, scenario_ms);
        let free_ms = self.lanes_free_ms.get(&lane).copied().unwrap_or(0).max(self.now_ms);
        let response_ms = free_ms + duration_ms + ONE_WAY_DELAY_MS;
        self.lanes_free_ms.insert(lane.clone(), response_ms);
        let event = Event::AdviceReceived { lane, step, queried: workers, advice };
        self.schedule(response_ms, Action::Deliver(event));
    }

    fn poll(
        &mut self,
        name: &WorkerName,
        lease_until_ms: Option<u64>,
        forget_up_to: u64,
        wait_ms: u64,
        extra: bool,
    ) {
        let Some(&index) = self.worker_indices.get(name.id()) else { return };
        let now_ms = self.now_ms;
        let worker = &mut self.workers[index];
        if worker.is_down {
            return self.fail_poll(name, now_ms, extra);
        }
        worker.poll(lease_until_ms, forget_up_to);
        if wait_ms == 0 || worker.has_ends() {
            return self.answer_poll(name.clone(), index, now_ms, extra);
        }
        let until_ms = now_ms + wait_ms;
        let polled = name.clone();
        worker.waiting_poll = Some(WaitingPoll { polled, sent_ms: now_ms, until_ms });
        self.schedule(until_ms, Action::AdvanceWorker(index));
        self.schedule_next(index);
    }

    fn answer_poll(&mut self, polled: WorkerName, index: usize, sent_ms: u64, extra: bool) {
        let result = Ok(self.workers[index].poll_response(self.now_ms));
        let event = Event::Polled { worker: polled, sent_ms, extra, result };
        self.schedule(self.now_ms + ONE_WAY_DELAY_MS, Action::Deliver(event));
    }

    fn schedule_next(&mut self, index: usize) {
        if let Some(next_ms) = self.workers[index].next_ms() {
            self.schedule(next_ms.max(self.now_ms), Action::AdvanceWorker(index));
        }
    }

    fn advance_worker(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let ends = self.workers[index].advance(now_ms);
        for ended in &ends {
            if ended.end.reason == EndReason::Done {
                self.record_ready_step(ended.task.step);
            }
        }
        if !ends.is_empty() {
            self.schedule_next(index);
        }
        let waiting = &mut self.workers[index].waiting_poll;
        let is_over = |poll: &mut WaitingPoll| !ends.is_empty() || poll.until_ms <= now_ms;
        if let Some(poll) = waiting.take_if(is_over) {
            self.answer_poll(poll.polled, index, poll.sent_ms, false);
        }
    }

    /// Counts a finished task of a step. The next step is ready once all tasks of this one are done.
    fn record_ready_step(&mut self, step: StepName) {
        let Some(&job) = self.job_indices.get(&step.job) else { return };
        let tasks = self.scenario.classes[self.arrivals[job].class].tasks;
        let done = self.done_tasks.entry(step).or_default();
        *done += 1;
        if *done >= tasks {
            let next = StepName { step: step.step + 1, ..step };
            self.recorder.record_ready(next, self.now_ms);
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
        let Some(&index) = self.worker_indices.get(name.id()) else {
            return Err(CallError::OtherWorker);
        };
        let Some(&job) = self.job_indices.get(&task.step.job) else { return Ok(()) };
        if self.workers[index].is_down {
            return Err(CallError::Failed(Verdict::MayHaveRun));
        }
        let model_run = self.new_run(index, job, task, run, checkpoint);
        self.check_capacity(index, &model_run.need);
        let result = self.workers[index].start(task, model_run, lease_until_ms);
        if result.is_ok() && run == 1 {
            let class = self.arrivals[job].class;
            self.recorder.record_start(task.step, class, self.now_ms);
        }
        if result.is_ok() {
            self.schedule_crash(index, job, task);
        }
        self.schedule_next(index);
        result
    }

    fn new_run(
        &self,
        index: usize,
        job: usize,
        task: TaskName,
        run: u32,
        checkpoint: &str,
    ) -> ModelRun {
        let arrival = &self.arrivals[job];
        let class = &self.scenario.classes[arrival.class];
        let work_ms = arrival.work_ms[task.step.step as usize][task.index as usize];
        // The checkpoint is the work done in milliseconds; an empty one means that no work is done.
        let saved_ms = checkpoint.parse().unwrap_or(0).min(work_ms);
        let conditions = workers::WorkerConditions {
            scenario: self.scenario,
            seed: self.seed,
            worker: index,
            at_ms: self.scenario_ms(),
        };
        let slowness = conditions.strength(FaultKind::SlowWorkers).unwrap_or(1.0);
        let fails = conditions
            .strength(FaultKind::FailingWorkers)
            .is_some_and(|share| workers::pseudo_random(&(self.seed, task, run)) < share);
        let work_share = if fails { FAILURE_POINT } else { 1.0 };
        let remaining_ms = (work_ms - saved_ms) as f64 * slowness * work_share;
        ModelRun {
            run,
            need: lilacpass_lead::place::need(&arrival.work_plan(class).steps[0]),
            started_ms: self.now_ms,
            ends_ms: self.now_ms + (remaining_ms as u64).max(1),
            reason: if fails { EndReason::Failed } else { EndReason::Done },
            saved_ms,
            slowness,
            saves_progress: class.checkpointing,
        }
    }

    fn stop(&mut self, name: &WorkerName, task: TaskName, run: u32) {
        let Some(&index) = self.worker_indices.get(name.id()) else { return };
        let lost_ms = self.workers[index].stop(task, run, self.now_ms);
        if let Some(&job) = self.job_indices.get(&task.step.job) {
            let cpu_milli = self.scenario.classes[self.arrivals[job].class].cpu_milli;
            self.recorder.wasted_milli_core_ms += lost_ms * u64::from(cpu_milli);
        }
        self.schedule_next(index);
    }
}
