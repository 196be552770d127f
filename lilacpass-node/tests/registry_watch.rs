//! What the leader is told of entries in the list of workers.

use std::collections::HashMap;

use lilacpass_jobs::WorkerName;
use lilacpass_lead::{Event, event::Record};
use lilacpass_node::registry_watch;
use lilacpass_platform::store::Placed;

const GOOD: &str = r#"{"service": "s", "address": "10.0.0.1:80", "state": "ready"}"#;

fn placed(key: &str, offset: u64, value: &str) -> Placed {
    Placed { offset, record: Record { key: key.to_owned(), value: value.as_bytes().to_vec() } }
}

/// A worker goes on being given work after another writer has written over its entry.
#[test]
fn a_worker_whose_entry_can_not_be_read_any_more_is_not_used() {
    let mut seen = HashMap::new();
    let events =
        registry_watch::changes(&mut seen, vec![placed("w-1", 1, GOOD), placed("w-2", 2, "{}")]);
    let listed = |event: &&Event| matches!(event, Event::WorkerListed(entry) if entry.name == WorkerName::from("w-1"));
    assert_eq!(events.iter().filter(listed).count(), 1);
    let events =
        registry_watch::changes(&mut seen, vec![placed("w-1", 3, "{"), placed("w-2", 4, "{}")]);
    assert_eq!(events, [Event::WorkerUnlisted(WorkerName::from("w-1"))]);
    let events = registry_watch::changes(&mut seen, vec![placed("w-1", 5, GOOD)]);
    assert_eq!(events.iter().filter(listed).count(), 1, "and used again once it can be read");
}
