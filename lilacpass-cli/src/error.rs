//! Error type of the tool, with the exit code and problem document of each error.

use lilacpass_core::Verdict;
use lilacpass_schema::v1;
use quick_error::quick_error;

use crate::exit::Exit;

/// Result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a command did not succeed.
    #[derive(Debug, Clone, PartialEq)]
    pub enum Error {
        /// The command line is invalid.
        Usage(detail: String) {
            display("{detail}")
        }
        /// A file can't be read or its content is invalid. Holds its path and the text after the colon: the position
        /// and the problem, or a space followed by the reason.
        File(path: String, detail: String) {
            display("{path}:{detail}")
        }
        /// The server refused the request or failed to serve it.
        Problem(problem: Box<v1::Problem>) {
            display("{}", describe(problem))
        }
        /// No server could be connected to, so nothing was sent.
        Unreachable(detail: String) {
            display("no server can be reached: {detail}")
        }
        /// A read-only request got no response.
        NoResponse(detail: String) {
            display("no response: {detail}")
        }
        /// A request that may have an effect got no response, and nothing proves that it had no effect.
        OutcomeUnknown(detail: String) {
            display("no response, and the request may have taken effect: {detail}")
        }
        /// The response does not have the form that this version of the tool expects.
        InvalidResponse(detail: String) {
            display(
                "invalid response ({detail}); the server may be of another version, \
                 --output json prints the response as received"
            )
        }
    }
}

impl Error {
    /// Returns the exit code, which tells a script what happened.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::File(..) => Exit::Usage,
            Self::Problem(problem) if is_conflict(problem) => Exit::Conflict,
            Self::Problem(problem) => Exit::from_verdict(&problem.verdict),
            Self::Unreachable(_) | Self::NoResponse(_) => Exit::Unreachable,
            Self::OutcomeUnknown(_) | Self::InvalidResponse(_) => Exit::MayHaveRun,
        }
    }

    /// Converts the error into a problem document, which is printed with `--output json`.
    pub fn to_problem(&self) -> v1::Problem {
        if let Self::Problem(problem) = self {
            return v1::Problem::clone(problem);
        }
        let verdict = match self.exit() {
            Exit::MayHaveRun => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        };
        v1::Problem {
            r#type: self.kind().to_owned(),
            title: self.to_string(),
            verdict: verdict.to_string(),
            ..Default::default()
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::Usage(_) => "tool/usage",
            Self::File(..) => "tool/file",
            Self::Problem(_) => "about:blank",
            Self::Unreachable(_) => "tool/unreachable",
            Self::NoResponse(_) => "tool/no-answer",
            Self::OutcomeUnknown(_) => "tool/unsettled",
            Self::InvalidResponse(_) => "tool/unreadable",
        }
    }
}

/// Returns whether a change was refused because another change for the same base revision was accepted first.
pub fn is_conflict(problem: &v1::Problem) -> bool {
    const PRECONDITION_FAILED: u32 = 412;
    problem.winner.is_some() || problem.status == PRECONDITION_FAILED
}

/// Formats a problem as text: what was refused, the verdict, when to retry, and the change that won a conflict.
fn describe(problem: &v1::Problem) -> String {
    let mut text = if problem.title.is_empty() {
        format!("HTTP status {}", problem.status)
    } else {
        problem.title.clone()
    };
    if !problem.detail.is_empty() && problem.detail != problem.title {
        text += &format!(": {}", problem.detail);
    }
    if !problem.verdict.is_empty() {
        text += &format!(" [{}]", problem.verdict);
    }
    if problem.retry_after_ms > 0 {
        text += &format!("\ntry again in {} ms", problem.retry_after_ms);
    }
    if let Some(winner) = &problem.winner {
        text += &format!("\nrevision {} by {} won", winner.revision, winner.actor);
        if !winner.detail.is_empty() {
            text += &format!(": {}", winner.detail);
        }
    }
    text
}
