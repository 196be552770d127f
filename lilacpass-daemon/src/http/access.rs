//! Who asks: bearer tokens against the configuration in force, and what each role may do.

use std::{
    net::{IpAddr, SocketAddr},
    str::FromStr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use http::{HeaderMap, StatusCode, header};
use lilacpass_config::{AccessError, PeerKey, TokenCache, access};
use lilacpass_control::event::{Caller, Role};
use lilacpass_core::{
    MonoTime,
    ids::{Revision, TeamId},
};
use lilacpass_schema::v1;
use tokio::{sync::Semaphore, task};

use crate::http::{
    action::Action,
    limit::RefusalLimit,
    problem::{self, BoxedProblem},
};

/// Environment variable with a token that counts as operator until the configuration has tokens.
pub const BOOTSTRAP_VARIABLE: &str = "LILACPASS_BOOTSTRAP_TOKEN";

/// Tokens that are remembered as good.
const CACHED_TOKENS: usize = 1_024;

/// Slow hashes computed at once; they run beside the traffic threads.
const MAX_SLOW_CHECKS: usize = 2;

/// When a caller may come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

const NO_TOKEN: &str = "no token of the cell, and not from a loopback address";

/// A configuration that is in force here.
#[derive(Debug, Default)]
pub struct InForce {
    /// Its revision.
    pub revision: Revision,
    /// The configuration.
    pub configuration: Arc<v1::Configuration>,
}

/// Why a try was refused.
#[derive(Debug)]
pub struct Refusal {
    /// For the caller.
    pub problem: BoxedProblem,
    /// Whether it goes to the audit trail.
    pub audited: bool,
}

/// Finds out who asks.
pub struct Access {
    cache: Mutex<TokenCache>,
    bootstrap: Option<PeerKey>,
    limit: Mutex<RefusalLimit>,
    slow_checks: Semaphore,
}

impl std::fmt::Debug for Access {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Access(..)")
    }
}

impl Access {
    /// With a token that counts as operator as long as the configuration has none.
    pub fn new(bootstrap: Option<String>) -> Self {
        Self {
            cache: Mutex::new(TokenCache::new(CACHED_TOKENS)),
            bootstrap: bootstrap.map(|token| PeerKey::new(&token)),
            limit: Mutex::default(),
            slow_checks: Semaphore::new(MAX_SLOW_CHECKS),
        }
    }

    /// Who sent a request, before a configuration is in force here.
    ///
    /// Which tokens are good is not known then, so a token is neither taken nor refused, and only
    /// what a new cell needs for its first configuration can be asked for.
    ///
    /// # Errors
    ///
    /// The answer has to wait for a configuration, or the caller may not give the first one.
    pub fn early_caller(
        &self,
        action: Action,
        headers: &HeaderMap,
        origin: SocketAddr,
        now: MonoTime,
    ) -> Result<Caller, Refusal> {
        let shown = bearer(headers).map_err(|detail| self.unauthorized(origin, now, detail))?;
        if !action.needs_no_configuration() {
            return Err(no_configuration());
        }
        match (self.first_caller(shown, origin), shown) {
            (Some(caller), _) => Ok(caller),
            (None, Some(_)) => Err(no_configuration()),
            (None, None) => Err(self.unauthorized(origin, now, NO_TOKEN)),
        }
    }

    /// Finds out who sent a request with `headers` from `origin`.
    ///
    /// As long as the configuration has no tokens, requests without a token from a loopback
    /// address count as the operator "anonymous", so that a new cell can be given its first
    /// configuration.
    ///
    /// # Errors
    ///
    /// No token, a wrong one, or too many wrong ones.
    pub async fn caller(
        &self,
        in_force: &Arc<InForce>,
        headers: &HeaderMap,
        origin: SocketAddr,
        now: MonoTime,
        now_unix_s: u64,
    ) -> Result<Caller, Refusal> {
        let shown = bearer(headers).map_err(|detail| self.unauthorized(origin, now, detail))?;
        if in_force.configuration.tokens.is_empty() {
            return self
                .first_caller(shown, origin)
                .ok_or_else(|| self.unauthorized(origin, now, NO_TOKEN));
        }
        let Some(shown) = shown else {
            return Err(self.unauthorized(origin, now, "a bearer token is needed"));
        };
        let token = self.token(in_force, shown, origin, now, now_unix_s).await?;
        caller_of(&token, origin)
            .ok_or_else(|| self.unauthorized(origin, now, "token has no valid role"))
    }

