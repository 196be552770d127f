//! Names of jobs, steps, tasks and workers, and their text form in messages and records.

use std::{cmp::Ordering, fmt, str::FromStr, sync::Arc};

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

/// The name of one incarnation of a worker. Cheap to clone and to compare.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct WorkerName {
    /// The first 8 bytes of the name as a big-endian number, which sorts like the bytes. Maps of a thousand workers
    /// compare names hundreds of thousands of times a second, and this prefix usually decides.
    prefix: u64,
    name: Arc<str>,
}

impl WorkerName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.name
    }
}

impl From<&str> for WorkerName {
    fn from(s: &str) -> Self {
        let mut prefix = [0; 8];
        let length = s.len().min(prefix.len());
        prefix[..length].copy_from_slice(&s.as_bytes()[..length]);
        Self { prefix: u64::from_be_bytes(prefix), name: Arc::from(s) }
    }
}

impl Ord for WorkerName {
    /// Compares the names as text.
    fn cmp(&self, other: &Self) -> Ordering {
        self.prefix.cmp(&other.prefix).then_with(|| self.name.cmp(&other.name))
    }
}

impl PartialOrd for WorkerName {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl fmt::Debug for WorkerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("WorkerName").field(&self.name).finish()
    }
}

impl fmt::Display for WorkerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name)
    }
}
