//! The HTTP interface of `lilacpassd` as seen by a caller.

pub mod client;
pub mod exchange;
pub mod path;
pub mod server;

pub use client::Client;
