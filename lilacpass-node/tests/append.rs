//! Splitting records into calls, and repeating appends.

use std::{cell::Cell, time::Duration};

use lilacpass_core::Verdict;
use lilacpass_lead::event::Record;
use lilacpass_node::append;
use lilacpass_platform::{
    error::Error,
    store::{self, AppendOutcome},
};
use tokio::time::{self, Instant};

fn record(number: usize, bytes: usize) -> Record {
    Record { key: format!("key-{number}"), value: vec![number as u8; bytes] }
}

/// Guards against losing or reordering records of a large burst of jobs, which is stored in several calls, and against
/// calls that are too large for the store.
#[test]
fn records_are_split_in_order_into_calls_within_the_size_limit() {
    let records: Vec<Record> = (0..40).map(|number| record(number, 50 + number)).collect();
    let max_bytes = 400;
    let calls = append::split(&records, max_bytes).expect("short keys");
    assert!(calls.len() > 1);
    assert!(calls.iter().all(|call| !call.is_empty() && call.len() <= max_bytes));
    let expected = store::encode_records(&records).expect("encoded");
    assert_eq!(calls.concat(), expected);
}

#[test]
fn few_records_make_one_call() {
    let records = [record(0, 10), record(1, 10)];
    assert_eq!(append::split(&records, 10_000).expect("short keys").len(), 1);
}

/// Failure: a call with a record that could not be encoded was left out, and all records were reported as stored.
#[test]
fn records_that_cannot_be_encoded_are_not_reported_as_stored() {
    let too_long = Record { key: "k".repeat(300), value: Vec::new() };
    for max_bytes in [10, 10_000] {
        let records = [record(0, 10), too_long.clone(), record(1, 10)];
        let error = append::split(&records, max_bytes).expect_err("a key that is too long");
        assert!(error.to_string().contains("key of 300 bytes"), "{error}");
    }
}

#[test]
fn a_record_larger_than_the_limit_gets_its_own_call() {
    let records = [record(0, 10), record(1, 900), record(2, 10)];
    assert_eq!(append::split(&records, 400).expect("short keys").len(), 3);
}

/// Guards against refusing jobs for three more seconds after an outage of the store. The store had been unresponsive
/// for four seconds. The append in progress was sent once more just before the end of the outage, and the leader
/// waited for the response to that attempt alone.
#[tokio::test(start_paused = true)]
async fn an_append_is_stored_soon_after_an_outage_of_the_store() {
    for outage_ms in (4_000..5_000).step_by(37) {
        let outage = Duration::from_millis(outage_ms);
        let late = lateness_after(outage, Verdict::MayHaveRun, Duration::from_secs(3)).await;
        assert!(late < MAX_LATENESS, "stored {late:?} after an outage of {outage:?}");
    }
}

/// The same for an outage in which the store refuses each call at once.
#[tokio::test(start_paused = true)]
async fn an_append_is_stored_soon_after_the_store_has_refused_calls() {
    for outage_ms in (3_000..4_000).step_by(37) {
        let outage = Duration::from_millis(outage_ms);
        let late = lateness_after(outage, Verdict::MayHaveRun, Duration::from_millis(2)).await;
        assert!(late < MAX_LATENESS, "stored {late:?} after an outage of {outage:?}");
    }
}

/// Less than the shortest interval at which clients come back.
const MAX_LATENESS: Duration = Duration::from_millis(250);

/// Stores an append while the store is out for `outage`, during which each call fails after `fails_after`. Returns how
/// long after the end of the outage the append was stored.
async fn lateness_after(outage: Duration, verdict: Verdict, fails_after: Duration) -> Duration {
    const LATENCY: Duration = Duration::from_millis(8);
    let begin = Instant::now();
    let send = || async {
        if begin.elapsed() < outage {
            time::sleep(fails_after).await;
            return Err(Error::Call(verdict, "no answer in time".to_owned()));
        }
        time::sleep(LATENCY).await;
        Ok(AppendOutcome::Stored { end: 1 })
    };
    assert_eq!(append::send_until_settled(send, LATENCY, Duration::ZERO).await, Ok(()));
    begin.elapsed() - outage
}

/// Guards against slowing a slow store down further by sending it several copies of each append.
#[tokio::test(start_paused = true)]
async fn a_slow_store_receives_each_append_once() {
    const LATENCY: Duration = Duration::from_millis(600);
    let calls = Cell::new(0);
    let send = || async {
        calls.set(calls.get() + 1);
        time::sleep(LATENCY).await;
        Ok(AppendOutcome::Stored { end: 1 })
    };
    assert_eq!(append::send_until_settled(send, LATENCY, Duration::ZERO).await, Ok(()));
    assert_eq!(calls.get(), 1);
}

/// Guards against telling a client that its job was not accepted although it runs later: one attempt was refused after
/// another had got no response.
#[tokio::test(start_paused = true)]
async fn a_refusal_is_not_conclusive_while_another_attempt_may_succeed() {
    let calls = Cell::new(0);
    let send = || async {
        calls.set(calls.get() + 1);
        match calls.get() {
            1 => {
                time::sleep(Duration::from_secs(2)).await;
                Err(Error::Call(Verdict::MayHaveRun, "no answer in time".to_owned()))
            }
            2..=8 => Err(Error::Busy(503)),
            _ => Ok(AppendOutcome::Stored { end: 1 }),
        }
    };
    assert_eq!(append::send_until_settled(send, Duration::ZERO, Duration::ZERO).await, Ok(()));
}
