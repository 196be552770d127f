//! The verdict on a request: whether it ran.

use std::{fmt, str::FromStr};

use crate::error::{self, Error};

/// Whether a request ran. Every response, error and log line about a request contains a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// The request certainly did not run: it was never sent, or it was refused before it started.
    NotRun,
    /// The request was sent, and it is unknown whether it started.
    MayHaveRun,
    /// The request ran to its end.
    Ran,
}

impl Verdict {
    /// All verdicts.
    pub const ALL: [Self; 3] = [Self::NotRun, Self::MayHaveRun, Self::Ran];

    /// The name that is used in messages and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        Self::ALL
            .into_iter()
            .find(|v| v.as_str() == s)
            .ok_or_else(|| error::malformed("Verdict", s))
    }
}
