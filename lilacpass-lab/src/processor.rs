//! The event loop of a leader whose processor is limited.
//!
//! Its loop works like that of an instance: it processes all events that have arrived, decides once, and carries out the
//! effects. It is late for all events that arrive meanwhile.

use std::mem;

use lilacpass_lead::Event;

/// The events that wait for the leader, and how long it is busy.
#[derive(Debug, Default)]
pub struct EventLoop {
    inbox: Vec<Event>,
    /// Whether the next round is scheduled.
    is_scheduled: bool,
    /// Time until which the leader is busy with its last round, in microseconds.
    busy_until_us: u64,
    /// Time that all rounds have taken, in microseconds.
    pub busy_us: u64,
}

impl EventLoop {
    /// Adds an event for the next round.
    pub fn push(&mut self, event: Event) {
        self.inbox.push(event);
    }

    /// Returns the time at which to run the next round, in milliseconds; `None` if it has been scheduled already.
    pub fn schedule_round(&mut self, now_ms: u64) -> Option<u64> {
        let is_first = !mem::replace(&mut self.is_scheduled, true);
        is_first.then(|| self.busy_until_us.div_ceil(1_000).max(now_ms))
    }

    /// Takes the events of a round that begins now.
    pub fn begin_round(&mut self) -> Vec<Event> {
        self.is_scheduled = false;
        mem::take(&mut self.inbox)
    }

    /// Records the duration of a round that began at `now_ms`. Returns when it ends, in milliseconds.
    pub fn end_round(&mut self, now_ms: u64, duration_us: u64) -> u64 {
        self.busy_us += duration_us;
        self.busy_until_us = self.busy_until_us.max(now_ms * 1_000) + duration_us;
        self.busy_until_us / 1_000
    }
}
