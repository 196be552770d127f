//! The history of holding, folded from the records of the stream in offset order.
//!
//! The fold depends on nothing but the records, so all members that have read as far agree. It
//! knows neither the time nor the configuration.

use std::collections::BTreeMap;

use lilacpass_core::ids::{Incarnation, InstanceId, Offset, ShardId};
use lilacpass_schema::v1::{self, holding_record::Body};

use crate::{
    options::Guards,
    state::{Change, MemberKey, MemberState, Tenure, VoidReason},
};

/// The folded history.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub(crate) shards: BTreeMap<ShardId, Tenure>,
    pub(crate) members: BTreeMap<MemberKey, MemberState>,
    pub(crate) guards: Guards,
}

impl History {
    /// An empty history.
    pub fn new(guards: Guards) -> Self {
        Self { guards, ..Self::default() }
    }

    /// The shard's tenure, where it was ever held.
    pub fn tenure(&self, shard: &ShardId) -> Option<&Tenure> {
        self.shards.get(shard)
    }

    /// All shards that were ever held.
    pub fn tenures(&self) -> impl Iterator<Item = (&ShardId, &Tenure)> {
        self.shards.iter()
    }

    /// What is known about one incarnation.
    pub fn member(&self, key: &MemberKey) -> Option<&MemberState> {
        self.members.get(key)
    }

    /// All known incarnations.
    pub fn members(&self) -> impl Iterator<Item = (&MemberKey, &MemberState)> {
        self.members.iter()
    }

    /// The members of the roster.
    pub fn roster(&self) -> impl Iterator<Item = (&MemberKey, &MemberState)> {
        self.members.iter().filter(|(_, m)| m.in_roster)
    }

    /// Whether the member is in the roster.
    pub fn in_roster(&self, key: &MemberKey) -> bool {
        self.members.get(key).is_some_and(|m| m.in_roster)
    }

    /// Whether a shard names the member as previous holder that is not cleared.
    pub fn is_replaced(&self, key: &MemberKey) -> bool {
        self.shards.values().any(|t| t.previous.as_ref() == Some(key))
    }

    /// Whether `holder` certainly needs a grant that `claimant` can withhold, or can't have the
    /// grants of all.
    ///
    /// The holder needs grants of all members of the roster as it last read it. That is the roster
    /// at an offset between what its records prove it has read and the claim. The claimant is part
    /// of all of those if it joined before. Otherwise every one of those rosters that lacks the
    /// claimant must hold a member that grants no more, because it has left or is known dead; this
    /// is certain if no incarnation that may still run joined before the claimant.
    pub fn claimant_known(&self, claimant: &MemberKey, holder: &MemberKey) -> bool {
        let (Some(claimed), Some(held)) = (self.members.get(claimant), self.members.get(holder))
        else {
            return false;
        };
        claimed.joined < held.read
            || !self
                .members()
                .any(|(k, m)| k.id != holder.id && k != claimant && m.joined < claimed.joined)
    }

    /// Folds the record at `offset`.
    pub fn apply(
        &mut self,
        offset: Offset,
        record: &v1::HoldingRecord,
    ) -> Result<Change, VoidReason> {
        let writer = self.writer(record);
        let read = Offset(record.read_offset.min(offset.0));
        if let Some(member) = self.members.get_mut(&writer) {
            member.read = member.read.max(read);
            member.leaving = record.leaving;
        }
        let body = record.body.as_ref().ok_or(VoidReason::Unknown)?;
        match body {
            Body::Join(join) => self.join(offset, writer, read, join),
            Body::Renew(_) => self.renew(offset, &writer),
            Body::Claim(claim) => self.claim(offset, writer, claim),
            Body::Release(release) => self.release(&writer, release),
            Body::Leave(_) => self.leave(writer),
            Body::Evict(evict) => self.evict(&writer, evict),
        }
    }

    /// The incarnation that the record counts for: the one that wrote it. With the test switch off,
    /// whichever incarnation is in the roster.
    pub fn writer(&self, record: &v1::HoldingRecord) -> MemberKey {
        let id = InstanceId::new(&record.member);
        let writer = MemberKey { id, incarnation: Incarnation(record.incarnation) };
        if self.guards.record_incarnation || matches!(record.body, Some(Body::Join(_))) {
            return writer;
        }
        let current = self.roster().map(|(k, _)| k).find(|k| k.id == writer.id);
        current.cloned().unwrap_or(writer)
    }

    /// Takes the writer into the roster. An earlier incarnation with the same address is dead, as
    /// the process that listens there now could not do so otherwise. Any other may still run; it is
    /// kept until it is evicted, speaks for itself or is cleared.
    fn join(
        &mut self,
        offset: Offset,
        writer: MemberKey,
        read: Offset,
        join: &v1::Join,
    ) -> Result<Change, VoidReason> {
        if self.in_roster(&writer) {
            return Err(VoidReason::AlreadyJoined);
        }
        if self.members.keys().any(|k| k.id == writer.id && k.incarnation > writer.incarnation) {
            return Err(VoidReason::Superseded);
        }
        let earlier: Vec<_> =
            self.members.keys().filter(|k| k.id == writer.id && **k != writer).cloned().collect();
        for key in &earlier {
            self.replace(key, &join.address);
        }
        let address = join.address.clone();
        let member = MemberState {
            renewed: offset,
            joined: offset,
            read,
            in_roster: true,
            address,
            leaving: false,
        };
        self.members.insert(writer, member);
        Ok(Change::Joined(earlier))
    }

