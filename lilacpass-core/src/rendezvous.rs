//! Rendezvous hashing: who of several members takes a thing, the same wherever it is asked.

/// Weight of `member` for `key`. The member with the greatest weight takes the key; when a member
/// goes, only its own keys move.
pub fn weight(key: &[u8], member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(member.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
