//! The service of one worker: state, faults and waiting.

use std::{
    future,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lilacpass_schema::v1::{self, TaskOutcome, Verdict, worker_server};
use tokio::{sync::watch, time};
use tonic::{Extensions, Request, Response, Status};

use crate::{
    clock::{self, Clock},
    connection::{ConnectionFaults, Connections},
    dice::Dice,
    task::{TaskEnd, TaskStart},
    worker::{self, Worker},
};

/// Lease where a start names none.
const DEFAULT_LEASE: Duration = Duration::from_secs(5);
/// Longest wait of a report call.
const MAX_WAIT: Duration = Duration::from_secs(60);
const HUNDRED_PERCENT: u64 = 100;

/// One worker with its faults and connections.
#[derive(Debug)]
pub struct WorkerService {
    /// Its connections.
    pub connections: Connections,
    clock: Clock,
    dice: Dice,
    worker: Mutex<Worker>,
    fault: Mutex<v1::WorkerFault>,
    break_next: AtomicBool,
    /// Changes with everything that happens to the worker's tasks.
    changed: watch::Sender<()>,
}

impl WorkerService {
    /// A worker without faults.
    pub fn new(worker: Worker, clock: Clock, seed: u64) -> Self {
        Self {
            connections: Connections::default(),
            clock,
            dice: Dice::new(seed),
            worker: Mutex::new(worker),
            fault: Mutex::default(),
            break_next: AtomicBool::new(false),
            changed: watch::Sender::new(()),
        }
    }

    /// The state of the worker.
    pub fn worker(&self) -> MutexGuard<'_, Worker> {
        self.worker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The faults that are switched on.
    pub fn fault(&self) -> v1::WorkerFault {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Switches faults on and off. Death and return are the host's affair.
    pub fn set_fault(&self, fault: v1::WorkerFault) {
        if fault.silent || fault.silence_open_connections {
            self.connections.for_each(ConnectionFaults::silence);
        }
        {
            let mut worker = self.worker();
            if worker.leaving != fault.leaving {
                worker.leaving = fault.leaving;
                worker.version += 1;
            }
        }
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
        self.changed.send_replace(());
    }

    /// Drops everything that runs and all connections.
    pub fn die(&self) {
        self.worker().die(self.clock.now());
        self.connections.for_each(ConnectionFaults::break_off);
        self.changed.send_replace(());
    }

    /// Comes back as a new process.
    pub fn revive(&self) {
        let now = self.clock.now();
        let since_start = clock::as_ms(now.since(Default::default()));
        self.worker().revive(self.clock.start_unix_ms() + since_start);
    }

    /// Ends tasks at their time; never returns.
    pub async fn keep_time(&self) {
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            let (before, after, wake) = {
                let mut worker = self.worker();
                let before = worker.running_now();
                worker.advance(self.clock.now());
                (before, worker.running_now(), worker.next_wake())
            };
            if before != after {
                self.changed.send_replace(());
                continue;
            }
            match wake {
                Some(at) => {
                    let at = time::Instant::from_std(self.clock.instant(at));
                    // Either way there is something new to look at.
                    let _ = time::timeout_at(at, changed.changed()).await;
                }
                None => {
                    // The sender lives in `self`, so this can't fail.
                    let _ = changed.changed().await;
                }
            }
        }
    }

    /// Starts a task; false where it is known already.
    fn start_task(&self, mut start: TaskStart) -> bool {
        let fault = self.fault();
        let slow_percent = u64::from(fault.slow_percent).max(HUNDRED_PERCENT);
        start.speed_percent = HUNDRED_PERCENT * HUNDRED_PERCENT / slow_percent;
        start.black_hole = fault.black_hole;
        let started = self.worker().start(start, self.clock.now());
        self.changed.send_replace(());
        started
    }

    /// Loses the answer to a call that has taken effect, where that fault strikes: in turn the call
    /// hangs until the caller gives it up, or its connection breaks.
    async fn lose_answer(&self, extensions: &Extensions) {
        if !self.dice.strikes(self.fault().lose_answer_permille) {
            return;
        }
        let break_off = self.break_next.fetch_xor(true, Ordering::SeqCst);
        if break_off && let Some(faults) = extensions.get::<ConnectionFaults>() {
            faults.break_off();
        }
        future::pending::<()>().await;
    }

    /// Waits for the end of a quick request.
    async fn quick_end(&self, key: &v1::TaskKey) -> TaskEnd {
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            let (end, known) = {
                let mut worker = self.worker();
                (worker.take_end(key, self.clock.now()), worker.is_known(key))
            };
            if let Some(end) = end {
                return end;
            }
            if !known {
                // The worker has died meanwhile; its connections break.
                future::pending::<()>().await;
            }
            // The sender lives in `self`, so this can't fail.
            let _ = changed.changed().await;
        }
    }
}

/// Handle of a worker's service that tonic serves.
#[derive(Clone, Debug)]
pub struct Served(pub std::sync::Arc<WorkerService>);

