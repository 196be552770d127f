//! Reading the stream: folding records and bringing the own tenures in line with the history.

use std::collections::BTreeMap;

use lilacpass_core::{
    MonoTime,
    ids::{Offset, ShardId},
};
use lilacpass_schema::v1;

use crate::{
    history::History,
    holding::{FoldOutcome, HoldAction, Holding, LostShard},
    state::{Change, MemberKey, Tenure, VoidReason},
    tenure::{Origin, OwnTenure},
};

impl Holding {
    /// Folds the record at `offset`, which a read returned that was sent at `sent_at`.
    pub fn fold(
        &mut self,
        offset: Offset,
        record: &v1::HoldingRecord,
        _sent_at: MonoTime,
        now: MonoTime,
    ) -> FoldOutcome {
        if offset < self.next {
            return FoldOutcome::Void(VoidReason::AlreadyFolded);
        }
        self.next = offset.next();
        let writer = self.history.writer(record);
        let change = match self.history.apply(offset, record) {
            Ok(change) => change,
            Err(reason) => return FoldOutcome::Void(reason),
        };
        let claim_sent = self.note_change(&change, &writer, record.sequence, now);
        if change != Change::Renewed {
            self.reconcile(claim_sent, now);
        }
        FoldOutcome::Applied
    }

    /// Notes when a change was read, and what it does to the own lease. Returns when the own claim
    /// was sent, where the change is one.
    fn note_change(
        &mut self,
        change: &Change,
        writer: &MemberKey,
        sequence: u64,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let mut claim_sent = None;
        match change {
            Change::Joined(_) | Change::Renewed | Change::Claimed(_) => {
                self.renewal_read.insert(writer.clone(), now);
                if *writer == self.me {
                    claim_sent = self.lease.sent(sequence);
                    self.lease.read_back(sequence, now, &self.options);
                }
            }
            Change::Released(_) | Change::Left | Change::Evicted(_) => {}
        }
        if let Change::Joined(replaced) = change {
            if *writer == self.me {
                self.join_read = Some(now);
            }
            for key in replaced {
                self.list.replaced(key.clone(), now);
                self.replacement_read = Some(now);
            }
        }
        match change {
            Change::Claimed(shard) | Change::Released(shard) => {
                self.change_read.insert(shard.clone(), now);
            }
            // Either may have freed shards, whose turns count from now.
            Change::Joined(_) | Change::Evicted(_) => {
                let free = self.history.tenures().filter(|(_, t)| t.holder.is_none());
                self.change_read.extend(free.map(|(shard, _)| (shard.clone(), now)));
            }
            Change::Renewed | Change::Left => {}
        }
        claim_sent
    }

    /// Brings the own tenures in line with the history.
    fn reconcile(&mut self, claim_sent: Option<MonoTime>, now: MonoTime) {
        self.changed = true;
        let newer = |k: &MemberKey| k.id == self.me.id && k.incarnation > self.me.incarnation;
        if self.history.members().any(|(k, _)| newer(k)) && !self.superseded {
            self.superseded = true;
            self.tenures.values_mut().for_each(|t| t.end(now));
        }
        self.drop_lost_tenures(now);
        self.add_gained_tenures(claim_sent, now);
        let history = &self.history;
        self.renewal_read.retain(|key, _| history.member(key).is_some());
        self.list.retain(|key| history.member(key).is_some());
        self.plan.settle(&self.history);
        if !self.history.in_roster(&self.me) {
            self.join_read = None;
        }
    }

