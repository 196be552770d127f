//! One member's view of the holding stream of its data centre: what it has read and noted.
//!
//! Reading goes on in `follow`, what it may give is decided in `permit`, what it appends in `plan`
//! and `claim`.

use std::{collections::BTreeMap, net::SocketAddr};

use lilacpass_core::{
    MonoTime, Resources,
    ids::{Epoch, Incarnation, InstanceId, Offset, ShardId, WorkerId},
};
use lilacpass_schema::v1;

use crate::{
    grants::Grants,
    history::History,
    lease::OwnLease,
    list::{ListWatch, ListedInstance},
    options::HoldOptions,
    plan::Plan,
    state::{MemberKey, VoidReason},
    tenure::{OwnTenure, Report},
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
    /// When this member gave work last, at the latest, on shards that it held before.
    pub(crate) last_given: BTreeMap<ShardId, MonoTime>,
    pub(crate) plan: Plan,
    /// Actions that reading caused, for the next tick.
    pub(crate) queued: Vec<HoldAction>,
    pub(crate) superseded: bool,
    /// Whether something was read since the last tick that may call for an action.
    pub(crate) changed: bool,
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
            last_given: BTreeMap::new(),
            plan: Plan::default(),
            queued: Vec::new(),
            superseded: false,
            changed: true,
            address: String::new(),
        }
    }

    /// Sets the address at which this member listens to peers, as IP:port.
    ///
    /// It proves an earlier incarnation with the same address dead, so it must be one that this
    /// process has bound alone (no `SO_REUSEPORT`). An address that other machines can have too,
    /// such as 0.0.0.0, proves nothing and is left out.
    pub fn set_address(&mut self, address: &str) {
        let shared = |a: SocketAddr| a.ip().is_unspecified() || a.port() == 0;
        let proves = !address.parse().is_ok_and(shared);
        self.address = if proves { address.to_owned() } else { String::new() };
    }

    /// Takes in the shards of the configuration in force.
    ///
    /// A worker must be drained before it goes to another shard: its old and its new holder don't
    /// know of each other.
    pub fn set_shards(&mut self, shards: Vec<ShardSpec>, _now: MonoTime) {
        self.changed = true;
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
        self.changed = true;
        self.list.update(listed, self.history.members(), now);
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
            self.changed |= self.tail_sent.is_none();
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
