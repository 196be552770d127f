//! A full cell for benchmarks: workers without room for the steps that wait, and the answers that its leader
//! needs to go on. All of it is brought about by public events.

use std::time::{Duration, Instant};

use lilacpass_core::Resources;
use lilacpass_jobs::{EndReason, JobKey, RunEnd, TaskName, WorkerName};
use lilacpass_lead::{
    Effect, Event, Leader, Now, Options,
    event::{
        Advice, Lane, PollResponse, Registration, ReportedEnd, ReportedRun, Request, RequestId,
        WorkerTicket,
    },
};
use lilacpass_schema::v1;

/// Pools, each with its own workers and queues.
const SERVICES: usize = 3;
/// Data centres over which the workers are spread.
const DATA_CENTRES: usize = 4;
/// Instances that call for advice.
const LANES: usize = 6;
/// Tasks that a worker holds; some room that is too small for another is left beside them.
const TASKS_A_WORKER: usize = 2;
/// Tasks of a step that waits.
const WIDTH: u32 = 13;
/// Sorts of queues: without advice, with quick advice, with slow advice.
const SORTS: usize = 3;
/// Processors of a worker and of a task, in thousandths.
const WORKER_CPU_MILLI: u64 = 10_000;
const TASK_CPU_MILLI: u32 = 4_000;
/// Estimated time of a task, in ms.
const ESTIMATE_MS: u32 = 60_000;
/// How long a ticket is valid, in ms.
const TICKET_MS: u64 = 2_500;
/// Made-up time between two measured events, in ms.
const PAUSE_MS: u64 = 5;
/// Made-up time between rounds that look at everything, in ms; as in the leader.
const FULL_ROUND_MS: u64 = 100;
/// Made-up time after which all workers have been looked at again, in ms: below the length of a lease.
const LOOKS_MS: u64 = 2_000;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Case {
    /// A look that brings the end of a task.
    FreedWorker,
    /// A look that brings nothing.
    QuietLook,
    /// A job is handed in.
    NewJob,
    /// A round that looks at everything.
    FullRound,
    /// A tick at which all runs are reviewed, with a full round.
    Review,
}

struct Host {
    name: WorkerName,
    running: Vec<(TaskName, u32)>,
    last_end: u64,
}

/// A leader with its workers.
pub(crate) struct Cell {
    leader: Leader,
    hosts: Vec<Host>,
    now_ms: u64,
    full_round_ms: u64,
    looks_ms: u64,
    jobs: u64,
    next_host: usize,
    /// Tasks of each service that started since the last job in their place.
    started: [u32; SERVICES],
}

impl Cell {
    /// A cell with `workers` that are full, and `waiting` jobs of one step.
    pub(crate) fn new(workers: usize, waiting: usize) -> Self {
        let now = Now { steady_ms: 1_000, unix_ms: 1_000 };
        let mut cell = Self {
            leader: Leader::new(Options::default(), Vec::new(), now),
            hosts: Vec::new(),
            now_ms: 1_000,
            full_round_ms: 0,
            looks_ms: 0,
            jobs: 0,
            next_host: 0,
            started: [0; SERVICES],
        };
        cell.list_workers(workers);
        cell.look_at_all();
        for number in 0..workers * TASKS_A_WORKER {
            cell.submit(1, queue(number, 0));
        }
        cell.full_round();
        for number in 0..waiting {
            cell.submit(WIDTH, queue(number, number / SERVICES % SORTS));
        }
        cell.full_round();
        cell
    }

