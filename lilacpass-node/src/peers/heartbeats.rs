//! Heartbeats of instances to the leader, announcements of a new leader, and requests to take over.

use std::time::Duration;

use lilacpass_platform::error::Result;
use lilacpass_schema::v1;

use super::{HELLO_PATH, PROMOTE_PATH, post};
use crate::{clock, forward_slots, members::Peer, node::Node};

/// Sends a heartbeat to the leader, or to an instance that may know it.
pub async fn send(node: &Node, address: &str, timeout: Duration) -> Result<v1::PeerHelloReply> {
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
        followed_epoch: if node.leads() { 0 } else { node.leader.borrow().epoch },
        not_leading_ms: sent_ms.saturating_sub(node.not_leading_since_ms.get()),
        led_epoch: 0,
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
pub(super) fn handle(node: &Node, hello: v1::PeerHello) -> v1::PeerHelloReply {
    if hello.announced_epoch > 0 {
        // A former leader learns of its successor from the store. Until then its responses must not name itself under the
        // epoch of the successor.
        if !node.leads() {
            node.follow(hello.announced_epoch, &hello.address);
        }
        return leadership_view(node);
    }
    let now_ms = clock::now().steady_ms;
    node.note_former_leader(&hello, now_ms);
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
    let max_connections = node.peers.capacity().connections;
    let members = node.members.borrow();
    let is_known = hello.peers_revision == members.revision();
    let reply = v1::PeerHelloReply {
        peers: if is_known { Vec::new() } else { members.addresses() },
        peers_revision: members.revision(),
        most_cpu_millis: largest.cpu_millis,
        candidates: largest.count,
        heartbeat_interval_ms: members.heartbeat_interval_ms() as u32,
        max_forwards: forward_slots::limit_for(max_connections, members.count()) as u32,
        ..leadership_view(node)
    };
    node.stated_admission.get().encode(reply)
}

/// Who leads, as far as this instance knows.
pub(super) fn leadership_view(node: &Node) -> v1::PeerHelloReply {
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

/// Requests that a peer take over from this instance, which leads under `epoch`.
pub async fn request_takeover(
    node: &Node,
    address: &str,
    epoch: u64,
    timeout: Duration,
) -> Result<v1::PeerHelloReply> {
    let former_leader =
        v1::PeerHello { leaving: node.is_leaving(), led_epoch: epoch, ..Default::default() };
    post(node, address, PROMOTE_PATH, &former_leader, timeout).await
}
