//! Whether the leader keeps up, and how much it takes on where it does not.
//!
//! Load pattern: more work is handed in, or more waits, than the leader's processor can decide. A round of
//! deciding then looks at hundreds of steps, and all that comes meanwhile waits behind it: looks at workers,
//! by which leases are extended, ends, and answers to callers. Accepted tasks are left standing beside free workers.
//!
//! What shows shortage is read off the leader itself: how late its ticks are, how long a turn of all waiting
//! steps takes (`turn.rs`), and how many steps have changed that it has not looked at since. The last two do not
//! count what waits for room: where there is no room, looking at a step once changes nothing.

use crate::{event::Now, requests};

/// Time between two ticks of a leader that keeps up.
const TICK_MS: u64 = 50;
/// Mean delay of ticks that shows a leader without time to spare: rounds follow each other without a pause.
const LATE_MS: u64 = 20;
/// Mean delay below which a round may do more.
const IN_TIME_MS: u64 = 5;
/// Ticks over which the mean is taken.
const TICKS: usize = 4;
/// A tick counts as no later than this, so that one alone is no sign: a leader that was suspended has one late tick,
/// and then keeps up.
const MOST_LATE_MS: u64 = 60;
/// Steps that a round may look at, at first. Cells that are merely full have fewer waiting steps.
const TRIES_AT_FIRST: u64 = 128;
/// Fewest and most steps that a round may look at. With the fewest each kind of look gets at least one.
const TRIES_BOUNDS: (u64, u64) = (8, 4_096);
/// New jobs are refused while more steps have changed, and were not looked at since, than two rounds may look at...
const MOST_ROUNDS_BEHIND: u64 = 2;
/// ... and than the leader has of late looked at in this time. More of it is work that is accepted and then waits.
const MOST_BEHIND_MS: u64 = 250;
/// So many changed steps never count as too many: a job of some tens of steps is no rush.
const FEWEST_UNSEEN: u64 = 64;
/// Weight of a tick in the rate at which steps are looked at: half a second counts.
const RATE_WEIGHT: f64 = 0.1;
/// New jobs are refused from this delay of ticks on: all that comes waits for so long, and callers of short jobs
/// notice. They are taken again below the second figure.
const REFUSE_LATE_MS: (u64, u64) = (700, 300);
/// The same for a turn of all waiting steps: it is what an accepted job may lose by it beyond its wait for room.
const REFUSE_TURN_MS: (u64, u64) = (2_000, 1_000);
/// How long nothing must be amiss until the leader counts as keeping up again.
const HOLD_MS: u64 = 1_000;

/// What the leader does about shortage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// It keeps up.
    #[default]
    KeepsUp,
    /// It is behind: a round looks at few steps, and the others get their turns.
    Behind,
    /// It refuses new jobs besides.
    Refuses,
}

impl Level {
    /// The level as a word, for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::KeepsUp => "keeps up",
            Self::Behind => "is behind",
            Self::Refuses => "refuses new jobs",
        }
    }
}

/// What was seen of the leader's own delay, and what follows.
#[derive(Debug)]
pub struct Pressure {
    late_ms: [u64; TICKS],
    last_tick_ms: u64,
    turn_ms: u64,
    tries: u64,
    /// Steps that were looked at until the last tick, and how many a second of late.
    tries_done: u64,
    tries_a_second: f64,
    /// A round since the last tick could not look at all it had to.
    was_cut: bool,
    is_refusing: bool,
    sign_ms: Option<u64>,
    refused_ms: Option<u64>,
    level: Level,
}

impl Pressure {
    /// A leader that begins at `now`.
    pub fn new(now: Now) -> Self {
        Self {
            late_ms: [0; TICKS],
            last_tick_ms: now.steady_ms,
            turn_ms: 0,
            tries: TRIES_AT_FIRST,
            tries_done: 0,
            tries_a_second: 0.0,
            was_cut: false,
            is_refusing: false,
            sign_ms: None,
            refused_ms: None,
            level: Level::KeepsUp,
        }
    }

