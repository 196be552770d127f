//! Names of jobs, steps, tasks and workers, with the text form in which they travel.

use std::{cmp::Ordering, fmt, str::FromStr, sync::Arc};

use crate::error::Error;

/// Digits of a job key in its text form.
const JOB_KEY_DIGITS: usize = 16;

/// A job, as its caller named it: 16 hexadecimal digits.
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
        let well_formed =
            s.len() == JOB_KEY_DIGITS && s.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if !well_formed {
            return Err(Error::name("job id", s));
        }
        u64::from_str_radix(s, 16).map(Self).map_err(|_| Error::name("job id", s))
    }
}

/// A step of one occurrence of a job: `JOB.OCCURRENCE.STEP`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepName {
    /// The job.
    pub job: JobKey,
    /// Which occurrence, from 0.
    pub occurrence: u32,
    /// Which step, from 0.
    pub step: u32,
}

impl StepName {
    /// The task of this step with the given index.
    pub fn task(self, index: u32) -> TaskName {
        TaskName { step: self, index }
    }
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// A task of a step: `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The step.
    pub step: StepName,
    /// Which task, from 0.
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
        let wrong = || Error::name("task name", s);
        let mut parts = s.split('.');
        let mut next = || parts.next().ok_or_else(wrong);
        let job = next()?.parse()?;
        let occurrence = number(next()?).ok_or_else(wrong)?;
        let step = number(next()?).ok_or_else(wrong)?;
        let index = number(next()?).ok_or_else(wrong)?;
        if parts.next().is_some() {
            return Err(wrong());
        }
        Ok(StepName { job, occurrence, step }.task(index))
    }
}

/// A number as names hold it: digits alone, without zeros ahead.
fn number(text: &str) -> Option<u32> {
    let digits = text.bytes().all(|b| b.is_ascii_digit());
    let canonical = digits && (text == "0" || !text.starts_with('0'));
    text.parse().ok().filter(|_| canonical)
}

/// One life of a worker. Cheap to clone and to compare.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct WorkerName {
    /// The first bytes of the name, as a number that orders as they do. Maps of a thousand workers compare names
    /// hundreds of thousands of times a second, and mostly need no more than this.
    prefix: u64,
    name: Arc<str>,
}

impl WorkerName {
    /// The name as text.
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
    /// As the names order.
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
