//! Which account a request of a client belongs to, judged by its API key.
//!
//! An instance judges by the newest desired state that it has. The leader judges again what other instances forward if
//! it has a newer one, so that a key that was removed does not work at an instance that is cut off from the store.

use lilacpass_core::{KeyDigest, ids::AccountId};
use lilacpass_lead::event::Requester;
use lilacpass_platform::{
    callers,
    desired::{Desired, Queue},
    server::{ReceivedRequest, Reply},
};
use lilacpass_schema::v1;

use http::StatusCode;

use crate::{clock, node::Node};

/// An unknown key is refused for good only if the desired state was current this recently, in milliseconds. Otherwise a
/// newer one may hold the key.
const MAX_DESIRED_AGE_MS: u64 = 2_000;
/// Retry-After, in seconds, of an instance that can't judge a key: by then the platform has redirected its clients, or
/// it has fetched the desired state.
const UNJUDGED_RETRY_S: u64 = 1;

/// The account of a request, and what it was judged by.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Access {
    /// The account; `None` if the queue is public or there are no accounts.
    pub account: Option<v1::AccountPolicy>,
    /// Digest of the presented key; `None` without an account.
    pub key: Option<KeyDigest>,
    /// Version of the desired state by which the key was judged.
    pub desired_version: u64,
}

impl Access {
    /// Returns who asks.
    pub fn requester(&self) -> Requester {
        Requester(self.account.as_ref().map(|policy| AccountId::new(&policy.name)))
    }
}

/// Finds the account of a request. The error is the response to a request whose key is not in force, or can't be
/// judged.
pub fn authorize(
    node: &Node,
    desired: &Desired,
    queue: &Queue,
    received: &ReceivedRequest,
) -> Result<Access, Reply> {
    let desired_version = desired.version;
    let needs_key = desired.accounts.is_some() || node.settings.has_accounts;
    if queue.is_public || !needs_key {
        return Ok(Access { desired_version, ..Access::default() });
    }
    let key = callers::presented_key(&received.headers);
    let account = key.and_then(|key| desired.accounts.as_ref()?.by_key(&key).cloned());
    if account.is_some() {
        return Ok(Access { account, key, desired_version });
    }
    let fingerprint = key.map_or_else(|| "none".to_owned(), |key| key.to_string());
    let is_judged = key.is_none() || is_desired_current(node);
    node.metrics.key_refused(is_judged);
    log::info!(
        method:% = received.method, path = received.path.as_str(), key = fingerprint.as_str(),
        desired_version, is_judged;
        "request refused by its key"
    );
    Err(if is_judged { callers::unauthorized() } else { unjudged() })
}

/// Judges a request again that another instance has judged by an older desired state. Returns the access that it has
/// now; `None` if its key is no longer in force. `queue` is the name of the queue of a submitted job.
pub fn review(node: &Node, access: Access, queue: Option<&str>) -> Option<Access> {
    let Some(key) = access.key else { return is_open(node, queue).then_some(access) };
    let newer =
        node.published().filter(|published| published.desired.version >= access.desired_version);
    let Some(published) = newer else { return Some(access) };
    let accounts = published.desired.accounts.as_ref();
    let Some(account) = accounts.and_then(|accounts| accounts.by_key(&key)).cloned() else {
        node.metrics.key_refused(true);
        log::info!(
            key:% = key, judged_by = access.desired_version, version = published.desired.version;
            "forwarded request refused by its key"
        );
        return None;
    };
    Some(Access { account: Some(account), ..access })
}

/// Whether jobs can be submitted to a queue without a key, as far as this instance knows. Instances of earlier versions
/// forward jobs without looking for a key.
fn is_open(node: &Node, queue: Option<&str>) -> bool {
    let (Some(name), Some(published)) = (queue, node.published()) else { return true };
    let desired = &published.desired;
    let needs_key = desired.accounts.is_some() || node.settings.has_accounts;
    let known = desired.queues.iter().find(|queue| queue.policy.name == name);
    !needs_key || known.is_none_or(|queue| queue.is_public)
}

/// Whether no newer desired state can have been published for longer than [`MAX_DESIRED_AGE_MS`].
fn is_desired_current(node: &Node) -> bool {
    let age_ms = clock::now().steady_ms.saturating_sub(node.desired_current_ms.get());
    node.newer_desired_source().is_none() && age_ms < MAX_DESIRED_AGE_MS
}

/// The response of an instance that may lack the newest keys. The request has not run.
fn unjudged() -> Reply {
    let reason = "this instance may not know the newest keys";
    let reply = Reply::error(StatusCode::SERVICE_UNAVAILABLE, reason);
    Reply { retry_after_s: Some(UNJUDGED_RETRY_S), ..reply }
}