    /// Takes in a tick, how long a turn of all waiting steps takes, and how many steps were looked at so far. Returns
    /// the level if it has changed.
    pub fn tick(&mut self, turn_ms: u64, tries_done: u64, now: Now) -> Option<Level> {
        self.note_tries(tries_done, now);
        let late_ms = now.steady_ms.saturating_sub(self.last_tick_ms + TICK_MS);
        self.last_tick_ms = now.steady_ms;
        self.late_ms.rotate_left(1);
        self.late_ms[TICKS - 1] = late_ms;
        self.turn_ms = turn_ms;
        self.adapt();
        if self.mean_late_ms() >= LATE_MS {
            self.sign_ms = Some(now.steady_ms);
        }
        let is_refusing = self.is_refusing;
        let exceeds = |ms, (from_ms, below_ms)| ms >= if is_refusing { below_ms } else { from_ms };
        self.is_refusing =
            exceeds(self.late_ms(), REFUSE_LATE_MS) || exceeds(turn_ms, REFUSE_TURN_MS);
        self.change_level(now)
    }

    fn note_tries(&mut self, tries_done: u64, now: Now) {
        let elapsed_ms = now.steady_ms.saturating_sub(self.last_tick_ms).max(1);
        let tries = tries_done - self.tries_done;
        let a_second = tries as f64 * 1_000.0 / elapsed_ms as f64;
        self.tries_a_second += (a_second - self.tries_a_second) * RATE_WEIGHT;
        self.tries_done = tries_done;
    }

    /// Halves what a round may look at while ticks are late, and doubles it where a round could do more in time.
    fn adapt(&mut self) {
        let (fewest, most) = TRIES_BOUNDS;
        let late_ms = self.mean_late_ms();
        if late_ms >= LATE_MS {
            self.tries = (self.tries / 2).max(fewest);
        } else if late_ms <= IN_TIME_MS && self.was_cut {
            self.tries = (self.tries * 2).min(most);
        }
        self.was_cut = false;
    }

    fn change_level(&mut self, now: Now) -> Option<Level> {
        let lately = |ms: Option<u64>| ms.is_some_and(|ms| now.steady_ms < ms + HOLD_MS);
        let level = if self.is_refusing || lately(self.refused_ms) {
            Level::Refuses
        } else if lately(self.sign_ms) {
            Level::Behind
        } else {
            Level::KeepsUp
        };
        let before = std::mem::replace(&mut self.level, level);
        (before != level).then_some(level)
    }

    /// What the leader does about shortage now.
    pub fn level(&self) -> Level {
        self.level
    }

    /// How far the leader is behind: the delay of each of the last ticks, or the turn of all waiting steps.
    pub fn behind_ms(&self) -> u64 {
        self.late_ms().max(self.turn_ms)
    }

    /// The delay of each of the last ticks, at least.
    fn late_ms(&self) -> u64 {
        self.late_ms.iter().min().copied().unwrap_or(0)
    }

    fn mean_late_ms(&self) -> u64 {
        let sum_ms: u64 = self.late_ms.iter().map(|ms| (*ms).min(MOST_LATE_MS)).sum();
        sum_ms / TICKS as u64
    }

    /// Steps that a round may look at.
    pub fn max_steps_per_round(&self) -> u64 {
        self.tries
    }

    /// A round could not look at all it had to.
    pub fn record_cut_round(&mut self) {
        self.was_cut = true;
    }

    /// Whether a new job is to be refused, where so many steps have changed that were not looked at since; and
    /// if so, when its caller may come back, in ms.
    pub fn check_refusal(&mut self, unseen: usize, now: Now) -> Option<u32> {
        let is_full = unseen as u64 >= self.most_unseen();
        if !self.is_refusing && !is_full {
            return None;
        }
        self.refused_ms = Some(now.steady_ms);
        Some(requests::retry_after_ms(self.behind_ms()))
    }

    /// How many steps may have changed and not been looked at since.
    fn most_unseen(&self) -> u64 {
        let of_late = self.tries_a_second * MOST_BEHIND_MS as f64 / 1_000.0;
        (self.tries * MOST_ROUNDS_BEHIND).max(of_late as u64).max(FEWEST_UNSEEN)
    }
}
