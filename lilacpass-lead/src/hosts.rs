//! The choice among the workers that may start tasks of a step in one round of placing.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use lilacpass_core::Resources;
use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_schema::v1;

use crate::{options::Placement, place};

/// A worker during one round of placing.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) name: WorkerName,
    pub(crate) room: Resources,
    pub(crate) capacity: Resources,
    /// Nothing speaks against it, for this job.
    pub(crate) clean: bool,
    pub(crate) rack: String,
    pub(crate) score: place::Score,
    pub(crate) remaining_task_limit: u64,
}

impl Host {
    /// Takes a task of the round.
    fn take(&mut self, need: &Resources) {
        self.room = self.room.minus(need);
        self.score.used_accelerators += need.accelerators.0;
        self.score.free_share = place::free_share(&self.room, &self.capacity);
        self.remaining_task_limit -= 1;
    }
}

/// Chooses among hosts as a comparison asks for.
pub(crate) struct Chooser {
    pub(crate) placement: Placement,
    pub(crate) step: StepName,
    pub(crate) now_ms: u64,
}

impl Chooser {
    /// The host for the next task of the round, of which `picked` have one.
    fn choose<'a>(&self, mut able: Vec<&'a mut Host>, picked: usize) -> Option<&'a mut Host> {
        let draw = |number: u64| {
            let mut hasher = DefaultHasher::new();
            (self.step, self.now_ms, picked, number).hash(&mut hasher);
            hasher.finish() as usize % able.len().max(1)
        };
        let free = |at: usize| able.get(at).map(|host| host.score.free_share);
        let at = match self.placement {
            Placement::Suited | Placement::FirstFit => 0,
            Placement::LeastLoaded => (0..able.len()).max_by_key(|&at| free(at))?,
            Placement::Random => draw(0),
            Placement::TwoChoices => [draw(0), draw(1)].into_iter().max_by_key(|&at| free(at))?,
        };
        (at < able.len()).then(|| able.swap_remove(at))
    }
}

/// Keeps the hosts of one rack, if that has room for all `count` tasks: on several racks they would
/// take longer. Where no rack has room for all, spread tasks are better than waiting ones.
pub(crate) fn keep_one_rack(hosts: &mut Vec<Host>, plan: &v1::WorkStep, count: usize) {
    let need = place::need(plan);
    let mut rooms: BTreeMap<String, u64> = BTreeMap::new();
    for host in hosts.iter() {
        let most = host.remaining_task_limit.min(count as u64);
        *rooms.entry(host.rack.clone()).or_default() += place::fits(&host.room, &need, most);
    }
    let best = rooms.into_iter().max_by_key(|(_, room)| *room);
    if let Some((rack, room)) = best
        && room >= count as u64
    {
        hosts.retain(|host| host.rack == rack);
    }
}

/// Picks workers for up to `count` tasks, the best by their score first or as the chooser says.
pub(crate) fn pick(
    hosts: &mut [Host],
    plan: &v1::WorkStep,
    count: usize,
    chooser: &Chooser,
) -> Vec<WorkerName> {
    let need = place::need(plan);
    let mut picks = Vec::new();
    while picks.len() < count {
        let able = |host: &&mut Host| host.remaining_task_limit > 0 && need.fits(&host.room);
        let best = if chooser.placement == Placement::Suited {
            hosts.iter_mut().filter(able).max_by_key(|host| (host.clean, host.score))
        } else {
            let able: Vec<&mut Host> = hosts.iter_mut().filter(able).collect();
            chooser.choose(able, picks.len())
        };
        let Some(host) = best else { break };
        host.take(&need);
        picks.push(host.name.clone());
    }
    picks
}
