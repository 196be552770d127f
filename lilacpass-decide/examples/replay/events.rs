//! The event heap of a replay.

use std::{cmp::Reverse, collections::BinaryHeap};

/// Events by time; those of the same time in the order in which they were added.
pub(crate) struct Events<E> {
    heap: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<E>>,
    free: Vec<usize>,
    number: u64,
}

impl<E> Events<E> {
    pub(crate) fn new() -> Self {
        Self { heap: BinaryHeap::new(), events: Vec::new(), free: Vec::new(), number: 0 }
    }

    pub(crate) fn add(&mut self, at_us: u64, event: E) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.heap.push(Reverse((at_us, self.number, slot)));
        self.number += 1;
    }

    pub(crate) fn next(&mut self) -> Option<(u64, E)> {
        let Reverse((at_us, _, slot)) = self.heap.pop()?;
        self.free.push(slot);
        Some((at_us, self.events[slot].take()?))
    }
}
