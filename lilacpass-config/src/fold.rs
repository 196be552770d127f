//! The configuration as the fold of its stream: compare-and-set on the revision, in log order.
//!
//! Every member folds the same records by the same rule, so all agree on which of two racing
//! changes won. A member that can't reach the log adopts newer configurations from its peers and
//! takes the log up again where the adopted one stands in it.

use std::{collections::VecDeque, sync::Arc};

use lilacpass_core::ids::{Offset, Revision};
use lilacpass_schema::v1;

use crate::{change, check, problem::Problem};

/// Accepted changes that are remembered for people.
const WINDOW: usize = 256;
/// Longest name of an actor, in bytes.
const MAX_ACTOR_LEN: usize = 128;
/// Longest reason, in bytes.
const MAX_REASON_LEN: usize = 4_096;

/// What became of a change that was read from the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// It is in force with this revision.
    Accepted(Revision),
    /// It builds on another revision than the one in force.
    Conflict {
        /// The change that was accepted in its place.
        winner: v1::ConflictWinner,
    },
    /// It would break the configuration; nothing of it is in force.
    Invalid(Vec<Problem>),
    /// It was folded before, or lies below an adopted revision; what became of it then is for
    /// [`ConfigFold::was_accepted`] to say.
    Duplicate,
    /// Records before it were lost to this member, so that it can't tell. It is read again from
    /// [`ConfigFold::position`] once a snapshot or a peer's configuration has closed the gap.
    Undecided,
}

/// An accepted change, for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// Revision that it led to.
    pub revision: Revision,
    /// Revision that it built on.
    pub base: Revision,
    /// Who made it; empty where it was published without a name.
    pub actor: String,
    /// Why.
    pub reason: String,
    /// Number of its steps.
    pub ops: usize,
}

/// The configuration in force at one member.
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    revision: Revision,
    configuration: Arc<v1::Configuration>,
    /// All records before this offset are in `configuration`.
    position: Offset,
    /// Records from `position` up to this offset were dropped unread.
    lost_before: Option<Offset>,
    /// The greatest offset that was offered while there was a gap and is not below `position`.
    undecided_up_to: Option<Offset>,
    /// The last accepted changes, the oldest first.
    changes: VecDeque<AcceptedChange>,
}

impl ConfigFold {
    /// A fold that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision in force; 0 where there is none yet.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The configuration in force; empty at revision 0.
    pub fn configuration(&self) -> &Arc<v1::Configuration> {
        &self.configuration
    }

    /// The offset to read on from. It may lie behind what was read last, after
    /// [`ChangeOutcome::Undecided`].
    pub fn position(&self) -> Offset {
        self.position
    }

    /// Whether records were dropped before this member read them, so that it needs a snapshot or
    /// a peer before it can decide on changes.
    pub fn has_gap(&self) -> bool {
        self.lost_before.is_some()
    }

    /// Takes the change at `offset` of the stream. Changes come in the order of their offsets;
    /// other records may lie between them.
    pub fn fold(&mut self, offset: Offset, record: &v1::ConfigChange) -> ChangeOutcome {
        if offset < self.position {
            return ChangeOutcome::Duplicate;
        }
        if !self.decides(offset) {
            return ChangeOutcome::Undecided;
        }
        self.position = after(offset);
        let base = Revision(record.base_revision);
        if base != self.revision {
            return ChangeOutcome::Conflict { winner: self.winner(base) };
        }
        let problems = too_long(record);
        if !problems.is_empty() {
            return ChangeOutcome::Invalid(problems);
        }
        // Copies the configuration only where someone else still uses it, not while catching up.
        let configuration = Arc::make_mut(&mut self.configuration);
        match change::apply_to(configuration, &record.ops) {
            Ok(()) => ChangeOutcome::Accepted(self.accept(record)),
            Err(problems) => ChangeOutcome::Invalid(problems),
        }
    }

    /// Notes that a record at `offset` which is no change was read.
    pub fn skip(&mut self, offset: Offset) {
        if offset >= self.position && self.decides(offset) {
            self.position = after(offset);
        }
    }

    /// Notes that the log no longer keeps records before `first_kept`.
    ///
    /// Guards against a stale base that looks current: a member that missed an accepted change
    /// would else accept a change that everybody else refused, and differ from then on.
    pub fn handle_truncation(&mut self, first_kept: Offset) {
        if first_kept > self.position {
            self.lost_before = self.lost_before.max(Some(first_kept));
        }
    }

    /// Takes the configuration of a peer where it is newer. Returns whether it was taken.
    ///
    /// An accepted change at offset `n` makes revision `n + 1` and that configuration holds all
    /// that was accepted before, so reading goes on at offset `n + 1`, wherever it stood.
    pub fn adopt(&mut self, peer: &v1::ConfigSnapshot) -> bool {
        let newer = peer.revision > self.revision.0;
        let Some(configuration) = peer.configuration.as_ref().filter(|_| newer) else {
            return false;
        };
        if !check::check(configuration).is_empty() {
            return false;
        }
        self.revision = Revision(peer.revision);
        self.configuration = Arc::new(configuration.clone());
        self.move_to(Offset(peer.revision));
        true
    }

