//! Whether the store responds to this instance.

use crate::{clock, node::Node};

/// How long the leader considers the store reachable after a response of the store, in milliseconds. Its renewals
/// receive several responses a second. Without them, the watch for the desired state receives at least one every two
/// seconds, for which [`FOLLOWER_STORE_SLACK_MS`] allows.
const STORE_REACHABLE_MS: u64 = 900;
/// Added to the wait for a change of the desired state to obtain [`STORE_REACHABLE_MS`] of an instance that does not
/// lead. If the store is reachable, such an instance receives a response at least this often.
const FOLLOWER_STORE_SLACK_MS: u64 = 2_000;

impl Node {
    /// Records a response of the store.
    pub fn record_store_response(&self) {
        self.cut_off.set(false);
        let now_ms = clock::now().steady_ms;
        self.last_store_response_ms.set(now_ms);
        self.store_responded.notify_waiters();
        if let Some(since_ms) = self.store_failing_since_ms.take() {
            log::info!(failed_ms = now_ms.saturating_sub(since_ms); "store accepts calls again");
        }
    }

    /// Records that the store has refused a call.
    pub fn record_store_refusal(&self) {
        if self.store_failing_since_ms.get().is_none() {
            log::info!("store refuses calls");
            self.store_failing_since_ms.set(Some(clock::now().steady_ms));
        }
    }

    /// How long the store has refused all calls, or has been unresponsive beyond [`STORE_REACHABLE_MS`], in
    /// milliseconds; 0 if neither.
    pub fn store_failing_ms(&self) -> u64 {
        let now_ms = clock::now().steady_ms;
        if let Some(since_ms) = self.store_failing_since_ms.get() {
            return now_ms.saturating_sub(since_ms);
        }
        let unresponsive_ms = now_ms.saturating_sub(self.last_store_response_ms.get());
        if unresponsive_ms > STORE_REACHABLE_MS { unresponsive_ms } else { 0 }
    }

    /// Whether the store has responded recently.
    pub fn store_reachable(&self) -> bool {
        let limit_ms = if self.leads() {
            STORE_REACHABLE_MS
        } else {
            self.desired_wait_ms() + FOLLOWER_STORE_SLACK_MS
        };
        self.store_response_age_ms() < limit_ms
    }

    /// Time since the last response of the store, in milliseconds.
    pub fn store_response_age_ms(&self) -> u64 {
        clock::now().steady_ms.saturating_sub(self.last_store_response_ms.get())
    }
}
