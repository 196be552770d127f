//! Creates the leader from what a take-over has found, and starts everything that runs while this instance leads.

use std::{collections::HashMap, rc::Rc};

use lilacpass_lead::{Event, Leader, Now, Options, work::SchedulingWork};
use lilacpass_schema::v1;
use tokio::{
    sync::{mpsc, watch},
    task,
};

use super::{LeaderLoop, periodic};
use crate::{
    announcement, clock,
    former_leaders::FormerLeaders,
    handover,
    intake::IntakeQueue,
    leader_handle::LeaderHandle,
    members::Peer,
    metrics::BusyTime,
    node::{LeaderView, Node},
    registry_watch,
    relay_choice::Load,
    relays::Relays,
    renewal::{self, RenewalState},
    resource_shares::ResourceShares,
    takeover::{self, NewLeadership},
};

/// Starts to lead.
pub fn start(node: &Rc<Node>, leadership: NewLeadership) {
    let (messages, inbox) = mpsc::unbounded_channel();
    let (end, ended) = watch::channel(false);
    let leader_options = options(node);
    let now = clock::now();
    let mut leader = Leader::new(leader_options.clone(), leadership.jobs, now);
    let accounts_version = periodic::tell_accounts(node, &mut leader, 0, now);
    *node.leader_handle.borrow_mut() = Some(LeaderHandle::new(messages.clone(), ended));
    let address = node.peer_address();
    node.leader.send_replace(LeaderView { epoch: leadership.epoch, address: Some(address) });
    let former = leadership.former.unwrap_or_default();
    let mut former_leaders =
        FormerLeaders::new(leader_options, leadership.last.as_ref(), Some(&former), now);
    // This process has stopped leading before it took over again.
    let stopped_ms = node.not_leading_since_ms.get();
    former_leaders.record_stop(&node.settings.instance, &node.peer_address(), stopped_ms);
    if leadership.last.is_some() {
        let expire_by_ms = former_leaders.leases_expire_by_ms();
        leader.handle(Event::InheritedLeases { expire_by_ms }, now);
    }
    *node.relays.borrow_mut() = inherit_relays(node, &former, leadership.epoch, now);
    node.metrics.took_over();
    task::spawn_local(registry_watch::run(node.clone(), messages.clone()));
    task::spawn_local(handover::run(node.clone(), leadership.epoch, messages.clone()));
    task::spawn_local(announcement::run(node.clone(), leadership.epoch, messages.clone()));
    let record = takeover::lead_record(node, leadership.epoch, &former_leaders, now);
    *node.former_leaders.borrow_mut() = Some(former_leaders);
    let renewal = RenewalState::new(record, now.steady_ms);
    let (epoch, sequence) = (leadership.epoch, leadership.sequence);
    let started = renewal::start(node, renewal.clone(), epoch, sequence, messages.clone());
    if let Err(err) = started {
        // Without renewals, another instance takes over soon.
        log::error!(error:% = err; "thread for renewals cannot be started");
    }
    let leader_loop = LeaderLoop {
        node: node.clone(),
        epoch,
        leader,
        renewal,
        accounts_version,
        messages,
        queue: IntakeQueue::default(),
        responders: HashMap::new(),
        next_request_id: 0,
        next_sequence: sequence + 1,
        next_lanes_update_ms: 0,
        unrenewed_since_ms: Some(now.steady_ms),
        is_deposed: false,
        busy: BusyTime::default(),
        reported_work: SchedulingWork::default(),
    };
    task::spawn_local(leader_loop.run(inbox, end));
}

/// Options of the leader within the bounds that the platform sets.
pub fn options(node: &Node) -> Options {
    let bounds = &node.settings.bounds;
    let defaults = Options::default();
    Options {
        lease_ms: defaults.lease_ms.min(bounds.max_lease_ms),
        longest_lease_ms: bounds.max_lease_ms,
        retention_ms: defaults.retention_ms.max(bounds.retention_ms),
        max_job_bytes: ResourceShares::from(&node.settings).job_bytes(),
        ..defaults
    }
}

/// The relays of the former leader. A new leader polls all workers at once, and has heard of no other instance yet.
fn inherit_relays(node: &Node, former: &v1::LeadRecord, epoch: u64, now: Now) -> Relays {
    let own_address = node.peer_address();
    let others = former.relays.iter().filter(|relay| relay.address != own_address);
    let mut members = node.members.borrow_mut();
    others
        .clone()
        .for_each(|relay| members.record_heartbeat(&relay.address, Peer::inherited(relay, now)));
    let load = Load {
        orders: f64::from(former.orders_per_second),
        bytes: former.order_bytes_per_second as f64,
    };
    Relays::inherit(epoch, others, load, now.steady_ms)
}
