//! A scan of all waiting steps over several rounds, used when one round cannot examine them all.
//!
//! If every round started with the first steps in scheduling order, the last ones would never be reached while those
//! before them change all the time.

use std::collections::BTreeSet;

use lilacpass_jobs::StepName;

use crate::{event::Now, rank::Rank, waiting::WaitingSteps};

/// The state of a scan over all waiting steps in scheduling order.
#[derive(Debug, Default)]
pub struct Scan {
    /// Start time in ms on the monotonic clock; `None` if no scan is active.
    started_ms: Option<u64>,
    /// The last step that was examined.
    position: Option<Rank>,
    last_duration_ms: u64,
    /// Steps that were not examined yet when their rank moved to before `position`.
    passed_over: BTreeSet<StepName>,
}

impl Scan {
    /// Returns whether a scan has steps left to examine.
    pub fn is_active(&self) -> bool {
        self.started_ms.is_some()
    }

    /// Starts a scan after a step, or with the first step if `after` is `None`.
    pub fn start(&mut self, after: Option<Rank>, now: Now) {
        self.started_ms = Some(now.steady_ms);
        self.position = after;
        self.passed_over.clear();
    }

    /// Records the new rank of a waiting step, so that the active scan reaches the step also if it moves to a position
    /// that the scan has passed.
    pub fn record_move(&mut self, former: &Rank, new: &Rank) {
        let Some(position) = self.position.filter(|_| self.is_active()) else { return };
        if *former > position && *new <= position {
            self.passed_over.insert(new.step);
        }
    }

    /// Returns the next steps, at most `max`. The scan ends if there are fewer.
    pub fn next(&mut self, waiting: &WaitingSteps, max: usize, now: Now) -> Vec<StepName> {
        let ranks = waiting.after(self.position, max);
        let mut passed_over = Vec::new();
        while ranks.len() + passed_over.len() < max {
            let Some(step) = self.passed_over.pop_first() else { break };
            passed_over.extend(waiting.rank_of(step).map(|rank| rank.step));
        }
        if ranks.len() + passed_over.len() < max {
            self.last_duration_ms = self.duration_ms(now);
            self.started_ms = None;
        }
        self.position = ranks.last().copied().or(self.position);
        ranks.into_iter().map(|rank| rank.step).chain(passed_over).collect()
    }

    /// Resets the duration because one round has examined all steps.
    pub fn reset_duration(&mut self) {
        self.last_duration_ms = 0;
    }

    /// Returns the duration of the last scan, or of the active one if that has taken longer already.
    pub fn duration_ms(&self, now: Now) -> u64 {
        let elapsed_ms = self.started_ms.map_or(0, |started_ms| now.steady_ms - started_ms);
        self.last_duration_ms.max(elapsed_ms)
    }
}
