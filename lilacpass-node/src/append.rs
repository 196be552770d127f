//! Appends of the leader, which are repeated until the store has confirmed or rejected them.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use lilacpass_core::{Verdict, size};
use lilacpass_lead::event::Record;
use lilacpass_platform::{
    error::{Error, Result as CallResult},
    store::{self, AppendCondition, AppendOutcome, Partition, Writer},
};
use rand::RngExt;
use tokio::time::{self, Instant};

use crate::{metrics, node::Node};

/// A response is late after this many times the usual latency.
const RETRY_LATENCY_FACTOR: u32 = 4;
/// Minimum time after which a response is late. The store usually takes 8 ms. Sending again costs one call, while
/// waiting for a lost response blocks all work.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(90);
/// Number of attempts at the same interval before it starts to double. Lost responses are random, and even if every
/// second one is lost, most appends are settled by then.
const FIXED_INTERVAL_ATTEMPTS: u32 = 4;
/// Maximum interval after which an append is sent again while earlier attempts are in flight, unless the store is known
/// to be slower. It bounds how long after the end of an outage the append is stored, and jobs are refused until then.
/// Clients come back a few times at intervals of half a second; some of them for the last time just then.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout of a single attempt, not counting the allowance for its transfer time.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// An append is sent again after this many times its transfer time on this instance's link, in addition to the latency.
/// Other traffic shares the link.
const LINK_RETRY_FACTOR: u32 = 2;
/// An attempt is abandoned after this many times its transfer time, in addition to [`ATTEMPT_TIMEOUT`].
const LINK_TIMEOUT_FACTOR: u32 = 8;
/// Latency from which an append is logged. Usual ones take 8 ms.
const SLOW_APPEND: Duration = Duration::from_millis(100);
/// First pause before a refused append is sent again. It doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// Maximum pause. The store permits all instances together a few hundred calls a second.
const MAX_BACKOFF: Duration = Duration::from_millis(150);

/// Why an append was not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// Another instance has taken over, so this one must not write any more.
    Deposed,
    /// The store has certainly not stored the append. Its sequence number may be reused, also for other records.
    NotStored,
    /// The store has not stored the append because of its records, and would never store it. Its sequence number may be
    /// reused.
    Rejected,
}

/// What became of a batch of records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// All records are stored, but for those that the store rejects.
    Stored {
        /// Sequence number of the next append.
        next_sequence: u64,
        /// Keys of the rejected records.
        rejected: Vec<String>,
    },
    /// The store has certainly not stored any record.
    NotStored {
        /// Sequence number of the next append.
        next_sequence: u64,
    },
    /// Another instance has taken over.
    Deposed,
}

/// Why an attempt to append has failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// Whether the append may have been executed.
    pub verdict: Verdict,
    /// The reason, for the log.
    pub reason: String,
}

impl From<&Error> for AttemptError {
    fn from(err: &Error) -> Self {
        Self { verdict: err.verdict(), reason: err.to_string() }
    }
}

/// Records an attempt to append `bytes` in metrics, log and the state of the store. The time that they need on the link
/// does not count as latency of the store.
pub fn record_attempt(
    node: &Node,
    writer: Writer,
    bytes: usize,
    result: &Result<AppendOutcome, AttemptError>,
    took: Duration,
) {
    let Writer { epoch, sequence } = writer;
    node.metrics.append(metrics::outcome(result), took);
    match result {
        Ok(response) => {
            node.record_store_response();
            if matches!(response, AppendOutcome::Stored { .. }) {
                let transfer_time = node.settings.link.time_for(size::Bytes(bytes as u64));
                let latency = took.saturating_sub(transfer_time);
                node.append_latency.set(smoothed_latency(node.append_latency.get(), latency));
                if took >= SLOW_APPEND {
                    let took_ms = took.as_millis() as u64;
                    log::info!(sequence, took_ms, bytes; "append was slow");
                }
            } else {
                log::info!(epoch, sequence, result:? = response; "append refused");
            }
        }
        Err(err) => {
            log::info!(epoch, sequence, error = err.reason.as_str(); "append failed");
            if err.verdict == Verdict::NotRun {
                node.record_store_refusal();
            }
        }
    }
}

/// Stores records as one append of a writer. Returns once the store has confirmed or rejected it.
///
/// Transfer time extends all timeouts. With the same timeouts for appends of any length, copies of a long one would
/// fill a thin link, and none of them would ever be complete.
pub async fn store(
    node: &Rc<Node>,
    partition: &Partition,
    writer: Writer,
    records: &Bytes,
) -> Result<(), AppendError> {
    let condition = AppendCondition { expected_end: None, writer: Some(writer) };
    let transfer_time = node.settings.link.time_for(size::Bytes(records.len() as u64));
    let timeout = ATTEMPT_TIMEOUT + transfer_time * LINK_TIMEOUT_FACTOR;
    let send = || async {
        let sent = Instant::now();
        let result = node.store.append(partition, condition, records, timeout).await;
        let attempt = result.as_ref().copied().map_err(AttemptError::from);
        record_attempt(node, writer, records.len(), &attempt, sent.elapsed());
        result
    };
    send_until_settled(send, node.append_latency.get(), transfer_time).await
}

