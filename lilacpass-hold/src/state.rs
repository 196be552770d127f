//! What the history says of members and shards, and what a record changes in it.

use lilacpass_core::ids::{Epoch, Incarnation, InstanceId, Offset, ShardId};

/// One incarnation of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberKey {
    /// The instance.
    pub id: InstanceId,
    /// Its start number.
    pub incarnation: Incarnation,
}

/// What the history says about one incarnation of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberState {
    /// Offset of its last renewal: its join, or a renewal or valid claim since.
    pub renewed: Offset,
    /// Offset of its join.
    pub joined: Offset,
    /// It has folded all records before this offset, as its own records say.
    pub read: Offset,
    /// Whether it is in the roster. One that is not was replaced by a newer incarnation and is not
    /// known dead: its process may still run.
    pub in_roster: bool,
    /// Address at which it listens to peers; empty where not known.
    pub address: String,
    /// Whether it is about to leave and takes no shard, as its last record says.
    pub leaving: bool,
}

/// What the history says about one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenure {
    /// Number of the tenure; 0 before the first.
    pub epoch: Epoch,
    /// The holder, unless the shard was released.
    pub holder: Option<MemberKey>,
    /// The holder that lost the shard to a claim without a release and is not known to have
    /// stopped giving there. The shard is *cleared* when this is empty.
    pub previous: Option<MemberKey>,
    /// Whether the holder took the shard over from the claimant against `previous`.
    pub inherited: bool,
    /// The member that released it last.
    pub released_by: Option<InstanceId>,
}

/// What folding a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The writer entered the roster, in place of the earlier incarnations.
    Joined(Vec<MemberKey>),
    /// The writer renewed its lease.
    Renewed,
    /// The writer became the holder of the shard.
    Claimed(ShardId),
    /// The shard was released, or cleared of its previous holder.
    Released(ShardId),
    /// The writer left the roster.
    Left,
    /// A dead member was taken out.
    Evicted(MemberKey),
}

/// Why a record changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoidReason {
    /// It was folded before.
    AlreadyFolded,
    /// It has no body that this version knows.
    Unknown,
    /// The writer is not in the roster.
    NotInRoster,
    /// The writer is in the roster already.
    AlreadyJoined,
    /// A newer incarnation of the writer is known.
    Superseded,
    /// The shard has another epoch.
    OtherEpoch,
    /// The shard has another holder.
    OtherHolder,
    /// The member has renewed since.
    Renewed,
    /// An earlier claim without a release is not cleared.
    NotCleared,
    /// The holder may still keep the whole worker by grants of others.
    GrantsPossible,
    /// The writer still holds a shard.
    StillHolds,
}
