//! The steps that wait for room: in which order they get it, and since when each waits.

use std::{
    collections::{BTreeSet, HashMap},
    ops::Bound,
};

use lilacpass_jobs::StepName;
use lilacpass_schema::v1;

use crate::rank::Rank;

/// Steps with tasks that may start.
#[derive(Debug, Default)]
pub struct WaitingSteps {
    order: BTreeSet<Rank>,
    steps: HashMap<StepName, Place>,
    /// Those of the sorts [`Sort::Plain`] and [`Sort::Whole`].
    plain: BTreeSet<Rank>,
    combined: BTreeSet<Rank>,
}

/// A waiting step.
#[derive(Clone, Copy, Debug)]
struct Place {
    rank: Rank,
    kind: StepKind,
    since_ms: u64,
}

/// What room that falls free means for a waiting step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepKind {
    /// It may be used as it is.
    Plain,
    /// It may be used if the step is allowed to run there.
    Advised,
    /// It may complete what the step needs on several workers.
    Combined,
}

impl StepKind {
    /// The sort of a step; `is_advised` where its queue needs advice.
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
    /// Adds a step, unless it waits already. `rank` is worked out only then: a job may have thousands of tasks,
    /// and each end brings its steps here. Returns whether the step is new.
    pub fn add(
        &mut self,
        step: StepName,
        kind: StepKind,
        now_ms: u64,
        rank: impl FnOnce() -> Rank,
    ) -> bool {
        if self.steps.contains_key(&step) {
            return false;
        }
        let rank = rank();
        self.steps.insert(step, Place { rank, kind, since_ms: now_ms });
        self.order.insert(rank);
        match kind {
            StepKind::Plain => self.plain.insert(rank),
            StepKind::Combined => self.combined.insert(rank),
            StepKind::Advised => true,
        }
    }

    /// A step does not wait any more. Returns whether it did.
    pub fn remove(&mut self, step: StepName) -> bool {
        let Some(place) = self.steps.remove(&step) else { return false };
        self.plain.remove(&place.rank);
        self.combined.remove(&place.rank);
        self.order.remove(&place.rank)
    }

    /// A task of a step was given a run: if others still wait, they wait from now on.
    pub fn record_start(&mut self, step: StepName, now_ms: u64) {
        if let Some(place) = self.steps.get_mut(&step) {
            place.since_ms = now_ms;
        }
    }

    /// The place of a step in the order.
    pub fn rank_of(&self, step: StepName) -> Option<Rank> {
        self.steps.get(&step).map(|place| place.rank)
    }

    /// The place of a step in the order, if it is [`Sort::Advised`].
    pub fn rank_of_advised(&self, step: StepName) -> Option<Rank> {
        let place = self.steps.get(&step)?;
        (place.kind == StepKind::Advised).then_some(place.rank)
    }

    /// All steps, in the order in which they get room.
    pub fn in_order(&self) -> impl Iterator<Item = Rank> {
        self.order.iter().copied()
    }

    /// Steps of the sort [`Sort::Plain`], in order.
    pub fn plain(&self) -> impl Iterator<Item = Rank> {
        self.plain.iter().copied()
    }

    /// Steps of the sort [`Sort::Whole`], in order.
    pub fn combined(&self) -> impl Iterator<Item = Rank> {
        self.combined.iter().copied()
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
    pub fn waiting_since(&self, since_ms: u64) -> Vec<StepName> {
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
