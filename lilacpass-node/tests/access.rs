//! Which requests an instance admits by their API keys, and what it passes on about keys.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use lilacpass_core::KeyDigest;
use lilacpass_node::{
    access::{self, Access},
    clock, desired_message, desired_relay,
    node::Node,
};
use lilacpass_platform::{
    accounts::Accounts,
    desired::{Desired, Limits, Queue},
    server::{ReceivedRequest, Reply},
};
use lilacpass_platform_standin::instances;
use lilacpass_schema::v1;
use prost::Message;

const KEY: &str = "key-of-the-account";
const ADDED_KEY: &str = "key-that-is-added";

fn queue(name: &str, is_public: bool) -> Queue {
    Queue {
        host: "h".to_owned(),
        path_prefix: format!("/{name}/"),
        timeout_ms: 3_000,
        is_public,
        policy: v1::QueuePolicy { name: name.to_owned(), ..Default::default() },
    }
}

/// An account with a cap on its CPU, in thousandths of a core, and these keys.
fn account(max_cpu_milli: u64, keys: &[&str]) -> Accounts {
    let name = "account".to_owned();
    let policy = v1::AccountPolicy { name, weight: 2.0, max_cpu_milli, ..Default::default() };
    let mut accounts = Accounts::default();
    accounts.add(policy, keys.iter().map(|key| KeyDigest::of(key.as_bytes())));
    accounts
}

/// A desired state with a private and a public queue, and an account with these keys.
fn state(version: u64, keys: &[&str]) -> Desired {
    Desired {
        version,
        queues: vec![queue("private", false), queue("open", true)],
        accounts: Some(account(5_000, keys)),
        limits: Limits::default(),
    }
}

/// An instance with a desired state that was the newest one just now.
fn node(desired: Desired) -> Rc<Node> {
    let node = Rc::new(Node::new(instances::settings("127.0.0.1:3", 0.0)));
    node.publish(desired, "store");
    node.record_desired_current(clock::now().steady_ms);
    node
}

fn authorize(node: &Node, queue: &str, key: &str) -> Result<Access, Reply> {
    let published = node.published().expect("a desired state");
    let mut headers = HeaderMap::new();
    if !key.is_empty() {
        let value = HeaderValue::from_str(&format!("Token {key}")).expect("a header");
        headers.insert(header::AUTHORIZATION, value);
    }
    let path = format!("/{queue}/5c0e7a21d94b36f8");
    let queue = published.desired.queue("h", &path).expect("a queue");
    let (query, body) = (String::new(), Bytes::new());
    let received =
        ReceivedRequest { method: Method::GET, path: path.clone(), query, headers, body };
    access::authorize(node, &published.desired, queue, &received)
}

fn status(node: &Node, queue: &str, key: &str) -> Option<StatusCode> {
    authorize(node, queue, key).err().map(|reply| reply.status)
}

#[test]
fn keys_are_asked_for_unless_the_queue_is_public() {
    let node = node(state(1, &[KEY]));
    let access = authorize(&node, "private", KEY).expect("access");
    assert_eq!(access.account.map(|policy| policy.name).as_deref(), Some("account"));
    assert_eq!(status(&node, "private", ""), Some(StatusCode::UNAUTHORIZED));
    assert_eq!(status(&node, "private", "other"), Some(StatusCode::UNAUTHORIZED));
    for key in ["", "other", KEY] {
        let access = authorize(&node, "open", key).expect("access");
        assert_eq!((access.account, access.key), (None, None));
    }
}

#[test]
fn a_removed_key_stops_and_an_added_one_works_with_the_new_state() {
    let node = node(state(1, &[KEY]));
    node.publish(state(2, &[ADDED_KEY]), "instance");
    assert_eq!(status(&node, "private", KEY), Some(StatusCode::UNAUTHORIZED));
    assert_eq!(status(&node, "private", ADDED_KEY), None);
    // An older state that arrives later changes nothing.
    node.publish(state(1, &[KEY]), "store");
    assert_eq!(status(&node, "private", KEY), Some(StatusCode::UNAUTHORIZED));
}

