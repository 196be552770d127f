//! Limits how many log lines of one kind are written about single workers.
//!
//! Load pattern: a data centre is cut off, and each of its thousand workers stops responding within a second. A line
//! for each of them, and for each change after that, costs more CPU time than the events themselves.

/// Maximum number of lines in each interval.
const MAX_LINES: u32 = 20;
/// The interval, in ms.
const INTERVAL_MS: u64 = 1_000;

/// Counts the lines of the current interval.
#[derive(Debug, Default)]
pub struct LogLimit {
    interval_start_ms: u64,
    lines: u32,
    omitted: u64,
}

impl LogLimit {
    /// Whether another line may be written now. Counts it in either case.
    pub fn allows(&mut self, now_ms: u64) -> bool {
        if now_ms >= self.interval_start_ms + INTERVAL_MS {
            self.interval_start_ms = now_ms;
            self.lines = 0;
        }
        self.lines += 1;
        let is_allowed = self.lines <= MAX_LINES;
        self.omitted += u64::from(!is_allowed);
        is_allowed
    }

    /// Returns the number of lines that were omitted since the last call, once the interval in which that began is
    /// over; 0 before that.
    pub fn take_omitted(&mut self, now_ms: u64) -> u64 {
        if now_ms < self.interval_start_ms + INTERVAL_MS {
            return 0;
        }
        std::mem::take(&mut self.omitted)
    }
}
