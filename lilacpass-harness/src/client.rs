//! A small typed client of the HTTP interface.

use std::{net::SocketAddr, time::Duration};

use lilacpass_schema::v1;
use serde::{Serialize, de::DeserializeOwned};
use volo_http::{
    body::{Body, BodyConversion},
    client::{Client, ClientBuilder},
    http::{Method, StatusCode},
};

use crate::error::{Error, Result};

/// Time above the deadline of a request after which the caller gives up by itself.
const GRACE: Duration = Duration::from_secs(3);
/// Time for calls without a deadline of their own.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// How a call ended for the caller.
#[derive(Clone, Debug)]
pub enum Reply<T> {
    /// Answered.
    Done(T),
    /// Refused or failed, with a problem document.
    Problem(Box<v1::Problem>),
    /// No whole answer: the connection failed or was cut, or nothing came in time.
    Broken(String),
}

impl<T> Reply<T> {
    /// The answer, or an error that names what was asked for.
    pub fn require(self, what: &str) -> Result<T> {
        let detail = match self {
            Self::Done(value) => return Ok(value),
            Self::Problem(problem) => format!("{problem:?}"),
            Self::Broken(detail) => detail,
        };
        Err(Error::Unexpected(what.to_owned(), detail))
    }

    /// The answer, where there is one.
    pub fn done(self) -> Option<T> {
        match self {
            Self::Done(value) => Some(value),
            Self::Problem(_) | Self::Broken(_) => None,
        }
    }
}

/// Calls the HTTP interface of entry instances with one token.
#[derive(Clone)]
pub struct Api {
    client: Client,
    token: String,
}

/// What one call sends.
struct Call<'a> {
    method: Method,
    to: SocketAddr,
    path: &'a str,
    headers: Vec<(&'static str, String)>,
    body: Option<Vec<u8>>,
    limit: Duration,
}

impl Api {
    /// A client that shows `token`; an empty one is not shown.
    pub fn new(token: &str) -> Result<Self> {
        let client = ClientBuilder::new()
            .build()
            .map_err(|err| Error::Unexpected("the HTTP client".to_owned(), err.to_string()))?;
        Ok(Self { client, token: token.to_owned() })
    }

    /// Sends a quick request.
    pub async fn quick(
        &self,
        to: SocketAddr,
        spec: &v1::JobSpec,
        key: &str,
        deadline: Duration,
    ) -> Reply<v1::QuickAnswer> {
        let headers = vec![
            ("Idempotency-Key", key.to_owned()),
            ("Deadline-Ms", deadline.as_millis().to_string()),
        ];
        let limit = deadline + GRACE;
        let body = Some(to_json(spec));
        self.call(Call { method: Method::POST, to, path: "/v1/requests", headers, body, limit })
            .await
    }

    /// Submits a job.
    pub async fn submit(
        &self,
        to: SocketAddr,
        spec: &v1::JobSpec,
        key: &str,
    ) -> Reply<v1::JobView> {
        let headers = vec![("Idempotency-Key", key.to_owned())];
        let body = Some(to_json(spec));
        let limit = CALL_LIMIT;
        self.call(Call { method: Method::POST, to, path: "/v1/jobs", headers, body, limit }).await
    }

    /// Waits for the end of a job, at most for `wait`.
    pub async fn wait_job(
        &self,
        to: SocketAddr,
        job_id: &str,
        wait: Duration,
    ) -> Reply<v1::JobView> {
        let path = format!("/v1/jobs/{job_id}?wait_ms={}", wait.as_millis());
        self.get_within(to, &path, wait + GRACE).await
    }

    /// Cancels a job.
    pub async fn cancel(&self, to: SocketAddr, job_id: &str) -> Reply<v1::JobView> {
        let path = format!("/v1/jobs/{job_id}");
        let call = Call {
            method: Method::DELETE,
            to,
            path: &path,
            headers: Vec::new(),
            body: None,
            limit: CALL_LIMIT,
        };
        self.call(call).await
    }

    /// Changes the configuration.
    pub async fn change(
        &self,
        to: SocketAddr,
        base_revision: u64,
        change: &v1::ChangeRequest,
    ) -> Reply<v1::ChangeAnswer> {
        let call = Call {
            method: Method::POST,
            to,
            path: "/v1/changes",
            headers: vec![("If-Match", base_revision.to_string())],
            body: Some(to_json(change)),
            limit: CALL_LIMIT,
        };
        self.call(call).await
    }

    /// Reads a document such as `/v1/status`.
    pub async fn get<T: DeserializeOwned>(&self, to: SocketAddr, path: &str) -> Reply<T> {
        self.get_within(to, path, CALL_LIMIT).await
    }

    /// Whether an entry instance says that it takes traffic.
    pub async fn is_ready(&self, to: SocketAddr) -> bool {
        let request = self.client.get(format!("http://{to}/readyz")).send();
        let answer = tokio::time::timeout(CALL_LIMIT, request).await;
        matches!(answer, Ok(Ok(response)) if response.status() == StatusCode::OK)
    }

    /// The text of `/metrics`.
    pub async fn metrics(&self, to: SocketAddr) -> Option<String> {
        let response = self.client.get(format!("http://{to}/metrics")).send().await.ok()?;
        response.into_string().await.ok()
    }

    async fn get_within<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Reply<T> {
        let headers = Vec::new();
        self.call(Call { method: Method::GET, to, path, headers, body: None, limit }).await
    }

    async fn call<T: DeserializeOwned>(&self, call: Call<'_>) -> Reply<T> {
        let limit = call.limit;
        match tokio::time::timeout(limit, self.exchange(call)).await {
            Ok(Ok((status, body))) => read_reply(status, &body),
            Ok(Err(detail)) => Reply::Broken(detail),
            Err(_) => Reply::Broken(format!("no answer within {} ms", limit.as_millis())),
        }
    }

    /// Sends a request and reads the whole answer.
    async fn exchange(&self, call: Call<'_>) -> std::result::Result<(StatusCode, Vec<u8>), String> {
        let uri = format!("http://{}{}", call.to, call.path);
        let mut request = self.client.request(call.method, uri);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        if !self.token.is_empty() {
            request = request.header("Authorization", format!("Bearer {}", self.token));
        }
        if let Some(body) = call.body {
            request = request.header("Content-Type", "application/json").body(Body::from(body));
        }
        let response = request.send().await.map_err(|err| error_chain(&err))?;
        let status = response.status();
        let body = response.into_vec().await.map_err(|err| error_chain(&err))?;
        Ok((status, body))
    }
}

fn read_reply<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Reply<T> {
    if status.is_success() {
        return match serde_json::from_slice(body) {
            Ok(value) => Reply::Done(value),
            Err(err) => Reply::Broken(format!("{status} with an unreadable body: {err}")),
        };
    }
    match serde_json::from_slice(body) {
        Ok(problem) => Reply::Problem(Box::new(problem)),
        Err(err) => Reply::Broken(format!("{status} without a problem document: {err}")),
    }
}

fn to_json(message: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(message).expect("messages of the schema can be written as JSON")
}

fn error_chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut cause = err.source();
    while let Some(err) = cause {
        text = format!("{text}: {err}");
        cause = err.source();
    }
    text
}
