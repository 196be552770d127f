//! Which holder an entry instance forwards a request to.

use std::time::Duration;

use lilacpass_core::{Resources, ids::InstanceId};
use rand::{Rng, RngExt};

use crate::share;

/// What is known of a holder from its last heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderDigest {
    /// The holder.
    pub holder: InstanceId,
    /// Whether it is in the data centre of the entry instance.
    pub same_data_centre: bool,
    /// Its free room over all its workers.
    pub free: Resources,
    /// The most that one of its workers has free, per resource.
    pub largest: Resources,
    /// Requests in its queue.
    pub queued: u32,
    /// How long a new request of this class would wait there.
    pub wait: Duration,
    /// How old the digest is.
    pub age: Duration,
}

/// Extra cost of a holder in another data centre: the way there and back, with a margin.
const REMOTE_COST: Duration = Duration::from_millis(4);

/// Chooses a holder for a request that needs `need`, or `None` where all are avoided.
///
/// The entry instance itself goes first while it holds workers with room: it alone is known as it
/// is now, its digest has no age. Otherwise, of two holders drawn at random the one with the
/// lesser expected cost is taken. Digests are stale: with the single best of them, all entry
/// instances would send to the same holder until its next heartbeat.
pub fn choose(
    candidates: &[HolderDigest],
    need: &Resources,
    rng: &mut impl Rng,
    avoid: &[InstanceId],
) -> Option<InstanceId> {
    let usable = |digest: &&HolderDigest| !avoid.contains(&digest.holder);
    let fitting: Vec<&HolderDigest> =
        candidates.iter().filter(usable).filter(|d| need.fits(&d.largest)).collect();
    let pool = match fitting.is_empty() {
        true => candidates.iter().filter(usable).collect(),
        false => fitting,
    };
    if pool.is_empty() {
        return None;
    }
    let here = |d: &&&HolderDigest| d.age.is_zero() && d.wait.is_zero() && need.fits(&d.largest);
    if let Some(here) = pool.iter().find(here) {
        return Some(here.holder.clone());
    }
    let first = pool[rng.random_range(0..pool.len())];
    let second = pool[rng.random_range(0..pool.len())];
    let best = if cost(second, need) < cost(first, need) { second } else { first };
    Some(best.holder.clone())
}

/// The expected cost of a holder: waiting time and distance first, then how much of its free room
/// the request takes.
fn cost(digest: &HolderDigest, need: &Resources) -> (Duration, u64) {
    let distance = if digest.same_data_centre { Duration::ZERO } else { REMOTE_COST };
    let part = match need.fits(&digest.free) {
        true => share::dominant_ppm(need, &digest.free),
        false => u64::MAX,
    };
    (digest.wait + distance, part)
}
