//! Which entry instance may give work on which worker.
//!
//! [`Holding`] is one member's view of the holding stream of its own data centre: it folds the
//! records, says what may be given on each worker, and what to append. It performs no I/O and
//! reads no clock.

mod claim;
mod follow;
pub mod grants;
pub mod history;
pub mod holding;
pub mod lease;
pub mod list;
pub mod options;
pub mod permit;
mod plan;
pub mod rank;
pub mod share;
mod snapshot;
pub mod state;
pub mod tenure;

pub use holding::{AppendOutcome, FoldOutcome, HoldAction, Holding, ShardSpec};
pub use list::ListedInstance;
pub use options::{Guards, HoldOptions};
pub use permit::{Limit, Mode};
pub use state::{MemberKey, VoidReason};
