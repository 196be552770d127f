//! Jobs of several steps as a pure state machine: tasks, runs, gangs, attempts and checkpoints.
//!
//! Nothing in this crate performs I/O or reads a clock. The leader reports the ends of runs to a [`Job`] and asks it
//! which steps may start. [`record`] encodes the state that must survive the leader.

pub mod crashes;
pub mod end;
pub mod error;
pub mod failure;
pub mod ids;
pub mod job;
pub mod plan;
pub mod record;
pub mod step;
pub mod task;

pub use crashes::Crashes;
pub use end::{EndReason, RunEnd, Suspicion};
pub use error::{Error, Result};
pub use failure::Failure;
pub use ids::{JobKey, StepName, TaskName, WorkerName};
pub use job::{Job, Outcome};
pub use task::{Run, RunHost, Task};
