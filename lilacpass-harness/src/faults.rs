//! Faults that are switched on and off in a running cell.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    time::Duration,
};

use lilacpass_schema::v1::{self, config_op};
use lilacpass_standin::shim::Mode;
use rand::{RngExt, rngs::StdRng, seq::IndexedRandom};
use tokio::task::JoinHandle;

use crate::{
    cell::{self, Cell},
    error::Result,
    ledger::{self, Disturbance, EntryKey, Leaving, PlannedStop},
    operator::{self, Operator},
};

const LOST_APPENDS_PERMILLE: u32 = 300;
const LOST_RUNS_PERMILLE: u32 = 150;
const SLOW_LOG_MS: u64 = 400;
const OPERATOR_LIMIT: Duration = Duration::from_secs(10);
const RACERS: u32 = 3;

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

impl Fault {
    /// A fault by chance, and how long it lasts.
    pub fn draw(rng: &mut StdRng, cell: &Cell) -> (Self, Duration) {
        let entry = rng.random_range(0..cell.entries.len());
        let centres = cell.options.deployment.data_centres;
        let centre = rng.random_range(0..centres.len());
        let next_centre = (centre + 1) % centres.len();
        let some = |rng: &mut StdRng, count: usize| -> Vec<String> {
            cell.worker_specs.sample(rng, count).map(|worker| worker.name.clone()).collect()
        };
        let one = |rng: &mut StdRng| some(rng, 1).remove(0);
        let fault = match rng.random_range(0..18) {
            0 | 1 => Self::KillEntry(entry),
            2 | 3 => Self::PauseEntry(entry),
            4 => Self::StopEntry(entry),
            5 => Self::LogDown,
            6 => Self::LostAppends,
            7 => Self::SlowLog,
            8 => Self::CutFromPlatform(entry),
            9 => Self::CutDataCentre(centres[centre]),
            10 => Self::CutLink(centres[centre], centres[next_centre]),
            11 => Self::FreezeLink(centres[centre], centres[next_centre]),
            12 => Self::SilentConnections(some(rng, 12)),
            13 => Self::BlackHole(one(rng)),
            14 => Self::DeadWorker(one(rng)),
            15 => Self::SilentWorker(one(rng)),
            16 => Self::LostRuns(some(rng, 8)),
            17 if rng.random() => Self::LeavingWorker(one(rng)),
            _ if rng.random() => Self::DrainedWorker(one(rng)),
            _ => Self::OperatorRace,
        };
        let lasts_ms = match fault {
            Self::KillEntry(_) => rng.random_range(0..2500),
            Self::OperatorRace | Self::SilentConnections(_) => 500,
            _ => rng.random_range(3500..6500),
        };
        (fault, Duration::from_millis(lasts_ms))
    }

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

