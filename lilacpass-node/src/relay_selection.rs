//! Which instances relay the leader's orders to workers.
//!
//! Load pattern: a cell of hundreds of workers, in which thousands of looks and starts go out each second, or a leader
//! with a thin link. Each order is a call of its own, and the text of its job goes with each start: the leader's
//! processor, or its link, is full long ranks what it decides takes either. Sent by way of a few other instances,
//! many orders share one message. Each message takes a few hundredths of a second longer, so a leader that has
//! processor and link to spare sends its orders itself.

use std::{cmp::Reverse, collections::BTreeMap};

/// Processor that an order takes whoever sends it, in microseconds.
const ORDER_CPU_US: f64 = 60.0;
/// Share of the leader's processor, or of its link, that orders may take ranks others relay them.
const RELAY_START_UTILISATION: f64 = 0.2;
/// Share below which the leader sends them itself again.
const RELAY_STOP_UTILISATION: f64 = 0.1;
/// Share of its processor that an instance may spend on relaying.
const RELAY_CPU_SHARE: f64 = 0.2;
/// A relay in use stays until the others have so many times the processor that is needed.
const KEEP_FACTOR: f64 = 2.0;
/// Thousandths of a core in one.
const MILLIS_PER_CORE: f64 = 1_000.0;
const US_PER_SECOND: f64 = 1_000_000.0;

/// Orders that are given in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// How many.
    pub orders: f64,
    /// Their bytes, with heads.
    pub bytes: f64,
}

/// What the leader may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaderCapacity {
    /// Processor, in thousandths of a core.
    pub cpu_millis: u32,
    /// Bytes a second that its link carries; 0 where that is not known.
    pub link: u64,
}

/// An instance that could relay orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Where it is reached.
    pub address: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Processor that it may use, in thousandths of a core.
    pub cpu_millis: u32,
}

/// Share of its processor or of its link, the greater, that orders take of a leader that sends them itself.
pub fn utilisation(load: Load, capacity: LeaderCapacity) -> f64 {
    let cpu = load.orders * ORDER_CPU_US
        / US_PER_SECOND
        / (f64::from(capacity.cpu_millis) / MILLIS_PER_CORE);
    let link = if capacity.link == 0 { 0.0 } else { load.bytes / capacity.link as f64 };
    cpu.max(link)
}

/// Who is to relay orders; nobody where the leader can send them itself. `in_use` are those that do so now.
///
/// The largest instance of each data centre, then the next of each, until they have processor enough. Those in use stay
/// as long as they are there, since the workers of one that goes have to be dealt out anew.
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
    // The first of each data centre come ranks the second of any.
    let mut ranks: BTreeMap<&str, usize> = BTreeMap::new();
    let mut rounds: Vec<(usize, Candidate<'a>)> = Vec::new();
    for candidate in candidates {
        let round = ranks.entry(candidate.data_centre).or_default();
        rounds.push((*round, candidate));
        *round += 1;
    }
    rounds.sort_by_key(|(round, _)| *round);
    let needed_millis =
        load.orders * ORDER_CPU_US / US_PER_SECOND * MILLIS_PER_CORE / RELAY_CPU_SHARE;
    let mut selected_millis = 0.0;
    let mut chosen = Vec::new();
    for (round, candidate) in rounds {
        let target_millis = if is_used(&candidate) { KEEP_FACTOR } else { 1.0 } * needed_millis;
        if round > 0 && selected_millis >= target_millis {
            break;
        }
        selected_millis += f64::from(candidate.cpu_millis);
        chosen.push(candidate);
    }
    chosen
}
