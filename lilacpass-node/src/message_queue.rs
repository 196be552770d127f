//! In which order the leader takes in what has come while it was busy.
//!
//! Load pattern: thousands of callers ask at once, while ends, answers of workers and confirmations of the store
//! come in among them. Taken in as they came, the leases of workers would wait for the callers.

use std::collections::VecDeque;

/// Requests of callers that are taken in before a round of deciding: bounds what a rush of callers adds to a round.
pub const MAX_REQUESTS_PER_ROUND: usize = 256;

/// What has come and was not taken in yet.
#[derive(Debug)]
pub struct MessageQueue<M> {
    events: VecDeque<M>,
    requests: VecDeque<M>,
}

impl<M> Default for MessageQueue<M> {
    fn default() -> Self {
        Self { events: VecDeque::new(), requests: VecDeque::new() }
    }
}

impl<M> MessageQueue<M> {
    /// Adds what happened.
    pub fn push_event(&mut self, message: M) {
        self.events.push_back(message);
    }

    /// Adds a request. Requests stay in the order in which they came: a cancel that overtook the hand-in of its job
    /// would be told that there is none, and the job would run.
    pub fn push_request(&mut self, message: M) {
        self.requests.push_back(message);
    }

    /// What the next round takes in: all that happened, then the oldest requests.
    pub fn next_round(&mut self) -> Vec<M> {
        let requests = self.requests.len().min(MAX_REQUESTS_PER_ROUND);
        self.events.drain(..).chain(self.requests.drain(..requests)).collect()
    }

    /// Whether nothing is left to take in.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty() && self.requests.is_empty()
    }
}
