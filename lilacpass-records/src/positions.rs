//! Following one stream: what to fold next, and how to start where the beginning is gone.
//!
//! The log keeps records for a limited time. A member that starts, or that was away for so long
//! that records were dropped before it read them, can't fold what is left by itself. It scans the
//! kept records, holding them back, until a whole snapshot turns up that covers everything before
//! a record held back; from there on it folds like every other member.

use std::collections::VecDeque;

use lilacpass_core::ids::Offset;
use lilacpass_schema::v1::{self, record::Body};

use crate::snapshots::{Assembler, Complete};

/// How a stream is followed.
#[derive(Clone, Debug)]
pub struct FollowerOptions {
    /// Most records that are held back while a snapshot is searched for; default 200,000. A
    /// snapshot that covers less than the records held back can't be used.
    pub max_held_back: usize,
    /// Whether a record means something only with all before it; default true. Where it does not,
    /// as in the audit trail, the member goes on behind records that are gone.
    pub needs_history: bool,
}

impl Default for FollowerOptions {
    fn default() -> Self {
        Self { max_held_back: 200_000, needs_history: true }
    }
}

/// The position of this member in one stream.
#[derive(Clone, Debug)]
pub struct Follower {
    options: FollowerOptions,
    next: Offset,
    tail: Offset,
    oldest: Offset,
    mode: Mode,
}

/// Whether the state at `next` is known.
#[derive(Clone, Debug)]
enum Mode {
    /// All records before `next` are folded.
    Following,
    /// Records are missing; searching for a snapshot.
    Searching(Search),
}

#[derive(Clone, Debug, Default)]
struct Search {
    /// No record from here on is missing.
    start: Offset,
    held_back: VecDeque<(Offset, Box<v1::Record>)>,
    assembler: Assembler,
}

/// What a read leads to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReadOutcome {
    /// Records to fold, in order; after the restore where there was one.
    pub fold: Vec<(Offset, Box<v1::Record>)>,
    /// Whether the state was restored from a snapshot.
    pub restored: bool,
    /// Records that this member can't read any more. Its state must decide nothing until it is
    /// restored.
    pub lost: Option<Lost>,
}

/// Records that are no longer kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost {
    /// The first one.
    pub from: Offset,
    /// Behind the last one.
    pub to: Offset,
}

/// A record as it was read; nothing for one that does not decode.
pub type Slot = (Offset, Option<Box<v1::Record>>);

impl Follower {
    /// Begins at the start of the stream, with an empty state.
    pub fn new(options: FollowerOptions) -> Self {
        Self { options, next: Offset(0), tail: Offset(0), oldest: Offset(0), mode: Mode::Following }
    }

    /// Offset to read from next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Offset of the next append as of the last read.
    pub fn tail(&self) -> Offset {
        self.tail
    }

    /// Oldest offset kept as of the last read.
    pub fn oldest(&self) -> Offset {
        self.oldest
    }

    /// Whether the state is that of offset [`Follower::next`]; false while a snapshot is searched.
    pub fn is_following(&self) -> bool {
        matches!(self.mode, Mode::Following)
    }

    /// Whether all that the last read said to be there is folded.
    pub fn is_at_tail(&self) -> bool {
        self.is_following() && self.next >= self.tail
    }

    /// Whether all kept records were scanned and none of the snapshots can be used. A member that
    /// follows will write one; where there is no such member, history is lost for good.
    pub fn is_stranded(&self) -> bool {
        !self.is_following() && self.next >= self.tail
    }

    /// Takes in the answer of a read: records in order, the tail, the oldest offset kept.
    ///
    /// `restore` gets a whole snapshot: the offset that it covers and its parts in order. It
    /// replaces the state and returns true, or refuses the snapshot and returns false.
    pub fn read(
        &mut self,
        records: impl IntoIterator<Item = Slot>,
        tail: Offset,
        oldest: Offset,
        mut restore: impl FnMut(Offset, &[&v1::Snapshot]) -> bool,
    ) -> ReadOutcome {
        let mut outcome = ReadOutcome::default();
        self.tail = self.tail.max(tail);
        self.oldest = self.oldest.max(oldest);
        for (offset, record) in records {
            self.skip_to(offset, &mut outcome);
            // An answer that came twice.
            if offset < self.next {
                continue;
            }
            self.next = offset.next();
            let Some(record) = record else { continue };
            self.take(offset, record, &mut restore, &mut outcome);
        }
        // All records up to `oldest` may be gone without one being left to show the gap.
        self.skip_to(oldest, &mut outcome);
        outcome
    }

    /// Notes that the records between the position and `to` were dropped unread, if any were.
    fn skip_to(&mut self, to: Offset, outcome: &mut ReadOutcome) {
        if to <= self.next {
            return;
        }
        let from = outcome.lost.map_or(self.next, |lost| lost.from);
        outcome.lost = Some(Lost { from, to });
        self.next = to;
        if !self.options.needs_history {
            return;
        }
        self.mode = Mode::Searching(Search { start: to, ..Search::default() });
    }

    fn take(
        &mut self,
        offset: Offset,
        record: Box<v1::Record>,
        restore: &mut impl FnMut(Offset, &[&v1::Snapshot]) -> bool,
        outcome: &mut ReadOutcome,
    ) {
        let Mode::Searching(search) = &mut self.mode else {
            outcome.fold.push((offset, record));
            return;
        };
        let complete = match &record.body {
            Some(Body::Snapshot(part)) => search.assembler.add(offset, part),
            _ => None,
        };
        search.hold_back(offset, record, self.options.max_held_back);
        let Some(complete) = complete else { return };
        if complete.covers < search.start || !restore(complete.covers, &search.parts(&complete)) {
            return;
        }
        outcome.restored = true;
        let held_back = std::mem::take(&mut search.held_back);
        outcome.fold = held_back.into_iter().filter(|(at, _)| *at >= complete.covers).collect();
        self.mode = Mode::Following;
    }
}

impl Search {
    /// Keeps the record, and gives up the oldest one where there are too many.
    fn hold_back(&mut self, offset: Offset, record: Box<v1::Record>, max: usize) {
        self.held_back.push_back((offset, record));
        while self.held_back.len() > max
            && let Some((oldest, _)) = self.held_back.pop_front()
        {
            self.start = oldest.next();
        }
    }

    /// The parts of a complete snapshot; fewer where one was given up since it was read.
    fn parts(&self, complete: &Complete) -> Vec<&v1::Snapshot> {
        complete.parts.iter().filter_map(|offset| self.part_at(*offset)).collect()
    }

    fn part_at(&self, offset: Offset) -> Option<&v1::Snapshot> {
        let at = self.held_back.binary_search_by_key(&offset, |(offset, _)| *offset).ok()?;
        match &self.held_back[at].1.body {
            Some(Body::Snapshot(part)) => Some(part),
            _ => None,
        }
    }
}
