//! Transfer of desired states between instances.

use std::{cell::Cell, rc::Rc, time::Duration};

use http::StatusCode;
use lilacpass_core::size::{Bytes, BytesPerSecond};
use lilacpass_node::{
    desired_relay::{self, Pacing},
    node::Node,
};
use lilacpass_platform::{
    desired::Limits,
    server::{self, Reply},
};
use lilacpass_platform_standin::instances;
use lilacpass_schema::v1;
use prost::Message;
use tokio::{runtime, task, time};

/// Size of a large desired state.
const STATE_SIZE: Bytes = Bytes(800_000);
/// Bandwidth of a link of 10 Mbit/s.
const THIN: BytesPerSecond = BytesPerSecond(1_250_000);

/// Guards against an instance whose link is full for ten seconds, so that its responses to heartbeats are late. When a
/// data centre is cut off from the store, all of its instances request the desired state at the same time from the one
/// instance that they can reach.
#[test]
fn desired_states_fill_half_of_a_thin_link() {
    let pacing = Pacing::default();
    assert_eq!(pacing.reserve(STATE_SIZE, THIN, 1_000), None);
    assert_eq!(pacing.reserve(STATE_SIZE, THIN, 1_000), Some(1_280));
    assert_eq!(pacing.reserve(STATE_SIZE, THIN, 2_000), Some(280));
    assert_eq!(pacing.reserve(STATE_SIZE, THIN, 2_280), None);
}

/// Guards against transferring a desired state twice over the same thin link, from the store and from another instance,
/// which took twice as long.
#[test]
fn peers_are_not_asked_while_the_store_may_still_be_sending() {
    let thinnest = BytesPerSecond(250_000);
    assert!(desired_relay::store_wait(STATE_SIZE, thinnest) > thinnest.time_for(STATE_SIZE));
    let fast = BytesPerSecond(125_000_000);
    assert!(desired_relay::store_wait(STATE_SIZE, fast).as_millis() < 1_000);
}

#[test]
fn a_link_of_unknown_bandwidth_is_not_limited() {
    let pacing = Pacing::default();
    assert_eq!(pacing.reserve(STATE_SIZE, BytesPerSecond(0), 1_000), None);
    assert_eq!(pacing.reserve(STATE_SIZE, BytesPerSecond(0), 1_000), None);
}

fn node() -> Rc<Node> {
    Rc::new(Node::new(instances::settings("127.0.0.1:3", 0.0)))
}

/// Starts a peer that returns a desired state that cannot be decoded, and counts the requests. Returns its address.
fn open_peer(requests: Rc<Cell<u32>>) -> String {
    let listener = server::listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let handler = move |_request| {
        requests.set(requests.get() + 1);
        let reply = v1::PeerConfigReply { state: b"unreadable".to_vec(), ..Default::default() };
        async move { Reply::body(StatusCode::OK, reply.encode_to_vec().into()) }
    };
    task::spawn_local(server::serve(listener, Limits::default, handler));
    address
}

/// Guards against full links during an upgrade. Instances of the older version cannot decode a desired state of the
/// newer one. As they still knew of a newer version, each of them requested it three times a second, which filled its
/// own link and that of the peer until the upgrade was over.
#[test]
fn an_unreadable_desired_state_is_requested_once() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    task::LocalSet::new().block_on(&runtime, async {
        let requests = Rc::new(Cell::new(0));
        let peer = open_peer(requests.clone());
        let node = node();
        node.record_desired_source(5, &peer);
        task::spawn_local(desired_relay::run(node.clone()));
        time::sleep(Duration::from_secs(4)).await;
        assert_eq!(requests.get(), 1);
        // A later version may be readable.
        node.record_desired_source(6, &peer);
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(requests.get(), 2);
    });
}
