//! How a run ended.

use std::{fmt, str::FromStr};

use crate::error::Error;

/// What speaks for a task having crashed its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Suspicion {
    /// Little: the worker was lost to something that hit others too, or to another task.
    Cleared,
    /// It was there, and the worker had lived on after its start.
    Present,
    /// The worker is not known to have lived on after its start.
    Suspect,
    /// The same of no other task there, and the worker had told of its start.
    Only,
}

impl Suspicion {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cleared => "cleared",
            Self::Present => "present",
            Self::Suspect => "suspect",
            Self::Only => "only",
        }
    }
}

/// How a run ended, as its worker tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndReason {
    /// It did its work.
    Done,
    /// It failed, by its own fault or the worker's. Counts as an attempt.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out, or its worker left.
    Expired,
    /// Its worker crashed.
    Crashed(Suspicion),
    /// Another member of its gang ended.
    GangBroken,
    /// It waited for the other members of its gang in vain.
    GangIncomplete,
    /// It was never started, and can't be any more.
    NeverStarted,
}

impl EndReason {
    /// Those with a name that is read; that a worker crashed is no worker's word.
    const READ: [Self; 7] = [
        Self::Done,
        Self::Failed,
        Self::Stopped,
        Self::Expired,
        Self::GangBroken,
        Self::GangIncomplete,
        Self::NeverStarted,
    ];

    /// The name in messages and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Expired => "lapsed",
            Self::Crashed(_) => "crashed",
            Self::GangBroken => "broken",
            Self::GangIncomplete => "alone",
            Self::NeverStarted => "void",
        }
    }
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for EndReason {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        Self::READ.into_iter().find(|how| how.as_str() == s).ok_or_else(|| Error::name("end", s))
    }
}

/// The end of one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub reason: EndReason,
    /// The progress that was saved; empty where there is none.
    pub checkpoint: String,
}
