//! Messages between instances: heartbeats to the leader, client requests forwarded to it, advice calls that it
//! delegates, and the orders and outcomes of relays.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use lilacpass_core::{KeyDigest, Verdict, size};
use lilacpass_jobs::{JobKey, StepName, WorkerName};
use lilacpass_lead::event::{Advice, JobState, Request, Response, WorkerTicket};
use lilacpass_platform::{
    advice,
    client::{Call, Response as HttpResponse},
    desired::Limits,
    error::{Error, Result},
    server::{ReceivedRequest, Reply},
};
use lilacpass_schema::v1;
use prost::Message;
use tokio::time;

use crate::{
    access::{self, Access},
    clock, desired_relay, election,
    members::Peer,
    metrics,
    node::Node,
    operator_api, relay_server,
};

const HELLO_PATH: &str = "/peer/hello";
const WORK_PATH: &str = "/peer/work";
const ADVISE_PATH: &str = "/peer/advise";
const PROMOTE_PATH: &str = "/peer/promote";
const CONFIG_PATH: &str = "/peer/config";
const ORDERS_PATH: &str = "/peer/orders";
const OUTCOMES_PATH: &str = "/peer/outcomes";
/// Messages may take this many times their transfer time on an idle link, because other traffic shares the link.
const LINK_FACTOR: u32 = 3;
/// Added to the timeout of an advice call for the round trip to the peer.
const HOP_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum size of the body of a message from a peer: enough for 500 starts with the longest job payload,
/// and some to spare.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Limits on what peers may send.
pub fn limits() -> Limits {
    Limits { idle_timeout_ms: 60_000, body_bytes: MAX_BODY_BYTES, ..Limits::default() }
}

/// Handles a request of a peer or an operator.
pub async fn serve(node: Rc<Node>, received: ReceivedRequest) -> Reply {
    let body = match received.path.as_str() {
        HELLO_PATH => {
            decode(&received.body).map(|hello| handle_heartbeat(&node, hello).encode_to_vec())
        }
        WORK_PATH => match decode::<v1::PeerWork>(&received.body) {
            Ok(work) => Ok(handle_work(&node, work).await.encode_to_vec()),
            Err(err) => Err(err),
        },
        ADVISE_PATH => match decode::<v1::PeerAdvise>(&received.body) {
            Ok(request) => Ok(handle_advise(&node, request).await.encode_to_vec()),
            Err(err) => Err(err),
        },
        PROMOTE_PATH => match decode::<v1::PeerHello>(&received.body) {
            Ok(former_leader) => {
                election::take_over_on_request(&node, former_leader.leaving).await;
                Ok(leadership_view(&node).encode_to_vec())
            }
            Err(err) => Err(err),
        },
        CONFIG_PATH => decode(&received.body)
            .map(|request| desired_relay::serve(&node, &request).encode_to_vec()),
        ORDERS_PATH => match decode(&received.body) {
            Ok(orders) => return acceptance_reply(relay_server::accept(&node, orders)),
            Err(err) => Err(err),
        },
        OUTCOMES_PATH => match decode(&received.body) {
            Ok(outcomes) => return acceptance_reply(handle_outcomes(&node, outcomes)),
            Err(err) => Err(err),
        },
        path => return operator_api::serve(&node, path).await,
    };
    match body {
        Ok(body) => Reply::body(StatusCode::OK, Bytes::from(body)),
        Err(err) => {
            log::info!(path = received.path.as_str(), error:% = err; "rejecting a malformed message of a peer");
            Reply::error(StatusCode::BAD_REQUEST, &err.to_string())
        }
    }
}

/// The reply to a relay message, which is refused if it belongs to the epoch of another leader.
fn acceptance_reply(is_accepted: bool) -> Reply {
    if is_accepted {
        return Reply::body(StatusCode::OK, Bytes::new());
    }
    Reply::error(StatusCode::CONFLICT, "another leader is known")
}

fn decode<M: Message + Default>(bytes: &[u8]) -> Result<M> {
    M::decode(bytes).map_err(|err| Error::Decode("message of a peer", err.to_string()))
}

/// Sends a message and decodes the response.
async fn post<M: Message + Default>(
    node: &Node,
    address: &str,
    path: &str,
    message: &impl Message,
    timeout: Duration,
) -> Result<M> {
    let call = build_call(address, path, message, timeout);
    read_response(&node.client.call(&call).await?)
}

