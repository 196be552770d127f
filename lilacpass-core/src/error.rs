//! The error type of the shared types, and short constructors per kind of error.

use quick_error::quick_error;

/// Result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// What can be wrong with a value that is read from text.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The text does not have the form of the type that was asked for.
        Malformed(what: &'static str, text: String) {
            display("{text:?} is not a valid {what}")
        }
    }
}

/// The error for a `text` that does not have the form of a `what`.
pub fn malformed(what: &'static str, text: &str) -> Error {
    const MAX_SHOWN_CHARS: usize = 64;
    Error::Malformed(what, text.chars().take(MAX_SHOWN_CHARS).collect())
}
