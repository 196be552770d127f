//! The steps that wait for room: in which order they get it, and since when each waits.

use std::{
    collections::{BTreeSet, HashMap},
    ops::Bound,
};

use lilacpass_jobs::StepName;

use crate::rank::Rank;

/// Steps with tasks that may start.
#[derive(Debug, Default)]
pub struct Waiting {
    order: BTreeSet<Rank>,
    steps: HashMap<StepName, Place>,
}

/// A waiting step.
#[derive(Clone, Copy, Debug)]
struct Place {
    rank: Rank,
    since_ms: u64,
}

impl Waiting {
    /// Adds a step that is not waiting yet. `rank` is worked out only then: a job may have thousands of tasks,
    /// and each end brings its steps here.
    pub fn add(&mut self, step: StepName, now_ms: u64, rank: impl FnOnce() -> Rank) {
        let place =
            self.steps.entry(step).or_insert_with(|| Place { rank: rank(), since_ms: now_ms });
        self.order.insert(place.rank);
    }

    /// A step does not wait any more.
    pub fn remove(&mut self, step: StepName) {
        if let Some(place) = self.steps.remove(&step) {
            self.order.remove(&place.rank);
        }
    }

    /// A task of a step was given a run: if others still wait, they wait from now on.
    pub fn note_start(&mut self, step: StepName, now_ms: u64) {
        if let Some(place) = self.steps.get_mut(&step) {
            place.since_ms = now_ms;
        }
    }

    /// The place of a step in the order.
    pub fn rank_of(&self, step: StepName) -> Option<Rank> {
        self.steps.get(&step).map(|place| place.rank)
    }

    /// All steps, in the order in which they get room.
    pub fn in_order(&self) -> Vec<StepName> {
        self.order.iter().map(|rank| rank.step).collect()
    }

    /// The next places in the order after one, at most `most`; from the first where there is none.
    pub fn after(&self, rank: Option<Rank>, most: usize) -> Vec<Rank> {
        let from = rank.map_or(Bound::Unbounded, Bound::Excluded);
        self.order.range((from, Bound::Unbounded)).take(most).copied().collect()
    }

    /// The place in the order before one.
    pub fn before(&self, rank: Rank) -> Option<Rank> {
        self.order.range(..rank).next_back().copied()
    }

    /// Steps that have waited without being given a run since `since_ms` or longer, the longest first.
    pub fn since(&self, since_ms: u64) -> Vec<StepName> {
        let long = self.steps.iter().filter(|(_, place)| place.since_ms <= since_ms);
        let mut steps: Vec<(u64, StepName)> =
            long.map(|(step, place)| (place.since_ms, *step)).collect();
        steps.sort_unstable();
        steps.into_iter().map(|(_, step)| step).collect()
    }

    /// How many steps wait.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
