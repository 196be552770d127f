//! What is to happen under made-up time, in order.

use std::collections::BTreeMap;

/// Events by time; those of one time in the order in which they were planned, so that a play repeats.
#[derive(Debug)]
pub struct EventQueue<T> {
    events: BTreeMap<(u64, u64), T>,
    planned: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { events: BTreeMap::new(), planned: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Plans an event for a time.
    pub fn schedule(&mut self, at_ms: u64, event: T) {
        self.planned += 1;
        self.events.insert((at_ms, self.planned), event);
    }

    /// When the next event is due.
    pub fn next_ms(&self) -> Option<u64> {
        self.events.first_key_value().map(|((at_ms, _), _)| *at_ms)
    }

    /// Takes the next event that is due at `end_ms` at the latest, with its time.
    pub fn pop_until(&mut self, end_ms: u64) -> Option<(u64, T)> {
        let first = self.events.first_entry().filter(|first| first.key().0 <= end_ms)?;
        let ((at_ms, _), event) = first.remove_entry();
        Some((at_ms, event))
    }
}
