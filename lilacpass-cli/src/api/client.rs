//! Calls to whichever entry instance answers, and the one place where a call is repeated.

use std::time::Duration;

use lilacpass_core::Verdict;
use lilacpass_schema::v1;
use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;
use volo_http::http::Method;

use crate::{
    api::{
        exchange::{self, BearerToken, Request, Response, SendError},
        server::Server,
    },
    error::{Error, Result},
    units,
};

const BAD_GATEWAY: u16 = 502;
const SERVICE_UNAVAILABLE: u16 = 503;

/// Header with the idempotency key of a submission.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the time that the caller waits, in milliseconds.
pub const DEADLINE_MS: &str = "deadline-ms";
/// Header with the revision that a change builds on.
pub const IF_MATCH: &str = "if-match";

/// Time that a server gets beyond the deadline of the caller, for its answer that the deadline has
/// passed to arrive.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);

/// Whether a call that may have reached one server may go to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It changes nothing, or carries a key under which the servers know it again.
    Idempotent,
    /// Only with proof that it had no effect.
    OnlyIfNotRun,
}

/// A caller of the HTTP interface, with the servers that it may use.
pub struct Client {
    servers: Vec<Server>,
    token: Option<BearerToken>,
    timeout: Duration,
    /// Position of the server that answered last and is asked first.
    preferred: usize,
}

impl Client {
    /// A client of `servers`, of which there is at least one, where each call takes at most
    /// `timeout`.
    pub fn new(servers: Vec<Server>, token: Option<BearerToken>, timeout: Duration) -> Self {
        Self { servers, token, timeout, preferred: 0 }
    }

    /// Time that one call may take.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// One client for each server, which asks no other one.
    pub fn per_server(&self) -> impl Iterator<Item = (Server, Self)> {
        self.servers.iter().map(|server| {
            let single = Self::new(vec![server.clone()], self.token.clone(), self.timeout);
            (server.clone(), single)
        })
    }

    /// Looks at `path`.
    pub async fn get(&mut self, path: &str) -> Result<Value> {
        self.get_with_timeout(path, self.timeout).await
    }

    /// Looks at `path` with a timeout of its own, for calls that wait for news.
    pub async fn get_with_timeout(&mut self, path: &str, timeout: Duration) -> Result<Value> {
        let request = Request { timeout, ..self.request(Method::GET, path) };
        self.send(&request, RetryPolicy::Idempotent, None).await
    }

    /// Deletes `path`; doing so twice does no harm.
    pub async fn delete(&mut self, path: &str) -> Result<Value> {
        self.send(&self.request(Method::DELETE, path), RetryPolicy::Idempotent, None).await
    }

