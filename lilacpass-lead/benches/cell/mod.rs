//! A simulated full cell for benchmarks: its workers have no capacity for the waiting steps, and it sends the responses
//! that the leader needs to continue. It only uses public events.

use std::time::{Duration, Instant};

use lilacpass_core::Resources;
use lilacpass_jobs::{EndReason, JobKey, RunEnd, TaskName, WorkerName};
use lilacpass_lead::{
    Effect, Event, Leader, Now, Options,
    event::{
        Advice, Lane, PollResponse, Registration, ReportedEnd, ReportedRun, Request, RequestId,
        Requester, WorkerTicket,
    },
    fair_use,
};
use lilacpass_schema::v1;

/// Number of services, each with its own workers and queues.
const SERVICES: usize = 3;
/// Number of data centres that the workers are spread over.
const DATA_CENTRES: usize = 4;
/// Number of instances that call the advice service.
const LANES: usize = 6;
/// Number of tasks that fit on a worker. The capacity left beside them is too small for another one.
const TASKS_PER_WORKER: usize = 2;
/// Number of tasks of a waiting step.
const TASKS_PER_STEP: u32 = 13;
/// Number of kinds of queues: without advice, with quick advice, with slow advice.
const QUEUE_KINDS: usize = 3;
/// CPU of a worker and of a task in thousandths of a core.
const WORKER_CPU_MILLI: u64 = 10_000;
const TASK_CPU_MILLI: u32 = 4_000;
/// Estimated run time of a task in ms.
const ESTIMATE_MS: u32 = 60_000;
/// Weight of an account. High enough that its jobs are within its share.
const LARGE_WEIGHT: f64 = 100_000.0;
/// Number of jobs that are submitted between two rounds in a cell with accounts.
const BATCH: usize = 50;
/// Validity of a ticket in ms.
const TICKET_MS: u64 = 2_500;
/// Simulated time between two measured events in ms.
const EVENT_INTERVAL_MS: u64 = 5;
/// Simulated time between full rounds in ms, as in the leader.
const FULL_ROUND_INTERVAL_MS: u64 = 100;
/// Simulated time between polls of all workers in ms, which is shorter than a lease.
const POLL_INTERVAL_MS: u64 = 2_000;

/// The event that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Case {
    /// A poll that reports the end of a task.
    FreedWorker,
    /// A poll that reports no change.
    QuietLook,
    /// The submission of a job.
    NewJob,
    /// A full round.
    FullRound,
    /// A tick that reviews all runs, followed by a full round.
    Review,
    /// A tick, without the round that follows, that reviews all runs and the use of the accounts. No band changes.
    FairUseReview,
    /// Like `FairUseReview`, but the bands of all accounts change, so that all waiting steps move.
    BandChanges,
}

/// A worker of the cell.
struct Host {
    name: WorkerName,
    /// Running tasks, each with the number of its run.
    running: Vec<(TaskName, u32)>,
    /// Number of the last run end on the worker.
    last_end: u64,
}

/// A leader and its workers.
pub(crate) struct Cell {
    leader: Leader,
    hosts: Vec<Host>,
    now_ms: u64,
    next_full_round_ms: u64,
    next_polls_ms: u64,
    jobs: u64,
    next_host: usize,
    /// Number of client accounts that jobs belong to in turn; 0 for public queues.
    accounts: u64,
    /// Number of changes of the weights of the accounts.
    weight_changes: u64,
    /// Number of tasks started in each service since a job was last submitted to replace them.
    started: [u32; SERVICES],
}

impl Cell {
    /// Creates a cell with `workers` full workers and `waiting` jobs of one step each.
    pub(crate) fn new(workers: usize, waiting: usize) -> Self {
        Self::with_accounts(workers, waiting, 0)
    }

    /// Like `new`, with jobs of `accounts` client accounts in turn.
    pub(crate) fn with_accounts(workers: usize, waiting: usize, accounts: u64) -> Self {
        let now = Now { steady_ms: 1_000, unix_ms: 1_000 };
        let mut cell = Self {
            leader: Leader::new(Options::default(), Vec::new(), now),
            hosts: Vec::new(),
            now_ms: 1_000,
            next_full_round_ms: 0,
            next_polls_ms: 0,
            jobs: 0,
            next_host: 0,
            accounts,
            weight_changes: 0,
            started: [0; SERVICES],
        };
        cell.change_weights();
        cell.register_workers(workers);
        cell.poll_all_workers();
        for number in 0..workers * TASKS_PER_WORKER {
            cell.submit(1, queue(number, 0));
            cell.examine_batch(number);
        }
        cell.full_round();
        for number in 0..waiting {
            cell.submit(TASKS_PER_STEP, queue(number, number / SERVICES % QUEUE_KINDS));
            cell.examine_batch(number);
        }
        cell.full_round();
        cell
    }

