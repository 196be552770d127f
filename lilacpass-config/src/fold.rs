//! Derives the configuration by folding its stream: records are applied in log order, each as a compare-and-set on
//! the revision.
//!
//! Every member folds the same records by the same rule, so all members agree on which of two concurrent changes won.
//! A member that cannot reach the log adopts newer configurations from its peers, and later resumes reading at the log
//! position of the configuration that it adopted.

use std::{collections::VecDeque, sync::Arc};

use lilacpass_core::ids::{Offset, Revision};
use lilacpass_schema::v1;

use crate::{change, check, problem::Problem};

/// Maximum number of accepted changes that are kept for display to operators.
const MAX_KEPT_CHANGES: usize = 256;
/// Maximum length of the name of an actor, in bytes.
const MAX_ACTOR_LEN: usize = 128;
/// Maximum length of the reason of a change, in bytes.
const MAX_REASON_LEN: usize = 4_096;

/// Outcome of a change that was read from the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// The change took effect and led to this revision.
    Accepted(Revision),
    /// The change was rejected because it is based on a revision other than the current one.
    Conflict {
        /// The change that was accepted instead.
        winner: v1::ConflictWinner,
    },
    /// The change was rejected because the resulting configuration would be invalid. None of its steps took effect.
    Invalid(Vec<Problem>),
    /// The change was folded before, or an adopted configuration already covers it. Use
    /// [`ConfigFold::was_accepted`] to find out whether it was accepted.
    Duplicate,
    /// The change cannot be decided because this member missed records before it. It must be read again from
    /// [`ConfigFold::position`] once a snapshot or a peer's configuration has closed the gap.
    Undecided,
}

/// An accepted change, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// Revision that the change led to.
    pub revision: Revision,
    /// Revision that the change is based on.
    pub base: Revision,
    /// Name of the person or program that made the change; empty if it was published without a name.
    pub actor: String,
    /// Reason that the actor gave for the change.
    pub reason: String,
    /// Number of steps in the change.
    pub ops: usize,
}

/// The current configuration of one member and its position in the stream.
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    revision: Revision,
    configuration: Arc<v1::Configuration>,
    /// `configuration` reflects all records before this offset.
    position: Offset,
    /// If set, the log dropped the records from `position` up to this offset before this member read them.
    lost_before: Option<Offset>,
    /// The greatest offset that was read without being decided; always at or after `position`.
    undecided_up_to: Option<Offset>,
    /// The most recent accepted changes, the oldest first.
    changes: VecDeque<AcceptedChange>,
}

impl ConfigFold {
    /// Creates a fold that has not read any records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current revision; 0 if there is no configuration yet.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the current configuration; empty at revision 0.
    pub fn configuration(&self) -> &Arc<v1::Configuration> {
        &self.configuration
    }

    /// Returns the offset from which to continue reading. After [`ChangeOutcome::Undecided`] this may be lower than
    /// the offset that was read last.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// Returns whether the log dropped records before this member read them. It then needs a snapshot or the
    /// configuration of a peer before it can decide on further changes.
    pub fn has_gap(&self) -> bool {
        self.lost_before.is_some()
    }

    /// Folds the change at `offset` of the stream. Changes must be passed in the order of their offsets; there may be
    /// other records between them.
    pub fn fold(&mut self, offset: Offset, record: &v1::ConfigChange) -> ChangeOutcome {
        if offset < self.position {
            return ChangeOutcome::Duplicate;
        }
        if !self.can_decide(offset) {
            return ChangeOutcome::Undecided;
        }
        self.position = next_offset(offset);
        let base = Revision(record.base_revision);
        if base != self.revision {
            return ChangeOutcome::Conflict { winner: self.winner(base) };
        }
        let problems = check_lengths(record);
        if !problems.is_empty() {
            return ChangeOutcome::Invalid(problems);
        }
        // This copies the configuration only if it is shared, which is not the case while catching up.
        let configuration = Arc::make_mut(&mut self.configuration);
        match change::apply_to(configuration, &record.ops) {
            Ok(()) => ChangeOutcome::Accepted(self.accept(record)),
            Err(problems) => ChangeOutcome::Invalid(problems),
        }
    }

    /// Advances past a record at `offset` that is not a change.
    pub fn skip(&mut self, offset: Offset) {
        if offset >= self.position && self.can_decide(offset) {
            self.position = next_offset(offset);
        }
    }

    /// Handles that the log no longer contains the records before `first_kept`.
    ///
    /// A member that has not read all of them must not decide on changes. If it missed an accepted change, its own
    /// revision is outdated: it could accept a change that all other members rejected, and diverge from them.
    pub fn handle_truncation(&mut self, first_kept: Offset) {
        if first_kept > self.position {
            self.lost_before = self.lost_before.max(Some(first_kept));
        }
    }

