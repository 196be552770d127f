//! Monotonic time of one process. Decisions take it as an argument and never read a clock.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// A moment on the monotonic clock of one process, in microseconds since an arbitrary start.
///
/// Moments of two processes can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// The moment `ms` milliseconds after the start of the clock.
    pub fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// The time since `earlier`, or zero where `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Whether this moment has been reached at `now`.
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
