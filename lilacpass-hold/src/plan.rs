//! What this member appends to the holding stream, and when.

use std::{collections::BTreeMap, time::Duration};

use lilacpass_core::{
    MonoTime,
    ids::{Epoch, ShardId},
};
use lilacpass_schema::v1::{self, holding_record::Body};

use crate::{
    claim::PendingClaim,
    history::History,
    holding::{HoldAction, Holding},
    rank,
    state::{MemberKey, MemberState},
    tenure::OwnTenure,
};

/// Time to the next tick while something is expected to become due.
const BUSY_TICK: Duration = Duration::from_millis(50);
/// Shortest time between two ticks that nothing that was read calls for.
const SHORTEST_TICK: Duration = Duration::from_millis(5);

/// What was appended and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plan {
    pub(crate) sequence: u64,
    wake: Option<MonoTime>,
    renew_sent: Option<MonoTime>,
    join_sent: Option<MonoTime>,
    leave_sent: Option<MonoTime>,
    evict_sent: BTreeMap<MemberKey, MonoTime>,
    pub(crate) claims: Vec<PendingClaim>,
    leaving: bool,
}

impl Plan {
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether a claim against the member may still land and be valid.
    pub(crate) fn claims_from(&self, key: &MemberKey) -> bool {
        self.claims.iter().any(|claim| claim.from.as_ref() == Some(key))
    }

    /// Drops claims that are valid or certainly void by now.
    pub(crate) fn settle(&mut self, history: &History) {
        self.claims.retain(|claim| {
            let epoch = history.tenure(&claim.shard).map(|t| t.epoch).unwrap_or_default();
            let from = claim.from.as_ref().and_then(|from| history.member(from));
            let renewed = from.is_some_and(|from| from.renewed != claim.last_renew);
            epoch < claim.epoch && !renewed
        });
        self.evict_sent.retain(|key, _| history.member(key).is_some());
    }

    /// The record certainly was not appended.
    pub(crate) fn append_failed(&mut self, sequence: u64) {
        self.claims.retain(|claim| claim.sequence != sequence);
    }
}

impl Holding {
    /// What is to be done at `now`. Records are to be appended in order, and count as sent now.
    ///
    /// Costs next to nothing while neither anything was read that matters nor a time was reached.
    pub fn tick(&mut self, now: MonoTime) -> Vec<HoldAction> {
        if !self.next_wake(now).reached(now) {
            return Vec::new();
        }
        self.changed = false;
        self.grants.prune(now);
        self.plan.settle(&self.history);
        let mut bodies = Vec::new();
        if !self.superseded {
            self.plan_join(now, &mut bodies);
            self.plan_renew(now, &mut bodies);
            self.plan_evictions(now, &mut bodies);
            self.plan_moves(now);
        }
        self.plan_releases(now, &mut bodies);
        self.plan_leave(now, &mut bodies);
        let mut actions = std::mem::take(&mut self.queued);
        actions.extend(bodies.into_iter().map(|body| self.append(body, now)));
        if !self.superseded && !self.plan.leaving {
            actions.extend(self.plan_claims(now));
        }
        self.plan.wake = Some(self.wake_after(now));
        actions
    }

    /// When [`Holding::tick`] is to be called again, at the latest.
    pub fn next_wake(&self, now: MonoTime) -> MonoTime {
        let wake = self.plan.wake.filter(|_| !self.changed && self.queued.is_empty());
        wake.unwrap_or(now)
    }

    fn wake_after(&self, now: MonoTime) -> MonoTime {
        let renew = self.plan.renew_sent.map_or(now, |sent| sent + self.options.renew);
        let busy = now + BUSY_TICK;
        if self.is_busy(now) { renew.min(busy) } else { renew }.max(now + SHORTEST_TICK)
    }

    /// Whether something may become due before the next renewal.
    fn is_busy(&self, now: MonoTime) -> bool {
        let soon = now + self.options.renew;
        let unheld = |shard: &ShardId| {
            let holder = self.history.tenure(shard).and_then(|t| t.holder.as_ref());
            holder.is_none_or(|key| *key != self.me && self.lapses_at(key) < soon)
        };
        self.plan.leaving
            || !self.history.in_roster(&self.me)
            || !self.lost.is_empty()
            || !self.queued.is_empty()
            || self.tenures.values().any(|own| own.ending.is_some())
            || self.shards.iter().any(unheld)
    }

