//! Generates the OpenAPI description of the HTTP interface.

use prost_types::{DescriptorProto, FileDescriptorProto, FileDescriptorSet};
use serde_json::{Map, Value, json};

use crate::{
    operations::{ALL_ROLES, OPERATIONS, Operation, PROBES, Probe},
    schema,
};

/// Media type of request and response bodies.
const JSON: &str = "application/json";

/// Name of the message that describes an error.
const PROBLEM: &str = "Problem";

/// Name of the message with which a caller requests work.
const WORK: &str = "JobSpec";
/// Fields of [`WORK`] that are required in a request body.
const REQUIRED_WORK_FIELDS: [&str; 2] = ["service", "team"];

/// Error statuses that every operation can return.
const COMMON_PROBLEMS: [u16; 6] = [400, 401, 429, 431, 503, 504];
/// Error status of operations that not every role may call.
const FORBIDDEN: u16 = 403;

/// All error statuses with their meanings.
const PROBLEMS: [(u16, &str); 15] = [
    (
        400,
        "Path, query, headers or body are invalid, or refer to something that is not configured.",
    ),
    (401, "The token is missing, unknown or expired, or the Authorization header is malformed."),
    (403, "The role of the token does not allow this, or the work belongs to another team."),
    (404, "There is no such job, or it belongs to another team."),
    (408, "The body did not arrive in time."),
    (409, "The idempotency key was used with a different body before."),
    (412, "Another change was accepted first; `winner` shows it."),
    (413, "The body is too long."),
    (422, "No worker of the inventory can ever hold this work."),
    (428, "If-Match is missing."),
    (429, "There is too much work now, or too many attempts from this address were refused."),
    (431, "The headers are too long."),
    (502, "The work ran and failed."),
    (503, "Not available now: no configuration, an overload, or the log cannot be reached."),
    (504, "The deadline has passed; `verdict` says whether the work may have run."),
];

const DESCRIPTION: &str = "Callers submit work and operators change the configuration. Each error \
    is reported as a problem document (RFC 9457), whose `verdict` says whether the request may \
    have run. Unknown body fields and unknown query parameters are refused; later versions may \
    add fields to responses. Other paths are answered with 404, other methods with 405 and an \
    Allow header. If the limit of connections is exceeded, the response is a 503 without \
    X-Request-Id; if the headers exceed the buffer of a connection, it is a 431 without a body.";

const TOKEN_DESCRIPTION: &str = "A token of the configuration, with the role operator, team or \
    read-only. A team can view and cancel only its own work. As long as the configuration has \
    no tokens, callers on a loopback address have the role operator without one.";

/// Returns the whole description as JSON text.
///
/// # Errors
///
/// Fails if the JSON form of a message is not known.
pub(crate) fn text(
    files: &FileDescriptorSet,
    is_strict: fn(&FileDescriptorProto, &DescriptorProto) -> bool,
) -> Result<String, String> {
    let bodies = OPERATIONS.iter().filter_map(|operation| operation.body);
    let responses = OPERATIONS.iter().map(|operation| operation.response);
    let roots = bodies.chain(responses).chain([PROBLEM]);
    let document = json!({
        "openapi": "3.1.0",
        "info": {
            "title": "lilacpass",
            "version": env!("CARGO_PKG_VERSION"),
            "description": DESCRIPTION,
        },
        "paths": paths(),
        "security": [{ "bearer": [] }],
        "components": {
            "schemas": schema::components(files, roots, is_strict)?,
            "parameters": parameters(),
            "headers": headers(),
            "responses": problems(),
            "securitySchemes": {
                "bearer": {
                    "type": "http",
                    "scheme": "bearer",
                    "description": TOKEN_DESCRIPTION,
                },
            },
        },
    });
    Ok(format!("{document:#}\n"))
}

/// Describes all operations and probes by path and method.
fn paths() -> Value {
    let mut paths = json!({});
    for operation in OPERATIONS {
        paths[operation.path][operation.method] = operation_object(operation);
    }
    for probe in PROBES {
        paths[probe.path]["get"] = probe_object(probe);
    }
    paths
}

/// Returns the OpenAPI operation object of an operation.
fn operation_object(operation: &Operation) -> Value {
    let mut object = json!({
        "operationId": operation.id,
        "summary": operation.summary,
        "description": format!("Roles: {}.", operation.roles.join(", ")),
        "x-roles": operation.roles,
        "responses": responses(operation),
    });
    if !operation.parameters.is_empty() {
        let refer = |name: &&str| component("parameters", name);
        object["parameters"] = operation.parameters.iter().map(refer).collect();
    }
    if let Some(body) = operation.body {
        let mut content = content(body);
        if body == WORK {
            content[JSON]["schema"]["required"] = json!(REQUIRED_WORK_FIELDS);
        }
        object["requestBody"] = json!({ "required": true, "content": content });
    }
    object
}

