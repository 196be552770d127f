//! Outgoing HTTP/2 connections for `tonic` clients, one TCP connection each.
//!
//! `tonic`'s own channel reconnects behind the caller's back and can't tell whether a request has
//! left. These connections never reconnect, read the clock before bytes leave, can be aborted,
//! and know per call whether it was sent.

pub mod connection;
pub mod failure;
pub mod gate;
pub mod pool;
pub mod stream;
pub mod trace;

pub use connection::{Link, LinkOptions};
pub use pool::Pool;
pub use trace::CallTrace;