    /// A planned stop: from now on the member gives nothing, releases its shards and leaves.
    pub fn leave(&mut self, now: MonoTime) {
        self.plan.leaving = true;
        self.changed = true;
        // The next renewal goes out now, so that all know of it before the releases.
        self.plan.renew_sent = None;
        self.tenures.values_mut().for_each(|own| own.end(now));
    }

    /// Whether the planned stop is complete: the member's leave was read back, or it never joined.
    pub fn left(&self) -> bool {
        let never_joined = self.plan.join_sent.is_none();
        let read_back = self.plan.leave_sent.is_some() && !self.history.in_roster(&self.me);
        self.plan.leaving && (never_joined || read_back)
    }

    pub(crate) fn append(&mut self, body: Body, now: MonoTime) -> HoldAction {
        self.plan.sequence += 1;
        let sequence = self.plan.sequence;
        if matches!(body, Body::Join(_) | Body::Renew(_) | Body::Claim(_)) {
            self.lease.record_sent(sequence, now);
        }
        HoldAction::Append(v1::HoldingRecord {
            member: self.me.id.to_string(),
            incarnation: self.me.incarnation.0,
            body: Some(body),
            read_offset: self.next.0,
            sequence,
            leaving: self.plan.leaving || self.list.is_leaving(&self.me.id),
        })
    }

    /// Whether something that was sent then and not read back is to be sent again: reading has
    /// shown since that the log did not have it.
    pub(crate) fn retry_due(&self, sent: Option<MonoTime>, now: MonoTime) -> bool {
        let Some(sent) = sent else { return true };
        let due = sent + self.options.retry;
        due.reached(now) && self.tail_sent.is_some_and(|tail| tail > sent)
    }

    pub(crate) fn tail_is_fresh(&self, now: MonoTime) -> bool {
        self.tail_sent.is_some_and(|tail| now < tail + self.options.lease)
    }

    fn plan_join(&mut self, now: MonoTime, bodies: &mut Vec<Body>) {
        let wanted = !self.history.in_roster(&self.me) && !self.plan.leaving;
        if wanted && self.tail_is_fresh(now) && self.retry_due(self.plan.join_sent, now) {
            self.plan.join_sent = Some(now);
            bodies.push(Body::Join(v1::Join { address: self.address.clone() }));
        }
    }

    fn plan_renew(&mut self, now: MonoTime, bodies: &mut Vec<Body>) {
        let due = self.plan.renew_sent.is_none_or(|sent| (sent + self.options.renew).reached(now));
        if due && self.history.in_roster(&self.me) {
            self.plan.renew_sent = Some(now);
            bodies.push(Body::Renew(v1::Renew {}));
        }
    }

    /// Members that shards may go to: in the roster, renewing and not about to be stopped.
    pub(crate) fn candidates(&self, now: MonoTime) -> Vec<&MemberKey> {
        let fit = |key: &MemberKey, member: &MemberState| {
            let live = *key == self.me || now < self.lapses_at(key);
            live && !member.leaving && !self.list.is_leaving(&key.id)
        };
        self.history.roster().filter(|(key, m)| fit(key, m)).map(|(key, _)| key).collect()
    }

