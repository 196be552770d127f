//! Answers operators' queries about the state of the cell and of jobs.

use lilacpass_lead::Now;

use super::LeaderLoop;
use crate::{clock, leader_handle::OperatorQuery};

impl LeaderLoop {
    /// Answers an operator's query as JSON.
    pub(super) fn inspect(&self, query: OperatorQuery) -> serde_json::Value {
        let now = clock::now();
        let value = match query {
            OperatorQuery::Status => self.status(now),
            OperatorQuery::Job(key) => serde_json::to_value(self.leader.explain(key, now)),
        };
        value.unwrap_or_else(|err| serde_json::json!({ "error": err.to_string() }))
    }

    /// The state of the cell, including the relays.
    fn status(&self, now: Now) -> serde_json::Result<serde_json::Value> {
        let status = self.leader.status(now);
        let workers = status.workers.iter().map(|w| (w.name.as_str(), w.data_centre.as_str()));
        let relays = self.node.relays.borrow().status(workers);
        let mut status = serde_json::to_value(&status)?;
        status["relays"] = relays;
        Ok(status)
    }
}
