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
pub struct BearerToken(HeaderValue);

impl BearerToken {
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
pub struct Request {
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
pub struct Response {
    /// Status of HTTP.
    pub status: u16,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// There was no connection, so nothing was sent.
    NotSent(String),
    /// The request may have reached the server.
    NoResponse(String),
}

/// Sends `call` to `server` over a connection of its own.
///
/// No connection is kept for a later call: one that went silent between two calls, because
/// something on the way lost track of it, would swallow the next call until its timeout.
pub async fn send(
    server: &Server,
    request: &Request,
    token: Option<&BearerToken>,
) -> Result<Response, SendError> {
    match time::timeout(request.timeout, exchange(server, request, token)).await {
        Ok(result) => result,
        Err(_) => Err(SendError::NoResponse(format!("none within {:?}", request.timeout))),
    }
}

async fn exchange(
    server: &Server,
    request: &Request,
    token: Option<&BearerToken>,
) -> Result<Response, SendError> {
    let mut client_builder = client::ClientBuilder::new();
    client_builder.set_connect_timeout(CONNECT_TIMEOUT.min(request.timeout / 2));
    let client: client::Client = client_builder.build().map_err(classify_error)?;
    let mut request_builder = client.request(request.method.clone(), server.url(&request.path));
    for (name, value) in &request.headers {
        request_builder = request_builder.header(*name, value.as_str());
    }
    if let Some(BearerToken(value)) = token {
        request_builder = request_builder.header(AUTHORIZATION, value.clone());
    }
    if !request.body.is_empty() {
        request_builder =
            request_builder.header(CONTENT_TYPE, "application/json").data(request.body.clone());
    }
    let response: response::Response = request_builder.send().await.map_err(classify_error)?;
    let status = response.status().as_u16();
    let body_error = |err| SendError::NoResponse(format!("the answer broke off: {err}"));
    let body = response.into_body().into_vec().await.map_err(body_error)?;
    Ok(Response { status, body })
}

/// Sorts the errors of the HTTP library: those from before the first byte left prove that nothing
/// was sent, all others prove nothing.
///
/// The library reports a connection that could not be made as an error of the request, caused
/// directly by an I/O error. Any error after that is caused by one of the HTTP protocol.
fn classify_error(err: ClientError) -> SendError {
    let connect_failed = err.source().is_some_and(<dyn Error>::is::<io::Error>);
    match err.kind() {
        ErrorKind::Builder | ErrorKind::Connect | ErrorKind::LoadBalance | ErrorKind::Context => {
            SendError::NotSent(err.to_string())
        }
        ErrorKind::Request if connect_failed => SendError::NotSent(err.to_string()),
        _ => SendError::NoResponse(err.to_string()),
    }
}
