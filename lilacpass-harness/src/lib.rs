//! Development tools that run whole cells as processes on loopback: the sample run, the fault runs
//! and the measurements.
//!
//! They judge by what callers got and what the stand-in workers recorded, never by what a daemon
//! says about itself.

pub mod caller;
pub mod cell;
pub mod client;
pub mod deployment;
pub mod error;
pub mod fault_run;
pub mod faults;
pub mod injector;
pub mod judge;
pub mod ledger;
pub mod load;
pub mod measure;
pub mod operator;
pub mod process;
pub mod sample_run;
pub mod spans;

pub use error::{Error, Result};
