//! Compares policies of the leader on a model of a cell.
//!
//! The code that decides is that of `lilacpass-lead`, unchanged. Around it stand models of workers, the
//! advice service, the store and callers, under made-up time: a minute of a cell takes seconds, and the
//! same seed gives the same play. What the model leaves out is said in [`cell`].

pub mod arrivals;
pub mod bound;
pub mod callers;
pub mod cell;
pub mod cli;
pub mod error;
pub mod model_worker;
pub mod outcome;
pub mod plot;
pub mod policy;
pub mod report;
pub mod scenario;
pub mod services;
mod worker_faults;
pub mod workers;
