//! Input events and output effects of the leader's state machine.

use std::sync::Arc;

use lilacpass_core::{Resources, Verdict, ids::AccountId};
use lilacpass_jobs::{JobKey, RunEnd, StepName, TaskName, WorkerName};
use lilacpass_schema::v1;

/// The current time on both clocks that the leader uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Milliseconds on a monotonic clock that never jumps and keeps running while the instance is suspended.
    pub steady_ms: u64,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Identifies a client request until the leader has responded to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(pub u64);

/// Who asks for a job: an account, or anyone on a public queue. A job is shown and cancelled only if it belongs to them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Requester(pub Option<AccountId>);

/// A request from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Submit a job.
    Submit {
        /// Key of the job.
        job: JobKey,
        /// Steps and payload of the job.
        plan: v1::WorkPlan,
        /// Policy of the queue that the job is submitted to.
        queue: v1::QueuePolicy,
        /// The account that the job belongs to; `None` if its queue is public.
        account: Option<Box<v1::AccountPolicy>>,
    },
    /// Query the state of a job.
    State(JobKey, Requester),
    /// Cancel a job.
    Cancel(JobKey, Requester),
    /// Count the jobs of a queue of which no task has started.
    Pending {
        /// Name of the queue.
        queue: String,
    },
}

/// The leader's response to a client request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The job, or its cancellation, has been accepted and stored.
    Done,
    /// The current state of the job.
    State(JobState),
    /// Number of jobs in the queue of which no task has started.
    Pending(u64),
    /// No job with this key exists.
    UnknownJob,
    /// The request was not carried out and never will be. The client may retry later.
    Refused {
        /// Reason for the refusal, shown to the client.
        reason: &'static str,
        /// Time in ms after which the client should retry.
        retry_after_ms: u32,
    },
    /// The job's plan is invalid or cannot be carried out; holds the reason.
    Invalid(String),
    /// A different job with this key already exists.
    Conflict,
    /// The key of the client is no longer in force. The request was not carried out and never will be.
    Unauthorized,
    /// The outcome is unknown: the request may have been carried out.
    Uncertain,
}

/// The state of a job as shown to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No worker has confirmed the start of a task.
    Queued,
    /// A worker has confirmed the start of at least one task.
    Running,
    /// All tasks have completed.
    Completed,
    /// A task has failed, or has crashed its workers, too often.
    Failed,
    /// The job was cancelled by a client.
    Cancelled,
}

/// A worker's entry in the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Name of the incarnation of the worker that wrote the entry.
    pub name: WorkerName,
    /// Network address as `IP:port`.
    pub address: String,
    /// Data centre that the worker runs in.
    pub data_centre: String,
    /// Service, i.e. the pool of workers, that the worker belongs to.
    pub service: String,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels of the worker: its kind, its rack, then any others.
    pub labels: Vec<String>,
    /// Whether the worker is draining: it accepts no more work and will leave soon.
    pub draining: bool,
}

/// Why a call to a worker returned no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// There was no response or a malformed one. The verdict says whether the call may have been carried out.
    Failed(Verdict),
    /// A worker with another id responded at the address, so the one that was called has ended.
    OtherWorker,
    /// Another incarnation of the worker responded at the address, so the call was not sent.
    OtherIncarnation,
    /// The worker refused the call and did nothing.
    Refused(Refusal),
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The worker knows of a leader with a higher epoch.
    Fence,
    /// This run of the task, or a later one, has already been stopped or has ended there.
    Old,
    /// The lease had expired before the run started.
    Late,
    /// The worker has too little free capacity.
    Room,
    /// The ticket is missing, invalid or expired.
    Ticket,
    /// The worker currently accepts no orders.
    Unhealthy,
    /// The order contradicts what the worker knows about the task.
    Malformed,
}

/// A run that is active on a worker, as listed in its poll response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedRun {
    /// Task of the run.
    pub task: TaskName,
    /// Number of the run within its task.
    pub run: u32,
    /// The latest checkpoint that the task has saved; empty if there is none.
    pub checkpoint: String,
    /// Progress of the task, or the pace of a long-running one, in percent.
    pub percent: u32,
    /// Tail latency in ms for a task that serves users; CPU in use in thousandths of a core for any other task.
    pub gauge: u64,
}

/// The end of a run, which a worker reports in each poll response until it is told to forget it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedEnd {
    /// Sequence number of the end on this worker, counted from 1 without gaps.
    pub number: u64,
    /// Task whose run has ended.
    pub task: TaskName,
    /// How the run ended.
    pub end: RunEnd,
}

/// A worker's response to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollResponse {
    /// When the incarnation of the worker that responded began, in milliseconds since 1970; `None` if it did not say
    /// so.
    pub worker_started_ms: Option<u64>,
    /// Reading of the worker's monotonic clock in ms.
    pub clock_ms: u64,
    /// All runs on the worker.
    pub running: Vec<ReportedRun>,
    /// Ends that the worker has not been told to forget, oldest first, limited to one page.
    pub ends: Vec<ReportedEnd>,
    /// Minimum time in ms that a draining worker will stay; `None` if it is not draining.
    pub remaining_ms: Option<u64>,
}

/// The address of an instance that can call the advice service. The service handles one call per lane at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane(pub String);

/// A ticket that permits starting the tasks of a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTicket {
    /// Worker that the ticket is valid for.
    pub worker: WorkerName,
    /// Text of the ticket, presented to the worker with each start.
    pub ticket: String,
}

/// A response of the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Workers that are allowed to run the step. All others named in the call are not.
    pub good: Vec<WorkerTicket>,
    /// Time in ms for which the tickets are valid from now on.
    pub valid_ms: u64,
}

