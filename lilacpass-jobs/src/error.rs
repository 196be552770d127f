//! The error type of jobs.

use quick_error::quick_error;

use crate::plan::Field;

/// Result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// What can be wrong with a job or a record of one.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The text does not have the form of the name that was expected.
        Name(what: &'static str, text: String) {
            display("{text:?} is not a valid {what}")
        }
        /// The plan of a job asks for something that can't be done.
        Plan(field: Field, reason: String) {
            display("{field}: {reason}")
        }
        /// A record does not decode, or contradicts its plan.
        Record(reason: String) {
            display("record: {reason}")
        }
    }
}

impl Error {
    /// A name that does not parse, cut to a length that fits a log line.
    pub fn name(what: &'static str, text: &str) -> Self {
        const MAX_SHOWN_CHARS: usize = 64;
        Self::Name(what, text.chars().take(MAX_SHOWN_CHARS).collect())
    }
}
