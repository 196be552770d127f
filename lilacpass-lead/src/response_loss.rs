//! Detects whether responses of workers are being lost.
//!
//! Load pattern: for some seconds one call in twenty gets no response although all workers are alive. The leader then
//! learns of the end of a task only when the poll that waited for it times out, 1.2 s later. This affects most jobs
//! of 16 tasks. While it lasts, polls wait for a shorter time, so that a lost response costs less.

use std::collections::VecDeque;

/// Time for which a lost response counts.
const WINDOW_MS: u64 = 2_000;
/// Number of lost responses within that time at which shorter polls become worth their cost. A single worker that
/// restarts or freezes accounts for one or two.
const MIN_LOST_RESPONSES: usize = 4;

/// Recent losses of responses.
#[derive(Debug, Default)]
pub struct ResponseLossMeter {
    lost_at_ms: VecDeque<u64>,
}

impl ResponseLossMeter {
    /// Records a lost response: a worker responds again whose previous poll got no response.
    pub fn record_lost_response(&mut self, now_ms: u64) {
        if self.lost_at_ms.len() == MIN_LOST_RESPONSES {
            self.lost_at_ms.pop_front();
        }
        self.lost_at_ms.push_back(now_ms);
    }

    /// Forgets all lost responses, for use when the leader itself is late: the responses waited in its own queue, and
    /// more polls would delay it further until no worker seems to respond.
    pub fn clear(&mut self) {
        self.lost_at_ms.clear();
    }

    /// Whether responses are being lost.
    pub fn is_lossy(&self, now_ms: u64) -> bool {
        let oldest_ms = self.lost_at_ms.front().copied().unwrap_or(0);
        self.lost_at_ms.len() == MIN_LOST_RESPONSES && oldest_ms + WINDOW_MS > now_ms
    }
}
