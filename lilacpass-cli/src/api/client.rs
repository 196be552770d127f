//! Client that sends requests to a list of entry instances and fails over from one to the next.

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
/// Header with the time that the caller waits for the response, in milliseconds.
pub const DEADLINE_MS: &str = "deadline-ms";
/// Header with the configuration revision that a change is based on.
pub const IF_MATCH: &str = "if-match";

/// Time added to the caller's deadline before the client gives up, so that the server's response that the deadline has
/// passed can still arrive.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);

/// Whether a request that may have reached one server may be sent to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request changes nothing or carries an idempotency key, so it may be repeated on the next server even if the
    /// previous one may have executed it.
    Idempotent,
    /// The request is sent to another server only if it is proved that it had no effect so far.
    OnlyIfNotRun,
}

/// Client of the HTTP interface, with the list of servers that it may use.
pub struct Client {
    servers: Vec<Server>,
    token: Option<BearerToken>,
    timeout: Duration,
    /// Index of the server that responded successfully last; the next request goes to it first.
    preferred: usize,
}

impl Client {
    /// Creates a client of `servers`, which must not be empty. Each request to one server takes at most `timeout`.
    pub fn new(servers: Vec<Server>, token: Option<BearerToken>, timeout: Duration) -> Self {
        Self { servers, token, timeout, preferred: 0 }
    }

    /// Maximum duration of one request to one server.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Returns one client per server, each of which sends requests to that server only.
    pub fn per_server(&self) -> impl Iterator<Item = (Server, Self)> {
        self.servers.iter().map(|server| {
            let single = Self::new(vec![server.clone()], self.token.clone(), self.timeout);
            (server.clone(), single)
        })
    }

    /// Sends a GET request for `path`.
    pub async fn get(&mut self, path: &str) -> Result<Value> {
        self.get_with_timeout(path, self.timeout).await
    }

    /// Sends a GET request for `path` with its own timeout, for requests that the server holds open, such as one that
    /// waits for the end of a job.
    pub async fn get_with_timeout(&mut self, path: &str, timeout: Duration) -> Result<Value> {
        let request = Request { timeout, ..self.request(Method::GET, path) };
        self.send(&request, RetryPolicy::Idempotent, None).await
    }

    /// Sends a DELETE request for `path`, which is idempotent.
    pub async fn delete(&mut self, path: &str) -> Result<Value> {
        self.send(&self.request(Method::DELETE, path), RetryPolicy::Idempotent, None).await
    }

    /// Posts `body` as JSON to `path` with the given headers.
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

    /// Posts `body` as JSON to `path` with a deadline that covers the attempts on all servers together.
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

    /// Sends `request` to one server after the other, at most once to each, as long as [`may_try_next_server`] allows.
    ///
    /// This is the only place in the tool that repeats a request. A server retries internally whatever is safe to
    /// retry, so its response is final unless it only says that this server can't handle the request.
    async fn send(
        &mut self,
        request: &Request,
        retry_policy: RetryPolicy,
        deadline: Option<Duration>,
    ) -> Result<Value> {
        let started = Instant::now();
        let has_effect = request.method != Method::GET;
        let mut in_doubt = false;
        let mut last_error = Error::Unreachable("no server was specified".to_owned());
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

/// Returns a copy of `request` that carries the time remaining until the caller's deadline, if there is a deadline.
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

/// Returns whether a request that failed with `err` may be sent to the next server.
fn may_try_next_server(err: &Error, retry_policy: RetryPolicy) -> bool {
    match err {
        Error::Unreachable(_) | Error::NoResponse(_) => true,
        Error::OutcomeUnknown(_) => retry_policy == RetryPolicy::Idempotent,
        Error::Problem(problem) => {
            // Overload (429) is excluded: the server has already tried the workers of the other servers, and repeating
            // the request on each server would multiply the load while the cell is overloaded.
            let wrong_server = [BAD_GATEWAY, SERVICE_UNAVAILABLE].map(u32::from);
            let not_run = problem.verdict == Verdict::NotRun.as_str();
            let has_run = problem.verdict == Verdict::Ran.as_str();
            let may_repeat = not_run || retry_policy == RetryPolicy::Idempotent && !has_run;
            wrong_server.contains(&problem.status) && may_repeat
        }
        _ => false,
    }
}

/// Returns whether `err` proves that the request had no effect.
fn proves_not_run(err: &Error) -> bool {
    match err {
        Error::Unreachable(_) => true,
        Error::Problem(problem) => problem.verdict == Verdict::NotRun.as_str(),
        _ => false,
    }
}

/// Replaces a proof of "not run" by [`Error::OutcomeUnknown`] if an earlier server may have accepted the same request:
/// the response of this server proves nothing about the earlier one.
fn unknown_if_in_doubt(err: Error, in_doubt: bool) -> Error {
    if in_doubt && proves_not_run(&err) {
        return Error::OutcomeUnknown(format!(
            "{err}, but an earlier server may have accepted the request"
        ));
    }
    err
}

/// Converts the error of a read-only request: its outcome can't be in doubt, because it changes nothing.
fn read_only_error(err: Error) -> Error {
    match err {
        Error::OutcomeUnknown(detail) => Error::NoResponse(detail),
        other => other,
    }
}

/// Converts the outcome of one HTTP exchange into the JSON body of the response or an error.
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

/// Parses the problem document of an error response. A response without one, such as that of a load balancer in
/// between, is converted into a problem document without a verdict.
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
