//! Limits the work that searches for workers may make, whatever the number of waiting steps and of workers.
//!
//! Load pattern: a burst after which a hundred steps wait in a full cell of a thousand workers. Each of them searches
//! again and again, so that the leader is late for everything else, and more steps wait.

/// Number of items that searches may go through per second.
const VISITS_PER_SECOND: u64 = 120_000;
/// The budget holds at most the visits of this time in ms.
const MAX_SAVED_MS: u64 = 250;
/// Searches for slow calls may use the budget only while more than this part of it is left, in percent, because the
/// steps of quick calls are urgent.
const RESERVED_FOR_QUICK_PERCENT: i64 = 40;

/// The visits that are left. A search may overdraw it; the next ones wait until it is positive again.
#[derive(Debug)]
pub struct WorkBudget {
    left: i64,
    refilled_ms: u64,
}

impl Default for WorkBudget {
    fn default() -> Self {
        Self { left: Self::MAX, refilled_ms: 0 }
    }
}

impl WorkBudget {
    const MAX: i64 = (VISITS_PER_SECOND * MAX_SAVED_MS / 1_000) as i64;

    /// Adds the visits of the time since the last call.
    pub fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms).min(MAX_SAVED_MS);
        self.refilled_ms = now_ms;
        let earned = (VISITS_PER_SECOND * elapsed_ms / 1_000) as i64;
        self.left = (self.left + earned).min(Self::MAX);
    }

    /// Takes the visits of a search that has been made.
    pub fn spend(&mut self, visits: u64) {
        self.left = self.left.saturating_sub(visits as i64);
    }

    /// Returns whether a search may be made for a call that is slow or quick.
    pub fn allows(&self, is_slow: bool) -> bool {
        let reserved = if is_slow { Self::MAX * RESERVED_FOR_QUICK_PERCENT / 100 } else { 0 };
        self.left > reserved
    }
}