    fn replace(&mut self, earlier: &MemberKey, address: &str) {
        let Some(member) = self.members.get_mut(earlier) else { return };
        member.in_roster = false;
        if !address.is_empty() && member.address == address {
            self.forget(earlier);
        }
    }

    fn renew(&mut self, offset: Offset, writer: &MemberKey) -> Result<Change, VoidReason> {
        self.roster_member(writer)?.renewed = offset;
        Ok(Change::Renewed)
    }

    fn claim(
        &mut self,
        offset: Offset,
        writer: MemberKey,
        claim: &v1::Claim,
    ) -> Result<Change, VoidReason> {
        self.roster_member(&writer)?;
        let shard = ShardId::new(&claim.shard);
        let tenure = self.shards.get(&shard).cloned().unwrap_or_default();
        if claim.epoch != tenure.epoch.next().0 {
            return Err(VoidReason::OtherEpoch);
        }
        let next = match &tenure.holder {
            None => {
                // A member that claims a shard anew has read that it lost it before.
                let previous = tenure.previous.filter(|previous| *previous != writer);
                Tenure {
                    epoch: tenure.epoch.next(),
                    holder: Some(writer.clone()),
                    inherited: previous.is_some(),
                    previous,
                    released_by: tenure.released_by,
                }
            }
            Some(holder) => {
                self.check_unclean(&writer, holder, &tenure, claim)?;
                Tenure {
                    epoch: tenure.epoch.next(),
                    holder: Some(writer.clone()),
                    previous: tenure.holder,
                    inherited: false,
                    released_by: None,
                }
            }
        };
        self.shards.insert(shard.clone(), next);
        self.roster_member(&writer)?.renewed = offset;
        Ok(Change::Claimed(shard))
    }

    /// Checks a claim on a shard that `holder` has not released.
    fn check_unclean(
        &self,
        writer: &MemberKey,
        holder: &MemberKey,
        tenure: &Tenure,
        claim: &v1::Claim,
    ) -> Result<(), VoidReason> {
        if holder == writer || holder.id.as_str() != claim.from {
            return Err(VoidReason::OtherHolder);
        }
        let renewed = self.members.get(holder).map(|m| m.renewed).unwrap_or_default();
        if self.guards.claim_void_after_renew && renewed.0 != claim.last_renew_offset {
            return Err(VoidReason::Renewed);
        }
        if self.guards.one_unclean && tenure.previous.is_some() {
            return Err(VoidReason::NotCleared);
        }
        if self.guards.claimant_known && !self.claimant_known(writer, holder) {
            return Err(VoidReason::GrantsPossible);
        }
        Ok(())
    }

    fn release(&mut self, writer: &MemberKey, release: &v1::Release) -> Result<Change, VoidReason> {
        let shard = ShardId::new(&release.shard);
        let tenure = self.shards.get_mut(&shard).ok_or(VoidReason::OtherHolder)?;
        if tenure.holder.as_ref() == Some(writer) {
            if tenure.epoch.0 != release.epoch {
                return Err(VoidReason::OtherEpoch);
            }
            tenure.holder = None;
            tenure.released_by = Some(writer.id.clone());
            return Ok(Change::Released(shard));
        }
        if tenure.previous.as_ref() != Some(writer) {
            return Err(VoidReason::OtherHolder);
        }
        if release.epoch >= tenure.epoch.0 {
            return Err(VoidReason::OtherEpoch);
        }
        tenure.previous = None;
        tenure.inherited = false;
        Ok(Change::Released(shard))
    }

    fn leave(&mut self, writer: MemberKey) -> Result<Change, VoidReason> {
        self.roster_member(&writer)?;
        if self.shards.values().any(|t| t.holder.as_ref() == Some(&writer)) {
            return Err(VoidReason::StillHolds);
        }
        self.forget(&writer);
        Ok(Change::Left)
    }

    fn evict(&mut self, writer: &MemberKey, evict: &v1::Evict) -> Result<Change, VoidReason> {
        self.roster_member(writer)?;
        let dead = MemberKey {
            id: InstanceId::new(&evict.member),
            incarnation: Incarnation(evict.incarnation),
        };
        let member = self.members.get(&dead).ok_or(VoidReason::NotInRoster)?;
        if member.renewed.0 != evict.last_renew_offset {
            return Err(VoidReason::Renewed);
        }
        self.forget(&dead);
        Ok(Change::Evicted(dead))
    }

    /// Takes a member out of the roster and of all shards: it gives no work any more.
    fn forget(&mut self, key: &MemberKey) {
        for tenure in self.shards.values_mut() {
            if tenure.holder.as_ref() == Some(key) {
                tenure.holder = None;
            }
            if tenure.previous.as_ref() == Some(key) {
                tenure.previous = None;
                tenure.inherited = false;
            }
        }
        self.members.remove(key);
    }

    fn roster_member(&mut self, key: &MemberKey) -> Result<&mut MemberState, VoidReason> {
        self.members.get_mut(key).filter(|m| m.in_roster).ok_or(VoidReason::NotInRoster)
    }
}
