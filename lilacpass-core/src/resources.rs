//! What a worker has and a task needs: processors, memory, accelerators and slots.

use std::fmt;

use crate::size::{Accelerators, Mebibytes, Millicores, Slots};

/// An amount of each resource of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Resources {
    /// Processors.
    pub cpu: Millicores,
    /// Memory.
    pub memory: Mebibytes,
    /// Accelerators.
    pub accelerators: Accelerators,
    /// Task slots.
    pub slots: Slots,
}

impl Resources {
    /// Nothing of any resource.
    pub const ZERO: Self = Self {
        cpu: Millicores(0),
        memory: Mebibytes(0),
        accelerators: Accelerators(0),
        slots: Slots(0),
    };

    /// Builds an amount from plain numbers: millicores, mebibytes, accelerators, slots.
    pub fn new(cpu_milli: u64, memory_mib: u64, accelerators: u64, slots: u64) -> Self {
        Self {
            cpu: Millicores(cpu_milli),
            memory: Mebibytes(memory_mib),
            accelerators: Accelerators(accelerators),
            slots: Slots(slots),
        }
    }

    /// Whether this amount is no more than `room` in every resource.
    pub fn fits(&self, room: &Self) -> bool {
        self.cpu <= room.cpu
            && self.memory <= room.memory
            && self.accelerators <= room.accelerators
            && self.slots <= room.slots
    }

    /// Adds resource by resource.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Subtracts resource by resource, ending at zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// So many times as much of each resource.
    #[must_use]
    pub fn times(&self, count: u64) -> Self {
        self.zip(&Self::ZERO, |amount, _| amount.saturating_mul(count))
    }

    /// The greater of both, resource by resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, u64::max)
    }

    /// The smaller of both, resource by resource.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Half of each resource, rounded down.
    #[must_use]
    pub fn half(&self) -> Self {
        self.zip(&Self::ZERO, |a, _| a / 2)
    }

    /// Whether nothing of any resource is left.
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }

    /// Combines both, resource by resource.
    fn zip(&self, other: &Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self::new(
            f(self.cpu.0, other.cpu.0),
            f(self.memory.0, other.memory.0),
            f(self.accelerators.0, other.accelerators.0),
            f(self.slots.0, other.slots.0),
        )
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {} {}", self.cpu, self.memory, self.accelerators, self.slots)
    }
}