    /// Checks that `caller` may ask for `action`. Whether a team's work is its own is up to the
    /// state machine.
    ///
    /// # Errors
    ///
    /// The caller's role does not allow it.
    pub fn check_role(
        &self,
        caller: &Caller,
        action: Action,
        origin: SocketAddr,
        now: MonoTime,
    ) -> Result<(), Refusal> {
        if action.allowed_for(caller.role) {
            return Ok(());
        }
        let detail = format!("the role of token {:?} does not allow this", caller.name);
        let problem = problem::not_run(StatusCode::FORBIDDEN, "forbidden", detail);
        Err(Refusal { problem, audited: self.limit().note(origin.ip(), now) })
    }

    async fn token(
        &self,
        in_force: &Arc<InForce>,
        shown: &str,
        origin: SocketAddr,
        now: MonoTime,
        now_unix_s: u64,
    ) -> Result<v1::AccessToken, Refusal> {
        let tokens = &in_force.configuration.tokens;
        let known = {
            let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
            let found = cache.lookup(in_force.revision, tokens, shown, now_unix_s);
            found.map(Result::<&_, _>::cloned)
        };
        let found = match known {
            Some(found) => found,
            None if self.limit().allows(origin.ip(), now) => {
                self.slow_check(in_force.clone(), shown.to_owned(), now_unix_s).await
            }
            None => return Err(self.too_many()),
        };
        found.map_err(|error| self.unauthorized(origin, now, error.to_string()))
    }

    /// Computes the slow hash on a thread of its own, so that no traffic thread is held up.
    async fn slow_check(
        &self,
        in_force: Arc<InForce>,
        shown: String,
        now_unix_s: u64,
    ) -> Result<v1::AccessToken, AccessError> {
        let _permit = self.slow_checks.acquire().await.map_err(|_| AccessError::Unknown)?;
        let revision = in_force.revision;
        let check = task::spawn_blocking(move || {
            let tokens = &in_force.configuration.tokens;
            (access::verify(tokens, &shown, now_unix_s).cloned(), shown)
        });
        let (found, shown) = check.await.map_err(|_| AccessError::Unknown)?;
        let token = found?;
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.remember(revision, &shown, &token.name);
        Ok(token)
    }

    fn first_caller(&self, shown: Option<&str>, origin: SocketAddr) -> Option<Caller> {
        let name = match shown {
            Some(shown) => {
                let bootstrap = self.bootstrap.as_ref()?;
                bootstrap.matches(shown.as_bytes()).then_some("bootstrap")?
            }
            None => is_loopback(origin.ip()).then_some("anonymous")?,
        };
        let origin = Some(origin);
        Some(Caller { name: name.to_owned(), role: Role::Operator, team: None, origin })
    }

    fn unauthorized(
        &self,
        origin: SocketAddr,
        now: MonoTime,
        detail: impl Into<String>,
    ) -> Refusal {
        let problem = problem::not_run(StatusCode::UNAUTHORIZED, "unauthorized", detail);
        Refusal { problem, audited: self.limit().note(origin.ip(), now) }
    }

    fn too_many(&self) -> Refusal {
        let detail = "too many refused tries from this address";
        let problem = problem::not_run(StatusCode::TOO_MANY_REQUESTS, "refused-tries", detail);
        Refusal { problem: problem::retry_after(problem, RETRY_AFTER_MS), audited: false }
    }

    fn limit(&self) -> MutexGuard<'_, RefusalLimit> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn no_configuration() -> Refusal {
    let detail = "no configuration is in force here yet";
    let problem = problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-configuration", detail);
    Refusal { problem: problem::retry_after(problem, RETRY_AFTER_MS), audited: false }
}

fn is_loopback(ip: IpAddr) -> bool {
    ip.to_canonical().is_loopback()
}

/// The token of an `Authorization: Bearer` header.
fn bearer(headers: &HeaderMap) -> Result<Option<&str>, &'static str> {
    let Some(value) = headers.get(header::AUTHORIZATION) else { return Ok(None) };
    let value = value.to_str().map_err(|_| "the Authorization header is not text")?;
    let (scheme, token) = value.split_once(' ').unwrap_or((value, ""));
    if !scheme.eq_ignore_ascii_case("bearer") || token.trim().is_empty() {
        return Err("the Authorization header must be \"Bearer <token>\"");
    }
    Ok(Some(token.trim()))
}

fn caller_of(token: &v1::AccessToken, origin: SocketAddr) -> Option<Caller> {
    let role = match access::Role::from_str(&token.role).ok()? {
        access::Role::Operator => Role::Operator,
        access::Role::Team => Role::Team,
        access::Role::ReadOnly => Role::ReadOnly,
    };
    let team = match role {
        Role::Team => Some(TeamId::from_str(&token.team).ok()?),
        Role::Operator | Role::ReadOnly => None,
    };
    Some(Caller { name: token.name.clone(), role, team, origin: Some(origin) })
}