    fn drop_lost_tenures(&mut self, now: MonoTime) {
        let (history, me) = (&self.history, &self.me);
        let kept = |shard: &ShardId, own: &OwnTenure| {
            let tenure = history.tenure(shard);
            tenure.is_some_and(|t| t.holder.as_ref() == Some(me) && t.epoch == own.epoch)
        };
        let gone: Vec<_> =
            self.tenures.iter().filter(|(s, own)| !kept(s, own)).map(|(s, _)| s.clone()).collect();
        for shard in gone {
            let Some(own) = self.tenures.remove(&shard) else { continue };
            let given = own.ending.map_or(now, |ending| ending.since);
            self.last_given.insert(shard.clone(), given);
            let replaced = self.history.tenure(&shard).and_then(|t| t.previous.as_ref());
            if replaced == Some(&self.me) {
                let (shard, epoch) = (shard.clone(), own.epoch);
                self.lost.push(LostShard { shard, epoch, since: now, sent: None });
            }
            self.queued.push(HoldAction::Lost(shard));
        }
        let (history, me) = (&self.history, &self.me);
        self.lost.retain(|lost| {
            let tenure = history.tenure(&lost.shard);
            tenure.is_some_and(|t| t.previous.as_ref() == Some(me))
        });
    }

    fn add_gained_tenures(&mut self, claim_sent: Option<MonoTime>, now: MonoTime) {
        // The old holder may have been proved dead right after its last start.
        let flight = self.options.with_margin(self.options.start_flight);
        let mine = self.history.tenures().filter(|(_, t)| t.holder.as_ref() == Some(&self.me));
        for (shard, tenure) in mine {
            if let Some(own) = self.tenures.get_mut(shard) {
                if tenure.previous.is_none() {
                    own.cleared_from.get_or_insert(now + flight);
                }
                continue;
            }
            let origin = origin(tenure);
            let report_from = self.report_from(shard, origin, claim_sent, now);
            let mut own = OwnTenure {
                epoch: tenure.epoch,
                origin,
                report_from,
                cleared_from: (origin == Origin::Released).then_some(report_from),
                reports: BTreeMap::new(),
                ending: None,
            };
            if self.superseded || self.plan.is_leaving() {
                own.end(now);
            }
            self.tenures.insert(shard.clone(), own);
            self.queued.push(HoldAction::Gained(shard.clone(), tenure.epoch));
        }
    }

    /// From when on a report shows all that was started before the tenure.
    fn report_from(
        &self,
        shard: &ShardId,
        origin: Origin,
        claim_sent: Option<MonoTime>,
        now: MonoTime,
    ) -> MonoTime {
        if !self.options.guards.report_wait {
            return now;
        }
        let flight = self.options.with_margin(self.options.start_flight);
        // The caller forgets what it started in an earlier tenure, also what is still under way.
        let given = self.last_given.get(shard).filter(|_| self.options.guards.own_last_starts);
        let own_over = given.map(|&given| given + flight).unwrap_or_default();
        if origin == Origin::Unclean {
            // The old holder's lease and grants had run out when the claim was sent, so from then
            // on it keeps to its half; what it started before that has arrived after the flight.
            return own_over.max(claim_sent.unwrap_or(now) + flight);
        }
        // A holder that its successor's address proved dead may have started work right before.
        let replaced = self.replacement_read.filter(|_| self.options.guards.last_acts_of_dead);
        let replaced_over = replaced.map(|read| read + flight).unwrap_or_default();
        now.max(own_over).max(replaced_over)
    }

    /// Takes over a snapshot that covers all records before `covers`.
    pub fn restore(&mut self, snapshot: &v1::HoldingSnapshot, covers: Offset, now: MonoTime) {
        if covers < self.next {
            return;
        }
        self.history = History::restore(snapshot, self.options.guards);
        self.next = covers;
        let members = self.history.members().map(|(key, _)| (key.clone(), now));
        self.renewal_read = members.collect();
        self.change_read = self.history.tenures().map(|(s, _)| (s.clone(), now)).collect();
        self.replacement_read = Some(now);
        let replaced: Vec<_> = self.history.members().filter(|(_, m)| !m.in_roster).collect();
        for (key, _) in replaced {
            self.list.replaced(key.clone(), now);
        }
        if self.history.in_roster(&self.me) {
            self.join_read = Some(now);
        }
        self.reconcile(None, now);
    }
}

fn origin(tenure: &Tenure) -> Origin {
    match (&tenure.previous, tenure.inherited) {
        (None, _) => Origin::Released,
        (Some(_), false) => Origin::Unclean,
        (Some(_), true) => Origin::Inherited,
    }
}
