//! An event queue for simulations with simulated time.

use std::collections::BTreeMap;

/// Events sorted by time. Events of the same time keep the order in which they were scheduled, so that a simulation is
/// reproducible.
#[derive(Debug)]
pub struct EventQueue<T> {
    /// Events by their time in milliseconds and their sequence number.
    events: BTreeMap<(u64, u64), T>,
    /// Sequence number of the last scheduled event.
    last_sequence: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { events: BTreeMap::new(), last_sequence: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Schedules an event for the time `at_ms`.
    pub fn schedule(&mut self, at_ms: u64, event: T) {
        self.last_sequence += 1;
        self.events.insert((at_ms, self.last_sequence), event);
    }

    /// Returns the time of the next event, or `None` if the queue is empty.
    pub fn next_ms(&self) -> Option<u64> {
        self.events.first_key_value().map(|((at_ms, _), _)| *at_ms)
    }

    /// Removes and returns the next event and its time, if it is due at `end_ms` or earlier.
    pub fn pop_until(&mut self, end_ms: u64) -> Option<(u64, T)> {
        let first = self.events.first_entry().filter(|first| first.key().0 <= end_ms)?;
        let ((at_ms, _), event) = first.remove_entry();
        Some((at_ms, event))
    }
}
