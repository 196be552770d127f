//! Access control: bearer tokens for clients, stored only as salted hashes, and the shared key of peers.
//!
//! A token has the form `lilac_<name>_<secret>`. The name selects the hash to verify against, so verifying a
//! presented token takes one slow hash no matter how many tokens are configured.

use std::{fmt, str::FromStr};

use argon2::{Argon2, PasswordHash, PasswordHasher, PasswordVerifier};
use lilacpass_core::error::{Error, malformed};
use lilacpass_schema::v1;
use quick_error::quick_error;
use subtle::ConstantTimeEq;

mod cache;

pub use cache::TokenCache;

/// Prefix of every token, by which secret scanners recognise a leaked token.
const TOKEN_PREFIX: &str = "lilac_";
/// Maximum length of a presented token in bytes; longer ones are rejected without hashing.
const MAX_TOKEN_LEN: usize = 256;
/// Number of random bytes in a token's secret, each of which is written as two hexadecimal digits.
const SECRET_LEN: usize = 32;
/// Maximum memory cost of an accepted hash, in KiB.
///
/// The cost parameters of configured hashes are limited because anyone can trigger a verification by presenting a
/// wrong token: an expensive hash would exhaust the CPU and memory of an entry instance.
const MAX_HASH_MEMORY_KIB: u32 = 65_536;
/// Maximum number of passes (Argon2 `t`) of an accepted hash.
const MAX_HASH_PASSES: u32 = 10;
/// Maximum degree of parallelism (Argon2 `p`) of an accepted hash.
const MAX_HASH_LANES: u32 = 4;

quick_error! {
    /// Reason why a presented token is rejected.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum AccessError {
        /// The presented token matches none of the configured tokens.
        Unknown {
            display("the token is not known")
        }
        /// The token is configured, but its expiry time has passed.
        Expired {
            display("the token has expired")
        }
    }
}

/// Role of a token, which determines what its bearer may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// May perform every operation.
    Operator,
    /// May submit, view and cancel the work of one team.
    Team,
    /// May view everything, but change nothing.
    ReadOnly,
}

impl Role {
    /// All roles, in the order in which error messages list them.
    pub const ALL: [Self; 3] = [Self::Operator, Self::Team, Self::ReadOnly];

    /// Returns the name of the role as written in the configuration.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Team => "team",
            Self::ReadOnly => "read-only",
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Role {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        Self::ALL.into_iter().find(|role| role.as_str() == s).ok_or_else(|| malformed("Role", s))
    }
}

/// Shared key with which entry instances and the platform authenticate to each other. `Debug` does not reveal it.
#[derive(Clone)]
pub struct PeerKey(String);

impl PeerKey {
    /// Wraps the plain text of a key.
    pub fn new(key: &str) -> Self {
        Self(key.to_owned())
    }

    /// Returns the plain text of the key, to be sent to a peer.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns whether a peer presented this key. The comparison takes constant time for keys of equal length, so
    /// its duration reveals nothing but the length.
    pub fn matches(&self, presented: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(presented).into()
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// Generates a token named `name` and returns it together with its configuration entry.
///
/// The plain token is stored nowhere, so the caller must show it to the user. The caller also sets the role, team
/// and expiry of the entry.
pub fn new_token(name: &str) -> (String, v1::AccessToken) {
    let secret: [u8; SECRET_LEN] = rand::random();
    let digits: String = secret.iter().map(|byte| format!("{byte:02x}")).collect();
    let token = format!("{TOKEN_PREFIX}{name}_{digits}");
    let hash = hash_token(&token);
    (token, v1::AccessToken { name: name.to_owned(), hash, ..v1::AccessToken::default() })
}

/// Returns the salted Argon2id hash of a token as a PHC string.
pub fn hash_token(token: &str) -> String {
    Argon2::default()
        .hash_password(token.as_bytes())
        .expect("argon2 accepts any token with default parameters and a salt from the system's RNG")
        .to_string()
}

/// Finds the entry of `tokens` that `presented` belongs to and checks that it has not expired at `now_unix_s`
/// (Unix time in seconds).
///
/// Verifying a token whose name is configured takes tens of milliseconds; use [`TokenCache`] to avoid repeating it.
pub fn verify<'a>(
    tokens: &'a [v1::AccessToken],
    presented: &str,
    now_unix_s: u64,
) -> Result<&'a v1::AccessToken, AccessError> {
    let name = token_name(presented).ok_or(AccessError::Unknown)?;
    let token = tokens.iter().find(|t| t.name == name).ok_or(AccessError::Unknown)?;
    let hash = parse_hash(&token.hash).ok_or(AccessError::Unknown)?;
    Argon2::default()
        .verify_password(presented.as_bytes(), &hash)
        .map_err(|_| AccessError::Unknown)?;
    check_expiry(token, now_unix_s)
}

/// Returns whether `text` is a hash of the form that [`hash_token`] generates, with acceptable cost parameters.
pub(crate) fn is_token_hash(text: &str) -> bool {
    parse_hash(text).is_some()
}

fn check_expiry(token: &v1::AccessToken, now_unix_s: u64) -> Result<&v1::AccessToken, AccessError> {
    match token.expires_unix_s {
        0 => Ok(token),
        expires_unix_s if now_unix_s < expires_unix_s => Ok(token),
        _ => Err(AccessError::Expired),
    }
}

/// Extracts the name from a token of the form `lilac_<name>_<secret>`. The name may contain `_`, the secret may not.
fn token_name(presented: &str) -> Option<&str> {
    if presented.len() > MAX_TOKEN_LEN {
        return None;
    }
    let (name, _secret) = presented.strip_prefix(TOKEN_PREFIX)?.rsplit_once('_')?;
    Some(name)
}

fn parse_hash(text: &str) -> Option<PasswordHash> {
    let hash = PasswordHash::new(text).ok()?;
    let params = argon2::Params::try_from(&hash).ok()?;
    let affordable = params.m_cost() <= MAX_HASH_MEMORY_KIB
        && params.t_cost() <= MAX_HASH_PASSES
        && params.p_cost() <= MAX_HASH_LANES;
    let complete =
        hash.algorithm.as_str() == "argon2id" && hash.salt.is_some() && hash.hash.is_some();
    (affordable && complete).then_some(hash)
}
