//! The OpenAPI description of the HTTP interface.

use prost_types::{DescriptorProto, FileDescriptorProto, FileDescriptorSet};
use serde_json::{Map, Value, json};

use crate::{
    operations::{ALL_ROLES, OPERATIONS, Operation, PROBES, Probe},
    schema,
};

/// Media type of bodies and answers.
const JSON: &str = "application/json";

/// Message of each problem.
const PROBLEM: &str = "Problem";

/// Message of the work that is asked for, and the fields that a request for work needs.
const WORK: &str = "JobSpec";
const NEEDED_OF_WORK: [&str; 2] = ["service", "team"];

/// Problems that each operation has.
const COMMON_PROBLEMS: [u16; 6] = [400, 401, 429, 431, 503, 504];
/// Problem of the operations that are not for every role.
const FORBIDDEN: u16 = 403;

/// All problems with the case that they stand for.
const PROBLEMS: [(u16, &str); 15] = [
    (400, "Path, query, headers or body are not as described, or name what is not configured."),
    (401, "No token of the cell, an expired one, or a malformed Authorization header."),
    (403, "The role of the token does not allow this, or the work is another team's."),
    (404, "There is no such job, or it is another team's."),
    (408, "The body did not arrive in time."),
    (409, "The idempotency key was used with another body before."),
    (412, "Another change came first; `winner` shows it."),
    (413, "The body is too long."),
    (422, "No worker of the inventory could ever hold this."),
    (428, "If-Match is missing."),
    (429, "There is too much work now, or too many tries from this address were refused."),
    (431, "The headers are too long."),
    (502, "The work ran and failed."),
    (503, "Not available now: no configuration, an overload, or the log can't be reached."),
    (504, "The time for an answer is over; `verdict` says whether the work may have run."),
];

const DESCRIPTION: &str = "Callers send work, operators change the configuration. Each failure \
    is a problem document (RFC 9457) whose `verdict` says whether the request may have run. \
    Unknown fields of bodies and unknown query parameters are refused; answers may get further \
    fields in later versions. Other paths are answered with 404, other methods with 405 and \
    Allow. Beyond the limit of connections the answer is a 503 without X-Request-Id, and headers \
    beyond the buffer of a connection get a 431 without a body.";

const TOKEN_DESCRIPTION: &str = "A token of the configuration, with the role operator, team or \
    read-only. A team sees and cancels only its own work. As long as the configuration has no \
    tokens, callers on a loopback address count as operator without one.";

/// The whole description, as text.
///
/// # Errors
///
/// A message has no known form in JSON.
pub(crate) fn text(
    files: &FileDescriptorSet,
    is_strict: fn(&FileDescriptorProto, &DescriptorProto) -> bool,
) -> Result<String, String> {
    let bodies = OPERATIONS.iter().filter_map(|operation| operation.body);
    let answers = OPERATIONS.iter().map(|operation| operation.answer);
    let roots = bodies.chain(answers).chain([PROBLEM]);
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

fn paths() -> Value {
    let mut paths = json!({});
    for operation in OPERATIONS {
        paths[operation.path][operation.method] = described(operation);
    }
    for probe in PROBES {
        paths[probe.path]["get"] = probed(probe);
    }
    paths
}

fn described(operation: &Operation) -> Value {
    let mut described = json!({
        "operationId": operation.id,
        "summary": operation.summary,
        "description": format!("Roles: {}.", operation.roles.join(", ")),
        "x-roles": operation.roles,
        "responses": responses(operation),
    });
    if !operation.parameters.is_empty() {
        let refer = |name: &&str| component("parameters", name);
        described["parameters"] = operation.parameters.iter().map(refer).collect();
    }
    if let Some(body) = operation.body {
        let mut content = content(body);
        if body == WORK {
            content[JSON]["schema"]["required"] = json!(NEEDED_OF_WORK);
        }
        described["requestBody"] = json!({ "required": true, "content": content });
    }
    described
}

fn responses(operation: &Operation) -> Value {
    let mut answer = json!({
        "description": "Done as asked.",
        "headers": { "X-Request-Id": component("headers", "X-Request-Id") },
        "content": content(operation.answer),
    });
    if operation.status == 202 {
        answer["headers"]["Location"] = component("headers", "Location");
    }
    let mut responses = json!({ operation.status.to_string(): answer });
    let forbidden = (operation.roles != ALL_ROLES).then_some(FORBIDDEN);
    let own = operation.problems.iter().copied().chain(forbidden);
    for status in COMMON_PROBLEMS.into_iter().chain(own) {
        responses[status.to_string()] = component("responses", &problem_name(status));
    }
    responses
}

fn probed(probe: &Probe) -> Value {
    let answer = |&(status, meaning): &(u16, &str)| {
        let content = json!({ "text/plain": { "schema": { "type": "string" } } });
        (status.to_string(), json!({ "description": meaning, "content": content }))
    };
    json!({
        "operationId": probe.id,
        "summary": probe.summary,
        "security": [],
        "responses": probe.answers.iter().map(answer).collect::<Map<_, _>>(),
    })
}

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
            "description": "Longest wait for the end of the job, in milliseconds; above 60000 it \
                            counts as 60000.",
            "schema": { "type": "integer", "minimum": 0 },
        },
        "Idempotency-Key": {
            "name": "Idempotency-Key",
            "in": "header",
            "description": "The caller's name for the request; one that is repeated with the same \
                            key runs once.",
            "schema": { "type": "string", "pattern": "^[!-~]{1,128}$" },
        },
        "Deadline-Ms": {
            "name": "Deadline-Ms",
            "in": "header",
            "description": "Time that the caller waits, in milliseconds, up to the limit of the \
                            instance's settings; else the default of the service.",
            "schema": { "type": "integer", "minimum": 1 },
        },
        "If-Match": {
            "name": "If-Match",
            "in": "header",
            "required": true,
            "description": "The revision that the change builds on.",
            "schema": { "type": "string", "pattern": "^(\"[0-9]+\"|[0-9]+)$" },
        },
    })
}

fn headers() -> Value {
    let header = |kind: &str, description: &str| json!({ "description": description, "schema": { "type": kind } });
    json!({
        "X-Request-Id": header("string", "Id of the request in logs and problem documents."),
        "Location": header("string", "Path of the accepted job."),
        "Retry-After": header("integer", "Seconds after which coming back helps, if it does."),
        "WWW-Authenticate": header("string", "The scheme \"Bearer\"."),
    })
}

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

fn problem_name(status: u16) -> String {
    format!("{PROBLEM}{status}")
}

fn content(message: &str) -> Value {
    json!({ JSON: { "schema": schema::reference(message) } })
}

fn component(kind: &str, name: &str) -> Value {
    json!({ "$ref": format!("#/components/{kind}/{name}") })
}