    fn list_workers(&mut self, workers: usize) {
        for number in 0..workers {
            let name = WorkerName::from(format!("worker-{number:05}").as_str());
            let entry = Registration {
                name: name.clone(),
                address: format!("10.0.{}.{}:80", number / 256, number % 256),
                data_centre: format!("centre-{}", number / SERVICES % DATA_CENTRES),
                service: service(number),
                capacity: Resources::new(WORKER_CPU_MILLI, 64_000, 0, 0),
                labels: vec!["large".to_owned(), format!("rack-{}", number / 16)],
                draining: false,
            };
            self.leader.handle(Event::WorkerRegistered(entry), self.now());
            self.hosts.push(Host { name, running: Vec::new(), last_end: 0 });
        }
        let lanes = (0..LANES).map(|lane| Lane(format!("lane-{lane}"))).collect();
        self.leader.handle(Event::Lanes(lanes), self.now());
    }

    fn now(&self) -> Now {
        Now { steady_ms: self.now_ms, unix_ms: self.now_ms }
    }

    fn submit(&mut self, count: u32, queue: v1::QueuePolicy) {
        let event = self.submission(count, queue);
        self.leader.handle(event, self.now());
    }

    fn submission(&mut self, count: u32, queue: v1::QueuePolicy) -> Event {
        self.jobs += 1;
        let request = Request::Submit { job: JobKey(self.jobs), plan: plan(count), queue };
        Event::Request { request_id: RequestId(self.jobs), request }
    }

    /// A queue of the service of the worker at hand; its sort changes from job to job.
    fn next_queue(&self) -> v1::QueuePolicy {
        queue(self.next_host, self.jobs as usize % SORTS)
    }

    /// The answer to a look at a worker; `ends` tells how many of its tasks have ended.
    fn look(&mut self, at: usize, ends: usize) -> Event {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[at];
        let ended: Vec<(TaskName, u32)> =
            host.running.drain(..ends.min(host.running.len())).collect();
        let row = |&(task, run): &(TaskName, u32)| ReportedRun {
            task,
            run,
            checkpoint: String::new(),
            percent: (now_ms / 500 % 70) as u32,
            gauge: 0,
        };
        let running = host.running.iter().map(row).collect();
        let mut rows = Vec::new();
        for (task, run) in ended {
            host.last_end += 1;
            let end = RunEnd { run, reason: EndReason::Done, checkpoint: String::new() };
            rows.push(ReportedEnd { number: host.last_end, task, end });
        }
        let answer =
            PollResponse { clock_ms: now_ms, running, ends: rows, ..PollResponse::default() };
        let sent_ms = now_ms - 1;
        Event::Polled { worker: host.name.clone(), sent_ms, extra: false, result: Ok(answer) }
    }

    fn look_at_all(&mut self) {
        self.looks_ms = self.now_ms + LOOKS_MS;
        self.leader.handle(Event::LeadershipConfirmed { sent_ms: self.now_ms }, self.now());
        for at in 0..self.hosts.len() {
            let event = self.look(at, 0);
            self.leader.handle(event, self.now());
        }
        self.finish();
    }

    fn full_round(&mut self) {
        self.now_ms = self.now_ms.max(self.full_round_ms);
        self.full_round_ms = self.now_ms + FULL_ROUND_MS;
        self.finish();
    }

    /// Finishes, and answers all that the leader asks for, but looks.
    fn finish(&mut self) {
        let effects = self.leader.finish(self.now());
        self.settle(effects);
    }

    fn settle(&mut self, effects: Vec<Effect>) {
        let mut answers: Vec<Event> = Vec::new();
        for effect in effects {
            match effect {
                Effect::Append(_) => answers.push(Event::Appended),
                Effect::Start { worker, task, run, .. } => {
                    let at = self.hosts.partition_point(|host| host.name < worker);
                    self.hosts[at].running.push((task, run));
                    answers.push(Event::Started { worker, task, run, result: Ok(()) });
                }
                Effect::RequestAdvice { lane, step, workers, .. } => {
                    answers.push(advised(lane, step, workers));
                }
                Effect::Reply { .. }
                | Effect::Poll { .. }
                | Effect::Stop { .. }
                | Effect::Deposed => {}
            }
        }
        if answers.is_empty() {
            return;
        }
        for event in answers {
            self.leader.handle(event, self.now());
        }
        self.finish();
    }

