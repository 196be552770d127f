//! One member's view of the holding stream of its data centre: what it has read and noted.
//!
//! What it may give is decided in [`crate::permit`], what it appends in [`crate::plan`].

use std::collections::BTreeMap;

use lilacpass_core::{
    MonoTime, Resources,
    ids::{Epoch, Incarnation, InstanceId, Offset, ShardId, WorkerId},
};
use lilacpass_schema::v1;

use crate::{
    grants::Grants,
    history::{Change, History, MemberKey, Tenure, VoidReason},
    lease::OwnLease,
    list::{ListWatch, ListedInstance},
    options::HoldOptions,
    plan::Plan,
    tenure::{Origin, OwnTenure, Report},
};

/// A shard of the configuration in force.
#[derive(Clone, Debug)]
pub struct ShardSpec {
    /// The shard.
    pub shard: ShardId,
    /// Its workers, with what each has.
    pub workers: Vec<(WorkerId, Resources)>,
}

/// What folding a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoldOutcome {
    /// It changed the history.
    Applied,
    /// It changed nothing.
    Void(VoidReason),
}

/// What the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldAction {
    /// Append the record to the holding stream, now; it counts as sent at the `now` of the call.
    Append(v1::HoldingRecord),
    /// The member holds the shard no more: abort starts that are under way. Answers that are still
    /// awaited from its workers may be awaited on.
    Lost(ShardId),
    /// The member holds the shard now.
    Gained(ShardId, Epoch),
}

/// What became of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The log has it.
    Done,
    /// It certainly was not sent, or was refused.
    Failed,
    /// The answer was lost; reading settles it.
    Unknown,
}

/// A shard that the member lost to a claim without a release, and has yet to clear.
#[derive(Clone, Debug)]
pub(crate) struct LostShard {
    pub(crate) shard: ShardId,
    pub(crate) epoch: Epoch,
    pub(crate) since: MonoTime,
    pub(crate) sent: Option<MonoTime>,
}

/// One member's view of the holding stream of its data centre.
#[derive(Clone, Debug)]
pub struct Holding {
    pub(crate) me: MemberKey,
    pub(crate) options: HoldOptions,
    /// The history as folded so far.
    pub(crate) history: History,
    /// Offset that is folded next.
    pub(crate) next: Offset,
    /// When the last read was sent that found nothing beyond what was folded; nothing after a
    /// failure of the log.
    pub(crate) tail_sent: Option<MonoTime>,
    /// Shards of the configuration, in order.
    pub(crate) shards: Vec<ShardId>,
    pub(crate) workers: BTreeMap<WorkerId, (ShardId, Resources)>,
    pub(crate) list: ListWatch,
    /// When the last renewal of each member was read.
    pub(crate) renewal_read: BTreeMap<MemberKey, MonoTime>,
    /// When the last change of each shard was read.
    pub(crate) change_read: BTreeMap<ShardId, MonoTime>,
    /// When this member's own join was read.
    pub(crate) join_read: Option<MonoTime>,
    /// When a newer incarnation of any member was read last.
    pub(crate) replacement_read: Option<MonoTime>,
    pub(crate) lease: OwnLease,
    pub(crate) grants: Grants,
    pub(crate) tenures: BTreeMap<ShardId, OwnTenure>,
    pub(crate) lost: Vec<LostShard>,
    pub(crate) plan: Plan,
    /// Actions that reading caused, for the next tick.
    pub(crate) queued: Vec<HoldAction>,
    pub(crate) superseded: bool,
    /// Address at which this member listens to peers.
    pub(crate) address: String,
}

