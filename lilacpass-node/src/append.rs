//! Appends of the leader: sent again until the store has said what became of them.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use lilacpass_core::{Verdict, size};
use lilacpass_lead::event::Record;
use lilacpass_platform::{
    error::Result as CallResult,
    store::{self, AppendCondition, AppendOutcome, Partition, Writer},
};
use rand::RngExt;
use tokio::time::{self, Instant};

use crate::{metrics, node::Node};

/// An answer is late after so many times the usual time.
const LATE_TIMES: u32 = 4;
/// The shortest time after which an answer is late. The store takes 8 ms ordinarily. Sending again
/// costs one call; waiting for an answer that was lost stops all work meanwhile.
const LEAST_PATIENCE: Duration = Duration::from_millis(90);
/// Tries after the same time, before it doubles each time: lost answers come at random, and with
/// every second one lost most appends are settled by then.
const QUICK_TRIES: u32 = 4;
/// The longest time until an append is sent once more beside those under way, unless the store is known
/// to take longer. When a silent store answers again, the append is stored this much later at most;
/// waiting for the last one alone, up to 3 s, lost all jobs handed in for 3 s after an outage of 4 s.
const MOST_PATIENCE: Duration = Duration::from_millis(500);
/// The longest wait for one answer.
const MOST_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How many times as long as its records need on the link of this instance an append may take before it is
/// sent once more. Others use the link too.
const LINK_TIMES: u32 = 2;
/// How many times as long it may take before it is given up.
const MOST_LINK_TIMES: u32 = 8;
/// An append that takes so long is worth a line in the log. Ordinary ones take 8 ms.
const SLOW: Duration = Duration::from_millis(100);
/// First pause before an append that was refused is sent again; doubles up to the most.
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
/// Time on the link counts for nothing: if copies were sent again and given up after the same time whatever their
/// length, long ones would fill a thin link, and none would ever be whole.
pub async fn store(
    node: &Rc<Node>,
    partition: &Partition,
    writer: Writer,
    records: &Bytes,
) -> Result<(), Failure> {
    let condition = AppendCondition { expected_end: None, writer: Some(writer) };
    let on_link = node.settings.link.time_for(size::Bytes(records.len() as u64));
    let timeout = MOST_TIMEOUT + on_link * MOST_LINK_TIMES;
    let send = || async {
        let sent = Instant::now();
        let result = node.store.append(partition, condition, records, timeout).await;
        node.metrics.append(metrics::outcome(&result), sent.elapsed());
        match &result {
            Ok(answer) => {
                node.store_heard();
                if matches!(answer, AppendOutcome::Stored { .. }) {
                    let took = sent.elapsed();
                    learn(node, took.saturating_sub(on_link));
                    if took >= SLOW {
                        let took_ms = took.as_millis() as u64;
                        log::info!(sequence = writer.sequence, took_ms, bytes = records.len(); "append was slow");
                    }
                } else {
                    log::info!(
                        epoch = writer.epoch, sequence = writer.sequence, result:? = answer;
                        "append refused"
                    );
                }
            }
            Err(err) => {
                log::info!(
                    epoch = writer.epoch, sequence = writer.sequence, error:% = err;
                    "append failed"
                );
                if err.verdict() == Verdict::NotRun {
                    node.store_refused();
                }
            }
        }
        result
    };
    until_settled(send, node.append_time.get(), on_link).await
}

/// Sends an append until the store has said what became of it. `usual` is how long the store takes, `on_link` what the
/// append takes on the way to it beyond that.
///
/// An append without an answer may be carried out later, so it is sent again under the same number,
/// beside those under way; the store carries it out once and gives each the same answer.
pub async fn until_settled<F>(
    send: impl Fn() -> F,
    usual: Duration,
    on_link: Duration,
) -> Result<(), Failure>
where
    F: Future<Output = CallResult<AppendOutcome>>,
{
    let mut under_way = FuturesUnordered::new();
    let mut patience = first_patience(usual) + on_link * LINK_TIMES;
    let mut pause = FIRST_PAUSE;
    let mut may_be_done = false;
    let mut tries = 0;
    let mut next = Instant::now();
    loop {
        let answer = tokio::select! {
            () = time::sleep_until(next) => {
                under_way.push(send());
                tries += 1;
                if tries > QUICK_TRIES {
                    patience = (patience * 2).min(MOST_PATIENCE.max(patience));
                }
                next = Instant::now() + patience;
                continue;
            }
            Some(answer) = under_way.next() => answer,
        };
        match answer {
            Ok(AppendOutcome::Stored { .. }) => return Ok(()),
            Ok(
                AppendOutcome::Fenced
                | AppendOutcome::Elsewhere { .. }
                | AppendOutcome::OutOfSequence,
            ) => {
                return Err(Failure::Deposed);
            }
            Err(err) => {
                may_be_done |= err.verdict() != Verdict::NotRun;
                if !may_be_done && under_way.is_empty() {
                    return Err(Failure::NotDone);
                }
                // What others under way are told is waited for beside this.
                next = next.min(Instant::now() + spread(pause));
                pause = (pause * 2).min(MOST_PAUSE);
            }
        }
    }
}

fn spread(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
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

/// When an append is sent again first, by how long the store takes: a slow one must not be sent
/// everything several times.
fn first_patience(usual: Duration) -> Duration {
    (usual * LATE_TIMES).clamp(LEAST_PATIENCE, MOST_TIMEOUT)
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
