//! Compares scheduling policies of the leader on a model of a cell.
//!
//! The decisions are made by the unchanged code of `lilacpass-lead`. The workers, the advice service, the store and the
//! callers are models with simulated time: a minute of a cell takes seconds, and the same seed gives the same result.
//! The limits of the model are listed in [`cell`].

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
pub mod processor;
pub mod report;
pub mod scenario;
pub mod services;
mod worker_faults;
pub mod workers;
