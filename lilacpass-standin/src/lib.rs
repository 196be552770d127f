//! Development stand-ins for what lilacpass meets outside: log service, instance list, workers.
//!
//! Every fault of the outside world is switched on and off by a call of the control services in
//! `standin.proto`. Nothing here is part of a product; the sample run, the fault runs and the
//! measurements are judged by what these stand-ins record.

pub mod clock;
pub mod connection;
pub mod dice;
pub mod instances;
pub mod log_store;
pub mod payload;
pub mod platform;
pub mod rate;
pub mod shim;
pub mod task;
pub mod worker;
pub mod worker_host;
pub mod worker_service;

pub use payload::Payload;
