//! Amounts of the resources that workers offer and tasks need: processors, memory, accelerators and slots.

use std::fmt;

use crate::size::{Accelerators, Mebibytes, Millicores, Slots};

/// An amount of each resource, such as the capacity of a worker or the need of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: Millicores,
    /// Memory, in mebibytes.
    pub memory: Mebibytes,
    /// Number of accelerators.
    pub accelerators: Accelerators,
    /// Number of task slots.
    pub slots: Slots,
}

impl Resources {
    /// Zero of every resource.
    pub const ZERO: Self = Self {
        cpu: Millicores(0),
        memory: Mebibytes(0),
        accelerators: Accelerators(0),
        slots: Slots(0),
    };

    /// Creates an amount from plain numbers: thousandths of a core, mebibytes, accelerators and slots.
    pub fn new(cpu_milli: u64, memory_mib: u64, accelerators: u64, slots: u64) -> Self {
        Self {
            cpu: Millicores(cpu_milli),
            memory: Mebibytes(memory_mib),
            accelerators: Accelerators(accelerators),
            slots: Slots(slots),
        }
    }

    /// Returns whether this amount is at most `available` in every resource.
    pub fn fits(&self, available: &Self) -> bool {
        self.cpu <= available.cpu
            && self.memory <= available.memory
            && self.accelerators <= available.accelerators
            && self.slots <= available.slots
    }

    /// Adds the amounts of each resource. Saturates on overflow.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Subtracts the amounts of each resource. Saturates at zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Multiplies the amount of each resource by `count`. Saturates on overflow.
    #[must_use]
    pub fn times(&self, count: u64) -> Self {
        self.zip(&Self::ZERO, |amount, _| amount.saturating_mul(count))
    }

    /// Returns the greater amount of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Returns half the amount of each resource, rounded down.
    #[must_use]
    pub fn half(&self) -> Self {
        self.zip(&Self::ZERO, |a, _| a / 2)
    }

    /// Returns whether the amount of every resource is zero.
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }

    /// Applies `f` to the two amounts of each resource.
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
