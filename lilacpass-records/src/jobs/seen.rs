//! The record ids that were folded last, in bounded memory.

use std::collections::{HashSet, VecDeque};

/// Ids that are remembered. An append whose answer was lost is settled within seconds, which is
/// some thousands of records at the rate that the log takes.
pub(super) const WINDOW: usize = 4_096;

/// Length of the digest of one id, in bytes.
const DIGEST_BYTES: usize = 16;

type Digest = [u8; DIGEST_BYTES];

/// The ids of the last [`WINDOW`] records.
///
/// The window counts records, not time, and is part of the snapshot: every member has the same.
#[derive(Clone, Debug, Default)]
pub(super) struct SeenIds {
    order: VecDeque<Digest>,
    known: HashSet<Digest>,
}

impl SeenIds {
    /// Takes in `record_id`; returns whether it is new. The empty id is always new.
    pub(super) fn insert(&mut self, record_id: &str) -> bool {
        record_id.is_empty() || self.insert_digest(digest(record_id))
    }

    /// All digests in one piece, the oldest first.
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        self.order.iter().flatten().copied().collect()
    }

    /// Takes in digests as written by [`SeenIds::to_bytes`].
    pub(super) fn extend_from_bytes(&mut self, bytes: &[u8]) {
        let (digests, _) = bytes.as_chunks::<DIGEST_BYTES>();
        for digest in digests {
            self.insert_digest(*digest);
        }
    }

    fn insert_digest(&mut self, digest: Digest) -> bool {
        if !self.known.insert(digest) {
            return false;
        }
        self.order.push_back(digest);
        if self.order.len() > WINDOW
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }
}

fn digest(record_id: &str) -> Digest {
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&blake3::hash(record_id.as_bytes()).as_bytes()[..DIGEST_BYTES]);
    digest
}
