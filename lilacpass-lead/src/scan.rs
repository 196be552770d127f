//! Whose turn it is where a round can't look at all waiting steps.
//!
//! Looked at in order alone, the last would never be reached while those before them change all the time.

use lilacpass_jobs::StepName;

use crate::{event::Now, rank::Rank, waiting::WaitingSteps};

/// A walk over all waiting steps in order, over several rounds.
#[derive(Debug, Default)]
pub struct Scan {
    started_ms: Option<u64>,
    /// The step that was reached.
    position: Option<Rank>,
    last_took_ms: u64,
}

impl Scan {
    /// Whether steps have not had their turn yet.
    pub fn is_under_way(&self) -> bool {
        self.started_ms.is_some()
    }

    /// Begins after a step; from the first where there is none.
    pub fn start(&mut self, after: Option<Rank>, now: Now) {
        self.started_ms = Some(now.steady_ms);
        self.position = after;
    }

    /// The next steps, at most `most`. The walk is over where there are fewer.
    pub fn next(&mut self, waiting: &WaitingSteps, most: usize, now: Now) -> Vec<StepName> {
        let ranks = waiting.after(self.position, most);
        if ranks.len() < most {
            self.last_took_ms = self.duration_ms(now);
            self.started_ms = None;
        }
        self.position = ranks.last().copied().or(self.position);
        ranks.into_iter().map(|rank| rank.step).collect()
    }

    /// All steps were looked at in one round.
    pub fn reset_duration(&mut self) {
        self.last_took_ms = 0;
    }

    /// How long a walk takes: the last one, or the one under way where that has taken longer.
    pub fn duration_ms(&self, now: Now) -> u64 {
        let so_far_ms = self.started_ms.map_or(0, |started_ms| now.steady_ms - started_ms);
        self.last_took_ms.max(so_far_ms)
    }
}
