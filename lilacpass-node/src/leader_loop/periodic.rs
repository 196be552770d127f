//! What the leader does at intervals: expiring deadlines, and updating lanes, relays, accounts, the leader record and
//! metrics.

use std::{mem, time::Duration};

use lilacpass_lead::{Event, Leader, Now, event::Lane};
use lilacpass_schema::v1;

use super::LeaderLoop;
use crate::{
    clock,
    node::Node,
    relay_choice::{Candidate, LeaderCapacity},
    stated_admission::StatedAdmission,
};

/// Interval between updates of the lanes (instances that can make advice calls) and of the relays, in milliseconds.
const LANES_INTERVAL_MS: u64 = 200;

/// Tells the leader the accounts of the desired state if it is newer than `known_version`. Returns the version that the
/// leader knows.
pub(super) fn tell_accounts(node: &Node, leader: &mut Leader, known_version: u64, now: Now) -> u64 {
    let newer = node.published().filter(|published| published.desired.version > known_version);
    let Some(published) = newer else { return known_version };
    let policies = published.desired.accounts.as_ref().map(|accounts| accounts.policies().to_vec());
    leader.handle(Event::Accounts(policies.unwrap_or_default()), now);
    published.desired.version
}

impl LeaderLoop {
    /// Handles a tick, and updates lanes, relays and metrics.
    pub(super) fn tick(&mut self) {
        let now = clock::now();
        self.renewal.record_progress(now.steady_ms);
        if now.steady_ms >= self.next_lanes_update_ms {
            self.next_lanes_update_ms = now.steady_ms + LANES_INTERVAL_MS;
            self.node.members.borrow_mut().remove_expired(now.steady_ms);
            let lanes = self.lanes(now.steady_ms);
            self.leader.handle(Event::Lanes(lanes), now);
            self.update_leader_record(now);
            self.node.metrics.worker_speeds(&self.leader.speeds_by_kind());
        }
        self.accounts_version =
            tell_accounts(&self.node, &mut self.leader, self.accounts_version, now);
        self.leader.handle(Event::Tick, now);
        let pressure = self.leader.pressure();
        let behind = Duration::from_millis(pressure.behind_ms());
        self.node.metrics.pressure(pressure.level(), behind);
        let admission = self.leader.admission();
        self.node.metrics.accepted_jobs(admission.share());
        self.node.stated_admission.set(StatedAdmission::new(admission, now));
        self.node.metrics.job_memory(self.leader.job_bytes());
        let counters = self.leader.take_counters();
        self.node.metrics.record_counters(&counters);
        let work = self.leader.work();
        self.node.metrics.scheduling_work(&work.since(&self.reported_work));
        self.reported_work = work;
        self.node.metrics.leader_busy(&mem::take(&mut self.busy));
    }

    /// Chooses the relays from the instances that are present, and records what the next leader needs to know of this
    /// one.
    fn update_leader_record(&self, now: Now) {
        let now_ms = now.steady_ms;
        let settings = &self.node.settings;
        let capacity = LeaderCapacity { cpu_millis: settings.cpu_millis, link: settings.link.0 };
        let members = self.node.members.borrow();
        let candidates = members.present(now_ms).map(|(address, peer)| Candidate {
            address,
            data_centre: &peer.data_centre,
            cpu_millis: peer.cpu_millis,
        });
        let former_leaders = self.node.former_leaders.borrow();
        let former_leaders = former_leaders.as_ref().map(|former| former.to_records(now_ms));
        let mut relays = self.node.relays.borrow_mut();
        relays.review(capacity, candidates.collect(), now_ms);
        let load = relays.load();
        let cpu_millis = |address: &str| members.cpu_millis(address);
        let in_use = relays.in_use().map(|(address, data_centre)| v1::RelayInstance {
            address: address.to_owned(),
            data_centre: data_centre.to_owned(),
            cpu_millis: cpu_millis(address),
        });
        self.renewal.update_record(|record| {
            record.former_leaders = former_leaders.unwrap_or_default();
            record.relays = in_use.collect();
            record.orders_per_second = load.orders as u32;
            record.order_bytes_per_second = load.bytes as u64;
        });
    }

    /// Waits longer for the leases of former leaders if the first renewal of this one was stored late. Until then, the
    /// store confirms the renewals of a former leader that still runs, and it goes on to extend leases.
    pub(super) fn record_first_renewal(&mut self, now: Now) {
        let Some(took_over_ms) = self.unrenewed_since_ms.take() else { return };
        let mut former = self.node.former_leaders.borrow_mut();
        let Some(former) = former.as_mut() else { return };
        former.record_late_renewal(now.steady_ms - took_over_ms);
        let expire_by_ms = former.leases_expire_by_ms();
        if expire_by_ms > now.steady_ms {
            self.leader.handle(Event::InheritedLeases { expire_by_ms }, now);
        }
    }

    /// Instances that can make advice calls: this one, and those that send it heartbeats.
    fn lanes(&self, now_ms: u64) -> Vec<Lane> {
        let members = self.node.members.borrow();
        let peers = members.reachable(now_ms).map(|(address, _)| Lane(address.to_owned()));
        peers.chain([Lane(self.node.peer_address())]).collect()
    }
}
