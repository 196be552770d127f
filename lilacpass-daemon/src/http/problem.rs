//! Problem documents and other responses.

use http::{HeaderValue, StatusCode, header};
use lilacpass_core::Verdict;
use lilacpass_schema::v1;
use serde::Serialize;
use volo_http::{body::Body, response::Response};

/// Header that carries the id of the request.
pub const REQUEST_ID: &str = "x-request-id";

/// A problem on its way out; boxed, since results carry it.
pub type BoxedProblem = Box<v1::Problem>;

/// A problem that the front found itself: nothing was handed to the state machine, so the request
/// certainly did not run.
pub fn not_run(status: StatusCode, name: &str, detail: impl Into<String>) -> BoxedProblem {
    problem(status, name, Verdict::NotRun, detail)
}

/// A problem with any verdict.
pub fn problem(
    status: StatusCode,
    name: &str,
    verdict: Verdict,
    detail: impl Into<String>,
) -> BoxedProblem {
    Box::new(v1::Problem {
        r#type: format!("urn:lilacpass:problem:{name}"),
        title: status.canonical_reason().unwrap_or("Problem").to_owned(),
        status: u32::from(status.as_u16()),
        detail: detail.into(),
        verdict: verdict.as_str().to_owned(),
        ..v1::Problem::default()
    })
}

/// Says when coming back helps.
#[must_use]
pub fn retry_after(mut problem: BoxedProblem, after_ms: u64) -> BoxedProblem {
    problem.retry_after_ms = after_ms;
    problem
}

/// A problem as response, with `Retry-After` where coming back helps.
pub fn response(mut problem: BoxedProblem, request_id: &str) -> Response {
    problem.request_id = request_id.to_owned();
    let status = u16::try_from(problem.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    let mut response = json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &problem);
    let headers = response.headers_mut();
    let problem_json = HeaderValue::from_static("application/problem+json");
    headers.insert(header::CONTENT_TYPE, problem_json);
    if problem.retry_after_ms > 0 {
        let after_s = problem.retry_after_ms.div_ceil(1_000);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(after_s));
    }
    if problem.status == u32::from(StatusCode::UNAUTHORIZED.as_u16()) {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}

/// A message as JSON response.
pub fn json(status: StatusCode, message: &impl Serialize) -> Response {
    match serde_json::to_vec(message) {
        Ok(body) => with_type(status, "application/json", body),
        Err(error) => {
            log::error!(error:% = error; "answer can't be written as JSON");
            with_type(StatusCode::INTERNAL_SERVER_ERROR, "application/json", b"{}".to_vec())
        }
    }
}

/// A response of plain text.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response {
    with_type(status, "text/plain; charset=utf-8", text.into().into_bytes())
}

fn with_type(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