    /// Posts `body` to `path` with the headers given.
    pub async fn post<T: Serialize>(
        &mut self,
        path: &str,
        headers: Vec<(&'static str, String)>,
        body: &T,
        retry_policy: RetryPolicy,
    ) -> Result<Value> {
        let body = to_json(body)?;
        let request = Request { headers, body, ..self.request(Method::POST, path) };
        self.send(&request, retry_policy, None).await
    }

    /// Posts a request for whose answer a person waits until `deadline` from now, whatever the
    /// number of servers that are asked in that time.
    pub async fn post_with_deadline<T: Serialize>(
        &mut self,
        path: &str,
        headers: Vec<(&'static str, String)>,
        body: &T,
        retry_policy: RetryPolicy,
        deadline: Duration,
    ) -> Result<Value> {
        let body = to_json(body)?;
        let request = Request { headers, body, ..self.request(Method::POST, path) };
        self.send(&request, retry_policy, Some(deadline)).await
    }

    fn request(&self, method: Method, path: &str) -> Request {
        let timeout = self.timeout;
        Request { method, path: path.to_owned(), headers: Vec::new(), body: String::new(), timeout }
    }

    /// Sends `call` to one server after the other, each at most once, while [`may_go_on`] allows.
    ///
    /// This is the only place of the tool that repeats a call. A server repeats what it can by
    /// itself, so its answer is taken as final, except that it is the wrong server to ask.
    async fn send(
        &mut self,
        request: &Request,
        retry_policy: RetryPolicy,
        deadline: Option<Duration>,
    ) -> Result<Value> {
        let started = Instant::now();
        let has_effect = request.method != Method::GET;
        let mut in_doubt = false;
        let mut last_error = Error::Unreachable("no server is given".to_owned());
        for attempt in 0..self.servers.len() {
            let index = (self.preferred + attempt) % self.servers.len();
            let server = &self.servers[index];
            let remaining = deadline.map(|deadline| deadline.saturating_sub(started.elapsed()));
            if attempt > 0 && remaining.is_some_and(|remaining| remaining.is_zero()) {
                break;
            }
            let request = &with_deadline(request, remaining);
            let outcome = exchange::send(server, request, self.token.as_ref()).await;
            last_error = match parse_response(server, outcome) {
                Ok(value) => {
                    self.preferred = index;
                    return Ok(value);
                }
                Err(err) if has_effect => unknown_if_in_doubt(err, in_doubt),
                Err(err) => read_only_error(err),
            };
            if !may_try_next_server(&last_error, retry_policy) {
                break;
            }
            in_doubt |= has_effect && !proves_not_run(&last_error);
            if attempt + 1 < self.servers.len() {
                eprintln!("lilacpass: {last_error}; trying the next server");
            }
        }
        Err(last_error)
    }
}

/// The call with the time that is left until the caller's deadline, where there is one.
fn with_deadline(request: &Request, remaining: Option<Duration>) -> Request {
    let mut request = request.clone();
    if let Some(remaining) = remaining {
        request.headers.push((DEADLINE_MS, units::ms(remaining).max(1).to_string()));
        request.timeout = remaining + DEADLINE_MARGIN;
    }
    request
}

fn to_json<T: Serialize>(body: &T) -> Result<String> {
    serde_json::to_string(body).map_err(|err| Error::Usage(err.to_string()))
}

/// Whether a call that ended with `err` may be sent to the next server.
fn may_try_next_server(err: &Error, retry_policy: RetryPolicy) -> bool {
    match err {
        Error::Unreachable(_) | Error::NoResponse(_) => true,
        Error::OutcomeUnknown(_) => retry_policy == RetryPolicy::Idempotent,
        Error::Problem(problem) => {
            // Not an overload (429): the server has tried the others' workers already, and asking
            // each server again would multiply the load just then.
            let wrong_server = [BAD_GATEWAY, SERVICE_UNAVAILABLE].map(u32::from);
            let not_run = problem.verdict == Verdict::NotRun.as_str();
            let has_run = problem.verdict == Verdict::Ran.as_str();
            let may_repeat = not_run || retry_policy == RetryPolicy::Idempotent && !has_run;
            wrong_server.contains(&problem.status) && may_repeat
        }
        _ => false,
    }
}

/// Whether an error is proof that the call had no effect.
fn proves_not_run(err: &Error) -> bool {
    match err {
        Error::Unreachable(_) => true,
        Error::Problem(problem) => problem.verdict == Verdict::NotRun.as_str(),
        _ => false,
    }
}

/// The error where an earlier server is in doubt: "not run" from this server then proves nothing
/// about the earlier one, which may have taken the same request.
fn unknown_if_in_doubt(err: Error, in_doubt: bool) -> Error {
    if in_doubt && proves_not_run(&err) {
        return Error::OutcomeUnknown(format!("{err}, but an earlier server may have taken it"));
    }
    err
}

/// The error of a call that changes nothing: there is no doubt about its effect.
fn read_only_error(err: Error) -> Error {
    match err {
        Error::OutcomeUnknown(detail) => Error::NoResponse(detail),
        other => other,
    }
}

/// Turns the outcome of one exchange into the JSON answer or the error.
fn parse_response(
    server: &Server,
    outcome: std::result::Result<Response, SendError>,
) -> Result<Value> {
    let response = match outcome {
        Ok(response) => response,
        Err(SendError::NotSent(detail)) => {
            return Err(Error::Unreachable(format!("{server}: {detail}")));
        }
        Err(SendError::NoResponse(detail)) => {
            return Err(Error::OutcomeUnknown(format!("{server}: {detail}")));
        }
    };
    if !(200..300).contains(&response.status) {
        return Err(Error::Problem(Box::new(to_problem(&response))));
    }
    if response.body.is_empty() {
        return Ok(Value::Null);
    }
    serde_json::from_slice(&response.body).map_err(|err| Error::InvalidResponse(err.to_string()))
}

/// The problem document of an answer. An answer that is none, such as one of a balancer on the
/// way, becomes one without a verdict.
fn to_problem(response: &Response) -> v1::Problem {
    const MAX_SHOWN_CHARS: usize = 200;
    let status = u32::from(response.status);
    if let Ok(problem) = serde_json::from_slice::<v1::Problem>(&response.body) {
        return v1::Problem { status, ..problem };
    }
    let text = String::from_utf8_lossy(&response.body);
    v1::Problem {
        title: format!("HTTP status {status}"),
        status,
        detail: text.trim().chars().take(MAX_SHOWN_CHARS).collect(),
        ..Default::default()
    }
}
