//! Types that several crates of lilacpass share: ids, sizes, rates, times, digests of keys, priority
//! classes, verdicts, errors and the budget for retries.
//!
//! Nothing in this crate performs I/O, reads a clock or starts a thread.

pub mod class;
pub mod error;
pub mod event_queue;
pub mod hash_map;
pub mod ids;
pub mod key_digest;
pub mod rendezvous;
pub mod resources;
pub mod retry_budget;
pub mod size;
pub mod time;
pub mod verdict;

pub use class::Class;
pub use error::{Error, Result};
pub use key_digest::KeyDigest;
pub use resources::Resources;
pub use retry_budget::RetryBudget;
pub use time::MonoTime;
pub use verdict::Verdict;
