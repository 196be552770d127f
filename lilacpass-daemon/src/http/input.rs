//! Reads requests: headers, query and body to typed requests, with a problem for each bad input.

use std::{fmt::Display, str::FromStr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use lilacpass_control::event::{ChangeRequest, QuickRequest, Request, SubmitRequest};
use lilacpass_core::{
    Class,
    ids::{JobId, KindId, Revision, ServiceId, TeamId},
};
use lilacpass_schema::v1;
use prost::Message;
use serde::de::DeserializeOwned;
use volo_http::body::Body;

use crate::http::{
    access::InForce,
    action::Action,
    problem::{self, BoxedProblem},
};

/// Header with the caller's name for one request, so that a repeated one runs once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the time that the caller waits, in milliseconds.
const DEADLINE_MS: &str = "deadline-ms";

/// Longest idempotency key, in bytes.
const MAX_KEY_LEN: usize = 128;

/// Longest text of all headers together, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait in one look at a job.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Deadline of a quick request where neither the caller nor its service sets one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Most tasks of one job.
const MAX_TASKS: u32 = 10_000;

type Result<T> = std::result::Result<T, BoxedProblem>;

/// Bounds of what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct InputLimits {
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest deadline that a caller may set.
    pub max_deadline: Duration,
}

/// Checks the size of headers. The connection has a greater limit of its own, for which it can
/// only answer without a body.
///
/// # Errors
///
/// The headers are too long.
pub fn check_headers(headers: &HeaderMap) -> Result<()> {
    let len: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if len <= MAX_HEADER_BYTES {
        return Ok(());
    }
    let detail = format!("headers of {len} bytes are longer than {MAX_HEADER_BYTES} bytes");
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    Err(problem::not_run(status, "headers-too-large", detail))
}

/// Reads a body whole.
///
/// # Errors
///
/// It is too long, too slow, or broke off.
pub async fn read_body(headers: &HeaderMap, body: Body, limits: &InputLimits) -> Result<Bytes> {
    let max = limits.max_body_bytes;
    let declared = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    if declared.and_then(|text| text.parse::<u64>().ok()).is_some_and(|len| len > max as u64) {
        return Err(too_large(max));
    }
    let collected = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, max).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(max)),
        Ok(Err(_)) => Err(invalid("the body broke off")),
        Err(_) => {
            let detail = "the body did not arrive in time";
            Err(problem::not_run(StatusCode::REQUEST_TIMEOUT, "body-timeout", detail))
        }
    }
}

/// Reads what exactly is asked for.
///
/// # Errors
///
/// Anything in headers, path, query or body that is not as it should be.
pub fn request(
    action: Action,
    parts: &Parts,
    body: &[u8],
    in_force: &InForce,
    limits: &InputLimits,
) -> Result<Request> {
    let wait = query_wait(action, parts.uri.query())?;
    Ok(match action {
        Action::Quick => Request::Quick(quick(&parts.headers, body, in_force, limits)?),
        Action::Submit => Request::Submit(submit(&parts.headers, body)?),
        Action::Jobs => Request::Jobs,
        Action::Job => match wait {
            Some(wait) => Request::WaitJob(job_id(parts)?, wait),
            None => Request::Job(job_id(parts)?),
        },
        Action::Cancel => Request::Cancel(job_id(parts)?),
        Action::Explain => Request::Explain(job_id(parts)?),
        Action::Change => Request::Change(change(&parts.headers, body)?),
        Action::Changes => Request::Changes,
        Action::Inventory | Action::Rules => Request::Inventory,
        Action::Workers => Request::Workers,
        Action::Status => Request::Status,
        Action::Audit => Request::Audit,
    })
}

fn quick(
    headers: &HeaderMap,
    body: &[u8],
    in_force: &InForce,
    limits: &InputLimits,
) -> Result<QuickRequest> {
    let spec = spec(body, Class::Urgent)?;
    let key = idempotency_key(headers)?;
    let deadline = match deadline(headers, limits)? {
        Some(deadline) => deadline,
        None => default_deadline(&spec, in_force).min(limits.max_deadline),
    };
    Ok(QuickRequest { body_digest: digest(&spec), spec, key, deadline })
}

fn submit(headers: &HeaderMap, body: &[u8]) -> Result<SubmitRequest> {
    let spec = spec(body, Class::Batch)?;
    let key = idempotency_key(headers)?.unwrap_or_else(random_key);
    Ok(SubmitRequest { body_digest: digest(&spec), spec, key })
}

fn change(headers: &HeaderMap, body: &[u8]) -> Result<ChangeRequest> {
    let base = base_revision(headers)?;
    let v1::ChangeRequest { ops, reason, dry_run } = json(body)?;
    if ops.iter().any(|op| op.op.is_none()) {
        return Err(invalid("ops: each step needs one kind of change"));
    }
    Ok(ChangeRequest { base, ops, reason, dry_run })
}

