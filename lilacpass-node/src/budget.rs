//! How many calls may be made twice.
//!
//! Load pattern: a leader or a network that is slow makes every answer late. If each late order were sent
//! again, that would double the calls just when there are too many. A budget lets a share of them be
//! repeated: enough where answers get lost, next to nothing where all are late.

use std::cell::Cell;

/// What each order adds to the budget: one in ten may be sent again. The worst loss seen is one in
/// eighteen.
const CREDIT_PER_ORDER: f64 = 0.1;
/// The most that can be credit up: a burst of lost answers, as when a worker's connections are reset.
const MAX_CREDIT: f64 = 20.0;

/// A budget for sending orders again.
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
    /// An order was sent for the first time.
    pub fn earn(&self) {
        self.credit.set((self.credit.get() + CREDIT_PER_ORDER).min(MAX_CREDIT));
    }

    /// Takes what sending an order again costs. Returns whether there was enough.
    pub fn spend(&self) -> bool {
        let enough = self.credit.get() >= 1.0;
        if enough {
            self.credit.set(self.credit.get() - 1.0);
        }
        enough
    }
}
