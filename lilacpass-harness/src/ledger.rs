//! What callers and operators saw, and what was done to the cell meanwhile.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use lilacpass_core::Verdict;

/// Shared notes of one run; a clone is another handle of the same ones.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<Notes>>);

/// Notes of one run.
#[derive(Clone, Debug, Default)]
pub struct Notes {
    /// Quick requests, each sent once.
    pub quick: Vec<QuickNote>,
    /// Jobs by payload id.
    pub jobs: HashMap<String, JobNote>,
    /// Calls of any kind, for planned stops.
    pub calls: Vec<CallNote>,
    /// Accepted changes.
    pub changes: Vec<ChangeNote>,
    /// Revisions that were read.
    pub revisions: Vec<RevisionNote>,
    /// Times during which an entry instance was dead, paused or cut off from log and peers.
    pub disturbances: Vec<Disturbance>,
    /// Workers that were told to take no new work.
    pub leavings: Vec<Leaving>,
    /// Planned stops of entry instances.
    pub stops: Vec<PlannedStop>,
}

/// A quick request.
#[derive(Clone, Debug)]
pub struct QuickNote {
    /// Payload id, used for this request only.
    pub id: String,
    /// Result that is its own, whole.
    pub expected: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// How it ended.
    pub end: RequestEnd,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With a result.
    Answered(String),
    /// With a problem and its verdict.
    Refused(Verdict, String),
    /// Without a whole answer.
    Broken(String),
}

/// Kinds of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum JobKind {
    /// Long work of one task.
    Long,
    /// Work of many tasks at once.
    Gang,
    /// Standing work.
    Watcher,
    /// A job that is cancelled on purpose.
    Cancelled,
}

/// A job.
#[derive(Clone, Debug)]
pub struct JobNote {
    /// Kind.
    pub kind: JobKind,
    /// Result of each of its tasks.
    pub expected: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Number of tasks.
    pub tasks: u32,
    /// Job id, once accepted.
    pub job_id: Option<String>,
    /// Whether some submission ended without any verdict, or with another than "not run".
    pub may_be_accepted: bool,
    /// Last state seen that was an end, with verdict, result and reason.
    pub end: Option<JobEnd>,
}

/// End of a job as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobEnd {
    /// State, such as "succeeded".
    pub state: String,
    /// Verdict.
    pub verdict: String,
    /// Result.
    pub result: String,
    /// Reason.
    pub reason: String,
}

/// One HTTP call.
#[derive(Clone, Debug)]
pub struct CallNote {
    /// Entry instance and its generation.
    pub entry: EntryKey,
    /// When it was sent, in milliseconds since 1970.
    pub sent_unix_ms: u64,
    /// When it ended.
    pub ended_unix_ms: u64,
    /// Why there was no whole answer, where there was none.
    pub broken: Option<String>,
}

/// An entry instance and the number of its process, from 0.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EntryKey {
    /// Name.
    pub name: String,
    /// Grows with each replacement.
    pub generation: u32,
}

/// An accepted change.
#[derive(Clone, Debug)]
pub struct ChangeNote {
    /// Revision that it led to.
    pub revision: u64,
    /// When the operator learned of it, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// Team that the change put into the configuration, as its trace.
    pub trace: String,
}

/// A revision that was read from a ready entry instance.
#[derive(Clone, Debug)]
pub struct RevisionNote {
    /// Where.
    pub entry: EntryKey,
    /// When the question was sent, in milliseconds since 1970.
    pub sent_unix_ms: u64,
    /// The revision.
    pub revision: u64,
}

/// A time during which an entry instance could not know better.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// Name of the entry instance.
    pub entry: String,
    /// From when, in milliseconds since 1970.
    pub from_unix_ms: u64,
    /// Until when.
    pub until_unix_ms: u64,
}

/// A worker that was told to take no new work.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// The worker.
    pub worker: String,
    /// Since when, in milliseconds since 1970.
    pub from_unix_ms: u64,
    /// Until when.
    pub until_unix_ms: u64,
    /// Whether the worker itself says so; else it is drained by a change of the configuration.
    pub told_by_worker: bool,
}

/// A planned stop.
#[derive(Clone, Debug)]
pub struct PlannedStop {
    /// The process that was stopped.
    pub entry: EntryKey,
    /// When it was asked to stop, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// Why it did not end well, where it did not.
    pub failure: Option<String>,
}

impl Ledger {
    /// The notes, to read or add to.
    pub fn notes(&self) -> MutexGuard<'_, Notes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the note of one job.
    pub fn with_job(&self, id: &str, change: impl FnOnce(&mut JobNote)) {
        if let Some(job) = self.notes().jobs.get_mut(id) {
            change(job);
        }
    }
}

/// Wall-clock time in milliseconds since 1970; all processes of a run share one machine.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
