//! Reading the streams of the log: order, tail, and what becomes of each record.

use std::{collections::BTreeMap, time::Duration};

use lilacpass_core::{MonoTime, ids::Offset};
use lilacpass_schema::v1;

use crate::{
    Control, counters,
    event::{ReadRecord, Stream},
};

/// Time without an answer of the log after which it counts as not reachable. A read at the tail
/// waits for news, so silence for less than that says nothing.
const LOG_SILENT: Duration = Duration::from_millis(2_500);

/// How far a stream has been read.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    next: Offset,
    /// When the last read that reached the tail was sent.
    tail_at: Option<MonoTime>,
}

/// How far the streams have been read.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    positions: BTreeMap<Stream, Position>,
    answered_at: Option<MonoTime>,
    failed_at: Option<MonoTime>,
}

impl Streams {
    /// Whether the stream has been read to its tail at least once.
    pub(crate) fn is_complete(&self, stream: Stream) -> bool {
        self.positions.get(&stream).is_some_and(|position| position.tail_at.is_some())
    }

    /// Whether a read that was sent at `since` or later has reached the tail.
    pub(crate) fn tail_reached_since(&self, stream: Stream, since: MonoTime) -> bool {
        let position = self.positions.get(&stream);
        position.and_then(|p| p.tail_at).is_some_and(|tail_at| tail_at >= since)
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
        tail: Offset,
        now: MonoTime,
    ) {
        self.log_answered(now);
        let mut next = self.streams.positions.entry(stream).or_default().next;
        for (offset, record) in records {
            if offset < next {
                continue;
            }
            if offset > next {
                counters::bump(&self.counters.history_lost);
                self.history_lost(stream, offset);
            }
            next = offset.next();
            counters::bump(&self.counters.records_read);
            self.on_record(stream, offset, record, sent_at, now);
        }
        let position = self.streams.positions.entry(stream).or_default();
        position.next = next;
        if next >= tail {
            position.tail_at = Some(position.tail_at.map_or(sent_at, |at| at.max(sent_at)));
            self.outbox_at_tail(stream, sent_at, now);
            if stream == Stream::Holding {
                self.holding.at_tail(tail, sent_at, now);
            }
        }
    }

    /// Records before `first_kept` were gone from the log before they were read.
    fn history_lost(&mut self, stream: Stream, first_kept: Offset) {
        log::warn!(stream:? = stream, first_kept:% = first_kept; "records were gone before they were read");
        if stream == Stream::Config {
            self.config.truncated(first_kept);
        }
    }

    fn on_record(
        &mut self,
        stream: Stream,
        offset: Offset,
        record: ReadRecord,
        sent_at: MonoTime,
        now: MonoTime,
    ) {
        let record = match record {
            ReadRecord::Good(record) => record,
            ReadRecord::Bad(reason) => {
                counters::bump(&self.counters.records_bad);
                log::warn!(stream:? = stream, offset:% = offset, reason:% = reason; "record skipped");
                self.skip_record(stream, offset, now);
                return;
            }
        };
        self.outbox_seen(stream, &record.record_id);
        let id = record.record_id;
        match (stream, record.body) {
            (Stream::Holding, Some(v1::record::Body::Holding(body))) => {
                self.on_holding_record(offset, &body, sent_at, now);
            }
            (Stream::Jobs, Some(v1::record::Body::Job(body))) => {
                self.on_job_record(offset, &id, &body, now);
            }
            (Stream::Config, Some(v1::record::Body::Config(body))) => {
                self.on_config_record(offset, &id, &body, now);
            }
            (Stream::Audit, Some(v1::record::Body::Audit(entry))) => self.audit.push(offset, entry),
            (_, Some(v1::record::Body::Snapshot(_))) => {}
            _ => counters::bump(&self.counters.records_void),
        }
        self.skip_record(stream, offset, now);
    }

    /// Tells the fold of a stream that the record at `offset` was read and was none of its own, or
    /// that it was folded already.
    fn skip_record(&mut self, stream: Stream, offset: Offset, now: MonoTime) {
        match stream {
            Stream::Config => self.config.skip(offset),
            Stream::Holding => self.skip_holding_record(offset, now),
            Stream::Jobs | Stream::Audit => {}
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