/// Reads a job specification and fills in what has an obvious value.
fn spec(body: &[u8], default_class: Class) -> Result<v1::JobSpec> {
    let mut spec: v1::JobSpec = json(body)?;
    if spec.class.is_empty() {
        let class = if spec.standing { Class::Standing } else { default_class };
        spec.class = class.as_str().to_owned();
    }
    spec.tasks = spec.tasks.max(1);
    check_field::<TeamId>("team", &spec.team)?;
    check_field::<ServiceId>("service", &spec.service)?;
    check_field::<Class>("class", &spec.class)?;
    if !spec.kind.is_empty() {
        check_field::<KindId>("kind", &spec.kind)?;
    }
    if spec.tasks > MAX_TASKS {
        return Err(invalid(format!("tasks: {} is more than {MAX_TASKS}", spec.tasks)));
    }
    Ok(spec)
}

fn check_field<T: FromStr>(name: &str, value: &str) -> Result<()>
where
    T::Err: Display,
{
    match value.parse::<T>() {
        Ok(_) => Ok(()),
        Err(error) => Err(invalid(format!("{name}: {error}"))),
    }
}

fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    // The derived readers also take an array of values in the order of the schema's fields. That
    // form would change its meaning with the schema, so it is not offered.
    if body.trim_ascii_start().first() != Some(&b'{') {
        return Err(invalid_body("a JSON object is needed"));
    }
    serde_json::from_slice(body).map_err(invalid_body)
}

fn invalid_body(error: impl Display) -> BoxedProblem {
    let detail = format!("the body is not as expected: {error}");
    problem::not_run(StatusCode::BAD_REQUEST, "invalid-body", detail)
}

/// Digest of what a body means, so that other spacing or order of fields is no other body.
fn digest(spec: &v1::JobSpec) -> String {
    blake3::hash(&spec.encode_to_vec()).to_hex().to_string()
}

fn random_key() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>> {
    let Some(key) = single(headers, IDEMPOTENCY_KEY)? else { return Ok(None) };
    if key.is_empty() || key.len() > MAX_KEY_LEN || !key.bytes().all(|b| b.is_ascii_graphic()) {
        let detail = format!("Idempotency-Key: 1 to {MAX_KEY_LEN} visible characters, no spaces");
        return Err(problem::not_run(StatusCode::BAD_REQUEST, "invalid-key", detail));
    }
    Ok(Some(key.to_owned()))
}

fn deadline(headers: &HeaderMap, limits: &InputLimits) -> Result<Option<Duration>> {
    let Some(text) = single(headers, DEADLINE_MS)? else { return Ok(None) };
    let max_ms = limits.max_deadline.as_millis();
    let deadline_ms = text.parse::<u64>().ok().filter(|ms| *ms > 0 && u128::from(*ms) <= max_ms);
    match deadline_ms {
        Some(ms) => Ok(Some(Duration::from_millis(ms))),
        None => {
            let detail = format!("Deadline-Ms: a whole number from 1 to {max_ms}");
            Err(problem::not_run(StatusCode::BAD_REQUEST, "invalid-deadline", detail))
        }
    }
}

fn default_deadline(spec: &v1::JobSpec, in_force: &InForce) -> Duration {
    let services = &in_force.configuration.services;
    let service = services.iter().find(|service| service.name == spec.service);
    match service.map(|service| service.default_deadline_ms) {
        None | Some(0) => DEFAULT_DEADLINE,
        Some(ms) => Duration::from_millis(ms),
    }
}

fn base_revision(headers: &HeaderMap) -> Result<Revision> {
    let Some(text) = single(headers, header::IF_MATCH.as_str())? else {
        let detail = "If-Match: the revision that the change builds on is needed";
        let status = StatusCode::PRECONDITION_REQUIRED;
        return Err(problem::not_run(status, "revision-needed", detail));
    };
    text.trim_matches('"').parse().map_err(|error| invalid(format!("If-Match: {error}")))
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(invalid(format!("{name}: given more than once")));
    }
    let text = value.to_str().map_err(|_| invalid(format!("{name}: is not plain text")))?;
    Ok(Some(text.trim()))
}

fn job_id(parts: &Parts) -> Result<JobId> {
    const ID_SEGMENT: usize = 3;
    let text = parts.uri.path().split('/').nth(ID_SEGMENT).unwrap_or_default();
    text.parse().map_err(|error| invalid(format!("job id: {error}")))
}

fn query_wait(action: Action, query: Option<&str>) -> Result<Option<Duration>> {
    let mut wait = None;
    for pair in query.unwrap_or_default().split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        if action != Action::Job || name != "wait_ms" {
            return Err(invalid(format!("unknown query parameter {name:?}")));
        }
        let wait_ms = value.parse().map_err(|_| invalid("wait_ms: a whole number is needed"))?;
        wait = Some(Duration::from_millis(wait_ms).min(MAX_WAIT));
    }
    Ok(wait)
}

fn too_large(max: usize) -> BoxedProblem {
    let detail = format!("the body is longer than {max} bytes");
    problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail)
}

fn invalid(detail: impl Into<String>) -> BoxedProblem {
    problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail)
}
