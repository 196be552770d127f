//! Switches the faults of a running cell on and off, and notes what must be known to judge.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::Duration,
};

use lilacpass_schema::v1::{self, config_op};
use lilacpass_standin::shim::Mode;
use tokio::task::JoinHandle;

use crate::{
    cell::{self, Cell},
    error::Result,
    faults::Fault,
    ledger::{self, Disturbance, EntryKey, Leaving, PlannedStop},
    operator::{self, Operator},
    process::Process,
};

const LOST_APPENDS_PERMILLE: u32 = 300;
const LOST_RUNS_PERMILLE: u32 = 150;
const SLOW_LOG_MS: u64 = 400;
const OPERATOR_LIMIT: Duration = Duration::from_secs(10);
const RACERS: u32 = 3;
/// Workers that count as busy.
const BUSY_WORKERS: usize = 8;

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

    /// The workers on which most runs now; a fault of an idle worker would show nothing.
    pub async fn busy_workers(&mut self) -> Result<Vec<String>> {
        let mut workers = self.cell.counts().await?.workers;
        workers.sort_by_key(|worker| Reverse(worker.running_now));
        Ok(workers.into_iter().take(BUSY_WORKERS).map(|worker| worker.worker).collect())
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

async fn stop(process: Process, entry: EntryKey) -> PlannedStop {
    let at_unix_ms = ledger::unix_ms();
    let failure = cell::planned_stop(process).await.err().map(|err| err.to_string());
    PlannedStop { entry, at_unix_ms, failure }
}
