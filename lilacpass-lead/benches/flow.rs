//! The time that the leader takes for a second of made-up time in a busy cell with some room: jobs come in, their
//! steps ask for advice, tasks start and end, and all workers are looked at.
//!
//! The load of a worker is that of a deployment with 1,100 of them: each second, 75 wide jobs, of which a third
//! are long ones of little urgency.

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

/// Sizes of cells, in workers.
const WORKERS: [usize; 4] = [48, 350, 1_100, 2_300];
/// Jobs that come in each second, for each thousand workers.
const JOBS_A_SECOND: u64 = 68;
/// One job in so many is long.
const LONG_IN: u64 = 3;
/// Workers for each instance that calls for advice.
const WORKERS_A_LANE: usize = 8;
/// Made-up time in ms until an append is stored, a worker has answered, and between ticks.
const APPEND_MS: u64 = 8;
const ANSWER_MS: u64 = 2;
const TICK_MS: u64 = 50;
/// Made-up time between updates of the lanes, in ms.
const LANES_MS: u64 = 200;
/// How long a ticket is valid, in ms.
const TICKET_MS: u64 = 2_500;
/// Made-up time in ms until a cell is busy.
const WARM_UP_MS: u64 = 8_000;

enum Todo {
    Tell(Event),
    End {
        host: usize,
        task: TaskName,
        run: u32,
    },
    /// The wait of a look is over.
    Waited {
        host: usize,
        look: u64,
    },
    Submit,
    Tick,
    SetLanes,
}

struct Host {
    name: WorkerName,
    running: BTreeMap<TaskName, u32>,
    ends: Vec<ReportedEnd>,
    last_end: u64,
    /// The look that waits, and when it was sent.
    look: Option<(u64, u64)>,
}

struct Flow {
    leader: Leader,
    hosts: Vec<Host>,
    now_ms: u64,
    todo: EventQueue<Todo>,
    looks: u64,
    jobs: u64,
    plans: BTreeMap<JobKey, u32>,
    took: Duration,
    rounds: Vec<Duration>,
}

impl Flow {
    fn new(workers: usize) -> Self {
        let now_ms = 1_000;
        let now = Now { steady_ms: now_ms, unix_ms: now_ms };
        let mut flow = Self {
            leader: Leader::new(Options::default(), Vec::new(), now),
            hosts: Vec::new(),
            now_ms,
            todo: EventQueue::default(),
            looks: 0,
            jobs: 0,
            plans: BTreeMap::new(),
            took: Duration::ZERO,
            rounds: Vec::new(),
        };
        for number in 0..workers {
            flow.add_worker(number);
        }
        flow.plan(0, Todo::SetLanes);
        flow.plan(0, Todo::Tick);
        flow.plan(100, Todo::Submit);
        flow.run(WARM_UP_MS);
        flow
    }

    fn add_worker(&mut self, number: usize) {
        let name = WorkerName::from(format!("worker-{number:05}").as_str());
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
        self.plan(0, Todo::Tell(Event::WorkerRegistered(entry)));
        let (running, ends) = (BTreeMap::new(), Vec::new());
        self.hosts.push(Host { name, running, ends, last_end: 0, look: None });
    }

    fn plan(&mut self, after_ms: u64, todo: Todo) {
        self.todo.schedule(self.now_ms + after_ms, todo);
    }

    /// Lets time pass. Returns the time that the leader took.
    fn run(&mut self, for_ms: u64) -> Duration {
        let end_ms = self.now_ms + for_ms;
        self.took = Duration::ZERO;
        while let Some((at_ms, todo)) = self.todo.pop_until(end_ms) {
            self.now_ms = at_ms;
            self.act(todo);
        }
        self.now_ms = end_ms;
        self.took
    }

    fn act(&mut self, todo: Todo) {
        match todo {
            Todo::Tell(event) => self.tell(event),
            Todo::End { host, task, run } => self.end(host, task, run),
            Todo::Waited { host, look } => {
                if self.hosts[host].look.is_some_and(|(waiting, _)| waiting == look) {
                    self.answer_look(host);
                }
            }
            Todo::Submit => self.submit(),
            Todo::Tick => {
                self.plan(TICK_MS, Todo::Tick);
                self.tell(Event::LeadershipConfirmed { sent_ms: self.now_ms });
                self.tell(Event::Tick);
            }
            Todo::SetLanes => {
                self.plan(LANES_MS, Todo::SetLanes);
                let count = (self.hosts.len() / WORKERS_A_LANE).max(3);
                let lanes = (0..count).map(|lane| Lane(format!("lane-{lane:03}"))).collect();
                self.tell(Event::Lanes(lanes));
            }
        }
    }