/// Describes the responses of an operation by status.
fn responses(operation: &Operation) -> Value {
    let mut success = json!({
        "description": "The request succeeded.",
        "headers": { "X-Request-Id": component("headers", "X-Request-Id") },
        "content": content(operation.response),
    });
    if operation.status == 202 {
        success["headers"]["Location"] = component("headers", "Location");
    }
    let mut responses = json!({ operation.status.to_string(): success });
    let forbidden = (operation.roles != ALL_ROLES).then_some(FORBIDDEN);
    let specific = operation.problems.iter().copied().chain(forbidden);
    for status in COMMON_PROBLEMS.into_iter().chain(specific) {
        responses[status.to_string()] = component("responses", &problem_name(status));
    }
    responses
}

/// Returns the OpenAPI operation object of a probe.
fn probe_object(probe: &Probe) -> Value {
    let response = |&(status, meaning): &(u16, &str)| {
        let content = json!({ "text/plain": { "schema": { "type": "string" } } });
        (status.to_string(), json!({ "description": meaning, "content": content }))
    };
    json!({
        "operationId": probe.id,
        "summary": probe.summary,
        "security": [],
        "responses": probe.responses.iter().map(response).collect::<Map<_, _>>(),
    })
}

/// Describes all parameters by name.
fn parameters() -> Value {
    json!({
        "id": {
            "name": "id",
            "in": "path",
            "required": true,
            "description": "Job id as 32 hexadecimal digits.",
            "schema": { "type": "string", "pattern": "^[0-9a-f]{32}$" },
        },
        "wait_ms": {
            "name": "wait_ms",
            "in": "query",
            "description": "Maximum time to wait for the end of the job, in milliseconds; values \
                            above 60000 count as 60000.",
            "schema": { "type": "integer", "minimum": 0 },
        },
        "Idempotency-Key": {
            "name": "Idempotency-Key",
            "in": "header",
            "description": "Identifies the request; if it is repeated with the same key, it runs \
                            only once.",
            "schema": { "type": "string", "pattern": "^[!-~]{1,128}$" },
        },
        "Deadline-Ms": {
            "name": "Deadline-Ms",
            "in": "header",
            "description": "Time that the caller waits, in milliseconds, up to the limit in the \
                            instance's settings; defaults to the deadline of the service.",
            "schema": { "type": "integer", "minimum": 1 },
        },
        "If-Match": {
            "name": "If-Match",
            "in": "header",
            "required": true,
            "description": "The revision that the change is based on.",
            "schema": { "type": "string", "pattern": "^(\"[0-9]+\"|[0-9]+)$" },
        },
    })
}

/// Describes all response headers by name.
fn headers() -> Value {
    let header = |kind: &str, description: &str| json!({ "description": description, "schema": { "type": kind } });
    json!({
        "X-Request-Id": header("string", "Id of the request, as shown in logs and problem documents."),
        "Location": header("string", "Path of the accepted job."),
        "Retry-After": header("integer", "Seconds after which to retry, if retrying can succeed."),
        "WWW-Authenticate": header("string", "The authentication scheme \"Bearer\"."),
    })
}

/// Describes the response of each error status.
fn problems() -> Map<String, Value> {
    let problem = |(status, meaning): (u16, &str)| {
        let mut headers = vec!["X-Request-Id"];
        match status {
            401 => headers.push("WWW-Authenticate"),
            422 | 429 | 503 | 504 => headers.push("Retry-After"),
            _ => {}
        }
        let named = |name: &str| (name.to_owned(), component("headers", name));
        let problem = json!({
            "description": meaning,
            "headers": headers.into_iter().map(named).collect::<Map<_, _>>(),
            "content": { "application/problem+json": { "schema": schema::reference(PROBLEM) } },
        });
        (problem_name(status), problem)
    };
    PROBLEMS.into_iter().map(problem).collect()
}

/// Returns the name of the response component for an error status.
fn problem_name(status: u16) -> String {
    format!("{PROBLEM}{status}")
}

/// Returns the content object of a JSON body that holds the given message.
fn content(message: &str) -> Value {
    json!({ JSON: { "schema": schema::reference(message) } })
}

/// Returns a reference to a component of the description.
fn component(kind: &str, name: &str) -> Value {
    json!({ "$ref": format!("#/components/{kind}/{name}") })
}
