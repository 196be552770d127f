//! A log service in memory that can be down, or lose its answers.

use std::collections::BTreeMap;

use lilacpass_control::event::Stream;
use lilacpass_core::{MonoTime, ids::Offset};
use lilacpass_schema::v1;

/// What the log does with appends and reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// It works.
    Up,
    /// All calls fail without effect.
    Down,
    /// Reads are answered, appends fail without effect.
    ReadOnly,
    /// Appends take effect, and their answers are lost.
    LosesAnswers,
    /// Appends get no answer and take effect some seconds later.
    Late,
}

/// The streams of a cell. The holding stream is one per data centre.
#[derive(Debug)]
pub(crate) struct Log {
    streams: BTreeMap<(Stream, String), Vec<(MonoTime, v1::Record)>>,
    pub(crate) mode: Mode,
    pub(crate) appends: u64,
    /// Records that each stream keeps; older ones are dropped.
    pub(crate) retention: u64,
    /// Records before these offsets are dropped too.
    pub(crate) dropped: BTreeMap<Stream, u64>,
}

impl Log {
    pub(crate) fn new() -> Self {
        Self {
            streams: BTreeMap::new(),
            mode: Mode::Up,
            appends: 0,
            retention: u64::MAX,
            dropped: BTreeMap::new(),
        }
    }

    fn key(stream: Stream, data_centre: &str) -> (Stream, String) {
        match stream {
            Stream::Holding => (stream, data_centre.to_owned()),
            _ => (stream, String::new()),
        }
    }

    /// Appends records and returns the offset of the first one.
    pub(crate) fn append(
        &mut self,
        stream: Stream,
        data_centre: &str,
        records: Vec<v1::Record>,
        now: MonoTime,
    ) -> Offset {
        self.appends += 1;
        let kept = self.streams.entry(Self::key(stream, data_centre)).or_default();
        let first = Offset(kept.len() as u64);
        kept.extend(records.into_iter().map(|record| (now, record)));
        first
    }

    /// All records that were ever appended.
    pub(crate) fn all(
        &self,
        stream: Stream,
        data_centre: &str,
    ) -> impl Iterator<Item = &v1::Record> {
        self.streams.get(&Self::key(stream, data_centre)).into_iter().flatten().map(|(_, r)| r)
    }

    /// The records from `from` on.
    pub(crate) fn read(
        &self,
        stream: Stream,
        data_centre: &str,
        from: u64,
    ) -> Vec<(Offset, v1::Record)> {
        let kept = self.streams.get(&Self::key(stream, data_centre));
        let from = from.max(self.oldest(stream, data_centre));
        let records = kept.into_iter().flatten().enumerate().skip(from as usize);
        records.map(|(i, (_, record))| (Offset(i as u64), record.clone())).collect()
    }

    /// The oldest offset that is still kept.
    pub(crate) fn oldest(&self, stream: Stream, data_centre: &str) -> u64 {
        let dropped = self.dropped.get(&stream).copied().unwrap_or_default();
        self.tail(stream, data_centre).saturating_sub(self.retention).max(dropped)
    }

    /// The offset behind the last record that was there at `at`.
    pub(crate) fn tail_at(&self, stream: Stream, data_centre: &str, at: MonoTime) -> u64 {
        let kept = self.streams.get(&Self::key(stream, data_centre));
        kept.map_or(0, |kept| kept.partition_point(|(appended, _)| *appended <= at) as u64)
    }

    /// The offset that the next record gets.
    pub(crate) fn tail(&self, stream: Stream, data_centre: &str) -> u64 {
        self.streams.get(&Self::key(stream, data_centre)).map_or(0, |kept| kept.len() as u64)
    }
}
