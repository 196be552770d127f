//! Tells whether answers of workers get lost just now.
//!
//! Load pattern: for some seconds one call in twenty gets no answer, though all workers live. An end of
//! a task is then heard of when the look that waited for it is given up, 1.2 s later; of jobs with 16
//! tasks most are hit. While this lasts, looks wait for less time, so that a lost one costs less.

use std::collections::VecDeque;

/// How far back lost answers count.
const WINDOW_MS: u64 = 2_000;
/// Lost answers within that time that make short looks worth their cost. A single worker that was
/// restarted or frozen brings one or two.
const FEWEST: usize = 4;

/// Lost answers of late.
#[derive(Debug, Default)]
pub struct ResponseLossMeter {
    lost_ms: VecDeque<u64>,
}

impl ResponseLossMeter {
    /// A worker answers whose call before got no answer.
    pub fn record_lost_response(&mut self, now_ms: u64) {
        if self.lost_ms.len() == FEWEST {
            self.lost_ms.pop_front();
        }
        self.lost_ms.push_back(now_ms);
    }

    /// Forgets what was noted. For a leader that is late itself: answers waited in its own queue, and
    /// more looks would make it later still, until no worker seems to answer.
    pub fn clear(&mut self) {
        self.lost_ms.clear();
    }

    /// Whether answers get lost.
    pub fn is_lossy(&self, now_ms: u64) -> bool {
        let first_ms = self.lost_ms.front().copied().unwrap_or(0);
        self.lost_ms.len() == FEWEST && first_ms + WINDOW_MS > now_ms
    }
}
