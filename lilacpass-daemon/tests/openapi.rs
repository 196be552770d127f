//! The OpenAPI description against a running front: routes, bodies, answers, roles and problems.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, LazyLock},
};

use common::{PATIENCE, daemon, http, settings};
use lilacpass_config::access;
use lilacpass_control::{
    Effect, Event,
    event::{Answer, Request},
};
use lilacpass_core::ids::Revision;
use lilacpass_daemon::daemon::Daemon;
use lilacpass_schema::v1;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

static DOCUMENT: LazyLock<Value> = LazyLock::new(|| {
    serde_json::from_str(include_str!("../../docs/openapi.json")).expect("a JSON document")
});

/// The source of the routes, to find a path that is routed and not described.
const ROUTES: &str = include_str!("../src/http/routes.rs");

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
const JOB_ID: &str = "00000000000000000000000000000007";
const SPEC: &str = r#"{"team":"vindbaar","service":"auditdienst"}"#;

/// One method on one path of the description.
struct Operation {
    method: String,
    path: &'static str,
    described: &'static Value,
}

impl Operation {
    fn line(&self) -> String {
        format!("{} {}", self.method, concrete(self.path))
    }

    fn statuses(&self) -> BTreeSet<u16> {
        let responses = self.described["responses"].as_object().expect("responses");
        responses.keys().map(|status| status.parse().expect("a status")).collect()
    }

    /// The schema of what it answers when all is well.
    fn answer(&self) -> Option<&'static Value> {
        let responses = self.described["responses"].as_object()?;
        let (_, answer) = responses.iter().find(|(status, _)| status.starts_with('2'))?;
        answer["content"]["application/json"].get("schema")
    }

    fn body(&self) -> Option<&'static Value> {
        self.described["requestBody"]["content"]["application/json"].get("schema")
    }

    /// Roles that may ask for it; nothing for probes, which need no token.
    fn roles(&self) -> Option<Vec<&'static str>> {
        let roles = self.described["x-roles"].as_array()?;
        Some(roles.iter().filter_map(Value::as_str).collect())
    }

    /// A request that is as described.
    async fn send(&self, daemon: &Daemon, token: Option<&str>) -> http::Reply {
        let body = self.body().map(|schema| request_body(schema)[0].to_string());
        let token = token.map(|token| format!("authorization: Bearer {token}"));
        let headers: Vec<_> = token.as_deref().into_iter().chain(["if-match: 1"]).collect();
        http::send(daemon.http_address, &self.line(), &headers, &body.unwrap_or_default()).await
    }
}

fn operations() -> Vec<Operation> {
    let paths = DOCUMENT["paths"].as_object().expect("paths");
    let of_path = |(path, methods): (&'static String, &'static Value)| {
        methods.as_object().expect("methods").iter().map(move |(method, described)| Operation {
            method: method.to_uppercase(),
            path,
            described,
        })
    };
    paths.iter().flat_map(of_path).collect()
}

fn concrete(path: &str) -> String {
    path.replace("{id}", JOB_ID)
}

fn resolved(schema: &'static Value) -> &'static Value {
    match schema["$ref"].as_str() {
        Some(reference) => {
            DOCUMENT.pointer(reference.trim_start_matches('#')).expect("what is referred to")
        }
        None => schema,
    }
}

/// Which fields without description a value may have.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Undescribed {
    /// None, also where later versions may add some: today's daemon has to be described whole.
    None,
    /// Any in objects whose schema doesn't refuse them.
    Allowed,
}

