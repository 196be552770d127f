//! A leader whose operations take simulated time, like those of an instance that is short of processor time.
//!
//! Its event loop works like that of an instance: it processes all events that have arrived, decides once, carries out
//! the effects, and is late for all events that arrive meanwhile. A tick follows 50 ms after the previous one was
//! processed.

use std::mem;

use lilacpass_lead::{Effect, Event, event::Response, work::SchedulingWork};

use super::{Action, LeaderInstance, TICK_MS, World};

/// Cost of each operation of a leader, in microseconds of simulated time.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Any event or effect other than those below.
    pub event_us: u64,
    /// A poll: one half when it is sent, the other when its result is processed.
    pub poll_us: u64,
    /// The search, for one step, for workers with free capacity or for workers to request advice about.
    pub step_us: u64,
    /// A client's request with its response.
    pub request_us: u64,
}

/// The event loop of a leader.
#[derive(Debug, Default)]
pub struct EventLoop {
    /// Events that have arrived since the last round.
    pub inbox: Vec<Event>,
    /// Whether the next round is scheduled.
    pub is_woken: bool,
    /// Time until which the leader is busy with its last round, in microseconds.
    pub busy_until_us: u64,
}

impl Costs {
    /// The cost of processing an event.
    pub fn of_event(&self, event: &Event) -> u64 {
        match event {
            Event::Polled { .. } => self.poll_us / 2,
            Event::Request { .. } => self.request_us,
            _ => self.event_us,
        }
    }

    /// The cost of carrying out an effect.
    pub fn of_effect(&self, effect: &Effect) -> u64 {
        match effect {
            Effect::Poll { .. } => self.poll_us / 2,
            Effect::Reply { response: Response::Refused { .. }, .. } => 0,
            _ => self.event_us,
        }
    }

    /// The cost of the scheduling work between two readings of [`SchedulingWork`].
    pub fn of_work(&self, before: SchedulingWork, after: SchedulingWork) -> u64 {
        (after.steps_examined - before.steps_examined) * self.step_us
    }
}

impl World {
    /// Schedules the next round of an instance for when it is free.
    pub(super) fn wake(&mut self, instance: usize) {
        let event_loop = &mut self.instances[instance].event_loop;
        if mem::replace(&mut event_loop.is_woken, true) {
            return;
        }
        let free_ms = event_loop.busy_until_us.div_ceil(1_000);
        self.schedule(free_ms.saturating_sub(self.now_ms), Action::RunRound { instance });
    }

    /// Processes all events that have arrived and decides, both at a cost.
    pub(super) fn run_round(&mut self, instance: usize) {
        let Some(costs) = self.costs else { return };
        let now = self.now();
        let LeaderInstance { leader, event_loop, .. } = &mut self.instances[instance];
        event_loop.is_woken = false;
        let before = leader.work();
        let mut cost_us = 0;
        let mut has_tick = false;
        for event in mem::take(&mut event_loop.inbox) {
            cost_us += costs.of_event(&event);
            has_tick |= event == Event::Tick;
            leader.handle(event, now);
        }
        let effects = leader.finish(now);
        cost_us += costs.of_work(before, leader.work());
        cost_us += effects.iter().map(|effect| costs.of_effect(effect)).sum::<u64>();
        event_loop.busy_until_us = event_loop.busy_until_us.max(self.now_ms * 1_000) + cost_us;
        let cost_ms = cost_us / 1_000;
        let has_more = leader.has_more();
        if has_tick {
            self.schedule(TICK_MS, Action::Tick { instance });
        }
        for effect in effects {
            self.send(instance, effect, cost_ms);
        }
        if has_more {
            self.wake(instance);
        }
    }

    /// Answers a waiting poll with the present state of the worker.
    pub(super) fn answer_waiting_poll(
        &mut self,
        instance: usize,
        worker_index: usize,
        effect: &Effect,
        sent_ms: u64,
    ) {
        let Effect::Poll { worker, fence_step, forget_up_to, extra, .. } = effect else { return };
        let fence = self.instances[instance].epoch + fence_step;
        let result = self.workers[worker_index].poll(fence, None, *forget_up_to);
        let event = Event::Polled { worker: worker.clone(), sent_ms, extra: *extra, result };
        self.schedule(1, Action::Deliver { instance, event });
    }
}
