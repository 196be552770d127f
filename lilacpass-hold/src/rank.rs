//! Rendezvous hashing: which member should hold which shard.
//!
//! Each pair of shard and member has a score; a shard's member is the one with the highest. When a
//! member comes or goes, only the shards move that it gets or had.

use std::cmp::Reverse;

use lilacpass_core::ids::{InstanceId, ShardId};

/// The members, best first, for the shard.
pub fn ranked<'a>(
    shard: &ShardId,
    members: impl Iterator<Item = &'a InstanceId>,
) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<_> = members.collect();
    ranked.sort_by_cached_key(|id| (Reverse(score(shard, id)), (*id).clone()));
    ranked
}

/// The position of `me` among the members for the shard, 0 for the best.
pub fn position<'a>(
    shard: &ShardId,
    me: &InstanceId,
    members: impl Iterator<Item = &'a InstanceId>,
) -> Option<u32> {
    let position = ranked(shard, members).into_iter().position(|id| id == me)?;
    u32::try_from(position).ok()
}

fn score(shard: &ShardId, member: &InstanceId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(shard.as_str().len() as u64).to_le_bytes());
    hasher.update(shard.as_str().as_bytes());
    hasher.update(member.as_str().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
