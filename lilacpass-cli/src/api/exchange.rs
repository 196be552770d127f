//! One request to one server, and what came of it.

use std::{error::Error, io, time::Duration};

use tokio::time;
use volo_http::{
    body::BodyConversion,
    client,
    error::{ClientError, client::ErrorKind},
    http::{
        Method,
        header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
    },
    response,
};

use crate::api::server::Server;

/// Longest time to wait for a connection; shorter than a call, so that a server that is down is
/// known as such, and not taken for one that got the request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// A bearer token. Its text appears in no debug output.
#[derive(Clone)]
pub struct Token(HeaderValue);

impl Token {
    /// Wraps the text of a token.
    pub fn new(text: &str) -> Result<Self, String> {
        let mut value = HeaderValue::from_str(&format!("Bearer {}", text.trim()))
            .map_err(|_| "the token holds characters that no token has".to_owned())?;
        value.set_sensitive(true);
        Ok(Self(value))
    }
}

/// A request to any server.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method of HTTP.
    pub method: Method,
    /// Path and query, such as `/v1/jobs`.
    pub path: String,
    /// Headers besides those of the body and the token.
    pub headers: Vec<(&'static str, String)>,
    /// JSON text; empty for no body.
    pub body: String,
    /// Time for the whole exchange.
    pub timeout: Duration,
}

/// What a server answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status of HTTP.
    pub status: u16,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// There was no connection, so nothing was sent.
    NotSent(String),
    /// The request may have reached the server.
    NoAnswer(String),
}

/// Sends `call` to `server` over a connection of its own.
///
/// No connection is kept for a later call: one that went silent between two calls, because
/// something on the way lost track of it, would swallow the next call until its timeout.
pub async fn send(server: &Server, call: &Call, token: Option<&Token>) -> Result<Answer, Failure> {
    match time::timeout(call.timeout, exchange(server, call, token)).await {
        Ok(result) => result,
        Err(_) => Err(Failure::NoAnswer(format!("none within {:?}", call.timeout))),
    }
}

async fn exchange(server: &Server, call: &Call, token: Option<&Token>) -> Result<Answer, Failure> {
    let mut builder = client::ClientBuilder::new();
    builder.set_connect_timeout(CONNECT_TIMEOUT.min(call.timeout / 2));
    let client: client::Client = builder.build().map_err(failure)?;
    let mut request = client.request(call.method.clone(), server.url(&call.path));
    for (name, value) in &call.headers {
        request = request.header(*name, value.as_str());
    }
    if let Some(Token(value)) = token {
        request = request.header(AUTHORIZATION, value.clone());
    }
    if !call.body.is_empty() {
        request = request.header(CONTENT_TYPE, "application/json").data(call.body.clone());
    }
    let answer: response::Response = request.send().await.map_err(failure)?;
    let status = answer.status().as_u16();
    let broken = |err| Failure::NoAnswer(format!("the answer broke off: {err}"));
    let body = answer.into_body().into_vec().await.map_err(broken)?;
    Ok(Answer { status, body })
}

/// Sorts the errors of the HTTP library: those from before the first byte left prove that nothing
/// was sent, all others prove nothing.
///
/// The library reports a connection that could not be made as an error of the request, caused
/// directly by an I/O error. Any error after that is caused by one of the HTTP protocol.
fn failure(err: ClientError) -> Failure {
    let not_connected = err.source().is_some_and(<dyn Error>::is::<io::Error>);
    match err.kind() {
        ErrorKind::Builder | ErrorKind::Connect | ErrorKind::LoadBalance | ErrorKind::Context => {
            Failure::NotSent(err.to_string())
        }
        ErrorKind::Request if not_connected => Failure::NotSent(err.to_string()),
        _ => Failure::NoAnswer(err.to_string()),
    }
}
