//! Counters of an instance, as text for the metrics address.

use std::cell::Cell;

/// Counters. All rise from 0 at the start of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests of callers.
    pub requests: Cell<u64>,
    /// Requests refused as not run.
    pub refused: Cell<u64>,
    /// Requests whose outcome is not known.
    pub uncertain: Cell<u64>,
    /// Appends sent to the store, with those sent again.
    pub appends: Cell<u64>,
    /// Times that this instance took over.
    pub takeovers: Cell<u64>,
    /// Calls to the advice service.
    pub advice_calls: Cell<u64>,
}

/// Adds one to a counter.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
