//! What goes into the control state machine and what comes out of it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lilacpass_core::{
    Class, MonoTime, Verdict,
    ids::{InstanceId, JobId, Offset, Revision, TeamId, WorkerId},
};
use lilacpass_schema::v1;

/// Names the place where an answer is waited for; given out by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyId(pub u64);

/// Names a call that control asked the daemon to make; given out by control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One thing that happened.
#[derive(Debug)]
pub enum Event {
    /// Time has passed; sent at the moment that [`crate::Control::next_wake`] names, or earlier.
    Tick,
    /// A caller or operator asks for something; answered with [`Effect::Reply`].
    Request {
        /// Where the answer is waited for.
        reply: ReplyId,
        /// Who asks.
        caller: Caller,
        /// What is asked for.
        request: Request,
    },
    /// The caller went away; nobody waits for the answer any more.
    Gone {
        /// Where the answer was waited for.
        reply: ReplyId,
    },
    /// Another entry instance asks for something; answered with [`Effect::PeerReply`].
    PeerRequest {
        /// Where the answer is waited for.
        reply: ReplyId,
        /// What is asked for.
        request: PeerCall,
    },
    /// A call to a peer has ended.
    PeerDone {
        /// The call.
        call: CallId,
        /// The answer, or why there is none.
        result: Result<PeerReply, CallFailure>,
    },
    /// A call to a worker has ended.
    WorkerDone {
        /// The call.
        call: CallId,
        /// When its bytes left, or when it was given up before.
        sent_at: MonoTime,
        /// The answer, or why there is none.
        result: Result<WorkerReply, CallFailure>,
    },
    /// An append has ended.
    Appended {
        /// The call.
        call: CallId,
        /// Offset of the first record, or why it is not known.
        result: Result<Offset, CallFailure>,
    },
    /// Records were read from a stream.
    Read {
        /// The stream.
        stream: Stream,
        /// When the read call was sent.
        sent_at: MonoTime,
        /// The records in order, with their offsets.
        records: Vec<(Offset, ReadRecord)>,
        /// Offset that the next appended record gets, at the time of the answer.
        tail: Offset,
        /// Oldest offset that the log still keeps.
        oldest: Offset,
    },
    /// A read of a stream failed; the daemon tries again by itself.
    ReadFailed {
        /// The stream.
        stream: Stream,
    },
    /// The instance list was read.
    InstanceList(v1::ListInstancesAnswer),
    /// The operator or the platform asked this process to stop: finish what is in flight, then
    /// [`Effect::Stopped`].
    Stop,
}

/// A record as it was read.
#[derive(Debug)]
pub enum ReadRecord {
    /// It decoded, and its checksum holds.
    Good(Box<v1::Record>),
    /// It is damaged, foreign or of a future version; counted, reported and skipped.
    Bad(String),
}

/// A stream of the log service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stream {
    /// Changes of the configuration.
    Config,
    /// Who holds which shard, in the data centre of this instance.
    Holding,
    /// History of jobs.
    Jobs,
    /// Audit trail.
    Audit,
}

impl Stream {
    /// All streams.
    pub const ALL: [Self; 4] = [Self::Config, Self::Holding, Self::Jobs, Self::Audit];
}

/// Who asks, as established by the HTTP front.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Name of the access token, or "anonymous".
    pub name: String,
    /// What the caller may do.
    pub role: Role,
    /// Team that the caller speaks for, with [`Role::Team`].
    pub team: Option<TeamId>,
    /// Address that the request came from.
    pub origin: Option<SocketAddr>,
}

/// What a caller may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Everything.
    Operator,
    /// Submit, see and cancel the work of one team.
    Team,
    /// Look at everything, change nothing.
    ReadOnly,
}

