//! The history of jobs: the fold of the jobs stream.
//!
//! A job goes through `Accepted`, `Attempt n` and one `TaskEnded` per task until it ends. Every
//! member folds the records in offset order and comes to the same state, so the first valid
//! `Attempt n` in the log decides where attempt `n` runs, and any other is void everywhere. What
//! follows from the end of an attempt is decided by [`settle`].
//!
//! The state depends on the records alone: times are kept per job for the member's own decisions,
//! but never decide what a record means. Ended jobs are therefore forgotten by a record too, a
//! snapshot part that says so (see [`Jobs::fold_snapshot`]).

mod attempt;
mod fold;
mod index;
mod job;
mod seen;
pub mod settle;
mod snapshot;
mod specs;
mod validate;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lilacpass_core::{
    MonoTime, Resources,
    ids::{AttemptNo, JobId, TaskId, TeamId, WorkerId},
};
use lilacpass_schema::v1;
use quick_error::quick_error;

pub use attempt::{Attempt, Ended};
pub use job::{Job, State};
pub use snapshot::{Frozen, RestoreError};

/// What every member must have set alike, for they fold alike only then, and how long ended jobs
/// are kept.
#[derive(Clone, Debug)]
pub struct JobsOptions {
    /// Time that an ended job and its results are kept; default one day. May differ per member.
    pub keep_ended: Duration,
    /// Most ended jobs that are kept, however short ago they ended; default 500,000. May differ
    /// per member.
    pub max_ended: usize,
    /// Largest result of a task, in bytes; default 64 KiB. Alike at every member.
    pub max_result_bytes: usize,
    /// Attempts of an idempotent job that may fail, lapse or end unknown before it is given up;
    /// default 5. Alike at every member.
    pub max_attempts: u32,
}

impl Default for JobsOptions {
    fn default() -> Self {
        Self {
            keep_ended: Duration::from_secs(24 * 3600),
            max_ended: 500_000,
            max_result_bytes: 64 << 10,
            max_attempts: 5,
        }
    }
}

/// What a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Folded {
    /// A new job waits.
    Accepted(JobId),
    /// The record says what is known already: a record id, or a repeated request.
    Duplicate,
    /// The job id is taken by a request with another body; the record is void.
    KeyConflict(JobId),
    /// An attempt is active.
    Attempted {
        /// The job.
        job: JobId,
        /// The attempt, from 1.
        attempt: AttemptNo,
    },
    /// The attempt must not be started.
    VoidAttempt {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: AttemptNo,
        /// Why.
        reason: VoidReason,
    },
    /// A task has ended.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// What that means for its job.
        then: AfterTask,
    },
    /// The driver's end of the job is in force.
    JobEnded(JobId),
    /// The job was cancelled: ended where it waited, else it ends with its tasks.
    Cancelled(JobId),
    /// The record changes nothing.
    Void(VoidReason),
}

/// What the end of a task means for its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterTask {
    /// Other tasks of the attempt have not ended.
    Running,
    /// The attempt is over and the job waits for the next one.
    Waiting,
    /// The job has ended.
    Ended,
}

quick_error! {
    /// Why a record is void.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum VoidReason {
        /// It does not have the form that its kind asks for.
        Malformed(what: &'static str) {
            display("malformed record: {what}")
        }
        /// No such job.
        UnknownJob {
            display("unknown job")
        }
        /// The job has ended.
        Ended {
            display("the job has ended")
        }
        /// The job is to be cancelled.
        Cancelled {
            display("the job is cancelled")
        }
        /// An attempt is active.
        Active {
            display("an attempt is active")
        }
        /// Another attempt is next or active.
        WrongAttempt {
            display("another attempt is due")
        }
        /// The task has ended before.
        TaskEnded {
            display("the task has ended before")
        }
        /// The writer is not the holder that the placement names, nor a later one.
        NotHolder {
            display("the writer did not hold the worker then")
        }
    }
}

/// All jobs, as the records folded so far tell.
#[derive(Clone, Debug)]
pub struct Jobs {
    options: JobsOptions,
    /// Shared with snapshots that are being written; a job that is changed meanwhile is copied.
    jobs: BTreeMap<JobId, Arc<Job>>,
    index: index::Index,
    seen: seen::SeenIds,
    specs: specs::Specs,
}

impl Jobs {
    /// No jobs.
    pub fn new(options: JobsOptions) -> Self {
        Self {
            options,
            jobs: BTreeMap::new(),
            index: index::Index::default(),
            seen: seen::SeenIds::default(),
            specs: specs::Specs::default(),
        }
    }

    /// The options.
    pub fn options(&self) -> &JobsOptions {
        &self.options
    }

    /// Number of jobs, ended ones included.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The job with this id.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id).map(|job| &**job)
    }

    /// All jobs in the order of their ids, but for those that a snapshot left only the end of.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().map(|job| &**job).filter(|job| !job.is_stub())
    }

    /// Jobs that wait for an attempt, the longest accepted first.
    pub fn waiting(&self) -> impl Iterator<Item = &Job> {
        self.index.waiting().filter_map(|id| self.get(&id))
    }

    /// Jobs with an active attempt, the longest accepted first.
    pub fn active(&self) -> impl Iterator<Item = (JobId, &Attempt)> {
        self.index.active().filter_map(|id| Some((id, self.get(&id)?.attempt()?)))
    }

    /// Number of jobs that wait.
    pub fn waiting_len(&self) -> usize {
        self.index.waiting_len()
    }

    /// Number of jobs with an active attempt.
    pub fn active_len(&self) -> usize {
        self.index.active_len()
    }

    /// Tasks that are placed on `worker` and have not ended.
    pub fn placements_on(
        &self,
        worker: &WorkerId,
    ) -> impl Iterator<Item = (TaskId, &v1::Placement, &Job)> {
        self.index.tasks_on(worker).filter_map(|task| {
            let job = self.get(&task.job)?;
            Some((task, job.attempt()?.placement(task.index)?, job))
        })
    }

    /// Resources of the tasks that have not ended, per team.
    pub fn team_usage(&self) -> &BTreeMap<TeamId, Resources> {
        self.index.team_usage()
    }

    /// Marks ended jobs that are to be forgotten: those folded as ended `keep_ended` ago, and the
    /// oldest ones above `max_ended`. The next snapshot of this member says so, and they go
    /// everywhere once it is folded. Returns how many are marked in all.
    pub fn expire(&mut self, now: MonoTime) -> usize {
        let surplus = self.index.ended_len().saturating_sub(self.options.max_ended);
        let keep_ended = self.options.keep_ended;
        for (rank, id) in self.index.ended().enumerate() {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if rank >= surplus && now.since(job.since()) < keep_ended {
                return rank;
            }
            if !job.expired {
                Arc::make_mut(job).expired = true;
            }
        }
        self.index.ended_len()
    }
}
