//! The HTTP interface for callers and operators.
//!
//! A request goes through [`server`] (connections and their limits), [`routes`] (which action it
//! asks for), [`access`] (who asks), [`input`] (what exactly is asked), [`front`] (the state
//! machine and back) and [`respond`] (its answer as response). Every error leaves as a problem
//! document made in [`problem`].

pub mod access;
pub mod action;
pub mod front;
pub mod input;
pub mod limit;
pub mod problem;
pub mod respond;
pub mod routes;
pub mod server;

pub use front::{Front, FrontOptions};