/// What a caller or operator asks for.
#[derive(Clone, Debug)]
pub enum Request {
    /// A quick request that is answered with its result.
    Quick(QuickRequest),
    /// Accepts a job; answered once it is in the log.
    Submit(SubmitRequest),
    /// Looks at a job.
    Job(JobId),
    /// Waits until a job has ended, at most for the time given; answers with its state.
    WaitJob(JobId, Duration),
    /// Lists jobs that the caller may see.
    Jobs,
    /// Says why a job waits.
    Explain(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Changes the configuration.
    Change(ChangeRequest),
    /// Lists the last accepted changes.
    Changes,
    /// Shows the configuration in force.
    Inventory,
    /// Lists workers.
    Workers,
    /// Shows the state of the system at a glance.
    Status,
    /// Lists the audit trail, newest last.
    Audit,
    /// A try that the HTTP front refused, for the audit trail; answered with [`Answer::Done`].
    Refused {
        /// What was tried, such as "POST /v1/changes".
        action: String,
        /// Why it was refused.
        detail: String,
    },
}

/// A quick request.
#[derive(Clone, Debug)]
pub struct QuickRequest {
    /// What to run.
    pub spec: v1::JobSpec,
    /// Idempotency key, where the caller sent one.
    pub key: Option<String>,
    /// Digest of the body, to tell a reused key from a repeated request.
    pub body_digest: String,
    /// Time that the caller waits.
    pub deadline: Duration,
}

/// A job to accept.
#[derive(Clone, Debug)]
pub struct SubmitRequest {
    /// What to run.
    pub spec: v1::JobSpec,
    /// Idempotency key; the front makes a random one where the caller sent none.
    pub key: String,
    /// Digest of the body, to tell a reused key from a repeated request.
    pub body_digest: String,
}

/// A change of the configuration.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Revision that it builds on.
    pub base: Revision,
    /// Steps.
    pub ops: Vec<v1::ConfigOp>,
    /// Why, in the operator's words.
    pub reason: String,
    /// Only says what it would do.
    pub dry_run: bool,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug)]
pub enum Answer {
    /// Result of a quick request.
    Quick(v1::QuickAnswer),
    /// A job; after [`Request::Submit`] it is certain to be in the log.
    Job(v1::JobView),
    /// Jobs.
    Jobs(v1::JobList),
    /// Why a job waits.
    Explanation(v1::Explanation),
    /// A change was accepted, or what it would do.
    Change(v1::ChangeAnswer),
    /// Changes.
    Changes(v1::ChangeList),
    /// The configuration.
    Inventory(v1::InventoryView),
    /// Workers.
    Workers(v1::WorkerList),
    /// State at a glance.
    Status(Box<v1::StatusView>),
    /// Audit trail.
    Audit(v1::AuditList),
    /// Refused or failed.
    Problem(v1::Problem),
    /// Nothing to say.
    Done,
}

/// A call between entry instances.
#[derive(Clone, Debug)]
pub enum PeerCall {
    /// Liveness, digests, grants, revision.
    Heartbeat(v1::HeartbeatRequest),
    /// A quick request for a worker that the callee holds.
    Forward(v1::ForwardRequest),
    /// Takes a forwarded request back.
    CancelForward(v1::CancelForwardRequest),
    /// Sets room aside.
    Hold(v1::HoldRequest),
    /// Gives room back.
    Unhold(v1::UnholdRequest),
    /// Starts held tasks.
    StartHeld(v1::StartHeldRequest),
    /// Stops tasks.
    StopTasks(v1::StopTasksRequest),
    /// Asks for the configuration in force.
    FetchConfig(v1::FetchConfigRequest),
}

/// The answer to a [`PeerCall`] of the same name.
#[derive(Clone, Debug)]
pub enum PeerReply {
    /// Answer to [`PeerCall::Heartbeat`].
    Heartbeat(v1::HeartbeatRequest),
    /// Answer to [`PeerCall::Forward`].
    Forward(v1::ForwardAnswer),
    /// Answer to [`PeerCall::CancelForward`].
    CancelForward,
    /// Answer to [`PeerCall::Hold`].
    Hold(v1::HoldAnswer),
    /// Answer to [`PeerCall::Unhold`].
    Unhold,
    /// Answer to [`PeerCall::StartHeld`].
    StartHeld(v1::StartHeldAnswer),
    /// Answer to [`PeerCall::StopTasks`].
    StopTasks,
    /// Answer to [`PeerCall::FetchConfig`].
    FetchConfig(Box<v1::FetchConfigAnswer>),
}

