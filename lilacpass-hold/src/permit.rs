//! What this member may give on a worker, and until when.

use lilacpass_core::{
    MonoTime, Resources,
    ids::{Epoch, Incarnation, InstanceId, ShardId, WorkerId},
};
use lilacpass_schema::v1;

use crate::{holding::Holding, options::Guards, share, state::MemberKey, tenure::OwnTenure};

/// What the permission to give work rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// A lease in the log.
    Lease,
    /// Grants of all other members of the roster.
    Grants,
    /// Neither: the member keeps to its half.
    Escrow,
    /// A lease or grants, but an earlier holder may still give on its half.
    Claimed,
}

/// What this member may give on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The worker's shard.
    pub shard: ShardId,
    /// The fencing token of starts.
    pub epoch: Epoch,
    /// Most that the member's own given total on the worker may be after a start, tasks that it
    /// adopted from a report among it.
    pub resources: Resources,
    /// The permission lapses then unless renewed; checked again right before bytes leave.
    pub valid_until: MonoTime,
    /// What it rests on.
    pub mode: Mode,
    /// Whether tasks that are recorded in the log may be started: not in escrow, so that a
    /// claimant knows from its first report which of them were.
    pub recorded: bool,
}

/// A moment that is never reached.
const NEVER: MonoTime = MonoTime(u64::MAX);

impl Holding {
    /// What may be given on the worker at `now`; nothing where the member does not hold it, has
    /// stopped giving or waits for a report.
    pub fn limit(&self, worker: &WorkerId, now: MonoTime) -> Option<Limit> {
        let (shard, has) = self.workers.get(worker)?;
        let own = self.giving(shard)?;
        let (mode, valid_until) = self.standing(shard, now)?;
        let share = own.share(worker, has, &self.options.guards)?;
        let escrow = mode == Mode::Escrow && self.options.guards.escrow_half;
        let resources = if escrow { share.min(&share::escrow(has)) } else { share };
        let recorded = mode != Mode::Escrow;
        Some(Limit {
            shard: shard.clone(),
            epoch: own.epoch,
            resources,
            valid_until,
            mode,
            recorded,
        })
    }

    /// What the permission on the shard rests on; nothing where the member may not give there.
    pub fn mode_of(&self, shard: &ShardId, now: MonoTime) -> Option<Mode> {
        self.giving(shard)?;
        self.standing(shard, now).map(|(mode, _)| mode)
    }

    /// Whether no earlier holder can give on the shard any more, nor renew tasks there.
    ///
    /// Not to be told from the mode: a member in escrow may hold a shard that is not cleared.
    pub fn is_cleared(&self, shard: &ShardId) -> bool {
        self.history.tenure(shard).is_some_and(|t| t.previous.is_none())
    }

    /// The moment from which a report of the worker is needed, unless there is one that suffices.
    pub fn needs_report(&self, worker: &WorkerId, _now: MonoTime) -> Option<MonoTime> {
        let (shard, _) = self.workers.get(worker)?;
        self.giving(shard)?.needs_report(worker, &self.options.guards)
    }

    /// Whether no recorded task of an earlier epoch can still be started on the worker: a report
    /// that is taken from now on and lacks one proves that it never started or has ended.
    ///
    /// Recorded tasks are started under a lease or grants only. Those of the old holder had ended
    /// when the claim was sent, and the longest flight has passed since.
    pub fn settled(&self, worker: &WorkerId, now: MonoTime) -> bool {
        let Some((shard, _)) = self.workers.get(worker) else { return false };
        let over = self.tenures.get(shard).is_some_and(|own| own.report_from.reached(now));
        over && self.lease_end().is_some_and(|end| now < end)
    }

    fn giving(&self, shard: &ShardId) -> Option<&OwnTenure> {
        let guards = &self.options.guards;
        self.tenures.get(shard).filter(|own| own.ending.is_none() || !guards.stop_before_release)
    }