#[tonic::async_trait]
impl worker_server::Worker for Served {
    async fn run(
        &self,
        request: Request<v1::RunRequest>,
    ) -> Result<Response<v1::RunAnswer>, Status> {
        let (_, extensions, request) = request.into_parts();
        let key = request.task.ok_or_else(|| Status::invalid_argument("task is missing"))?;
        let start = TaskStart {
            key: key.clone(),
            epoch: request.epoch,
            given: worker::from_amount(request.given.unwrap_or_default()),
            payload: request.payload,
            declared_run: Duration::ZERO,
            lease: None,
            stop_after: non_zero(request.remaining_ms),
            standing: false,
            checkpoint: String::new(),
            speed_percent: HUNDRED_PERCENT,
            black_hole: false,
        };
        if !self.0.start_task(start) {
            return Err(Status::already_exists("this attempt is known already"));
        }
        let end = self.0.quick_end(&key).await;
        self.0.lose_answer(&extensions).await;
        Ok(Response::new(v1::RunAnswer {
            task: Some(key),
            verdict: Verdict::Ran.into(),
            outcome: end.outcome.into(),
            result_bytes: end.result.len() as u64,
            result: end.result,
            run_ms: clock::as_ms(end.ran),
        }))
    }

    async fn start(
        &self,
        request: Request<v1::StartTaskRequest>,
    ) -> Result<Response<v1::StartTaskAnswer>, Status> {
        let (_, extensions, request) = request.into_parts();
        let key = request.task.ok_or_else(|| Status::invalid_argument("task is missing"))?;
        self.0.start_task(TaskStart {
            key,
            epoch: request.epoch,
            given: worker::from_amount(request.given.unwrap_or_default()),
            payload: request.payload,
            declared_run: Duration::from_millis(request.run_ms),
            lease: Some(non_zero(request.lease_ms).unwrap_or(DEFAULT_LEASE)),
            stop_after: None,
            standing: request.standing,
            checkpoint: request.checkpoint,
            speed_percent: HUNDRED_PERCENT,
            black_hole: false,
        });
        self.0.lose_answer(&extensions).await;
        let worker_incarnation = self.0.worker().incarnation;
        Ok(Response::new(v1::StartTaskAnswer {
            started: true,
            reason: String::new(),
            worker_incarnation,
        }))
    }

    async fn renew(
        &self,
        request: Request<v1::RenewTasksRequest>,
    ) -> Result<Response<v1::RenewTasksAnswer>, Status> {
        let request = request.into_inner();
        let lease = non_zero(request.lease_ms).unwrap_or(DEFAULT_LEASE);
        let mut worker = self.0.worker();
        let unknown = worker.renew(request.tasks, lease, self.0.clock.now());
        let worker_incarnation = worker.incarnation;
        drop(worker);
        self.0.changed.send_replace(());
        Ok(Response::new(v1::RenewTasksAnswer { unknown, worker_incarnation }))
    }

    async fn control(
        &self,
        request: Request<v1::ControlTaskRequest>,
    ) -> Result<Response<v1::ControlTaskAnswer>, Status> {
        let request = request.into_inner();
        let control = request.control();
        let key = request.task.ok_or_else(|| Status::invalid_argument("task is missing"))?;
        log::debug!("control {} {key:?} epoch {}", control.as_str_name(), request.epoch);
        let known = self.0.worker().control(&key, control, self.0.clock.now());
        self.0.changed.send_replace(());
        Ok(Response::new(v1::ControlTaskAnswer { known }))
    }

    async fn report(
        &self,
        request: Request<v1::ReportRequest>,
    ) -> Result<Response<v1::ReportAnswer>, Status> {
        let request = request.into_inner();
        self.0.worker().forget(&request.forget);
        let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
        let give_up_at = time::Instant::now() + wait;
        let mut changed = self.0.changed.subscribe();
        loop {
            changed.mark_unchanged();
            {
                let mut worker = self.0.worker();
                worker.advance(self.0.clock.now());
                let is_news = worker.version != request.known_version;
                if is_news || time::Instant::now() >= give_up_at {
                    return Ok(Response::new(worker.report(self.0.clock.now())));
                }
            }
            // An error means that the wait is over: look once more.
            let _ = time::timeout_at(give_up_at, changed.changed()).await;
        }
    }
}

impl WorkerService {
    /// Counts and history as judges read them.
    pub fn counts(&self) -> (v1::WorkerCount, Vec<v1::TaskCount>) {
        let mut worker = self.worker();
        worker.advance(self.clock.now());
        let mut count = worker.counts.clone();
        count.running_now = worker.running_now();
        let connections = &self.connections.counts;
        count.connections_now = connections.now.load(Ordering::SeqCst);
        count.connections_most = connections.most.load(Ordering::SeqCst);
        count.connections_refused = connections.refused.load(Ordering::SeqCst);
        let unix_ms = |at: lilacpass_core::MonoTime| {
            self.clock.start_unix_ms() + clock::as_ms(at.since(Default::default()))
        };
        let task_count = |run: &worker::Run| v1::TaskCount {
            worker: worker.name.clone(),
            task: Some(run.key.clone()),
            payload: run.payload.clone(),
            started_unix_ms: unix_ms(run.started_at),
            ended_unix_ms: run.ended.map_or(0, |(at, _)| unix_ms(at)),
            outcome: run.ended.map_or(TaskOutcome::Unspecified, |(_, outcome)| outcome).into(),
            quick: run.quick,
            standing: run.standing,
        };
        let tasks = worker.history.iter().map(task_count).collect();
        (count, tasks)
    }
}

fn non_zero(ms: u64) -> Option<Duration> {
    (ms > 0).then(|| Duration::from_millis(ms))
}
