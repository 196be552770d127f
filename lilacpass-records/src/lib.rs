//! Records that lilacpass keeps in the log: encoding, job history, positions, snapshots, audit.
//!
//! Every member folds the same records in offset order and so comes to the same state. Nothing
//! here performs I/O or reads a clock.

pub mod audit;
pub mod codec;
pub mod jobs;
pub mod positions;
pub mod snapshots;

pub use audit::{AuditFilter, AuditWindow};
pub use codec::{DecodeError, decode, encode};
pub use jobs::{Attempt, Ended, Folded, Job, Jobs, JobsOptions, State};
pub use positions::{Follower, FollowerOptions, ReadOutcome};
pub use snapshots::{Schedule, ScheduleOptions};
