//! Exit codes per verdict, and which calls go on to another server.

mod support;

use serde_json::{Value, json};
use support::{FakeServer, Reply, lilacpass, unused_url};

const QUICK: &str = "submit --wait-answer --team shops --service audit --kind page";
const JOB: &str = "submit --team shops --service audit --kind crawl";
const ID: &str = "0123456789abcdef0123456789abcdef";

fn problem(status: u16, verdict: &str) -> Value {
    json!({ "type": "t", "title": "refused", "status": status, "verdict": verdict })
}

fn quick_response() -> Value {
    json!({ "request_id": "r1", "verdict": "ran", "result": "page is fine", "run_ms": 3 })
}

fn job(state: &str, verdict: &str) -> Value {
    json!({ "job_id": ID, "state": state, "verdict": verdict, "team": "shops" })
}

#[test]
fn each_verdict_has_its_exit_code() {
    let cases = [
        (200, quick_response(), 0),
        (400, problem(400, "not_run"), 3),
        (403, problem(403, "not_run"), 3),
        (504, problem(504, "may_have_run"), 4),
        (500, problem(500, "ran"), 5),
        (502, json!({ "balancer": "no verdict" }), 4),
        (200, json!("no answer of ours"), 4),
    ];
    for (status, body, code) in cases {
        let server = FakeServer::always(status, body.clone());
        let run = lilacpass(&[&server.url], QUICK);
        assert_eq!(run.code, code, "{status} {body}: {run:?}");
        assert_eq!(server.received().len(), 1);
    }
    assert_eq!(lilacpass(&[&unused_url()], QUICK).code, 7);
    assert_eq!(lilacpass(&[&unused_url()], "status").code, 7);
    assert_eq!(lilacpass(&[&FakeServer::closing().url], QUICK).code, 4);
    assert_eq!(lilacpass(&[&FakeServer::closing().url], "status").code, 7);
    assert_eq!(lilacpass(&[], "submit --no-such-option").code, 2);
}

#[test]
fn the_end_of_a_job_has_its_exit_code() {
    let cases = [
        ("succeeded", "ran", 0),
        ("failed", "ran", 5),
        ("failed", "not_run", 3),
        ("cancelled", "not_run", 3),
        ("cancelled", "may_have_run", 4),
        ("may_have_run", "may_have_run", 4),
        ("failed", "", 4),
    ];
    for (state, verdict, code) in cases {
        let server = FakeServer::always(200, job(state, verdict));
        let run = lilacpass(&[&server.url], &format!("wait {ID} --output json"));
        assert_eq!((run.code, run.json()["state"].as_str()), (code, Some(state)));
    }
}

#[test]
fn an_error_is_a_problem_document_for_scripts() {
    let server = FakeServer::always(503, problem(503, "not_run"));
    let run = lilacpass(&[&server.url], &format!("{QUICK} --output json"));
    assert_eq!(run.json()["verdict"], "not_run");
    let run = lilacpass(&[&unused_url()], &format!("{QUICK} --output json"));
    assert_eq!((run.json()["verdict"].as_str(), run.code), (Some("not_run"), 7));
    let run = lilacpass(&[&FakeServer::closing().url], &format!("{QUICK} --output json"));
    assert_eq!((run.json()["verdict"].as_str(), run.code), (Some("may_have_run"), 4));
}

/// A volunteer submits a crawl audit. The entry instance takes it and dies before it answers. The
/// tool asks the next one. With another key the audit would run twice, and the shopkeeper would
/// get the report twice.
#[test]
fn a_repeated_submission_keeps_its_key() {
    let (first, second) =
        (FakeServer::closing(), FakeServer::always(200, job("waiting", "not_run")));
    let run = lilacpass(&[&first.url, &second.url], JOB);
    assert_eq!(run.code, 0, "{run:?}");
    let (sent, repeated) = (first.received().remove(0), second.received().remove(0));
    assert_eq!(sent.header("idempotency-key"), repeated.header("idempotency-key"));
    assert_eq!(sent.header("idempotency-key").map(str::len), Some(32));
    assert_eq!(sent.body, repeated.body);
    let run = lilacpass(&[&second.url], &format!("{JOB} --key audit-7"));
    assert_eq!((run.code, second.received()[1].header("idempotency-key")), (0, Some("audit-7")));
}

