//! `lilacpass`, the command-line tool for operators and scripts.
//!
//! [`args`] parses the command line and [`commands`] runs the command, sending requests through [`api`]. The result, a
//! [`report::Report`] or an [`error::Error`], determines the output and the exit code.

pub mod api;
pub mod args;
pub mod commands;
pub mod error;
pub mod exit;
pub mod report;
pub mod table;
pub mod units;

pub use error::{Error, Result};
pub use exit::Exit;
pub use report::{Format, Report};
