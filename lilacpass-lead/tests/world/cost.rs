//! A leader whose operations take made-up time, as those of an instance that is short of processor do.
//!
//! The loop around it is that of an instance: it takes in all that has come, decides once, carries out what
//! follows, and is late for all that comes meanwhile. Its next tick comes 50 ms after the last was taken in.

use std::mem;

use lilacpass_lead::{Effect, Event, event::Response, leader::SchedulingWork};

use super::{Action, LeaderInstance, TICK_MS, World};

/// What operations take, in microseconds of made-up time.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Any event but those below.
    pub event_us: u64,
    /// A look: half when it is sent, half when it is answered.
    pub poll_us: u64,
    /// One step that is looked at for room, or for workers to ask about.
    pub step_us: u64,
    /// A request of a caller, with its answer.
    pub request_us: u64,
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
            Event::Polled { .. } => self.poll_us / 2,
            Event::Request { .. } => self.request_us,
            _ => self.event_us,
        }
    }

    /// What it takes to carry out an effect.
    pub fn of_effect(&self, effect: &Effect) -> u64 {
        match effect {
            Effect::Poll { .. } => self.poll_us / 2,
            Effect::Reply { response: Response::Refused { .. }, .. } => 0,
            _ => self.event_us,
        }
    }

    /// What deciding has taken between two readings of what was done.
    pub fn of_work(&self, before: SchedulingWork, after: SchedulingWork) -> u64 {
        (after.steps_examined - before.steps_examined) * self.step_us
    }
}

impl World {
    /// Has a member look into its inbox once it is free.
    pub(super) fn wake(&mut self, member: usize) {
        let turns = &mut self.instances[member].event_loop;
        if mem::replace(&mut turns.is_woken, true) {
            return;
        }
        let free_ms = turns.busy_until_us.div_ceil(1_000);
        self.plan(free_ms.saturating_sub(self.now_ms), Action::Round { member });
    }

    /// A member takes in all that has come, and decides; both take time.
    pub(super) fn run_round(&mut self, member: usize) {
        let Some(costs) = self.costs else { return };
        let now = self.now();
        let LeaderInstance { leader, event_loop: turns, .. } = &mut self.instances[member];
        turns.is_woken = false;
        let before = leader.work();
        let mut cost_us = 0;
        let mut ticks = false;
        for event in mem::take(&mut turns.inbox) {
            cost_us += costs.of_event(&event);
            ticks |= event == Event::Tick;
            leader.handle(event, now);
        }
        let effects = leader.finish(now);
        cost_us += costs.of_work(before, leader.work());
        cost_us += effects.iter().map(|effect| costs.of_effect(effect)).sum::<u64>();
        turns.busy_until_us = turns.busy_until_us.max(self.now_ms * 1_000) + cost_us;
        let cost_ms = cost_us / 1_000;
        let has_more = leader.has_more();
        if ticks {
            self.plan(TICK_MS, Action::Tick { member });
        }
        for effect in effects {
            self.send(member, effect, cost_ms);
        }
        if has_more {
            self.wake(member);
        }
    }

    /// A look that waited is answered with what there is now.
    pub(super) fn answer_waiting_poll(
        &mut self,
        member: usize,
        at: usize,
        effect: &Effect,
        sent_ms: u64,
    ) {
        let Effect::Poll { worker, forget_up_to, extra, .. } = effect else { return };
        let epoch = self.instances[member].epoch;
        let result = self.workers[at].poll(epoch, None, *forget_up_to);
        let event = Event::Polled { worker: worker.clone(), sent_ms, extra: *extra, result };
        self.plan(1, Action::Deliver { member, event });
    }
}
