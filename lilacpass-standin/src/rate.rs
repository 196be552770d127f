//! A limit on calls per second, with a small burst.

use lilacpass_core::{MonoTime, size::PerSecond};

/// Share of a second's calls that may come at once.
const BURST_DIVISOR: f64 = 4.0;

/// Token bucket.
#[derive(Debug)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    filled_at: MonoTime,
}

impl RateLimit {
    /// A full bucket. A rate of 0 means no limit.
    pub fn new(rate: PerSecond, now: MonoTime) -> Self {
        let per_second = rate.0 as f64;
        Self { per_second, tokens: burst(per_second), filled_at: now }
    }

    /// Takes one call out of the bucket; false where the rate is exceeded.
    pub fn admit(&mut self, now: MonoTime) -> bool {
        if self.per_second == 0.0 {
            return true;
        }
        let refill = now.since(self.filled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(burst(self.per_second));
        self.filled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

fn burst(per_second: f64) -> f64 {
    (per_second / BURST_DIVISOR).max(1.0)
}