    fn tell(&mut self, event: Event) {
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
            Effect::Append(_) => self.plan(APPEND_MS, Todo::Tell(Event::Appended)),
            Effect::Poll { worker, forget_up_to, wait_ms, .. } => {
                let at = self.host(&worker);
                self.looks += 1;
                let look = self.looks;
                let host = &mut self.hosts[at];
                host.look = Some((look, self.now_ms));
                host.ends.retain(|row| row.number > forget_up_to);
                let wait_ms = if host.ends.is_empty() { wait_ms } else { 0 };
                self.plan(wait_ms, Todo::Waited { host: at, look });
            }
            Effect::Start { worker, task, run, .. } => {
                let host = self.host(&worker);
                self.hosts[host].running.insert(task, run);
                let ms = u64::from(self.plans[&task.step.job]);
                // Tasks of a step are alike but not the same.
                let ms = ms * (85 + u64::from(task.index) * 7 % 30) / 100;
                self.plan(ANSWER_MS + ms, Todo::End { host, task, run });
                let event = Event::Started { worker, task, run, result: Ok(()) };
                self.plan(ANSWER_MS, Todo::Tell(event));
            }
            Effect::RequestAdvice { lane, step, workers, expected_ms } => {
                self.plan(expected_ms, Todo::Tell(advised(lane, step, workers)));
            }
            Effect::Stop { worker, task, run, .. } => {
                let event = Event::Stopped { worker, task, run, result: Ok(()) };
                self.plan(ANSWER_MS, Todo::Tell(event));
            }
            Effect::Reply { .. } | Effect::Deposed => {}
        }
    }

    fn host(&self, worker: &WorkerName) -> usize {
        self.hosts.partition_point(|host| host.name < *worker)
    }

    fn end(&mut self, at: usize, task: TaskName, run: u32) {
        let host = &mut self.hosts[at];
        host.running.remove(&task);
        host.last_end += 1;
        let end = RunEnd { run, reason: EndReason::Done, checkpoint: String::new() };
        host.ends.push(ReportedEnd { number: host.last_end, task, end });
        if host.look.is_some() {
            self.answer_look(at);
        }
    }

    fn answer_look(&mut self, at: usize) {
        let clock_ms = self.now_ms;
        let host = &mut self.hosts[at];
        let Some((_, sent_ms)) = host.look.take() else { return };
        let row = |(&task, &run): (&TaskName, &u32)| ReportedRun {
            task,
            run,
            checkpoint: String::new(),
            percent: (clock_ms / 40 % 70) as u32,
            gauge: 0,
        };
        let running = host.running.iter().map(row).collect();
        let answer =
            PollResponse { clock_ms, running, ends: host.ends.clone(), remaining_ms: None };
        let worker = host.name.clone();
        let event = Event::Polled { worker, sent_ms, extra: false, result: Ok(answer) };
        self.plan(ANSWER_MS, Todo::Tell(event));
    }

    fn submit(&mut self) {
        let a_second = (self.hosts.len() as u64 * JOBS_A_SECOND / 1_000).max(1);
        self.plan(1_000 / a_second.min(1_000), Todo::Submit);
        self.jobs += 1;
        let number = self.jobs;
        let is_long = number.is_multiple_of(LONG_IN);
        let job = JobKey(number);
        let estimate_ms = if is_long { 4_800 } else { 640 };
        self.plans.insert(job, estimate_ms);
        let queue =
            if is_long { queue("long", 2, (546.0, 7.8)) } else { queue("short", 0, (27.3, 0.39)) };
        let width = (if is_long { 16 } else { 5 }) + (number * 7 % 17) as u32;
        let steps = 1 + number as usize % 2;
        let plan = plan(steps, width, 9_000 + (number * 37 % 11) as u32 * 1_000, estimate_ms);
        let request = Request::Submit { job, plan, queue };
        self.tell(Event::Request { request_id: RequestId(number), request });
    }
}

/// Two in three workers are allowed, for each step others.
fn advised(lane: Lane, step: StepName, asked: Vec<WorkerName>) -> Event {
    let is_good = |worker: &&WorkerName| {
        let last = worker.as_str().bytes().last().map_or(0, u64::from);
        !(last + step.job.0).is_multiple_of(3)
    };
    let ticket =
        |worker: &WorkerName| WorkerTicket { worker: worker.clone(), ticket: "t".to_owned() };
    let good = asked.iter().filter(is_good).map(ticket).collect();
    Event::AdviceReceived { lane, step, asked, advice: Some(Advice { good, valid_ms: TICKET_MS }) }
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

/// Steps of `width` tasks, each after the one before.
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

fn seconds(c: &mut Criterion) {
    for workers in WORKERS {
        let mut flow = None;
        c.bench_function(&format!("second/{workers}"), |b| {
            let flow = flow.get_or_insert_with(|| Flow::new(workers));
            b.iter_custom(|count| (0..count).map(|_| flow.run(1_000)).sum());
        });
        let Some(flow) = &mut flow else { continue };
        let rounds = &mut flow.rounds;
        rounds.sort_unstable();
        let (median, p99) = (rounds[rounds.len() / 2], rounds[rounds.len() * 99 / 100]);
        let waiting = flow.leader.status(Now::default()).waiting_steps;
        println!(
            "single/{workers}: median {median:?}, p99 {p99:?} of {}, {waiting} steps wait",
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
