//! Order in which the leader processes messages that arrived while it was busy.
//!
//! Thousands of clients may send requests at the same time, mixed with ended runs, responses of workers and
//! confirmations of the store. If all were processed in order of arrival, worker leases would be extended only after
//! the requests of clients.

use std::collections::VecDeque;

/// Maximum number of client requests that are processed before a scheduling round. It bounds what a burst of requests
/// adds to a round.
pub const MAX_REQUESTS_PER_ROUND: usize = 256;

/// Messages that have arrived and are not processed yet.
#[derive(Debug)]
pub struct IntakeQueue<M> {
    events: VecDeque<M>,
    requests: VecDeque<M>,
}

impl<M> Default for IntakeQueue<M> {
    fn default() -> Self {
        Self { events: VecDeque::new(), requests: VecDeque::new() }
    }
}

impl<M> IntakeQueue<M> {
    /// Adds an event.
    pub fn push_event(&mut self, message: M) {
        self.events.push_back(message);
    }

    /// Adds a request. Requests stay in order of arrival. If a cancellation overtook the submission of its job, the
    /// response would be that there is no such job, and the job would run.
    pub fn push_request(&mut self, message: M) {
        self.requests.push_back(message);
    }

    /// Takes the messages of the next round: all events, then the oldest requests.
    pub fn next_round(&mut self) -> Vec<M> {
        let requests = self.requests.len().min(MAX_REQUESTS_PER_ROUND);
        self.events.drain(..).chain(self.requests.drain(..requests)).collect()
    }

    /// Whether there are no messages left.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty() && self.requests.is_empty()
    }
}
