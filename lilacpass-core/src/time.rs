//! Monotonic time of one process. Code that makes decisions receives it as an argument and never reads a clock.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// A point in time on the monotonic clock of one process, in microseconds since an arbitrary start.
///
/// Times of different processes can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Returns the time `ms` milliseconds after the start of the clock.
    pub fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than this time.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns whether `now` is at or after this time.
    pub fn reached(self, now: Self) -> bool {
        now >= self
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(us))
    }
}

impl Sub<Duration> for MonoTime {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(us))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}
