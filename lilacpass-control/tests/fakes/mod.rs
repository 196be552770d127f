//! Small fakes at the interfaces of the control state machine: a log, workers, and a cell that
//! carries events between several members in the order of a made-up time. Everything is
//! deterministic; a test moves time on and looks at what the fakes have counted.

#![allow(dead_code, reason = "each test file uses a part of the fakes")]

pub(crate) mod cell;
pub(crate) mod inventory;
pub(crate) mod log;
pub(crate) mod worker;

pub(crate) use cell::Cell;
