//! Selects workers for the tasks of one step within a scheduling round.

use std::{
    collections::{BTreeMap, BinaryHeap},
    hash::{DefaultHasher, Hash, Hasher},
};

use lilacpass_core::Resources;
use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_schema::v1;

use crate::{options::Placement, place};

/// A worker that can start tasks of a step, as seen within one round.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) name: WorkerName,
    pub(crate) free_capacity: Resources,
    pub(crate) capacity: Resources,
    /// Whether the worker is in good health and no task of this job has failed there.
    pub(crate) is_clean: bool,
    pub(crate) rack: String,
    pub(crate) score: place::Score,
    /// Number of further tasks that the step may run on the worker.
    pub(crate) remaining_task_limit: u64,
}

impl Host {
    /// Whether one more task fits on the worker.
    fn can_hold(&self, need: &Resources) -> bool {
        self.remaining_task_limit > 0 && need.fits(&self.free_capacity)
    }

    /// Accounts for one more task on the worker.
    fn assign_task(&mut self, need: &Resources) {
        self.free_capacity = self.free_capacity.minus(need);
        self.score.used_accelerators += need.accelerators.0;
        self.score.free_share = place::free_share(&self.free_capacity, &self.capacity);
        self.remaining_task_limit -= 1;
    }
}

/// Chooses among hosts by a [`Placement`] strategy. [`pick`] handles [`Placement::BestScore`] itself.
pub(crate) struct HostSelector {
    pub(crate) placement: Placement,
    pub(crate) step: StepName,
    pub(crate) now_ms: u64,
}

impl HostSelector {
    /// Chooses the host for the next task. `picked` is the number of tasks for which the current call of [`pick`] has
    /// already picked hosts; it gives each task its own random draws.
    fn choose<'a>(&self, mut eligible: Vec<&'a mut Host>, picked: usize) -> Option<&'a mut Host> {
        let draw = |number: u64| {
            let mut hasher = DefaultHasher::new();
            (self.step, self.now_ms, picked, number).hash(&mut hasher);
            hasher.finish() as usize % eligible.len().max(1)
        };
        let free_share = |index: usize| eligible.get(index).map(|host| host.score.free_share);
        let chosen = match self.placement {
            Placement::BestScore | Placement::FirstFit => 0,
            Placement::LeastLoaded => (0..eligible.len()).max_by_key(|&index| free_share(index))?,
            Placement::Random => draw(0),
            Placement::TwoChoices => {
                [draw(0), draw(1)].into_iter().max_by_key(|&index| free_share(index))?
            }
        };
        (chosen < eligible.len()).then(|| eligible.swap_remove(chosen))
    }
}

/// Keeps only the hosts of one rack if all `count` tasks fit there, because tasks on several racks take longer. If no
/// rack has capacity for all, it is better to spread the tasks than to let them wait.
pub(crate) fn retain_one_rack(hosts: &mut Vec<Host>, plan: &v1::WorkStep, count: usize) {
    let need = place::need(plan);
    let mut rack_capacities: BTreeMap<String, u64> = BTreeMap::new();
    for host in hosts.iter() {
        let max = host.remaining_task_limit.min(count as u64);
        *rack_capacities.entry(host.rack.clone()).or_default() +=
            place::count_fitting(&host.free_capacity, &need, max);
    }
    let best = rack_capacities.into_iter().max_by_key(|(_, tasks)| *tasks);
    if let Some((rack, tasks)) = best
        && tasks >= count as u64
    {
        hosts.retain(|host| host.rack == rack);
    }
}

/// Picks workers for up to `count` tasks by the placement strategy of `selector`.
pub(crate) fn pick(
    hosts: &mut [Host],
    plan: &v1::WorkStep,
    count: usize,
    selector: &HostSelector,
) -> Vec<WorkerName> {
    let need = place::need(plan);
    if selector.placement == Placement::BestScore {
        return pick_best(hosts, &need, count);
    }
    let mut picks = Vec::new();
    while picks.len() < count {
        let eligible = hosts.iter_mut().filter(|host| host.can_hold(&need)).collect();
        let Some(host) = selector.choose(eligible, picks.len()) else { break };
        host.assign_task(&need);
        picks.push(host.name.clone());
    }
    picks
}

/// Picks the host with the greatest score for each task; of equal ones the last.
fn pick_best(hosts: &mut [Host], need: &Resources, count: usize) -> Vec<WorkerName> {
    let eligible = hosts.iter().enumerate().filter(|(_, host)| host.can_hold(need));
    let mut by_score: BinaryHeap<_> =
        eligible.map(|(index, host)| (host.is_clean, host.score, index)).collect();
    let mut picks = Vec::new();
    while picks.len() < count
        && let Some((_, _, index)) = by_score.pop()
    {
        let host = &mut hosts[index];
        host.assign_task(need);
        picks.push(host.name.clone());
        if host.can_hold(need) {
            by_score.push((host.is_clean, host.score, index));
        }
    }
    picks
}
