//! Calls between entry instances: the server for calls of others, and calls to them.

pub mod client;
pub mod server;

pub use client::Peers;

/// Metadata entry that carries the key of entry instances.
pub const KEY_METADATA: &str = "x-peer-key";

/// Largest message between entry instances, in bytes; a whole configuration has to fit.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
