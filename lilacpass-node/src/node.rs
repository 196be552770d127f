//! What all parts of an instance share.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use lilacpass_platform::{
    client::Client,
    desired::{Desired, Limits},
    server,
    settings::Settings,
    store::Store,
    workers::Workers,
};
use tokio::sync::watch;

use crate::{
    budget::RetryBudget,
    clock,
    desired_relay::{DesiredSource, Pacing},
    frontend,
    leader_handle::LeaderHandle,
    members::{KnownMembers, Members},
    metrics::{self, Metrics},
    peers,
    relay_server::PendingOutcomes,
    relays::Relays,
};

/// Who leads, as far as this instance knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderView {
    /// The epoch; 0 while no leader is known.
    pub epoch: u64,
    /// Address for peers; none while no leader is known.
    pub address: Option<String>,
}

/// A desired state as it was published.
#[derive(Debug)]
pub struct Published {
    /// Decoded.
    pub desired: Desired,
    /// As it stands in the store, to be handed to peers that the store does not answer.
    pub bytes: Bytes,
}

/// What all parts of an instance share.
pub struct Node {
    /// What the platform says of this instance.
    pub settings: Settings,
    /// Connections to others.
    pub client: Client,
    /// The store.
    pub store: Store,
    /// Orders to workers.
    pub workers: Workers,
    /// How many orders may be sent again.
    pub order_budget: RetryBudget,
    /// The newest desired state that is known.
    pub desired: RefCell<Option<Rc<Published>>>,
    /// The newest version that another instance was heard to have.
    pub desired_source: RefCell<Option<DesiredSource>>,
    /// Up to this version, what another instance has was fetched and can't be read here.
    pub unreadable_desired_version: Cell<u64>,
    /// Spaces out what goes to peers that ask for the desired state.
    pub desired_pacing: Pacing,
    /// Who leads.
    pub leader: watch::Sender<LeaderView>,
    /// Our own leadership.
    pub leader_handle: RefCell<Option<LeaderHandle>>,
    /// When the leader last answered, on the steady clock.
    pub last_leader_response_ms: Cell<u64>,
    /// The last greeting to the leader was not answered.
    pub leader_unresponsive: Cell<bool>,
    /// Neither the leader nor the store answers this instance: nobody can take over that it would hear
    /// of soon.
    pub cut_off: Cell<bool>,
    /// What the platform was last told when it asked whether this instance takes callers.
    pub reported_ready: Cell<bool>,
    /// The leader said that the store answers it.
    pub leader_store_reachable: Cell<bool>,
    /// When the store last answered, on the steady clock.
    pub last_store_response_ms: Cell<u64>,
    /// Since when the store has refused calls without an answer between, on the steady clock.
    pub store_failing_since_ms: Cell<Option<u64>>,
    /// How long the store takes for an append, as learned.
    pub append_latency: Cell<Duration>,
    /// A take-over by this instance is under way.
    pub taking_over: Cell<bool>,
    /// The process is to stop.
    pub leaving: watch::Sender<bool>,
    /// The instances that greet this one.
    pub members: RefCell<Members>,
    /// The most processor of any instance that could lead, as the leader said, in thousandths of a
    /// core; 0 before it said so.
    pub max_cpu_millis: Cell<u32>,
    /// The instances that the leader has told of.
    pub known_members: RefCell<KnownMembers>,
    /// The instances that relay our orders, while this one leads.
    pub relays: RefCell<Relays>,
    /// What came of the leader's orders that this instance relays.
    pub pending_outcomes: RefCell<PendingOutcomes>,
    /// Requests of callers that are being served, and orders that are relayed.
    pub open_requests: Cell<u64>,
    /// Counters.
    pub metrics: Metrics,
}

/// The store counts as reachable for so long after its last answer. The watch for the desired state
/// gets an answer at least every two seconds, renewals several a second.
const STORE_REACHABLE_MS: u64 = 900;

impl Node {
    /// An instance that knows its settings only.
    pub fn new(settings: Settings) -> Self {
        let client = Client::default();
        let store = Store::new(client.clone(), settings.store_address.clone());
        Self {
            store,
            workers: Workers::new(client.clone()),
            order_budget: RetryBudget::default(),
            client,
            settings,
            desired: RefCell::new(None),
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
            store_failing_since_ms: Cell::new(None),
            append_latency: Cell::new(Duration::ZERO),
            taking_over: Cell::new(false),
            leaving: watch::Sender::new(false),
            members: RefCell::default(),
            max_cpu_millis: Cell::new(0),
            known_members: RefCell::default(),
            relays: RefCell::default(),
            pending_outcomes: RefCell::default(),
            open_requests: Cell::new(0),
            metrics: Metrics::default(),
        }
    }

    /// Address at which other instances reach this one.
    pub fn peer_address(&self) -> String {
        format!("{}:{}", self.settings.ip, self.settings.first_peer_port)
    }

    /// Listens for callers, for the platform's question whether we are ready, and for peers.
    pub fn listen(self: &Rc<Self>) -> io::Result<()> {
        let peers = server::listen(parse(&self.peer_address())?)?;
        let ready = server::listen(parse(&self.settings.ready_address)?)?;
        let callers = server::listen(parse(&self.settings.callers_address)?)?;
        let node = self.clone();
        let limits = move || node.limits();
        let node = self.clone();
        let handler = move |received| frontend::serve(node.clone(), received);
        tokio::task::spawn_local(server::serve(callers, limits, handler));
        let node = self.clone();
        let handler = move |received| frontend::ready(node.clone(), received);
        tokio::task::spawn_local(server::serve(ready, Limits::default, handler));
        let node = self.clone();
        let handler = move |received| peers::serve(node.clone(), received);
        tokio::task::spawn_local(server::serve(peers, peers::limits, handler));
        self.listen_for_metrics();
        Ok(())
    }