/// Whether a value is as its schema says.
fn check(value: &Value, schema: &'static Value, undescribed: Undescribed) -> Result<(), String> {
    // A reference may stand beside fields that are required in that place alone.
    let required = [schema, resolved(schema)].map(|schema| &schema["required"]);
    let schema = resolved(schema);
    let any = schema.get("anyOf").or(schema.get("oneOf")).and_then(Value::as_array);
    if let Some(any) = any {
        let fits = any.iter().any(|one| check(value, one, undescribed).is_ok());
        return fits.then_some(()).ok_or(format!("{value} is none of {any:?}"));
    }
    match (schema["type"].as_str().expect("a type"), value) {
        ("object", Value::Object(fields)) => {
            let described = schema["properties"].as_object().expect("properties");
            for name in required.into_iter().filter_map(Value::as_array).flatten() {
                let name = name.as_str().expect("a name");
                fields.get(name).ok_or(format!("{name} is missing"))?;
            }
            fields.iter().try_for_each(|(name, value)| {
                let closed = schema["additionalProperties"] == false;
                match described.get(name) {
                    None if undescribed == Undescribed::Allowed && !closed => Ok(()),
                    None => Err(format!("{name} is not described")),
                    Some(schema) => check(value, schema, undescribed),
                }
            })
        }
        ("array", Value::Array(items)) => {
            items.iter().try_for_each(|item| check(item, &schema["items"], undescribed))
        }
        ("integer", Value::Number(number)) => {
            let max = schema["maximum"].as_u64().unwrap_or(u64::MAX);
            let fits = number.as_u64().is_some_and(|number| number <= max);
            fits.then_some(()).ok_or(format!("{number} is out of range"))
        }
        ("string", Value::String(_)) | ("boolean", Value::Bool(_)) | ("null", Value::Null) => {
            Ok(())
        }
        (kind, value) => Err(format!("{value} is no {kind}")),
    }
}

/// A value with all that its schema describes.
fn sample(schema: &'static Value) -> Value {
    let schema = resolved(schema);
    if let Some(any) = schema.get("anyOf").or(schema.get("oneOf")) {
        return sample(&any[0]);
    }
    match schema["type"].as_str().expect("a type") {
        "object" => {
            let properties = schema["properties"].as_object().expect("properties");
            properties.iter().map(|(name, schema)| (name.clone(), sample(schema))).collect()
        }
        "array" => json!([sample(&schema["items"])]),
        "integer" => json!(7),
        "boolean" => json!(true),
        _ => json!("x"),
    }
}

fn message<T: DeserializeOwned>(name: &str) -> T {
    serde_json::from_value(sample(&DOCUMENT["components"]["schemas"][name])).expect(name)
}

/// Bodies that are as described: one for each kind of step, where the body is a change.
fn request_body(schema: &'static Value) -> Vec<Value> {
    let mut body = sample(schema);
    if body.get("ops").is_none() {
        body["class"] = json!("urgent");
        return vec![body];
    }
    let steps = &DOCUMENT["components"]["schemas"]["ConfigOp"]["properties"]["op"]["oneOf"];
    let steps = steps.as_array().expect("kinds of steps").iter();
    steps.map(|step| json!({ "ops": [{ "op": sample(step) }], "dry_run": true })).collect()
}

/// Answers with all that the description says.
fn full_answer(request: &Request) -> Answer {
    match request {
        Request::Quick(_) => Answer::Quick(message("QuickAnswer")),
        Request::Submit(_) | Request::Job(_) | Request::WaitJob(..) | Request::Cancel(_) => {
            Answer::Job(message("JobView"))
        }
        Request::Jobs => Answer::Jobs(message("JobList")),
        Request::Explain(_) => Answer::Explanation(message("Explanation")),
        Request::Change(_) => Answer::Change(message("ChangeAnswer")),
        Request::Changes => Answer::Changes(message("ChangeList")),
        Request::Inventory => Answer::Inventory(message("InventoryView")),
        Request::Workers => Answer::Workers(message("WorkerList")),
        Request::Status => Answer::Status(message("StatusView")),
        Request::Audit => Answer::Audit(message("AuditList")),
        Request::Refused { .. } => Answer::Done,
    }
}

/// Fails as the kind of work says, or by what was asked for.
fn failed_answer(request: &Request) -> Option<Answer> {
    let status = match request {
        Request::Quick(quick) => quick.spec.kind.parse().ok()?,
        Request::Submit(_) => 409,
        Request::Job(_) => 404,
        Request::Change(_) => 412,
        other => return Some(full_answer(other)),
    };
    Some(Answer::Problem(v1::Problem { status, ..message("Problem") }))
}

