//! The leader of a cell, as a state machine without I/O: it owns the jobs and commands the workers.
//!
//! One instance leads at a time, under an epoch that rises with each take-over. Two fences keep a
//! former leader harmless, however late its messages arrive: the store refuses its records, and each
//! worker that has heard of a higher epoch refuses its orders. So [`Leader`] may act on what it
//! knows without asking anybody.
//!
//! What must survive the leader is recorded before it is acted upon: a job before its caller is
//! told, a run and its worker before the run is ordered, an end before its worker may forget it. A
//! new leader reads the records, asks each worker what runs there, and goes on.
//!
//! [`Leader::handle`] takes an [`event::Event`] and the present time and returns
//! [`event::Effect`]s to carry out.

pub mod advice;
pub mod ahead;
pub mod askers;
pub mod asking;
pub mod asks;
pub mod candidates;
pub mod counters;
mod crash_suspicion;
pub mod event;
pub mod health;
mod hosts;
pub mod inspect;
pub mod leader;
mod lost_workers;
pub mod news;
pub mod options;
pub mod orders;
pub mod outages;
pub mod outbox;
pub mod place;
pub mod polling;
pub mod preempt;
pub mod pressure;
pub mod progress;
pub mod rank;
pub mod recording;
pub mod reindex;
pub mod reserve;
pub mod response_loss;
pub mod rooms;
pub mod rounds;
pub mod run_ends;
pub mod schedule;
mod trials;
pub mod turn;
pub mod waiting;
pub mod worker;

pub use event::{Effect, Event, Now};
pub use leader::Leader;
pub use options::Options;
