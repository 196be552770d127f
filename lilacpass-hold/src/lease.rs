//! The member's own lease, counted from when it sent what it has read back.

use std::collections::BTreeMap;

use lilacpass_core::MonoTime;

use crate::options::HoldOptions;

/// Most renewals that are remembered while none comes back.
const MAX_OUTSTANDING: usize = 64;

/// The member's own lease.
///
/// A claimant counts from when it *read* a renewal, which is after it was sent, and adds a margin
/// for the drift of both clocks; so this end comes first, with no common clock.
#[derive(Clone, Debug, Default)]
pub struct OwnLease {
    sent: BTreeMap<u64, MonoTime>,
    from: Option<MonoTime>,
}

impl OwnLease {
    /// The renewing record with this sequence number is sent now.
    pub fn record_sent(&mut self, sequence: u64, now: MonoTime) {
        self.sent.insert(sequence, now);
        if self.sent.len() > MAX_OUTSTANDING {
            self.sent.pop_first();
        }
    }

    /// When the record was sent, unless it was forgotten.
    pub fn sent(&self, sequence: u64) -> Option<MonoTime> {
        self.sent.get(&sequence).copied()
    }

    /// The renewing record with this sequence number was read back.
    pub fn read_back(&mut self, sequence: u64, now: MonoTime, options: &HoldOptions) {
        let Some(sent) = self.sent.remove(&sequence) else { return };
        let from = if options.guards.lease_from_sent { sent } else { now };
        self.from = self.from.max(Some(from));
    }

    /// When the lease ends, or ended; nothing before the first renewal is read back.
    pub fn end(&self, options: &HoldOptions) -> Option<MonoTime> {
        self.from.map(|from| from + options.lease)
    }
}
