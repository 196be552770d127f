//! A job as the leader knows it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use lilacpass_jobs::{Job, Outcome, StepName, TaskName, WorkerName, step::Step};
use lilacpass_schema::v1;

use crate::accounts::AccountNumber;

/// A job with what the leader keeps about it beside its stored records.
#[derive(Debug)]
pub struct JobEntry {
    /// The job and the state of its tasks.
    pub job: Job,
    /// The payload of the job, shared by all starts of its tasks.
    pub payload: Arc<str>,
    /// The account that the job belongs to; `None` if its queue is public.
    pub account: Option<AccountNumber>,
    /// Whether the plan of the job is stored, so that its client may be told that it is accepted.
    pub is_plan_stored: bool,
    /// The outcome that clients see: the latest one that is stored.
    pub visible_outcome: Outcome,
    /// Workers on which its tasks have failed or stalled since a task of the job last completed, each with the time of
    /// the last failure on the monotonic clock.
    pub failed_on: BTreeMap<WorkerName, u64>,
    /// Tasks that are to have a copy, because their only run may be lost.
    pub wanted_copies: BTreeSet<TaskName>,
    /// How often each task has been preempted.
    pub preemptions: BTreeMap<TaskName, u32>,
    /// Addresses of workers that crashed while they ran its tasks.
    pub crashed_addresses: BTreeSet<String>,
    /// The data centre in which its tasks are to run, once one has been chosen.
    pub home_data_centre: Option<String>,
}

impl JobEntry {
    /// Creates the entry of a job.
    pub fn new(job: Job, account: Option<AccountNumber>, is_plan_stored: bool) -> Self {
        Self {
            payload: Arc::from(job.plan.payload.as_str()),
            visible_outcome: job.outcome,
            account,
            is_plan_stored,
            job,
            failed_on: BTreeMap::new(),
            wanted_copies: BTreeSet::new(),
            preemptions: BTreeMap::new(),
            crashed_addresses: BTreeSet::new(),
            home_data_centre: None,
        }
    }

    /// The data centre in which the tasks of a step are to run; `None` if they may run in any.
    pub fn home_for(&self, step: &v1::WorkStep) -> Option<&str> {
        self.home_data_centre.as_deref().filter(|_| !step.lasting)
    }

    /// Whether the tasks of the job avoid a worker for the moment, because one of them has just failed there.
    ///
    /// Without this, a task that is allowed on a few faulty workers only would use up all its attempts there within
    /// half a second and fail its job, while workers about which no advice has been requested stand idle.
    pub fn avoids(&self, worker: &WorkerName, now_ms: u64) -> bool {
        /// Longer than a request for advice about other workers takes.
        const AVOID_MS: u64 = 700;
        self.failed_on.get(worker).is_some_and(|failed_ms| now_ms < failed_ms + AVOID_MS)
    }

    /// The tasks of a step that may be assigned another run now: those that have none, and those that are to have a
    /// copy, in the order of their names.
    pub fn tasks_to_start(&self, step: StepName) -> Vec<TaskName> {
        let waiting = self.job.step(step).into_iter().flat_map(Step::waiting);
        let mut tasks: Vec<TaskName> = waiting.map(|index| step.task(index)).collect();
        let waiting_count = tasks.len();
        tasks.extend(self.copies_to_start(step));
        if tasks.len() > waiting_count {
            tasks.sort_unstable();
        }
        tasks
    }

    /// The number of these tasks.
    pub fn count_to_start(&self, step: StepName) -> usize {
        let waiting = self.job.step(step).map_or(0, |step| step.waiting().len());
        waiting + self.copies_to_start(step).count()
    }

    /// The tasks of a step that may be assigned a copy beside their only run.
    pub fn copies_to_start(&self, step: StepName) -> impl Iterator<Item = TaskName> {
        let wanted = self.wanted_copies.range(step.task(0)..=step.task(u32::MAX));
        wanted.copied().filter(|name| {
            // A copy of a task that crashes its workers would take down one more.
            self.job
                .task(*name)
                .is_some_and(|task| !task.done && task.runs.len() == 1 && task.crashes.known == 0)
        })
    }
}
