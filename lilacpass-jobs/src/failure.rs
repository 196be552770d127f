//! The reason for which a job failed.

use std::fmt;

use crate::ids::TaskName;

/// The limit that a task exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// Too many runs of the task failed.
    Attempts,
    /// Too many workers crashed while they ran the task.
    Crashes,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 2] = [Self::Attempts, Self::Crashes];

    /// The name that is written to logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::Crashes => "crashes",
        }
    }
}

/// The reason for which a job failed. Its `Display` text is shown to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The task that exceeded a limit.
    pub task: TaskName,
    /// The limit that was exceeded.
    pub cause: Cause,
    /// Number of failed runs or crashed workers, depending on `cause`.
    pub count: u32,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { task, count, .. } = self;
        match self.cause {
            Cause::Attempts => write!(f, "{count} runs of task {task} failed"),
            Cause::Crashes => write!(f, "{count} workers crashed under task {task}"),
        }
    }
}
