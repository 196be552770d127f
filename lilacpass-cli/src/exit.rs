//! Exit codes, which tell verdicts apart so that a script can decide without reading text.

use std::process::ExitCode;

use lilacpass_core::Verdict;
use lilacpass_schema::v1;

/// How the tool ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exit {
    /// Done; work ran and succeeded.
    Ok,
    /// The command line or a file is wrong; nothing was sent.
    Usage,
    /// Proved not to have run, or refused without effect.
    NotRun,
    /// It was sent, and nothing proves that it did not start or take effect; or it goes on.
    MayHaveRun,
    /// It ran to its end, with an error.
    Failed,
    /// Another change won the race for the same revision.
    Conflict,
    /// No server could be reached; nothing was sent that could have an effect.
    Unreachable,
}

impl Exit {
    /// The number that the process exits with.
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

    /// The exit for a request that did not succeed, from its verdict as text.
    ///
    /// A missing or unknown verdict proves nothing, so it counts as "may have run".
    pub fn from_verdict(verdict: &str) -> Self {
        match verdict.parse() {
            Ok(Verdict::NotRun) => Self::NotRun,
            Ok(Verdict::Ran) => Self::Failed,
            Ok(Verdict::MayHaveRun) | Err(_) => Self::MayHaveRun,
        }
    }

    /// The exit for a job that has ended. A job that has not ended counts as "may have run".
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
