//! Cutting a snapshot into parts while it is being made.

use std::iter::Peekable;

use lilacpass_core::ids::Offset;
use lilacpass_schema::v1::{self, snapshot::Body};

/// The parts of a snapshot whose bodies are made one by one, to be appended in this order.
///
/// How many there are is known only at the end: the last part says it.
#[derive(Clone, Debug)]
pub struct Writer<I: Iterator<Item = Body>> {
    snapshot_id: String,
    covers: Offset,
    bodies: Peekable<I>,
    /// Number of the next part.
    part: u32,
}

impl<I: Iterator<Item = Body>> Writer<I> {
    /// Of a state with all records before `covers` folded. `snapshot_id` must not have been used
    /// before.
    pub fn new(snapshot_id: String, covers: Offset, bodies: I) -> Self {
        Self { snapshot_id, covers, bodies: bodies.peekable(), part: 0 }
    }

    /// Tells the parts of this snapshot from those of others.
    pub fn snapshot_id(&self) -> &str {
        &self.snapshot_id
    }

    /// It covers all records before this offset.
    pub fn covers(&self) -> Offset {
        self.covers
    }

    /// Whether there are no more parts. Makes the next body where there is one.
    pub fn is_done(&mut self) -> bool {
        self.bodies.peek().is_none()
    }
}

impl<I: Iterator<Item = Body>> Iterator for Writer<I> {
    type Item = v1::Snapshot;

    fn next(&mut self) -> Option<v1::Snapshot> {
        let body = self.bodies.next()?;
        let part = self.part;
        self.part += 1;
        Some(v1::Snapshot {
            covers_offset: self.covers.0,
            part,
            parts: if self.is_done() { self.part } else { 0 },
            snapshot_id: self.snapshot_id.clone(),
            body: Some(body),
        })
    }
}
