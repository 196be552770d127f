//! State that is shared by all parts of an instance.

use std::{
    cell::{Cell, RefCell},
    cmp,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use lilacpass_core::RetryBudget;
use lilacpass_lead::Event;
use lilacpass_platform::{
    accepted::AcceptedConnections,
    client::Client,
    desired::{Desired, Limits},
    settings::Settings,
    store::Store,
    workers::Workers,
};
use lilacpass_schema::v1;
use prost::Message;
use tokio::sync::{Notify, watch};

use crate::{
    clock, desired_message,
    desired_relay::{DesiredSource, Pacing},
    former_leaders::FormerLeaders,
    forward_slots::ForwardSlots,
    leader_handle::LeaderHandle,
    members::{self, KnownMembers, Largest, Members},
    metrics::Metrics,
    relay_server::PendingOutcomes,
    relays::Relays,
    resource_shares::ResourceShares,
    stated_admission::StatedAdmission,
};

/// The current leader, as far as this instance knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderView {
    /// Epoch of the leader; 0 while no leader is known.
    pub epoch: u64,
    /// Address of the leader for peers; `None` while no leader is known.
    pub address: Option<String>,
}

/// A desired state in decoded and in published form.
#[derive(Debug)]
pub struct Published {
    /// The decoded desired state.
    pub desired: Desired,
    /// The encoded message in which it is passed on to peers that cannot reach the store.
    pub message: Bytes,
}

/// State that is shared by all parts of an instance.
pub struct Node {
    /// Settings that the platform provides to this instance.
    pub settings: Settings,
    /// HTTP client for calls to other services and instances.
    pub client: Client,
    /// Client of the store.
    pub store: Store,
    /// Client for orders to workers.
    pub workers: Workers,
    /// Limits how many orders are sent a second time.
    pub order_budget: RetryBudget,
    /// The newest desired state that this instance has.
    pub desired: RefCell<Option<Rc<Published>>>,
    /// When the desired state was last known to be the newest one, on the steady clock; 0 before that.
    pub desired_current_ms: Cell<u64>,
    /// The newest version of the desired state that another instance has reported.
    pub desired_source: RefCell<Option<DesiredSource>>,
    /// Highest version that was fetched from another instance and could not be decoded here; 0 if there is none.
    pub unreadable_desired_version: Cell<u64>,
    /// Limits the bandwidth spent on peers that request the desired state.
    pub desired_pacing: Pacing,
    /// The current leader, as far as this instance knows.
    pub leader: watch::Sender<LeaderView>,
    /// Handle to the leader loop while this instance leads.
    pub leader_handle: RefCell<Option<LeaderHandle>>,
    /// Time of the last response of the leader, on the steady clock.
    pub last_leader_response_ms: Cell<u64>,
    /// Whether the last heartbeat to the leader failed.
    pub leader_unresponsive: Cell<bool>,
    /// Whether neither the leader nor the store responds, so that this instance would not learn of a new leader soon.
    pub cut_off: Cell<bool>,
    /// Readiness that was last reported to the platform.
    pub reported_ready: Cell<bool>,
    /// Whether the leader last reported that it can reach the store.
    pub leader_store_reachable: Cell<bool>,
    /// Time of the last response of the store, on the steady clock.
    pub last_store_response_ms: Cell<u64>,
    /// Notified of each response of the store.
    pub store_responded: Notify,
    /// Time since which the store has been refusing all calls, on the steady clock; `None` if it has refused none
    /// since its last response.
    pub store_failing_since_ms: Cell<Option<u64>>,
    /// Estimated latency of an append to the store.
    pub append_latency: Cell<Duration>,
    /// Whether this instance is completing a take-over.
    pub taking_over: Cell<bool>,
    /// Since when this process has not led, on the steady clock.
    pub not_leading_since_ms: Cell<u64>,
    /// The leaders before this one, while this instance leads.
    pub former_leaders: RefCell<Option<FormerLeaders>>,
    /// Whether the process has been asked to stop.
    pub leaving: watch::Sender<bool>,
    /// Instances that send heartbeats to this one.
    pub members: RefCell<Members>,
    /// The largest instances that could lead, as reported by the leader; all 0 before the first report.
    pub largest: Cell<Largest>,
    /// Interval between heartbeats to the leader, as the leader has requested, in milliseconds.
    pub heartbeat_interval_ms: Cell<u64>,
    /// Limits how many requests are forwarded to the leader at the same time.
    pub forward_slots: ForwardSlots,
    /// Which new jobs the leader has accepted lately, as it has stated last.
    pub stated_admission: Cell<StatedAdmission>,
    /// Notified when a request could not be forwarded to the leader.
    pub leader_doubted: Notify,
    /// Instances that the leader has listed.
    pub known_members: RefCell<KnownMembers>,
    /// Relays of this leadership; empty while this instance does not lead.
    pub relays: RefCell<Relays>,
    /// Outcomes of relayed orders that are yet to be sent to the leader.
    pub pending_outcomes: RefCell<PendingOutcomes>,
    /// The connections of callers.
    pub callers: Rc<AcceptedConnections>,
    /// The connections of other instances and operators.
    pub peers: Rc<AcceptedConnections>,
    /// Number of client requests and relayed orders in progress.
    pub open_requests: Cell<u64>,
    /// Metrics of this instance.
    pub metrics: Metrics,
}