/// An alert is sent as a quick request that must not run twice. The entry instance forwards it and
/// dies. Asked again, another entry would send the alert a second time, and two brokers chase one
/// reel.
#[test]
fn a_quick_request_in_doubt_goes_to_no_second_server_unless_idempotent() {
    let (first, second) = (FakeServer::closing(), FakeServer::always(200, quick_response()));
    let servers = [first.url.as_str(), &second.url];
    assert_eq!(lilacpass(&servers, QUICK).code, 4);
    assert!(second.received().is_empty());
    let run = lilacpass(&servers, &format!("{QUICK} --idempotent"));
    assert_eq!((run.code, run.stdout.as_str()), (0, "page is fine\n"));
}

#[test]
fn a_request_that_was_not_run_goes_on_to_the_next_server() {
    let good = FakeServer::always(200, quick_response());
    let stopping = FakeServer::always(503, problem(503, "not_run"));
    assert_eq!(lilacpass(&[&unused_url(), &good.url], QUICK).code, 0);
    assert_eq!(lilacpass(&[&stopping.url, &good.url], QUICK).code, 0);
    // Work that ran and failed is not run again, whatever the status says.
    let failed = FakeServer::always(502, problem(502, "ran"));
    let run = lilacpass(&[&failed.url, &good.url], &format!("{QUICK} --idempotent"));
    assert_eq!(run.code, 5, "{run:?}");
    // A refusal that any server would repeat is final.
    let refusing = FakeServer::always(403, problem(403, "not_run"));
    assert_eq!(lilacpass(&[&refusing.url, &good.url], QUICK).code, 3);
    assert_eq!(good.received().len(), 2);
}

/// The first entry takes a job and dies before it answers; the second is stopping, and truthfully
/// says that it has not run what it got. The caller must not read this as "not run".
#[test]
fn not_run_from_one_server_does_not_settle_the_doubt_about_another() {
    let (first, second) = (FakeServer::closing(), FakeServer::always(503, problem(503, "not_run")));
    assert_eq!(lilacpass(&[&first.url, &second.url], JOB).code, 4);
    assert_eq!(lilacpass(&[&first.url, &unused_url()], JOB).code, 4);
    assert_eq!(lilacpass(&[&second.url, &unused_url()], JOB).code, 7);
}

#[test]
fn the_deadline_of_a_person_covers_all_servers() {
    let server = FakeServer::always(200, quick_response());
    let run = lilacpass(&[&unused_url(), &server.url], &format!("{QUICK} --deadline 20s"));
    assert_eq!(run.code, 0);
    let left: u64 = server.received()[0].header("deadline-ms").unwrap().parse().unwrap();
    assert!((1..=20_000).contains(&left));
}

/// An operator follows a sweep over night. The entry instance is replaced while it holds the call,
/// and its successor has not read the log far enough to know the job. Both pass by themselves.
#[test]
fn waiting_survives_a_lost_entry() {
    let first = FakeServer::start(|_, before| match before {
        0 => Reply::Json(200, job("running", "")),
        _ => Reply::Close,
    });
    let second = FakeServer::start(|_, before| match before {
        0 => Reply::Json(404, problem(404, "not_run")),
        _ => Reply::Json(200, job("succeeded", "ran")),
    });
    let run = lilacpass(&[&first.url, &second.url], &format!("wait {ID}"));
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.stderr.contains("running"), "{run:?}");
    assert!(first.received()[0].path.contains("wait_ms="));
    // A job that no server ever knew is not waited for.
    let unknown = FakeServer::always(404, problem(404, "not_run"));
    assert_eq!(lilacpass(&[&unknown.url], &format!("wait {ID}")).code, 3);
}

#[test]
fn the_limit_of_a_wait_ends_it_without_a_claim_on_the_outcome() {
    let server = FakeServer::always(200, job("running", ""));
    let run = lilacpass(&[&server.url], &format!("wait {ID} --for 10ms --quiet"));
    assert_eq!((run.code, run.stderr.as_str()), (4, ""));
}