/// Failure: a key was added and used at once at an instance that had not heard of it, whose caller was told for good
/// that nobody has this key.
#[test]
fn an_instance_that_may_lack_the_newest_keys_refuses_with_503() {
    let stale = Rc::new(Node::new(instances::settings("127.0.0.1:3", 0.0)));
    stale.publish(state(1, &[KEY]), "store");
    let reply = authorize(&stale, "private", ADDED_KEY).expect_err("a refusal");
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.retry_after_s.is_some());
    assert_eq!(status(&stale, "private", KEY), None, "keys that it knows work");
    assert_eq!(status(&stale, "private", ""), Some(StatusCode::UNAUTHORIZED));
    let behind = node(state(1, &[KEY]));
    behind.record_desired_source(2, "127.0.0.1:9");
    assert_eq!(status(&behind, "private", ADDED_KEY), Some(StatusCode::SERVICE_UNAVAILABLE));
}

/// Failure: a key was removed while an instance was cut off from the store, and its callers went on with it.
#[test]
fn the_leader_refuses_a_key_that_the_sender_did_not_know_to_be_removed() {
    let sender = node(state(1, &[KEY, ADDED_KEY]));
    let leader = node(state(2, &[ADDED_KEY]));
    let removed = authorize(&sender, "private", KEY).expect("access");
    assert_eq!(access::review(&leader, removed, None), None);
    let kept = authorize(&sender, "private", ADDED_KEY).expect("access");
    assert!(access::review(&leader, kept, None).is_some());
}

/// A leader that has not heard of the newest keys yet takes the word of an instance that has.
#[test]
fn the_leader_accepts_a_key_by_a_newer_state_of_the_sender() {
    let sender = node(state(2, &[ADDED_KEY]));
    let leader = node(state(1, &[KEY]));
    let access = authorize(&sender, "private", ADDED_KEY).expect("access");
    assert_eq!(access::review(&leader, access.clone(), None), Some(access));
}

/// The cap and the share that count are those of the newest state.
#[test]
fn the_leader_puts_its_own_policy_in_place_of_an_older_one() {
    let sender = node(state(1, &[KEY]));
    let newer = Desired { accounts: Some(account(1, &[KEY])), ..state(2, &[]) };
    let leader = node(newer);
    let access = authorize(&sender, "private", KEY).expect("access");
    let reviewed = access::review(&leader, access, None).expect("access");
    assert_eq!(reviewed.account.map(|policy| policy.max_cpu_milli), Some(1));
}

/// Instances of earlier versions forward jobs without looking for a key.
#[test]
fn a_job_that_was_forwarded_without_a_key_needs_a_public_queue() {
    let leader = node(state(1, &[KEY]));
    let access = Access::default();
    assert_eq!(access::review(&leader, access.clone(), Some("private")), None);
    assert!(access::review(&leader, access.clone(), Some("open")).is_some());
    assert!(access::review(&leader, access, None).is_some());
}

/// Where the platform has accounts, a state that lists none admits nobody to a private queue.
#[test]
fn keys_are_asked_for_where_the_settings_say_so() {
    let mut settings = instances::settings("127.0.0.1:3", 0.0);
    let desired = Desired { accounts: None, ..state(1, &[]) };
    let open = node(desired.clone());
    assert_eq!(status(&open, "private", ""), None);
    settings.has_accounts = true;
    let strict = Rc::new(Node::new(settings));
    strict.publish(desired, "store");
    strict.record_desired_current(clock::now().steady_ms);
    assert_eq!(status(&strict, "private", ""), Some(StatusCode::UNAUTHORIZED));
}

#[test]
fn a_desired_state_is_passed_on_with_digests_and_without_keys() {
    let desired = state(7, &[KEY, ADDED_KEY]);
    let node = node(desired.clone());
    let reads_state = |reads_state| v1::PeerConfig { known_version: 6, reads_state };
    let reply = desired_relay::serve(&node, &reads_state(true));
    assert!(!reply.state.windows(KEY.len()).any(|bytes| bytes == KEY.as_bytes()));
    let state = v1::DesiredState::decode(reply.state.as_slice()).expect("a state");
    assert_eq!(desired_message::decode(state), desired);
    let earlier_version = desired_relay::serve(&node, &reads_state(false));
    assert!(earlier_version.state.is_empty() && earlier_version.retry_after_ms > 0);
}
