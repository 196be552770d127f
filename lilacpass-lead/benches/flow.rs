//! Measures the time that the leader takes for a second of simulated time in a cell with some free capacity, and in a
//! full one in which steps wait: jobs are submitted, their steps request advice, tasks start and end, and all workers
//! are polled.
//!
//! The load per worker is that of a deployment with 1,100 workers, which gets 75 wide jobs per second. A third of them
//! are long and not urgent.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use criterion::{Criterion, criterion_group, criterion_main};
use lilacpass_core::{Resources, event_queue::EventQueue};
use lilacpass_jobs::{EndReason, JobKey, RunEnd, StepName, TaskName, WorkerName};
use lilacpass_lead::{
    Effect, Event, Leader, Now, Options,
    event::{
        Advice, Lane, PollResponse, Registration, ReportedEnd, ReportedRun, Request, RequestId,
        WorkerTicket,
    },
};
use lilacpass_schema::v1;

/// Numbers of workers of the measured cells.
const WORKERS: [usize; 4] = [48, 350, 1_100, 2_300];
/// Name of each load, and its number of jobs submitted per second for each thousand workers.
const LOADS: [(&str, u64); 2] = [("second", 68), ("full-second", 90)];
/// One job in this many is long.
const JOBS_PER_LONG_JOB: u64 = 3;
/// Number of workers for each instance that calls the advice service.
const WORKERS_PER_LANE: usize = 8;
/// Simulated time in ms until an append is stored, until a worker has responded, and between ticks.
const APPEND_MS: u64 = 8;
const RESPONSE_MS: u64 = 2;
const TICK_MS: u64 = 50;
/// Simulated time between updates of the lanes in ms.
const LANES_INTERVAL_MS: u64 = 200;
/// Validity of a ticket in ms.
const TICKET_MS: u64 = 2_500;
/// Simulated time in ms until a cell is busy.
const WARM_UP_MS: u64 = 8_000;

/// A scheduled action of the simulation.
enum Action {
    /// Deliver an event to the leader.
    Deliver(Event),
    /// End a run.
    EndRun { host: usize, task: TaskName, run: u32 },
    /// End the wait of a poll.
    EndPollWait { host: usize, poll: u64 },
    /// Submit a job.
    Submit,
    /// Deliver a tick.
    Tick,
    /// Update the lanes.
    SetLanes,
}

/// A worker of the cell.
struct Host {
    name: WorkerName,
    /// Running tasks, each with the number of its run.
    running: BTreeMap<TaskName, u32>,
    /// Ends that the leader has not let the worker forget.
    ends: Vec<ReportedEnd>,
    /// Number of the last run end on the worker.
    last_end: u64,
    /// Number of the pending poll, and when it was sent in ms.
    poll: Option<(u64, u64)>,
}

/// A leader with a simulated cell.
struct Flow {
    leader: Leader,
    hosts: Vec<Host>,
    now_ms: u64,
    actions: EventQueue<Action>,
    poll_count: u64,
    jobs: u64,
    /// Number of jobs submitted per second.
    jobs_per_second: u64,
    /// Run time of the tasks of each job in ms.
    run_times_ms: BTreeMap<JobKey, u32>,
    /// Time that the leader took since [`Flow::run`] was called.
    took: Duration,
    /// Time that the leader took for each event.
    rounds: Vec<Duration>,
}

impl Flow {
    fn new(workers: usize, jobs_per_second_per_thousand: u64) -> Self {
        let now_ms = 1_000;
        let now = Now { steady_ms: now_ms, unix_ms: now_ms };
        let mut flow = Self {
            leader: Leader::new(Options::default(), Vec::new(), now),
            hosts: Vec::new(),
            now_ms,
            actions: EventQueue::default(),
            poll_count: 0,
            jobs: 0,
            jobs_per_second: (workers as u64 * jobs_per_second_per_thousand / 1_000).max(1),
            run_times_ms: BTreeMap::new(),
            took: Duration::ZERO,
            rounds: Vec::new(),
        };
        for number in 0..workers {
            flow.add_worker(number);
        }
        flow.schedule(0, Action::SetLanes);
        flow.schedule(0, Action::Tick);
        flow.schedule(100, Action::Submit);
        flow.run(WARM_UP_MS);
        flow
    }

