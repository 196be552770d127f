//! Selects the instances that relay the leader's orders to workers.
//!
//! In a cell of hundreds of workers, thousands of polls and starts are sent each second, and some leaders have thin
//! links. Each order is a call of its own, and each start carries the payload of its job. The leader's CPU or link is
//! therefore saturated by orders long before it is saturated by scheduling. When a few other instances send the orders,
//! many orders share one message to a relay. Relaying delays an order by a few hundredths of a second, so a leader with
//! CPU and bandwidth to spare sends its orders itself.

use std::{cmp::Reverse, collections::BTreeMap};

/// CPU time of an order for whichever instance sends it, in microseconds.
const ORDER_CPU_US: f64 = 60.0;
/// Orders are relayed once sending them would use this share of the leader's CPU or link.
const RELAY_START_UTILISATION: f64 = 0.2;
/// The leader sends orders itself again once that share falls below this.
const RELAY_STOP_UTILISATION: f64 = 0.1;
/// Share of its CPU limit that an instance may spend on relaying.
const RELAY_CPU_SHARE: f64 = 0.2;
/// A relay in use is kept until the relays selected before it have this many times the CPU that is needed.
const KEEP_FACTOR: f64 = 2.0;
/// Thousandths of a core in a core.
const MILLIS_PER_CORE: f64 = 1_000.0;
/// Microseconds in a second.
const US_PER_SECOND: f64 = 1_000_000.0;

/// Load of orders per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Orders per second.
    pub orders: f64,
    /// Their bytes per second, including headers.
    pub bytes: f64,
}

/// Resources that the leader may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaderCapacity {
    /// CPU limit, in thousandths of a core.
    pub cpu_millis: u32,
    /// Bandwidth of its link in bytes per second; 0 if it is not known.
    pub link: u64,
}

/// An instance that could relay orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Address of the instance for peers.
    pub address: &'a str,
    /// Data centre of the instance.
    pub data_centre: &'a str,
    /// CPU limit, in thousandths of a core.
    pub cpu_millis: u32,
}

/// Share of the leader's CPU or link, whichever is greater, that orders would use if the leader sent them itself.
pub fn utilisation(load: Load, capacity: LeaderCapacity) -> f64 {
    let cpu = load.orders * ORDER_CPU_US
        / US_PER_SECOND
        / (f64::from(capacity.cpu_millis) / MILLIS_PER_CORE);
    let link = if capacity.link == 0 { 0.0 } else { load.bytes / capacity.link as f64 };
    cpu.max(link)
}

/// Selects the relays; none if the leader can send its orders itself. `in_use` are the current relays.
///
/// The largest instance of each data centre is selected first, then the next of each, until their CPU suffices. Current
/// relays are kept while they are present, since the workers of a retired relay have to be reassigned.
pub fn choose<'a>(
    load: Load,
    capacity: LeaderCapacity,
    in_use: &[String],
    mut candidates: Vec<Candidate<'a>>,
) -> Vec<Candidate<'a>> {
    let threshold =
        if in_use.is_empty() { RELAY_START_UTILISATION } else { RELAY_STOP_UTILISATION };
    if utilisation(load, capacity) < threshold {
        return Vec::new();
    }
    let is_used = |candidate: &Candidate<'_>| in_use.iter().any(|used| used == candidate.address);
    candidates.sort_by_key(|c| (!is_used(c), Reverse(c.cpu_millis), c.address));
    // The first instance of each data centre precedes the second of any.
    let mut next_ranks: BTreeMap<&str, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, Candidate<'a>)> = Vec::new();
    for candidate in candidates {
        let rank = next_ranks.entry(candidate.data_centre).or_default();
        ranked.push((*rank, candidate));
        *rank += 1;
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    let needed_millis =
        load.orders * ORDER_CPU_US / US_PER_SECOND * MILLIS_PER_CORE / RELAY_CPU_SHARE;
    let mut selected_millis = 0.0;
    let mut chosen = Vec::new();
    for (rank, candidate) in ranked {
        let target_millis = if is_used(&candidate) { KEEP_FACTOR } else { 1.0 } * needed_millis;
        if rank > 0 && selected_millis >= target_millis {
            break;
        }
        selected_millis += f64::from(candidate.cpu_millis);
        chosen.push(candidate);
    }
    chosen
}