/// A daemon with `tokens` in force, whose state machine answers as `answer` says.
async fn front(
    tokens: Vec<v1::AccessToken>,
    answer: impl Fn(&Request) -> Option<Answer> + Send + 'static,
) -> Daemon {
    let configuration = Arc::new(v1::Configuration { tokens, ..v1::Configuration::default() });
    let daemon = daemon(&settings("max_body_bytes = 16384"), move |event, out| match event {
        // The platform is not there, so this event comes soon.
        Event::ReadFailed { .. } => {
            let configuration = configuration.clone();
            out.push(Effect::InForce { revision: Revision(1), configuration });
            out.push(Effect::Ready(true));
        }
        Event::Request { reply, request, .. } => {
            out.extend(answer(&request).map(|answer| Effect::Reply { to: reply, answer }));
        }
        _ => {}
    })
    .await;
    let ready = async {
        while http::send(daemon.http_address, "GET /readyz", &[], "").await.status != 200 {}
    };
    tokio::time::timeout(PATIENCE, ready).await.expect("becomes ready");
    daemon
}

async fn answering() -> Daemon {
    front(Vec::new(), |request| Some(full_answer(request))).await
}

/// A token of each role, with what the configuration keeps of it.
fn tokens() -> (BTreeMap<&'static str, String>, Vec<v1::AccessToken>) {
    let token = |role: &'static str| {
        let (text, token) = access::new_token(role);
        let (role_name, team) = (role.to_owned(), "vindbaar".to_owned());
        ((role, text), v1::AccessToken { role: role_name, team, ..token })
    };
    ["operator", "team", "read-only"].into_iter().map(token).unzip()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_routes_of_the_code_and_of_the_description_are_the_same() {
    let daemon = answering().await;
    let routes = ROUTES.split(".route(").skip(1);
    let paths: BTreeSet<_> =
        routes.map(|route| route.split('"').nth(1).expect("a path as literal")).collect();
    let described: BTreeSet<_> = operations().iter().map(|operation| operation.path).collect();
    assert_eq!(paths, described);
    for path in paths {
        let methods = operations().into_iter().filter(|operation| operation.path == path);
        let described: BTreeSet<_> = methods.map(|operation| operation.method).collect();
        let mut routed = BTreeSet::new();
        for method in METHODS {
            let line = format!("{method} {}", concrete(path));
            let reply = http::send(daemon.http_address, &line, &["if-match: 1"], SPEC).await;
            if reply.status != 405 {
                assert_ne!(reply.status, 404, "{line}: {reply:?}");
                routed.insert(method.to_owned());
                continue;
            }
            let allowed = reply.header("allow").unwrap_or_default().split(", ");
            assert_eq!(allowed.map(str::to_owned).collect::<BTreeSet<_>>(), described, "{line}");
        }
        assert_eq!(routed, described, "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_as_described() {
    let daemon = answering().await;
    for operation in operations() {
        let line = operation.line();
        let reply = operation.send(&daemon, None).await;
        assert!(operation.statuses().contains(&reply.status), "{line}: {reply:?}");
        assert!(matches!(reply.status, 200 | 202), "{line}: {reply:?}");
        let Some(schema) = operation.answer() else { continue };
        let body: Value = serde_json::from_str(&reply.body).expect("JSON");
        assert_eq!(check(&body, schema, Undescribed::None), Ok(()), "{line}: {body:#}");
        assert_eq!(reply.header("content-type"), Some("application/json"), "{line}");
        assert!(reply.header("x-request-id").is_some(), "{line}");
        assert_eq!(reply.header("location").is_some(), reply.status == 202, "{line}");
    }
}

/// All places in a value, as JSON pointers.
fn places(value: &Value, at: &str, found: &mut Vec<String>) {
    found.push(at.to_owned());
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| places(value, &format!("{at}/{name}"), found));
        }
        Value::Array(items) => {
            items.iter().enumerate().for_each(|(i, v)| places(v, &format!("{at}/{i}"), found));
        }
        _ => {}
    }
}

