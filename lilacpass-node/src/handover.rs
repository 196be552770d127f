//! Hands leadership over: to an instance that can reach the store when this one cannot, to a larger instance when this
//! one is small, and to any instance before a planned stop.
//!
//! A store that does not serve the leader but serves other instances would otherwise stop the cell until the followers
//! notice. The leader notices first, and requests that one of them take over. Heartbeats say when the store last
//! responded to each instance, so the leader can tell a store that is silent for itself alone from one that is silent for
//! all.

use std::{cmp::Reverse, collections::BTreeSet, rc::Rc, time::Duration};

use lilacpass_lead::Event;
use rand::RngExt;
use tokio::{sync::mpsc, time};

use crate::{clock, leader_handle::Message, members::Peer, node::Node, peers::heartbeats};

/// How long the store must have refused all calls before leadership is handed over, in milliseconds. Isolated refusals
/// are over sooner.
const MIN_STORE_FAILURE_MS: u64 = 350;
/// How long the store must have been silent for this instance before it is compared with others, in milliseconds. While
/// the store responds, the longest silence is the interval of renewals.
const MIN_SILENCE_MS: u64 = 250;
/// How much later than to this instance the store must have responded to others, in milliseconds, so that these
/// responses do not belong to calls that were sent before the silence began.
const SILENCE_MARGIN_MS: u64 = 100;
/// Number of other instances to which the store must have responded since.
const MIN_OTHER_RESPONSES: usize = 2;
/// If more time than this has passed between two checks, in milliseconds, this instance is late itself, and responses of
/// the store may wait in its own queue.
const LATE_CHECK_MS: u64 = 100;
/// Interval between checks of the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two requests to peers.
const REQUEST_PAUSE: Duration = Duration::from_millis(150);
/// How long a peer may need to take over. Reading all jobs takes some tenths of a second.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a small leader leads before it looks for a larger instance, in milliseconds. By then all instances have
/// sent it three heartbeats.
const SETTLE_MS: u64 = 600;
/// Pause before the next larger instance is asked, in milliseconds. Each hand-over stops the cell for some tenths of a
/// second.
const LARGER_RETRY_MS: u64 = 2_000;

/// The hand-over of one leadership.
struct Handover {
    node: Rc<Node>,
    epoch: u64,
    messages: mpsc::UnboundedSender<Message>,
    /// Peers that did not take over when asked. They are asked again once all peers have been.
    asked: BTreeSet<String>,
}

/// Hands over when the store fails or a larger instance could lead, for as long as this instance leads.
pub async fn run(node: Rc<Node>, epoch: u64, messages: mpsc::UnboundedSender<Message>) {
    let mut handover = Handover::new(node, epoch, messages);
    let mut next_larger_check_ms = clock::now().steady_ms + SETTLE_MS;
    while !handover.messages.is_closed() {
        let checked_ms = clock::now().steady_ms;
        time::sleep(CHECK_INTERVAL).await;
        let now_ms = clock::now().steady_ms;
        let is_late = now_ms > checked_ms + LATE_CHECK_MS;
        let is_failing = handover.node.store_failing_ms() >= MIN_STORE_FAILURE_MS;
        if is_failing || !is_late && handover.is_store_silent_here(now_ms) {
            if handover.ask_any().await {
                return;
            }
            time::sleep(REQUEST_PAUSE).await;
            continue;
        }
        if now_ms >= next_larger_check_ms {
            next_larger_check_ms = now_ms + LARGER_RETRY_MS;
            if handover.ask_larger(now_ms).await {
                return;
            }
        }
    }
}

/// Hands over before a planned stop: asks one peer after the other until one has taken over. The leader continues to
/// lead meanwhile, even if the store is too slow for a hand-over.
pub async fn resign(node: Rc<Node>, epoch: u64, messages: mpsc::UnboundedSender<Message>) {
    let mut handover = Handover::new(node, epoch, messages);
    while !handover.messages.is_closed() && !handover.ask_any().await {
        time::sleep(REQUEST_PAUSE).await;
    }
}

