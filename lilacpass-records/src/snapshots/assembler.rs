//! Finds whole snapshots among parts that may be missing, repeated or interleaved.

use std::collections::{BTreeMap, VecDeque};

use lilacpass_core::ids::Offset;
use lilacpass_schema::v1;

/// Most parts of one snapshot.
const MAX_PARTS: u32 = 4_096;
/// Snapshots that may be incomplete at once; beyond it the oldest one is given up.
const MAX_OPEN: usize = 8;

/// A snapshot all parts of which have been read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Complete {
    /// It covers all records before this offset.
    pub covers: Offset,
    /// Offsets of its parts, in the order of the parts.
    pub parts: Vec<Offset>,
}

/// Collects parts per snapshot id.
///
/// A writer that dies halfway leaves a snapshot that is never complete, and two writers at once
/// leave their parts in turns. Parts therefore count only together with those of the same id, and
/// a snapshot whose parts contradict each other is given up as a whole.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    open: VecDeque<Open>,
}

#[derive(Clone, Debug)]
struct Open {
    id: String,
    covers: Offset,
    /// Number of the parts, once one of them has said it.
    parts: Option<u32>,
    found: BTreeMap<u32, Offset>,
    contradictory: bool,
}

impl Assembler {
    /// Takes in the part at `offset`; returns the snapshot that it completes.
    pub fn add(&mut self, offset: Offset, part: &v1::Snapshot) -> Option<Complete> {
        if !is_sound(offset, part) {
            return None;
        }
        let position = self.position_of(part);
        let open = &mut self.open[position];
        open.take(offset, part);
        if !open.is_complete() {
            return None;
        }
        let open = self.open.remove(position)?;
        Some(Complete { covers: open.covers, parts: open.found.into_values().collect() })
    }

    /// Forgets all incomplete snapshots.
    pub fn clear(&mut self) {
        self.open.clear();
    }

    fn position_of(&mut self, part: &v1::Snapshot) -> usize {
        if let Some(position) = self.open.iter().position(|open| open.id == part.snapshot_id) {
            return position;
        }
        if self.open.len() == MAX_OPEN {
            self.open.pop_front();
        }
        self.open.push_back(Open {
            id: part.snapshot_id.clone(),
            covers: Offset(part.covers_offset),
            parts: None,
            found: BTreeMap::new(),
            contradictory: false,
        });
        self.open.len() - 1
    }
}

impl Open {
    fn take(&mut self, offset: Offset, part: &v1::Snapshot) {
        self.contradictory |= self.covers.0 != part.covers_offset;
        if part.parts > 0 {
            let parts = *self.parts.get_or_insert(part.parts);
            self.contradictory |= parts != part.parts;
        }
        self.found.entry(part.part).or_insert(offset);
    }

    /// Whether all parts are there, and none beyond their number.
    fn is_complete(&self) -> bool {
        let last = self.found.last_key_value().map(|(part, _)| *part);
        let all = self.parts.is_some_and(|parts| {
            self.found.len() == parts as usize && last == parts.checked_sub(1)
        });
        all && !self.contradictory
    }
}

/// Whether the part can belong to a snapshot: it has a body and a valid number, and covers only
/// records that stand before it.
fn is_sound(offset: Offset, part: &v1::Snapshot) -> bool {
    part.body.is_some()
        && part.part < MAX_PARTS
        && (part.parts == 0 || part.part < part.parts)
        && part.parts <= MAX_PARTS
        && part.covers_offset <= offset.0
}
