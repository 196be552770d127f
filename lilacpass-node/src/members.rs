//! The other instances of the cell, as known to the leader from their heartbeats, and to followers from the leader's
//! responses.

use std::collections::BTreeMap;

use rand::RngExt;

/// Another instance, as described by its last heartbeat.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Time of its last heartbeat, on the steady clock.
    pub last_heartbeat_ms: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether it reaches the store.
    pub store_reachable: bool,
    /// CPU limit of the instance, in thousandths of a core.
    pub cpu_millis: u32,
    /// Data centre of the instance.
    pub data_centre: String,
}

impl Peer {
    /// Time without a heartbeat after which a peer does not count as present, in milliseconds.
    const PRESENCE_TIMEOUT_MS: u64 = 900;
    /// Time without a heartbeat after which a peer is removed, in milliseconds. Instances are replaced at new addresses
    /// all the time.
    const REMOVE_AFTER_MS: u64 = 30_000;

    /// Whether it is alive and not about to stop.
    pub fn is_present(&self, now_ms: u64) -> bool {
        !self.leaving && self.last_heartbeat_ms + Self::PRESENCE_TIMEOUT_MS > now_ms
    }
}

/// The instances that send heartbeats to this one, by address.
#[derive(Debug)]
pub struct Members {
    peers: BTreeMap<String, Peer>,
    revision: u64,
}

impl Default for Members {
    /// No instances. The first revision is random, so that two instances do not use the same revision for different
    /// lists.
    fn default() -> Self {
        const MAX: u64 = 1 << 62;
        Self { peers: BTreeMap::new(), revision: rand::rng().random_range(1..MAX) }
    }
}

impl Members {
    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, address: &str, peer: Peer) {
        if let Some(known) = self.peers.get_mut(address) {
            *known = peer;
            return;
        }
        self.peers.insert(address.to_owned(), peer);
        self.revision += 1;
    }

    /// Removes peers that have not sent a heartbeat for a long time.
    pub fn remove_expired(&mut self, now_ms: u64) {
        let known = self.peers.len();
        self.peers.retain(|_, peer| peer.last_heartbeat_ms + Peer::REMOVE_AFTER_MS > now_ms);
        if self.peers.len() != known {
            self.revision += 1;
        }
    }

    /// Revision of the list, which changes whenever an address is added or removed; never 0.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Addresses of all peers, in ascending order.
    pub fn addresses(&self) -> Vec<String> {
        self.peers.keys().cloned().collect()
    }

    /// Peers that are alive and not about to stop.
    pub fn present(&self, now_ms: u64) -> impl Iterator<Item = (&str, &Peer)> {
        let all = self.peers.iter().map(|(address, peer)| (address.as_str(), peer));
        all.filter(move |(_, peer)| peer.is_present(now_ms))
    }
}

/// The instances that the leader has listed. They are asked for the new leader when neither the leader nor the store
/// responds.
#[derive(Debug, Default)]
pub struct KnownMembers {
    /// Their addresses.
    pub addresses: Vec<String>,
    /// The leader's revision of the list; 0 if it has sent none.
    pub revision: u64,
}

impl KnownMembers {
    /// Adopts the list from a response of the leader. The leader omits the addresses if this instance already has the
    /// current revision: 360 addresses take 8 KB, and five responses a second to each of 360 instances would add up to
    /// 14 MB a second.
    pub fn update(&mut self, revision: u64, addresses: Vec<String>) {
        let is_known = revision != 0 && revision == self.revision;
        if !is_known {
            *self = Self { addresses, revision };
        }
    }
}
