//! The platform's store: partitions of records, with conditional appends, reads that wait, and the newest record of
//! each key of a keyed topic.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::json;

use crate::http::{Request, Response};

/// Time that the store takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);
/// Appends of a producer of which a repetition gets the first answer again.
const REMEMBERED_APPENDS: usize = 5;
/// Most items of one page of newest records.
const PAGE: usize = 500;

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    recent: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

impl Partition {
    fn push(&mut self, record: Vec<u8>, is_keyed: bool) {
        if is_keyed && let Some((&length, rest)) = record.split_first() {
            let (key, value) = rest.split_at(usize::from(length).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (self.records.len() as u64, value.to_vec()));
            }
        }
        self.records.push(record);
    }
}

/// The store.
#[derive(Default)]
pub struct Store {
    partitions: Mutex<HashMap<(String, String), Partition>>,
    appended: Condvar,
}

impl Store {
    /// Writes a record as the operator or a worker does. An empty value drops the key.
    pub fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry((topic.to_owned(), "0".to_owned())).or_default();
        partition.push(record, true);
        self.appended.notify_all();
    }

    /// Answers a call.
    pub fn answer(&self, request: Request) -> Option<Response> {
        thread::sleep(ANSWER);
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let key = (text("topic"), text("part"));
        Some(match request.path.as_str() {
            "/v1/log-append" => self.append(key, &request, number),
            "/v1/log-read" => self.read(&key, number("from")?, number("waitMs").unwrap_or(0)),
            "/v1/log-newest" => self.newest(&key, &text("after")),
            _ => Response::json(404, &json!({})),
        })
    }

    fn append(
        &self,
        key: (String, String),
        request: &Request,
        number: impl Fn(&str) -> Option<u64>,
    ) -> Response {
        let is_keyed = key.0.starts_with("keyed.");
        if key.0 == "keyed.op" || key.0 == "keyed.servers" {
            return Response::json(403, &json!({}));
        }
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry(key).or_default();
        let end = partition.records.len() as u64;
        let name = request.query.get("producer").cloned();
        let (epoch, sequence) = (number("epoch").unwrap_or(0), number("seqNum").unwrap_or(0));
        if let Some(name) = &name {
            let producer = partition.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return Response::json(409, &json!({ "reason": "fenced" }));
            }
            if epoch == producer.epoch {
                let repeated = producer.recent.iter().find(|(known, ..)| *known == sequence);
                if let Some((_, offset, end)) = repeated {
                    return Response::json(200, &json!({ "offset": offset, "end": end }));
                }
                if let Some(next) = producer.next.filter(|next| *next != sequence) {
                    return Response::json(409, &json!({ "reason": "seq", "seqNum": next }));
                }
            }
        }
        if number("at").is_some_and(|at| at != end) {
            return Response::json(412, &json!({ "end": end }));
        }
        let mut body = request.body.as_slice();
        while body.len() >= 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            partition.push(body[4..4 + length].to_vec(), is_keyed);
            body = &body[4 + length..];
        }
        let new_end = partition.records.len() as u64;
        if let Some(name) = name {
            let producer = partition.producers.entry(name).or_default();
            if epoch > producer.epoch {
                *producer = Producer { epoch, ..Producer::default() };
            }
            producer.next = Some(sequence + 1);
            producer.recent.push_back((sequence, end, new_end));
            if producer.recent.len() > REMEMBERED_APPENDS {
                producer.recent.pop_front();
            }
        }
        self.appended.notify_all();
        Response::json(200, &json!({ "offset": end, "end": new_end }))
    }

    fn read(&self, key: &(String, String), from: u64, wait_ms: u64) -> Response {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut partitions = self.partitions.lock().unwrap();
        loop {
            let records = partitions.get(key).map_or(&[][..], |partition| &partition.records);
            let left = until.saturating_duration_since(Instant::now());
            if (records.len() as u64) > from || left.is_zero() {
                let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
                bytes.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from as usize) {
                    bytes.extend((record.len() as u32).to_be_bytes());
                    bytes.extend(record);
                }
                return Response::bytes(bytes);
            }
            partitions = self.appended.wait_timeout(partitions, left).unwrap().0;
        }
    }

    fn newest(&self, key: &(String, String), after: &str) -> Response {
        let partitions = self.partitions.lock().unwrap();
        let Some(partition) = partitions.get(key) else {
            return Response::json(200, &json!({ "items": [], "hasMore": false, "end": 0 }));
        };
        let mut rest = partition.newest.iter().filter(|(key, _)| key.as_str() > after);
        let items: Vec<_> = rest
            .by_ref()
            .take(PAGE)
            .map(|(key, (offset, value))| {
                json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
            })
            .collect();
        let has_more = rest.next().is_some();
        let end = partition.records.len();
        Response::json(200, &json!({ "items": items, "hasMore": has_more, "end": end }))
    }
}
