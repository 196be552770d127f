//! The other instances of the cell, as known to the leader from their heartbeats, and to followers from the leader's
//! responses.

use std::collections::BTreeMap;

use lilacpass_lead::Now;
use lilacpass_schema::v1;
use rand::RngExt;

/// Shortest interval between two heartbeats of an instance, in milliseconds.
pub const MIN_HEARTBEAT_INTERVAL_MS: u64 = 200;
/// Longest interval between two heartbeats of an instance, in milliseconds.
const MAX_HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// Number of heartbeats per second that a leader receives at most, unless there are so many instances that the longest
/// interval does not suffice. Each costs the leader about 60 us.
const MAX_HEARTBEATS_PER_SECOND: u64 = 1_500;
/// Time for which the largest instances are not determined again, in milliseconds. They are reported with each
/// heartbeat, and determining them goes through all instances.
const LARGEST_VALID_MS: u64 = 200;

/// The interval at which each of `instances` instances sends heartbeats to the leader, in milliseconds. Of many
/// instances, some notice a failure soon although each of them looks less often.
pub fn heartbeat_interval_ms(instances: usize) -> u64 {
    let interval_ms = instances as u64 * 1_000 / MAX_HEARTBEATS_PER_SECOND;
    interval_ms.clamp(MIN_HEARTBEAT_INTERVAL_MS, MAX_HEARTBEAT_INTERVAL_MS)
}

/// Another instance, as described by its last heartbeat.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Time of its last heartbeat, on the steady clock.
    pub last_heartbeat_ms: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether it reaches the store.
    pub store_reachable: bool,
    /// When the store last responded to it, on the steady clock of this instance; 0 if it does not say.
    pub store_response_ms: u64,
    /// CPU limit of the instance, in thousandths of a core.
    pub cpu_millis: u32,
    /// Data centre of the instance.
    pub data_centre: String,
}

impl Peer {
    /// Time after a missed heartbeat after which a peer is not used for calls that others can make, in milliseconds.
    const OVERDUE_SLACK_MS: u64 = 300;
    /// Time after a missed heartbeat after which a peer does not count as present, in milliseconds.
    const PRESENCE_SLACK_MS: u64 = 700;
    /// Time without a heartbeat after which a peer is removed, in milliseconds. Instances are replaced at new addresses
    /// all the time.
    const REMOVE_AFTER_MS: u64 = 30_000;

    /// An instance that relayed the orders of the former leader, and that has not sent a heartbeat to this one yet.
    pub fn inherited(relay: &v1::RelayInstance, now: Now) -> Self {
        Self {
            last_heartbeat_ms: now.steady_ms,
            leaving: false,
            store_reachable: true,
            store_response_ms: 0,
            cpu_millis: relay.cpu_millis,
            data_centre: relay.data_centre.clone(),
        }
    }

    /// Whether it is alive and not about to stop, if it sends heartbeats at this interval.
    fn is_present(&self, interval_ms: u64, now_ms: u64) -> bool {
        !self.leaving && self.last_heartbeat_ms + interval_ms + Self::PRESENCE_SLACK_MS > now_ms
    }
}

/// The largest instances that could lead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Largest {
    /// Their CPU limit, in thousandths of a core; 0 if there is no instance that could lead.
    pub cpu_millis: u32,
    /// How many there are.
    pub count: u32,
}

/// The instances that send heartbeats to this one, by address.
#[derive(Debug)]
pub struct Members {
    peers: BTreeMap<String, Peer>,
    largest: Largest,
    /// When the largest peers are to be determined again, on the steady clock.
    largest_until_ms: u64,
    revision: u64,
}

impl Default for Members {
    /// No instances. The first revision is random, so that two instances do not use the same revision for different
    /// lists.
    fn default() -> Self {
        const MAX: u64 = 1 << 62;
        Self {
            peers: BTreeMap::new(),
            largest: Largest::default(),
            largest_until_ms: 0,
            revision: rand::rng().random_range(1..MAX),
        }
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

    /// CPU limit of a peer, in thousandths of a core; 0 if it is not known.
    pub fn cpu_millis(&self, address: &str) -> u32 {
        self.peers.get(address).map_or(0, |peer| peer.cpu_millis)
    }

    /// Peers whose last heartbeat is not overdue, so that a call through them is likely to succeed.
    pub fn reachable(&self, now_ms: u64) -> impl Iterator<Item = (&str, &Peer)> {
        let overdue_ms = self.heartbeat_interval_ms() + Peer::OVERDUE_SLACK_MS;
        self.present(now_ms).filter(move |(_, peer)| peer.last_heartbeat_ms + overdue_ms > now_ms)
    }

    /// Peers that are alive and not about to stop.
    pub fn present(&self, now_ms: u64) -> impl Iterator<Item = (&str, &Peer)> {
        let interval_ms = self.heartbeat_interval_ms();
        let all = self.peers.iter().map(|(address, peer)| (address.as_str(), peer));
        all.filter(move |(_, peer)| peer.is_present(interval_ms, now_ms))
    }

    /// The interval at which the peers are to send heartbeats, in milliseconds.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        heartbeat_interval_ms(self.peers.len())
    }

    /// Number of instances that send heartbeats.
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// The largest of the peers that could lead, as of the last [`LARGEST_VALID_MS`].
    pub fn largest(&mut self, now_ms: u64) -> Largest {
        if now_ms >= self.largest_until_ms {
            self.largest_until_ms = now_ms + LARGEST_VALID_MS;
            let eligible = self.present(now_ms).filter(|(_, peer)| peer.store_reachable);
            let sizes: Vec<u32> = eligible.map(|(_, peer)| peer.cpu_millis).collect();
            let cpu_millis = sizes.iter().copied().max().unwrap_or(0);
            let count = sizes.iter().filter(|size| **size == cpu_millis).count();
            self.largest = Largest { cpu_millis, count: count as u32 };
        }
        self.largest
    }

    /// Number of peers to which the store has responded after `since_ms`.
    pub fn count_store_responses(&self, since_ms: u64, now_ms: u64) -> usize {
        self.present(now_ms).filter(|(_, peer)| peer.store_response_ms > since_ms).count()
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
