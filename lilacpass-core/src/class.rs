//! The priority class of a piece of work.

use std::{fmt, str::FromStr};

use crate::error::{self, Error};

/// The priority class of a piece of work. The classes sort from most to least urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Work whose result a person is waiting for.
    Urgent,
    /// Work that is kept running, such as a watcher.
    Standing,
    /// Work that may wait, such as a nightly audit.
    Batch,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standing, Self::Batch];

    /// The name that is used in settings, messages and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Standing => "standing",
            Self::Batch => "batch",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        Self::ALL.into_iter().find(|c| c.as_str() == s).ok_or_else(|| error::malformed("Class", s))
    }
}
