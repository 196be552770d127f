//! Digests of API keys. The keys themselves are kept nowhere.

use std::fmt;

/// Number of hexadecimal digits of a fingerprint.
const FINGERPRINT_DIGITS: usize = 8;

/// Digest of an API key. Two digests are compared in constant time, and a key can't be derived from its digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(blake3::Hash);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::hash(key))
    }

    /// Returns the digest with these bytes, or `None` if their number is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Some(Self(blake3::Hash::from_bytes(bytes.try_into().ok()?)))
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Display for KeyDigest {
    /// Writes the fingerprint: enough to tell the keys of an installation apart.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.to_hex()[..FINGERPRINT_DIGITS])
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}
