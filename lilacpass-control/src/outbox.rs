//! Records that wait to be appended: gathered, sent one batch at a time, settled by reading.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use lilacpass_core::{MonoTime, Verdict, ids::Offset};
use lilacpass_schema::v1;
use prost::Message;

use crate::{
    Control,
    calls::Pending,
    counters,
    event::{CallFailure, CallId, Effect, FailureKind, Stream},
};

/// Most records in one append.
const MAX_BATCH: usize = 256;
/// Most bytes of records in one append, but for a single larger record.
const MAX_BATCH_BYTES: usize = 512 << 10;
/// Longest that records are gathered while the log refuses appends over its rate.
const MAX_GATHER: Duration = Duration::from_millis(200);
/// Pause before the next try after a failed append.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The records of one stream that are not known to be in the log yet.
///
/// An append whose answer was lost may have taken effect. Its records are then neither dropped nor
/// appended again blindly: they wait until a read that was sent after the failure has reached the
/// tail. Those that were read are done, the others are queued again. Should the lost append take
/// effect even later, the fold meets a record id that it knows, or a record that its rules make
/// void, so a second copy changes nothing.
#[derive(Debug)]
pub(crate) struct Outbox {
    queue: VecDeque<v1::Record>,
    in_flight: Option<(CallId, Vec<v1::Record>)>,
    unsettled: Vec<v1::Record>,
    unsettled_since: MonoTime,
    /// Ids of queued records that an append of unknown outcome held: it may yet take effect, so
    /// nobody is told that they were not written.
    doubted: BTreeSet<String>,
    flush_at: Option<MonoTime>,
    gather: Duration,
    least_gather: Duration,
}

impl Outbox {
    fn new(least_gather: Duration) -> Self {
        Self {
            queue: VecDeque::new(),
            in_flight: None,
            unsettled: Vec::new(),
            unsettled_since: MonoTime::default(),
            doubted: BTreeSet::new(),
            flush_at: None,
            gather: least_gather,
            least_gather,
        }
    }

    fn push(&mut self, record: v1::Record, now: MonoTime) {
        self.queue.push_back(record);
        let due = now + self.gather;
        self.flush_at = Some(self.flush_at.map_or(due, |at| at.min(due)));
    }

    /// Whether nothing waits and nothing is under way.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none() && self.unsettled.is_empty()
    }

    /// Takes the next batch, where one is due and the one before is settled.
    fn next_batch(&mut self, now: MonoTime) -> Option<Vec<v1::Record>> {
        let due = self.flush_at.is_some_and(|at| at.reached(now));
        if !due || self.in_flight.is_some() || !self.unsettled.is_empty() || self.queue.is_empty() {
            return None;
        }
        let count = self.batch_len();
        let batch = self.queue.drain(..count).collect();
        self.flush_at = (!self.queue.is_empty()).then_some(now);
        Some(batch)
    }

    /// How many records go into the next batch: at least one, bounded in number and size.
    fn batch_len(&self) -> usize {
        let mut bytes = 0;
        let fits = |record: &&v1::Record| {
            bytes += record.encoded_len();
            bytes <= MAX_BATCH_BYTES
        };
        self.queue.iter().take(MAX_BATCH).take_while(fits).count().max(1)
    }

    /// The record is in the log, whatever became of the answer to its append.
    fn seen(&mut self, record_id: &str) {
        self.unsettled.retain(|record| record.record_id != record_id);
        self.doubted.remove(record_id);
        if !self.queue.is_empty() {
            self.queue.retain(|record| record.record_id != record_id);
        }
    }

    /// A read that was sent at `sent_at` has reached the tail.
    fn at_tail(&mut self, sent_at: MonoTime, now: MonoTime) {
        if self.unsettled.is_empty() || sent_at <= self.unsettled_since {
            return;
        }
        self.requeue(now);
    }

    fn requeue(&mut self, now: MonoTime) {
        for record in std::mem::take(&mut self.unsettled).into_iter().rev() {
            self.queue.push_front(record);
        }
        self.flush_at = Some(now);
    }

    fn succeeded(&mut self) {
        self.in_flight = None;
        self.gather = self.gather.mul_f64(0.9).max(self.least_gather);
    }

    fn failed(&mut self, failure: &CallFailure, now: MonoTime) {
        let Some((_, records)) = self.in_flight.take() else { return };
        if failure.verdict != Verdict::NotRun {
            self.doubted.extend(records.iter().map(|record| record.record_id.clone()));
        }
        self.unsettled = records;
        self.unsettled_since = now;
        if failure.kind == FailureKind::Refused {
            self.gather = (self.gather * 2).clamp(Duration::from_millis(2), MAX_GATHER);
        }
        if failure.verdict == Verdict::NotRun {
            self.requeue(now);
            self.flush_at = Some(now + RETRY_PAUSE.max(self.gather));
        }
    }

    /// Takes out queued records that were certainly not written, and that `matches` picks.
    fn take_unsent(&mut self, matches: impl Fn(&v1::Record) -> bool) -> Vec<v1::Record> {
        let doubted = &self.doubted;
        let certain = |record: &v1::Record| !doubted.contains(&record.record_id) && matches(record);
        let (taken, kept) = self.queue.drain(..).partition(certain);
        self.queue = kept;
        Vec::from(taken)
    }
}

