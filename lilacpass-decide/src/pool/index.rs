//! What placing looks at for each worker, in blocks that are skipped as a whole where no worker
//! in them can have room.

use std::ops::Range;

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

/// Workers of one block, and blocks of one region.
const FAN_OUT: usize = 16;

/// All workers, by their numbers.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    entries: Vec<Entry>,
    /// Per block, the most room of any worker in it, resource by resource; closed ones left out.
    blocks: Vec<Resources>,
    /// The same per region.
    regions: Vec<Resources>,
    /// The same over all.
    most: Resources,
    /// Sum of the room on the workers in use.
    open_room: Resources,
}

impl Index {
    /// Adds a closed worker.
    pub(super) fn push(&mut self) {
        self.entries.push(Entry::default());
        self.blocks.resize(self.entries.len().div_ceil(FAN_OUT), Resources::ZERO);
        self.regions.resize(self.blocks.len().div_ceil(FAN_OUT), Resources::ZERO);
    }

    pub(super) fn get(&self, number: u32) -> &Entry {
        &self.entries[number as usize]
    }

    pub(super) fn set(&mut self, number: u32, entry: Entry) {
        let at = number as usize;
        let old = std::mem::replace(&mut self.entries[at], entry);
        self.open_room = self.open_room.minus(&old.open_room()).plus(&entry.open_room());
        let block = at / FAN_OUT;
        let room = |entry: &Entry| match entry.gate {
            Gate::Closed => Resources::ZERO,
            _ => entry.room,
        };
        self.blocks[block] = most(self.entries[part(block, self.entries.len())].iter().map(room));
        let region = block / FAN_OUT;
        let blocks = &self.blocks[part(region, self.blocks.len())];
        self.regions[region] = most(blocks.iter().copied());
        self.most = most(self.regions.iter().copied());
    }

    /// Whether some worker may have room for `need`; `false` is certain.
    pub(super) fn may_fit(&self, need: &Resources) -> bool {
        need.fits(&self.most)
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
        let regions = if self.may_fit(need) { self.regions.len() } else { 0 };
        (0..regions)
            .filter(|&region| need.fits(&self.regions[region]))
            .flat_map(|region| part(region, self.blocks.len()))
            .filter(|&block| need.fits(&self.blocks[block]))
            .flat_map(|block| part(block, self.entries.len()))
            .map(|at| (at as u32, &self.entries[at]))
            .filter(|(_, entry)| entry.gate != Gate::Closed && need.fits(&entry.room))
    }
}

/// The positions of the members of a block or region, of `len` in all.
fn part(number: usize, len: usize) -> Range<usize> {
    number * FAN_OUT..len.min((number + 1) * FAN_OUT)
}

/// The greatest of some amounts, resource by resource.
fn most(rooms: impl Iterator<Item = Resources>) -> Resources {
    rooms.fold(Resources::ZERO, |most, room| most.max(&room))
}