    fn add_worker(&mut self, number: usize) {
        let name = WorkerName::from(format!("{number:05}-worker").as_str());
        let size = [2, 2, 1, 4][number % 4];
        let entry = Registration {
            name: name.clone(),
            address: format!("10.0.{}.{}:80", number / 256, number % 256),
            data_centre: format!("centre-{}", number % 5),
            service: "audit".to_owned(),
            capacity: Resources::new(32_000 * size, 131_072 * size, 0, 0),
            labels: vec!["a".to_owned(), format!("rack-{}", number / 8)],
            draining: false,
        };
        self.schedule(0, Action::Deliver(Event::WorkerRegistered(entry)));
        let (running, ends) = (BTreeMap::new(), Vec::new());
        self.hosts.push(Host { name, running, ends, last_end: 0, poll: None });
    }

    fn schedule(&mut self, after_ms: u64, action: Action) {
        self.actions.schedule(self.now_ms + after_ms, action);
    }

    /// Advances the simulated time and returns the time that the leader took.
    fn run(&mut self, for_ms: u64) -> Duration {
        let end_ms = self.now_ms + for_ms;
        self.took = Duration::ZERO;
        while let Some((at_ms, action)) = self.actions.pop_until(end_ms) {
            self.now_ms = at_ms;
            self.perform(action);
        }
        self.now_ms = end_ms;
        self.took
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Deliver(event) => self.deliver(event),
            Action::EndRun { host, task, run } => self.end_run(host, task, run),
            Action::EndPollWait { host, poll } => {
                if self.hosts[host].poll.is_some_and(|(pending, _)| pending == poll) {
                    self.answer_poll(host);
                }
            }
            Action::Submit => self.submit(),
            Action::Tick => {
                self.schedule(TICK_MS, Action::Tick);
                self.deliver(Event::LeadershipConfirmed { sent_ms: self.now_ms });
                self.deliver(Event::Tick);
            }
            Action::SetLanes => {
                self.schedule(LANES_INTERVAL_MS, Action::SetLanes);
                let count = (self.hosts.len() / WORKERS_PER_LANE).max(3);
                let lanes = (0..count).map(|lane| Lane(format!("lane-{lane:03}"))).collect();
                self.deliver(Event::Lanes(lanes));
            }
        }
    }

    fn deliver(&mut self, event: Event) {
        let now = Now { steady_ms: self.now_ms, unix_ms: self.now_ms };
        let began = Instant::now();
        self.leader.handle(event, now);
        let effects = self.leader.finish(now);
        let took = began.elapsed();
        self.took += took;
        self.rounds.push(took);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Append(_) => self.schedule(APPEND_MS, Action::Deliver(Event::Appended)),
            Effect::Poll { worker, forget_up_to, wait_ms, .. } => {
                let host_index = self.host_index(&worker);
                self.poll_count += 1;
                let poll = self.poll_count;
                let host = &mut self.hosts[host_index];
                host.poll = Some((poll, self.now_ms));
                host.ends.retain(|reported| reported.number > forget_up_to);
                let wait_ms = if host.ends.is_empty() { wait_ms } else { 0 };
                self.schedule(wait_ms, Action::EndPollWait { host: host_index, poll });
            }
            Effect::Start { worker, task, run, .. } => {
                let host = self.host_index(&worker);
                self.hosts[host].running.insert(task, run);
                let run_ms = u64::from(self.run_times_ms[&task.step.job]);
                // Run times of the tasks of a step vary slightly.
                let run_ms = run_ms * (85 + u64::from(task.index) * 7 % 30) / 100;
                self.schedule(RESPONSE_MS + run_ms, Action::EndRun { host, task, run });
                let event = Event::Started { worker, task, run, result: Ok(()) };
                self.schedule(RESPONSE_MS, Action::Deliver(event));
            }
            Effect::RequestAdvice { lane, step, workers, expected_ms } => {
                self.schedule(expected_ms, Action::Deliver(advice_received(lane, step, workers)));
            }
            Effect::Stop { worker, task, run, .. } => {
                let event = Event::Stopped { worker, task, run, result: Ok(()) };
                self.schedule(RESPONSE_MS, Action::Deliver(event));
            }
            Effect::Reply { .. } | Effect::Deposed => {}
        }
    }

    fn host_index(&self, worker: &WorkerName) -> usize {
        self.hosts.partition_point(|host| host.name < *worker)
    }

    fn end_run(&mut self, host_index: usize, task: TaskName, run: u32) {
        let host = &mut self.hosts[host_index];
        host.running.remove(&task);
        host.last_end += 1;
        let end = RunEnd { run, reason: EndReason::Done, checkpoint: String::new() };
        host.ends.push(ReportedEnd { number: host.last_end, task, end });
        if host.poll.is_some() {
            self.answer_poll(host_index);
        }
    }

    fn answer_poll(&mut self, host_index: usize) {
        let clock_ms = self.now_ms;
        let host = &mut self.hosts[host_index];
        let Some((_, sent_ms)) = host.poll.take() else { return };
        let reported_run = |(&task, &run): (&TaskName, &u32)| ReportedRun {
            task,
            run,
            checkpoint: String::new(),
            percent: (clock_ms / 40 % 70) as u32,
            gauge: 0,
        };
        let running = host.running.iter().map(reported_run).collect();
        let ends = host.ends.clone();
        let response = PollResponse { clock_ms, running, ends, ..PollResponse::default() };
        let worker = host.name.clone();
        let event = Event::Polled { worker, sent_ms, extra: false, result: Ok(response) };
        self.schedule(RESPONSE_MS, Action::Deliver(event));
    }

    fn submit(&mut self) {
        self.schedule(1_000 / self.jobs_per_second.min(1_000), Action::Submit);
        self.jobs += 1;
        let number = self.jobs;
        let is_long = number.is_multiple_of(JOBS_PER_LONG_JOB);
        let job = JobKey(number);
        let estimate_ms = if is_long { 4_800 } else { 640 };
        self.run_times_ms.insert(job, estimate_ms);
        let queue =
            if is_long { queue("long", 2, (546.0, 7.8)) } else { queue("short", 0, (27.3, 0.39)) };
        let width = (if is_long { 16 } else { 5 }) + (number * 7 % 17) as u32;
        let steps = 1 + number as usize % 2;
        let plan = plan(steps, width, 9_000 + (number * 37 % 11) as u32 * 1_000, estimate_ms);
        let request = Request::Submit { job, plan, queue, account: None };
        self.deliver(Event::Request { request_id: RequestId(number), request });
    }
}

