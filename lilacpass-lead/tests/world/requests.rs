//! Judges what the leader says of jobs that wait or run by what workers have begun.

use std::collections::{BTreeMap, BTreeSet};

use lilacpass_jobs::{JobKey, Outcome};
use lilacpass_lead::event::{JobState, Request, RequestId, Response};

use crate::world::store::Store;

/// What was asked, and what workers have begun.
#[derive(Default)]
pub struct Requests {
    /// Jobs of which a worker has begun a task.
    pub begun: BTreeSet<JobKey>,
    sent: BTreeMap<u64, Request>,
    /// Jobs whose callers were told that they are accepted, with their queues.
    accepted: BTreeMap<JobKey, String>,
    /// Jobs that must be counted if they still wait, by the request for the count.
    expected_pending: BTreeMap<u64, Vec<JobKey>>,
    cancelled: BTreeSet<JobKey>,
}

impl Requests {
    /// Notes a request that goes to the leader.
    pub fn record(&mut self, request_id: RequestId, request: &Request) {
        if let Request::Cancel(job) = request {
            self.cancelled.insert(*job);
        }
        if let Request::Pending { queue } = request {
            let of_queue = self.accepted.iter().filter(|(_, of)| *of == queue);
            self.expected_pending.insert(request_id.0, of_queue.map(|(job, _)| *job).collect());
        }
        self.sent.insert(request_id.0, request.clone());
    }

    /// What must hold for an answer of the leader in force.
    pub fn check(&mut self, request_id: RequestId, answer: &Response, store: &Store) {
        match (&self.sent[&request_id.0], answer) {
            (Request::Submit { job, queue, .. }, Response::Done) => {
                self.accepted.insert(*job, queue.name.clone());
            }
            (Request::State(job), Response::State(JobState::Running)) => {
                assert!(self.begun.contains(job), "{job} is said to run; no worker has begun it");
            }
            (Request::Pending { queue }, Response::Pending(told)) => {
                let waits = |job: &&JobKey| {
                    !self.begun.contains(job)
                        && !self.cancelled.contains(job)
                        && store.job(**job).is_some_and(|job| job.outcome == Outcome::Open)
                };
                let waiting: Vec<&JobKey> =
                    self.expected_pending[&request_id.0].iter().filter(waits).collect();
                assert!(
                    *told >= waiting.len() as u64,
                    "{told} jobs of {queue} are said to wait; {waiting:?} do"
                );
            }
            _ => {}
        }
    }
}
