//! The platform's store: topics of keyed records with conditional appends, as PROTOCOL.md describes them.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde_json::json;

use crate::http::{Reply, Request};

const RECENT_APPENDS: usize = 5;

#[derive(Default)]
struct Writer {
    epoch: u64,
    next: u64,
    recent: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    writers: HashMap<String, Writer>,
}

impl Partition {
    fn push(&mut self, record: &[u8]) {
        let offset = self.records.len() as u64;
        if let Some((&length, rest)) = record.split_first() {
            let (key, value) = rest.split_at(usize::from(length).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, value.to_vec()));
            }
        }
        self.records.push(record.to_vec());
    }
}

#[derive(Default)]
pub struct Store {
    partitions: HashMap<(String, u64), Partition>,
}

fn key(request: &Request) -> (String, u64) {
    (request.query("topic").unwrap_or_default().to_owned(), request.number("part").unwrap_or(0))
}

fn split(mut body: &[u8]) -> Option<Vec<&[u8]>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        records.push(body.get(4..4 + length)?);
        body = &body[4 + length..];
    }
    Some(records)
}

impl Store {
    /// Writes a keyed record as the operator or a worker does. An empty value removes the key.
    pub fn put(&mut self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.partitions.entry((topic.to_owned(), 0)).or_default().push(&record);
    }

    pub fn append(&mut self, request: &Request) -> Reply {
        let Some(records) = split(&request.body) else { return Reply::json(400, &json!({})) };
        let partition = self.partitions.entry(key(request)).or_default();
        let end = partition.records.len() as u64;
        let writer = request.query("producer").map(|name| {
            let number = |field| request.number(field).unwrap_or(0);
            (name.to_owned(), number("epoch"), number("seqNum"))
        });
        if let Some((name, epoch, sequence)) = &writer
            && let Some(known) = partition.writers.get(name)
        {
            if *epoch < known.epoch {
                return Reply::json(409, &json!({ "reason": "fenced" }));
            }
            if *epoch == known.epoch {
                if let Some((_, offset, end)) = known.recent.iter().find(|r| r.0 == *sequence) {
                    return Reply::json(200, &json!({ "offset": offset, "end": end }));
                }
                if *sequence != known.next {
                    return Reply::json(409, &json!({ "reason": "seq", "expected": known.next }));
                }
            }
        }
        if request.number("at").is_some_and(|at| at != end) {
            return Reply::json(412, &json!({ "end": end }));
        }
        records.iter().for_each(|record| partition.push(record));
        let new_end = partition.records.len() as u64;
        if let Some((name, epoch, sequence)) = writer {
            let known = partition.writers.entry(name).or_default();
            if epoch > known.epoch {
                *known = Writer { epoch, ..Writer::default() };
            }
            known.next = sequence + 1;
            known.recent.push_back((sequence, end, new_end));
            if known.recent.len() > RECENT_APPENDS {
                known.recent.pop_front();
            }
        }
        Reply::json(200, &json!({ "offset": end, "end": new_end }))
    }

    /// The response to a read, or `None` if there is no record at the offset yet.
    pub fn read(&self, request: &Request) -> (Reply, bool) {
        let empty = Partition::default();
        let partition = self.partitions.get(&key(request)).unwrap_or(&empty);
        let from = request.number("from").unwrap_or(0);
        let max = request.number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let end = partition.records.len() as u64;
        let mut body = end.to_be_bytes().to_vec();
        body.extend(0u64.to_be_bytes());
        let mut has_records = false;
        for record in partition.records.iter().skip(from as usize) {
            if has_records && body.len() + record.len() > max {
                break;
            }
            has_records = true;
            body.extend((record.len() as u32).to_be_bytes());
            body.extend(record);
        }
        (Reply(200, body), has_records)
    }

    pub fn newest(&self, request: &Request) -> Reply {
        let empty = Partition::default();
        let partition = self.partitions.get(&key(request)).unwrap_or(&empty);
        let after = request.query("after").unwrap_or_default();
        let mut items = Vec::new();
        let mut has_more = false;
        for (key, (offset, value)) in
            partition.newest.iter().filter(|(key, _)| key.as_str() > after)
        {
            if items.len() == 500 {
                has_more = true;
                break;
            }
            items.push(json!({ "key": key, "value": base64(value), "offset": offset }));
        }
        let end = partition.records.len();
        Reply::json(200, &json!({ "items": items, "hasMore": has_more, "end": end }))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let is_used = digit <= chunk.len();
            let index = (number >> (18 - 6 * digit) & 63) as usize;
            text.push(if is_used { char::from(DIGITS[index]) } else { '=' });
        }
    }
    text
}