    /// Registers the workers and the lanes for calls to the advice service.
    fn register_workers(&mut self, workers: usize) {
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

    /// Runs a round after each [`BATCH`] of submissions in a cell with accounts. The leader refuses jobs while hundreds
    /// have not been examined. Cells without accounts, whose jobs are submitted all at once, have fewer waiting steps
    /// than asked for; they stay as they are so that their figures can be compared with earlier ones.
    fn examine_batch(&mut self, number: usize) {
        if self.accounts > 0 && number.is_multiple_of(BATCH) {
            self.full_round();
        }
    }

    /// Gives every second account a tenth of the weight of the others, in turn the even and the odd ones.
    fn change_weights(&mut self) {
        self.weight_changes += 1;
        let policies = (0..self.accounts).map(|number| self.account(number)).collect();
        self.leader.handle(Event::Accounts(policies), self.now());
    }

    fn account(&self, number: u64) -> v1::AccountPolicy {
        let is_light = (number + self.weight_changes).is_multiple_of(2);
        let weight = if is_light { LARGE_WEIGHT / 10.0 } else { LARGE_WEIGHT };
        v1::AccountPolicy { name: format!("account-{number}"), weight, ..Default::default() }
    }

    /// Returns the number of waiting steps, and how often a step has got another rank so far.
    pub(crate) fn waiting_and_moved(&self) -> (u64, u64) {
        (self.leader.status(self.now()).waiting_steps, self.leader.work().steps_moved)
    }

    fn now(&self) -> Now {
        Now { steady_ms: self.now_ms, unix_ms: self.now_ms }
    }

    fn submit(&mut self, count: u32, queue: v1::QueuePolicy) {
        let event = self.submission(count, queue);
        self.leader.handle(event, self.now());
    }

    /// Creates the submission of a new job with one step of `count` tasks.
    fn submission(&mut self, count: u32, queue: v1::QueuePolicy) -> Event {
        self.jobs += 1;
        let number = self.jobs.checked_rem(self.accounts);
        let account = number.map(|number| Box::new(self.account(number)));
        let request = Request::Submit { job: JobKey(self.jobs), plan: plan(count), queue, account };
        Event::Request { request_id: RequestId(self.jobs), request }
    }

    /// Returns a queue of the service of the next worker. Its kind changes from job to job.
    fn next_queue(&self) -> v1::QueuePolicy {
        queue(self.next_host, self.jobs as usize % QUEUE_KINDS)
    }

    /// Ends up to `ends` tasks on a worker, and returns the result of a poll that reports them.
    fn poll_result(&mut self, host_index: usize, ends: usize) -> Event {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[host_index];
        let ended: Vec<(TaskName, u32)> =
            host.running.drain(..ends.min(host.running.len())).collect();
        let reported_run = |&(task, run): &(TaskName, u32)| ReportedRun {
            task,
            run,
            checkpoint: String::new(),
            percent: (now_ms / 500 % 70) as u32,
            gauge: 0,
        };
        let running = host.running.iter().map(reported_run).collect();
        let mut reported_ends = Vec::new();
        for (task, run) in ended {
            host.last_end += 1;
            let end = RunEnd { run, reason: EndReason::Done, checkpoint: String::new() };
            reported_ends.push(ReportedEnd { number: host.last_end, task, end });
        }
        let response = PollResponse {
            clock_ms: now_ms,
            running,
            ends: reported_ends,
            ..PollResponse::default()
        };
        let sent_ms = now_ms - 1;
        Event::Polled { worker: host.name.clone(), sent_ms, extra: false, result: Ok(response) }
    }

    fn poll_all_workers(&mut self) {
        self.next_polls_ms = self.now_ms + POLL_INTERVAL_MS;
        self.leader.handle(Event::LeadershipConfirmed { sent_ms: self.now_ms }, self.now());
        for host_index in 0..self.hosts.len() {
            let event = self.poll_result(host_index, 0);
            self.leader.handle(event, self.now());
        }
        self.finish();
    }

    fn full_round(&mut self) {
        self.now_ms = self.now_ms.max(self.next_full_round_ms);
        self.next_full_round_ms = self.now_ms + FULL_ROUND_INTERVAL_MS;
        self.finish();
    }

    /// Finishes the round and responds to all effects except polls.
    fn finish(&mut self) {
        let effects = self.leader.finish(self.now());
        self.carry_out(effects);
    }

    /// Responds to effects, and to those that follow from the responses.
    fn carry_out(&mut self, effects: Vec<Effect>) {
        let mut events: Vec<Event> = Vec::new();
        for effect in effects {
            match effect {
                Effect::Append(_) => events.push(Event::Appended),
                Effect::Start { worker, task, run, .. } => {
                    let host_index = self.hosts.partition_point(|host| host.name < worker);
                    self.hosts[host_index].running.push((task, run));
                    events.push(Event::Started { worker, task, run, result: Ok(()) });
                }
                Effect::RequestAdvice { lane, step, workers, .. } => {
                    events.push(advice_received(lane, step, workers));
                }
                Effect::Reply { .. }
                | Effect::Poll { .. }
                | Effect::Stop { .. }
                | Effect::Deposed => {}
            }
        }
        if events.is_empty() {
            return;
        }
        for event in events {
            self.leader.handle(event, self.now());
        }
        self.finish();
    }

    /// Advances the cell to just before the next measured event and does everything that is due by then.
    fn advance(&mut self, case: Case) {
        self.now_ms += match case {
            Case::FreedWorker | Case::QuietLook | Case::NewJob => EVENT_INTERVAL_MS,
            Case::FullRound => FULL_ROUND_INTERVAL_MS,
            Case::Review => 2 * FULL_ROUND_INTERVAL_MS,
            Case::FairUseReview | Case::BandChanges => fair_use::REVIEW_INTERVAL_MS,
        };
        self.leader.handle(Event::LeadershipConfirmed { sent_ms: self.now_ms }, self.now());
        if self.now_ms >= self.next_polls_ms {
            self.poll_all_workers();
        }
        let measures_full_round =
            !matches!(case, Case::FreedWorker | Case::QuietLook | Case::NewJob);
        if case == Case::BandChanges {
            self.change_weights();
        }
        if !measures_full_round && self.now_ms >= self.next_full_round_ms {
            self.full_round();
        }
    }

    /// Measures the time that the leader takes for one event and the decisions that follow from it.
    pub(crate) fn measure(&mut self, case: Case) -> Duration {
        self.advance(case);
        self.next_host = (self.next_host + 7_919) % self.hosts.len();
        let event = match case {
            Case::FreedWorker => Some(self.poll_result(self.next_host, 1)),
            Case::QuietLook => Some(self.poll_result(self.next_host, 0)),
            Case::NewJob => Some(self.submission(TASKS_PER_STEP, self.next_queue())),
            Case::FullRound => None,
            Case::Review | Case::FairUseReview | Case::BandChanges => Some(Event::Tick),
        };
        let now = self.now();
        let began = Instant::now();
        if let Some(event) = event {
            self.leader.handle(event, now);
        }
        let event_took = began.elapsed();
        let effects = self.leader.finish(now);
        let is_tick_alone = matches!(case, Case::FairUseReview | Case::BandChanges);
        let took = if is_tick_alone { event_took } else { began.elapsed() };
        self.carry_out(effects);
        self.balance(case);
        took
    }

    /// Keeps the number of waiting steps constant: submits a job for each that has started, and cancels a measured
    /// submission.
    fn balance(&mut self, case: Case) {
        match case {
            Case::FreedWorker => {
                let started = &mut self.started[self.next_host % SERVICES];
                *started += 1;
                if *started < TASKS_PER_STEP {
                    return;
                }
                *started = 0;
                self.submit(TASKS_PER_STEP, self.next_queue());
            }
            Case::NewJob => {
                let request = Request::Cancel(JobKey(self.jobs), Requester::default());
                self.leader
                    .handle(Event::Request { request_id: RequestId(0), request }, self.now());
            }
            Case::QuietLook
            | Case::FullRound
            | Case::Review
            | Case::FairUseReview
            | Case::BandChanges => return,
        }
        self.finish();
    }
}

/// Returns a response of the advice service that allows all workers.
fn advice_received(lane: Lane, step: lilacpass_jobs::StepName, queried: Vec<WorkerName>) -> Event {
    let ticket =
        |worker: &WorkerName| WorkerTicket { worker: worker.clone(), ticket: "t".to_owned() };
    let good = queried.iter().map(ticket).collect();
    Event::AdviceReceived {
        lane,
        step,
        queried,
        advice: Some(Advice { good, valid_ms: TICKET_MS }),
    }
}

/// Returns the name of the service that a worker or job with this number belongs to.
fn service(number: usize) -> String {
    format!("service-{}", number % SERVICES)
}

/// Creates a queue of a service: without advice, with quick advice, or with slow advice.
fn queue(number: usize, kind: usize) -> v1::QueuePolicy {
    let (base_ms, per_worker_ms) = [(0.0, 0.0), (20.0, 0.2), (490.0, 7.0)][kind];
    let advice = v1::AdvicePolicy { base_ms, per_worker_ms, valid_ms: TICKET_MS as u32 };
    let service = service(number);
    v1::QueuePolicy {
        name: format!("{service}-{kind}"),
        service,
        priority: 2,
        attempts: 3,
        stretch: 1.5,
        objective_ms: 250,
        advice: (kind > 0).then_some(advice),
    }
}

/// Creates a plan with one step of `count` tasks.
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
