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

/// An answer is late after so many times the typical_latency time.
const RETRY_LATENCY_FACTOR: u32 = 4;
/// The shortest time after which an answer is late. The store takes 8 ms ordinarily. Sending again
/// costs one call; waiting for an answer that was lost stops all work meanwhile.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(90);
/// Tries after the same time, before it doubles each time: lost answers come at random, and with
/// every second one lost most appends are settled by then.
const FIXED_INTERVAL_ATTEMPTS: u32 = 4;
/// The longest time until an append is sent once more beside those under way, unless the store is known
/// to take longer. When a silent store answers again, the append is stored this much later at most;
/// waiting for the last one alone, up to 3 s, lost all jobs handed in for 3 s after an outage of 4 s.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The longest wait for one answer.
const MAX_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How many times as long as its records need on the link of this instance an append may take before it is
/// sent once more. Others use the link too.
const LINK_RETRY_FACTOR: u32 = 2;
/// How many times as long it may take before it is given up.
const LINK_TIMEOUT_FACTOR: u32 = 8;
/// An append that takes so long is worth a line in the log. Ordinary ones take 8 ms.
const SLOW_APPEND: Duration = Duration::from_millis(100);
/// First backoff before an append that was refused is sent again; doubles up to the most.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// The longest backoff. All instances together may make a few hundred calls a second.
const MAX_BACKOFF: Duration = Duration::from_millis(300);

/// Why an append was not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// Another instance has taken over, so this one must not write any more.
    Deposed,
    /// The store has surely done nothing. The number may be used again, for other records too.
    NotStored,
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
) -> Result<(), AppendError> {
    let condition = AppendCondition { expected_end: None, writer: Some(writer) };
    let transfer_time = node.settings.link.time_for(size::Bytes(records.len() as u64));
    let timeout = MAX_TIMEOUT + transfer_time * LINK_TIMEOUT_FACTOR;
    let send = || async {
        let sent = Instant::now();
        let result = node.store.append(partition, condition, records, timeout).await;
        node.metrics.append(metrics::outcome(&result), sent.elapsed());
        match &result {
            Ok(answer) => {
                node.record_store_response();
                if matches!(answer, AppendOutcome::Stored { .. }) {
                    let took = sent.elapsed();
                    update_latency(node, took.saturating_sub(transfer_time));
                    if took >= SLOW_APPEND {
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
                    node.record_store_refusal();
                }
            }
        }
        result
    };
    send_until_settled(send, node.append_latency.get(), transfer_time).await
}

/// Sends an append until the store has said what became of it. `typical_latency` is how long the store takes, `transfer_time` what the
/// append takes on the way to it beyond that.
///
/// An append without an answer may be carried out later, so it is sent again under the same number,
/// beside those under way; the store carries it out once and gives each the same answer.
pub async fn send_until_settled<F>(
    send: impl Fn() -> F,
    typical_latency: Duration,
    transfer_time: Duration,
) -> Result<(), AppendError>
where
    F: Future<Output = CallResult<AppendOutcome>>,
{
    let mut in_flight = FuturesUnordered::new();
    let mut retry_interval =
        initial_retry_interval(typical_latency) + transfer_time * LINK_RETRY_FACTOR;
    let mut backoff = INITIAL_BACKOFF;
    let mut may_be_stored = false;
    let mut attempts = 0;
    let mut next_attempt = Instant::now();
    loop {
        let answer = tokio::select! {
            () = time::sleep_until(next_attempt) => {
                in_flight.push(send());
                attempts += 1;
                if attempts > FIXED_INTERVAL_ATTEMPTS {
                    retry_interval = (retry_interval * 2).min(MAX_RETRY_INTERVAL.max(retry_interval));
                }
                next_attempt = Instant::now() + retry_interval;
                continue;
            }
            Some(answer) = in_flight.next() => answer,
        };
        match answer {
            Ok(AppendOutcome::Stored { .. }) => return Ok(()),
            Ok(
                AppendOutcome::Fenced
                | AppendOutcome::Elsewhere { .. }
                | AppendOutcome::OutOfSequence,
            ) => {
                return Err(AppendError::Deposed);
            }
            Err(err) => {
                may_be_stored |= err.verdict() != Verdict::NotRun;
                if !may_be_stored && in_flight.is_empty() {
                    return Err(AppendError::NotStored);
                }
                // What others under way are told is waited for beside this.
                next_attempt = next_attempt.min(Instant::now() + with_jitter(backoff));
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

fn with_jitter(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Stores one call of a batch. Only the first may be given up as not done: after it, part of the batch
/// is stored, and a job in it must not be refused as not run.
pub async fn store_batch_call(
    node: &Rc<Node>,
    partition: &Partition,
    writer: Writer,
    records: &Bytes,
    is_first: bool,
) -> Result<(), AppendError> {
    loop {
        match store(node, partition, writer, records).await {
            Err(AppendError::NotStored) if !is_first => time::sleep(MAX_BACKOFF).await,
            result => return result,
        }
    }
}

/// When an append is sent again first, by how long the store takes: a slow one must not be sent
/// everything several times.
fn initial_retry_interval(typical_latency: Duration) -> Duration {
    (typical_latency * RETRY_LATENCY_FACTOR).clamp(MIN_RETRY_INTERVAL, MAX_TIMEOUT)
}

/// Learns how long the store takes: a slow one must not be sent everything several times.
fn update_latency(node: &Node, took: Duration) {
    let known = node.append_latency.get();
    let updated = if took > known { took } else { (known * 7 + took) / 8 };
    node.append_latency.set(updated);
}

/// Splits records into calls that the store accepts, in order.
pub fn split(records: &[Record], max_bytes: usize) -> Vec<Bytes> {
    let mut calls = Vec::new();
    let mut first = 0;
    let mut bytes = 0;
    for (index, record) in records.iter().enumerate() {
        let length = store::encoded_len(record);
        if bytes + length > max_bytes && index > first {
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
