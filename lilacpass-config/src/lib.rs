//! Configuration of lilacpass: settings of a process, the inventory and rules that operators
//! change, the fold of those changes over the log, and access by token.
//!
//! Texts come in as arguments; nothing here performs I/O or reads a clock.

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
