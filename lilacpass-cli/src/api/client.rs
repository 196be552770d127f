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
        exchange::{self, Answer, Call, Failure, Token},
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
pub enum Repeat {
    /// It changes nothing, or carries a key under which the servers know it again.
    Safe,
    /// Only with proof that it had no effect.
    OnlyNotRun,
}

/// A caller of the HTTP interface, with the servers that it may use.
pub struct Client {
    servers: Vec<Server>,
    token: Option<Token>,
    timeout: Duration,
    /// Position of the server that answered last and is asked first.
    first: usize,
}

impl Client {
    /// A client of `servers`, of which there is at least one, where each call takes at most
    /// `timeout`.
    pub fn new(servers: Vec<Server>, token: Option<Token>, timeout: Duration) -> Self {
        Self { servers, token, timeout, first: 0 }
    }

    /// Time that one call may take.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// One client for each server, which asks no other one.
    pub fn each(&self) -> impl Iterator<Item = (Server, Self)> {
        self.servers.iter().map(|server| {
            let only = Self::new(vec![server.clone()], self.token.clone(), self.timeout);
            (server.clone(), only)
        })
    }

    /// Looks at `path`.
    pub async fn get(&mut self, path: &str) -> Result<Value> {
        self.get_within(path, self.timeout).await
    }

    /// Looks at `path` with a timeout of its own, for calls that wait for news.
    pub async fn get_within(&mut self, path: &str, timeout: Duration) -> Result<Value> {
        let call = Call { timeout, ..self.call(Method::GET, path) };
        self.send(&call, Repeat::Safe, None).await
    }

    /// Deletes `path`; doing so twice does no harm.
    pub async fn delete(&mut self, path: &str) -> Result<Value> {
        self.send(&self.call(Method::DELETE, path), Repeat::Safe, None).await
    }

    /// Posts `body` to `path` with the headers given.
    pub async fn post<T: Serialize>(
        &mut self,
        path: &str,
        headers: Vec<(&'static str, String)>,
        body: &T,
        repeat: Repeat,
    ) -> Result<Value> {
        let body = json(body)?;
        let call = Call { headers, body, ..self.call(Method::POST, path) };
        self.send(&call, repeat, None).await
    }

    /// Posts a request for whose answer a person waits until `deadline` from now, whatever the
    /// number of servers that are asked in that time.
    pub async fn post_within<T: Serialize>(
        &mut self,
        path: &str,
        headers: Vec<(&'static str, String)>,
        body: &T,
        repeat: Repeat,
        deadline: Duration,
    ) -> Result<Value> {
        let body = json(body)?;
        let call = Call { headers, body, ..self.call(Method::POST, path) };
        self.send(&call, repeat, Some(deadline)).await
    }

    fn call(&self, method: Method, path: &str) -> Call {
        let timeout = self.timeout;
        Call { method, path: path.to_owned(), headers: Vec::new(), body: String::new(), timeout }
    }

    /// Sends `call` to one server after the other, each at most once, while [`may_go_on`] allows.
    ///
    /// This is the only place of the tool that repeats a call. A server repeats what it can by
    /// itself, so its answer is taken as final, except that it is the wrong server to ask.
    async fn send(
        &mut self,
        call: &Call,
        repeat: Repeat,
        deadline: Option<Duration>,
    ) -> Result<Value> {
        let started = Instant::now();
        let has_effect = call.method != Method::GET;
        let mut in_doubt = false;
        let mut last = Error::Unreachable("no server is given".to_owned());
        for step in 0..self.servers.len() {
            let at = (self.first + step) % self.servers.len();
            let server = &self.servers[at];
            let left = deadline.map(|deadline| deadline.saturating_sub(started.elapsed()));
            if step > 0 && left.is_some_and(|left| left.is_zero()) {
                break;
            }
            let call = &within(call, left);
            let outcome = exchange::send(server, call, self.token.as_ref()).await;
            last = match read(server, outcome) {
                Ok(value) => {
                    self.first = at;
                    return Ok(value);
                }
                Err(err) if has_effect => settle(err, in_doubt),
                Err(err) => harmless(err),
            };
            if !may_go_on(&last, repeat) {
                break;
            }
            in_doubt |= has_effect && !proves_not_run(&last);
            if step + 1 < self.servers.len() {
                eprintln!("lilacpass: {last}; going on to the next server");
            }
        }
        Err(last)
    }
}

/// The call with the time that is left until the caller's deadline, where there is one.
fn within(call: &Call, left: Option<Duration>) -> Call {
    let mut call = call.clone();
    if let Some(left) = left {
        call.headers.push((DEADLINE_MS, units::ms(left).max(1).to_string()));
        call.timeout = left + DEADLINE_MARGIN;
    }
    call
}

fn json<T: Serialize>(body: &T) -> Result<String> {
    serde_json::to_string(body).map_err(|err| Error::Usage(err.to_string()))
}

/// Whether a call that ended with `err` may be sent to the next server.
fn may_go_on(err: &Error, repeat: Repeat) -> bool {
    match err {
        Error::Unreachable(_) | Error::NoAnswer(_) => true,
        Error::Unsettled(_) => repeat == Repeat::Safe,
        Error::Problem(problem) => {
            // Not an overload (429): the server has tried the others' workers already, and asking
            // each server again would multiply the load just then.
            let wrong_server = [BAD_GATEWAY, SERVICE_UNAVAILABLE].map(u32::from);
            let not_run = problem.verdict == Verdict::NotRun.as_str();
            let has_run = problem.verdict == Verdict::Ran.as_str();
            let harmless = not_run || repeat == Repeat::Safe && !has_run;
            wrong_server.contains(&problem.status) && harmless
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
fn settle(err: Error, in_doubt: bool) -> Error {
    if in_doubt && proves_not_run(&err) {
        return Error::Unsettled(format!("{err}, but an earlier server may have taken it"));
    }
    err
}

/// The error of a call that changes nothing: there is no doubt about its effect.
fn harmless(err: Error) -> Error {
    match err {
        Error::Unsettled(detail) => Error::NoAnswer(detail),
        other => other,
    }
}

/// Turns the outcome of one exchange into the JSON answer or the error.
fn read(server: &Server, outcome: std::result::Result<Answer, Failure>) -> Result<Value> {
    let answer = match outcome {
        Ok(answer) => answer,
        Err(Failure::NotSent(detail)) => {
            return Err(Error::Unreachable(format!("{server}: {detail}")));
        }
        Err(Failure::NoAnswer(detail)) => {
            return Err(Error::Unsettled(format!("{server}: {detail}")));
        }
    };
    if !(200..300).contains(&answer.status) {
        return Err(Error::Problem(Box::new(problem(&answer))));
    }
    if answer.body.is_empty() {
        return Ok(Value::Null);
    }
    serde_json::from_slice(&answer.body).map_err(|err| Error::Unreadable(err.to_string()))
}

/// The problem document of an answer. An answer that is none, such as one of a balancer on the
/// way, becomes one without a verdict.
fn problem(answer: &Answer) -> v1::Problem {
    const MAX_SHOWN_CHARS: usize = 200;
    let status = u32::from(answer.status);
    if let Ok(problem) = serde_json::from_slice::<v1::Problem>(&answer.body) {
        return v1::Problem { status, ..problem };
    }
    let text = String::from_utf8_lossy(&answer.body);
    v1::Problem {
        title: format!("HTTP status {status}"),
        status,
        detail: text.trim().chars().take(MAX_SHOWN_CHARS).collect(),
        ..Default::default()
    }
}
