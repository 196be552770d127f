//! Hands the lead over to an instance that the store answers.
//!
//! A store that turns the leader away but serves others would otherwise stop the cell until its
//! followers notice. The leader notices first, and asks one of them to take over.

use std::{rc::Rc, time::Duration};

use rand::seq::IteratorRandom;
use tokio::{sync::mpsc, time};

use crate::{clock, leading::Message, node::Node, peers};

/// How long the store must have refused all calls before the lead is handed over. Single refusals
/// pass sooner.
const FAILING_MS: u64 = 350;
/// Time between looks at that, and so between peers that are asked.
const INTERVAL: Duration = Duration::from_millis(150);
/// How long a peer may take over: reading all jobs takes some tenths of a second.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// A peer that has not greeted for so long is not asked.
const PEER_HEARD_MS: u64 = 900;

/// Hands over whenever the store fails, as long as this instance leads.
pub async fn run(node: Rc<Node>, epoch: u64, messages: mpsc::UnboundedSender<Message>) {
    while !messages.is_closed() {
        time::sleep(INTERVAL).await;
        if node.store_failing_ms() < FAILING_MS || messages.is_closed() {
            continue;
        }
        if to_any(&node, epoch, &messages).await {
            return;
        }
    }
}

/// Hands over before a planned stop: asks one peer after the other until one has taken over. The
/// leader leads on meanwhile, also where the store is too slow for a hand-over just now.
pub async fn resign(node: Rc<Node>, epoch: u64, messages: mpsc::UnboundedSender<Message>) {
    while !messages.is_closed() && !to_any(&node, epoch, &messages).await {
        time::sleep(INTERVAL).await;
    }
}

/// Asks a peer to take over. Returns whether it did.
async fn to_any(node: &Node, epoch: u64, messages: &mpsc::UnboundedSender<Message>) -> bool {
    let Some(peer) = pick(node) else { return false };
    let handed = to(node, &peer, epoch).await;
    if handed {
        // The loop has ended where nobody listens.
        let _ended = messages.send(Message::Deposed);
    }
    handed
}

/// Any peer that lives and stays.
fn pick(node: &Node) -> Option<String> {
    let now_ms = clock::now().steady_ms;
    let peers = node.peers.borrow();
    peers
        .iter()
        .filter(|(_, peer)| !peer.leaving && peer.heard_ms + PEER_HEARD_MS > now_ms)
        .map(|(address, _)| address.clone())
        .choose(&mut rand::rng())
}

/// Asks a peer to take over from the leader of `epoch`. Returns whether it did.
async fn to(node: &Node, address: &str, epoch: u64) -> bool {
    match peers::promote(node, address, TIMEOUT).await {
        Ok(reply) if reply.leads && reply.epoch > epoch => {
            log::info!(peer = address, epoch = reply.epoch; "lead handed over");
            node.follow(reply.epoch, address);
            true
        }
        Ok(_) => {
            log::info!(peer = address; "peer does not take over");
            false
        }
        Err(err) => {
            log::info!(peer = address, error:% = err; "peer does not take over");
            false
        }
    }
}
