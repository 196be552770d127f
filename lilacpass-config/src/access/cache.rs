//! A cache of successfully verified tokens, since verifying a hash is slow by design.

use std::collections::{HashMap, VecDeque};

use lilacpass_core::ids::Revision;
use lilacpass_schema::v1;

use super::AccessError;

/// Keyed digest of a presented token. The cache does not store the token itself.
type Digest = [u8; blake3::OUT_LEN];

/// Tokens that were successfully verified against one revision of the configuration.
///
/// Rejected tokens are not cached, so a flood of wrong tokens cannot evict valid ones. The key of the digests is
/// generated randomly in each process.
pub struct TokenCache {
    key: [u8; blake3::KEY_LEN],
    capacity: usize,
    revision: Revision,
    names: HashMap<Digest, String>,
    /// Cached digests in the order of insertion, the oldest first.
    order: VecDeque<Digest>,
}

impl TokenCache {
    /// Creates a cache for at most `capacity` tokens; a capacity of 0 counts as 1.
    pub fn new(capacity: usize) -> Self {
        Self {
            key: rand::random(),
            capacity: capacity.max(1),
            revision: Revision::default(),
            names: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Verifies a token like [`super::verify`], where `tokens` belong to configuration `revision`. Only a token that
    /// is not cached needs the slow hash.
    pub fn verify<'a>(
        &mut self,
        revision: Revision,
        tokens: &'a [v1::AccessToken],
        presented: &str,
        now_unix_s: u64,
    ) -> Result<&'a v1::AccessToken, AccessError> {
        if let Some(found) = self.lookup(revision, tokens, presented, now_unix_s) {
            return found;
        }
        let token = super::verify(tokens, presented, now_unix_s)?;
        self.remember(revision, presented, &token.name);
        Ok(token)
    }

    /// Returns the cached result for a token, or `None` if it must be verified with the slow hash.
    pub fn lookup<'a>(
        &self,
        revision: Revision,
        tokens: &'a [v1::AccessToken],
        presented: &str,
        now_unix_s: u64,
    ) -> Option<Result<&'a v1::AccessToken, AccessError>> {
        if revision != self.revision {
            return None;
        }
        let name = self.names.get(&self.digest(presented))?;
        let token = tokens.iter().find(|t| t.name == *name)?;
        Some(super::check_expiry(token, now_unix_s))
    }

    /// Records that `presented` was verified as the token `name` of configuration `revision`.
    ///
    /// A newer revision than the cached one clears the cache; an older one is ignored.
    pub fn remember(&mut self, revision: Revision, presented: &str, name: &str) {
        if revision < self.revision {
            return;
        }
        if revision > self.revision {
            self.names.clear();
            self.order.clear();
            self.revision = revision;
        }
        let digest = self.digest(presented);
        if self.names.insert(digest, name.to_owned()).is_none() {
            self.order.push_back(digest);
        }
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.names.remove(&oldest);
        }
    }

    /// Returns the number of cached tokens.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the cache holds no tokens.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    fn digest(&self, presented: &str) -> Digest {
        *blake3::keyed_hash(&self.key, presented.as_bytes()).as_bytes()
    }
}
