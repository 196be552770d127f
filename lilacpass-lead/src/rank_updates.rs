//! Gives waiting steps new ranks.
//!
//! Several sets are ordered by rank. A step that has one rank in one of them and another in the next would stay in a set
//! for ever, or be scheduled out of order.

use lilacpass_jobs::StepName;

use crate::{
    job_entry::JobEntry,
    leader::Leader,
    rank::{self, Rank},
};

impl Leader {
    /// Computes the present rank of a step.
    pub(crate) fn compute_rank(&self, entry: &JobEntry, step: StepName) -> Rank {
        rank::of_step(&entry.job, step, self.fair_use.band_of(entry.account))
    }

    /// Moves a waiting step to its present rank in all sets that are ordered by rank. Must not be called during a round,
    /// which goes through the steps by rank.
    pub(crate) fn update_rank(&mut self, step: StepName) {
        let Some(entry) = self.jobs.get(&step.job) else { return };
        let Some(former) = self.waiting.rank_of(step) else { return };
        let rank = self.compute_rank(entry, step);
        if rank == former {
            return;
        }
        self.waiting.set_rank(rank);
        self.advice_queue.set_rank(rank);
        self.reservations.set_rank(rank);
        self.scan.record_move(&former, &rank);
        self.work.steps_moved += 1;
    }

    /// Returns a step whose rank in some set is not its present one, for tests; `None` if there is none.
    pub fn find_misplaced_step(&self) -> Option<StepName> {
        let mut queued = self.advice_queue.ranks();
        let is_outdated = |rank: &Rank| self.advice_queue.rank_of(rank.step) != Some(*rank);
        if let Some(rank) = queued.find(is_outdated) {
            return Some(rank.step);
        }
        self.waiting.in_order().find_map(|rank| {
            let step = rank.step;
            let expected = self.jobs.get(&step.job).map(|entry| self.compute_rank(entry, step));
            let is_placed = expected == Some(rank)
                && self.waiting.is_consistent(step)
                && self.advice_queue.rank_of(step).is_none_or(|other| other == rank)
                && self.reservations.is_consistent(&rank);
            (!is_placed).then_some(step)
        })
    }
}
