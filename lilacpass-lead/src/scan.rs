//! A scan of all waiting steps over several rounds, used when one round cannot examine them all.
//!
//! If every round started with the first steps in scheduling order, the last ones would never be reached while those
//! before them change all the time.

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
    }

    /// Returns the next steps, at most `max`. The scan ends if there are fewer.
    pub fn next(&mut self, waiting: &WaitingSteps, max: usize, now: Now) -> Vec<StepName> {
        let ranks = waiting.after(self.position, max);
        if ranks.len() < max {
            self.last_duration_ms = self.duration_ms(now);
            self.started_ms = None;
        }
        self.position = ranks.last().copied().or(self.position);
        ranks.into_iter().map(|rank| rank.step).collect()
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
