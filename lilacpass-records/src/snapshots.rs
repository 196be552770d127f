//! Snapshots: cutting them into records, finding whole ones, and deciding who writes when.

mod assembler;
mod schedule;
mod writer;

use lilacpass_core::ids::Offset;
use lilacpass_schema::v1::{self, snapshot::Body};

pub use assembler::{Assembler, Complete};
pub use schedule::{Schedule, ScheduleOptions, rank};
pub use writer::Writer;

/// The parts of a snapshot of a state with all records before `covers` folded, to be appended in
/// this order. `snapshot_id` must not have been used before.
pub fn to_parts(
    snapshot_id: &str,
    covers: Offset,
    bodies: impl ExactSizeIterator<Item = Body>,
) -> Vec<v1::Snapshot> {
    let parts = u32::try_from(bodies.len()).unwrap_or(u32::MAX);
    (0..parts)
        .zip(bodies)
        .map(|(part, body)| v1::Snapshot {
            covers_offset: covers.0,
            part,
            parts,
            snapshot_id: snapshot_id.to_owned(),
            body: Some(body),
        })
        .collect()
}
