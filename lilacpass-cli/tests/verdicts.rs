//! Tests of the exit code per verdict and of which requests are sent to another server.

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
fn each_final_job_state_has_its_exit_code() {
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
fn errors_are_printed_as_problem_documents_with_json_output() {
    let server = FakeServer::always(503, problem(503, "not_run"));
    let run = lilacpass(&[&server.url], &format!("{QUICK} --output json"));
    assert_eq!(run.json()["verdict"], "not_run");
    let run = lilacpass(&[&unused_url()], &format!("{QUICK} --output json"));
    assert_eq!((run.json()["verdict"].as_str(), run.code), (Some("not_run"), 7));
    let run = lilacpass(&[&FakeServer::closing().url], &format!("{QUICK} --output json"));
    assert_eq!((run.json()["verdict"].as_str(), run.code), (Some("may_have_run"), 4));
}

/// Guards against running a job twice: the entry instance accepts a submission and crashes before it responds. The tool
/// sends the submission to the next one, where another key would create a second job.
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

/// Guards against running a quick request twice that is not idempotent: the entry instance forwards the request and
/// crashes. If the tool repeated it on another entry instance, the work, such as sending an alert, could run a second
/// time.
#[test]
fn a_quick_request_with_unknown_outcome_is_repeated_only_if_idempotent() {
    let (first, second) = (FakeServer::closing(), FakeServer::always(200, quick_response()));
    let servers = [first.url.as_str(), &second.url];
    assert_eq!(lilacpass(&servers, QUICK).code, 4);
    assert!(second.received().is_empty());
    let run = lilacpass(&servers, &format!("{QUICK} --idempotent"));
    assert_eq!((run.code, run.stdout.as_str()), (0, "page is fine\n"));
}

#[test]
fn a_request_that_was_not_run_is_sent_to_the_next_server() {
    let good = FakeServer::always(200, quick_response());
    let stopping = FakeServer::always(503, problem(503, "not_run"));
    assert_eq!(lilacpass(&[&unused_url(), &good.url], QUICK).code, 0);
    assert_eq!(lilacpass(&[&stopping.url, &good.url], QUICK).code, 0);
    // Work that ran and failed is not run again, even if the status alone would allow trying the next server.
    let failed = FakeServer::always(502, problem(502, "ran"));
    let run = lilacpass(&[&failed.url, &good.url], &format!("{QUICK} --idempotent"));
    assert_eq!(run.code, 5, "{run:?}");
    // A refusal that every server would give is final.
    let refusing = FakeServer::always(403, problem(403, "not_run"));
    assert_eq!(lilacpass(&[&refusing.url, &good.url], QUICK).code, 3);
    assert_eq!(good.received().len(), 2);
}

/// The first entry instance accepts a job and crashes before it responds; the second one is shutting down and correctly
/// reports that it has not run the job. The tool must not report this as "not run", because the first one may run it.
#[test]
fn not_run_from_one_server_proves_nothing_about_an_earlier_one() {
    let (first, second) = (FakeServer::closing(), FakeServer::always(503, problem(503, "not_run")));
    assert_eq!(lilacpass(&[&first.url, &second.url], JOB).code, 4);
    assert_eq!(lilacpass(&[&first.url, &unused_url()], JOB).code, 4);
    assert_eq!(lilacpass(&[&second.url, &unused_url()], JOB).code, 7);
}

#[test]
fn the_deadline_covers_all_servers() {
    let server = FakeServer::always(200, quick_response());
    let run = lilacpass(&[&unused_url(), &server.url], &format!("{QUICK} --deadline 20s"));
    assert_eq!(run.code, 0);
    let left: u64 = server.received()[0].header("deadline-ms").unwrap().parse().unwrap();
    assert!((1..=20_000).contains(&left));
}

/// The entry instance is replaced while it holds the request of a waiting tool, and the next one has not yet read the
/// log far enough to know the job. Both errors are transient, so the tool must keep waiting.
#[test]
fn waiting_survives_the_loss_of_an_entry_instance() {
    let first = FakeServer::start(|_, earlier| match earlier {
        0 => Reply::Json(200, job("running", "")),
        _ => Reply::Close,
    });
    let second = FakeServer::start(|_, earlier| match earlier {
        0 => Reply::Json(404, problem(404, "not_run")),
        _ => Reply::Json(200, job("succeeded", "ran")),
    });
    let run = lilacpass(&[&first.url, &second.url], &format!("wait {ID}"));
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.stderr.contains("running"), "{run:?}");
    assert!(first.received()[0].path.contains("wait_ms="));
    // The tool does not wait for a job that no server has ever returned.
    let unknown = FakeServer::always(404, problem(404, "not_run"));
    assert_eq!(lilacpass(&[&unknown.url], &format!("wait {ID}")).code, 3);
}

#[test]
fn reaching_the_time_limit_of_a_wait_counts_as_may_have_run() {
    let server = FakeServer::always(200, job("running", ""));
    let run = lilacpass(&[&server.url], &format!("wait {ID} --for 10ms --quiet"));
    assert_eq!((run.code, run.stderr.as_str()), (4, ""));
}
