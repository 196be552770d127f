//! Reading the streams of the log: order, tail, lost history, and what becomes of each record.

use std::{collections::BTreeMap, time::Duration};

use lilacpass_core::{MonoTime, ids::Offset};
use lilacpass_records::{
    positions::{Follower, FollowerOptions, ReadOutcome, Slot},
    snapshots::{Schedule, ScheduleOptions},
};
use lilacpass_schema::v1::{self, record::Body};

use crate::{
    Control, counters,
    event::{ReadRecord, Stream},
};

/// Time without an answer of the log after which it counts as not reachable. A read at the tail
/// waits for news, so silence for less than that says nothing.
const LOG_SILENT: Duration = Duration::from_millis(2_500);

/// How far a stream has been read.
#[derive(Debug)]
pub(crate) struct Position {
    pub(crate) follower: Follower,
    pub(crate) schedule: Schedule,
    /// When the last read that reached the tail was sent.
    tail_at: Option<MonoTime>,
}

/// How far the streams have been read.
#[derive(Debug)]
pub(crate) struct Streams {
    pub(crate) positions: BTreeMap<Stream, Position>,
    answered_at: Option<MonoTime>,
    failed_at: Option<MonoTime>,
}

impl Streams {
    /// Nothing is read yet; a snapshot of a stream is due after `snapshot_records` records.
    pub(crate) fn new(snapshot_records: u64, now: MonoTime) -> Self {
        let position = |stream| {
            let options =
                ScheduleOptions { every_records: snapshot_records, ..ScheduleOptions::default() };
            let follower = Follower::new(FollowerOptions {
                needs_history: stream != Stream::Audit,
                ..FollowerOptions::default()
            });
            (stream, Position { follower, schedule: Schedule::new(options, now), tail_at: None })
        };
        let positions = Stream::ALL.into_iter().map(position).collect();
        Self { positions, answered_at: None, failed_at: None }
    }

    /// Whether the stream has been read to its tail at least once, with nothing missing.
    pub(crate) fn is_complete(&self, stream: Stream) -> bool {
        self.positions
            .get(&stream)
            .is_some_and(|position| position.tail_at.is_some() && position.follower.is_following())
    }

    /// Whether a read that was sent at `since` or later has reached the tail.
    pub(crate) fn tail_reached_since(&self, stream: Stream, since: MonoTime) -> bool {
        let tail_at = self.positions.get(&stream).and_then(|position| position.tail_at);
        self.is_complete(stream) && tail_at.is_some_and(|tail_at| tail_at >= since)
    }

    /// When the log service last answered.
    pub(crate) fn answered_at(&self) -> Option<MonoTime> {
        self.answered_at
    }
}

impl Control {
    /// Records were read from a stream.
    pub(crate) fn on_read(
        &mut self,
        stream: Stream,
        sent_at: MonoTime,
        records: Vec<(Offset, ReadRecord)>,
        (tail, oldest): (Offset, Offset),
        now: MonoTime,
    ) {
        self.log_answered(now);
        let slots: Vec<Slot> =
            records.into_iter().map(|(offset, record)| self.slot(stream, offset, record)).collect();
        let outcome = self.follow(stream, slots, tail, oldest, now);
        if let Some(lost) = outcome.lost {
            counters::bump(&self.counters.history_lost);
            log::warn!(stream:? = stream, from:% = lost.from, to:% = lost.to; "records were gone before they were read");
            if stream == Stream::Config {
                self.config.handle_truncation(lost.to);
            }
        }
        if outcome.restored {
            self.restored(stream, now);
        }
        for (offset, record) in outcome.fold {
            self.on_record(stream, offset, *record, sent_at, now);
        }
        self.note_tail(stream, sent_at, tail, now);
    }

    /// Counts a record as read; one that does not decode is skipped.
    fn slot(&mut self, stream: Stream, offset: Offset, record: ReadRecord) -> Slot {
        counters::bump(&self.counters.records_read);
        match record {
            ReadRecord::Good(record) => {
                self.outbox_seen(stream, &record.record_id);
                (offset, Some(record))
            }
            ReadRecord::Bad(reason) => {
                counters::bump(&self.counters.records_bad);
                log::warn!(stream:? = stream, offset:% = offset, reason:% = reason; "record skipped");
                (offset, None)
            }
        }
    }

    /// Brings the records in order; restores the state from a snapshot where history is missing.
    fn follow(
        &mut self,
        stream: Stream,
        slots: Vec<Slot>,
        tail: Offset,
        oldest: Offset,
        now: MonoTime,
    ) -> ReadOutcome {
        let Some(mut position) = self.streams.positions.remove(&stream) else {
            return ReadOutcome::default();
        };
        let restore =
            |covers: Offset, parts: &[&v1::Snapshot]| self.restore(stream, covers, parts, now);
        let outcome = position.follower.read(slots, tail, oldest, restore);
        self.streams.positions.insert(stream, position);
        outcome
    }

    fn note_tail(&mut self, stream: Stream, sent_at: MonoTime, tail: Offset, now: MonoTime) {
        let Some(position) = self.streams.positions.get_mut(&stream) else { return };
        let next = position.follower.next();
        if next < tail {
            return;
        }
        position.tail_at = Some(position.tail_at.map_or(sent_at, |at| at.max(sent_at)));
        let following = position.follower.is_following();
        self.outbox_at_tail(stream, sent_at, now);
        if stream == Stream::Holding && following {
            self.skip_holding_before(next, now);
            self.holding.at_tail(tail, sent_at, now);
        }
    }

    fn on_record(
        &mut self,
        stream: Stream,
        offset: Offset,
        record: v1::Record,
        sent_at: MonoTime,
        now: MonoTime,
    ) {
        let id = record.record_id;
        match (stream, record.body) {
            (Stream::Holding, Some(Body::Holding(body))) => {
                self.on_holding_record(offset, &body, sent_at, now);
            }
            (Stream::Jobs, Some(Body::Job(body))) => self.on_job_record(offset, &id, &body, now),
            (Stream::Config, Some(Body::Config(body))) => {
                self.on_config_record(offset, &id, &body, now);
            }
            (Stream::Audit, Some(Body::Audit(entry))) => self.audit.push(offset, entry),
            (_, Some(Body::Snapshot(part))) => self.on_snapshot_part(stream, offset, &part, now),
            _ => counters::bump(&self.counters.records_void),
        }
        if stream == Stream::Config {
            self.config.skip(offset);
        }
    }

    /// The log service has answered.
    pub(crate) fn log_answered(&mut self, now: MonoTime) {
        if !self.log_reachable(now) {
            log::info!("log service answers");
        }
        self.streams.answered_at = Some(now);
        self.streams.failed_at = None;
    }

    /// A call to the log service has failed.
    pub(crate) fn log_failed(&mut self, now: MonoTime) {
        if self.log_reachable(now) {
            log::warn!("log service does not answer");
        }
        self.streams.failed_at.get_or_insert(now);
        self.holding.log_failed(now);
    }

    /// Whether the log service answers: it did lately, and no call has failed since.
    pub(crate) fn log_reachable(&self, now: MonoTime) -> bool {
        let recent = self.streams.answered_at.is_some_and(|at| now.since(at) < LOG_SILENT);
        recent && self.streams.failed_at.is_none()
    }
}
