//! Appends of the leader: sent again until the store has said what became of them.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use lilacpass_core::Verdict;
use lilacpass_lead::event::Record;
use lilacpass_platform::store::{self, Append, Condition, Partition, Writer};
use rand::RngExt;
use tokio::time;

use crate::{metrics, node::Node};

/// How long the store may take at first. Slow stores have been seen to take 0.6 s.
const FIRST_TIMEOUT: Duration = Duration::from_millis(900);
/// The longest wait for one answer.
const MOST_TIMEOUT: Duration = Duration::from_millis(3_000);
/// First pause before an append is sent again; doubles up to the most.
const FIRST_PAUSE: Duration = Duration::from_millis(30);
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
    let mut timeout = FIRST_TIMEOUT;
    let mut pause = FIRST_PAUSE;
    let mut may_be_done = false;
    loop {
        metrics::count(&node.metrics.appends);
        match node.store.append(partition, condition, records, timeout).await {
            Ok(Append::Stored { .. }) => {
                node.store_heard();
                return Ok(());
            }
            Ok(other @ (Append::Fenced | Append::Elsewhere { .. } | Append::OutOfSequence)) => {
                node.store_heard();
                log::info!(epoch = writer.epoch, sequence = writer.sequence, result:? = other; "append refused");
                return Err(Failure::Deposed);
            }
            Err(err) => {
                log::info!(epoch = writer.epoch, sequence = writer.sequence, error:% = err; "append failed");
                node.store_failed();
                may_be_done |= err.verdict() != Verdict::NotRun;
                if !may_be_done {
                    return Err(Failure::NotDone);
                }
                timeout = (timeout * 3 / 2).min(MOST_TIMEOUT);
            }
        }
        time::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.5))).await;
        pause = (pause * 2).min(MOST_PAUSE);
    }
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
