//! A leader whose operations take made-up time, as those of an instance that is short of processor do.
//!
//! The loop around it is that of an instance: it takes in all that has come, decides once, carries out what
//! follows, and is late for all that comes meanwhile. Its next tick comes 50 ms after the last was taken in.

use lilacpass_lead::{Effect, Event, event::Answer, leader::Work};

/// What operations take, in microseconds of made-up time.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Any event but those below.
    pub event_us: u64,
    /// A look: half when it is sent, half when it is answered.
    pub look_us: u64,
    /// One step that is looked at for room, or for workers to ask about.
    pub try_us: u64,
    /// A request of a caller, with its answer.
    pub ask_us: u64,
}

/// The loop around one leader.
#[derive(Debug, Default)]
pub struct Loop {
    /// What has come since it was last free.
    pub inbox: Vec<Event>,
    /// It will look into its inbox.
    pub is_woken: bool,
    /// Until when it is busy.
    pub busy_until_us: u64,
}

impl Costs {
    /// What it takes to take in an event.
    pub fn of_event(&self, event: &Event) -> u64 {
        match event {
            Event::Looked { .. } => self.look_us / 2,
            Event::Asked { .. } => self.ask_us,
            _ => self.event_us,
        }
    }

    /// What it takes to carry out an effect.
    pub fn of_effect(&self, effect: &Effect) -> u64 {
        match effect {
            Effect::Look { .. } => self.look_us / 2,
            Effect::Reply { answer: Answer::Refused { .. }, .. } => 0,
            _ => self.event_us,
        }
    }

    /// What deciding has taken between two readings of what was done.
    pub fn of_work(&self, before: Work, after: Work) -> u64 {
        (after.tries - before.tries) * self.try_us
    }
}