impl Holding {
    /// The view of a member that has read nothing yet. `_now` is the present time.
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        options: HoldOptions,
        _now: MonoTime,
    ) -> Self {
        Self {
            me: MemberKey { id: me, incarnation },
            history: History::new(options.guards),
            options,
            next: Offset(0),
            tail_sent: None,
            shards: Vec::new(),
            workers: BTreeMap::new(),
            list: ListWatch::default(),
            renewal_read: BTreeMap::new(),
            change_read: BTreeMap::new(),
            join_read: None,
            replacement_read: None,
            lease: OwnLease::default(),
            grants: Grants::default(),
            tenures: BTreeMap::new(),
            lost: Vec::new(),
            plan: Plan::default(),
            queued: Vec::new(),
            superseded: false,
            address: String::new(),
        }
    }

    /// Sets the address at which this member listens to peers, as IP:port. Only an address that it
    /// has bound itself may be given: it proves an earlier incarnation with the same one dead.
    pub fn set_address(&mut self, address: &str) {
        self.address = address.to_owned();
    }

    /// Takes in the shards of the configuration in force.
    pub fn set_shards(&mut self, shards: Vec<ShardSpec>, _now: MonoTime) {
        self.workers.clear();
        self.shards = shards.iter().map(|s| s.shard.clone()).collect();
        self.shards.sort();
        for ShardSpec { shard, workers } in shards {
            let of_shard = workers.into_iter().map(|(w, has)| (w, (shard.clone(), has)));
            self.workers.extend(of_shard);
        }
    }

    /// Takes in the entry instances of the own data centre, as the lagging list shows them.
    pub fn set_instances(&mut self, listed: &[ListedInstance], now: MonoTime) {
        self.list.update(listed, self.history.members().map(|(key, _)| key), now);
    }

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
        if let Change::Claimed(shard) | Change::Released(shard) = change {
            self.change_read.insert(shard.clone(), now);
        }
        claim_sent
    }

    /// Brings the own tenures in line with the history.
    fn reconcile(&mut self, claim_sent: Option<MonoTime>, now: MonoTime) {
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
            let mut own = own_tenure(tenure, claim_sent, self.replacement_read, &self.options, now);
            if self.superseded || self.plan.is_leaving() {
                own.end(now);
            }
            self.tenures.insert(shard.clone(), own);
            self.queued.push(HoldAction::Gained(shard.clone(), tenure.epoch));
        }
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

    /// The history as a message, covering all records that were folded.
    pub fn snapshot(&self) -> v1::HoldingSnapshot {
        self.history.snapshot()
    }

    /// Offset that is folded next.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// A read that was sent at `sent_at` found nothing beyond `tail`.
    pub fn at_tail(&mut self, tail: Offset, sent_at: MonoTime, _now: MonoTime) {
        if tail <= self.next {
            self.tail_sent = self.tail_sent.max(Some(sent_at));
        }
    }

    /// A read or an append failed.
    pub fn log_failed(&mut self, _now: MonoTime) {
        self.tail_sent = None;
    }

    /// What became of the append of the record with this sequence number.
    pub fn appended(&mut self, sequence: u64, outcome: AppendOutcome, _now: MonoTime) {
        if outcome == AppendOutcome::Failed {
            self.plan.append_failed(sequence);
        }
    }

    /// Takes in a report of a worker: the sum of running tasks that this member did not itself
    /// start. `taken_at` is when the picture was taken, or earlier, such as when it was asked for.
    ///
    /// Give each report before using [`Holding::limit`], and count the same tasks as adopted.
    pub fn report(
        &mut self,
        worker: &WorkerId,
        taken_at: MonoTime,
        others: Resources,
        _now: MonoTime,
    ) {
        let Some((shard, _)) = self.workers.get(worker) else { return };
        if let Some(own) = self.tenures.get_mut(shard) {
            own.report(worker, Report { taken_at, others });
        }
    }

    /// The holder of the shard.
    pub fn holder_of(&self, shard: &ShardId) -> Option<&InstanceId> {
        self.history.tenure(shard)?.holder.as_ref().map(|key| &key.id)
    }

    /// The epoch of the shard's last tenure.
    pub fn epoch_of(&self, shard: &ShardId) -> Option<Epoch> {
        self.history.tenure(shard).map(|t| t.epoch)
    }

    /// Shards that this member holds.
    pub fn held(&self) -> impl Iterator<Item = &ShardId> {
        self.tenures.keys()
    }

    /// The members of the roster.
    pub fn roster(&self) -> impl Iterator<Item = &MemberKey> {
        self.history.roster().map(|(key, _)| key)
    }

    /// Whether a newer incarnation of this instance is known: this one gives nothing any more.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Whether this member is in the roster, as far as it has read.
    pub fn joined(&self) -> bool {
        self.history.in_roster(&self.me)
    }
}

fn own_tenure(
    tenure: &Tenure,
    claim_sent: Option<MonoTime>,
    replacement_read: Option<MonoTime>,
    options: &HoldOptions,
    now: MonoTime,
) -> OwnTenure {
    let origin = match (&tenure.previous, tenure.inherited) {
        (None, _) => Origin::Released,
        (Some(_), false) => Origin::Unclean,
        (Some(_), true) => Origin::Inherited,
    };
    let flight = options.with_margin(options.start_flight);
    // The old holder's lease and grants had run out when the claim was sent, so from then on it
    // keeps to its half; what it started before that has arrived after the longest flight.
    let claimed_over = claim_sent.unwrap_or(now) + flight;
    // A holder that was proved dead by its successor's address may have started work right before.
    let replaced_over = replacement_read.map(|read| read + flight).unwrap_or_default();
    let report_from = match origin {
        Origin::Unclean if options.guards.report_wait => claimed_over,
        Origin::Released | Origin::Inherited if options.guards.report_wait => {
            now.max(replaced_over)
        }
        _ => now,
    };
    OwnTenure {
        epoch: tenure.epoch,
        origin,
        report_from,
        cleared_from: (origin == Origin::Released).then_some(report_from),
        reports: BTreeMap::new(),
        ending: None,
    }
}
