//! The error type of this crate.

use std::{io, path::PathBuf};

use quick_error::quick_error;

quick_error! {
    /// The reason for which a comparison failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file could not be read or written.
        File(path: PathBuf, err: io::Error) {
            display("{}: {}", path.display(), err)
            source(err)
        }
        /// A scenario is invalid; the message contains the line or the field.
        Syntax(path: PathBuf, message: String) {
            display("{}: {message}", path.display())
        }
        /// A setting has an invalid value.
        Value(field: String, reason: String) {
            display("{field}: {reason}")
        }
        /// A plot could not be drawn.
        Plot(message: String) {
            display("plot: {message}")
        }
    }
}

/// Result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Returns the error for an invalid value of `field`.
pub fn value(field: impl Into<String>, reason: impl Into<String>) -> Error {
    Error::Value(field.into(), reason.into())
}
