//! Remembers which presented tokens were found good, since the hash is slow on purpose.

use std::collections::{HashMap, VecDeque};

use lilacpass_core::ids::Revision;
use lilacpass_schema::v1;

use super::AccessError;

/// Keyed digest of a presented token; the token itself is not kept.
type Digest = [u8; blake3::OUT_LEN];

/// Tokens that were found good under one revision of the configuration.
///
/// Only good ones are kept, so that a flood of wrong tokens throws none of them out. The digest's
/// key is drawn anew in each process.
pub struct TokenCache {
    key: [u8; blake3::KEY_LEN],
    capacity: usize,
    revision: Revision,
    names: HashMap<Digest, String>,
    /// Digests from the oldest to the newest.
    order: VecDeque<Digest>,
}

impl TokenCache {
    /// A cache of at most `capacity` tokens.
    pub fn new(capacity: usize) -> Self {
        Self {
            key: rand::random(),
            capacity: capacity.max(1),
            revision: Revision::default(),
            names: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// As [`super::verify`] for the tokens of configuration `revision`; slow only for a token that
    /// is not remembered.
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

    /// What is remembered of a token; `None` where the slow hash must be tried.
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
        Some(super::unless_expired(token, now_unix_s))
    }

    /// Remembers that `presented` is the token `name` of configuration `revision`.
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

    /// Number of tokens that are remembered.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    fn digest(&self, presented: &str) -> Digest {
        *blake3::keyed_hash(&self.key, presented.as_bytes()).as_bytes()
    }
}
