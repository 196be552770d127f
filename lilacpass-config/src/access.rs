//! Who may do what: bearer tokens, of which only salted hashes are kept, and the key of peers.
//!
//! A token is `lilac_<name>_<secret>`: its name tells which one hash must be tried, so that a
//! presented token costs one slow hash however many tokens there are.

use std::{fmt, str::FromStr};

use argon2::{Argon2, PasswordHash, PasswordHasher, PasswordVerifier};
use lilacpass_core::error::{Error, malformed};
use lilacpass_schema::v1;
use quick_error::quick_error;
use subtle::ConstantTimeEq;

mod cache;

pub use cache::TokenCache;

/// What every token starts with; secret scanners know a leaked one by it.
const TOKEN_PREFIX: &str = "lilac_";
/// Longest token that is looked at, in bytes.
const MAX_TOKEN_LEN: usize = 256;
/// Random bytes of a token, of which it shows two hexadecimal digits each.
const SECRET_LEN: usize = 32;
/// Greatest cost of a hash that is accepted: a dear one would let anyone who presents a wrong
/// token use up the processor and memory of an entry instance.
const MAX_MEMORY_KIB: u32 = 65_536;
const MAX_PASSES: u32 = 10;
const MAX_LANES: u32 = 4;

quick_error! {
    /// Why a presented token gives no access.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum AccessError {
        /// No token of the configuration is the one presented.
        Unknown {
            display("the token is not known")
        }
        /// The token is known and its time is over.
        Expired {
            display("the token has expired")
        }
    }
}

/// What the bearer of a token may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Everything.
    Operator,
    /// Submits, sees and cancels the work of one team.
    Team,
    /// Sees everything and changes nothing.
    ReadOnly,
}

impl Role {
    /// All roles.
    pub const ALL: [Self; 3] = [Self::Operator, Self::Team, Self::ReadOnly];

    /// The name in the configuration.
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

/// The key that entry instances and the platform show each other. It is never printed.
#[derive(Clone)]
pub struct PeerKey(String);

impl PeerKey {
    /// Wraps a key.
    pub fn new(key: &str) -> Self {
        Self(key.to_owned())
    }

    /// The key itself, to be sent to a peer.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether a peer presented this key. The time taken tells nothing but the length.
    pub fn matches(&self, presented: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(presented).into()
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// A new token named `name`, and what the configuration keeps of it. The token itself is shown
/// once and kept nowhere; role, team and expiry are the caller's to set.
pub fn new_token(name: &str) -> (String, v1::AccessToken) {
    let secret: [u8; SECRET_LEN] = rand::random();
    let digits: String = secret.iter().map(|byte| format!("{byte:02x}")).collect();
    let token = format!("{TOKEN_PREFIX}{name}_{digits}");
    let hash = hash_token(&token);
    (token, v1::AccessToken { name: name.to_owned(), hash, ..v1::AccessToken::default() })
}

/// The salted hash of a token, in PHC string form.
pub fn hash_token(token: &str) -> String {
    Argon2::default()
        .hash_password(token.as_bytes())
        .expect("argon2 takes any token with its default cost and a salt of the system's")
        .to_string()
}

/// The token among `tokens` that `presented` is, unless it has expired at `now_unix_s`, in
/// seconds since 1970.
///
/// This takes tens of milliseconds for a token whose name is known; see [`TokenCache`].
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
    unless_expired(token, now_unix_s)
}

/// Whether a text is a hash as [`hash_token`] makes it, of bearable cost.
pub(crate) fn is_token_hash(text: &str) -> bool {
    parse_hash(text).is_some()
}

fn unless_expired(
    token: &v1::AccessToken,
    now_unix_s: u64,
) -> Result<&v1::AccessToken, AccessError> {
    match token.expires_unix_s {
        0 => Ok(token),
        expires_unix_s if now_unix_s < expires_unix_s => Ok(token),
        _ => Err(AccessError::Expired),
    }
}

/// The name in a token of the form `lilac_<name>_<secret>`. A name may hold `_`, a secret may not.
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
    let bearable = params.m_cost() <= MAX_MEMORY_KIB
        && params.t_cost() <= MAX_PASSES
        && params.p_cost() <= MAX_LANES;
    let complete =
        hash.algorithm.as_str() == "argon2id" && hash.salt.is_some() && hash.hash.is_some();
    (bearable && complete).then_some(hash)
}
