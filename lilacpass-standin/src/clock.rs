//! The clock of a stand-in process: monotonic time, and what it is on the wall.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lilacpass_core::MonoTime;

/// Monotonic clock with the wall-clock time at its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_unix_ms: u64,
}

impl Clock {
    /// Starts a clock now.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_unix_ms: as_ms(since_epoch) }
    }

    /// The present time.
    pub fn now(&self) -> MonoTime {
        MonoTime::default() + self.start.elapsed()
    }

    /// Wall-clock time at the start of the clock, in milliseconds since 1970.
    pub fn start_unix_ms(&self) -> u64 {
        self.start_unix_ms
    }

    /// The moment `at` for timers.
    pub fn instant(&self, at: MonoTime) -> Instant {
        self.start + at.since(MonoTime::default())
    }
}

/// Whole milliseconds of a duration.
pub fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
