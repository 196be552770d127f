//! One worker of a pool: what it has, what is given and held on it, and what is known of it.

use lilacpass_core::{
    Class, Resources,
    ids::{DataCentreId, RackId, TaskId, WorkerId},
};

use crate::pool::health::Health;

/// A worker, as the inventory describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Its name.
    pub id: WorkerId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its rack.
    pub rack: RackId,
    /// What it has.
    pub capacity: Resources,
    /// Whether operators are emptying it: nothing new is placed there.
    pub draining: bool,
    /// The most connections to it; each task that is given or held takes one.
    pub connections: u32,
}

/// One worker and what is on it.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    /// Whether the inventory has it. A worker that was removed stays until its last task ends.
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    pub(crate) limit: Resources,
    pub(crate) given: Resources,
    pub(crate) held: Resources,
    /// The number of tasks held.
    pub(crate) holds: u32,
    pub(crate) tasks: Vec<TaskId>,
    pub(crate) rack: u32,
    pub(crate) health: Health,
    /// Tasks that are given, per class.
    pub(crate) running: [u32; Class::ALL.len()],
}

impl Worker {
    pub(crate) fn new(spec: WorkerSpec, rack: u32) -> Self {
        Self {
            spec,
            listed: true,
            leaving: false,
            limit: Resources::ZERO,
            given: Resources::ZERO,
            held: Resources::ZERO,
            holds: 0,
            tasks: Vec::new(),
            rack,
            health: Health::default(),
            running: [0; Class::ALL.len()],
        }
    }

    /// The most that may be given in all.
    pub(crate) fn allowed(&self) -> Resources {
        self.limit.min(&self.spec.capacity)
    }

    /// What may still be given, whatever the state of the worker.
    pub(crate) fn room(&self) -> Resources {
        self.allowed().minus(&self.given).minus(&self.held)
    }

    /// Whether the worker takes anything new at all, its health aside.
    pub(crate) fn is_open(&self) -> bool {
        self.listed && !self.leaving && !self.spec.draining
    }

    pub(crate) fn has_connection(&self) -> bool {
        (self.tasks.len() as u64 + u64::from(self.holds)) < u64::from(self.spec.connections)
    }

    /// Whether nothing refers to the worker any more.
    pub(crate) fn is_forgotten(&self) -> bool {
        !self.listed && self.tasks.is_empty() && self.holds == 0
    }
}

impl WorkerSpec {
    /// A worker of which only the name is known; it takes nothing.
    pub(crate) fn unknown(id: WorkerId) -> Self {
        Self {
            id,
            data_centre: DataCentreId::new("unknown"),
            rack: RackId::new("unknown"),
            capacity: Resources::ZERO,
            draining: true,
            connections: 0,
        }
    }
}
