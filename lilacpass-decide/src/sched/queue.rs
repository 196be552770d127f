//! The queue of one class: a line per team, and within it a line per account priority.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
};

use lilacpass_core::ids::{TaskId, TeamId};

/// A place in a line. It is stale once the task has left the queue.
pub(super) type Ticket = (u64, TaskId);

/// Stale places that are put up with before a line is cleaned.
const MAX_STALE: usize = 64;

/// The line of one team.
#[derive(Clone, Debug)]
pub(super) struct Line {
    pub(super) team: TeamId,
    /// Tasks that wait.
    pub(super) live: usize,
    levels: BTreeMap<Reverse<u32>, VecDeque<Ticket>>,
    places: usize,
}

impl Line {
    /// The places in order, stale ones included.
    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = &Ticket> {
        self.levels.values().flatten()
    }

    /// The first place of each priority that is not stale.
    pub(super) fn heads(&self, is_live: impl Fn(&Ticket) -> bool) -> impl Iterator<Item = &Ticket> {
        self.levels.values().filter_map(move |level| level.iter().find(|t| is_live(t)))
    }
}

/// The lines of all teams in one class.
///
/// Taking a task out only makes its place stale, so that a wave of cancellations costs a constant
/// time for each; a line is cleaned once most of it is stale.
#[derive(Clone, Debug, Default)]
pub(super) struct Lines {
    pub(super) lines: Vec<Line>,
    /// Tasks that wait.
    pub(super) live: usize,
}

impl Lines {
    pub(super) fn push(&mut self, team: &TeamId, priority: u32, ticket: Ticket) {
        let at = match self.lines.iter().position(|line| line.team == *team) {
            Some(at) => at,
            None => {
                self.lines.push(Line {
                    team: team.clone(),
                    live: 0,
                    levels: BTreeMap::new(),
                    places: 0,
                });
                self.lines.len() - 1
            }
        };
        let line = &mut self.lines[at];
        line.levels.entry(Reverse(priority)).or_default().push_back(ticket);
        line.live += 1;
        line.places += 1;
        self.live += 1;
    }

    /// Counts one task of `team` as gone; `is_live` tells stale places.
    pub(super) fn left(&mut self, team: &TeamId, is_live: impl Fn(&Ticket) -> bool) {
        let Some(at) = self.lines.iter().position(|line| line.team == *team) else { return };
        let line = &mut self.lines[at];
        line.live -= 1;
        self.live -= 1;
        if line.places > 2 * line.live + MAX_STALE {
            line.levels.values_mut().for_each(|level| level.retain(|t| is_live(t)));
            line.levels.retain(|_, level| !level.is_empty());
            line.places = line.live;
        }
        if line.live == 0 {
            self.lines.swap_remove(at);
        }
    }

    /// Drops the stale places at the front of each priority.
    pub(super) fn trim(&mut self, is_live: impl Fn(&Ticket) -> bool) {
        for line in &mut self.lines {
            for level in line.levels.values_mut() {
                while level.front().is_some_and(|t| !is_live(t)) {
                    level.pop_front();
                    line.places -= 1;
                }
            }
        }
    }

    pub(super) fn live_of(&self, team: &TeamId) -> usize {
        self.lines.iter().find(|line| line.team == *team).map_or(0, |line| line.live)
    }
}
