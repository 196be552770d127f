//! The steps that wait for capacity, in scheduling order and by waiting time.

use std::{collections::BTreeSet, ops::Bound};

use lilacpass_core::{Resources, hash_map::HashMap};
use lilacpass_jobs::StepName;
use lilacpass_schema::v1;

use crate::rank::Rank;

/// The steps that have tasks ready to start.
#[derive(Debug, Default)]
pub struct WaitingSteps {
    order: BTreeSet<Rank>,
    steps: HashMap<StepName, WaitingStep>,
    /// Steps of the kind [`StepKind::Plain`].
    plain: BTreeSet<Rank>,
    /// Steps of the kind [`StepKind::Combined`].
    combined: BTreeSet<Rank>,
}

/// A step that waits for capacity.
#[derive(Clone, Copy, Debug)]
struct WaitingStep {
    rank: Rank,
    kind: StepKind,
    /// Resources that a task of the step needs.
    need: Resources,
    /// Time since when no task of the step has been assigned, in ms on the monotonic clock.
    since_ms: u64,
    /// Number of tasks for which there must be more capacity than at the last examination, before a step of the kind
    /// [`StepKind::Combined`] may start.
    lacking: u64,
}

/// How a waiting step can use capacity that becomes free on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepKind {
    /// The step can use it directly.
    Plain,
    /// The step can use it if advice allows the step to run there.
    Advised,
    /// The step needs several workers, or a choice among all of them, so freed capacity counts together with that of
    /// the other workers.
    Combined,
}

impl StepKind {
    /// Returns the kind of a step. `is_advised` says whether its queue needs advice.
    pub fn of(plan: &v1::WorkStep, is_advised: bool) -> Self {
        if plan.gang || plan.one_rack || plan.target_ms > 0 {
            Self::Combined
        } else if is_advised {
            Self::Advised
        } else {
            Self::Plain
        }
    }
}

impl WaitingSteps {
    /// Adds a step unless it is already waiting. Returns whether it was added. `rank` is only computed in that case,
    /// because a job may have thousands of tasks and this is called for its steps whenever one of them ends.
    pub fn add(
        &mut self,
        step: StepName,
        kind: StepKind,
        need: Resources,
        now_ms: u64,
        rank: impl FnOnce() -> Rank,
    ) -> bool {
        if self.steps.contains_key(&step) {
            return false;
        }
        let rank = rank();
        self.steps.insert(step, WaitingStep { rank, kind, need, since_ms: now_ms, lacking: 0 });
        self.order.insert(rank);
        match kind {
            StepKind::Plain => self.plain.insert(rank),
            StepKind::Combined => self.combined.insert(rank),
            StepKind::Advised => true,
        }
    }

    /// Removes a step. Returns whether it was waiting.
    pub fn remove(&mut self, step: StepName) -> bool {
        let Some(entry) = self.steps.remove(&step) else { return false };
        self.plain.remove(&entry.rank);
        self.combined.remove(&entry.rank);
        self.order.remove(&entry.rank)
    }

    /// Records that a task of a step was assigned. The waiting time of its other tasks starts anew.
    pub fn record_start(&mut self, step: StepName, now_ms: u64) {
        if let Some(entry) = self.steps.get_mut(&step) {
            entry.since_ms = now_ms;
        }
    }

    /// Records that there was too little capacity for `tasks` tasks of a step when it was examined.
    pub fn record_lack(&mut self, step: StepName, tasks: u64) {
        if let Some(entry) = self.steps.get_mut(&step) {
            entry.lacking = tasks;
        }
    }

    /// Records that capacity for up to `tasks` tasks of a step has become free. Returns whether that may suffice.
    pub fn record_freed(&mut self, step: StepName, tasks: u64) -> bool {
        self.steps.get_mut(&step).is_some_and(|entry| {
            entry.lacking = entry.lacking.saturating_sub(tasks);
            tasks > 0 && entry.lacking == 0
        })
    }

    /// Moves a step to a new rank, if it is waiting.
    pub fn set_rank(&mut self, rank: Rank) {
        let Some(entry) = self.steps.get_mut(&rank.step) else { return };
        let former = std::mem::replace(&mut entry.rank, rank);
        for ranks in [&mut self.order, &mut self.plain, &mut self.combined] {
            if ranks.remove(&former) {
                ranks.insert(rank);
            }
        }
    }

    /// Returns whether a waiting step has one rank in all sets.
    pub fn is_consistent(&self, step: StepName) -> bool {
        let sets = [&self.order, &self.plain, &self.combined];
        self.steps.get(&step).is_some_and(|entry| {
            let is_member = sets.map(|ranks| ranks.contains(&entry.rank));
            let kinds = [true, entry.kind == StepKind::Plain, entry.kind == StepKind::Combined];
            is_member == kinds && sets.iter().all(|ranks| ranks.len() <= self.steps.len())
        })
    }

    /// Returns whether a step has waited since `since_ms` or longer without a task being assigned.
    pub fn has_waited_since(&self, step: StepName, since_ms: u64) -> bool {
        self.steps.get(&step).is_some_and(|entry| entry.since_ms <= since_ms)
    }

    /// Returns the rank of a step.
    pub fn rank_of(&self, step: StepName) -> Option<Rank> {
        self.steps.get(&step).map(|entry| entry.rank)
    }

    /// Returns the rank of a step if it is of the kind [`StepKind::Advised`] and one of its tasks fits into `free`.
    pub fn rank_of_advised(&self, step: StepName, free: &Resources) -> Option<Rank> {
        let entry = self.steps.get(&step)?;
        (entry.kind == StepKind::Advised && entry.need.fits(free)).then_some(entry.rank)
    }

    /// Returns the resources that a task of a step needs.
    pub fn need_of(&self, step: StepName) -> Option<Resources> {
        self.steps.get(&step).map(|entry| entry.need)
    }

    /// Returns all steps in scheduling order.
    pub fn in_order(&self) -> impl Iterator<Item = Rank> {
        self.order.iter().copied()
    }

    /// Returns the steps of the kind [`StepKind::Plain`] in scheduling order.
    pub fn plain(&self) -> impl Iterator<Item = Rank> {
        self.plain.iter().copied()
    }

    /// Returns the steps of the kind [`StepKind::Combined`] in scheduling order.
    pub fn combined(&self) -> impl Iterator<Item = Rank> {
        self.combined.iter().copied()
    }

    /// Returns up to `max` ranks after `rank`, or from the first one if `rank` is `None`.
    pub fn after(&self, rank: Option<Rank>, max: usize) -> Vec<Rank> {
        let from = rank.map_or(Bound::Unbounded, Bound::Excluded);
        self.order.range((from, Bound::Unbounded)).take(max).copied().collect()
    }

    /// Returns the rank that directly precedes `rank`.
    pub fn before(&self, rank: Rank) -> Option<Rank> {
        self.order.range(..rank).next_back().copied()
    }

    /// Returns the steps that have waited since `since_ms` or longer without a task being assigned, longest waiting
    /// first.
    pub fn waiting_since(&self, since_ms: u64) -> Vec<StepName> {
        let long_waiting = self.steps.iter().filter(|(_, entry)| entry.since_ms <= since_ms);
        let mut steps: Vec<(u64, StepName)> =
            long_waiting.map(|(step, entry)| (entry.since_ms, *step)).collect();
        steps.sort_unstable();
        steps.into_iter().map(|(_, step)| step).collect()
    }

    /// Returns the number of waiting steps.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no step is waiting.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
