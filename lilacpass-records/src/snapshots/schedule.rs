//! When a snapshot is due, and which member writes it.

use std::time::Duration;

use lilacpass_core::{
    MonoTime,
    ids::{InstanceId, Offset},
};
use lilacpass_schema::v1;

use super::assembler::Assembler;

/// When snapshots are written.
#[derive(Clone, Debug)]
pub struct ScheduleOptions {
    /// Records after the last snapshot that make the next one due; default 50,000.
    pub every_records: u64,
    /// Time after which one is due even on a quiet stream, well below the time that the log keeps
    /// records; default one hour.
    pub max_age: Duration,
    /// Least time between two; default one minute. Keeps a state that is large against what the
    /// log keeps from being written over and over.
    pub min_interval: Duration,
    /// Time that each member gives the one before it to begin or go on; default 10 s.
    pub take_over: Duration,
}

impl Default for ScheduleOptions {
    fn default() -> Self {
        Self {
            every_records: 50_000,
            max_age: Duration::from_secs(3_600),
            min_interval: Duration::from_secs(60),
            take_over: Duration::from_secs(10),
        }
    }
}

/// Follows the snapshots of one stream and says when this member has to write one.
///
/// Times are those of this member and decide only who writes; two snapshots at once do no harm.
#[derive(Clone, Debug)]
pub struct Schedule {
    options: ScheduleOptions,
    assembler: Assembler,
    /// Offset that the last complete snapshot covers.
    covers: Offset,
    /// Offset behind its last part.
    end: Offset,
    /// When it was seen to be complete, or when following began.
    last_at: MonoTime,
    /// Since when one is due.
    due_since: Option<MonoTime>,
    /// When a part of an incomplete one was last seen, or this member last began.
    busy_at: Option<MonoTime>,
}

impl Schedule {
    /// Begins at `now`, with no snapshot seen.
    pub fn new(options: ScheduleOptions, now: MonoTime) -> Self {
        Self {
            options,
            assembler: Assembler::default(),
            covers: Offset(0),
            end: Offset(0),
            last_at: now,
            due_since: None,
            busy_at: None,
        }
    }

    /// Takes in a snapshot part that was read at `offset`.
    pub fn saw_part(&mut self, offset: Offset, part: &v1::Snapshot, now: MonoTime) {
        let Some(complete) = self.assembler.add(offset, part) else {
            self.busy_at = Some(now);
            return;
        };
        self.busy_at = None;
        if complete.covers < self.covers {
            return;
        }
        self.covers = complete.covers;
        self.end = offset.next();
        self.last_at = now;
        self.due_since = None;
    }

    /// Offset that the last complete snapshot covers; 0 without any. Varies the order of writers.
    pub fn covers(&self) -> Offset {
        self.covers
    }

    /// Whether this member has to write a snapshot now; it then calls [`Schedule::began`].
    ///
    /// `next` is the offset up to which it has folded, at the tail; `oldest` the oldest one that
    /// the log keeps; `rank` its place in the order of writers (see [`rank`]).
    pub fn due(&mut self, next: Offset, oldest: Offset, rank: usize, now: MonoTime) -> bool {
        if !self.wanted(next, oldest, now) {
            self.due_since = None;
            return false;
        }
        let due_since = *self.due_since.get_or_insert(now);
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let my_turn = due_since + self.options.take_over.saturating_mul(rank);
        let free = self.busy_at.is_none_or(|at| now.since(at) >= self.options.take_over);
        free && my_turn.reached(now)
    }

    /// This member has begun to write one.
    pub fn began(&mut self, now: MonoTime) {
        self.busy_at = Some(now);
    }

    fn wanted(&self, next: Offset, oldest: Offset, now: MonoTime) -> bool {
        let age = now.since(self.last_at);
        if next.0 == 0 || age < self.options.min_interval {
            return false;
        }
        let many = next.0.saturating_sub(self.end.0) >= self.options.every_records;
        many || age >= self.options.max_age || self.is_being_lost(next, oldest)
    }

    /// Whether the log has begun to drop records and the last snapshot stands in the older half of
    /// what it keeps: it would be dropped next, and with it the only way for a new member to start.
    fn is_being_lost(&self, next: Offset, oldest: Offset) -> bool {
        let kept = next.0.saturating_sub(oldest.0);
        oldest.0 > 0 && self.covers.0.saturating_sub(oldest.0) < kept / 2
    }
}

/// Place of `member` in the order in which `members` write the snapshot after the one that covers
/// `round`: the first writes, the others only if it does not. The order changes with the round.
pub fn rank<'a>(
    member: &InstanceId,
    members: impl IntoIterator<Item = &'a InstanceId>,
    round: Offset,
) -> usize {
    let weight = |member: &InstanceId| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&round.0.to_le_bytes());
        hasher.update(member.as_str().as_bytes());
        (*hasher.finalize().as_bytes(), member.clone())
    };
    let mine = weight(member);
    members.into_iter().filter(|other| weight(other) < mine).count()
}