    fn workers(&self) -> &[String] {
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

/// Switches faults of one cell on and off.
pub struct Injector {
    /// The cell.
    pub cell: Cell,
    operator: Operator,
    platform: v1::PlatformFault,
    cut: HashSet<String>,
    since_unix_ms: HashMap<String, u64>,
    stops: HashMap<usize, JoinHandle<PlannedStop>>,
    drains: HashMap<String, JoinHandle<Option<u64>>>,
    races: u32,
}

impl Injector {
    /// An injector with no fault on.
    pub fn new(cell: Cell, operator: Operator) -> Self {
        Self {
            cell,
            operator,
            platform: v1::PlatformFault::default(),
            cut: HashSet::new(),
            since_unix_ms: HashMap::new(),
            stops: HashMap::new(),
            drains: HashMap::new(),
            races: 0,
        }
    }

    /// Switches a fault on.
    pub async fn begin(&mut self, fault: &Fault) -> Result<()> {
        match fault {
            Fault::KillEntry(index) => {
                self.begin_disturbance(*index);
                self.cell.kill_entry(*index).await?;
                self.update_targets();
            }
            Fault::PauseEntry(index) => {
                self.begin_disturbance(*index);
                self.cell.pause_entry(*index, true)?;
            }
            Fault::StopEntry(index) => self.begin_stop(*index).await?,
            Fault::CutDataCentre(centre) => {
                let indexes = self.entries_of(centre);
                indexes.iter().for_each(|index| self.begin_disturbance(*index));
                self.set_centre(centre, Mode::Cut);
                self.set_platform(fault, true).await?;
            }
            Fault::CutLink(one, other) => self.cell.set_link(one, other, Mode::Cut),
            Fault::FreezeLink(one, other) => self.cell.set_link(one, other, Mode::Freeze),
            Fault::LogDown | Fault::LostAppends | Fault::SlowLog | Fault::CutFromPlatform(_) => {
                self.set_platform(fault, true).await?;
            }
            Fault::OperatorRace => self.race(),
            Fault::DrainedWorker(worker) => self.drain(worker),
            _ => self.set_workers(fault, true).await?,
        }
        Ok(())
    }

    /// Switches a fault off.
    pub async fn end(&mut self, fault: &Fault) -> Result<()> {
        match fault {
            Fault::KillEntry(index) => {
                self.cell.replace_entry(*index).await?;
                self.end_disturbance(*index);
                self.update_targets();
            }
            Fault::PauseEntry(index) => {
                self.cell.pause_entry(*index, false)?;
                self.end_disturbance(*index);
            }
            Fault::StopEntry(index) => self.end_stop(*index).await?,
            Fault::CutDataCentre(centre) => {
                self.set_centre(centre, Mode::Pass);
                self.set_platform(fault, false).await?;
                let indexes = self.entries_of(centre);
                indexes.iter().for_each(|index| self.end_disturbance(*index));
            }
            Fault::CutLink(one, other) | Fault::FreezeLink(one, other) => {
                self.cell.set_link(one, other, Mode::Pass);
            }
            Fault::LogDown | Fault::LostAppends | Fault::SlowLog | Fault::CutFromPlatform(_) => {
                self.set_platform(fault, false).await?;
            }
            Fault::OperatorRace => {}
            Fault::DrainedWorker(worker) => self.end_drain(worker),
            _ => self.set_workers(fault, false).await?,
        }
        Ok(())
    }

    async fn set_platform(&mut self, fault: &Fault, on: bool) -> Result<()> {
        match fault {
            Fault::LogDown => self.platform.log_down = on,
            Fault::LostAppends => {
                self.platform.lose_answer_permille = if on { LOST_APPENDS_PERMILLE } else { 0 };
            }
            Fault::SlowLog => self.platform.log_delay_ms = if on { SLOW_LOG_MS } else { 0 },
            Fault::CutFromPlatform(index) => {
                let name = self.cell.entries[*index].name.clone();
                self.set_cut(vec![name], on);
            }
            Fault::CutDataCentre(centre) => {
                let indexes = self.entries_of(centre);
                let names = indexes.iter().map(|i| self.cell.entries[*i].name.clone()).collect();
                self.set_cut(names, on);
            }
            _ => {}
        }
        self.platform.cut_instances = self.cut.iter().cloned().collect();
        self.cell.platform.set_fault(self.platform.clone()).await?;
        Ok(())
    }

    fn set_cut(&mut self, names: Vec<String>, on: bool) {
        for name in names {
            match on {
                true => self.cut.insert(name),
                false => self.cut.remove(&name),
            };
        }
    }

    async fn set_workers(&mut self, fault: &Fault, on: bool) -> Result<()> {
        let mut state = v1::WorkerFault { workers: fault.workers().to_vec(), ..Default::default() };
        match fault {
            Fault::SilentConnections(_) => state.silence_open_connections = on,
            Fault::BlackHole(_) => state.black_hole = on,
            Fault::DeadWorker(_) => state.dead = on,
            Fault::SilentWorker(_) => state.silent = on,
            Fault::LostRuns(_) => {
                state.lose_answer_permille = if on { LOST_RUNS_PERMILLE } else { 0 };
            }
            Fault::LeavingWorker(_) => state.leaving = on,
            _ => {}
        }
        if let Fault::LeavingWorker(worker) = fault {
            self.note_leaving(worker, on);
        }
        self.cell.workers.set_fault(state).await?;
        Ok(())
    }

    /// Notes the times between which a worker must get nothing new.
    fn note_leaving(&mut self, worker: &str, on: bool) {
        let now = ledger::unix_ms();
        if on {
            self.since_unix_ms.insert(worker.to_owned(), now);
        } else if let Some(from_unix_ms) = self.since_unix_ms.remove(worker) {
            self.operator.ledger.notes().leavings.push(Leaving {
                worker: worker.to_owned(),
                from_unix_ms,
                until_unix_ms: now,
                told_by_worker: true,
            });
        }
    }

    /// Drains a worker, without waiting for it.
    fn drain(&mut self, worker: &str) {
        self.races += 1;
        let (operator, worker) = (self.operator.clone(), worker.to_owned());
        let trace = format!("drain-{}", self.races);
        let draining = worker.clone();
        let drain = async move {
            operator.change(&trace, vec![drain_op(&draining, true)], OPERATOR_LIMIT).await?;
            let from_unix_ms = ledger::unix_ms();
            operator.ledger.notes().leavings.push(Leaving {
                worker: draining,
                from_unix_ms,
                until_unix_ms: u64::MAX,
                told_by_worker: false,
            });
            Some(from_unix_ms)
        };
        self.drains.insert(worker, tokio::spawn(drain));
    }

    /// Ends a drain once it has been accepted, without waiting for it.
    fn end_drain(&mut self, worker: &str) {
        let Some(drain) = self.drains.remove(worker) else {
            return;
        };
        let until_unix_ms = ledger::unix_ms();
        let (operator, worker) = (self.operator.clone(), worker.to_owned());
        let trace = format!("end-of-drain-{}", self.races);
        tokio::spawn(async move {
            // A drain that was not accepted may still have taken effect; ending it does no harm.
            let from_unix_ms = drain.await.ok().flatten();
            for leaving in &mut operator.ledger.notes().leavings {
                if leaving.worker == worker && Some(leaving.from_unix_ms) == from_unix_ms {
                    leaving.until_unix_ms = until_unix_ms;
                }
            }
            operator.change(&trace, vec![drain_op(&worker, false)], OPERATOR_LIMIT).await
        });
    }

    fn race(&mut self) {
        for racer in 0..RACERS {
            let operator = self.operator.clone();
            let trace = format!("race-{}-{racer}", self.races);
            tokio::spawn(async move { operator.change(&trace, Vec::new(), OPERATOR_LIMIT).await });
        }
        self.races += 1;
    }

    async fn begin_stop(&mut self, index: usize) -> Result<()> {
        self.begin_disturbance(index);
        let entry = self.cell.entries[index].key();
        let Some(process) = self.cell.begin_stop(index).await? else {
            return Ok(());
        };
        self.update_targets();
        self.stops.insert(index, tokio::spawn(stop(process, entry)));
        Ok(())
    }

    async fn end_stop(&mut self, index: usize) -> Result<()> {
        if let Some(stop) = self.stops.remove(&index)
            && let Ok(stop) = stop.await
        {
            self.operator.ledger.notes().stops.push(stop);
        }
        self.cell.replace_entry(index).await?;
        self.end_disturbance(index);
        self.update_targets();
        Ok(())
    }

    fn begin_disturbance(&mut self, index: usize) {
        let name = self.cell.entries[index].name.clone();
        self.since_unix_ms.entry(name).or_insert_with(ledger::unix_ms);
    }

    fn end_disturbance(&mut self, index: usize) {
        let entry = self.cell.entries[index].name.clone();
        if let Some(from_unix_ms) = self.since_unix_ms.remove(&entry) {
            let until_unix_ms = ledger::unix_ms();
            let disturbance = Disturbance { entry, from_unix_ms, until_unix_ms };
            self.operator.ledger.notes().disturbances.push(disturbance);
        }
    }

    fn update_targets(&self) {
        self.operator.balancer.set_targets(self.cell.targets());
    }

    fn set_centre(&self, centre: &str, mode: Mode) {
        let others = self.cell.options.deployment.data_centres;
        others
            .iter()
            .filter(|other| **other != centre)
            .for_each(|other| self.cell.set_link(centre, other, mode));
    }

    fn entries_of(&self, centre: &str) -> Vec<usize> {
        let entries = self.cell.entries.iter().enumerate();
        entries.filter(|(_, entry)| entry.data_centre == centre).map(|(index, _)| index).collect()
    }
}

fn drain_op(worker: &str, draining: bool) -> v1::ConfigOp {
    let drain = v1::DrainWorker { worker: worker.to_owned(), draining };
    operator::op(config_op::Op::DrainWorker(drain))
}

async fn stop(process: crate::process::Process, entry: EntryKey) -> PlannedStop {
    let at_unix_ms = ledger::unix_ms();
    let failure = cell::planned_stop(process).await.err().map(|err| err.to_string());
    PlannedStop { entry, at_unix_ms, failure }
}
