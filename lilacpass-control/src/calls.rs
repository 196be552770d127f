//! Calls that control has asked for and whose ends it waits for.

use std::time::Duration;

use lilacpass_core::{
    MonoTime, Verdict,
    ids::{AttemptNo, InstanceId, JobId, RequestId, TaskId, WorkerId},
};

use crate::{
    Control,
    event::{
        CallFailure, CallId, Effect, FailureKind, PeerCall, PeerReply, ReplyId, Stream, WorkerCall,
    },
};

/// What a call that is under way is for.
#[derive(Clone, Debug)]
pub(crate) enum Pending {
    /// Heartbeat to a peer.
    Heartbeat(InstanceId),
    /// Fetches the configuration of a peer.
    FetchConfig,
    /// Forwards an attempt of a quick request.
    Forward { request: RequestId, task: TaskId, holder: InstanceId },
    /// Asks a holder for room for tasks of a job.
    Hold { job: JobId, attempt: AttemptNo, round: u64, holder: InstanceId },
    /// Starts held tasks of a job.
    StartHeld { job: JobId, attempt: AttemptNo },
    /// Its end changes nothing here.
    Ignored,
    /// Runs a quick request on a worker.
    Run { task: TaskId, worker: WorkerId },
    /// Starts a recorded task on a worker.
    Start { task: TaskId, worker: WorkerId },
    /// Renews task leases on a worker.
    Renew { worker: WorkerId },
    /// Stops, checkpoints or throttles a task.
    TaskControl,
    /// Asks a worker what runs.
    Report { worker: WorkerId },
    /// Appends records of the outbox of a stream.
    Append(Stream),
    /// Appends records of the holding state machine.
    AppendHolding(Vec<lilacpass_schema::v1::HoldingRecord>),
}

/// Where the answer to a peer call goes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PeerOrigin {
    /// To another entry instance.
    Remote(ReplyId),
    /// To this instance itself, which called one of its own functions.
    Own(CallId),
}

impl Control {
    /// Remembers a new call and gives it its number.
    pub(crate) fn new_call(&mut self, pending: Pending) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.calls.insert(call, pending);
        call
    }

    /// Calls a peer, or this instance itself, where `to` names it.
    pub(crate) fn call_peer(
        &mut self,
        to: &InstanceId,
        request: PeerCall,
        timeout: Duration,
        pending: Pending,
    ) {
        let call = self.new_call(pending);
        if *to == self.settings.me {
            self.own_calls.push_back((call, request));
            return;
        }
        let Some(address) = self.members.address(to) else {
            let failure = CallFailure {
                verdict: Verdict::NotRun,
                kind: FailureKind::Connect,
                detail: format!("no address known for {to}"),
            };
            self.own_replies.push_back((call, Err(failure)));
            return;
        };
        self.out.push(Effect::PeerCall { call, to: to.clone(), address, request, timeout });
    }

    /// Calls a worker; `not_after` is the end of the permission to send.
    pub(crate) fn call_worker(
        &mut self,
        to: &WorkerId,
        request: WorkerCall,
        timeout: Duration,
        not_after: MonoTime,
        pending: Pending,
    ) -> Option<CallId> {
        let address = self.inventory.worker(to)?.address;
        let call = self.new_call(pending);
        self.out.push(Effect::WorkerCall {
            call,
            to: to.clone(),
            address,
            request,
            timeout,
            not_after,
        });
        Some(call)
    }

    /// Answers a peer call, wherever it came from.
    pub(crate) fn reply_peer(&mut self, origin: PeerOrigin, reply: Result<PeerReply, String>) {
        match origin {
            PeerOrigin::Remote(to) => self.out.push(Effect::PeerReply { to, reply }),
            PeerOrigin::Own(call) => {
                let result = reply.map_err(|detail| CallFailure {
                    verdict: Verdict::NotRun,
                    kind: FailureKind::Refused,
                    detail,
                });
                self.own_replies.push_back((call, result));
            }
        }
    }
}
