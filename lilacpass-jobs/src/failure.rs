//! Why a job has failed.

use std::fmt;

use crate::ids::TaskName;

/// What made a task be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// Its runs ended as failed.
    Attempts,
    /// Workers crashed under it.
    Crashes,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 2] = [Self::Attempts, Self::Crashes];

    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::Crashes => "crashes",
        }
    }
}

/// Why a job has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The task that was given up.
    pub task: TaskName,
    /// What made it be given up.
    pub cause: Cause,
    /// Failed runs, or workers that crashed.
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
