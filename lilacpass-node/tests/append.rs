//! How records are divided among the calls of an append.

use lilacpass_lead::event::Record;
use lilacpass_node::append;
use lilacpass_platform::store;

fn record(number: usize, bytes: usize) -> Record {
    Record { key: format!("key-{number}"), value: vec![number as u8; bytes] }
}

/// A large burst of jobs is stored in several calls: none may be larger than the store takes, and none
/// of the records may be left out or change places.
#[test]
fn records_are_split_in_order_into_calls_that_the_store_takes() {
    let records: Vec<Record> = (0..40).map(|number| record(number, 50 + number)).collect();
    let most_bytes = 400;
    let calls = append::split(&records, most_bytes);
    assert!(calls.len() > 1);
    assert!(calls.iter().all(|call| !call.is_empty() && call.len() <= most_bytes));
    let whole = store::encode_records(&records).expect("encoded");
    assert_eq!(calls.concat(), whole);
}

#[test]
fn few_records_make_one_call() {
    let records = [record(0, 10), record(1, 10)];
    assert_eq!(append::split(&records, 10_000).len(), 1);
}

#[test]
fn a_record_that_is_larger_than_a_call_goes_alone() {
    let records = [record(0, 10), record(1, 900), record(2, 10)];
    assert_eq!(append::split(&records, 400).len(), 3);
}
