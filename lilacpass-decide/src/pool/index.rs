//! What placing looks at for each worker, in blocks that are skipped as a whole where no worker
//! in them can have room.

use lilacpass_core::{MonoTime, Resources};

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Gate {
    /// Nothing.
    #[default]
    Closed,
    /// Anything that fits.
    Open,
    /// Only the task that it is kept for, until then.
    Kept(MonoTime),
    /// A probe, from then on.
    Probe(MonoTime),
}

/// One worker, as placing sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Entry {
    pub(super) room: Resources,
    pub(super) gate: Gate,
    /// Evidence against the worker, 0 for none.
    pub(super) suspicion: u32,
    /// The room in parts per million of the worker, summed over its resources.
    pub(super) room_ppm: u32,
}

impl Entry {
    /// Whether the worker is in use, kept or not.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.gate, Gate::Open | Gate::Kept(_))
    }

    pub(super) fn open_room(&self) -> Resources {
        if self.is_open() { self.room } else { Resources::ZERO }
    }
}

/// Workers of one block.
const BLOCK: usize = 16;

/// All workers, by their numbers.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    entries: Vec<Entry>,
    /// Per block, the most room of any worker in it, resource by resource; closed ones left out.
    most: Vec<Resources>,
    /// Sum of the room on the workers in use.
    open_room: Resources,
}

impl Index {
    /// Adds a closed worker.
    pub(super) fn push(&mut self) {
        self.entries.push(Entry::default());
        self.most.resize(self.entries.len().div_ceil(BLOCK), Resources::ZERO);
    }

    pub(super) fn get(&self, number: u32) -> &Entry {
        &self.entries[number as usize]
    }

    pub(super) fn set(&mut self, number: u32, entry: Entry) {
        let at = number as usize;
        let old = std::mem::replace(&mut self.entries[at], entry);
        self.open_room = self.open_room.minus(&old.open_room()).plus(&entry.open_room());
        let block = at / BLOCK;
        let end = self.entries.len().min((block + 1) * BLOCK);
        self.most[block] = self.entries[block * BLOCK..end]
            .iter()
            .filter(|entry| entry.gate != Gate::Closed)
            .fold(Resources::ZERO, |most, entry| most.max(&entry.room));
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// The room on all workers in use.
    pub(super) fn open_room(&self) -> Resources {
        self.open_room
    }

    /// The workers that are not closed and have room for `need`.
    pub(super) fn fitting(&self, need: &Resources) -> impl Iterator<Item = (u32, &Entry)> {
        self.most
            .iter()
            .enumerate()
            .filter(|(_, most)| need.fits(most))
            .flat_map(|(block, _)| {
                let start = block * BLOCK;
                let end = self.entries.len().min(start + BLOCK);
                (start as u32..).zip(&self.entries[start..end])
            })
            .filter(|(_, entry)| entry.gate != Gate::Closed && need.fits(&entry.room))
    }
}
