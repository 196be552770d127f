//! The history as a message and back.

use lilacpass_core::ids::{Epoch, Incarnation, InstanceId, Offset, ShardId};
use lilacpass_schema::v1;

use crate::{
    history::History,
    options::Guards,
    state::{MemberKey, MemberState, Tenure},
};

impl History {
    /// The history as a message.
    pub fn snapshot(&self) -> v1::HoldingSnapshot {
        v1::HoldingSnapshot {
            shards: self.shards.iter().map(|(shard, t)| snapshot_shard(shard, t)).collect(),
            members: self.members.iter().map(|(key, m)| snapshot_member(key, m)).collect(),
        }
    }

    /// The history that a message describes.
    pub fn restore(snapshot: &v1::HoldingSnapshot, guards: Guards) -> Self {
        Self {
            shards: snapshot.shards.iter().map(restored_shard).collect(),
            members: snapshot.members.iter().map(restored_member).collect(),
            guards,
        }
    }
}

fn snapshot_shard(shard: &ShardId, tenure: &Tenure) -> v1::SnapshotShard {
    let name = |k: &Option<MemberKey>| k.as_ref().map(|k| k.id.to_string()).unwrap_or_default();
    let number = |k: &Option<MemberKey>| k.as_ref().map(|k| k.incarnation.0).unwrap_or_default();
    v1::SnapshotShard {
        shard: shard.to_string(),
        epoch: tenure.epoch.0,
        holder: name(&tenure.holder),
        holder_incarnation: number(&tenure.holder),
        unclean: tenure.previous.is_some(),
        previous_holder: name(&tenure.previous),
        previous_incarnation: number(&tenure.previous),
        inherited: tenure.inherited,
        released_by: tenure.released_by.as_ref().map(ToString::to_string).unwrap_or_default(),
    }
}

fn restored_shard(shard: &v1::SnapshotShard) -> (ShardId, Tenure) {
    let key = |name: &str, number: u64| {
        let key = MemberKey { id: InstanceId::new(name), incarnation: Incarnation(number) };
        (!name.is_empty()).then_some(key)
    };
    let tenure = Tenure {
        epoch: Epoch(shard.epoch),
        holder: key(&shard.holder, shard.holder_incarnation),
        previous: key(&shard.previous_holder, shard.previous_incarnation),
        inherited: shard.inherited,
        released_by: key(&shard.released_by, 0).map(|k| k.id),
    };
    (ShardId::new(&shard.shard), tenure)
}

fn snapshot_member(key: &MemberKey, member: &MemberState) -> v1::SnapshotMember {
    v1::SnapshotMember {
        member: key.id.to_string(),
        incarnation: key.incarnation.0,
        last_renew_offset: member.renewed.0,
        joined_offset: member.joined.0,
        read_offset: member.read.0,
        in_roster: member.in_roster,
        address: member.address.clone(),
        leaving: member.leaving,
    }
}

fn restored_member(member: &v1::SnapshotMember) -> (MemberKey, MemberState) {
    let key = MemberKey {
        id: InstanceId::new(&member.member),
        incarnation: Incarnation(member.incarnation),
    };
    let state = MemberState {
        renewed: Offset(member.last_renew_offset),
        joined: Offset(member.joined_offset),
        read: Offset(member.read_offset),
        in_roster: member.in_roster,
        address: member.address.clone(),
        leaving: member.leaving,
    };
    (key, state)
}
