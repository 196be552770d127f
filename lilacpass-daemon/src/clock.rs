//! The only module that reads clocks.

use std::{
    fs,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use lilacpass_core::MonoTime;

/// The monotonic clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock. All moments that are compared come from one clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The present moment.
    pub fn now(&self) -> MonoTime {
        MonoTime::default() + self.start.elapsed()
    }
}

/// Wall-clock time in milliseconds since 1970; for people, never for decisions.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Processor time that the calling thread has used, where the kernel tells it.
pub fn thread_cpu() -> Option<Duration> {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    let ns = stat.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(ns))
}
