//! `lilacpassd`: the process around the control state machine of an entry instance.
//!
//! The control thread ([`control`]) owns the state machine and takes events from a bounded queue.
//! Everything else runs on the traffic threads: the HTTP interface ([`http`]), calls between entry
//! instances ([`peers`]), calls to workers ([`workers`]) and to the platform ([`platform`]).
//! [`traffic`] carries out what the state machine asks for, [`daemon`] puts it all together.

pub mod clock;
pub mod control;
pub mod daemon;
pub mod http;
pub mod link;
pub mod metrics;
pub mod options;
pub mod peers;
pub mod platform;
pub mod replies;
pub mod traffic;
pub mod workers;
