//! Watching for the record of the next leader.

use std::time::Duration;

use lilacpass_lead::event::Record;
use lilacpass_node::election;
use lilacpass_platform::{
    error::Error,
    store::{ReadOutcome, StoredRecord},
};
use tokio::time::{self, Instant};

const MAX_WAIT: Duration = Duration::from_millis(1_300);

fn lead() -> StoredRecord {
    StoredRecord { offset: 7, record: Record { key: "lead".to_owned(), value: vec![1] } }
}

/// Guards against refusing client requests for over a second after a power failure of all instances, although there is
/// a new leader. Most instances had seen its announcement, and slept for the whole time that a take-over may take.
#[tokio::test(start_paused = true)]
async fn a_new_leader_is_noticed_as_soon_as_it_is_written() {
    let begin = Instant::now();
    let read = async {
        time::sleep(Duration::from_millis(100)).await;
        Ok(ReadOutcome::Records { records: vec![lead()], end: 8 })
    };
    assert_eq!(election::wait_for_records(read, MAX_WAIT).await, [lead()]);
    assert_eq!(begin.elapsed(), Duration::from_millis(100));
}

/// Guards against two instances that take over from each other in turn: the second did not give the first enough time,
/// because its read had returned nothing or failed early.
#[tokio::test(start_paused = true)]
async fn the_whole_wait_elapses_if_nothing_is_written() {
    let begin = Instant::now();
    let nothing = async { Ok(ReadOutcome::Records { records: Vec::new(), end: 7 }) };
    assert_eq!(election::wait_for_records(nothing, MAX_WAIT).await, []);
    assert_eq!(begin.elapsed(), MAX_WAIT);
    let begin = Instant::now();
    let failed = async { Err(Error::Busy(503)) };
    assert_eq!(election::wait_for_records(failed, MAX_WAIT).await, []);
    assert_eq!(begin.elapsed(), MAX_WAIT);
    let begin = Instant::now();
    let unresponsive = std::future::pending::<Result<ReadOutcome, Error>>();
    assert_eq!(election::wait_for_records(unresponsive, MAX_WAIT).await, []);
    assert_eq!(begin.elapsed(), MAX_WAIT);
}
