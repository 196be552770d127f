//! Checks the leader's responses about waiting and running jobs against what workers have started.

use std::collections::{BTreeMap, BTreeSet};

use lilacpass_jobs::{JobKey, Outcome};
use lilacpass_lead::event::{JobState, Request, RequestId, Response};

use crate::world::store::Store;

/// The requests sent to leaders, and the jobs that workers have started.
#[derive(Default)]
pub struct Requests {
    /// Jobs of which a worker has started a task.
    pub started: BTreeSet<JobKey>,
    sent: BTreeMap<u64, Request>,
    /// Jobs whose clients were told that they are accepted, with their queues.
    accepted: BTreeMap<JobKey, String>,
    /// Jobs that a count of pending jobs must include if they still wait, by the id of the request.
    expected_pending: BTreeMap<u64, Vec<JobKey>>,
    cancelled: BTreeSet<JobKey>,
}

impl Requests {
    /// Records a request that is sent to the leader.
    pub fn record(&mut self, request_id: RequestId, request: &Request) {
        if let Request::Cancel(job, _) = request {
            self.cancelled.insert(*job);
        }
        if let Request::Pending { queue } = request {
            let accepted_jobs = self.accepted.iter().filter(|(_, job_queue)| *job_queue == queue);
            self.expected_pending
                .insert(request_id.0, accepted_jobs.map(|(job, _)| *job).collect());
        }
        self.sent.insert(request_id.0, request.clone());
    }

    /// Checks a response of the current leader.
    pub fn check(&mut self, request_id: RequestId, response: &Response, store: &Store) {
        match (&self.sent[&request_id.0], response) {
            (Request::Submit { job, queue, .. }, Response::Done) => {
                self.accepted.insert(*job, queue.name.clone());
            }
            (Request::State(job, _), Response::State(JobState::Running)) => {
                assert!(
                    self.started.contains(job),
                    "{job} is reported as running, but no worker has started it"
                );
            }
            (Request::Pending { queue }, Response::Pending(reported)) => {
                let is_waiting = |job: &&JobKey| {
                    !self.started.contains(job)
                        && !self.cancelled.contains(job)
                        && store.job(**job).is_some_and(|job| job.outcome == Outcome::Open)
                };
                let waiting: Vec<&JobKey> =
                    self.expected_pending[&request_id.0].iter().filter(is_waiting).collect();
                assert!(
                    *reported >= waiting.len() as u64,
                    "{reported} jobs of {queue} are reported as waiting, but {waiting:?} wait"
                );
            }
            _ => {}
        }
    }
}
