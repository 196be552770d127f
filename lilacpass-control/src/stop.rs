//! The planned stop of an entry instance: nothing in flight is cut off.

use lilacpass_core::{
    MonoTime,
    ids::{ShardId, WorkerId},
};

use crate::{Control, calls::Pending, event::Effect, outbox::Outbox};

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// Not asked for.
    No,
    /// Finishing what is in flight; workers are still held.
    Draining,
    /// Nothing is in flight: giving the workers back.
    Releasing,
    /// Done; the process can exit.
    Done,
}

impl Control {
    /// Whether a planned stop was asked for.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stop != Stop::No
    }

    /// A planned stop is asked for.
    pub(crate) fn on_stop(&mut self, now: MonoTime) {
        if self.stop != Stop::No {
            return;
        }
        log::info!("planned stop");
        self.stop = Stop::Draining;
        self.out.push(Effect::Ready(false));
        self.end_waits(now);
        // Peers learn at once, so that they stop forwarding to this instance.
        for (_, peer) in self.members.iter_mut() {
            peer.heartbeat_at = now;
        }
    }

    /// Moves the planned stop on.
    ///
    /// The workers are given back only when no call that could start something is under way: the
    /// next holder learns what runs from the workers' reports, and a start that arrives after the
    /// report would be missing in it.
    pub(crate) fn advance_stop(&mut self, now: MonoTime) {
        match self.stop {
            Stop::No | Stop::Done => {}
            Stop::Draining if self.nothing_in_flight(now) || !self.settings.guards.stop_waits => {
                self.stop = Stop::Releasing;
                self.holding.leave(now);
            }
            Stop::Draining => {}
            Stop::Releasing if self.has_left(now) => {
                self.stop = Stop::Done;
                self.out.push(Effect::Stopped);
            }
            Stop::Releasing => {}
        }
    }

    /// Starts of unknown outcome count only while they can still arrive: after that the next holder
    /// finds them in the worker's report, also if the worker is silent for now.
    fn nothing_in_flight(&self, now: MonoTime) -> bool {
        let starts = self.recorded.values().any(|task| task.may_arrive(now));
        let served = self.served.values().any(|served| served.is_in_flight(now));
        let running = self.calls.values().any(|call| {
            matches!(call, Pending::Run { .. } | Pending::Start { .. } | Pending::Forward { .. })
        });
        self.quick.is_empty()
            && !served
            && self.preparing.is_empty()
            && self.changes.is_empty()
            && self.waiters.is_empty()
            && !starts
            && !running
    }

    /// Whether everything is given back and written. Without the log the leases run out by
    /// themselves, so the process does not wait for it.
    fn has_left(&self, now: MonoTime) -> bool {
        let written = self.outboxes.values().all(Outbox::is_empty);
        if !self.settings.guards.stop_waits {
            return true;
        }
        (self.holding.left() && written && self.quick.is_empty()) || !self.log_reachable(now)
    }

    /// Whether a call that could start something on a worker of `shard` is under way.
    pub(crate) fn starts_under_way(&self, shard: &ShardId, now: MonoTime) -> bool {
        let in_shard =
            |worker: &WorkerId| self.held.get(worker).is_some_and(|held| held.shard == *shard);
        let calls = self.calls.values().any(|call| match call {
            Pending::Run { worker, .. } | Pending::Start { worker, .. } => in_shard(worker),
            _ => false,
        });
        let recorded =
            self.recorded.values().any(|task| in_shard(&task.worker) && task.may_arrive(now));
        let served = self
            .served
            .values()
            .any(|served| served.is_in_flight(now) && served.worker.as_ref().is_some_and(in_shard));
        calls || recorded || served
    }
}
