//! The desired state from one instance to another, for those that the store does not answer.
//!
//! Greetings tell the version alone. The desired state itself may be larger than a link carries in the time of
//! a greeting: if it came with each answer, instances with thin links would take a sound leader for silent.

use std::{cell::Cell, cmp, rc::Rc, time::Duration};

use bytes::Bytes;
use lilacpass_core::size::{self, BytesPerSecond};
use lilacpass_platform::{desired, error::Result};
use lilacpass_schema::v1;
use rand::{RngExt, seq::IteratorRandom};
use tokio::time;

use crate::{clock, metrics, node::Node, peers};

/// How long an instance may know of a newer version before it asks another instance, beside the time that the
/// version needs on its link. The store hands a change to all that follow it at once; the platform allows 2 s.
const STORE_WAIT: Duration = Duration::from_millis(800);
/// How many times as long as a state needs on the link its arrival from the store is waited for. Others use the link
/// too.
const LINK_FACTOR: u32 = 2;
/// Time between looks whether that has passed.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long an instance may take to begin its answer, and may pause within it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a call that brought nothing. Spread, so that instances of a cut-off data centre do not ask
/// all together.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Part of the own link that answers may fill; the rest stays free for greetings and callers.
const LINK_SHARE: f64 = 0.5;

/// A version that another instance is known to have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredSource {
    /// The version.
    pub version: u64,
    /// The instance.
    pub address: String,
}

/// Spaces out answers, so that they fill no more than part of the link.
#[derive(Debug, Default)]
pub struct Pacing {
    free_at_ms: Cell<u64>,
}

impl Pacing {
    /// Takes the time that `bytes` need on a link. Returns how long to wait before asking again where the link
    /// is taken.
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

/// Answers an instance that asks for the desired state.
pub fn serve(node: &Node, question: &v1::PeerConfig) -> v1::PeerConfigReply {
    let newer = node.published().filter(|p| p.desired.version > question.known_version);
    let Some(published) = newer else { return v1::PeerConfigReply::default() };
    let now_ms = clock::now().steady_ms;
    let bytes = size::Bytes(published.bytes.len() as u64);
    match node.desired_pacing.reserve(bytes, node.settings.link, now_ms) {
        Some(retry_after_ms) => v1::PeerConfigReply {
            config: Vec::new(),
            retry_after_ms: u32::try_from(retry_after_ms).unwrap_or(u32::MAX),
        },
        None => v1::PeerConfigReply { config: published.bytes.to_vec(), retry_after_ms: 0 },
    }
}

/// Asks others for the desired state whenever this instance has known of a newer one for some time.
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
        let bytes = node.published().map_or(0, |published| published.bytes.len());
        let store_wait = store_wait(size::Bytes(bytes as u64), node.settings.link);
        if now_ms < since_ms + store_wait.as_millis() as u64 {
            continue;
        }
        let pause = fetch(&node, &source).await;
        time::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.5))).await;
    }
}

/// How long the store is left to bring a newer version, where the one here has so many bytes.
///
/// Asked for while it is arriving, the state comes twice over the same link and takes twice as long.
pub fn store_wait(bytes: size::Bytes, link: BytesPerSecond) -> Duration {
    STORE_WAIT + link.time_for(bytes) * LINK_FACTOR
}

/// Asks an instance for its desired state, and takes it in. Returns how long to wait before the next call.
async fn fetch(node: &Node, source: &DesiredSource) -> Duration {
    let address = choose_peer(node, source);
    let result = request(node, &address, source).await;
    node.metrics.desired_read("instance", metrics::outcome(&result));
    match result {
        Ok(pause) => pause,
        Err(err) => {
            log::info!(peer = address.as_str(), error:% = err; "desired state is not obtained");
            RETRY_PAUSE
        }
    }
}

async fn request(node: &Node, address: &str, source: &DesiredSource) -> Result<Duration> {
    let known_version = node.desired_version();
    let reply = peers::fetch_desired(node, address, known_version, RESPONSE_TIMEOUT).await?;
    if !reply.config.is_empty() {
        let state = desired::decode(&reply.config).inspect_err(|_| {
            // Fetched again and again, it would fill both links for as long as this instance can't read it.
            if address == source.address {
                node.unreadable_desired_version.set(source.version);
            }
        })?;
        node.publish(state, Bytes::from(reply.config), "instance");
    }
    Ok(cmp::max(RETRY_PAUSE, Duration::from_millis(u64::from(reply.retry_after_ms))))
}

/// The instance that is known to have it, or any other: a data centre that is cut off from the store asks all
/// at once, and those that have it by then share the work.
fn choose_peer(node: &Node, source: &DesiredSource) -> String {
    let own_address = node.peer_address();
    let known = node.known_members.borrow();
    let others = known.addresses.iter().filter(|address| **address != own_address);
    let any = others.choose(&mut rand::rng()).cloned();
    any.filter(|_| rand::rng().random()).unwrap_or_else(|| source.address.clone())
}