/// The body with one fault at one place: another type, nothing, a field too many or too few.
fn altered(body: &Value, place: &str) -> Vec<Value> {
    let with = |change: &dyn Fn(&mut Value)| {
        let mut body = body.clone();
        change(body.pointer_mut(place).expect("the place"));
        body
    };
    let mut altered =
        vec![with(&|value| *value = json!(-1.5)), with(&|value| *value = json!(null))];
    for name in body.pointer(place).and_then(Value::as_object).into_iter().flat_map(|o| o.keys()) {
        altered.push(with(&|value| drop(value.as_object_mut().expect("object").remove(name))));
    }
    if body.pointer(place).is_some_and(Value::is_object) {
        altered.push(with(&|value| value["unknown"] = json!(1)));
    }
    altered
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_are_taken_exactly_where_the_description_allows_them() {
    let daemon = answering().await;
    for operation in operations() {
        let Some(schema) = operation.body() else { continue };
        for body in request_body(schema) {
            let mut places_of_body = Vec::new();
            places(&body, "", &mut places_of_body);
            let altered = places_of_body.iter().flat_map(|place| altered(&body, place));
            for body in [body.clone()].into_iter().chain(altered) {
                let (line, text) = (operation.line(), body.to_string());
                let reply = http::send(daemon.http_address, &line, &["if-match: 1"], &text).await;
                let described = check(&body, schema, Undescribed::Allowed);
                let taken = matches!(reply.status, 200 | 202);
                assert_eq!(taken, described.is_ok(), "{line} {text}: {described:?}, {reply:?}");
                assert!(taken || reply.status == 400, "{line} {text}: {reply:?}");
            }
        }
    }
}

/// A value outside the schema of a parameter.
fn bad_value(name: &str) -> &'static str {
    match name {
        "id" => "0000000000000000000000000000000z",
        "wait_ms" => "-1",
        "Idempotency-Key" => "a b",
        "Deadline-Ms" => "0",
        "If-Match" => "x",
        other => panic!("{other} has no bad value here"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn parameters_are_read_as_described() {
    let daemon = answering().await;
    for operation in operations() {
        let body = operation.body().map(|schema| request_body(schema)[0].to_string());
        let body = body.unwrap_or_default();
        let send = async |line: &str, headers: &[&str]| {
            http::send(daemon.http_address, line, headers, &body).await.status
        };
        let line = operation.line();
        for parameter in operation.described["parameters"].as_array().into_iter().flatten() {
            let parameter = resolved(parameter);
            let name = parameter["name"].as_str().expect("a name");
            let bad = bad_value(name);
            let header = format!("{name}: {bad}");
            let status = match parameter["in"].as_str() {
                Some("path") => send(&line.replace(JOB_ID, bad), &[]).await,
                Some("query") => send(&format!("{line}?{name}={bad}"), &[]).await,
                _ => send(&line, &[&header]).await,
            };
            assert_eq!(status, 400, "{line}: {name}");
            if parameter["in"] != "path" {
                let is_needed = send(&line, &[]).await == 428;
                assert_eq!(is_needed, parameter["required"] == true, "{line}: {name}");
            }
        }
        if operation.roles().is_some() {
            assert_eq!(send(&format!("{line}?unknown=1"), &["if-match: 1"]).await, 400, "{line}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn roles_are_as_described() {
    let (texts, tokens) = tokens();
    let daemon = front(tokens, |request| Some(full_answer(request))).await;
    for operation in operations() {
        let line = operation.line();
        let Some(roles) = operation.roles() else {
            assert_eq!(operation.send(&daemon, None).await.status, 200, "{line}");
            continue;
        };
        assert_eq!(operation.send(&daemon, None).await.status, 401, "{line}");
        for (role, text) in &texts {
            let status = operation.send(&daemon, Some(text)).await.status;
            assert_eq!(status == 403, !roles.contains(role), "{line} as {role}: {status}");
        }
        let for_all = texts.keys().all(|role| roles.contains(role));
        assert_eq!(operation.statuses().contains(&403), !for_all, "{line}");
    }
}

/// A request, with its headers and body, that leads to a problem.
type Faulty = (u16, &'static str, Vec<String>, String);

fn faulty(tokens: &BTreeMap<&str, String>) -> Vec<Faulty> {
    let quick = "POST /v1/requests";
    let jobs = "POST /v1/jobs";
    let job = "GET /v1/jobs/00000000000000000000000000000007";
    let changes = "POST /v1/changes";
    let bearer = |role| format!("authorization: Bearer {}", tokens[role]);
    let of_kind = |kind| SPEC.replace('}', &format!(r#","kind":"{kind}"}}"#));
    let case = |status, line, header: &str, body: &str| {
        let headers = [bearer("operator"), header.to_owned()];
        let headers = headers.into_iter().filter(|header| !header.is_empty()).collect();
        (status, line, headers, body.to_owned())
    };
    vec![
        case(400, "GET /v1/jobs?x=1", "", ""),
        (401, "GET /v1/jobs", vec!["authorization: Basic x".to_owned()], String::new()),
        (403, jobs, vec![bearer("read-only")], SPEC.to_owned()),
        case(404, job, "", ""),
        case(409, jobs, "", SPEC),
        case(412, changes, "if-match: 1", "{}"),
        case(413, jobs, "", &" ".repeat(20_000)),
        case(422, quick, "", &of_kind("422")),
        case(428, changes, "", "{}"),
        case(431, "GET /v1/jobs", &format!("x: {}", "y".repeat(20_000)), ""),
        case(502, quick, "", &of_kind("502")),
        // The state machine never answers this one.
        case(504, quick, "deadline-ms: 1", SPEC),
    ]
}

/// Checks a problem against the description of its route, and gives its status.
fn check_problem(line: &str, reply: &http::Reply) -> u16 {
    let line = line.split('?').next().unwrap_or_default();
    let all = operations();
    let operation = all.iter().find(|operation| operation.line() == line).expect("described");
    let response = resolved(&operation.described["responses"][reply.status.to_string()]);
    let schema = &response["content"]["application/problem+json"]["schema"];
    assert!(!schema.is_null(), "{line}: {} is not described", reply.status);
    let body: Value = serde_json::from_str(&reply.body).expect("JSON");
    assert_eq!(check(&body, schema, Undescribed::None), Ok(()), "{line}: {body:#}");
    assert_eq!(body["status"], reply.status, "{line}");
    assert_eq!(reply.header("content-type"), Some("application/problem+json"), "{line}");
    assert!(reply.header("x-request-id").is_some(), "{line}");
    if body["retry_after_ms"] != 0 && response["headers"].get("Retry-After").is_some() {
        assert!(reply.header("retry-after").is_some(), "{line}: {reply:?}");
    }
    reply.status
}

#[tokio::test(flavor = "multi_thread")]
async fn each_described_problem_can_be_met() {
    let (texts, tokens) = tokens();
    let daemon = front(tokens, failed_answer).await;
    let address = daemon.http_address;
    let mut met = BTreeSet::new();
    for (status, line, headers, body) in faulty(&texts) {
        let headers: Vec<_> = headers.iter().map(String::as_str).collect();
        let reply = http::send(address, line, &headers, &body).await;
        assert_eq!(reply.status, status, "{line}: {reply:?}");
        met.insert(check_problem(line, &reply));
    }
    // A body that never comes whole.
    let token = format!("authorization: Bearer {}", texts["operator"]);
    let slow = http::request("POST /v1/jobs", &[&token], SPEC);
    let reply = http::raw(address, &slow.as_bytes()[..slow.len() - 1]).await;
    met.insert(check_problem("POST /v1/jobs", &reply));
    // One wrong token after the other.
    let guesses = async {
        loop {
            let guess = ["authorization: Bearer lilac_none_00"];
            let reply = http::send(address, "GET /v1/status", &guess, "").await;
            if check_problem("GET /v1/status", &reply) != 401 {
                return reply.status;
            }
        }
    };
    met.insert(tokio::time::timeout(PATIENCE, guesses).await.expect("the limit is reached"));
    // No configuration is in force yet.
    let new = common::daemon(&settings(""), |_, _| {}).await;
    let reply = http::send(new.http_address, "GET /v1/jobs", &[], "").await;
    met.insert(check_problem("GET /v1/jobs", &reply));

    let described = operations().into_iter().filter(|operation| operation.answer().is_some());
    let described: BTreeSet<_> = described.flat_map(|operation| operation.statuses()).collect();
    let problems: BTreeSet<_> = described.into_iter().filter(|status| *status >= 400).collect();
    assert_eq!(met, problems);
}
