//! The HTTP interface: bad input, access, limits, callers that go away, and a planned stop.

mod common;

use std::sync::{Arc, Mutex, mpsc};

use common::{PATIENCE, daemon, http, settings, wait_for};
use lilacpass_config::access;
use lilacpass_control::{
    Effect, Event,
    event::{Answer, ReplyId, Request},
};
use lilacpass_core::ids::Revision;
use lilacpass_daemon::daemon::{Daemon, DaemonError};
use lilacpass_schema::v1;
use tokio::{io::AsyncWriteExt, net::TcpStream};

const SPEC: &str = r#"{"team":"vindbaar","service":"auditdienst","kind":"page"}"#;

/// Answers everything at once.
fn at_once(event: Event, out: &mut Vec<Effect>) {
    match event {
        Event::Request { reply, request, .. } => {
            let answer = match request {
                Request::Quick(quick) => Answer::Quick(v1::QuickAnswer {
                    verdict: "ran".to_owned(),
                    result: quick.deadline.as_millis().to_string(),
                    ..v1::QuickAnswer::default()
                }),
                Request::Submit(submit) => {
                    let job_id = submit.body_digest;
                    Answer::Job(v1::JobView { job_id, ..v1::JobView::default() })
                }
                Request::Inventory => Answer::Inventory(v1::InventoryView::default()),
                _ => Answer::Done,
            };
            out.push(Effect::Reply { to: reply, answer });
        }
        Event::Stop => out.push(Effect::Stopped),
        _ => {}
    }
}

/// A daemon that answers at once and has `configuration` in force.
async fn in_force(traffic: &str, configuration: v1::Configuration) -> Daemon {
    in_force_with(traffic, configuration, at_once).await
}

async fn in_force_with(
    traffic: &str,
    configuration: v1::Configuration,
    mut script: impl FnMut(Event, &mut Vec<Effect>) + Send + 'static,
) -> Daemon {
    let configuration = Arc::new(configuration);
    let daemon = daemon(&settings(traffic), move |event, out| {
        // The platform is not there, so this event comes soon.
        if let Event::ReadFailed { .. } = event {
            let configuration = configuration.clone();
            out.push(Effect::InForce { revision: Revision(1), configuration });
            out.push(Effect::Ready(true));
        }
        script(event, out);
    })
    .await;
    until_ready(&daemon).await;
    daemon
}

async fn answering(traffic: &str) -> Daemon {
    in_force(traffic, v1::Configuration::default()).await
}

struct BadInput {
    name: &'static str,
    line: String,
    headers: Vec<String>,
    body: String,
    status: u16,
    kind: &'static str,
}

