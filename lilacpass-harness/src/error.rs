//! What can go wrong with the tools themselves, as opposed to what they test.

use std::{io, process};

use quick_error::quick_error;

/// Result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// A tool could not do its work.
    #[derive(Debug)]
    pub enum Error {
        /// A file, pipe or socket failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("input or output failed: {err}")
        }
        /// A signal could not be sent.
        Signal(err: rustix::io::Errno) {
            from()
            display("a signal could not be sent: {err}")
        }
        /// A stand-in did not take a call.
        Standin(status: Box<tonic::Status>) {
            from(status: tonic::Status) -> (Box::new(status))
            display("a stand-in refused a call: {status}")
        }
        /// A stand-in could not be reached.
        Connect(err: tonic::transport::Error) {
            from()
            source(err)
            display("a stand-in can't be reached: {err}")
        }
        /// A process ended or said something unexpected while it started.
        Start(what: String, detail: String) {
            display("{what} did not start: {detail}")
        }
        /// A process ended with a failure.
        Ended(what: String, status: process::ExitStatus) {
            display("{what} ended with {status}")
        }
        /// Something did not happen in time.
        TooLate(what: String) {
            display("waited too long for {what}")
        }
        /// A configuration could not be written.
        Toml(err: toml::ser::Error) {
            from()
            source(err)
            display("settings can't be written: {err}")
        }
        /// A daemon gave an answer that the run can't go on with.
        Unexpected(what: String, detail: String) {
            display("{what}: {detail}")
        }
    }
}