    /// Adopts the configuration of a peer if it is newer and valid. Returns whether it was adopted.
    ///
    /// An accepted change at offset `n` leads to revision `n + 1`, and the configuration of that revision contains all
    /// changes accepted before. Reading therefore continues at offset `n + 1`, regardless of the previous position.
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
        self.advance_to(Offset(peer.revision));
        true
    }

    /// Restores a complete snapshot from the stream if it covers records that were not read yet. The caller must
    /// have reassembled a snapshot that is split into parts.
    ///
    /// Returns whether this member now has everything that the snapshot covers, so that it can continue with the
    /// records after that. This is also the case for a member that adopted a newer configuration before it found the
    /// snapshot, which then has nothing to restore.
    pub fn restore(&mut self, snapshot: &v1::Snapshot) -> bool {
        let Some(v1::snapshot::Body::Config(config)) = &snapshot.body else { return false };
        let covered = Offset(snapshot.covers_offset);
        // A revision greater than the covered offset can only come from a damaged record.
        if config.revision > covered.0 {
            return false;
        }
        if covered > self.position {
            // A snapshot that covers more records but has an older revision lacks an accepted change, so no member can
            // have written it.
            let older = config.revision < self.revision.0;
            let newer = config.revision > self.revision.0;
            if older || newer && !self.adopt(config) {
                return false;
            }
            self.advance_to(covered);
        }
        !self.has_gap()
    }

    /// Returns whether the change at `offset` is known to have been accepted.
    ///
    /// After [`ChangeOutcome::Duplicate`], `false` does not rule out that it was accepted: a member that adopts a
    /// configuration skips the records that led to it, and only knows that the last of them was accepted.
    pub fn was_accepted(&self, offset: Offset) -> bool {
        let revision = Revision(next_offset(offset).0);
        revision == self.revision || self.changes.iter().any(|c| c.revision == revision)
    }

    /// Returns the offset up to which a snapshot written now would cover the stream. Returns `None` if this member
    /// must not write a snapshot, because it missed records or has no configuration yet.
    pub fn covers(&self) -> Option<Offset> {
        (self.revision.0 > 0 && !self.has_gap()).then_some(self.position)
    }

    /// Returns the current configuration for peers and snapshots, or `None` if there is none yet.
    pub fn snapshot(&self) -> Option<v1::ConfigSnapshot> {
        (self.revision.0 > 0).then(|| v1::ConfigSnapshot {
            revision: self.revision.0,
            configuration: Some((*self.configuration).clone()),
        })
    }

    /// Returns the change that was accepted with revision `base` as its base, or the last accepted change if that is
    /// not known.
    pub fn winner(&self, base: Revision) -> v1::ConflictWinner {
        let successor = self.changes.iter().find(|change| change.base == base);
        let last = || self.changes.back().filter(|change| change.revision == self.revision);
        match successor.or_else(last) {
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

    /// Returns the most recent accepted changes that this member read, the newest first.
    pub fn changes(&self) -> impl Iterator<Item = &AcceptedChange> {
        self.changes.iter().rev()
    }

    /// Returns whether all records before `offset` were decided, so that the one at `offset` can be decided too.
    ///
    /// A reader may find a snapshot in the middle of a batch. The records between the offset that the snapshot covers
    /// and the snapshot itself were read before it, while there was still a gap, and are undecided. Until the reader
    /// goes back to them, no later record may be decided, or this member would miss the changes among them.
    fn can_decide(&mut self, offset: Offset) -> bool {
        let ahead = self.undecided_up_to.is_some_and(|last| offset > last);
        if self.has_gap() || ahead {
            self.undecided_up_to = self.undecided_up_to.max(Some(offset));
            return false;
        }
        self.undecided_up_to = None;
        true
    }

    /// Advances the revision for a change that was applied, and remembers the change.
    fn accept(&mut self, record: &v1::ConfigChange) -> Revision {
        let base = self.revision;
        // Revision 0 stands for no configuration, so the change at offset 0 leads to revision 1.
        self.revision = Revision(self.position.0);
        if self.changes.len() == MAX_KEPT_CHANGES {
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

    /// Advances to `position` and closes the gap if it ends at or before that position.
    fn advance_to(&mut self, position: Offset) {
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

/// Returns the offset that follows `offset`. Saturates, since the log is written by others and may contain any offset.
fn next_offset(offset: Offset) -> Offset {
    Offset(offset.0.saturating_add(1))
}

/// Returns a problem for each text of the record that is too long.
fn check_lengths(record: &v1::ConfigChange) -> Vec<Problem> {
    [("actor", &record.actor, MAX_ACTOR_LEN), ("reason", &record.reason, MAX_REASON_LEN)]
        .into_iter()
        .filter(|(_, text, max)| text.len() > *max)
        .map(|(field, _, max)| Problem::new(field, format!("must be at most {max} bytes")))
        .collect()
}
