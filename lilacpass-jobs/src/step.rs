//! The state of a step in one occurrence of a job: its tasks, and what is derived from them.
//!
//! A leader changes one task at a time, thousands of times a second, and steps have up to thousands of tasks. So the
//! numbers of tasks by state, and the encoded tasks, are kept and not computed from all tasks each time.

use std::{cell::OnceCell, collections::BTreeSet};

use crate::{record, task::Task};

/// The state of a step in one occurrence of a job.
#[derive(Clone, Debug)]
pub struct Step {
    tasks: Vec<Task>,
    /// Indices of the tasks that wait.
    waiting: BTreeSet<u32>,
    done: usize,
    /// Sum of [`record::min_task_len`] over all tasks.
    min_record_bytes: usize,
    /// The encoded tasks, as far as they were needed since their last change.
    encoded: Vec<OnceCell<Box<[u8]>>>,
}

impl Step {
    /// Creates a step of which all tasks wait.
    pub fn new(count: u32) -> Self {
        let count_usize = count as usize;
        Self {
            tasks: vec![Task::default(); count_usize],
            waiting: (0..count).collect(),
            done: 0,
            min_record_bytes: 0,
            encoded: vec![OnceCell::new(); count_usize],
        }
    }

    /// Returns the tasks by index.
    pub fn tasks(&self) -> &[Task] {
        &self.tasks
    }

    /// Returns the length of the encoded tasks without what may be left out.
    pub fn min_record_bytes(&self) -> usize {
        self.min_record_bytes
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Returns whether all tasks are waiting. A gang can only start in this state.
    pub fn all_waiting(&self) -> bool {
        self.waiting.len() == self.tasks.len()
    }

    /// Returns the indices of the waiting tasks in ascending order.
    pub fn waiting(&self) -> impl ExactSizeIterator<Item = u32> {
        self.waiting.iter().copied()
    }

    /// Changes a task. Returns `None` if there is no such task.
    pub fn change<R>(&mut self, index: u32, change: impl FnOnce(&mut Task) -> R) -> Option<R> {
        let position = index as usize;
        let task = self.tasks.get_mut(position)?;
        let was_done = task.done;
        self.min_record_bytes -= record::min_task_len(task);
        let result = change(task);
        self.min_record_bytes += record::min_task_len(task);
        if task.is_waiting() {
            self.waiting.insert(index);
        } else {
            self.waiting.remove(&index);
        }
        self.done = self.done + usize::from(task.done) - usize::from(was_done);
        if let Some(encoded) = self.encoded.get_mut(position) {
            encoded.take();
        }
        Some(result)
    }

    /// Changes all tasks.
    pub fn change_all(&mut self, mut change: impl FnMut(&mut Task)) {
        for index in 0..self.tasks.len() as u32 {
            self.change(index, &mut change);
        }
    }

    /// Returns an encoded task. `encode` is called only if the task has changed since the last call.
    pub fn encoded(&self, index: u32, encode: impl FnOnce(&Task) -> Vec<u8>) -> Option<&[u8]> {
        let task = self.tasks.get(index as usize)?;
        let encoded = self.encoded.get(index as usize)?;
        Some(encoded.get_or_init(|| encode(task).into_boxed_slice()))
    }

    /// Drops the encoded tasks. [`Step::encoded`] returns none any more.
    pub fn drop_encoded(&mut self) {
        self.encoded = Vec::new();
    }
}

impl PartialEq for Step {
    fn eq(&self, other: &Self) -> bool {
        // The rest is derived from the tasks.
        self.tasks == other.tasks
    }
}

impl Eq for Step {}
