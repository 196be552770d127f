//! The order of events under made-up time.

use lilacpass_core::event_queue::EventQueue;

/// A play takes another way each time, or loses events: those of one moment change places, or the one that is due just
/// at the end is left out.
#[test]
fn events_come_by_time_and_then_as_they_were_planned() {
    let mut queue = EventQueue::default();
    for (at_ms, event) in [(20, "c"), (10, "a"), (20, "d"), (10, "b"), (21, "late")] {
        queue.schedule(at_ms, event);
    }
    assert_eq!(queue.next_ms(), Some(10));
    let come: Vec<(u64, &str)> = std::iter::from_fn(|| queue.pop_until(20)).collect();
    assert_eq!(come, [(10, "a"), (10, "b"), (20, "c"), (20, "d")]);
    assert_eq!(queue.next_ms(), Some(21));
}