/// The outboxes of all streams.
pub(crate) fn outboxes(gather: Duration) -> BTreeMap<Stream, Outbox> {
    Stream::ALL.into_iter().map(|stream| (stream, Outbox::new(gather))).collect()
}

impl Control {
    /// Queues a record for a stream and returns the record's id.
    pub(crate) fn append(
        &mut self,
        stream: Stream,
        body: v1::record::Body,
        now: MonoTime,
    ) -> String {
        let record = self.new_record(body);
        let id = record.record_id.clone();
        self.outbox(stream).push(record, now);
        id
    }

    /// Wraps a body into a record with an id that no other record has.
    pub(crate) fn new_record(&mut self, body: v1::record::Body) -> v1::Record {
        self.last_record += 1;
        let record_id =
            format!("{}.{}.{}", self.settings.me, self.settings.incarnation, self.last_record);
        v1::Record { record_id, written_unix_ms: 0, body: Some(body) }
    }

    /// Sends the batches that are due.
    pub(crate) fn flush_outboxes(&mut self, now: MonoTime) {
        for stream in Stream::ALL {
            let Some(records) = self.outbox(stream).next_batch(now) else { continue };
            let call = self.new_call(Pending::Append(stream));
            counters::bump(&self.counters.appends);
            self.outbox(stream).in_flight = Some((call, records.clone()));
            self.out.push(Effect::Append { call, stream, records });
        }
    }

    /// An append of an outbox has ended.
    pub(crate) fn append_done(
        &mut self,
        stream: Stream,
        result: Result<Offset, CallFailure>,
        now: MonoTime,
    ) {
        match result {
            Ok(_) => {
                self.log_answered(now);
                self.outbox(stream).succeeded();
            }
            Err(failure) => {
                counters::bump(&self.counters.appends_failed);
                self.outbox(stream).failed(&failure, now);
                // Over its rate the log is there all the same: the records wait for their turn.
                if failure.kind != FailureKind::Refused {
                    self.log_failed(now);
                    self.refuse_unsent(stream, now);
                }
            }
        }
    }

    /// A record was read from `stream`.
    pub(crate) fn outbox_seen(&mut self, stream: Stream, record_id: &str) {
        self.outbox(stream).seen(record_id);
    }

    /// A read of `stream` that was sent at `sent_at` has reached the tail.
    pub(crate) fn outbox_at_tail(&mut self, stream: Stream, sent_at: MonoTime, now: MonoTime) {
        self.outbox(stream).at_tail(sent_at, now);
    }

    /// Takes queued records out of an outbox that were never sent.
    pub(crate) fn take_unsent(
        &mut self,
        stream: Stream,
        matches: impl Fn(&v1::Record) -> bool,
    ) -> Vec<v1::Record> {
        self.outbox(stream).take_unsent(matches)
    }

    /// When the next batch is due.
    pub(crate) fn outbox_wake(&self) -> Option<MonoTime> {
        let waiting = |outbox: &&Outbox| outbox.in_flight.is_none() && outbox.unsettled.is_empty();
        self.outboxes.values().filter(waiting).filter_map(|outbox| outbox.flush_at).min()
    }

    fn outbox(&mut self, stream: Stream) -> &mut Outbox {
        let least_gather = self.settings.batch;
        self.outboxes.entry(stream).or_insert_with(|| Outbox::new(least_gather))
    }
}
