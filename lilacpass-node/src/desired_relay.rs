//! Transfer of the desired state between instances, for those that cannot reach the store.
//!
//! Heartbeats carry only its version. The desired state may be too large for a link to carry within the timeout of a
//! heartbeat. If every response included it, instances with thin links would take a healthy leader for unresponsive.

use std::{cell::Cell, cmp, rc::Rc, time::Duration};

use lilacpass_core::size::{self, BytesPerSecond};
use lilacpass_platform::{
    desired,
    error::{self, Result},
};
use lilacpass_schema::v1;
use prost::Message;
use rand::{RngExt, seq::IteratorRandom};
use tokio::time;

use crate::{clock, desired_message, metrics, node::Node, peers};

/// How long an instance waits for the store to deliver a newer version before it requests it from another instance, in
/// addition to the transfer time. The store pushes a change to all watchers at once; the platform allows 2 s for it to
/// take effect.
const STORE_WAIT: Duration = Duration::from_millis(800);
/// The wait for the store includes this many times the transfer time on an idle link, because other traffic shares the
/// link.
const LINK_FACTOR: u32 = 2;
/// Interval between checks of whether the wait is over.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for the beginning of a response, and for each pause within it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after each call, unless the peer asks for a longer one. Jitter is applied to it, so that the instances of a
/// data centre that is cut off do not send their requests at the same time.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause that an instance of an earlier version is asked for, in milliseconds. It learns of changes from the store.
const EARLIER_VERSION_PAUSE_MS: u32 = 5_000;
/// Share of the instance's own link that responses may use; the rest is left to heartbeats and client requests.
const LINK_SHARE: f64 = 0.5;

/// An instance that has reported a version of the desired state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredSource {
    /// The reported version.
    pub version: u64,
    /// Address of the instance for peers.
    pub address: String,
}

/// Limits the bandwidth of responses to a share of the link.
#[derive(Debug, Default)]
pub struct Pacing {
    /// Time from which the share of the link is free again, on the steady clock.
    free_at_ms: Cell<u64>,
}

impl Pacing {
    /// Reserves the link for as long as `bytes` take. Returns `None` if it was free, or else the time in milliseconds
    /// after which the peer should retry.
    pub fn reserve(&self, bytes: size::Bytes, link: BytesPerSecond, now_ms: u64) -> Option<u64> {
        let busy_ms = self.free_at_ms.get().saturating_sub(now_ms);
        if busy_ms > 0 {
            return Some(busy_ms);
        }
        let needed = link.time_for(bytes).div_f64(LINK_SHARE);
        self.free_at_ms.set(now_ms + needed.as_millis() as u64);
        None
    }
}

/// Responds to a peer that requests the desired state.
pub fn serve(node: &Node, request: &v1::PeerConfig) -> v1::PeerConfigReply {
    let newer = node.published().filter(|p| p.desired.version > request.known_version);
    let Some(published) = newer else { return v1::PeerConfigReply::default() };
    if !request.reads_state {
        return ask_to_retry(EARLIER_VERSION_PAUSE_MS);
    }
    let now_ms = clock::now().steady_ms;
    let bytes = size::Bytes(published.message.len() as u64);
    match node.desired_pacing.reserve(bytes, node.settings.link, now_ms) {
        Some(retry_after_ms) => ask_to_retry(u32::try_from(retry_after_ms).unwrap_or(u32::MAX)),
        None => v1::PeerConfigReply { state: published.message.to_vec(), ..Default::default() },
    }
}

fn ask_to_retry(retry_after_ms: u32) -> v1::PeerConfigReply {
    v1::PeerConfigReply { retry_after_ms, ..Default::default() }
}

/// Requests the desired state from other instances whenever a newer version has been known for longer than
/// [`store_wait`].
pub async fn run(node: Rc<Node>) {
    let mut behind_since_ms = None;
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let now_ms = clock::now().steady_ms;
        let Some(source) = node.newer_desired_source() else {
            behind_since_ms = None;
            continue;
        };
        let since_ms = *behind_since_ms.get_or_insert(now_ms);
        let bytes = node.published().map_or(0, |published| published.message.len());
        let store_wait = store_wait(size::Bytes(bytes as u64), node.settings.link);
        if now_ms < since_ms + store_wait.as_millis() as u64 {
            continue;
        }
        let pause = fetch(&node, &source).await;
        time::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.5))).await;
    }
}

/// How long to wait for the store to deliver a newer version, given the size of the current one.
///
/// If the state were requested while it is arriving from the store, it would be transferred twice over the same link,
/// and take twice as long.
pub fn store_wait(bytes: size::Bytes, link: BytesPerSecond) -> Duration {
    STORE_WAIT + link.time_for(bytes) * LINK_FACTOR
}

/// Requests the desired state from an instance, and adopts it. Returns the pause before the next call.
async fn fetch(node: &Node, source: &DesiredSource) -> Duration {
    let address = choose_peer(node, source);
    let result = request(node, &address, source).await;
    node.metrics.desired_read("instance", metrics::outcome(&result));
    match result {
        Ok(pause) => pause,
        Err(err) => {
            log::info!(peer = address.as_str(), error:% = err; "fetching the desired state from a peer failed");
            RETRY_PAUSE
        }
    }
}

async fn request(node: &Node, address: &str, source: &DesiredSource) -> Result<Duration> {
    let known_version = node.desired_version();
    let reply = peers::fetch_desired(node, address, known_version, RESPONSE_TIMEOUT).await?;
    if !reply.config.is_empty() || !reply.state.is_empty() {
        let state = decode(&reply).inspect_err(|_| {
            // Requesting an unreadable version repeatedly would fill the links of both instances.
            if address == source.address {
                node.unreadable_desired_version.set(source.version);
            }
        })?;
        node.publish(state, "instance");
    }
    Ok(cmp::max(RETRY_PAUSE, Duration::from_millis(u64::from(reply.retry_after_ms))))
}

/// Decodes the desired state in a response.
fn decode(reply: &v1::PeerConfigReply) -> Result<desired::Desired> {
    if reply.state.is_empty() {
        return desired::decode(&reply.config);
    }
    let state = v1::DesiredState::decode(reply.state.as_slice());
    state.map(desired_message::decode).map_err(|err| error::decode("desired state", err))
}

/// The reported source or any other instance, with equal probability. All instances of a data centre that is cut off
/// from the store send requests at the same time, and those that have the state by then share the load.
fn choose_peer(node: &Node, source: &DesiredSource) -> String {
    let own_address = node.peer_address();
    let known = node.known_members.borrow();
    let others = known.addresses.iter().filter(|address| **address != own_address);
    let random_peer = others.choose(&mut rand::rng()).cloned();
    random_peer.filter(|_| rand::rng().random()).unwrap_or_else(|| source.address.clone())
}
