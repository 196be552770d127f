//! Judges what the leader says of jobs that wait or run by what workers have begun.

use std::collections::{BTreeMap, BTreeSet};

use lilacpass_jobs::{JobKey, Outcome};
use lilacpass_lead::event::{Answer, Ask, JobState, Token};

use crate::world::store::Store;

/// What was asked, and what workers have begun.
#[derive(Default)]
pub struct Requests {
    /// Jobs of which a worker has begun a task.
    pub begun: BTreeSet<JobKey>,
    sent: BTreeMap<u64, Ask>,
    /// Jobs whose callers were told that they are accepted, with their queues.
    accepted: BTreeMap<JobKey, String>,
    /// Jobs that must be counted if they still wait, by the request for the count.
    expected_pending: BTreeMap<u64, Vec<JobKey>>,
    cancelled: BTreeSet<JobKey>,
}

impl Requests {
    /// Notes a request that goes to the leader.
    pub fn record(&mut self, token: Token, ask: &Ask) {
        if let Ask::Cancel(job) = ask {
            self.cancelled.insert(*job);
        }
        if let Ask::Pending { queue } = ask {
            let of_queue = self.accepted.iter().filter(|(_, of)| *of == queue);
            self.expected_pending.insert(token.0, of_queue.map(|(job, _)| *job).collect());
        }
        self.sent.insert(token.0, ask.clone());
    }

    /// What must hold for an answer of the leader in force.
    pub fn check(&mut self, token: Token, answer: &Answer, store: &Store) {
        match (&self.sent[&token.0], answer) {
            (Ask::Submit { job, queue, .. }, Answer::Done) => {
                self.accepted.insert(*job, queue.name.clone());
            }
            (Ask::State(job), Answer::State(JobState::Running)) => {
                assert!(self.begun.contains(job), "{job} is said to run; no worker has begun it");
            }
            (Ask::Pending { queue }, Answer::Pending(told)) => {
                let waits = |job: &&JobKey| {
                    !self.begun.contains(job)
                        && !self.cancelled.contains(job)
                        && store.job(**job).is_some_and(|job| job.outcome == Outcome::Open)
                };
                let waiting: Vec<&JobKey> =
                    self.expected_pending[&token.0].iter().filter(waits).collect();
                assert!(
                    *told >= waiting.len() as u64,
                    "{told} jobs of {queue} are said to wait; {waiting:?} do"
                );
            }
            _ => {}
        }
    }
}