/// A call to a worker.
#[derive(Clone, Debug)]
pub enum WorkerCall {
    /// Runs a quick request.
    Run(v1::RunRequest),
    /// Starts a task.
    Start(v1::StartTaskRequest),
    /// Renews task leases.
    Renew(v1::RenewTasksRequest),
    /// Stops, checkpoints or throttles a task.
    Control(v1::ControlTaskRequest),
    /// Asks what runs.
    Report(v1::ReportRequest),
}

/// The answer to a [`WorkerCall`] of the same name.
#[derive(Clone, Debug)]
pub enum WorkerReply {
    /// Answer to [`WorkerCall::Run`].
    Run(v1::RunAnswer),
    /// Answer to [`WorkerCall::Start`].
    Start(v1::StartTaskAnswer),
    /// Answer to [`WorkerCall::Renew`].
    Renew(v1::RenewTasksAnswer),
    /// Answer to [`WorkerCall::Control`].
    Control(v1::ControlTaskAnswer),
    /// Answer to [`WorkerCall::Report`].
    Report(v1::ReportAnswer),
}

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallFailure {
    /// [`Verdict::NotRun`] where it is certain that the call had no effect: it was never sent, or
    /// the callee refused it. [`Verdict::MayHaveRun`] otherwise.
    pub verdict: Verdict,
    /// What went wrong.
    pub kind: FailureKind,
    /// Details for people.
    pub detail: String,
}

/// What went wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// No connection could be made.
    Connect,
    /// The permission to send ended before the bytes left.
    PermitLapsed,
    /// The callee refused it, such as an append over the log's rate.
    Refused,
    /// No answer came in time.
    Timeout,
    /// The connection broke after the call was sent.
    Broken,
}

/// One thing that the daemon has to do.
#[derive(Debug)]
pub enum Effect {
    /// Answer a caller.
    Reply {
        /// Where the answer is waited for.
        to: ReplyId,
        /// The answer.
        answer: Answer,
    },
    /// Answer another entry instance.
    PeerReply {
        /// Where the answer is waited for.
        to: ReplyId,
        /// The answer, or the reason of a refusal that had no effect.
        reply: Result<PeerReply, String>,
    },
    /// Call a peer; ends with [`Event::PeerDone`].
    PeerCall {
        /// The call.
        call: CallId,
        /// The peer.
        to: InstanceId,
        /// Its address.
        address: SocketAddr,
        /// What to call.
        request: PeerCall,
        /// Time after which the call is given up.
        timeout: Duration,
    },
    /// Call a worker; ends with [`Event::WorkerDone`].
    WorkerCall {
        /// The call.
        call: CallId,
        /// The worker.
        to: WorkerId,
        /// Its address.
        address: SocketAddr,
        /// What to call.
        request: WorkerCall,
        /// Time after which the call is given up.
        timeout: Duration,
        /// The clock is read again right before the bytes leave; past this moment the call is not
        /// sent and ends with [`FailureKind::PermitLapsed`]. Guards against a pause of this process.
        not_after: MonoTime,
    },
    /// Drop the connection to a worker that this member no longer holds.
    CloseWorker {
        /// The worker.
        worker: WorkerId,
    },
    /// Append records to a stream in one piece; ends with [`Event::Appended`].
    Append {
        /// The call.
        call: CallId,
        /// The stream.
        stream: Stream,
        /// The records.
        records: Vec<v1::Record>,
    },
    /// A configuration is in force from now on, here.
    InForce {
        /// Its revision.
        revision: Revision,
        /// The configuration.
        configuration: Arc<v1::Configuration>,
    },
    /// The instance can take traffic, or no longer can.
    Ready(bool),
    /// A piece of work has waited so long from its arrival to its start.
    Waited {
        /// Its class.
        class: Class,
        /// The waiting time.
        waited: Duration,
    },
    /// A request has ended with a verdict.
    Ended {
        /// Its class.
        class: Class,
        /// The verdict.
        verdict: Verdict,
    },
    /// All that was in flight is finished; the process can exit.
    Stopped,
}