    /// Takes a whole snapshot from the stream where it covers more than was read. A snapshot in
    /// parts is put together by the caller. Returns whether this member now holds all that the
    /// snapshot covers, so that it can go on with the records behind that.
    ///
    /// A member that adopted a newer configuration before it found the snapshot has nothing to
    /// take from it, and can go on all the same.
    pub fn restore(&mut self, snapshot: &v1::Snapshot) -> bool {
        let Some(v1::snapshot::Body::Config(config)) = &snapshot.body else { return false };
        let covered = Offset(snapshot.covers_offset);
        // A revision above the offset that is covered comes from a damaged record.
        if config.revision > covered.0 {
            return false;
        }
        if covered > self.position {
            // One that covers more and holds less lacks an accepted change: no member wrote it.
            let lacking = config.revision < self.revision.0;
            let newer = config.revision > self.revision.0;
            if lacking || newer && !self.adopt(config) {
                return false;
            }
            self.move_to(covered);
        }
        !self.has_gap()
    }

    /// Whether the change at `offset` is known to have been accepted.
    ///
    /// After [`ChangeOutcome::Duplicate`], `false` says that it may have been: a member that
    /// adopts a revision before it reads how that came about skips the records in between, of
    /// which only the last one is known to be an accepted one.
    pub fn was_accepted(&self, offset: Offset) -> bool {
        let revision = Revision(after(offset).0);
        revision == self.revision || self.changes.iter().any(|c| c.revision == revision)
    }

    /// The offset that a snapshot written to the stream now covers; `None` where this member
    /// missed records or holds nothing, and must write none.
    pub fn covers(&self) -> Option<Offset> {
        (self.revision.0 > 0 && !self.has_gap()).then_some(self.position)
    }

    /// The configuration in force, for peers and snapshots; `None` where there is none yet.
    pub fn snapshot(&self) -> Option<v1::ConfigSnapshot> {
        (self.revision.0 > 0).then(|| v1::ConfigSnapshot {
            revision: self.revision.0,
            configuration: Some((*self.configuration).clone()),
        })
    }

    /// The change that was accepted on top of `base`; the last one where that is not known.
    pub fn winner(&self, base: Revision) -> v1::ConflictWinner {
        let on_top = self.changes.iter().find(|change| change.base == base);
        let last = || self.changes.back().filter(|change| change.revision == self.revision);
        match on_top.or_else(last) {
            Some(change) => v1::ConflictWinner {
                revision: change.revision.0,
                actor: change.actor.clone(),
                detail: change.reason.clone(),
            },
            None => v1::ConflictWinner {
                revision: self.revision.0,
                actor: String::new(),
                detail: "learnt from a peer or a snapshot".to_owned(),
            },
        }
    }

    /// The last accepted changes that this member read, the newest first.
    pub fn changes(&self) -> impl Iterator<Item = &AcceptedChange> {
        self.changes.iter().rev()
    }

    /// Whether all records before `offset` were taken.
    ///
    /// Guards against a reader that goes on behind a snapshot in the middle of what it fetched:
    /// the records between the offset that the snapshot covers and the snapshot itself were
    /// offered before it and could not be decided on. Until the reader has gone back to them
    /// nothing behind them is decided, or this member would miss the changes among them.
    fn decides(&mut self, offset: Offset) -> bool {
        let ahead = self.undecided_up_to.is_some_and(|last| offset > last);
        if self.has_gap() || ahead {
            self.undecided_up_to = self.undecided_up_to.max(Some(offset));
            return false;
        }
        self.undecided_up_to = None;
        true
    }

    fn accept(&mut self, record: &v1::ConfigChange) -> Revision {
        let base = self.revision;
        // Revision 0 means none, so the change at offset 0 makes revision 1.
        self.revision = Revision(self.position.0);
        if self.changes.len() == WINDOW {
            self.changes.pop_front();
        }
        self.changes.push_back(AcceptedChange {
            revision: self.revision,
            base,
            actor: record.actor.clone(),
            reason: record.reason.clone(),
            ops: record.ops.len(),
        });
        self.revision
    }

    /// Goes on at `position`, and closes the gap where it lies before that.
    fn move_to(&mut self, position: Offset) {
        self.position = self.position.max(position);
        self.lost_before = self.lost_before.filter(|lost| *lost > self.position);
        self.undecided_up_to = self.undecided_up_to.filter(|last| *last >= self.position);
    }
}

impl From<&AcceptedChange> for v1::ChangeView {
    fn from(change: &AcceptedChange) -> Self {
        Self {
            revision: change.revision.0,
            actor: change.actor.clone(),
            reason: change.reason.clone(),
            ops: u32::try_from(change.ops).unwrap_or(u32::MAX),
        }
    }
}

/// The offset behind `offset`; a foreign log may hold any number.
fn after(offset: Offset) -> Offset {
    Offset(offset.0.saturating_add(1))
}

fn too_long(record: &v1::ConfigChange) -> Vec<Problem> {
    [("actor", &record.actor, MAX_ACTOR_LEN), ("reason", &record.reason, MAX_REASON_LEN)]
        .into_iter()
        .filter(|(_, text, max)| text.len() > *max)
        .map(|(field, _, max)| Problem::new(field, format!("must be at most {max} bytes")))
        .collect()
}