    /// Brings the cell to the moment before the next measured event: what is due by time alone is done.
    fn advance(&mut self, case: Case) {
        self.now_ms += match case {
            Case::FreedWorker | Case::QuietLook | Case::NewJob => PAUSE_MS,
            Case::FullRound => FULL_ROUND_MS,
            Case::Review => 2 * FULL_ROUND_MS,
        };
        self.leader.handle(Event::LeadershipConfirmed { sent_ms: self.now_ms }, self.now());
        if self.now_ms >= self.looks_ms {
            self.look_at_all();
        }
        let measures_all = matches!(case, Case::FullRound | Case::Review);
        if !measures_all && self.now_ms >= self.full_round_ms {
            self.full_round();
        }
    }

    /// The time that one event takes, with the decisions that follow from it.
    pub(crate) fn measure(&mut self, case: Case) -> Duration {
        self.advance(case);
        self.next_host = (self.next_host + 7_919) % self.hosts.len();
        let event = match case {
            Case::FreedWorker => Some(self.look(self.next_host, 1)),
            Case::QuietLook => Some(self.look(self.next_host, 0)),
            Case::NewJob => Some(self.submission(WIDTH, self.next_queue())),
            Case::FullRound => None,
            Case::Review => Some(Event::Tick),
        };
        let now = self.now();
        let began = Instant::now();
        if let Some(event) = event {
            self.leader.handle(event, now);
        }
        let effects = self.leader.finish(now);
        let took = began.elapsed();
        self.settle(effects);
        self.balance(case);
        took
    }

    /// Keeps the number of waiting steps: a job follows for each that has started, one that was handed in is
    /// cancelled.
    fn balance(&mut self, case: Case) {
        match case {
            Case::FreedWorker => {
                let started = &mut self.started[self.next_host % SERVICES];
                *started += 1;
                if *started < WIDTH {
                    return;
                }
                *started = 0;
                self.submit(WIDTH, self.next_queue());
            }
            Case::NewJob => {
                let request = Request::Cancel(JobKey(self.jobs));
                self.leader
                    .handle(Event::Request { request_id: RequestId(0), request }, self.now());
            }
            Case::QuietLook | Case::FullRound | Case::Review => return,
        }
        self.finish();
    }
}

fn advised(lane: Lane, step: lilacpass_jobs::StepName, asked: Vec<WorkerName>) -> Event {
    let ticket =
        |worker: &WorkerName| WorkerTicket { worker: worker.clone(), ticket: "t".to_owned() };
    let good = asked.iter().map(ticket).collect();
    Event::AdviceReceived { lane, step, asked, advice: Some(Advice { good, valid_ms: TICKET_MS }) }
}

fn service(number: usize) -> String {
    format!("service-{}", number % SERVICES)
}

/// A queue of a service: without advice, with quick advice, or with slow advice.
fn queue(number: usize, sort: usize) -> v1::QueuePolicy {
    let (base_ms, per_worker_ms) = [(0.0, 0.0), (20.0, 0.2), (490.0, 7.0)][sort];
    let advice = v1::AdvicePolicy { base_ms, per_worker_ms, valid_ms: TICKET_MS as u32 };
    let service = service(number);
    v1::QueuePolicy {
        name: format!("{service}-{sort}"),
        service,
        priority: 2,
        attempts: 3,
        stretch: 1.5,
        objective_ms: 250,
        advice: (sort > 0).then_some(advice),
    }
}

fn plan(count: u32) -> v1::WorkPlan {
    let step = v1::WorkStep {
        count,
        cpu_milli: TASK_CPU_MILLI,
        memory_mb: 10,
        estimate_ms: ESTIMATE_MS,
        ..Default::default()
    };
    v1::WorkPlan { payload: "do".to_owned(), steps: vec![step], ..Default::default() }
}
