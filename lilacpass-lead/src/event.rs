//! What the leader is told and what it asks for.

use lilacpass_core::{Resources, Verdict};
use lilacpass_jobs::{JobKey, RunEnd, StepName, TaskName, WorkerName};
use lilacpass_schema::v1;

/// The present time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Milliseconds of a clock that never jumps and goes on while the instance is suspended.
    pub steady_ms: u64,
    /// Time of day, in milliseconds since 1970.
    pub unix_ms: u64,
}

/// Names a request of a caller until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Token(pub u64);

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// Take a job.
    Submit {
        /// Its name.
        job: JobKey,
        /// What to do.
        plan: v1::WorkPlan,
        /// How its queue treats it.
        queue: v1::QueuePolicy,
    },
    /// Tell what has become of a job.
    State(JobKey),
    /// Cancel a job.
    Cancel(JobKey),
    /// Count the jobs of a queue that have not started.
    Pending {
        /// Name of the queue.
        queue: String,
    },
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job was accepted and is stored, or its cancelling is.
    Done,
    /// The state of a job.
    State(JobState),
    /// So many jobs have not started.
    Pending(u64),
    /// There is no such job.
    UnknownJob,
    /// Not done, and never will be; come back later.
    Refused {
        /// Why.
        reason: &'static str,
        /// When to come back.
        retry_after_ms: u32,
    },
    /// The job asks for something that can't be done.
    Invalid(String),
    /// Another job has this name.
    Conflict,
    /// It may have been done.
    Uncertain,
}

/// The state of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// Tasks have started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// A worker as it is registered.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// One life of the worker.
    pub name: WorkerName,
    /// IP:port.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// The pool that it belongs to.
    pub service: String,
    /// What it has.
    pub capacity: Resources,
    /// Its kind and its rack, in this order, and more.
    pub labels: Vec<String>,
    /// It takes no more work and leaves soon.
    pub draining: bool,
}

/// Why a call has brought no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No answer, or a broken one. The verdict says whether it may have been carried out.
    Failed(Verdict),
    /// Another life of the worker answered: the one that was meant is over.
    OtherLife,
    /// The receiver refused for a reason and did nothing.
    Refused(Refusal),
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has heard of a higher epoch.
    Fence,
    /// It has stopped or ended this run or a later one.
    Old,
    /// The lease was over before it began.
    Late,
    /// It has no room.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// It takes no orders now.
    Unhealthy,
    /// The order does not fit what it knows of the task.
    Malformed,
}

/// A run that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRow {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Saved progress.
    pub checkpoint: String,
    /// Share of its work, or its pace, in percent.
    pub percent: u32,
    /// For a task that serves users, the tail of its response times in ms; for any other the
    /// processors in use, in thousandths.
    pub gauge: u64,
}

/// An end that a worker lists until it is told to forget it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndRow {
    /// Its place among the ends of this worker; from 1, without gaps.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The end.
    pub end: RunEnd,
}

/// What a worker answers to a look.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookAnswer {
    /// Its steady clock.
    pub clock_ms: u64,
    /// All that runs there.
    pub running: Vec<RunningRow>,
    /// Ends that it has not been told to forget, oldest first; at most a page of them.
    pub ends: Vec<EndRow>,
    /// It drains, and stays at least this long.
    pub remaining_ms: Option<u64>,
}

/// Who calls the advice service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane(pub String);

/// Permission to start the tasks of a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketRow {
    /// The worker.
    pub worker: WorkerName,
    /// What to show it.
    pub ticket: String,
}

/// What the advice service answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Workers that may run the step; of those asked about, all others may not.
    pub good: Vec<TicketRow>,
    /// How long the tickets are valid from now on.
    pub valid_ms: u64,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller asks.
    Asked {
        /// Names the request.
        token: Token,
        /// What is asked.
        ask: Ask,
    },
    /// The records of the append under way are stored.
    Appended,
    /// The store has surely done nothing of the append under way.
    NotAppended,
    /// The store confirmed, at the time of this call's start, that we still lead.
    Confirmed {
        /// When the call was sent, on the steady clock.
        sent_ms: u64,
    },
    /// A look has ended.
    Looked {
        /// The worker.
        worker: WorkerName,
        /// When it was sent, on the steady clock.
        sent_ms: u64,
        /// Whether it was an extra look beside the waiting one.
        extra: bool,
        /// Its answer.
        result: Result<LookAnswer, CallError>,
    },
    /// A start has ended.
    Started {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: u32,
        /// Its answer.
        result: Result<(), CallError>,
    },
    /// A stop has ended.
    Stopped {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: u32,
        /// Its answer.
        result: Result<(), CallError>,
    },
    /// A call for advice has ended.
    Advised {
        /// Who called.
        lane: Lane,
        /// The step.
        step: StepName,
        /// The workers that were asked about.
        asked: Vec<WorkerName>,
        /// The answer; none where there was no usable one.
        advice: Option<Advice>,
    },
    /// A worker has registered or changed.
    WorkerListed(Registration),
    /// A worker is no longer registered.
    WorkerUnlisted(WorkerName),
    /// All registrations have been read; workers that were not among them are not registered.
    WorkersRead,
    /// Instances that can call the advice service.
    Lanes(Vec<Lane>),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer a caller.
    Reply {
        /// Names the request.
        token: Token,
        /// What to say.
        answer: Answer,
    },
    /// Store records, all or none, and tell when that is done. One at a time.
    Append(Vec<Record>),
    /// Look at a worker and extend the leases there.
    Look {
        /// The worker.
        worker: WorkerName,
        /// IP:port.
        address: String,
        /// Until when, on the worker's clock; none where that clock is not known.
        lease_until_ms: Option<u64>,
        /// Ends up to this number may be forgotten.
        forget_upto: u64,
        /// How long to wait for an end.
        wait_ms: u64,
        /// How long the answer may take beyond that.
        answer_ms: u64,
        /// Whether it is an extra look beside the waiting one.
        extra: bool,
    },
    /// Start a run.
    Start {
        /// The worker.
        worker: WorkerName,
        /// IP:port.
        address: String,
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: u32,
        /// What to do.
        payload: String,
        /// Until when, on the worker's clock.
        lease_until_ms: u64,
        /// Saved progress; empty where there is none.
        checkpoint: String,
        /// Permission, where the queue needs one.
        ticket: Option<String>,
    },
    /// Stop a run, or prevent it from starting later.
    Stop {
        /// The worker.
        worker: WorkerName,
        /// IP:port.
        address: String,
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: u32,
    },
    /// Ask which workers may run a step.
    Advise {
        /// Who is to call.
        lane: Lane,
        /// The step.
        step: StepName,
        /// The workers to ask about.
        workers: Vec<WorkerName>,
        /// How long the answer should take.
        expected_ms: u64,
    },
    /// A worker has heard of a higher epoch: find out who leads.
    Deposed,
}

/// A record of the keyed log; without a value the key is dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
}
