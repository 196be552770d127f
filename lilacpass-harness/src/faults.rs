//! The faults of a running cell, and how they are drawn by chance.

use std::{fmt, ops::Range, time::Duration};

use clap::ValueEnum;
use rand::{
    RngExt, SeedableRng,
    rngs::StdRng,
    seq::{IndexedRandom, SliceRandom},
};

use crate::cell::Cell;

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// An entry instance is killed, and replaced at the end.
    KillEntry(usize),
    /// An entry instance is paused for longer than a lease.
    PauseEntry(usize),
    /// An entry instance is stopped as planned, and replaced.
    StopEntry(usize),
    /// The log service is down.
    LogDown,
    /// Appends take effect and their answers are lost.
    LostAppends,
    /// The log service is slow.
    SlowLog,
    /// An entry instance is cut off from the platform.
    CutFromPlatform(usize),
    /// A data centre is cut off from the platform and from the others.
    CutDataCentre(&'static str),
    /// Two data centres are cut off from each other.
    CutLink(&'static str, &'static str),
    /// Connections between two data centres go silent for good.
    FreezeLink(&'static str, &'static str),
    /// Open connections to some workers go silent for good.
    SilentConnections(Vec<String>),
    /// A worker fails all that it is given.
    BlackHole(String),
    /// A worker is dead, and comes back without memory.
    DeadWorker(String),
    /// A worker takes calls and never answers.
    SilentWorker(String),
    /// Starts and runs on some workers take effect and their answers are lost.
    LostRuns(Vec<String>),
    /// A worker says that it is about to leave.
    LeavingWorker(String),
    /// An operator drains a worker.
    DrainedWorker(String),
    /// Operators race each other.
    OperatorRace,
}

/// Kinds of faults; see [`Fault`].
#[derive(Clone, Copy, Debug, ValueEnum)]
#[allow(missing_docs)]
pub enum Kind {
    KillEntry,
    PauseEntry,
    StopEntry,
    LogDown,
    LostAppends,
    SlowLog,
    CutFromPlatform,
    CutDataCentre,
    CutLink,
    FreezeLink,
    SilentConnections,
    BlackHole,
    DeadWorker,
    SilentWorker,
    LostRuns,
    LeavingWorker,
    DrainedWorker,
    OperatorRace,
}

/// All kinds; those that have done most harm in other systems are there twice.
const KINDS: [Kind; 20] = [
    Kind::KillEntry,
    Kind::KillEntry,
    Kind::PauseEntry,
    Kind::PauseEntry,
    Kind::StopEntry,
    Kind::LogDown,
    Kind::LostAppends,
    Kind::SlowLog,
    Kind::CutFromPlatform,
    Kind::CutDataCentre,
    Kind::CutLink,
    Kind::FreezeLink,
    Kind::SilentConnections,
    Kind::BlackHole,
    Kind::DeadWorker,
    Kind::SilentWorker,
    Kind::LostRuns,
    Kind::LeavingWorker,
    Kind::DrainedWorker,
    Kind::OperatorRace,
];

/// Faults by chance: each kind comes before any comes again.
#[derive(Debug)]
pub struct Deck {
    rng: StdRng,
    kinds: Vec<Kind>,
    left: Vec<Kind>,
}

impl Deck {
    /// The faults of a seed, of the kinds given, or of all kinds where none is.
    pub fn new(seed: u64, only: &[Kind]) -> Self {
        let kinds = if only.is_empty() { KINDS.to_vec() } else { only.to_vec() };
        Self { rng: StdRng::seed_from_u64(seed), kinds, left: Vec::new() }
    }

    /// A time between two bounds, in milliseconds.
    pub fn pause(&mut self, bounds_ms: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(bounds_ms))
    }

    /// The next fault, and how long it lasts. `busy` names the workers on which most runs.
    pub fn draw(&mut self, cell: &Cell, busy: &[String]) -> (Fault, Duration) {
        if self.left.is_empty() {
            self.left.clone_from(&self.kinds);
            self.left.shuffle(&mut self.rng);
        }
        let kind = self.left.pop().unwrap_or(Kind::KillEntry);
        let fault = self.fault(kind, cell, busy);
        let lasts = match kind {
            Kind::KillEntry => self.pause(0..2500),
            Kind::OperatorRace | Kind::SilentConnections => Duration::from_millis(500),
            _ => self.pause(3500..6500),
        };
        (fault, lasts)
    }

    fn fault(&mut self, kind: Kind, cell: &Cell, busy: &[String]) -> Fault {
        let entry = self.rng.random_range(0..cell.entries.len());
        let centres = cell.options.deployment.data_centres;
        let centre = self.rng.random_range(0..centres.len());
        let (one, other) = (centres[centre], centres[(centre + 1) % centres.len()]);
        match kind {
            Kind::KillEntry => Fault::KillEntry(entry),
            Kind::PauseEntry => Fault::PauseEntry(entry),
            Kind::StopEntry => Fault::StopEntry(entry),
            Kind::LogDown => Fault::LogDown,
            Kind::LostAppends => Fault::LostAppends,
            Kind::SlowLog => Fault::SlowLog,
            Kind::CutFromPlatform => Fault::CutFromPlatform(entry),
            Kind::CutDataCentre => Fault::CutDataCentre(one),
            Kind::CutLink => Fault::CutLink(one, other),
            Kind::FreezeLink => Fault::FreezeLink(one, other),
            Kind::SilentConnections => Fault::SilentConnections(busy.to_vec()),
            Kind::LostRuns => Fault::LostRuns(busy.to_vec()),
            Kind::BlackHole => Fault::BlackHole(self.one_of(busy)),
            Kind::DeadWorker => Fault::DeadWorker(self.one_of(busy)),
            Kind::SilentWorker => Fault::SilentWorker(self.one_of(busy)),
            Kind::LeavingWorker => Fault::LeavingWorker(self.one_of(busy)),
            Kind::DrainedWorker => Fault::DrainedWorker(self.one_of(busy)),
            Kind::OperatorRace => Fault::OperatorRace,
        }
    }

    fn one_of(&mut self, workers: &[String]) -> String {
        workers.choose(&mut self.rng).cloned().unwrap_or_default()
    }
}

impl Fault {
    /// Whether both may be on at once: not two of a kind that shares one switch.
    pub fn goes_with(&self, other: &Self) -> bool {
        let entry = |fault: &Self| match fault {
            Self::KillEntry(i) | Self::PauseEntry(i) | Self::StopEntry(i) => Some(*i),
            _ => None,
        };
        let is_link = |fault: &Self| {
            matches!(fault, Self::CutDataCentre(_) | Self::CutLink(..) | Self::FreezeLink(..))
        };
        let same_entry = entry(self).is_some() && entry(self) == entry(other);
        let same_worker = self.workers().iter().any(|worker| other.workers().contains(worker));
        !(same_entry || same_worker || self == other || is_link(self) && is_link(other))
    }

    /// The workers that it strikes.
    pub fn workers(&self) -> &[String] {
        match self {
            Self::SilentConnections(workers) | Self::LostRuns(workers) => workers,
            Self::BlackHole(worker)
            | Self::DeadWorker(worker)
            | Self::SilentWorker(worker)
            | Self::LeavingWorker(worker)
            | Self::DrainedWorker(worker) => std::slice::from_ref(worker),
            _ => &[],
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
