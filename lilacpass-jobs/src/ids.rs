//! Names of jobs, steps, tasks and workers, and their text form in messages and records.

use std::{
    cmp::Ordering,
    fmt,
    hash::{BuildHasher, Hash, Hasher},
    str::FromStr,
    sync::Arc,
};

use foldhash::quality::FixedState;

use crate::error::Error;

/// Number of digits of a job key in its text form.
const JOB_KEY_DIGITS: usize = 16;

/// The name that a client gave to a job, written as 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub u64);

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobKey {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let is_well_formed =
            s.len() == JOB_KEY_DIGITS && s.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if !is_well_formed {
            return Err(Error::name("job id", s));
        }
        u64::from_str_radix(s, 16).map(Self).map_err(|_| Error::name("job id", s))
    }
}

/// The name of a step in one occurrence of a job, written as `JOB.OCCURRENCE.STEP`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepName {
    /// The job that the step belongs to.
    pub job: JobKey,
    /// Number of the occurrence, starting at 0.
    pub occurrence: u32,
    /// Number of the step in the plan of the job, starting at 0.
    pub step: u32,
}

impl StepName {
    /// Returns the name of the task of this step with the given index.
    pub fn task(self, index: u32) -> TaskName {
        TaskName { step: self, index }
    }
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// The name of a task, written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The step that the task belongs to.
    pub step: StepName,
    /// Index of the task within the step, starting at 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskName {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let invalid = || Error::name("task name", s);
        let mut parts = s.split('.');
        let mut next = || parts.next().ok_or_else(invalid);
        let job = next()?.parse()?;
        let occurrence = parse_canonical(next()?).ok_or_else(invalid)?;
        let step = parse_canonical(next()?).ok_or_else(invalid)?;
        let index = parse_canonical(next()?).ok_or_else(invalid)?;
        if parts.next().is_some() {
            return Err(invalid());
        }
        Ok(StepName { job, occurrence, step }.task(index))
    }
}

/// Parses a number in the only form that names use: digits, without a sign or leading zeros.
fn parse_canonical(text: &str) -> Option<u32> {
    let is_digits = text.bytes().all(|b| b.is_ascii_digit());
    let is_canonical = is_digits && (text == "0" || !text.starts_with('0'));
    text.parse().ok().filter(|_| is_canonical)
}

/// The name of one incarnation of a worker: the id under which the worker registers, and the time of its start, which
/// tells apart the incarnations that have the same id. Cheap to clone and to compare.
///
/// State that ends with the incarnation of a worker is kept under this name, so that nothing of it is taken for that of
/// a later incarnation: its runs, the numbers of its ends, its clock, its leases and its tickets.
///
/// Maps of a thousand workers compare and hash names hundreds of thousands of times a second, so what is needed for
/// that is computed once.
#[derive(Clone, Eq)]
pub struct WorkerName {
    /// The first 8 bytes of the id as a big-endian number, which sorts like the bytes.
    prefix: u64,
    /// Hash of the id.
    id_hash: u64,
    id: Arc<str>,
    started_ms: Option<u64>,
}

impl WorkerName {
    /// Names the incarnation of the worker `id` that began at `started_ms`, in milliseconds since 1970; `None` if that
    /// is unknown.
    pub fn new(id: &str, started_ms: Option<u64>) -> Self {
        let mut prefix = [0; 8];
        let length = id.len().min(prefix.len());
        prefix[..length].copy_from_slice(&id.as_bytes()[..length]);
        let id_hash = FixedState::default().hash_one(id);
        Self { prefix: u64::from_be_bytes(prefix), id_hash, id: Arc::from(id), started_ms }
    }

    /// Returns the id under which the worker registers. All its incarnations have the same one.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns when this incarnation began, in milliseconds since 1970; `None` if that is unknown.
    pub fn started_ms(&self) -> Option<u64> {
        self.started_ms
    }

    /// Returns the name of the incarnation of the same worker that began at `started_ms`.
    pub fn with_start(&self, started_ms: Option<u64>) -> Self {
        Self { started_ms, ..self.clone() }
    }

    /// Returns whether two names are of incarnations of the same worker.
    pub fn has_same_id(&self, other: &Self) -> bool {
        self.id_hash == other.id_hash && (Arc::ptr_eq(&self.id, &other.id) || self.id == other.id)
    }
}

impl From<&str> for WorkerName {
    /// Names the worker `id` if the time of its start is unknown.
    fn from(id: &str) -> Self {
        Self::new(id, None)
    }
}

impl PartialEq for WorkerName {
    fn eq(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms && self.has_same_id(other)
    }
}

impl Hash for WorkerName {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.id_hash ^ self.started_ms.unwrap_or_default());
    }
}

impl Ord for WorkerName {
    /// Compares the ids as text, then the times of the starts.
    fn cmp(&self, other: &Self) -> Ordering {
        let compare_ids = || {
            if Arc::ptr_eq(&self.id, &other.id) {
                return Ordering::Equal;
            }
            self.id.cmp(&other.id)
        };
        self.prefix
            .cmp(&other.prefix)
            .then_with(compare_ids)
            .then_with(|| self.started_ms.cmp(&other.started_ms))
    }
}

impl PartialOrd for WorkerName {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl fmt::Debug for WorkerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("WorkerName").field(&self.to_string()).finish()
    }
}

impl fmt::Display for WorkerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_ms {
            Some(started_ms) => write!(f, "{}@{started_ms}", self.id),
            None => f.write_str(&self.id),
        }
    }
}
