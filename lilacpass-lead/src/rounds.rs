//! Rounds that can't look at all they would have to: which steps they look at.

use lilacpass_jobs::StepName;

use crate::{event::Now, leader::Leader, pending_changes::RoundScope, rank::Rank, schedule::Scope};

/// Part of a round for the steps that are first in order; the other is for those whose turn it is.
const FIRST_IN: u64 = 2;
/// Part of a round for calls for advice about the steps that are first in order.
const ADVICE_IN: u64 = 4;

impl Leader {
    /// Whether the next round has something left to do that this one could not.
    pub fn has_more(&self) -> bool {
        self.scan.is_under_way()
    }

    /// A round has looked at all it may before this step: the others get their turns in the next ones.
    pub(crate) fn end_round_early(&mut self, before: Rank, news: RoundScope, now: Now) {
        self.pressure.record_cut_round();
        self.scan.start(self.waiting.before(before), now);
        self.keep_unseen(news);
    }

    /// Places tasks of the first steps in order, and of those whose turn it is; then asks for advice about them.
    ///
    /// First come those that changed or have new room, as far as half of the round goes: by their order they are to
    /// get room before others. The turn looks at everything, so that nothing that a round left out is lost.
    pub(crate) fn schedule_by_scan(&mut self, mut news: RoundScope, now: Now) {
        let most = self.pressure.max_steps_per_round();
        // The turn is what looks at everything.
        news.all = false;
        let first = self.place_first(&mut news, most / FIRST_IN, now);
        let next = self.scan.next(&self.waiting, (most / FIRST_IN) as usize, now);
        for step in &next {
            news.changed.remove(step);
            self.place_step(*step, None, now);
        }
        self.ask_about(&first, most / ADVICE_IN, now);
        self.ask_about(&next, u64::MAX, now);
        self.keep_unseen(news);
        if self.scan.is_under_way() {
            self.pressure.record_cut_round();
        } else {
            self.make_advance_reservations(now);
        }
    }

    /// Places tasks of steps that changed or have new room, in order, until `most` were looked at.
    fn place_first(&mut self, news: &mut RoundScope, most: u64, now: Now) -> Vec<StepName> {
        let end = self.work.steps_examined + most;
        let mut looked_at = Vec::new();
        for (rank, scope) in self.due(news) {
            if self.work.steps_examined >= end {
                break;
            }
            match scope {
                Scope::All => self.place_step(rank.step, None, now),
                Scope::Freed => self.place_step(rank.step, Some(&news.freed), now),
            }
            news.changed.remove(&rank.step);
            looked_at.push(rank.step);
        }
        looked_at
    }

    /// Asks for advice about steps until `most` were looked at.
    fn ask_about(&mut self, steps: &[StepName], most: u64, now: Now) {
        let end = self.work.steps_examined.saturating_add(most);
        for step in steps {
            if self.work.steps_examined >= end || !self.lanes.has_idle() {
                return;
            }
            self.request_advice(*step, now);
        }
    }

    /// Keeps the steps that changed and were not looked at for the next round.
    fn keep_unseen(&mut self, news: RoundScope) {
        for step in news.changed {
            if self.waiting.rank_of(step).is_some() {
                self.pending_changes.mark_step_changed(step);
            }
        }
    }
}
