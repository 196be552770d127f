//! What the leader is told of registered workers, and what following them takes.

use std::{collections::HashMap, rc::Rc, time::Duration};

use lilacpass_core::Resources;
use lilacpass_jobs::WorkerName;
use lilacpass_lead::{Event, event::Record};
use lilacpass_node::{node::Node, registry_watch};
use lilacpass_platform::store::Placed;
use lilacpass_platform_standin::{
    cell::{Cell, Shape},
    instances,
};
use tokio::{runtime, sync::mpsc, task, time};

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

/// An instance with a link of 2 Mbit/s leads, and accepted work is lost on a calm day: renewals, looks and orders wait
/// behind the list of all workers, which is read twice a second.
#[test]
fn following_the_workers_leaves_a_thin_link_free() {
    const LINK_BYTES_A_SECOND: u64 = 250_000;
    const LASTS: Duration = Duration::from_secs(4);
    let shape = Shape {
        workers: 200,
        workers_a_data_centre: 40,
        capacity: Resources::new(16_000, 65_536, 0, 0),
        registers_each: Duration::from_millis(1_500),
    };
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    task::LocalSet::new().block_on(&runtime, async {
        let cell = Cell::serve(24_200, shape).expect("a cell");
        let node = Rc::new(Node::new(instances::settings(&cell.store_address, 2.0)));
        let (messages, mut inbox) = mpsc::unbounded_channel();
        task::spawn_local(registry_watch::run(node, messages));
        time::sleep(LASTS).await;
        inbox.close();
        let most = LINK_BYTES_A_SECOND * LASTS.as_secs() / 4;
        let read = cell.calls.borrow().read_bytes;
        assert!(read > 0 && read <= most, "{read} bytes, {most} at most");
    });
}