/// An input to the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client request has arrived.
    Request {
        /// Identifies the request in the reply.
        request_id: RequestId,
        /// The request itself.
        request: Request,
    },
    /// The store has rejected these records of the append in flight, and always would. Their keys are given. Followed by
    /// [`Event::Appended`] for the other records.
    RecordsRejected(Vec<String>),
    /// The store has stored the records of the append in flight.
    Appended,
    /// The store has definitely not stored any record of the append in flight.
    NotAppended,
    /// The store has confirmed that this instance was still the leader when the call was sent.
    LeadershipConfirmed {
        /// Time when the call was sent, in ms on the monotonic clock.
        sent_ms: u64,
    },
    /// Another instance is asked to take over, and may do so from now on.
    TakeoverRequested,
    /// The last instance that was asked to take over has responded that it does not lead, or has not responded in time.
    TakeoverNotConfirmed,
    /// It is known when all leases of former leaders have expired.
    InheritedLeases {
        /// That time, in ms on the monotonic clock.
        expire_by_ms: u64,
    },
    /// A poll has ended.
    Polled {
        /// Worker that was polled.
        worker: WorkerName,
        /// Time when the poll was sent, in ms on the monotonic clock.
        sent_ms: u64,
        /// Whether this was an extra poll sent while a long poll was pending.
        extra: bool,
        /// The worker's response, or why there is none.
        result: Result<PollResponse, CallError>,
    },
    /// A call to start a run has ended.
    Started {
        /// Worker that was called.
        worker: WorkerName,
        /// Task of the run.
        task: TaskName,
        /// Number of the run within its task.
        run: u32,
        /// Whether the worker accepted the order, or why not.
        result: Result<(), CallError>,
    },
    /// A call to stop a run has ended.
    Stopped {
        /// Worker that was called.
        worker: WorkerName,
        /// Task of the run.
        task: TaskName,
        /// Number of the run within its task.
        run: u32,
        /// Whether the worker accepted the order, or why not.
        result: Result<(), CallError>,
    },
    /// A call to the advice service has ended.
    AdviceReceived {
        /// Lane that the call was made on.
        lane: Lane,
        /// Step that the advice is for.
        step: StepName,
        /// Workers that were named in the call.
        queried: Vec<WorkerName>,
        /// The response; `None` if there was no usable one.
        advice: Option<Advice>,
    },
    /// A worker has registered, or its registration has changed.
    WorkerRegistered(Registration),
    /// A worker is no longer registered.
    WorkerUnregistered(WorkerName),
    /// All registrations have been read. Workers that were not among them are not registered.
    RegistrationsRead {
        /// Time when the read was sent, in ms on the monotonic clock.
        sent_ms: u64,
    },
    /// The current list of instances that can call the advice service.
    Lanes(Vec<Lane>),
    /// The client accounts of the desired state, as of now.
    Accounts(Vec<v1::AccountPolicy>),
    /// The periodic timer has fired.
    Tick,
}

/// An action that the leader asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Respond to a client.
    Reply {
        /// Request that this responds to.
        request_id: RequestId,
        /// Response to send.
        response: Response,
    },
    /// Store records atomically, and report the result as [`Event::Appended`] or [`Event::NotAppended`]. The leader
    /// issues one append at a time.
    Append(Vec<Record>),
    /// Poll a worker for its runs and ends, and extend the leases there.
    Poll {
        /// Worker to poll.
        worker: WorkerName,
        /// Address of the worker as `IP:port`.
        address: String,
        /// Added to the epoch to obtain the fence of the order; see [`crate::incarnations`].
        fence_step: u64,
        /// New expiry of the leases in ms on the worker's clock; `None` if that clock is not known yet.
        lease_until_ms: Option<u64>,
        /// The worker may forget ends up to and including this sequence number.
        forget_up_to: u64,
        /// Time in ms for which the worker may hold the poll until a run ends.
        wait_ms: u64,
        /// Time in ms that the response may take in addition to `wait_ms`.
        answer_ms: u64,
        /// Whether this is an extra poll sent while a long poll is pending.
        extra: bool,
    },
    /// Start a run.
    Start {
        /// Worker to start the run on.
        worker: WorkerName,
        /// Address of the worker as `IP:port`.
        address: String,
        /// Added to the epoch to obtain the fence of the order; see [`crate::incarnations`].
        fence_step: u64,
        /// Task to run.
        task: TaskName,
        /// Number of the run within its task.
        run: u32,
        /// Payload of the job, passed to the task. All starts of a job share it.
        payload: Arc<str>,
        /// Expiry of the lease in ms on the worker's clock.
        lease_until_ms: u64,
        /// Checkpoint to resume from; empty if there is none.
        checkpoint: String,
        /// Ticket from the advice service; `None` if the queue needs none.
        ticket: Option<String>,
    },
    /// Stop a run, or prevent it from starting if its start order arrives late.
    Stop {
        /// Worker that the run was assigned to.
        worker: WorkerName,
        /// Address of the worker as `IP:port`.
        address: String,
        /// Added to the epoch to obtain the fence of the order; see [`crate::incarnations`].
        fence_step: u64,
        /// Task of the run.
        task: TaskName,
        /// Number of the run within its task.
        run: u32,
    },
    /// Ask the advice service which workers may run a step.
    RequestAdvice {
        /// Lane to make the call on.
        lane: Lane,
        /// Step to request advice for.
        step: StepName,
        /// Workers to name in the call.
        workers: Vec<WorkerName>,
        /// Expected duration of the call in ms.
        expected_ms: u64,
    },
    /// A worker has reported a higher epoch: check which instance leads now.
    Deposed,
}

/// A record of the keyed log. An empty value deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key of the record.
    pub key: String,
    /// New value of the key.
    pub value: Vec<u8>,
}
