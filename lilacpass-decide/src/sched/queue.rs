//! The queue of one class: a line per team, and within it a list per account priority.

use std::{cmp::Reverse, collections::BTreeMap};

use lilacpass_core::ids::{TaskId, TeamId};

use crate::map::Map;

/// No node.
const NIL: u32 = u32::MAX;
/// Lines from which on an empty one is used again for another team.
const MAX_IDLE_LINES: usize = 1_024;

/// Where a task waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    line: u32,
    priority: u32,
    node: u32,
}

/// A task in a list.
#[derive(Clone, Copy, Debug)]
struct Node {
    task: TaskId,
    prev: u32,
    next: u32,
}

/// The ends of a doubly linked list.
#[derive(Clone, Copy, Debug)]
struct List {
    head: u32,
    tail: u32,
}

/// The line of one team.
#[derive(Clone, Debug)]
pub(super) struct Line {
    pub(super) team: TeamId,
    /// Tasks that wait.
    pub(super) live: usize,
    levels: BTreeMap<Reverse<u32>, List>,
}

/// The lines of all teams in one class.
///
/// Tasks are linked in lists, so that each of a wave of cancellations costs a constant time and
/// leaves nothing behind that a later search would have to skip.
#[derive(Clone, Debug, Default)]
pub(super) struct Lines {
    lines: Vec<Line>,
    numbers: Map<TeamId, u32>,
    nodes: Vec<Node>,
    free: Vec<u32>,
    /// Tasks that wait.
    pub(super) live: usize,
}

impl Lines {
    pub(super) fn push(&mut self, team: &TeamId, priority: u32, task: TaskId) -> Place {
        let number = self.line_of(team);
        let node = self.free.pop().unwrap_or(self.nodes.len() as u32);
        let line = &mut self.lines[number as usize];
        let list = line.levels.entry(Reverse(priority)).or_insert(List { head: NIL, tail: NIL });
        let entry = Node { task, prev: list.tail, next: NIL };
        match self.nodes.get_mut(node as usize) {
            Some(slot) => *slot = entry,
            None => self.nodes.push(entry),
        }
        match list.tail {
            NIL => list.head = node,
            tail => self.nodes[tail as usize].next = node,
        }
        list.tail = node;
        line.live += 1;
        self.live += 1;
        Place { line: number, priority, node }
    }

    pub(super) fn remove(&mut self, place: Place) {
        let Node { prev, next, .. } = self.nodes[place.node as usize];
        let line = &mut self.lines[place.line as usize];
        let Some(list) = line.levels.get_mut(&Reverse(place.priority)) else { return };
        match prev {
            NIL => list.head = next,
            prev => self.nodes[prev as usize].next = next,
        }
        match next {
            NIL => list.tail = prev,
            next => self.nodes[next as usize].prev = prev,
        }
        if list.head == NIL {
            line.levels.remove(&Reverse(place.priority));
        }
        line.live -= 1;
        self.live -= 1;
        self.free.push(place.node);
    }

    /// The lines in which tasks wait, with their numbers.
    pub(super) fn busy(&self) -> impl Iterator<Item = (usize, &Line)> {
        self.lines.iter().enumerate().filter(|(_, line)| line.live > 0)
    }

    pub(super) fn get(&self, line: usize) -> &Line {
        &self.lines[line]
    }

    /// The tasks of a line in order.
    pub(super) fn tasks(&self, line: usize) -> impl Iterator<Item = TaskId> {
        self.lines[line].levels.values().flat_map(|list| self.follow(list.head))
    }

    /// The first task of each priority of all lines.
    pub(super) fn heads(&self) -> impl Iterator<Item = TaskId> {
        let lists = self.busy().flat_map(|(_, line)| line.levels.values());
        lists.map(|list| self.nodes[list.head as usize].task)
    }

    /// The task that came last in the longest line, of those with the least priority.
    pub(super) fn newest(&self) -> Option<TaskId> {
        let (_, longest) = self.busy().max_by_key(|(_, line)| line.live)?;
        let (_, list) = longest.levels.last_key_value()?;
        Some(self.nodes[list.tail as usize].task)
    }

    pub(super) fn live_of(&self, team: &TeamId) -> usize {
        self.numbers.get(team).map_or(0, |&number| self.lines[number as usize].live)
    }

    fn follow(&self, head: u32) -> impl Iterator<Item = TaskId> {
        let node = |at: u32| self.nodes.get(at as usize);
        std::iter::successors(node(head), move |n| node(n.next)).map(|n| n.task)
    }

    fn line_of(&mut self, team: &TeamId) -> u32 {
        if let Some(&number) = self.numbers.get(team) {
            return number;
        }
        let new = Line { team: team.clone(), live: 0, levels: BTreeMap::new() };
        let idle = match self.lines.len() {
            ..MAX_IDLE_LINES => None,
            _ => self.lines.iter().position(|line| line.live == 0),
        };
        let number = match idle {
            Some(number) => {
                let old = std::mem::replace(&mut self.lines[number], new);
                self.numbers.remove(&old.team);
                number
            }
            None => {
                self.lines.push(new);
                self.lines.len() - 1
            }
        };
        self.numbers.insert(team.clone(), number as u32);
        number as u32
    }
}