impl Handover {
    fn new(node: Rc<Node>, epoch: u64, messages: mpsc::UnboundedSender<Message>) -> Self {
        Self { node, epoch, messages, asked: BTreeSet::new() }
    }

    /// Whether the store responds to other instances but not to this one.
    fn is_store_silent_here(&self, now_ms: u64) -> bool {
        let last_response_ms = self.node.last_store_response_ms.get();
        now_ms >= last_response_ms + MIN_SILENCE_MS && {
            let since_ms = last_response_ms + SILENCE_MARGIN_MS;
            let members = self.node.members.borrow();
            members.count_store_responses(since_ms, now_ms) >= MIN_OTHER_RESPONSES
        }
    }

    /// Asks the most suitable peer that has not been asked yet to take over. Returns whether it did.
    async fn ask_any(&mut self) -> bool {
        self.ask_peer_with_cpu(0).await
    }

    /// Asks a peer with at least this CPU limit, in thousandths of a core, to take over. Returns whether it did.
    async fn ask_peer_with_cpu(&mut self, min_cpu_millis: u32) -> bool {
        let Some(address) = self.choose_peer(min_cpu_millis) else {
            self.asked.clear();
            return false;
        };
        self.asked.insert(address.clone());
        self.request_takeover(&address).await
    }

    /// Asks a larger instance to take over, if there is one.
    async fn ask_larger(&mut self, now_ms: u64) -> bool {
        let own_cpu_millis = self.node.settings.cpu_millis;
        if self.node.is_leaving() || self.node.largest_present(now_ms).cpu_millis <= own_cpu_millis
        {
            return false;
        }
        log::info!(own_cpu_millis; "handing over to a larger instance");
        self.ask_peer_with_cpu(own_cpu_millis + 1).await
    }

    /// A peer that is alive, not about to stop, and not asked yet. Peers that reach the store are preferred to others,
    /// then large ones to small ones, then those to which the store has responded since it fell silent for this instance;
    /// equal ones are chosen at random.
    fn choose_peer(&self, min_cpu_millis: u32) -> Option<String> {
        let now_ms = clock::now().steady_ms;
        let members = self.node.members.borrow();
        let last_response_ms = self.node.last_store_response_ms.get();
        let rank = |peer: &Peer| {
            let is_served = peer.store_response_ms > last_response_ms;
            Reverse((peer.store_reachable, peer.cpu_millis, is_served))
        };
        members
            .present(now_ms)
            .filter(|(_, peer)| peer.cpu_millis >= min_cpu_millis)
            .filter(|(address, _)| !self.asked.contains(*address))
            .min_by_key(|(_, peer)| (rank(peer), rand::rng().random::<u32>()))
            .map(|(address, _)| address.to_owned())
    }

    /// Asks a peer to take over. Returns whether it did.
    async fn request_takeover(&self, address: &str) -> bool {
        let (node, epoch) = (&self.node, self.epoch);
        self.report(Event::TakeoverRequested);
        match heartbeats::request_takeover(node, address, epoch, TAKEOVER_TIMEOUT).await {
            Ok(reply) if reply.leads && reply.epoch > self.epoch => {
                log::info!(peer = address, epoch = reply.epoch; "leadership handed over");
                self.node.follow(reply.epoch, address);
                // The leader loop may have ended.
                let _stopped = self.messages.send(Message::Deposed);
                true
            }
            Ok(_) => {
                log::info!(peer = address; "peer did not take over");
                self.report(Event::TakeoverNotConfirmed);
                false
            }
            Err(err) => {
                log::info!(peer = address, error:% = err; "peer did not take over");
                self.report(Event::TakeoverNotConfirmed);
                false
            }
        }
    }

    fn report(&self, event: Event) {
        // The leader loop may have ended.
        let _stopped = self.messages.send(Message::Event(event));
    }
}