/// Sends a message whose response only reports whether it was accepted.
async fn send(
    node: &Node,
    address: &str,
    path: &str,
    message: &impl Message,
    timeout: Duration,
) -> Result<()> {
    // A long message needs its transfer time on a thin link. Giving up early and sending it again would fill the link
    // without any progress.
    let transfer_time = node.settings.link.time_for(size::Bytes(message.encoded_len() as u64));
    let call = build_call(address, path, message, timeout + transfer_time * LINK_FACTOR);
    let response = node.client.call(&call).await?;
    match response.status {
        StatusCode::OK => Ok(()),
        // A receiver that does not accept a message takes no action on it.
        status => Err(Error::Busy(status.as_u16())),
    }
}

/// Sends orders to a relay, which confirms them before it executes them.
pub async fn send_orders(
    node: &Node,
    address: &str,
    orders: &v1::PeerOrders,
    timeout: Duration,
) -> Result<()> {
    send(node, address, ORDERS_PATH, orders, timeout).await
}

/// Reports the outcomes of orders to the leader.
pub async fn send_outcomes(
    node: &Node,
    address: &str,
    outcomes: &v1::PeerOutcomes,
    timeout: Duration,
) -> Result<()> {
    send(node, address, OUTCOMES_PATH, outcomes, timeout).await
}

/// Processes outcomes from a relay. Returns whether they belong to this leadership.
fn handle_outcomes(node: &Node, message: v1::PeerOutcomes) -> bool {
    let mut relays = node.relays.borrow_mut();
    if !node.leads() || message.epoch != relays.epoch() {
        return false;
    }
    let unknown = relays.handle_outcomes(message.outcomes);
    if unknown > 0 {
        log::debug!(unknown; "received outcomes that are no longer awaited");
    }
    true
}

fn build_call<'a>(
    address: &'a str,
    path: &'a str,
    message: &impl Message,
    timeout: Duration,
) -> Call<'a> {
    let body = Bytes::from(message.encode_to_vec());
    Call { address, method: Method::POST, path, headers: &[], body, timeout }
}

fn read_response<M: Message + Default>(response: &HttpResponse) -> Result<M> {
    if response.status != StatusCode::OK {
        return Err(Error::Status(response.status.as_u16()));
    }
    decode(&response.body)
}

/// Requests the desired state from an instance, if it has a newer version than `known_version`. `timeout` bounds the
/// time until the response begins, and each pause within it.
pub async fn fetch_desired(
    node: &Node,
    address: &str,
    known_version: u64,
    timeout: Duration,
) -> Result<v1::PeerConfigReply> {
    let request = v1::PeerConfig { known_version, reads_state: true };
    let call = build_call(address, CONFIG_PATH, &request, timeout);
    read_response(&node.client.fetch(&call, timeout).await?)
}

/// Sends a heartbeat to the leader, or to an instance that may know it.
pub async fn send_heartbeat(
    node: &Node,
    address: &str,
    timeout: Duration,
) -> Result<v1::PeerHelloReply> {
    let sent_ms = clock::now().steady_ms;
    let message = v1::PeerHello {
        instance: node.settings.instance.clone(),
        address: node.peer_address(),
        data_centre: node.settings.data_centre.clone(),
        config_version: node.desired_version(),
        leaving: node.is_leaving(),
        store_reachable: node.store_reachable(),
        cpu_millis: node.settings.cpu_millis,
        peers_revision: node.known_members.borrow().revision,
        store_response_age_ms: Some(node.store_response_age_ms()),
        announced_epoch: 0,
    };
    let reply: v1::PeerHelloReply = post(node, address, HELLO_PATH, &message, timeout).await?;
    node.record_desired_source(reply.config_version, address);
    if reply.leads && reply.store_reachable && reply.config_version == node.desired_version() {
        node.record_desired_current(sent_ms);
    }
    Ok(reply)
}

/// Announces to an instance that this one has taken over under `epoch`.
pub async fn announce_leadership(
    node: &Node,
    address: &str,
    epoch: u64,
    timeout: Duration,
) -> Result<()> {
    let message = v1::PeerHello {
        address: node.peer_address(),
        announced_epoch: epoch,
        ..Default::default()
    };
    let _reply: v1::PeerHelloReply = post(node, address, HELLO_PATH, &message, timeout).await?;
    Ok(())
}

