//! Lets a gang have its turn where single tasks would take all room as it comes free.

use std::time::Duration;

use lilacpass_core::MonoTime;

/// How long single batch tasks are held back at most.
const TURN: Duration = Duration::from_secs(15);
/// How long they go on undisturbed after that; a gang that fits nowhere costs no more.
const REST: Duration = Duration::from_secs(45);
/// A gang that was not asked for during this time has gone elsewhere.
const FORGET: Duration = Duration::from_secs(2);

/// Whether single batch tasks are held back for the sake of gangs.
///
/// Failure: room comes free slot by slot and single tasks take each slot at once, so a gang that
/// needs many slots at the same time waits for ever. While the turn of gangs lasts, room collects.
/// It belongs to no gang in particular, so no two gangs can wait for each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Turn {
    /// No gang is short of room.
    #[default]
    Idle,
    /// A gang has been short of room since `since`, and asked last at `asked`.
    Short { since: MonoTime, asked: MonoTime },
    /// Single batch tasks are held back.
    Gangs { until: MonoTime, asked: MonoTime },
    /// Single batch tasks go on whatever gangs need.
    Rest { until: MonoTime },
}

impl Turn {
    /// A gang found too little room.
    pub(super) fn gang_is_short(&mut self, patience: Duration, now: MonoTime) {
        *self = match *self {
            Self::Short { since, asked } if now.since(asked) <= FORGET => {
                match now.since(since) >= patience {
                    true => Self::Gangs { until: now + TURN, asked: now },
                    false => Self::Short { since, asked: now },
                }
            }
            Self::Gangs { until, .. } if until.reached(now) => Self::Rest { until: now + REST },
            Self::Gangs { until, .. } => Self::Gangs { until, asked: now },
            Self::Rest { until } if !until.reached(now) => Self::Rest { until },
            Self::Idle | Self::Short { .. } | Self::Rest { .. } => {
                Self::Short { since: now, asked: now }
            }
        };
    }

    /// A task of a gang was given.
    pub(super) fn gang_started(&mut self) {
        *self = Self::Idle;
    }

    /// Whether single batch tasks are held back at `now`.
    pub(super) fn holds_back(&self, now: MonoTime) -> bool {
        match *self {
            Self::Gangs { until, asked } => !until.reached(now) && now.since(asked) <= FORGET,
            Self::Idle | Self::Short { .. } | Self::Rest { .. } => false,
        }
    }
}
