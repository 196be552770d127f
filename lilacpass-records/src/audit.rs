//! The last entries of the audit trail, in bounded memory.

use std::collections::VecDeque;

use lilacpass_core::ids::Offset;
use lilacpass_schema::v1;
use prost::Message;

/// Bytes of an entry in memory beside its texts, roughly.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// The last entries of the audit trail.
#[derive(Clone, Debug)]
pub struct AuditWindow {
    max_entries: usize,
    max_bytes: usize,
    bytes: usize,
    entries: VecDeque<(Offset, v1::AuditEntry)>,
}

/// Which entries are wanted; an absent field matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditFilter {
    /// Who did it.
    pub actor: Option<String>,
    /// What was asked for.
    pub action: Option<String>,
    /// Whether it was accepted.
    pub accepted: Option<bool>,
    /// Entries not older than this, in milliseconds since 1970 on the writer's clock.
    pub since_unix_ms: Option<u64>,
}

impl AuditWindow {
    /// An empty window that holds at most `max_entries`, in roughly `max_bytes` of memory.
    pub fn new(max_entries: usize, max_bytes: usize) -> Self {
        Self { max_entries, max_bytes, bytes: 0, entries: VecDeque::new() }
    }

    /// Takes in the entry at `offset` and gives up the oldest ones that no longer fit. An entry
    /// that was read before is ignored.
    pub fn push(&mut self, offset: Offset, entry: v1::AuditEntry) {
        if self.entries.back().is_some_and(|(last, _)| *last >= offset) {
            return;
        }
        self.bytes += size(&entry);
        self.entries.push_back((offset, entry));
        while (self.entries.len() > self.max_entries || self.bytes > self.max_bytes)
            && let Some((_, oldest)) = self.entries.pop_front()
        {
            self.bytes -= size(&oldest);
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Entries that match, the newest last, with their offsets.
    pub fn select(
        &self,
        filter: &AuditFilter,
    ) -> impl DoubleEndedIterator<Item = (Offset, &v1::AuditEntry)> {
        self.entries
            .iter()
            .filter(move |(_, entry)| filter.matches(entry))
            .map(|(offset, entry)| (*offset, entry))
    }
}

impl AuditFilter {
    /// Whether `entry` is wanted.
    pub fn matches(&self, entry: &v1::AuditEntry) -> bool {
        self.actor.as_ref().is_none_or(|actor| *actor == entry.actor)
            && self.action.as_ref().is_none_or(|action| *action == entry.action)
            && self.accepted.is_none_or(|accepted| accepted == entry.accepted)
            && self.since_unix_ms.is_none_or(|since| entry.at_unix_ms >= since)
    }
}

fn size(entry: &v1::AuditEntry) -> usize {
    entry.encoded_len() + ENTRY_OVERHEAD_BYTES
}
