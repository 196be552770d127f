//! Grants between members: "until this runs out I append no claim on a shard of yours".
//!
//! The receiver counts a grant from when it asked for it, the granter from when it gave it, plus
//! a margin for drift; so the receiver's ends first.

use std::collections::BTreeMap;

use lilacpass_core::MonoTime;

use crate::state::MemberKey;

/// Grants that the member gave and got.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    given: BTreeMap<MemberKey, MonoTime>,
    got: BTreeMap<MemberKey, MonoTime>,
}

impl Grants {
    /// Remembers a grant to the peer.
    pub fn give(&mut self, peer: MemberKey, until: MonoTime) {
        extend(&mut self.given, peer, until);
    }

    /// When the last grant to the peer runs out.
    pub fn given_until(&self, peer: &MemberKey) -> Option<MonoTime> {
        self.given.get(peer).copied()
    }

    /// When the last grant to anybody runs out.
    pub fn all_given_until(&self) -> Option<MonoTime> {
        self.given.values().max().copied()
    }

    /// Remembers a grant of the peer.
    pub fn take(&mut self, peer: MemberKey, until: MonoTime) {
        extend(&mut self.got, peer, until);
    }

    /// When the grant of the peer runs out.
    pub fn got_until(&self, peer: &MemberKey) -> Option<MonoTime> {
        self.got.get(peer).copied()
    }

    /// Drops what ran out.
    pub fn prune(&mut self, now: MonoTime) {
        self.given.retain(|_, until| !until.reached(now));
        self.got.retain(|_, until| !until.reached(now));
    }
}

fn extend(grants: &mut BTreeMap<MemberKey, MonoTime>, peer: MemberKey, until: MonoTime) {
    let entry = grants.entry(peer).or_insert(until);
    *entry = until.max(*entry);
}
