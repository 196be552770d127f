//! Sends one HTTP request to one server.

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

/// Maximum time for connecting. It is shorter than the timeout of a request, so that a server that is down is
/// recognised as unreachable and not mistaken for one that may have received the request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// A bearer token. Its header value is marked as sensitive, so its text appears in no debug output.
#[derive(Clone)]
pub struct BearerToken(HeaderValue);

impl BearerToken {
    /// Creates the `Authorization` header value from the text of a token; surrounding whitespace is removed.
    pub fn new(text: &str) -> Result<Self, String> {
        let mut value =
            HeaderValue::from_str(&format!("Bearer {}", text.trim())).map_err(|_| {
                "the token contains characters that are not valid in an HTTP header".to_owned()
            })?;
        value.set_sensitive(true);
        Ok(Self(value))
    }
}

/// An HTTP request that can be sent to any server.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query string, such as `/v1/jobs`.
    pub path: String,
    /// Headers other than those for the body and the token.
    pub headers: Vec<(&'static str, String)>,
    /// JSON text of the body; empty for a request without a body.
    pub body: String,
    /// Maximum duration of the whole exchange, including the connection setup.
    pub timeout: Duration,
}

/// The response of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Why a request got no response. Both variants hold a description of the error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The connection could not be established, so nothing was sent.
    NotSent(String),
    /// The request may have reached the server, but no complete response arrived.
    NoResponse(String),
}

/// Sends `request` to `server` over a new connection.
///
/// Connections are not reused: if a device on the network path drops the state of an idle connection, the next request
/// on it would get no response until its timeout.
pub async fn send(
    server: &Server,
    request: &Request,
    token: Option<&BearerToken>,
) -> Result<Response, SendError> {
    match time::timeout(request.timeout, exchange(server, request, token)).await {
        Ok(result) => result,
        Err(_) => Err(SendError::NoResponse(format!("no response within {:?}", request.timeout))),
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
    let body_error = |err| SendError::NoResponse(format!("the response was cut off: {err}"));
    let body = response.into_body().into_vec().await.map_err(body_error)?;
    Ok(Response { status, body })
}

/// Classifies an error of the HTTP library. An error that occurs before the first byte is written proves that nothing
/// was sent; any other error proves nothing.
///
/// The library reports a failed connection attempt as a request error whose direct source is an I/O error. The source
/// of any later error is an error of the HTTP protocol.
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
