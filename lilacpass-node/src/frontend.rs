//! Client requests: validated here, then executed by the leader.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use lilacpass_core::Verdict;
use lilacpass_lead::{
    event::{Request, Response},
    requests::retry_after_ms,
};
use lilacpass_platform::{
    callers::{self, Operation},
    desired::Desired,
    server::{ReceivedRequest, Reply},
};
use tokio::{
    sync::OwnedSemaphorePermit,
    time::{self, Instant},
};

use crate::{
    access::{self, Access},
    clock,
    leader_handle::LeaderHandle,
    node::Node,
    peers::forwarding::{self, Forwarded},
};

/// Subtracted from the client's timeout, so that the response arrives before the client gives up.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// How long a request waits for a leader before it is refused, unless this instance knows that it is cut off. A
/// take-over takes about a second when the former leader has lost power.
const MAX_LEADER_WAIT: Duration = Duration::from_millis(1_900);
/// Pause before a request is forwarded again.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Requests are not forwarded to a leader that has not responded to a heartbeat for one interval plus this long, in
/// milliseconds: the heartbeat timeout, rounded up. It might execute them without its response arriving, and their
/// outcome would be uncertain. A request that is not forwarded is refused as not executed.
const FORWARD_SLACK_MS: u64 = 300;
/// Retry-After, in seconds, before the first desired state is known.
const NO_DESIRED_STATE_RETRY_S: u64 = 1;
/// An instance is not ready if its leader has not responded for one heartbeat interval plus this long, in milliseconds.
/// The platform redirects clients only after the instance has been unready for a second or two. By then a lost leader has
/// long been replaced.
const READY_SLACK_MS: u64 = 200;
/// A leader is not ready if the store has been failing for this long, in milliseconds.
const MAX_READY_STORE_FAILING_MS: u64 = 400;

