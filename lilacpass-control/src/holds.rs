//! Carries out what the holding state machine asks for.

use lilacpass_core::{
    MonoTime, Verdict,
    ids::{Offset, ShardId},
};
use lilacpass_hold::{AppendOutcome, FoldOutcome, HoldAction};
use lilacpass_schema::v1;

use crate::{
    Control,
    calls::Pending,
    counters,
    event::{CallFailure, Effect, Stream},
};

impl Control {
    /// Lets the holding state machine act.
    pub(crate) fn tick_holding(&mut self, now: MonoTime) {
        let mut appends = Vec::new();
        for action in self.holding.tick(now) {
            match action {
                HoldAction::Append(record) => appends.push(record),
                HoldAction::Gained(shard, _) => self.gained(&shard, now),
                HoldAction::Lost(shard) => self.lost(&shard, now),
            }
        }
        // A release that waits is asked for again from time to time; one copy is enough.
        for record in std::mem::take(&mut self.deferred_releases) {
            let asked_again =
                |other: &v1::HoldingRecord| released_shard(other) == released_shard(&record);
            if !appends.iter().any(asked_again) {
                appends.push(record);
            }
        }
        let (deferred, ready) = appends.into_iter().partition(|record| self.must_wait(record, now));
        self.deferred_releases = deferred;
        self.append_holding(ready);
        let held = self.holding.held().count() as u64;
        counters::set(&self.counters.shards_held, held);
    }

    /// Whether the record gives a shard up while a call that could start something there is under
    /// way. Nothing more is started there, and the record waits for those calls to end: the next
    /// holder must find in the worker's report all that was started.
    fn must_wait(&mut self, record: &v1::HoldingRecord, now: MonoTime) -> bool {
        let Some(shard) = released_shard(record) else { return false };
        let waits = self.starts_under_way(&shard, now);
        self.releasing.insert(shard);
        waits
    }

    fn append_holding(&mut self, records: Vec<v1::HoldingRecord>) {
        if records.is_empty() {
            return;
        }
        let wrapped = records
            .iter()
            .map(|record| self.new_record(v1::record::Body::Holding(record.clone())))
            .collect();
        let call = self.new_call(Pending::AppendHolding(records));
        counters::bump(&self.counters.appends);
        self.out.push(Effect::Append { call, stream: Stream::Holding, records: wrapped });
    }

    /// An append of holding records has ended.
    pub(crate) fn holding_appended(
        &mut self,
        records: &[v1::HoldingRecord],
        result: Result<Offset, CallFailure>,
        now: MonoTime,
    ) {
        let outcome = match &result {
            Ok(_) => AppendOutcome::Done,
            Err(failure) if failure.verdict == Verdict::NotRun => AppendOutcome::Failed,
            Err(_) => AppendOutcome::Unknown,
        };
        match result {
            Ok(_) => self.log_answered(now),
            Err(_) => {
                counters::bump(&self.counters.appends_failed);
                self.log_failed(now);
            }
        }
        for record in records {
            self.holding.appended(record.sequence, outcome, now);
            if outcome == AppendOutcome::Failed
                && let Some(shard) = released_shard(record)
            {
                self.releasing.remove(&shard);
            }
        }
    }

    /// All records before `next` were read: those that were none of its own count as folded too.
    pub(crate) fn skip_holding_before(&mut self, next: Offset, now: MonoTime) {
        if next.0 > 0 {
            self.holding.fold(Offset(next.0 - 1), &v1::HoldingRecord::default(), now, now);
        }
    }

    /// A record of the holding stream was read.
    pub(crate) fn on_holding_record(
        &mut self,
        offset: Offset,
        record: &v1::HoldingRecord,
        sent_at: MonoTime,
        now: MonoTime,
    ) {
        let outcome = self.holding.fold(offset, record, sent_at, now);
        if matches!(outcome, FoldOutcome::Void(_)) {
            counters::bump(&self.counters.records_void);
        }
    }
}

/// The shard that a record gives up, where it is a release.
fn released_shard(record: &v1::HoldingRecord) -> Option<ShardId> {
    match &record.body {
        Some(v1::holding_record::Body::Release(release)) => Some(ShardId::new(&release.shard)),
        _ => None,
    }
}