    /// Serves the metrics. An instance whose metrics port is taken does its work without.
    fn listen_for_metrics(self: &Rc<Self>) {
        let address = format!("{}:{}", self.settings.ip, metrics::PORT);
        match parse(&address).and_then(server::listen) {
            Ok(listener) => {
                let node = self.clone();
                let handler = move |received: server::ReceivedRequest| {
                    let reply = node.metrics.reply(&received.path);
                    async move { reply }
                };
                tokio::task::spawn_local(server::serve(listener, Limits::default, handler));
            }
            Err(err) => log::warn!(address, error:% = err; "metrics can't be served"),
        }
    }

    /// The most processor of any instance that could lead: this one, and those that greet it and
    /// reach the store. In thousandths of a core.
    pub fn max_present_cpu_millis(&self, now_ms: u64) -> u32 {
        let members = self.members.borrow();
        let able = members.present(now_ms).filter(|(_, peer)| peer.store_reachable);
        able.map(|(_, peer)| peer.cpu_millis).fold(self.settings.cpu_millis, u32::max)
    }

    fn limits(&self) -> Limits {
        self.desired.borrow().as_ref().map(|p| p.desired.limits).unwrap_or_default()
    }

    /// The newest desired state that is known.
    pub fn published(&self) -> Option<Rc<Published>> {
        self.desired.borrow().clone()
    }

    /// Version of the newest desired state that is known; 0 where there is none.
    pub fn desired_version(&self) -> u64 {
        self.desired.borrow().as_ref().map_or(0, |published| published.desired.version)
    }

    /// Takes a desired state in, unless a newer one is known.
    pub fn publish(&self, desired: Desired, bytes: Bytes, source: &str) {
        if desired.version <= self.desired_version() {
            return;
        }
        log::info!(
            version = desired.version, queues = desired.queues.len(), bytes = bytes.len(), source;
            "desired state"
        );
        self.metrics.desired_version(desired.version);
        *self.desired.borrow_mut() = Some(Rc::new(Published { desired, bytes }));
    }

    /// Notes which version another instance has. One that is not newer is never asked for, and greetings bring it several
    /// times a second from each instance.
    pub fn record_desired_source(&self, version: u64, address: &str) {
        if version <= self.desired_version() {
            return;
        }
        let mut source = self.desired_source.borrow_mut();
        // The last that was heard to have it is the likeliest to live.
        if source.as_ref().is_none_or(|known| known.version <= version) {
            *source = Some(DesiredSource { version, address: address.to_owned() });
        }
    }

    /// A version that is newer than the one here, and may be readable.
    pub fn newer_desired_source(&self) -> Option<DesiredSource> {
        let tried_version = self.desired_version().max(self.unreadable_desired_version.get());
        self.desired_source.borrow().clone().filter(|known| known.version > tried_version)
    }

    /// Whether this instance leads.
    pub fn leads(&self) -> bool {
        self.leader_handle.borrow().is_some()
    }

    /// Takes in who leads, unless a later leader is known.
    pub fn follow(&self, epoch: u64, address: &str) {
        let known = self.leader.borrow().clone();
        if epoch < known.epoch || known.address.as_deref() == Some(address) && epoch == known.epoch
        {
            return;
        }
        log::info!(epoch, leader = address; "leader known");
        self.last_leader_response_ms.set(clock::now().steady_ms);
        self.leader.send_replace(LeaderView { epoch, address: Some(address.to_owned()) });
    }

    /// Notes that the store has answered.
    pub fn record_store_response(&self) {
        self.cut_off.set(false);
        let now_ms = clock::now().steady_ms;
        self.last_store_response_ms.set(now_ms);
        if let Some(since_ms) = self.store_failing_since_ms.take() {
            log::info!(failed_ms = now_ms.saturating_sub(since_ms); "store answers again");
        }
    }

    /// Notes that the store has refused a call.
    pub fn record_store_refusal(&self) {
        if self.store_failing_since_ms.get().is_none() {
            log::info!("store refuses calls");
            self.store_failing_since_ms.set(Some(clock::now().steady_ms));
        }
    }

    /// How long the store has refused everything, or has been silent for longer than it ever is.
    pub fn store_failing_ms(&self) -> u64 {
        let now_ms = clock::now().steady_ms;
        if let Some(since_ms) = self.store_failing_since_ms.get() {
            return now_ms.saturating_sub(since_ms);
        }
        let silent_ms = now_ms.saturating_sub(self.last_store_response_ms.get());
        if silent_ms > STORE_REACHABLE_MS { silent_ms } else { 0 }
    }

    /// Whether the store has answered lately.
    pub fn store_reachable(&self) -> bool {
        let limit_ms = if self.leads() { STORE_REACHABLE_MS } else { FOLLOWER_STORE_REACHABLE_MS };
        clock::now().steady_ms.saturating_sub(self.last_store_response_ms.get()) < limit_ms
    }

    /// Whether the process is to stop.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }
}

/// The same for an instance that does not lead: it hears from the store at least this often.
const FOLLOWER_STORE_REACHABLE_MS: u64 = 3_000;

fn parse(address: &str) -> io::Result<SocketAddr> {
    address.parse().map_err(|err| io::Error::new(io::ErrorKind::InvalidInput, err))
}
