//! Rendezvous hashing: assigns keys to members such that all processes agree without communication.

/// Returns the weight of `member` for `key`. A key is assigned to the member with the greatest weight. If a member
/// leaves, only its own keys are reassigned.
pub fn weight(key: &[u8], member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(member.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
