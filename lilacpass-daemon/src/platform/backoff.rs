//! Pauses between tries that fail.

use std::time::Duration;

/// Shortest pause after a failure.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause; an outage that ends is noticed within this time.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Doubles the pause with each failure in a row, up to a bound, and varies it at random.
///
/// Guards against all instances coming back in step after an outage, which would overload the
/// platform at the moment of its recovery.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Notes a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure; gives the pause until the next try.
    pub fn next_pause(&mut self) -> Duration {
        const MAX_DOUBLINGS: u32 = 8;
        let doubled = MIN_PAUSE * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        doubled.min(MAX_PAUSE).mul_f64(rand::random_range(0.5..1.0))
    }

    /// Waits until the next try.
    pub async fn pause(&mut self) {
        tokio::time::sleep(self.next_pause()).await;
    }
}