    /// Takes members out of the roster that are known dead. One live member after the other, in
    /// the order of their names, gets its turn; a second record changes nothing.
    fn plan_evictions(&mut self, now: MonoTime, bodies: &mut Vec<Body>) {
        let Some(tail) = self.tail_sent.filter(|_| self.tail_is_fresh(now)) else { return };
        let candidates = self.candidates(now);
        let Some(turn) = candidates.iter().position(|key| **key == self.me) else { return };
        let turn = self.options.stagger * u32::try_from(turn).unwrap_or(u32::MAX);
        let dead = self.history.members().filter(|(key, _)| {
            let from = self.list.dead_from(key, &self.options);
            let from = from.map(|from| from.max(self.lapses_at(key)) + turn);
            **key != self.me && from.is_some_and(|from| from.reached(tail))
        });
        let due =
            dead.filter(|(key, _)| self.retry_due(self.plan.evict_sent.get(key).copied(), now));
        let due: Vec<_> = due.map(|(key, member)| (key.clone(), member.renewed)).collect();
        for (key, renewed) in due {
            bodies.push(Body::Evict(v1::Evict {
                member: key.id.to_string(),
                incarnation: key.incarnation.0,
                last_renew_offset: renewed.0,
            }));
            self.plan.evict_sent.insert(key, now);
        }
    }

    /// Starts to hand over shards that another member should hold, few at once. A shard that is
    /// not cleared stays, and so does every shard while the log can't be reached.
    fn plan_moves(&mut self, now: MonoTime) {
        let leased = self.lease_end().is_some_and(|end| now < end);
        if !leased || !self.tail_is_fresh(now) {
            return;
        }
        let candidates = self.candidates(now);
        let moving = self.tenures.values().filter(|own| own.ending.is_some()).count();
        let allowed = self.options.moves_at_once.saturating_sub(moving);
        let misplaced = self.tenures.iter().filter(|(shard, own)| {
            let settled = own.ending.is_none() && own.cleared_from.is_some();
            settled && !self.belongs_here(shard, &candidates)
        });
        let moves: Vec<_> = misplaced.take(allowed).map(|(shard, _)| shard.clone()).collect();
        for shard in moves {
            self.tenures.entry(shard).and_modify(|own| own.end(now));
        }
    }

    fn belongs_here(&self, shard: &ShardId, candidates: &[&MemberKey]) -> bool {
        if self.shards.binary_search(shard).is_err() {
            return self.shards.is_empty();
        }
        let ids = candidates.iter().map(|key| &key.id);
        rank::ranked(shard, ids).first().is_none_or(|best| **best == self.me.id)
    }

    /// Releases shards whose last start has certainly arrived: own ones that are being handed
    /// over, and lost ones, which clears the claimant.
    fn plan_releases(&mut self, now: MonoTime, bodies: &mut Vec<Body>) {
        let flight = self.options.with_margin(self.options.start_flight);
        let flight = if self.options.guards.release_after_flight { flight } else { Duration::ZERO };
        let tail = self.tail_sent;
        let retry = self.options.retry;
        let due = |since: MonoTime, sent: Option<MonoTime>| {
            let again = sent.is_none_or(|sent| {
                (sent + retry).reached(now) && tail.is_some_and(|tail| tail > sent)
            });
            (since + flight).reached(now) && again
        };
        for (shard, own) in &mut self.tenures {
            let OwnTenure { ending: Some(ending), epoch, .. } = own else { continue };
            if due(ending.since, ending.sent) {
                ending.sent = Some(now);
                bodies.push(release(shard, *epoch));
            }
        }
        for lost in &mut self.lost {
            if due(lost.since, lost.sent) {
                lost.sent = Some(now);
                bodies.push(release(&lost.shard, lost.epoch));
            }
        }
    }

    /// Leaves the roster once nothing is held and no grant is out: peers that read the leave no
    /// longer ask for this member's grants, so these must not be in use any more.
    fn plan_leave(&mut self, now: MonoTime, bodies: &mut Vec<Body>) {
        let done = self.tenures.is_empty() && self.lost.is_empty();
        let until = self.grants.all_given_until();
        let until = until.filter(|_| self.options.guards.leave_after_grants);
        let granted = until.is_some_and(|until| !until.reached(now));
        let ready = self.plan.leaving && self.history.in_roster(&self.me) && done && !granted;
        if ready && self.retry_due(self.plan.leave_sent, now) {
            self.plan.leave_sent = Some(now);
            bodies.push(Body::Leave(v1::Leave {}));
        }
    }
}

fn release(shard: &ShardId, epoch: Epoch) -> Body {
    Body::Release(v1::Release { shard: shard.to_string(), epoch: epoch.0 })
}
