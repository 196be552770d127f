//! When this member claims which shard.

use std::time::Duration;

use lilacpass_core::{
    MonoTime,
    ids::{Epoch, InstanceId, Offset, ShardId},
};
use lilacpass_schema::v1::{self, holding_record::Body};

use crate::{
    holding::{HoldAction, Holding},
    rank,
    state::MemberKey,
};

/// A claim that was appended and not yet settled by reading.
#[derive(Clone, Debug)]
pub(crate) struct PendingClaim {
    pub(crate) shard: ShardId,
    pub(crate) epoch: Epoch,
    pub(crate) from: Option<MemberKey>,
    pub(crate) last_renew: Offset,
    pub(crate) sequence: u64,
    pub(crate) sent: MonoTime,
}

impl Holding {
    /// Claims the shards that are this member's turn.
    pub(crate) fn plan_claims(&mut self, now: MonoTime) -> Vec<HoldAction> {
        if !self.tail_is_fresh(now) || self.list.is_leaving(&self.me.id) {
            return Vec::new();
        }
        let Some(joined) = self.join_read.filter(|_| self.joined()) else { return Vec::new() };
        let settled = joined + self.options.settle;
        if !settled.reached(now) {
            return Vec::new();
        }
        let candidates = self.candidates(now);
        let open = self.shards.iter().filter(|shard| !self.tenures.contains_key(*shard));
        let due = open.filter_map(|shard| self.claim_due(shard, settled, &candidates, now));
        let due: Vec<_> = due.collect();
        due.into_iter().map(|claim| self.append_claim(claim, now)).collect()
    }

    /// The claim on the shard, where it is due.
    fn claim_due(
        &self,
        shard: &ShardId,
        settled: MonoTime,
        candidates: &[&MemberKey],
        now: MonoTime,
    ) -> Option<PendingClaim> {
        let tenure = self.history.tenure(shard);
        let epoch = tenure.map(|t| t.epoch).unwrap_or_default().next();
        let holder = tenure.and_then(|t| t.holder.as_ref());
        let from = match holder {
            None => self.released_from(shard, settled, candidates)?,
            Some(holder) => self.lapsed_from(shard, holder, settled, candidates)?,
        };
        let pending = self.plan.claims.iter().filter(|c| c.shard == *shard);
        let sent = pending.map(|c| c.sent).max();
        let last_renew = holder.and_then(|h| self.history.member(h)).map(|m| m.renewed);
        (from.reached(now) && self.retry_due(sent, now)).then(|| PendingClaim {
            shard: shard.clone(),
            epoch,
            from: holder.cloned(),
            last_renew: last_renew.unwrap_or_default(),
            sequence: 0,
            sent: now,
        })
    }

    /// When it is this member's turn to claim a shard that nobody holds.
    fn released_from(
        &self,
        shard: &ShardId,
        settled: MonoTime,
        candidates: &[&MemberKey],
    ) -> Option<MonoTime> {
        let released_by = self.history.tenure(shard).and_then(|t| t.released_by.as_ref());
        let only = candidates.len() == 1;
        let ids = candidates.iter().map(|key| &key.id);
        let ids = ids.filter(|id| only || Some(*id) != released_by);
        let turn = self.turn(shard, ids)?;
        let since = self.change_read.get(shard).copied().unwrap_or_default();
        Some(since.max(settled) + turn)
    }

    /// When it is this member's turn to claim a shard from a holder whose lease has lapsed: after
    /// the lapse, seen from the tail, when no grant to the holder is out any more.
    fn lapsed_from(
        &self,
        shard: &ShardId,
        holder: &MemberKey,
        settled: MonoTime,
        candidates: &[&MemberKey],
    ) -> Option<MonoTime> {
        let guards = &self.options.guards;
        let lapsed = self.lapses_at(holder);
        let seen = self.tail_sent.is_some_and(|tail| lapsed.reached(tail));
        let replaced = self.history.tenure(shard).is_some_and(|t| t.previous.is_some());
        let blocked = replaced && guards.one_unclean;
        if !seen || blocked {
            return None;
        }
        let known =
            |key: &MemberKey| !guards.claimant_known || self.history.claimant_known(key, holder);
        let ids = candidates.iter().filter(|key| known(key)).map(|key| &key.id);
        let turn = self.turn(shard, ids)?;
        let own_grants = self.grants.given_until(holder).unwrap_or_default();
        // A newer incarnation was read: its predecessor's last grant ends in this time.
        let grant = self.options.with_margin(self.options.grant);
        let others_grants = self.replacement_read.map(|read| read + grant).unwrap_or_default();
        let ungranted =
            if guards.grants_run_out { own_grants.max(others_grants) } else { MonoTime(0) };
        Some(lapsed.max(settled).max(ungranted) + turn)
    }

    /// How much longer than the best candidate this member waits.
    fn turn<'a>(
        &self,
        shard: &ShardId,
        ids: impl Iterator<Item = &'a InstanceId>,
    ) -> Option<Duration> {
        Some(self.options.stagger * rank::position(shard, &self.me.id, ids)?)
    }

    fn append_claim(&mut self, claim: PendingClaim, now: MonoTime) -> HoldAction {
        let body = Body::Claim(v1::Claim {
            shard: claim.shard.to_string(),
            epoch: claim.epoch.0,
            last_renew_offset: claim.last_renew.0,
            from: claim.from.as_ref().map(|key| key.id.to_string()).unwrap_or_default(),
        });
        let action = self.append(body, now);
        self.plan.claims.push(PendingClaim { sequence: self.plan.sequence, ..claim });
        action
    }
}
