//! Why runs end, and the evidence that a task crashed its worker.

use std::{fmt, str::FromStr};

use crate::error::Error;

/// How strong the evidence is that a task crashed its worker, from weakest to strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Suspicion {
    /// There is a better explanation: the worker was lost together with others, or another task crashed it.
    Cleared,
    /// The task was on the worker, but the worker had survived the start of the task.
    Present,
    /// The worker is not known to have survived the start of the task.
    Suspect,
    /// As `Suspect`, but no other task on the worker is suspect, and the worker had reported the start of the task.
    Only,
}

impl Suspicion {
    /// The name that is written to logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cleared => "cleared",
            Self::Present => "present",
            Self::Suspect => "suspect",
            Self::Only => "only",
        }
    }
}

/// Why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndReason {
    /// The task finished its work.
    Done,
    /// The run failed, because of the task or the worker. Counts as an attempt.
    Failed,
    /// The worker stopped the run on request.
    Stopped,
    /// The lease of the run expired, or the worker left the cell.
    Expired,
    /// The worker crashed; the leader infers this, no worker reports it.
    Crashed(Suspicion),
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not start in time.
    GangIncomplete,
    /// The run never started, and its start order is no longer valid.
    NeverStarted,
}

impl EndReason {
    /// The reasons that a worker can report, and that are parsed from text. `Crashed` is not one of them.
    const REPORTED: [Self; 7] = [
        Self::Done,
        Self::Failed,
        Self::Stopped,
        Self::Expired,
        Self::GangBroken,
        Self::GangIncomplete,
        Self::NeverStarted,
    ];

    /// The name in messages and logs. It is part of the protocol with the workers.
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
        Self::REPORTED
            .into_iter()
            .find(|reason| reason.as_str() == s)
            .ok_or_else(|| Error::name("end", s))
    }
}

/// The end of one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Number of the run that ended.
    pub run: u32,
    /// Why the run ended.
    pub reason: EndReason,
    /// The progress that the run saved; empty if there is none.
    pub checkpoint: String,
}
