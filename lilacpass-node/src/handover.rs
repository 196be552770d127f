//! Hands leadership over: to an instance that can reach the store when this one cannot, to a larger instance when this
//! one is small, and to any instance before a planned stop.
//!
//! A store that rejects the leader's calls but serves other instances would otherwise stop the cell until the followers
//! notice. The leader notices first, and requests that one of them take over.

use std::{cmp::Reverse, collections::BTreeSet, rc::Rc, time::Duration};

use rand::RngExt;
use tokio::{sync::mpsc, time};

use crate::{clock, leader_handle::Message, members::Peer, node::Node, peers};

/// How long the store must have refused all calls before leadership is handed over, in milliseconds. Isolated refusals
/// are over sooner.
const MIN_STORE_FAILURE_MS: u64 = 350;
/// Interval between checks of the store, and so between requests to peers.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
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
        time::sleep(CHECK_INTERVAL).await;
        if handover.node.store_failing_ms() >= MIN_STORE_FAILURE_MS {
            if handover.ask_any().await {
                return;
            }
            continue;
        }
        let now_ms = clock::now().steady_ms;
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
        time::sleep(CHECK_INTERVAL).await;
    }
}

impl Handover {
    fn new(node: Rc<Node>, epoch: u64, messages: mpsc::UnboundedSender<Message>) -> Self {
        Self { node, epoch, messages, asked: BTreeSet::new() }
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
        if self.node.is_leaving() || self.node.max_present_cpu_millis(now_ms) <= own_cpu_millis {
            return false;
        }
        log::info!(own_cpu_millis; "handing over to a larger instance");
        self.ask_peer_with_cpu(own_cpu_millis + 1).await
    }

    /// A peer that is alive, not about to stop, and not asked yet. Peers that reach the store are preferred to others,
    /// then large ones to small ones; equal ones are chosen at random.
    fn choose_peer(&self, min_cpu_millis: u32) -> Option<String> {
        let now_ms = clock::now().steady_ms;
        let members = self.node.members.borrow();
        let rank = |peer: &Peer| Reverse((peer.store_reachable, peer.cpu_millis));
        members
            .present(now_ms)
            .filter(|(_, peer)| peer.cpu_millis >= min_cpu_millis)
            .filter(|(address, _)| !self.asked.contains(*address))
            .min_by_key(|(_, peer)| (rank(peer), rand::rng().random::<u32>()))
            .map(|(address, _)| address.to_owned())
    }

    /// Asks a peer to take over. Returns whether it did.
    async fn request_takeover(&self, address: &str) -> bool {
        match peers::request_takeover(&self.node, address, TAKEOVER_TIMEOUT).await {
            Ok(reply) if reply.leads && reply.epoch > self.epoch => {
                log::info!(peer = address, epoch = reply.epoch; "leadership handed over");
                self.node.follow(reply.epoch, address);
                // The leader loop may have ended.
                let _stopped = self.messages.send(Message::Deposed);
                true
            }
            Ok(_) => {
                log::info!(peer = address; "peer did not take over");
                false
            }
            Err(err) => {
                log::info!(peer = address, error:% = err; "peer did not take over");
                false
            }
        }
    }
}
