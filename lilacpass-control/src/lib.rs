//! The control state machine of an entry instance.
//!
//! [`Control`] takes one [`Event`] at a time together with the present time and answers with the
//! [`Effect`]s that the daemon has to carry out. It performs no I/O, reads no clock and starts no
//! thread, so that failures can be played to it in a test, one event after the other.

mod calls;
mod change;
mod control;
mod convert;
mod counters;
mod drive;
pub mod event;
mod guards;
mod heartbeat;
mod history;
mod holds;
mod inventory;
mod job_records;
mod leases;
mod listing;
mod members;
mod outbox;
mod preparing;
mod problem;
mod quick;
mod quick_requests;
mod reports;
mod requests;
mod room;
mod serve;
mod settings;
mod settle;
mod snapshots;
mod standing;
mod start;
mod stop;
mod stranded;
mod streams;
mod submit;
mod tasks;
mod unwanted;
mod views;
mod waiters;
mod workers;

pub use control::Control;
pub use counters::Counters;
pub use event::{Effect, Event};
pub use guards::Guards;
pub use settings::ControlSettings;
