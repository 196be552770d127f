//! The event loop of a leader whose processor is limited.
//!
//! Its loop works like that of an instance: it processes all events that have arrived, decides once, and carries out the
//! effects. It is late for all events that arrive meanwhile. A message may take several turns of the loop between the
//! leader and the network, as each of the tasks on its way runs once in a turn.

use std::{collections::VecDeque, mem};

use lilacpass_lead::{Effect, Event};

/// What reaches the leader or the network in a turn of the loop.
#[derive(Debug, Default)]
pub struct Turn {
    /// Events for the leader.
    pub events: Vec<Event>,
    /// Effects that leave the instance.
    pub effects: Vec<Effect>,
}

/// The events that wait for the leader, and how long it is busy.
#[derive(Debug, Default)]
pub struct EventLoop {
    /// What the next turns bring, the next one first.
    turns: VecDeque<Turn>,
    /// Whether the next round is scheduled.
    is_scheduled: bool,
    /// Time until which the leader is busy with its last round, in microseconds.
    busy_until_us: u64,
    /// Time that all rounds have taken, in microseconds.
    pub busy_us: u64,
}

impl EventLoop {
    /// Adds an event that reaches the leader after `turns` turns of the loop.
    pub fn push(&mut self, event: Event, turns: usize) {
        self.turn(turns).events.push(event);
    }

    /// Adds effects that leave the instance after `turns` turns of the loop.
    pub fn push_effects(&mut self, effects: Vec<Effect>, turns: usize) {
        self.turn(turns).effects.extend(effects);
    }

    fn turn(&mut self, turns: usize) -> &mut Turn {
        if self.turns.len() <= turns {
            self.turns.resize_with(turns + 1, Turn::default);
        }
        &mut self.turns[turns]
    }

    /// Whether messages are on their way.
    pub fn has_messages(&self) -> bool {
        !self.turns.is_empty()
    }

    /// Returns the time at which to run the next round, in milliseconds; `None` if it has been scheduled already.
    pub fn schedule_round(&mut self, now_ms: u64) -> Option<u64> {
        let is_first = !mem::replace(&mut self.is_scheduled, true);
        is_first.then(|| self.busy_until_us.div_ceil(1_000).max(now_ms))
    }

    /// Takes what the turn that begins now brings. Turns without events take no time, so the next one with events
    /// follows at once.
    pub fn begin_round(&mut self) -> Turn {
        self.is_scheduled = false;
        let mut round = Turn::default();
        while round.events.is_empty()
            && let Some(turn) = self.turns.pop_front()
        {
            round.events = turn.events;
            round.effects.extend(turn.effects);
        }
        round
    }

    /// Records the duration of a round that began at `now_ms`. Returns when it ends, in milliseconds.
    pub fn end_round(&mut self, now_ms: u64, duration_us: u64) -> u64 {
        self.busy_us += duration_us;
        self.busy_until_us = self.busy_until_us.max(now_ms * 1_000) + duration_us;
        self.busy_until_us / 1_000
    }
}