/// Records a heartbeat of a peer, and responds with this instance's view of the leader.
fn handle_heartbeat(node: &Node, hello: v1::PeerHello) -> v1::PeerHelloReply {
    if hello.announced_epoch > 0 {
        // A former leader learns of its successor from the store. Until then its responses must not name itself under the
        // epoch of the successor.
        if !node.leads() {
            node.follow(hello.announced_epoch, &hello.address);
        }
        return leadership_view(node);
    }
    let now_ms = clock::now().steady_ms;
    let store_response_ms = hello.store_response_age_ms.map_or(0, |ms| now_ms.saturating_sub(ms));
    let peer = Peer {
        last_heartbeat_ms: now_ms,
        leaving: hello.leaving,
        store_reachable: hello.store_reachable,
        store_response_ms,
        cpu_millis: hello.cpu_millis,
        data_centre: hello.data_centre,
    };
    node.members.borrow_mut().record_heartbeat(&hello.address, peer);
    node.record_desired_source(hello.config_version, &hello.address);
    let largest = node.largest_present(now_ms);
    let members = node.members.borrow();
    let is_known = hello.peers_revision == members.revision();
    v1::PeerHelloReply {
        peers: if is_known { Vec::new() } else { members.addresses() },
        peers_revision: members.revision(),
        most_cpu_millis: largest.cpu_millis,
        candidates: largest.count,
        heartbeat_interval_ms: members.heartbeat_interval_ms() as u32,
        ..leadership_view(node)
    }
}

/// Who leads, as far as this instance knows.
fn leadership_view(node: &Node) -> v1::PeerHelloReply {
    let view = node.leader.borrow().clone();
    v1::PeerHelloReply {
        leads: node.leads(),
        epoch: view.epoch,
        leader_address: view.address.unwrap_or_default(),
        store_reachable: node.store_reachable(),
        config_version: node.desired_version(),
        ..Default::default()
    }
}

/// Requests that a peer take over.
pub async fn request_takeover(
    node: &Node,
    address: &str,
    timeout: Duration,
) -> Result<v1::PeerHelloReply> {
    let former_leader = v1::PeerHello { leaving: node.is_leaving(), ..Default::default() };
    post(node, address, PROMOTE_PATH, &former_leader, timeout).await
}

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
async fn handle_work(node: &Node, work: v1::PeerWork) -> v1::PeerWorkReply {
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

/// Requests advice through a peer.
pub async fn advise_through_peer(
    node: &Node,
    address: &str,
    step: StepName,
    workers: &[WorkerName],
    timeout: Duration,
) -> Option<Advice> {
    let message = v1::PeerAdvise {
        step: step.to_string(),
        workers: workers.iter().map(|worker| worker.id().to_owned()).collect(),
        timeout_ms: timeout.as_millis() as u32,
    };
    let timeout = timeout + HOP_TIMEOUT;
    let reply: v1::PeerAdviseReply = post(node, address, ADVISE_PATH, &message, timeout)
        .await
        .inspect_err(
            |err| log::debug!(step:% = step, error:% = err; "advice call through a peer failed"),
        )
        .ok()?;
    if !reply.answered {
        return None;
    }
    let row = |row: v1::AdviceTicket| WorkerTicket {
        worker: WorkerName::from(row.worker.as_str()),
        ticket: row.ticket,
    };
    let advice = Advice {
        good: reply.good.into_iter().map(row).collect(),
        valid_ms: u64::from(reply.valid_ms.saturating_sub(reply.age_ms)),
    };
    Some(advice::attribute(advice, workers))
}

/// Requests advice directly from the advice service.
pub async fn advise(
    node: &Node,
    step: StepName,
    workers: &[WorkerName],
    timeout: Duration,
) -> Option<Advice> {
    let address = node.settings.advice_address.as_deref()?;
    let result = advice::request(&node.client, address, step, workers, timeout).await;
    node.metrics.advice(metrics::outcome(&result));
    result.inspect_err(|err| log::info!(step:% = step, error:% = err; "advice call failed")).ok()
}

/// Calls the advice service on behalf of the leader.
async fn handle_advise(node: &Node, request: v1::PeerAdvise) -> v1::PeerAdviseReply {
    let no_advice = v1::PeerAdviseReply::default();
    let Some(step) = parse_step(&request.step) else { return no_advice };
    let workers: Vec<WorkerName> =
        request.workers.iter().map(|name| WorkerName::from(name.as_str())).collect();
    let timeout = Duration::from_millis(u64::from(request.timeout_ms));
    let started = time::Instant::now();
    let Some(advice) = advise(node, step, &workers, timeout).await else { return no_advice };
    log::debug!(step:% = step, took_ms = started.elapsed().as_millis() as u64; "advice call completed");
    let row = |row: WorkerTicket| v1::AdviceTicket {
        worker: row.worker.id().to_owned(),
        ticket: row.ticket,
    };
    v1::PeerAdviseReply {
        answered: true,
        good: advice.good.into_iter().map(row).collect(),
        valid_ms: advice.valid_ms as u32,
        age_ms: 0,
        detail: String::new(),
    }
}

/// Parses the name of a step, which is the name of a task without its index.
fn parse_step(text: &str) -> Option<StepName> {
    let task: lilacpass_jobs::TaskName = format!("{text}.0").parse().ok()?;
    Some(task.step)
}
