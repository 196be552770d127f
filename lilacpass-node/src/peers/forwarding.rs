//! Client requests that are forwarded to the leader, and its responses.

use std::time::Duration;

use lilacpass_core::{KeyDigest, Verdict};
use lilacpass_jobs::JobKey;
use lilacpass_lead::event::{JobState, Request, Response};
use lilacpass_schema::v1;

use super::{WORK_PATH, post};
use crate::{
    access::{self, Access},
    node::Node,
};

/// Result of forwarding a request to the leader.
#[derive(Debug)]
pub enum Forwarded {
    /// The leader responded.
    Completed(Response),
    /// The receiver does not lead and has not executed the request.
    NotLeading,
    /// No response; the verdict says whether the request may have been executed.
    Failed(Verdict),
}

/// Forwards a request to the leader.
pub async fn forward(
    node: &Node,
    address: &str,
    request: &Request,
    access: &Access,
    timeout: Duration,
) -> Forwarded {
    let message = encode_request(request, access);
    match post::<v1::PeerWorkReply>(node, address, WORK_PATH, &message, timeout).await {
        Ok(reply) => decode_response(request, reply),
        Err(err) => Forwarded::Failed(err.verdict()),
    }
}

/// Executes a request that a peer has forwarded to this instance as the leader.
pub(super) async fn handle(node: &Node, work: v1::PeerWork) -> v1::PeerWorkReply {
    let not_leading = || reply(v1::WorkOutcome::WorkNotLeading);
    let submitted_to = work.queue.as_ref().filter(|_| work.plan.is_some());
    let queue_name = submitted_to.map(|queue| queue.name.as_str());
    let Some(access) = access::review(node, decode_access(&work), queue_name) else {
        return reply(v1::WorkOutcome::WorkUnauthorized);
    };
    let Some(request) = decode_request(work, access) else {
        let detail = "the request is incomplete".to_owned();
        return v1::PeerWorkReply { detail, ..reply(v1::WorkOutcome::WorkInvalid) };
    };
    let Some(leader) = node.leader_handle.borrow().clone() else { return not_leading() };
    match leader.request(request).await {
        Some(response) => encode_response(&response),
        None => reply(v1::WorkOutcome::WorkUncertain),
    }
}

/// The access that a forwarded request had at its sender.
fn decode_access(work: &v1::PeerWork) -> Access {
    Access {
        account: work.account.clone(),
        key: KeyDigest::from_bytes(&work.key_digest),
        desired_version: work.desired_version,
    }
}

fn encode_request(request: &Request, access: &Access) -> v1::PeerWork {
    let mut work = v1::PeerWork {
        account: access.account.clone(),
        key_digest: access.key.map(|key| key.as_bytes().to_vec()).unwrap_or_default(),
        desired_version: access.desired_version,
        ..Default::default()
    };
    match request {
        Request::Submit { job, plan, queue, .. } => {
            work.set_op(v1::WorkOp::WorkSubmit);
            work.job = job.0;
            work.plan = Some(plan.clone());
            work.queue = Some(queue.clone());
        }
        Request::State(job, _) => {
            work.set_op(v1::WorkOp::WorkState);
            work.job = job.0;
        }
        Request::Cancel(job, _) => {
            work.set_op(v1::WorkOp::WorkCancel);
            work.job = job.0;
        }
        Request::Pending { queue } => {
            work.set_op(v1::WorkOp::WorkPending);
            work.queue = Some(v1::QueuePolicy { name: queue.clone(), ..Default::default() });
        }
    }
    work
}

fn decode_request(work: v1::PeerWork, access: Access) -> Option<Request> {
    let job = JobKey(work.job);
    Some(match work.op() {
        v1::WorkOp::WorkSubmit => {
            let account = access.account.map(Box::new);
            Request::Submit { job, plan: work.plan?, queue: work.queue?, account }
        }
        v1::WorkOp::WorkState => Request::State(job, access.requester()),
        v1::WorkOp::WorkCancel => Request::Cancel(job, access.requester()),
        v1::WorkOp::WorkPending => Request::Pending { queue: work.queue?.name },
    })
}

fn reply(outcome: v1::WorkOutcome) -> v1::PeerWorkReply {
    let mut reply = v1::PeerWorkReply::default();
    reply.set_outcome(outcome);
    reply
}

/// States of a job by their number on the wire.
const STATES: [JobState; 5] = [
    JobState::Queued,
    JobState::Running,
    JobState::Completed,
    JobState::Failed,
    JobState::Cancelled,
];

fn encode_response(response: &Response) -> v1::PeerWorkReply {
    match response {
        Response::Done => reply(v1::WorkOutcome::WorkOk),
        Response::State(state) => {
            let number = STATES.iter().position(|s| s == state).unwrap_or_default() as u64;
            v1::PeerWorkReply { pending: number, ..reply(v1::WorkOutcome::WorkOk) }
        }
        Response::Pending(pending) => {
            v1::PeerWorkReply { pending: *pending, ..reply(v1::WorkOutcome::WorkOk) }
        }
        Response::UnknownJob => reply(v1::WorkOutcome::WorkUnknownJob),
        Response::Refused { reason, retry_after_ms } => v1::PeerWorkReply {
            detail: (*reason).to_owned(),
            retry_after_ms: *retry_after_ms,
            ..reply(v1::WorkOutcome::WorkRefused)
        },
        Response::Invalid(reason) => {
            v1::PeerWorkReply { detail: reason.clone(), ..reply(v1::WorkOutcome::WorkInvalid) }
        }
        Response::Conflict => reply(v1::WorkOutcome::WorkConflict),
        Response::Unauthorized => reply(v1::WorkOutcome::WorkUnauthorized),
        Response::Uncertain => reply(v1::WorkOutcome::WorkUncertain),
    }
}

fn decode_response(request: &Request, reply: v1::PeerWorkReply) -> Forwarded {
    let response = match reply.outcome() {
        v1::WorkOutcome::WorkNotLeading => return Forwarded::NotLeading,
        v1::WorkOutcome::WorkOk => match request {
            Request::Submit { .. } | Request::Cancel(..) => Response::Done,
            Request::State(..) => match STATES.get(reply.pending as usize) {
                Some(&state) => Response::State(state),
                None => return Forwarded::Failed(Verdict::MayHaveRun),
            },
            Request::Pending { .. } => Response::Pending(reply.pending),
        },
        v1::WorkOutcome::WorkUnknownJob => Response::UnknownJob,
        v1::WorkOutcome::WorkRefused => Response::Refused {
            reason: "refused by the leader",
            retry_after_ms: reply.retry_after_ms,
        },
        v1::WorkOutcome::WorkInvalid => Response::Invalid(reply.detail),
        v1::WorkOutcome::WorkConflict => Response::Conflict,
        v1::WorkOutcome::WorkUnauthorized => Response::Unauthorized,
        v1::WorkOutcome::WorkUncertain => return Forwarded::Failed(Verdict::MayHaveRun),
    };
    Forwarded::Completed(response)
}
