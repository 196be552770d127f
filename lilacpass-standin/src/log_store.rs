//! The streams of the log service, in memory.

use std::collections::{BTreeMap, VecDeque};

use lilacpass_schema::v1;

/// Records in an answer where the reader names no limit.
const DEFAULT_MAX_RECORDS: usize = 1000;
/// Bytes of records after which an answer is ended.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// All streams, each with offsets from 0 and a limited number of kept records.
#[derive(Debug)]
pub struct LogStore {
    streams: BTreeMap<String, Stream>,
    retention_records: usize,
}

/// Kept records of one stream.
#[derive(Debug, Default)]
struct Stream {
    oldest: u64,
    records: VecDeque<Vec<u8>>,
}

impl LogStore {
    /// An empty log that keeps the last `retention_records` of each stream.
    pub fn new(retention_records: usize) -> Self {
        Self { streams: BTreeMap::new(), retention_records: retention_records.max(1) }
    }

    /// Appends records in one piece; returns the offset of the first.
    pub fn append(&mut self, stream: &str, records: Vec<Vec<u8>>) -> u64 {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let first_offset = stream.tail();
        stream.records.extend(records);
        let excess = stream.records.len().saturating_sub(self.retention_records);
        stream.records.drain(..excess);
        stream.oldest += excess as u64;
        first_offset
    }

    /// Reads from an offset on, or from the oldest kept record where that is later.
    pub fn read(&self, stream: &str, from_offset: u64, max_records: u32) -> v1::ReadAnswer {
        let empty = Stream::default();
        let stream = self.streams.get(stream).unwrap_or(&empty);
        let first_offset = from_offset.max(stream.oldest);
        let skip = usize::try_from(first_offset - stream.oldest).unwrap_or(usize::MAX);
        let max = match max_records {
            0 => DEFAULT_MAX_RECORDS,
            max => max as usize,
        };
        let mut bytes = 0;
        let within_bytes = |record: &&Vec<u8>| {
            let fits = bytes < MAX_ANSWER_BYTES;
            bytes += record.len();
            fits
        };
        let records =
            stream.records.iter().skip(skip).take(max).take_while(within_bytes).cloned().collect();
        v1::ReadAnswer {
            first_offset,
            records,
            tail_offset: stream.tail(),
            oldest_offset: stream.oldest,
        }
    }
}

impl Stream {
    fn tail(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }
}
