//! Messages between instances: heartbeats to the leader, client requests forwarded to it, advice calls that it
//! delegates, and the orders and outcomes of relays.

pub mod advice_calls;
pub mod forwarding;
pub mod heartbeats;

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use lilacpass_core::size;
use lilacpass_platform::{
    client::{Call, Response as HttpResponse},
    desired::Limits,
    error::{Error, Result},
    server::{ReceivedRequest, Reply},
};
use lilacpass_schema::v1;
use prost::Message;

use crate::{desired_relay, election, node::Node, operator_api, relay_server};

const HELLO_PATH: &str = "/peer/hello";
const WORK_PATH: &str = "/peer/work";
const ADVISE_PATH: &str = "/peer/advise";
const PROMOTE_PATH: &str = "/peer/promote";
const CONFIG_PATH: &str = "/peer/config";
const ORDERS_PATH: &str = "/peer/orders";
const OUTCOMES_PATH: &str = "/peer/outcomes";
/// Messages may take this many times their transfer time on an idle link, because other traffic shares the link.
const LINK_FACTOR: u32 = 3;

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
            decode(&received.body).map(|hello| heartbeats::handle(&node, hello).encode_to_vec())
        }
        WORK_PATH => match decode::<v1::PeerWork>(&received.body) {
            Ok(work) => Ok(forwarding::handle(&node, work).await.encode_to_vec()),
            Err(err) => Err(err),
        },
        ADVISE_PATH => match decode::<v1::PeerAdvise>(&received.body) {
            Ok(request) => Ok(advice_calls::handle(&node, request).await.encode_to_vec()),
            Err(err) => Err(err),
        },
        PROMOTE_PATH => match decode::<v1::PeerHello>(&received.body) {
            Ok(request) => {
                election::take_over_on_request(&node, &request).await;
                Ok(heartbeats::leadership_view(&node).encode_to_vec())
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
