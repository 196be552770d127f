//! Which entry instance may give work on which worker.
//!
//! Workers are grouped in shards; each shard has at most one holder among the members of its data
//! centre. [`Holding`] is one member's view of the holding stream of its own data centre: it folds
//! the records, says what may be given on each worker, and what to append. It performs no I/O and
//! reads no clock.
//!
//! # What a permission rests on
//!
//! - *Lease.* A holder may give on the whole worker for a lease after it *sent* a renewal that it
//!   has read back. Others claim a lease after they *read* its last renewal, plus a margin for the
//!   drift of both clocks. So the lease ends before anybody claims.
//! - *Claim.* Valid in the fold only if the holder has not renewed since what the claimant read.
//!   After a release the claimant needs a report of the worker to adopt what runs there.
//! - *Unclean claim.* Without a release the old holder may still run, cut off from the log. Past
//!   its lease it keeps to its half ([`share`]); the claimant waits until the last start from
//!   before that has arrived, takes a report, and leaves that half alone. The claim is *cleared*
//!   once the old holder has released or is proved dead. Until then no second unclean claim is
//!   valid: there is no third share to give.
//! - *Grants.* A holder past its lease keeps the whole worker while all other members of the roster
//!   as it last read it grant that they append no claim on its shards. A lone member gets none.
//!
//! # Who may claim without a release
//!
//! A claimant must know that the old holder does not keep the whole worker by grants. Each record
//! says how far its writer had read, so the fold knows whether the holder has read the claimant's
//! join. If so, the holder needs the claimant's grant; the claimant withholds it, waits until its
//! last one has run out, and grants none to that holder again before the claim is cleared.
//! A claimant that the holder may not know of has a valid claim only if no member that may still
//! run joined before it ([`history::History::claimant_known`]).
//!
//! # When a member counts as dead
//!
//! - A newer incarnation has joined with the same address: the old process has lost the address.
//! - It was on the instance list and no longer is, or a newer incarnation has joined with another
//!   address, for the longest pause and the duration of its last grant or start. A member writes
//!   this down in an `Evict` record, void if the dead one has renewed since.
//!
//! A newer incarnation alone proves nothing: the old process may be paused elsewhere and go on.
//!
//! # Limits
//!
//! - While the log is down a member that stops takes the grants of all others with it: they keep to
//!   their halves until the log is back.
//! - If all members of a data centre are replaced at once, under other addresses, their shards are
//!   claimed only after the longest pause.
//! - A start that a paused worker keeps in its own receive buffer for longer than
//!   [`HoldOptions::start_flight`] is stopped by the worker's check of the epoch only.
//! - A worker must be drained before it goes to another shard.

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
