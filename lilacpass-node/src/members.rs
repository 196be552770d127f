//! The other instances, as the leader hears of them and as followers are told of them.

use std::collections::BTreeMap;

use rand::RngExt;

/// Another instance, as the leader hears of it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// When it was last heard of, on the steady clock.
    pub last_heartbeat_ms: u64,
    /// It is about to stop.
    pub leaving: bool,
    /// It reaches the store.
    pub store_reachable: bool,
    /// Processor that it may use, in thousandths of a core.
    pub cpu_millis: u32,
    /// Its data centre.
    pub data_centre: String,
}

impl Peer {
    /// A peer that has not greeted for so long is not counted on.
    const PRESENCE_TIMEOUT_MS: u64 = 900;
    /// One that has not greeted for so long is forgotten. Instances are replaced at new addresses all
    /// the time.
    const REMOVE_AFTER_MS: u64 = 30_000;

    /// Whether it lives and stays.
    pub fn is_present(&self, now_ms: u64) -> bool {
        !self.leaving && self.last_heartbeat_ms + Self::PRESENCE_TIMEOUT_MS > now_ms
    }
}

/// The instances that greet this one, by address.
#[derive(Debug)]
pub struct Members {
    peers: BTreeMap<String, Peer>,
    revision: u64,
}

impl Default for Members {
    /// Nobody. The first revision is drawn at random, so that two instances do not give one number to two lists.
    fn default() -> Self {
        const MAX: u64 = 1 << 62;
        Self { peers: BTreeMap::new(), revision: rand::rng().random_range(1..MAX) }
    }
}

impl Members {
    /// Notes a greeting.
    pub fn record_heartbeat(&mut self, address: &str, peer: Peer) {
        if let Some(known) = self.peers.get_mut(address) {
            *known = peer;
            return;
        }
        self.peers.insert(address.to_owned(), peer);
        self.revision += 1;
    }

    /// Forgets those that have long been silent.
    pub fn remove_expired(&mut self, now_ms: u64) {
        let known = self.peers.len();
        self.peers.retain(|_, peer| peer.last_heartbeat_ms + Peer::REMOVE_AFTER_MS > now_ms);
        if self.peers.len() != known {
            self.revision += 1;
        }
    }

    /// Changes whenever an address comes or goes; never 0.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Their addresses.
    pub fn addresses(&self) -> Vec<String> {
        self.peers.keys().cloned().collect()
    }

    /// Those that live and stay.
    pub fn present(&self, now_ms: u64) -> impl Iterator<Item = (&str, &Peer)> {
        let all = self.peers.iter().map(|(address, peer)| (address.as_str(), peer));
        all.filter(move |(_, peer)| peer.is_present(now_ms))
    }
}

/// The instances that the leader has told of, for when it is gone.
#[derive(Debug, Default)]
pub struct KnownMembers {
    /// Their addresses.
    pub addresses: Vec<String>,
    /// The leader's revision of the list; 0 where it gave none.
    pub revision: u64,
}

impl KnownMembers {
    /// Takes in what the leader told. It leaves the addresses out where this instance has them already:
    /// 360 of them are 8 KB, and five answers a second to each of 360 instances would be 14 MB a second.
    pub fn update(&mut self, revision: u64, addresses: Vec<String>) {
        let is_known = revision != 0 && revision == self.revision;
        if !is_known {
            *self = Self { addresses, revision };
        }
    }
}
