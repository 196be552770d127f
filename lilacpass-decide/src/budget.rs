//! A budget for retries, so that retries never multiply the load of an outage.

/// Thousandths of a token that one retry costs.
const RETRY_COST: u64 = 1_000;

/// A token bucket that is filled by requests and emptied by retries.
///
/// Failure: while workers or peers fail, each request is tried again and the load grows with the
/// failures. Tokens come from first attempts only, so retries stay below a fixed part of them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    per_hundred: u32,
    tokens: u64,
    max_tokens: u64,
}

impl RetryBudget {
    /// A budget of `per_hundred` retries per hundred requests, with `burst` retries saved at most
    /// and to begin with.
    pub fn new(per_hundred: u32, burst: u32) -> Self {
        let max_tokens = u64::from(burst) * RETRY_COST;
        Self { per_hundred, tokens: max_tokens, max_tokens }
    }

    /// Counts a first attempt.
    pub fn on_request(&mut self) {
        let earned = u64::from(self.per_hundred) * RETRY_COST / 100;
        self.tokens = (self.tokens + earned).min(self.max_tokens);
    }

    /// Takes the price of one retry, where it is there.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.tokens >= RETRY_COST;
        if enough {
            self.tokens -= RETRY_COST;
        }
        enough
    }

    /// The number of retries that could be paid for now.
    pub fn available(&self) -> u64 {
        self.tokens / RETRY_COST
    }
}
