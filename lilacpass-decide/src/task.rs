//! What the decisions know of a task: its meta data, its outcome, and what is given for it.

use std::time::Duration;

use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{AccountId, AttemptNo, JobId, KindId, ServiceId, TaskId, TeamId, WorkerId},
};

/// Whose a task is and how it may be treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskMeta {
    /// The team that pays for it.
    pub team: TeamId,
    /// The account of the team, where it has one; rules may prefer it.
    pub account: Option<AccountId>,
    /// The service that runs it.
    pub service: ServiceId,
    /// Its kind; sizes and run times are learned per service and kind.
    pub kind: KindId,
    /// Its class.
    pub class: Class,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether the worker can checkpoint it and resume it later.
    pub checkpointable: bool,
    /// Whether it is kept running, such as a watcher; copies are spread over racks.
    pub standing: bool,
}

/// How a task that was given left its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It ran to its end.
    Succeeded,
    /// It ran and failed.
    Failed,
    /// It was stopped or checkpointed on purpose; says nothing about the worker.
    Stopped,
    /// The worker or the connection to it was lost while it ran.
    Lost,
    /// It was proved not to have started.
    NotStarted,
}

/// The holds of one attempt of a gang job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HoldId {
    /// The job.
    pub job: JobId,
    /// The attempt of the job.
    pub attempt: AttemptNo,
}

impl HoldId {
    /// The task of this attempt at position `index`.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId { job: self.job, attempt: self.attempt, index }
    }

    /// The hold that `task` belongs to.
    pub fn of(task: &TaskId) -> Self {
        Self { job: task.job, attempt: task.attempt }
    }
}

/// What is given to one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Given {
    /// What it may use.
    pub need: Resources,
    /// Whose it is and how it may be treated.
    pub meta: TaskMeta,
    /// When it was given.
    pub since: MonoTime,
    /// Whether it was chosen to be preempted and has not left yet.
    pub preempted: bool,
    /// Whether it is one of several tasks that run together; none of them is preempted, as the
    /// others would be stopped with it.
    pub gang: bool,
    /// The internal number of its worker.
    pub(crate) worker: u32,
}

/// A task that has left its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Released {
    /// The worker that it was given on.
    pub worker: WorkerId,
    /// What it was given.
    pub need: Resources,
    /// Whose it was.
    pub meta: TaskMeta,
    /// How long it was given.
    pub given_for: Duration,
}
