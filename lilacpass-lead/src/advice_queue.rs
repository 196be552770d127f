//! The waiting steps that may ask for advice now, in the order in which they do.
//!
//! Load pattern: hundreds of steps wait for room in a cell with a hundred lanes, of which some are idle at any
//! time. Most of the steps have asked, or their queue holds all the lanes that it may; going through all of them
//! after each event leaves a leader of hundreds of workers little time for anything else.

use std::{
    collections::{BTreeSet, HashMap},
    ops::Bound,
};

use lilacpass_jobs::StepName;

use crate::rank::Rank;

/// Steps that wait and are not being asked about.
#[derive(Debug, Default)]
pub struct AdviceQueue {
    /// Queues are dozens, and one that has had a step here stays.
    groups: Vec<Group>,
    /// Steps whose time to ask has not come, with that time on the steady clock.
    paused: BTreeSet<(u64, StepName)>,
    steps: HashMap<StepName, Place>,
}

/// Steps of one queue, with the shortest time of a call about them.
#[derive(Debug)]
struct Group {
    queue: String,
    base_ms: u64,
    ranks: BTreeSet<Rank>,
}

#[derive(Clone, Copy, Debug)]
enum Place {
    Open { group: usize, rank: Rank },
    Paused { until_ms: u64 },
}

impl AdviceQueue {
    /// A step may ask. `base_ms` is the shortest time that the call takes.
    pub fn enqueue(&mut self, rank: Rank, queue: &str, base_ms: u64) {
        self.remove(rank.step);
        let group = self.group(queue, base_ms);
        self.groups[group].ranks.insert(rank);
        self.steps.insert(rank.step, Place::Open { group, rank });
    }

    /// A step may ask from a time on the steady clock on.
    pub fn delay(&mut self, step: StepName, until_ms: u64) {
        self.remove(step);
        self.paused.insert((until_ms, step));
        self.steps.insert(step, Place::Paused { until_ms });
    }

    /// A step is being asked about, or does not wait any more.
    pub fn remove(&mut self, step: StepName) {
        match self.steps.remove(&step) {
            Some(Place::Open { group, rank }) => {
                self.groups[group].ranks.remove(&rank);
            }
            Some(Place::Paused { until_ms }) => {
                self.paused.remove(&(until_ms, step));
            }
            None => {}
        }
    }

    /// Takes the steps whose time to ask has come.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<StepName> {
        let mut awake = Vec::new();
        while let Some(&(until_ms, step)) = self.paused.first() {
            if until_ms > now_ms {
                break;
            }
            self.remove(step);
            awake.push(step);
        }
        awake
    }

    /// The first step after a place in the order whose queue `may_call`, by its name and the shortest time of a
    /// call.
    pub fn next_after(
        &self,
        last: Option<Rank>,
        may_call: impl Fn(&str, u64) -> bool,
    ) -> Option<Rank> {
        let from = last.map_or(Bound::Unbounded, Bound::Excluded);
        let open = self.groups.iter().filter(|group| !group.ranks.is_empty());
        let calling = open.filter(|group| may_call(&group.queue, group.base_ms));
        calling
            .filter_map(|group| group.ranks.range((from, Bound::Unbounded)).next().copied())
            .min()
    }

    fn group(&mut self, queue: &str, base_ms: u64) -> usize {
        let is_it = |group: &Group| group.queue == queue && group.base_ms == base_ms;
        if let Some(at) = self.groups.iter().position(is_it) {
            return at;
        }
        self.groups.push(Group { queue: queue.to_owned(), base_ms, ranks: BTreeSet::new() });
        self.groups.len() - 1
    }
}
