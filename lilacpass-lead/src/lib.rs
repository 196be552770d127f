//! The leader of a cell, implemented as a state machine without I/O. It owns the jobs and gives orders to the workers.
//!
//! One instance leads at a time, under an epoch that increases with each take-over. Two fences make a former leader
//! harmless, however late its messages arrive: the store rejects its records, and each worker that knows of a higher
//! epoch refuses its orders. [`Leader`] can therefore act on its own state without consulting anyone.
//!
//! Everything that must survive the leader is stored before the leader acts on it: a job before its client receives a
//! response, a run and its worker before the run is ordered, and the end of a run before its worker may forget it.
//! A new leader reads the stored records, polls each worker for its runs, and continues from there.
//!
//! [`Leader::handle`] takes an [`event::Event`] and the current time. [`Leader::finish`] then makes the decisions that
//! follow and returns the [`event::Effect`]s to carry out.

mod account_caps;
pub mod accounts;
pub mod admission;
pub mod advance_reservations;
pub mod advice;
pub mod advice_claims;
pub mod advice_hedge;
pub mod advice_queue;
pub mod advice_requests;
mod assignment;
pub mod candidates;
pub mod capacity_index;
pub mod counters;
mod crash_suspicion;
pub mod data_centres;
mod eligibility;
pub mod event;
pub mod fair_use;
mod fair_use_review;
pub mod health;
mod hosts;
pub mod incarnations;
pub mod inspect;
pub mod job_entry;
pub mod job_memory;
pub mod leader;
pub mod learned;
mod lease_expiry;
pub mod log_limit;
mod lost_workers;
pub mod open_jobs;
pub mod options;
pub mod orders;
pub mod outages;
pub mod outbox;
pub mod pending_changes;
pub mod place;
pub mod polling;
pub mod preempt;
pub mod pressure;
pub mod probes;
pub mod progress;
pub mod rank;
mod rank_updates;
pub mod recording;
pub mod registration_age;
pub mod reindex;
pub mod requests;
pub mod reservations;
pub mod response_loss;
pub mod roster;
pub mod rounds;
pub mod run_ends;
pub mod scan;
pub mod schedule;
mod ticks;
mod trials;
mod unresponsive;
pub mod waiting;
pub mod work;
pub mod work_budget;
pub mod worker;

pub use event::{Effect, Event, Now};
pub use leader::Leader;
pub use options::Options;
