//! The control state machine of an entry instance.
//!
//! [`Control`] takes one [`Event`] at a time together with the present time and answers with the
//! [`Effect`]s that the daemon has to carry out. It performs no I/O, reads no clock and starts no
//! thread, so that failures can be played to it in a test, one event after the other.

pub mod event;

pub use event::{Effect, Event};
