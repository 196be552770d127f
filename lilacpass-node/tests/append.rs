//! How records are divided among the calls of an append.

use std::{cell::Cell, time::Duration};

use lilacpass_core::Verdict;
use lilacpass_lead::event::Record;
use lilacpass_node::append;
use lilacpass_platform::{
    error::Error,
    store::{self, Append},
};
use tokio::time::{self, Instant};

fn record(number: usize, bytes: usize) -> Record {
    Record { key: format!("key-{number}"), value: vec![number as u8; bytes] }
}

/// A large burst of jobs is stored in several calls: none may be larger than the store takes, and none
/// of the records may be left out or change places.
#[test]
fn records_are_split_in_order_into_calls_within_the_size_limit() {
    let records: Vec<Record> = (0..40).map(|number| record(number, 50 + number)).collect();
    let max_bytes = 400;
    let calls = append::split(&records, max_bytes);
    assert!(calls.len() > 1);
    assert!(calls.iter().all(|call| !call.is_empty() && call.len() <= max_bytes));
    let expected = store::encode_records(&records).expect("encoded");
    assert_eq!(calls.concat(), expected);
}

#[test]
fn few_records_make_one_call() {
    let records = [record(0, 10), record(1, 10)];
    assert_eq!(append::split(&records, 10_000).len(), 1);
}

#[test]
fn a_record_larger_than_the_limit_gets_its_own_call() {
    let records = [record(0, 10), record(1, 900), record(2, 10)];
    assert_eq!(append::split(&records, 400).len(), 3);
}

/// Jobs that are handed in after an outage of the store are refused for three more seconds. The store had
/// been silent for four seconds; the append under way was sent once more just before its end, and the
/// leader waited for that one's answer alone.
#[tokio::test(start_paused = true)]
async fn an_append_is_stored_soon_after_an_outage_of_the_store() {
    const OUTAGE: Duration = Duration::from_millis(4_200);
    const LATENCY: Duration = Duration::from_millis(8);
    let begin = Instant::now();
    let send = || async {
        if begin.elapsed() < OUTAGE {
            // Nothing comes back on the connection, and the call is given up.
            time::sleep(Duration::from_secs(3)).await;
            return Err(Error::Call(Verdict::MayHaveRun, "no answer in time".to_owned()));
        }
        time::sleep(LATENCY).await;
        Ok(Append::Stored { end: 1 })
    };
    assert_eq!(append::send_until_settled(send, LATENCY, Duration::ZERO).await, Ok(()));
    let late = begin.elapsed() - OUTAGE;
    assert!(late < Duration::from_millis(600), "stored {late:?} after the end of the outage");
}

/// A slow store is sent each append once: more copies would make it slower still.
#[tokio::test(start_paused = true)]
async fn a_slow_store_receives_each_append_once() {
    const LATENCY: Duration = Duration::from_millis(600);
    let calls = Cell::new(0);
    let send = || async {
        calls.set(calls.get() + 1);
        time::sleep(LATENCY).await;
        Ok(Append::Stored { end: 1 })
    };
    assert_eq!(append::send_until_settled(send, LATENCY, Duration::ZERO).await, Ok(()));
    assert_eq!(calls.get(), 1);
}

/// A caller is told that its job was not taken although it runs later: one copy of the append was refused
/// while another had got no answer.
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
            _ => Ok(Append::Stored { end: 1 }),
        }
    };
    assert_eq!(append::send_until_settled(send, Duration::ZERO, Duration::ZERO).await, Ok(()));
}
