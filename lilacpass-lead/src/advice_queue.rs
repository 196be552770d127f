//! Queue of the waiting steps that may request advice, in scheduling order.
//!
//! Load pattern: hundreds of steps wait for capacity in a cell with a hundred lanes, some of which are idle at any
//! time. Most of the steps have already requested advice, or their queue holds all the lanes it may use. Going through
//! all steps after each event would take most of the time of a leader with hundreds of workers.

use std::{collections::BTreeSet, ops::Bound};

use lilacpass_core::hash_map::HashMap;
use lilacpass_jobs::StepName;

use crate::{advice::Lanes, rank::Rank};

/// Waiting steps without a pending call for advice.
#[derive(Debug, Default)]
pub struct AdviceQueue {
    /// One group per job queue and minimum call duration. There are only dozens, so groups are never removed.
    groups: Vec<Group>,
    /// Steps that may request advice only later, with that time in ms on the monotonic clock.
    delayed: BTreeSet<(u64, StepName)>,
    steps: HashMap<StepName, State>,
}

/// The steps of one job queue that may request advice now.
#[derive(Debug)]
struct Group {
    queue: String,
    /// Minimum duration of a call for these steps in ms.
    base_ms: u64,
    ranks: BTreeSet<Rank>,
}

/// Whether a step may request advice now.
#[derive(Clone, Copy, Debug)]
enum State {
    Ready { group: usize, rank: Rank },
    Delayed { until_ms: u64 },
}

impl AdviceQueue {
    /// Allows a step to request advice from now on. `base_ms` is the minimum duration of the call in ms.
    pub fn enqueue(&mut self, rank: Rank, queue: &str, base_ms: u64) {
        self.remove(rank.step);
        let group = self.group_index(queue, base_ms);
        self.groups[group].ranks.insert(rank);
        self.steps.insert(rank.step, State::Ready { group, rank });
    }

    /// Keeps a step from requesting advice until `until_ms` on the monotonic clock.
    pub fn delay(&mut self, step: StepName, until_ms: u64) {
        self.remove(step);
        self.delayed.insert((until_ms, step));
        self.steps.insert(step, State::Delayed { until_ms });
    }

    /// Removes a step that has a pending call or no longer waits.
    pub fn remove(&mut self, step: StepName) {
        match self.steps.remove(&step) {
            Some(State::Ready { group, rank }) => {
                self.groups[group].ranks.remove(&rank);
            }
            Some(State::Delayed { until_ms }) => {
                self.delayed.remove(&(until_ms, step));
            }
            None => {}
        }
    }

    /// Moves a step to a new rank, if it may request advice now. A delayed step gets its rank when it is due.
    pub fn set_rank(&mut self, new: Rank) {
        if let Some(State::Ready { group, rank }) = self.steps.get_mut(&new.step) {
            let ranks = &mut self.groups[*group].ranks;
            ranks.remove(rank);
            ranks.insert(new);
            *rank = new;
        }
    }

    /// Returns the rank of a step that may request advice now.
    pub fn rank_of(&self, step: StepName) -> Option<Rank> {
        match self.steps.get(&step)? {
            State::Ready { rank, .. } => Some(*rank),
            State::Delayed { .. } => None,
        }
    }

    /// Returns the ranks of all steps that may request advice now, group by group.
    pub fn ranks(&self) -> impl Iterator<Item = Rank> {
        self.groups.iter().flat_map(|group| &group.ranks).copied()
    }

    /// Returns the number of steps that may request advice only later.
    pub fn delayed_count(&self) -> usize {
        self.delayed.len()
    }

    /// Removes and returns the delayed steps that are due at `now_ms`.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<StepName> {
        let mut due = Vec::new();
        while let Some(&(until_ms, step)) = self.delayed.first() {
            if until_ms > now_ms {
                break;
            }
            self.remove(step);
            due.push(step);
        }
        due
    }

    /// Returns whether a step of a queue other than `queue` may request advice now, with a slow call.
    pub fn has_slow_beside(&self, queue: &str) -> bool {
        let wants_slow = |group: &Group| Lanes::is_slow(group.base_ms) && !group.ranks.is_empty();
        self.groups.iter().any(|group| group.queue != queue && wants_slow(group))
    }

    /// Returns the first step after `last` whose queue may make a call. `may_call` receives the name of the queue and
    /// the minimum duration of the call in ms.
    pub fn next_after(
        &self,
        last: Option<Rank>,
        may_call: impl Fn(&str, u64) -> bool,
    ) -> Option<Rank> {
        let from = last.map_or(Bound::Unbounded, Bound::Excluded);
        let non_empty = self.groups.iter().filter(|group| !group.ranks.is_empty());
        let callable = non_empty.filter(|group| may_call(&group.queue, group.base_ms));
        callable
            .filter_map(|group| group.ranks.range((from, Bound::Unbounded)).next().copied())
            .min()
    }

    /// Returns the index of the group for a job queue and minimum call duration, and adds the group if it is new.
    fn group_index(&mut self, queue: &str, base_ms: u64) -> usize {
        let matches = |group: &Group| group.queue == queue && group.base_ms == base_ms;
        if let Some(at) = self.groups.iter().position(matches) {
            return at;
        }
        self.groups.push(Group { queue: queue.to_owned(), base_ms, ranks: BTreeSet::new() });
        self.groups.len() - 1
    }
}
