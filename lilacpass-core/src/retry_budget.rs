//! A budget for sending calls a second time.
//!
//! A slow instance, service or network makes every response late. If each late call were sent again, the number of calls
//! would double just when there are too many already. The budget allows a share of the calls to be repeated: enough to
//! make up for lost responses, and almost none when all of them are late.

use std::cell::Cell;

/// Credit that each call earns: one in ten may be sent again. The highest loss rate seen is one in eighteen.
const CREDIT_PER_CALL: f64 = 0.1;
/// Maximum credit, which covers a burst of lost responses, as when a worker's connections are reset.
const MAX_CREDIT: f64 = 20.0;

/// Limits how many calls are sent again.
#[derive(Debug)]
pub struct RetryBudget {
    credit: Cell<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: Cell::new(MAX_CREDIT) }
    }
}

impl RetryBudget {
    /// Adds the credit for a call that is sent for the first time.
    pub fn earn(&self) {
        self.credit.set((self.credit.get() + CREDIT_PER_CALL).min(MAX_CREDIT));
    }

    /// Takes the cost of sending a call again. Returns whether there was enough credit.
    pub fn spend(&self) -> bool {
        let enough = self.credit.get() >= 1.0;
        if enough {
            self.credit.set(self.credit.get() - 1.0);
        }
        enough
    }
}