/// A heartbeat of a former leader is passed on to the leader if it shortens the wait for leases by this time, in
/// milliseconds. The time that heartbeats take differs by some milliseconds from one to the next.
const MIN_SHORTER_WAIT_MS: u64 = 100;

impl Node {
    /// Creates an instance that knows only its settings.
    pub fn new(settings: Settings) -> Self {
        let client = Client::default();
        let shares = ResourceShares::from(&settings);
        let store = Store::new(client.clone(), settings.store_address.clone());
        Self {
            store,
            workers: Workers::default(),
            order_budget: RetryBudget::default(),
            client,
            settings,
            desired: RefCell::new(None),
            desired_current_ms: Cell::new(0),
            desired_source: RefCell::new(None),
            unreadable_desired_version: Cell::new(0),
            desired_pacing: Pacing::default(),
            leader: watch::Sender::new(LeaderView::default()),
            leader_handle: RefCell::new(None),
            last_leader_response_ms: Cell::new(0),
            leader_unresponsive: Cell::new(false),
            cut_off: Cell::new(false),
            reported_ready: Cell::new(false),
            leader_store_reachable: Cell::new(true),
            last_store_response_ms: Cell::new(0),
            store_responded: Notify::new(),
            store_failing_since_ms: Cell::new(None),
            append_latency: Cell::new(Duration::ZERO),
            taking_over: Cell::new(false),
            not_leading_since_ms: Cell::new(clock::now().steady_ms),
            former_leaders: RefCell::default(),
            leaving: watch::Sender::new(false),
            members: RefCell::default(),
            largest: Cell::default(),
            heartbeat_interval_ms: Cell::new(members::MIN_HEARTBEAT_INTERVAL_MS),
            forward_slots: ForwardSlots::default(),
            stated_admission: Cell::default(),
            leader_doubted: Notify::new(),
            known_members: RefCell::default(),
            relays: RefCell::default(),
            pending_outcomes: RefCell::default(),
            callers: AcceptedConnections::new("callers", shares.callers()),
            peers: AcceptedConnections::new("peers", shares.peers()),
            open_requests: Cell::new(0),
            metrics: Metrics::default(),
        }
    }

    /// Address at which other instances reach this one.
    pub fn peer_address(&self) -> String {
        format!("{}:{}", self.settings.ip, self.settings.first_peer_port)
    }

    /// The largest instances that could lead: this one, and those that send it heartbeats and reach the store.
    pub fn largest_present(&self, now_ms: u64) -> Largest {
        let peers = self.members.borrow_mut().largest(now_ms);
        let own_cpu_millis = self.settings.cpu_millis;
        match peers.cpu_millis.cmp(&own_cpu_millis) {
            cmp::Ordering::Less => Largest { cpu_millis: own_cpu_millis, count: 1 },
            cmp::Ordering::Equal => Largest { count: peers.count + 1, ..peers },
            cmp::Ordering::Greater => peers,
        }
    }

    /// The current limits on callers.
    pub fn limits(&self) -> Limits {
        self.desired.borrow().as_ref().map(|p| p.desired.limits).unwrap_or_default()
    }

    /// The newest desired state that this instance has.
    pub fn published(&self) -> Option<Rc<Published>> {
        self.desired.borrow().clone()
    }

