//! Exit codes. They distinguish the verdicts, so that a script can decide without parsing text.

use std::process::ExitCode;

use lilacpass_core::Verdict;
use lilacpass_schema::v1;

/// Outcome of a command, which determines the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exit {
    /// The command succeeded, and so did the work if there was any.
    Ok,
    /// The command line or a file is invalid; nothing was sent.
    Usage,
    /// The work is proved not to have run, or the request was refused without effect.
    NotRun,
    /// The request was sent and nothing proves that it had no effect, or the work is still running.
    MayHaveRun,
    /// The work ran to its end with an error.
    Failed,
    /// Another change for the same base revision was accepted first.
    Conflict,
    /// No server responded, and nothing was sent that could have an effect.
    Unreachable,
}

impl Exit {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Usage => 2,
            Self::NotRun => 3,
            Self::MayHaveRun => 4,
            Self::Failed => 5,
            Self::Conflict => 6,
            Self::Unreachable => 7,
        }
    }

    /// Returns the exit code for a request that did not succeed, given the text of its verdict.
    ///
    /// A missing or unknown verdict proves nothing, so it is treated as "may have run".
    pub fn from_verdict(verdict: &str) -> Self {
        match verdict.parse() {
            Ok(Verdict::NotRun) => Self::NotRun,
            Ok(Verdict::Ran) => Self::Failed,
            Ok(Verdict::MayHaveRun) | Err(_) => Self::MayHaveRun,
        }
    }

    /// Returns the exit code for a job. A job that has not ended is treated as "may have run".
    pub fn from_job(job: &v1::JobView) -> Self {
        match job.state.as_str() {
            "succeeded" => Self::Ok,
            "failed" | "cancelled" => Self::from_verdict(&job.verdict),
            _ => Self::MayHaveRun,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
