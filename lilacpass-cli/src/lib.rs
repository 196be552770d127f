//! `lilacpass`, the command-line tool for operators and scripts.
//!
//! [`args`] is the command line, [`commands`] does what it asks for through [`api`], and a
//! [`report::Report`] or an [`error::Error`] says what came of it and how to exit.

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
