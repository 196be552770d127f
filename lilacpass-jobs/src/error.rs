//! The error type of this crate.

use quick_error::quick_error;

use crate::plan::Field;

/// Result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// An invalid name, plan or record of a job.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// A text does not parse as a name of the expected kind.
        Name(kind: &'static str, text: String) {
            display("{text:?} is not a valid {kind}")
        }
        /// A field of the plan of a job has a value that can't be carried out.
        Plan(field: Field, reason: String) {
            display("{field}: {reason}")
        }
        /// A record of a job does not decode, or contradicts the plan of the job.
        Record(reason: String) {
            display("record: {reason}")
        }
    }
}

impl Error {
    /// Returns the error for a `text` that does not parse as a `kind`. The text is truncated to fit a log line.
    pub fn name(kind: &'static str, text: &str) -> Self {
        const MAX_SHOWN_CHARS: usize = 64;
        Self::Name(kind, text.chars().take(MAX_SHOWN_CHARS).collect())
    }
}
