//! Tests of the order of simulated events.

use lilacpass_core::event_queue::EventQueue;

/// Guards against simulations that are not reproducible because events of the same time change their order, or that
/// lose the event that is due exactly at the end.
#[test]
fn events_are_sorted_by_time_and_then_by_order_of_scheduling() {
    let mut queue = EventQueue::default();
    for (at_ms, event) in [(20, "c"), (10, "a"), (20, "d"), (10, "b"), (21, "late")] {
        queue.schedule(at_ms, event);
    }
    assert_eq!(queue.next_ms(), Some(10));
    let popped: Vec<(u64, &str)> = std::iter::from_fn(|| queue.pop_until(20)).collect();
    assert_eq!(popped, [(10, "a"), (10, "b"), (20, "c"), (20, "d")]);
    assert_eq!(queue.next_ms(), Some(21));
}