/// Answers the platform's readiness check.
pub async fn ready(node: Rc<Node>, received: ReceivedRequest) -> Reply {
    if received.path != callers::READY_PATH {
        return Reply::error(StatusCode::NOT_FOUND, "no such path");
    }
    let is_ready = node.published().is_some() && has_leader(&node) && !node.is_leaving();
    if node.reported_ready.replace(is_ready) != is_ready {
        log::info!(
            is_ready, leads = node.leads(), leader_silent_ms = leader_unresponsive_ms(&node),
            leader_store_reachable = node.leader_store_reachable.get(),
            leaving = node.is_leaving();
            "readiness changed"
        );
    }
    Reply::status(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Whether there is a leader that accepts jobs, which requires that it can reach the store. Clients of a data centre
/// that is cut off are better served by another data centre. They are redirected there once no instance of their own is
/// ready.
fn has_leader(node: &Node) -> bool {
    if node.leads() {
        node.store_failing_ms() < MAX_READY_STORE_FAILING_MS
    } else {
        !node.cut_off.get()
            && missed_heartbeat_ms(node) < READY_SLACK_MS
            && node.leader_store_reachable.get()
    }
}

/// Serves a client request.
pub async fn serve(node: Rc<Node>, mut received: ReceivedRequest) -> Reply {
    if received.path == callers::READY_PATH {
        return ready(node, received).await;
    }
    let arrived = Instant::now();
    let open = OpenRequest::new(&node);
    let reply = handle(&node, &mut received).await;
    drop(open);
    node.metrics.request(reply.status, arrived.elapsed());
    // Clients are redirected by closing the connection. An open connection would keep the client at this instance,
    // which would go on refusing its requests.
    let is_refused = reply.status == StatusCode::SERVICE_UNAVAILABLE && !has_leader(&node);
    Reply { close: reply.close || is_refused || node.is_leaving(), ..reply }
}

/// Guard that counts a client request or a relayed order as open until the guard is dropped. When a client disconnects,
/// the future that serves its request is dropped. Without the guard the count would stay too high, and a planned stop
/// would wait in vain for it to reach 0.
pub struct OpenRequest<'a>(&'a Node);

impl<'a> OpenRequest<'a> {
    /// Increments the number of open requests.
    pub fn new(node: &'a Node) -> Self {
        node.open_requests.set(node.open_requests.get() + 1);
        Self(node)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Refuses a request with a large body by its head alone, if possible, so that its body takes up no memory.
pub fn check_head(node: &Node, received: &ReceivedRequest) -> Result<(), Reply> {
    let published = node.published().ok_or_else(no_desired_state)?;
    let queue = callers::find_queue(&published.desired, received)?;
    access::authorize(node, &published.desired, queue, received).map(drop)
}

/// Validates a request and has the leader execute it.
async fn handle(node: &Node, received: &mut ReceivedRequest) -> Reply {
    let Some(published) = node.published() else { return no_desired_state() };
    match admit(node, &published.desired, received) {
        Ok((access, request)) => {
            // The decoded request takes its place.
            received.body = Bytes::new();
            execute(node, received, access, request).await
        }
        Err(reply) => reply,
    }
}

/// The response of an instance that knows no desired state yet.
fn no_desired_state() -> Reply {
    let reply = Reply::error(StatusCode::SERVICE_UNAVAILABLE, "no desired state is known yet");
    Reply { retry_after_s: Some(NO_DESIRED_STATE_RETRY_S), ..reply }
}

/// Finds the account of a request and decodes it. The error is the response to a request that can't be served.
fn admit<'a>(
    node: &Node,
    desired: &'a Desired,
    received: &ReceivedRequest,
) -> Result<(Access, callers::Request<'a>), Reply> {
    let queue = callers::find_queue(desired, received)?;
    let access = access::authorize(node, desired, queue, received)?;
    let request = callers::decode_for(queue, received)?;
    Ok((access, request))
}

/// Has the leader execute a request.
async fn execute(
    node: &Node,
    received: &ReceivedRequest,
    access: Access,
    request: callers::Request<'_>,
) -> Reply {
    let queue = &request.queue.policy;
    let leader_request = match request.operation {
        Operation::Submit(job, plan) => {
            let account = access.account.clone().map(Box::new);
            Request::Submit { job, plan, queue: queue.clone(), account }
        }
        Operation::State(job) => Request::State(job, access.requester()),
        Operation::Cancel(job) => Request::Cancel(job, access.requester()),
        Operation::Pending => Request::Pending { queue: queue.name.clone() },
    };
    let timeout_ms = match request.queue.timeout_ms {
        0 => request.deadline_ms,
        timeout_ms => request.deadline_ms.min(timeout_ms),
    };
    let timeout = Duration::from_millis(timeout_ms).saturating_sub(RESPONSE_MARGIN);
    let response = match refusal_for_leader(node, &leader_request) {
        Some(refusal) => refusal,
        None => request_from_leader(node, leader_request, &access, timeout).await,
    };
    match &response {
        Response::Refused { reason, .. } => {
            log::info!(method:% = received.method, path = received.path.as_str(), reason; "request refused");
        }
        Response::Uncertain => {
            log::info!(method:% = received.method, path = received.path.as_str(); "outcome of request is uncertain");
        }
        _ => {}
    }
    callers::encode(&response)
}

/// Returns the refusal of a request that the leader would refuse because it is behind. The leader itself decides after it has
/// looked whether it knows the job.
fn refusal_for_leader(node: &Node, request: &Request) -> Option<Response> {
    let is_current = !node.leads() && missed_heartbeat_ms(node) < FORWARD_SLACK_MS;
    node.stated_admission.get().refusal(request).filter(|_| is_current)
}

/// Sends a request to the leader, and to its successor if there is one, until there is a response or time is up. All
/// client requests are idempotent, so they may be sent twice.
async fn request_from_leader(
    node: &Node,
    request: Request,
    access: &Access,
    timeout: Duration,
) -> Response {
    let start = Instant::now();
    let end = start + timeout;
    let refuse_at = start + MAX_LEADER_WAIT.min(timeout);
    let mut may_have_run = false;
    let mut is_leader_busy = false;
    let mut changes = node.leader.subscribe();
    loop {
        changes.mark_unchanged();
        let now = Instant::now();
        let should_refuse = now >= refuse_at || node.cut_off.get();
        if now >= end || should_refuse && !may_have_run {
            break;
        }
        let destination = tokio::select! {
            destination = find_destination(node) => destination,
            _ = changes.changed() => continue,
            () = time::sleep_until(if may_have_run { end } else { refuse_at }) => {
                is_leader_busy = true;
                continue;
            }
        };
        let Some(destination) = destination else {
            time::sleep(RETRY_PAUSE.min(end - now)).await;
            continue;
        };
        let forwarded = send(node, destination, &request, access, end);
        // A leader that has been replaced will not respond any more.
        let forwarded = tokio::select! {
            forwarded = forwarded => forwarded,
            _ = changes.changed() => Forwarded::Failed(Verdict::MayHaveRun),
            () = time::sleep_until(end) => Forwarded::Failed(Verdict::MayHaveRun),
        };
        match forwarded {
            Forwarded::Completed(response) => {
                return account_for_earlier_attempts(response, may_have_run);
            }
            Forwarded::NotLeading | Forwarded::Failed(Verdict::NotRun) => {}
            Forwarded::Failed(Verdict::MayHaveRun | Verdict::Ran) => may_have_run = true,
        }
        time::sleep(RETRY_PAUSE.min(end.saturating_duration_since(Instant::now()))).await;
    }
    if may_have_run {
        return Response::Uncertain;
    }
    let retry_after_ms = retry_after_ms(leader_unresponsive_ms(node));
    let reason = if is_leader_busy { "the leader is busy" } else { "no leader is known" };
    Response::Refused { reason, retry_after_ms }
}

/// Where a request is sent.
enum Destination {
    /// To the leader of this instance.
    Own(LeaderHandle),
    /// To the instance with this address, as one of those that may be forwarded at the same time.
    Other(String, OwnedSemaphorePermit),
}

/// Waits until a request may be sent to the leader. Returns `None` if no leader is known to respond.
async fn find_destination(node: &Node) -> Option<Destination> {
    if let Some(leader) = node.leader_handle.borrow().clone() {
        return Some(Destination::Own(leader));
    }
    let address = node.leader.borrow().address.clone();
    let address = address.filter(|_| missed_heartbeat_ms(node) < FORWARD_SLACK_MS)?;
    Some(Destination::Other(address, node.forward_slots.acquire().await))
}

/// Sends a request to the leader and waits for the response until `end`.
async fn send(
    node: &Node,
    destination: Destination,
    request: &Request,
    access: &Access,
    end: Instant,
) -> Forwarded {
    match destination {
        Destination::Own(leader) => match leader.request(request.clone()).await {
            Some(response) => Forwarded::Completed(response),
            None => Forwarded::Failed(Verdict::MayHaveRun),
        },
        Destination::Other(address, _slot) => {
            let timeout = end.saturating_duration_since(Instant::now());
            let forwarded = forwarding::forward(node, &address, request, access, timeout).await;
            if matches!(forwarded, Forwarded::Failed(_)) {
                node.leader_doubted.notify_one();
            }
            forwarded
        }
    }
}

/// Time since the last response of the leader, in milliseconds.
fn leader_unresponsive_ms(node: &Node) -> u64 {
    clock::now().steady_ms.saturating_sub(node.last_leader_response_ms.get())
}

/// How long the next response to a heartbeat is overdue, in milliseconds; 0 if it is not.
fn missed_heartbeat_ms(node: &Node) -> u64 {
    leader_unresponsive_ms(node).saturating_sub(node.heartbeat_interval_ms.get())
}

/// Turns a refusal into an uncertain outcome if an earlier attempt may have been executed.
fn account_for_earlier_attempts(response: Response, may_have_run: bool) -> Response {
    match response {
        Response::Refused { .. } | Response::Unauthorized if may_have_run => Response::Uncertain,
        response => response,
    }
}