    /// Version of the newest desired state that this instance has; 0 if it has none.
    pub fn desired_version(&self) -> u64 {
        self.desired.borrow().as_ref().map_or(0, |published| published.desired.version)
    }

    /// Adopts a desired state, unless a version at least as new is known.
    pub fn publish(&self, desired: Desired, source: &str) {
        if desired.version <= self.desired_version() {
            return;
        }
        log::info!(
            version = desired.version, queues = desired.queues.len(),
            accounts = desired.accounts.as_ref().map_or(0, |accounts| accounts.policies().len()),
            source;
            "desired state adopted"
        );
        self.metrics.desired_version(desired.version);
        let message = Bytes::from(desired_message::encode(&desired).encode_to_vec());
        *self.desired.borrow_mut() = Some(Rc::new(Published { desired, message }));
    }

    /// Records that the desired state was the newest one at `now_ms` on the steady clock.
    pub fn record_desired_current(&self, now_ms: u64) {
        self.desired_current_ms.set(self.desired_current_ms.get().max(now_ms));
    }

    /// Records that another instance has a version of the desired state. Versions that are not newer than this
    /// instance's own would never be requested, and heartbeats report them several times a second from each instance.
    pub fn record_desired_source(&self, version: u64, address: &str) {
        if version <= self.desired_version() {
            return;
        }
        let mut source = self.desired_source.borrow_mut();
        // The instance that reported it last is the most likely to be alive.
        if source.as_ref().is_none_or(|known| known.version <= version) {
            *source = Some(DesiredSource { version, address: address.to_owned() });
        }
    }

    /// The source of a version that is newer than this instance's own and not known to be unreadable.
    pub fn newer_desired_source(&self) -> Option<DesiredSource> {
        let obtained_version = self.desired_version().max(self.unreadable_desired_version.get());
        self.desired_source.borrow().clone().filter(|known| known.version > obtained_version)
    }

    /// Tells the leader of this instance that the leases of those before it end sooner, if a heartbeat shows that.
    pub fn note_former_leader(&self, hello: &v1::PeerHello, now_ms: u64) {
        let Some(leader) = self.leader_handle.borrow().clone() else { return };
        let mut former = self.former_leaders.borrow_mut();
        let Some(former) = former.as_mut() else { return };
        let assumed_ms = former.leases_expire_by_ms();
        former.record_heartbeat(hello, self.leader.borrow().epoch, now_ms);
        let expire_by_ms = former.leases_expire_by_ms();
        if expire_by_ms + MIN_SHORTER_WAIT_MS <= assumed_ms {
            leader.report(Event::InheritedLeases { expire_by_ms });
        }
    }

    /// Whether this instance leads.
    pub fn leads(&self) -> bool {
        self.leader_handle.borrow().is_some()
    }

    /// Adopts a leader, unless one with a newer epoch is known.
    pub fn follow(&self, epoch: u64, address: &str) {
        let known = self.leader.borrow().clone();
        if epoch < known.epoch || known.address.as_deref() == Some(address) && epoch == known.epoch
        {
            return;
        }
        log::info!(epoch, leader = address; "following leader");
        self.last_leader_response_ms.set(clock::now().steady_ms);
        self.leader.send_replace(LeaderView { epoch, address: Some(address.to_owned()) });
    }

    /// How long a read of the desired state waits for a change, in milliseconds. It bounds how long a change goes
    /// unnoticed on a dead connection, unless a heartbeat of the leader shows it. With many instances, the calls
    /// would add up to hundreds a second.
    pub fn desired_wait_ms(&self) -> u64 {
        if self.leads() || self.leader_unresponsive.get() {
            return MIN_DESIRED_WAIT_MS;
        }
        let wait_ms = self.heartbeat_interval_ms.get() * HEARTBEATS_PER_DESIRED_READ;
        wait_ms.clamp(MIN_DESIRED_WAIT_MS, MAX_DESIRED_WAIT_MS)
    }

    /// Whether the process has been asked to stop.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }
}

/// Shortest wait for a change of the desired state, in milliseconds. The platform allows 2 s for a change to take
/// effect in a small cell.
const MIN_DESIRED_WAIT_MS: u64 = 1_000;
/// Longest wait for a change of the desired state, in milliseconds.
const MAX_DESIRED_WAIT_MS: u64 = 5_000;
/// Number of heartbeat intervals for which a read of the desired state waits.
const HEARTBEATS_PER_DESIRED_READ: u64 = 5;
