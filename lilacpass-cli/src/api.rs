//! Client side of the HTTP interface of `lilacpassd`.

pub mod client;
pub mod exchange;
pub mod path;
pub mod server;

pub use client::Client;