    fn standing(&self, shard: &ShardId, now: MonoTime) -> Option<(Mode, MonoTime)> {
        let tenure = self.history.tenure(shard)?;
        let cleared = |mode| if tenure.previous.is_some() { Mode::Claimed } else { mode };
        let lease = self.lease_end().filter(|&end| now < end);
        if let Some(end) = lease {
            return Some((cleared(Mode::Lease), end));
        }
        let granted = self.grants_end().filter(|&end| now < end);
        let granted = granted.map(|end| (cleared(Mode::Grants), end));
        Some(granted.unwrap_or((Mode::Escrow, NEVER)))
    }

    pub(crate) fn lease_end(&self) -> Option<MonoTime> {
        let end = self.lease.end(&self.options)?;
        Some(if self.options.guards.lease_ends { end } else { NEVER })
    }

    /// When the first of the grants of all other members of the roster runs out; nothing where one
    /// is missing or there is no other member.
    pub(crate) fn grants_end(&self) -> Option<MonoTime> {
        let others = self.history.roster().map(|(key, _)| key).filter(|key| **key != self.me);
        let ends: Vec<_> = others.map(|key| self.grants.got_until(key)).collect();
        if !self.options.guards.grants_from_all {
            return ends.into_iter().flatten().max();
        }
        ends.into_iter().min().flatten()
    }

    /// A grant to the peer, in answer to its heartbeat that it sent at `sent_us` on its own clock;
    /// nothing where this member may want to claim from it. A grant that is returned is
    /// remembered: nothing is claimed from the peer before it has run out.
    pub fn grants_for(
        &mut self,
        peer: &InstanceId,
        peer_incarnation: Incarnation,
        sent_us: u64,
        now: MonoTime,
    ) -> Option<v1::Grant> {
        let key = MemberKey { id: peer.clone(), incarnation: peer_incarnation };
        if !self.may_grant(&key) {
            return None;
        }
        let grant = self.options.grant;
        self.grants.give(key, now + self.options.with_margin(grant));
        Some(v1::Grant {
            to: peer.to_string(),
            to_incarnation: peer_incarnation.0,
            grant_ms: u64::try_from(grant.as_millis()).unwrap_or(u64::MAX),
            sent_us,
        })
    }

    fn may_grant(&self, peer: &MemberKey) -> bool {
        let guards: &Guards = &self.options.guards;
        let members = self.history.in_roster(&self.me) && self.history.in_roster(peer);
        if !members || *peer == self.me || self.superseded || self.plan.is_leaving() {
            return false;
        }
        // Granting to a replaced holder would let it take the whole worker back while the claimant
        // has its share of it.
        if guards.no_grant_to_replaced && self.history.is_replaced(peer) {
            return false;
        }
        // A claim whose answer was lost may still land at any time.
        if guards.no_grant_with_claim_out && self.plan.claims_from(peer) {
            return false;
        }
        // Seen from the tail of the log, the peer has let its lease lapse: it is to be claimed
        // from. Without the log the member can't claim and goes on granting.
        let lapsed = self.lapses_at(peer);
        !self.tail_sent.is_some_and(|tail| lapsed.reached(tail))
    }

    /// Takes in a grant of a peer; it is counted from when this member asked for it.
    pub fn on_grant(
        &mut self,
        from: &InstanceId,
        from_incarnation: Incarnation,
        grant: &v1::Grant,
        now: MonoTime,
    ) {
        let guarded = self.options.guards.grant_incarnation;
        let to_me = grant.to == self.me.id.as_str()
            && (!guarded || grant.to_incarnation == self.me.incarnation.0);
        let sent = MonoTime(grant.sent_us);
        if !to_me || sent > now {
            return;
        }
        let key = MemberKey { id: from.clone(), incarnation: from_incarnation };
        let current = self.history.roster().map(|(k, _)| k).find(|k| k.id == *from);
        let key = if guarded { key } else { current.cloned().unwrap_or(key) };
        self.grants.take(key, sent + std::time::Duration::from_millis(grant.grant_ms));
    }

    /// When the member's lease has certainly lapsed, by what was read of it.
    pub(crate) fn lapses_at(&self, key: &MemberKey) -> MonoTime {
        if !self.options.guards.claim_after_lapse {
            return MonoTime(0);
        }
        let read = self.renewal_read.get(key).copied().unwrap_or_default();
        read + self.options.with_margin(self.options.lease)
    }
}
