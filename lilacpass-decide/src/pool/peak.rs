//! The recent peak of what a class of work was given.

use std::time::Duration;

use lilacpass_core::{MonoTime, Resources};

/// An amount and its greatest value of late: over the current window and the one before it.
#[derive(Clone, Debug)]
pub(crate) struct Peak {
    window: Duration,
    window_end: MonoTime,
    current: Resources,
    this_window: Resources,
    last_window: Resources,
}

impl Peak {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            window_end: MonoTime::default(),
            current: Resources::ZERO,
            this_window: Resources::ZERO,
            last_window: Resources::ZERO,
        }
    }

    pub(crate) fn add(&mut self, amount: &Resources, now: MonoTime) {
        self.roll(now);
        self.current = self.current.plus(amount);
        self.this_window = self.this_window.max(&self.current);
    }

    pub(crate) fn sub(&mut self, amount: &Resources) {
        self.current = self.current.minus(amount);
    }

    /// What is missing from the current amount to the recent peak.
    pub(crate) fn headroom(&mut self, now: MonoTime) -> Resources {
        self.roll(now);
        self.this_window.max(&self.last_window).minus(&self.current)
    }

    fn roll(&mut self, now: MonoTime) {
        if !self.window_end.reached(now) {
            return;
        }
        let stale = (self.window_end + self.window).reached(now);
        self.last_window = if stale { self.current } else { self.this_window };
        self.this_window = self.current;
        self.window_end = now + self.window;
    }
}
