//! Appends of the leader: sent again until the store has said what became of them.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use lilacpass_core::Verdict;
use lilacpass_lead::event::Record;
use lilacpass_platform::store::{self, Append, Condition, Partition, Writer};
use rand::RngExt;
use tokio::time::{self, Instant};

use crate::{metrics, node::Node};

/// An answer is late after so many times the usual time.
const LATE_TIMES: u32 = 8;
/// The shortest time after which an answer is late. The store takes 8 ms ordinarily. Sending again
/// costs one call; waiting for an answer that was lost stops all work meanwhile.
const LEAST_TIMEOUT: Duration = Duration::from_millis(90);
/// Tries with the same timeout, before it doubles each time: lost answers come at random, and with
/// every second one lost most appends are settled by then.
const QUICK_TRIES: u32 = 4;
/// The longest wait for one answer.
const MOST_TIMEOUT: Duration = Duration::from_millis(3_000);
/// First pause before an append is sent again; doubles up to the most.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// The longest pause. All instances together may make a few hundred calls a second.
const MOST_PAUSE: Duration = Duration::from_millis(300);

/// Why an append was not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Another instance has taken over, so this one must not write any more.
    Deposed,
    /// The store has surely done nothing. The number may be used again, for other records too.
    NotDone,
}

/// Stores records as one append of a writer. Returns once the store has said what became of them.
///
/// An append without an answer may be carried out later, so it is sent again under the same number
/// until there is an answer; the store carries it out once.
pub async fn store(
    node: &Rc<Node>,
    partition: &Partition,
    writer: Writer,
    records: &Bytes,
) -> Result<(), Failure> {
    let condition = Condition { at: None, writer: Some(writer) };
    let mut timeout = first_timeout(node);
    let mut pause = FIRST_PAUSE;
    let mut may_be_done = false;
    let mut tries = 0;
    loop {
        let sent = Instant::now();
        let result = node.store.append(partition, condition, records, timeout).await;
        node.metrics.append(metrics::outcome(&result), sent.elapsed());
        match result {
            Ok(Append::Stored { .. }) => {
                node.store_heard();
                learn(node, sent.elapsed());
                return Ok(());
            }
            Ok(other @ (Append::Fenced | Append::Elsewhere { .. } | Append::OutOfSequence)) => {
                node.store_heard();
                log::info!(epoch = writer.epoch, sequence = writer.sequence, result:? = other; "append refused");
                return Err(Failure::Deposed);
            }
            Err(err) => {
                log::info!(epoch = writer.epoch, sequence = writer.sequence, error:% = err; "append failed");
                if err.verdict() == Verdict::NotRun {
                    node.store_refused();
                } else {
                    may_be_done = true;
                }
                if !may_be_done {
                    return Err(Failure::NotDone);
                }
                tries += 1;
                if tries >= QUICK_TRIES {
                    timeout = (timeout * 2).min(MOST_TIMEOUT);
                }
            }
        }
        time::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.5))).await;
        pause = (pause * 2).min(MOST_PAUSE);
    }
}

/// Stores one call of a batch. Only the first may be given up as not done: after it, part of the batch
/// is stored, and a job in it must not be refused as not run.
pub async fn store_rest(
    node: &Rc<Node>,
    partition: &Partition,
    writer: Writer,
    records: &Bytes,
    is_first: bool,
) -> Result<(), Failure> {
    loop {
        match store(node, partition, writer, records).await {
            Err(Failure::NotDone) if !is_first => time::sleep(MOST_PAUSE).await,
            result => return result,
        }
    }
}

/// How long the store may take, by what it took lately.
fn first_timeout(node: &Node) -> Duration {
    (node.append_time.get() * LATE_TIMES).clamp(LEAST_TIMEOUT, MOST_TIMEOUT)
}

/// Learns how long the store takes: a slow one must not be sent everything several times.
fn learn(node: &Node, took: Duration) {
    let known = node.append_time.get();
    let learned = if took > known { took } else { (known * 7 + took) / 8 };
    node.append_time.set(learned);
}

/// Splits records into calls that the store accepts, in order.
pub fn split(records: &[Record], most_bytes: usize) -> Vec<Bytes> {
    let mut calls = Vec::new();
    let mut first = 0;
    let mut bytes = 0;
    for (index, record) in records.iter().enumerate() {
        let length = store::encoded_len(record);
        if bytes + length > most_bytes && index > first {
            push_call(&mut calls, &records[first..index]);
            first = index;
            bytes = 0;
        }
        bytes += length;
    }
    push_call(&mut calls, &records[first..]);
    calls
}

fn push_call(calls: &mut Vec<Bytes>, records: &[Record]) {
    match store::encode_records(records) {
        Ok(bytes) => calls.push(bytes),
        Err(err) => log::error!(error:% = err; "records can't be encoded"),
    }
}
