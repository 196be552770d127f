//! What can go wrong in a comparison.

use std::{io, path::PathBuf};

use quick_error::quick_error;

quick_error! {
    /// Why a comparison was not made.
    #[derive(Debug)]
    pub enum Error {
        /// A file can't be read or written.
        File(path: PathBuf, err: io::Error) {
            display("{}: {}", path.display(), err)
            source(err)
        }
        /// A scenario does not parse; the message names line and field.
        Syntax(path: PathBuf, message: String) {
            display("{}: {message}", path.display())
        }
        /// A value of a scenario makes no sense.
        Value(field: String, reason: String) {
            display("{field}: {reason}")
        }
        /// A plot can't be drawn.
        Plot(message: String) {
            display("plot: {message}")
        }
    }
}

/// The result of a part of a comparison.
pub type Result<T> = std::result::Result<T, Error>;

/// A value of a scenario makes no sense.
pub fn value(field: impl Into<String>, reason: impl Into<String>) -> Error {
    Error::Value(field.into(), reason.into())
}
