//! Configuration of lilacpass: the settings of a process, the inventory and rules that operators change, the fold that
//! derives the configuration from the log, and access control by tokens.
//!
//! This crate performs no I/O and reads no clock: texts and times are passed in by the caller.

pub mod access;
pub mod change;
mod check;
mod document;
pub mod fold;
pub mod inventory;
mod nearest;
mod problem;
pub mod settings;
mod shape;

pub use access::{AccessError, PeerKey, Role, TokenCache};
pub use fold::{ChangeOutcome, ConfigFold};
pub use problem::Problem;
pub use settings::Settings;
