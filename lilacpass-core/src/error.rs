//! The error type of this crate and its constructor.

use quick_error::quick_error;

/// Result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// An error in a value that is parsed from text.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// A text does not parse as a value of the expected type.
        Malformed(kind: &'static str, text: String) {
            display("{text:?} is not a valid {kind}")
        }
    }
}

/// Returns the error for a `text` that does not parse as a `kind`. The text is truncated to fit a log line.
pub fn malformed(kind: &'static str, text: &str) -> Error {
    const MAX_SHOWN_CHARS: usize = 64;
    Error::Malformed(kind, text.chars().take(MAX_SHOWN_CHARS).collect())
}
