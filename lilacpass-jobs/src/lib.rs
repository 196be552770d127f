//! Jobs of several steps as a pure state machine: tasks, runs, gangs, attempts, checkpoints.
//!
//! Nothing here performs I/O or reads a clock. The owner of a job feeds the ends of runs into
//! [`Job`] and asks it which tasks may start; what must survive the owner is read and written as
//! records by [`record`].

pub mod crashes;
pub mod end;
pub mod error;
pub mod failure;
pub mod ids;
pub mod job;
pub mod plan;
pub mod record;
pub mod task;

pub use crashes::Crashes;
pub use end::{EndReason, RunEnd, Suspicion};
pub use error::{Error, Result};
pub use failure::Failure;
pub use ids::{JobKey, StepName, TaskName, WorkerName};
pub use job::{Job, Outcome};
pub use task::{Run, Task};
