//! Selects the steps that a scheduling round examines if its limit does not allow all that are due.

use lilacpass_jobs::StepName;

use crate::{
    event::Now, leader::Leader, pending_changes::RoundScope, rank::Rank, schedule::WorkerScope,
};

/// While a scan is active, changed steps and the scan each get the number of steps that a round may examine, divided by
/// this.
const CHANGED_STEPS_DIVISOR: u64 = 2;
/// Requests for advice for the changed steps may examine as many steps as a round, divided by this.
const CHANGED_ADVICE_DIVISOR: u64 = 4;

impl Leader {
    /// Returns whether the next round must continue work that this one had to leave.
    pub fn has_more(&self) -> bool {
        self.scan.is_active()
    }

    /// Ends a round that has reached its limit before the step `before`. The next rounds scan the remaining steps.
    pub(crate) fn end_round_early(&mut self, before: Rank, round: RoundScope, now: Now) {
        self.pressure.record_cut_round();
        self.scan.start(self.waiting.before(before), now);
        self.keep_unexamined(round);
    }

    /// Runs a round while a scan is active: places tasks of changed steps and of the next steps of the scan, then
    /// requests advice for both.
    ///
    /// Up to half of the round goes to steps that have changed or for which capacity was freed, in scheduling order,
    /// because the first of them should get capacity before others. The scan examines all steps, so that none that a
    /// round has left out is forgotten.
    pub(crate) fn schedule_by_scan(&mut self, mut round: RoundScope, now: Now) {
        let max_steps = self.pressure.max_steps_per_round();
        // The scan takes the place of a full round.
        round.all = false;
        let changed = self.place_changed_steps(&mut round, max_steps / CHANGED_STEPS_DIVISOR, now);
        let next = self.scan.next(&self.waiting, (max_steps / CHANGED_STEPS_DIVISOR) as usize, now);
        for step in &next {
            round.changed.remove(step);
            self.place_step(*step, None, now);
        }
        self.request_advice_for(&changed, max_steps / CHANGED_ADVICE_DIVISOR, now);
        self.request_advice_for(&next, u64::MAX, now);
        self.keep_unexamined(round);
        if self.scan.is_active() {
            self.pressure.record_cut_round();
        } else {
            self.make_advance_reservations(now);
        }
    }

    /// Places tasks of steps that have changed or for which capacity was freed, in scheduling order, until `max_steps`
    /// were examined. Returns the examined steps.
    fn place_changed_steps(
        &mut self,
        round: &mut RoundScope,
        max_steps: u64,
        now: Now,
    ) -> Vec<StepName> {
        let end = self.work.steps_examined + max_steps;
        let mut examined = Vec::new();
        for (rank, workers) in self.due_steps(round, now) {
            if self.work.steps_examined >= end {
                break;
            }
            match workers {
                WorkerScope::All => self.place_step(rank.step, None, now),
                WorkerScope::Freed => self.place_step(rank.step, Some(&round.freed), now),
            }
            round.changed.remove(&rank.step);
            examined.push(rank.step);
        }
        examined
    }

    /// Requests advice for steps until `max_steps` were examined.
    fn request_advice_for(&mut self, steps: &[StepName], max_steps: u64, now: Now) {
        let end = self.work.steps_examined.saturating_add(max_steps);
        for step in steps {
            if self.work.steps_examined >= end || !self.lanes.has_idle() {
                return;
            }
            self.request_advice(*step, now);
        }
    }

    /// Keeps the changed steps that were not examined for the next round.
    fn keep_unexamined(&mut self, round: RoundScope) {
        for step in round.changed {
            if self.waiting.rank_of(step).is_some() {
                self.pending_changes.mark_step_changed(step);
            }
        }
    }
}