/// Returns a response of the advice service that allows two in three workers, which differ from job to job.
fn advice_received(lane: Lane, step: StepName, queried: Vec<WorkerName>) -> Event {
    let is_allowed = |worker: &&WorkerName| {
        let last_byte = worker.id().bytes().last().map_or(0, u64::from);
        !(last_byte + step.job.0).is_multiple_of(3)
    };
    let ticket =
        |worker: &WorkerName| WorkerTicket { worker: worker.clone(), ticket: "t".to_owned() };
    let good = queried.iter().filter(is_allowed).map(ticket).collect();
    Event::AdviceReceived {
        lane,
        step,
        queried,
        advice: Some(Advice { good, valid_ms: TICKET_MS }),
    }
}

fn queue(name: &str, priority: u32, (base_ms, per_worker_ms): (f64, f64)) -> v1::QueuePolicy {
    let advice = v1::AdvicePolicy { base_ms, per_worker_ms, valid_ms: TICKET_MS as u32 };
    v1::QueuePolicy {
        name: name.to_owned(),
        service: "audit".to_owned(),
        priority,
        attempts: 3,
        stretch: 1.5,
        objective_ms: 250,
        advice: Some(advice),
    }
}

/// Creates a plan with a chain of steps of `width` tasks each.
fn plan(steps: usize, width: u32, cpu_milli: u32, estimate_ms: u32) -> v1::WorkPlan {
    let step = |number: usize| v1::WorkStep {
        count: width,
        cpu_milli,
        memory_mb: 2 * cpu_milli,
        estimate_ms,
        checkpointing: true,
        after: number.checked_sub(1).map(|before| before as u32).into_iter().collect(),
        ..Default::default()
    };
    let steps = (0..steps).map(step).collect();
    v1::WorkPlan { payload: "do".to_owned(), steps, ..Default::default() }
}

/// Measures a second of simulated time for each load and size of cell, and prints the percentiles of single events.
fn seconds(c: &mut Criterion) {
    let cells = LOADS.into_iter().flat_map(|load| WORKERS.map(|workers| (load, workers)));
    for ((load, jobs_per_second), workers) in cells {
        let mut flow = None;
        c.bench_function(&format!("{load}/{workers}"), |b| {
            let flow = flow.get_or_insert_with(|| Flow::new(workers, jobs_per_second));
            b.iter_custom(|count| (0..count).map(|_| flow.run(1_000)).sum());
        });
        let Some(flow) = &mut flow else { continue };
        let rounds = &mut flow.rounds;
        rounds.sort_unstable();
        let (median, p99) = (rounds[rounds.len() / 2], rounds[rounds.len() * 99 / 100]);
        let waiting = flow.leader.status(Now::default()).waiting_steps;
        println!(
            "single event of {load}/{workers}: median {median:?}, p99 {p99:?} of {}, {waiting} steps wait",
            rounds.len()
        );
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(50))
        .measurement_time(Duration::from_millis(500));
    targets = seconds
}
criterion_main!(benches);
