//! Names of jobs, steps, tasks and workers, with the text form in which they travel.

use std::{fmt, str::FromStr, sync::Arc};

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

/// One life of a worker. Cheap to clone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerName(Arc<str>);

impl WorkerName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for WorkerName {
    fn from(s: &str) -> Self {
        Self(Arc::from(s))
    }
}

impl fmt::Display for WorkerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