fn bad(
    name: &'static str,
    line: &str,
    headers: &[&str],
    body: &str,
    (status, kind): (u16, &'static str),
) -> BadInput {
    let headers = headers.iter().map(|&header| header.to_owned()).collect();
    BadInput { name, line: line.to_owned(), headers, body: body.to_owned(), status, kind }
}

fn bad_inputs() -> Vec<BadInput> {
    let quick = "POST /v1/requests";
    let jobs = "POST /v1/jobs";
    let long_header = format!("x: {}", "y".repeat(20_000));
    let bad_wait = format!("GET /v1/jobs/{}?wait_ms=x", "0".repeat(32));
    let other_spec = |from, to| SPEC.replace(from, to);
    vec![
        bad("no JSON", quick, &[], "{", (400, "invalid-body")),
        bad("empty body", quick, &[], "", (400, "invalid-body")),
        bad("array", quick, &[], "[]", (400, "invalid-body")),
        bad("unknown field", jobs, &[], r#"{"tem":"x"}"#, (400, "invalid-body")),
        bad("wrong type", jobs, &[], r#"{"team":1}"#, (400, "invalid-body")),
        bad("field twice", jobs, &[], r#"{"team":"a","team":"b"}"#, (400, "invalid-body")),
        bad("no team", jobs, &[], &other_spec("vindbaar", ""), (400, "invalid")),
        bad("no service", jobs, &[], &other_spec("auditdienst", ""), (400, "invalid")),
        bad("bad team name", jobs, &[], &other_spec("vindbaar", "a b"), (400, "invalid")),
        bad("bad class", jobs, &[], &other_spec("}", r#","class":"x"}"#), (400, "invalid")),
        bad("too many tasks", jobs, &[], &other_spec("}", r#","tasks":99999}"#), (400, "invalid")),
        bad("key with spaces", jobs, &["idempotency-key: a b"], SPEC, (400, "invalid-key")),
        bad("empty key", jobs, &["idempotency-key:"], SPEC, (400, "invalid-key")),
        bad(
            "key twice",
            jobs,
            &["idempotency-key: a", "idempotency-key: b"],
            SPEC,
            (400, "invalid"),
        ),
        bad("deadline of nothing", quick, &["deadline-ms: 0"], SPEC, (400, "invalid-deadline")),
        bad("deadline as text", quick, &["deadline-ms: soon"], SPEC, (400, "invalid-deadline")),
        bad("deadline too long", quick, &["deadline-ms: 60001"], SPEC, (400, "invalid-deadline")),
        bad("change without base", "POST /v1/changes", &[], "{}", (428, "revision-needed")),
        bad("bad base", "POST /v1/changes", &["if-match: x"], "{}", (400, "invalid")),
        bad(
            "empty step",
            "POST /v1/changes",
            &["if-match: 1"],
            r#"{"ops":[{}]}"#,
            (400, "invalid"),
        ),
        bad("bad job id", "GET /v1/jobs/zz", &[], "", (400, "invalid")),
        bad("unknown query", "GET /v1/jobs?x=1", &[], "", (400, "invalid")),
        bad("bad wait", &bad_wait, &[], "", (400, "invalid")),
        bad("unknown path", "GET /v2/jobs", &[], "", (404, "unknown-path")),
        bad("unknown method", "PUT /v1/jobs", &[], "", (405, "method")),
        bad("long body", jobs, &[], &" ".repeat(5_000), (413, "body-too-large")),
        bad("long headers", "GET /v1/jobs", &[&long_header], "", (431, "headers-too-large")),
        bad("other scheme", "GET /v1/jobs", &["authorization: Basic x"], "", (401, "unauthorized")),
        bad(
            "token before any is set",
            "GET /v1/jobs",
            &["authorization: Bearer x"],
            "",
            (401, "unauthorized"),
        ),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn each_bad_input_gets_a_problem_document_that_says_not_run() {
    let daemon = answering("max_body_bytes = 4096").await;
    for input in bad_inputs() {
        let name = input.name;
        let headers: Vec<_> = input.headers.iter().map(String::as_str).collect();
        let reply = http::send(daemon.http_address, &input.line, &headers, &input.body).await;
        let problem = reply.problem();
        assert_eq!(reply.status, input.status, "{name}: {reply:?}");
        assert_eq!(problem.r#type, format!("urn:lilacpass:problem:{}", input.kind), "{name}");
        assert_eq!(problem.verdict, "not_run", "{name}");
        assert_eq!(problem.status, u32::from(input.status), "{name}");
        assert_eq!(reply.header("x-request-id"), Some(problem.request_id.as_str()), "{name}");
    }
    let alive = http::send(daemon.http_address, "POST /v1/requests", &[], SPEC).await;
    assert_eq!(alive.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_declared_length_is_bounded_as_well() {
    let daemon = answering("max_body_bytes = 1024").await;
    let head = "POST /v1/jobs HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\
                transfer-encoding: chunked\r\n\r\n";
    let chunk = format!("400\r\n{}\r\n", "x".repeat(1_024));
    let reply = http::raw(daemon.http_address, format!("{head}{chunk}{chunk}").as_bytes()).await;
    assert_eq!((reply.status, reply.problem().verdict.as_str()), (413, "not_run"));
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_are_not_http_get_a_4xx() {
    let daemon = answering("").await;
    let reply = http::raw(daemon.http_address, b"\x16\x03\x01 nonsense\r\n\r\n").await;
    assert_eq!(reply.status, 400);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_comes_from_the_header_or_else_from_the_default() {
    let daemon = answering("").await;
    let line = "POST /v1/requests";
    let own = http::send(daemon.http_address, line, &["Deadline-Ms: 1234"], SPEC).await;
    let own: v1::QuickAnswer = serde_json::from_str(&own.body).expect("answer");
    let none = http::send(daemon.http_address, line, &[], SPEC).await;
    let none: v1::QuickAnswer = serde_json::from_str(&none.body).expect("answer");
    assert_eq!((own.result.as_str(), none.result.as_str()), ("1234", "10000"));
}

/// A caller repeats a request with the same key, and its library writes the fields in another
/// order. That must not count as "same key, other body".
#[tokio::test(flavor = "multi_thread")]
async fn the_digest_of_a_body_ignores_spacing_and_order() {
    let daemon = answering("").await;
    let other = r#"{ "service":"auditdienst", "kind":"page", "team":"vindbaar" }"#;
    let mut digests = Vec::new();
    for body in [SPEC, other] {
        let reply = http::send(daemon.http_address, "POST /v1/jobs", &[], body).await;
        let view: v1::JobView = serde_json::from_str(&reply.body).expect("job");
        assert_eq!(reply.status, 202);
        assert_eq!(reply.header("location"), Some(format!("/v1/jobs/{}", view.job_id).as_str()));
        digests.push(view.job_id);
    }
    assert_eq!(digests[0], digests[1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn tokens_give_access_by_role() {
    let (operator, operator_token) = access::new_token("ops");
    let (team, team_token) = access::new_token("desk");
    let (reader, reader_token) = access::new_token("look");
    let token = |token, role: &str| v1::AccessToken { role: role.to_owned(), ..token };
    let team_token = v1::AccessToken { team: "vindbaar".to_owned(), ..token(team_token, "team") };
    let tokens =
        vec![token(operator_token, "operator"), team_token, token(reader_token, "read-only")];
    let configuration = v1::Configuration { tokens, ..v1::Configuration::default() };
    let (noted, refused) = mpsc::channel();
    let daemon = in_force_with("", configuration, move |event, out| {
        if let Event::Request { request: Request::Refused { action, .. }, .. } = &event {
            let _ = noted.send(action.clone());
        }
        at_once(event, out);
    })
    .await;

    let status = async |line: &str, token: &str| {
        let header = format!("authorization: Bearer {token}");
        http::send(daemon.http_address, line, &[&header], SPEC).await.status
    };
    assert_eq!(status("GET /v1/inventory", &operator).await, 200);
    assert_eq!(status("GET /v1/inventory", &reader).await, 200);
    assert_eq!(status("GET /v1/inventory", &team).await, 403);
    assert_eq!(status("POST /v1/jobs", &team).await, 202);
    assert_eq!(status("POST /v1/jobs", &reader).await, 403);
    assert_eq!(status("GET /v1/jobs", &format!("{team}x")).await, 401);
    assert_eq!(http::send(daemon.http_address, "GET /v1/jobs", &[], "").await.status, 401);
    // Nobody waits for the audit trail, so its entries may come after the answers.
    let expected = ["GET /v1/inventory", "POST /v1/jobs", "GET /v1/jobs", "GET /v1/jobs"];
    let mut refused = refused;
    for route in expected {
        let (action, rest) = wait_for(refused, |_| true).await;
        assert_eq!(action, route);
        refused = rest;
    }
    assert!(refused.try_recv().is_err());
}

async fn until_ready(daemon: &Daemon) {
    let ready = async {
        while http::send(daemon.http_address, "GET /readyz", &[], "").await.status != 200 {}
    };
    tokio::time::timeout(PATIENCE, ready).await.expect("becomes ready");
}

/// An instance has just been replaced and has not read the configuration yet. It doesn't know who
/// may do what: good tokens are asked to come back, nobody sees or cancels jobs as "anonymous",
/// and a new cell can still be given its first configuration from loopback.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_configuration_only_a_first_one_can_be_given() {
    let daemon = daemon(&settings(""), at_once).await;
    let token = "authorization: Bearer lilac_ops_00";
    let first = ["if-match: 0"];
    for (line, headers, body, status) in [
        ("GET /v1/status", &[token][..], "", 503),
        ("GET /v1/jobs", &[], "", 503),
        ("POST /v1/jobs", &[], SPEC, 503),
        ("GET /v1/status", &[], "", 200),
        ("POST /v1/changes", &first, "{}", 200),
    ] {
        let reply = http::send(daemon.http_address, line, headers, body).await;
        assert_eq!(reply.status, status, "{line}: {reply:?}");
        if status == 503 {
            assert_eq!(reply.problem().verdict, "not_run");
            assert_eq!(reply.header("retry-after"), Some("1"));
        }
    }
}

/// A fault ends the control thread. The process must not go on taking connections that nobody
/// answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_without_its_control_thread_fails() {
    let mut daemon = daemon(&settings(""), |_, _| panic!("a fault that the test makes")).await;
    let failed = tokio::time::timeout(PATIENCE, daemon.failed()).await;
    assert!(matches!(failed, Ok(DaemonError::ControlEnded)));
}

/// Someone guesses tokens. After a burst of wrong ones further guesses are refused unseen, and
/// the slow check of tokens costs no processor time; a token that was good before still works.
#[tokio::test(flavor = "multi_thread")]
async fn too_many_wrong_tokens_are_refused_unseen() {
    let (good, token) = access::new_token("ops");
    let token = v1::AccessToken { role: "operator".to_owned(), ..token };
    let tokens = vec![token];
    let configuration = v1::Configuration { tokens, ..v1::Configuration::default() };
    let daemon = in_force("", configuration).await;
    let status = async |token: &str| {
        let header = format!("authorization: Bearer {token}");
        http::send(daemon.http_address, "GET /v1/status", &[&header], "").await.status
    };
    assert_eq!(status(&good).await, 200);
    let mut last = 0;
    for _ in 0..1_000 {
        last = status("lilac_none_00").await;
        if last != 401 {
            break;
        }
    }
    assert_eq!(last, 429);
    assert_eq!(status(&good).await, 200);
}

/// A broker hangs up while the lookup waits. The state machine is told, so that no worker spends
/// time on an answer that nobody hears.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_is_reported() {
    let (sender, events) = mpsc::channel();
    let daemon = in_force_with("", v1::Configuration::default(), move |event, _| {
        let _ = sender.send(event);
    })
    .await;
    let mut stream = TcpStream::connect(daemon.http_address).await.expect("connect");
    let request = http::request("POST /v1/requests", &[], SPEC);
    stream.write_all(request.as_bytes()).await.expect("send");
    let (asked, events) = wait_for(events, |event| matches!(event, Event::Request { .. })).await;
    let Event::Request { reply: asked, .. } = asked else { panic!("{asked:?}") };
    drop(stream);
    let (gone, _) = wait_for(events, |event| matches!(event, Event::Gone { .. })).await;
    assert!(matches!(gone, Event::Gone { reply } if reply == asked));
}

/// The platform replaces the instance while a page check runs. The planned stop waits for it: the
/// shopkeeper at the counter gets the whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_request() {
    // Too long to be written at once, so that the stop comes in the middle of it.
    const RESULT_LEN: usize = 16 << 20;
    let (sender, events) = mpsc::channel();
    let waiting: Arc<Mutex<Option<ReplyId>>> = Arc::default();
    let daemon = in_force_with("", v1::Configuration::default(), move |event, out| match event {
        Event::Request { reply, .. } => {
            *waiting.lock().expect("lock") = Some(reply);
            let _ = sender.send(());
        }
        Event::Stop => {
            let to = waiting.lock().expect("lock").expect("a request waits");
            let result = "x".repeat(RESULT_LEN);
            let answer = Answer::Quick(v1::QuickAnswer { result, ..v1::QuickAnswer::default() });
            out.extend([Effect::Reply { to, answer }, Effect::Stopped]);
        }
        _ => {}
    })
    .await;
    let address = daemon.http_address;
    let request = http::send(address, "POST /v1/requests", &[], SPEC);
    let request = tokio::spawn(async move {
        let reply = request.await;
        let answer: v1::QuickAnswer = serde_json::from_str(&reply.body).expect("a whole answer");
        (reply.status, answer.result.len())
    });
    wait_for(events, |()| true).await;
    daemon.stop().await.expect("stops in time");
    assert_eq!(request.await.expect("request ends"), (200, RESULT_LEN));
    assert!(TcpStream::connect(address).await.is_err());
}

/// Callers keep their connections and send one lookup after the other, so that there is never a
/// moment without a request in flight. During a planned stop each answer asks them to connect
/// anew, and after a while no new connection is taken: the stop comes to its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_sends_callers_elsewhere() {
    let (sender, stops) = mpsc::channel();
    let daemon = in_force_with("", v1::Configuration::default(), move |event, out| match event {
        Event::Stop => {
            let _ = sender.send(());
        }
        other => at_once(other, out),
    })
    .await;
    let address = daemon.http_address;
    let mut kept = TcpStream::connect(address).await.expect("connect");
    let stop = tokio::spawn(daemon.stop());
    wait_for(stops, |()| true).await;
    let request = http::request("POST /v1/requests", &[], SPEC);
    let request = request.replace("connection: close\r\n", "");
    kept.write_all(request.as_bytes()).await.expect("send");
    let reply = http::read(&mut kept).await;
    assert_eq!((reply.status, reply.header("connection")), (200, Some("close")));
    let closed = async { while TcpStream::connect(address).await.is_ok() {} };
    tokio::time::timeout(PATIENCE, closed).await.expect("no new connection in the end");
    stop.abort();
}

/// Of two connections where one is allowed, one is told so. Which one is open: the connection by which
/// the test saw that the daemon is ready may hold the only place a moment longer, and then it is the
/// first that is one too many, and the second that gets the place.
#[tokio::test(flavor = "multi_thread")]
async fn one_connection_too_many_is_told_so() {
    let daemon = answering("max_connections = 1").await;
    let mut first = TcpStream::connect(daemon.http_address).await.expect("connect");
    // Half a request keeps the connection open.
    first.write_all(b"GET /healthz HTTP/1.1\r\n").await.expect("send");
    let mut second = TcpStream::connect(daemon.http_address).await.expect("connect");
    let reply = tokio::select! {
        reply = http::read(&mut first) => reply,
        reply = http::read(&mut second) => reply,
    };
    assert_eq!((reply.status, reply.problem().verdict.as_str()), (503, "not_run"));
    assert_eq!(reply.header("retry-after"), Some("1"));
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_show_figures_of_all_parts() {
    let daemon = answering("").await;
    http::send(daemon.http_address, "POST /v1/requests", &[], SPEC).await;
    let text = http::send(daemon.http_address, "GET /metrics", &[], "").await.body;
    for name in [
        "lilacpass_answering_seconds_bucket{route=\"POST /v1/requests\",status=\"200\"",
        "lilacpass_control_cpu_seconds_total",
        "lilacpass_platform_link_bytes_total{direction=\"sent\"}",
        "lilacpass_revision",
        "lilacpass_events_total",
    ] {
        assert!(text.contains(name), "{name} is missing in {text}");
    }
}