/// Sends an append until the store has confirmed or rejected it. `typical_latency` is the latency of the store, and
/// `transfer_time` the time that the append needs on the link in addition.
///
/// An append without a response may still be executed, so it is sent again under the same sequence number, while the
/// earlier attempts are in flight. The store executes it once and gives each attempt the same response.
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
        let response = tokio::select! {
            () = time::sleep_until(next_attempt) => {
                in_flight.push(send());
                attempts += 1;
                if attempts > FIXED_INTERVAL_ATTEMPTS {
                    retry_interval = (retry_interval * 2).min(MAX_RETRY_INTERVAL.max(retry_interval));
                }
                next_attempt = Instant::now() + retry_interval;
                continue;
            }
            Some(response) = in_flight.next() => response,
        };
        match response {
            Ok(AppendOutcome::Stored { .. }) => return Ok(()),
            Ok(
                AppendOutcome::Fenced
                | AppendOutcome::Elsewhere { .. }
                | AppendOutcome::OutOfSequence,
            ) => {
                return Err(AppendError::Deposed);
            }
            // The attempts in flight have the same records, so the store rejects them too.
            Err(Error::Rejected(_)) => return Err(AppendError::Rejected),
            Err(err) => {
                may_be_stored |= err.verdict() != Verdict::NotRun;
                if !may_be_stored && in_flight.is_empty() {
                    return Err(AppendError::NotStored);
                }
                // Responses to the attempts in flight are awaited meanwhile.
                next_attempt = next_attempt.min(Instant::now() + with_jitter(backoff));
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// A pause of 0.5 to 1.5 times `backoff`, so that instances do not retry in step.
fn with_jitter(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Stores the calls of a batch one after the other. `first` identifies the first append.
///
/// A call that the store rejects is split until the record is found because of which it was rejected. If such a call were
/// repeated, no later record would ever be stored.
pub async fn store_batch(
    node: &Rc<Node>,
    partition: &Partition,
    first: Writer,
    calls: Vec<Bytes>,
) -> BatchOutcome {
    let Writer { epoch, sequence: first_sequence } = first;
    let mut calls = VecDeque::from(calls);
    let mut sequence = first_sequence;
    let mut rejected = Vec::new();
    while let Some(call) = calls.pop_front() {
        match store(node, partition, Writer { epoch, sequence }, &call).await {
            Ok(()) => sequence += 1,
            Err(AppendError::Deposed) => return BatchOutcome::Deposed,
            Err(AppendError::NotStored) if sequence == first_sequence => {
                return BatchOutcome::NotStored { next_sequence: sequence };
            }
            Err(AppendError::NotStored) => {
                // Part of the batch is in the log, so its jobs must not be refused as not run.
                time::sleep(MAX_BACKOFF).await;
                calls.push_front(call);
            }
            Err(AppendError::Rejected) => match store::halve_records(&call) {
                Some([former, latter]) => {
                    calls.push_front(latter);
                    calls.push_front(former);
                }
                None => {
                    let key = store::first_key(&call).unwrap_or_default();
                    log::error!(key = key.as_str(), bytes = call.len(); "the store rejects a record");
                    rejected.push(key);
                }
            },
        }
    }
    BatchOutcome::Stored { next_sequence: sequence, rejected }
}

/// Interval before an append is sent again, from the store's latency: a slow store must not receive every append
/// several times.
fn initial_retry_interval(typical_latency: Duration) -> Duration {
    (typical_latency * RETRY_LATENCY_FACTOR).clamp(MIN_RETRY_INTERVAL, ATTEMPT_TIMEOUT)
}

/// Updates an estimate of the latency. It rises at once and falls slowly, so that a slow store does not receive every
/// append several times.
pub fn smoothed_latency(known: Duration, took: Duration) -> Duration {
    if took > known { took } else { (known * 7 + took) / 8 }
}

/// Splits records into calls of at most `max_bytes`, in order. A record that is longer than that gets a call of its
/// own. Fails if a record can't be encoded: none of the records may then count as stored.
pub fn split(records: &[Record], max_bytes: usize) -> CallResult<Vec<Bytes>> {
    let mut calls = Vec::new();
    let mut first = 0;
    let mut bytes = 0;
    for (index, record) in records.iter().enumerate() {
        let length = store::encoded_len(record);
        if bytes + length > max_bytes && index > first {
            calls.push(store::encode_records(&records[first..index])?);
            first = index;
            bytes = 0;
        }
        bytes += length;
    }
    calls.push(store::encode_records(&records[first..])?);
    Ok(calls)
}
