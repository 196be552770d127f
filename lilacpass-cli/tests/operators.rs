//! Tests of the commands for operators: inspecting the cell and changing its configuration.

mod support;

use lilacpass_cli::{args::AuditArgs, commands::audit};
use lilacpass_schema::v1;
use serde_json::{Value, json};
use support::{FakeServer, Reply, lilacpass, lilacpass_with, unused_url};

const BEFORE: &str = r#"
[[data_centres]]
name = "hal-a"
region = "nl-midden"

[[teams]]
name = "shops"

[[teams]]
name = "markets"
"#;

fn long(name: &str) -> String {
    format!("{name}-{}", "x".repeat(110))
}

/// Status of a cell with every kind of finding and with names of the maximum length.
fn unhealthy() -> Value {
    let member = |name: &str, state: &str, revision: u64| {
        json!({ "name": name, "data_centre": long("hal"), "state": state, "revision": revision,
                "silent_ms": 4_000_000_000_u64 })
    };
    json!({
        "instance": "entry-a1", "data_centre": "hal-a", "revision": 1_042, "ready": false,
        "log_reachable": false, "log_silent_ms": 732_000,
        "members": [member("entry-a1", "alive", 1_042), member(&long("entry-b"), "silent", 1_040),
                    member("entry-c1", "alive", 1_041)],
        "classes": [{ "class": "batch", "waiting": 4_000_000_000_u32, "oldest_ms": 1, "running": 7 },
                    { "class": "urgent", "waiting": 3, "oldest_ms": 1_200, "running": 30 }],
        "holdings": [{ "mode": "lease", "shards": 5 }, { "mode": "escrow", "shards": 1 }],
        "silent_watchers": [long("watch"), "keyword-9"],
        "quarantined_workers": (0..40).map(|n| format!("hal-a-w{n}")).collect::<Vec<_>>(),
        "workers_total": 48, "workers_held": 40, "jobs_running": 12,
    })
}

fn healthy() -> Value {
    json!({
        "instance": "entry-a1", "data_centre": "hal-a", "revision": 7, "ready": true,
        "log_reachable": true, "log_silent_ms": 40, "workers_total": 8, "workers_held": 8,
        "members": [{ "name": "entry-a1", "data_centre": "hal-a", "state": "alive", "revision": 7 }],
        "holdings": [{ "mode": "lease", "shards": 1 }],
        "classes": [{ "class": "urgent" }],
    })
}

#[test]
fn status_fits_80_columns_and_lists_all_findings_first() {
    let run = lilacpass(&[&FakeServer::always(200, unhealthy()).url], "status");
    let widest = run.stdout.lines().map(|line| line.chars().count()).max();
    assert!(run.code == 0 && widest <= Some(80), "{widest:?}\n{}", run.stdout);
    let (findings, rest) = run.stdout.split_once("\n\n").unwrap();
    let named = [
        "NEEDS A LOOK",
        "not ready",
        "last answer 12m 12s ago",
        "1 shards in escrow",
        "2 silent watchers",
        "40 workers in quarantine",
        "28 more",
        "1 silent members",
        "1 members behind revision 1042: entry-c1 (at 1041)",
    ];
    named.iter().for_each(|text| assert!(findings.contains(text), "{text}\n{findings}"));
    assert!(rest.find("urgent") < rest.find("batch"), "{rest}");
    assert!(rest.contains("40 held here of 48 in the cell"), "{rest}");
    let run = lilacpass(&[&FakeServer::always(200, healthy()).url], "status");
    assert!(run.stdout.starts_with("ALL WELL\n"), "{}", run.stdout);
}

#[test]
fn cell_status_combines_the_views_of_all_servers() {
    let (good, bad, lost) =
        (FakeServer::always(200, healthy()), FakeServer::always(200, unhealthy()), unused_url());
    let servers = [lost.as_str(), &good.url, &bad.url];
    let run = lilacpass(&servers, "status --cell");
    let widest = run.stdout.lines().map(|line| line.chars().count()).max();
    assert!(run.code == 0 && widest <= Some(80), "{widest:?}\n{}", run.stdout);
    let (findings, rest) = run.stdout.split_once("\n\n").unwrap();
    assert!(findings.contains("has no answer") && findings.contains("quarantine"), "{findings}");
    assert!(rest.contains("1s") && rest.contains("5 lease, 1 escrow"), "{rest}");
    let run = lilacpass(&servers, "status --cell --output json");
    assert_eq!(run.json()[0]["problem"]["verdict"], "not_run");
    assert_eq!(run.json()[2]["status"]["revision"], 1_042);
    assert_eq!(lilacpass(&[&lost], "status --cell").code, 7);
}

#[test]
fn every_command_prints_json_and_text_within_80_columns() {
    let id = "0123456789abcdef0123456789abcdef";
    let job = json!({ "job_id": id, "state": "waiting", "team": "shops", "class": "batch" });
    let worker = json!({ "name": "w1", "state": "draining", "tasks": [{ "task": "t" }] });
    let entry = json!({ "actor": "ann", "action": "drain", "subject": "w1", "accepted": true });
    let cases = [
        ("status", unhealthy()),
        ("jobs", json!({ "jobs": [job] })),
        (&format!("jobs {id}"), job.clone()),
        (&format!("cancel {id}"), job.clone()),
        (&format!("explain {id}"), json!({ "job_id": id, "reason": "quota", "remedy": "wait" })),
        ("workers", json!({ "workers": [worker] })),
        ("workers w1", json!({ "workers": [worker] })),
        ("changes", json!({ "changes": [{ "revision": 3, "actor": "ann" }] })),
        ("audit", json!({ "entries": [entry] })),
        ("inventory", json!({ "revision": 3, "configuration": { "teams": [{ "name": "t" }] } })),
    ];
    for (command, response) in cases {
        let server = FakeServer::always(200, response);
        let run = lilacpass(&[&server.url], &format!("{command} --output json"));
        assert!(run.code == 0 && run.json().is_object(), "{command}: {run:?}");
        let run = lilacpass(&[&server.url], command);
        let widest = run.stdout.lines().map(|line| line.chars().count()).max();
        assert!(run.code == 0 && widest <= Some(80), "{command}: {run:?}");
    }
}

/// During an upgrade, a newer server sends a field that this tool does not know.
#[test]
fn unknown_fields_of_a_newer_server_are_passed_through_as_json() {
    let server = FakeServer::always(200, json!({ "revision": 3, "of_tomorrow": 1 }));
    let run = lilacpass(&[&server.url], "status --output json");
    assert_eq!((run.code, run.json()["of_tomorrow"].as_u64()), (0, Some(1)));
    let run = lilacpass(&[&server.url], "status");
    assert_eq!((run.code, run.stderr.as_str()), (0, ""), "known fields are shown: {run:?}");
    let server = FakeServer::always(200, json!({ "revision": "of tomorrow" }));
    assert!(lilacpass(&[&server.url], "status").stderr.contains("of another version"));
}

/// Starts a server whose configuration is `BEFORE` at revision 12, which Ben created. It responds to changes with
/// `change_response`.
fn cell_server(change_response: (u16, Value)) -> FakeServer {
    let configuration = lilacpass_config::inventory::parse(BEFORE).unwrap();
    let inventory = json!({ "revision": 12, "configuration": configuration });
    let changes = json!({ "changes": [
        { "revision": 12, "actor": "ben", "reason": "quota of markets", "ops": 1 },
        { "revision": 10, "actor": "ann", "reason": "first load", "ops": 3 },
    ] });
    FakeServer::start(move |request, _| match (request.method.as_str(), request.path.as_str()) {
        ("POST", _) => Reply::Json(change_response.0, change_response.1.clone()),
        (_, "/v1/inventory") => Reply::Json(200, inventory.clone()),
        (_, "/v1/changes") => Reply::Json(200, changes.clone()),
        _ => Reply::Json(200, json!({ "revision": 12 })),
    })
}

fn changes_sent(cell_server: &FakeServer) -> Vec<support::ReceivedRequest> {
    cell_server.received().into_iter().filter(|request| request.method == "POST").collect()
}

#[test]
fn apply_sends_only_the_difference_to_the_current_revision() {
    let cell_server = cell_server((200, json!({ "revision": 13, "effects": ["moves 2 tasks"] })));
    let file = BEFORE.replace("markets", "desks");
    let run = lilacpass_with(&[&cell_server.url], "apply - --reason new --dry-run", &file, &[]);
    assert_eq!(run.code, 0, "{run:?}");
    let texts = ["left in place without --prune", "nothing was changed", "moves 2 tasks"];
    texts.iter().for_each(|text| assert!(run.stdout.contains(text), "{text}: {run:?}"));
    let sent = changes_sent(&cell_server).remove(0);
    assert_eq!(sent.header("if-match"), Some("12"));
    assert_eq!((&sent.body["dry_run"], &sent.body["reason"]), (&json!(true), &json!("new")));
    let ops = sent.body["ops"].as_array().unwrap();
    assert_eq!(ops.len(), 1, "{ops:?}");
    assert_eq!(ops[0]["op"]["upsert_team"]["name"], "desks");
    let run = lilacpass_with(&[&cell_server.url], "apply - --prune", &file, &[]);
    assert!(run.code == 0 && run.stdout.contains("in force with revision 13"), "{run:?}");
    assert_eq!(changes_sent(&cell_server)[1].body["ops"].as_array().map(Vec::len), Some(2));
    // Rules that the file does not contain are left unchanged, unless `--prune` is set.
    let rules = BEFORE.replace("[[data", "[rules]\nmax_attempts = 5\n\n[[data");
    let run = lilacpass_with(&[&cell_server.url], "diff - --output json", &rules, &[]);
    assert_eq!(run.json()["ops"][0]["op"]["set_rules"]["max_attempts"], 5, "{run:?}");
    let run = lilacpass_with(&[&cell_server.url], "diff - --output json", BEFORE, &[]);
    assert_eq!((run.json()["ops"].clone(), changes_sent(&cell_server).len()), (json!([]), 2));
}

#[test]
fn a_conflict_shows_the_winning_change() {
    let winner = json!({ "revision": 13, "actor": "ben", "detail": "drained hal-a-w1" });
    let conflict = json!({ "title": "conflict", "status": 412, "verdict": "not_run",
                           "winner": winner });
    let cell_server = cell_server((412, conflict));
    let run = lilacpass_with(&[&cell_server.url], "apply - --prune", "", &[]);
    assert_eq!(run.code, 6, "{run:?}");
    assert!(run.stderr.contains("revision 13 by ben won: drained hal-a-w1"), "{run:?}");
}

/// Guards against a lost update: Ann exports the configuration and edits it while Ben raises a quota. Her file still
/// contains the old quota, so applying it would silently revert Ben's change.
#[test]
fn a_file_exported_before_another_change_is_refused() {
    let cell_server = cell_server((200, json!({ "revision": 13 })));
    let exported = lilacpass(&[&cell_server.url], "inventory").stdout;
    let edited = exported.replace("markets", "desks");
    assert_eq!(lilacpass_with(&[&cell_server.url], "apply -", &edited, &[]).code, 0);
    let stale = edited.replace("revision 12", "revision 10");
    let run = lilacpass_with(&[&cell_server.url], "apply -", &stale, &[]);
    assert_eq!((run.code, changes_sent(&cell_server).len()), (6, 1), "{run:?}");
    assert!(run.stderr.contains("revision 12 by ben won: quota of markets"), "{run:?}");
}

/// The response to a change is lost after the change was appended. If the tool sent it to another server with the same
/// base, the change would be refused as a conflict with itself.
#[test]
fn a_change_with_unknown_outcome_is_not_sent_to_a_second_server() {
    let (first, second) =
        (cell_server((200, json!({}))), cell_server((200, json!({ "revision": 13 }))));
    let other_url = first.url.clone();
    let closing = FakeServer::start(move |request, _| match request.method.as_str() {
        "POST" => Reply::Close,
        _ => Reply::Json(200, json!({ "revision": 12, "configuration": null })),
    });
    let run = lilacpass_with(&[&closing.url, &second.url, &other_url], "apply -", BEFORE, &[]);
    assert_eq!((run.code, changes_sent(&second).len()), (4, 0), "{run:?}");
}

#[test]
fn a_drain_is_repeated_on_the_new_revision_after_a_conflict() {
    let server = FakeServer::start(|request, before| match (request.method.as_str(), before) {
        ("POST", 1) => Reply::Json(412, json!({ "status": 412, "verdict": "not_run" })),
        ("POST", _) => Reply::Json(200, json!({ "revision": 15 })),
        _ => Reply::Json(200, json!({ "revision": 12 + before })),
    });
    let run = lilacpass(&[&server.url], "drain hal-a-w1 --undo");
    assert!(run.code == 0 && run.stdout.contains("takes new work again"), "{run:?}");
    let bases: Vec<_> =
        changes_sent(&server).iter().map(|s| s.header("if-match").map(str::to_owned)).collect();
    assert_eq!(bases, [Some("12".to_owned()), Some("14".to_owned())]);
}

#[test]
fn audit_filters_select_entries() {
    let entry = |actor: &str, action: &str, accepted: bool, at_unix_ms: u64| v1::AuditEntry {
        actor: actor.to_owned(),
        action: action.to_owned(),
        accepted,
        at_unix_ms,
        ..Default::default()
    };
    let entries = vec![
        entry("ann", "apply", true, 1_000),
        entry("ben", "apply", false, 2_000),
        entry("ann", "drain", true, 3_000),
    ];
    let times = |args: AuditArgs| -> Vec<u64> {
        audit::select(entries.clone(), &args, 3_500).iter().map(|e| e.at_unix_ms).collect()
    };
    let ann = Some("ann".to_owned());
    assert_eq!(times(AuditArgs::default()), [1_000, 2_000, 3_000]);
    assert_eq!(times(AuditArgs { actor: ann.clone(), ..Default::default() }), [1_000, 3_000]);
    assert_eq!(times(AuditArgs { actor: ann, limit: Some(1), ..Default::default() }), [3_000]);
    assert_eq!(times(AuditArgs { refused: true, ..Default::default() }), [2_000]);
    let since = Some(std::time::Duration::from_millis(1_500));
    assert_eq!(times(AuditArgs { since, ..Default::default() }), [2_000, 3_000]);
}

#[test]
fn the_token_is_sent_in_its_header_and_never_printed() {
    let server = FakeServer::always(403, json!({ "title": "no access", "verdict": "not_run" }));
    let env = [("LILACPASS_TOKEN", "lilac_ann_secret")];
    let run = lilacpass_with(&[&server.url, &unused_url()], "status", "", &env);
    assert_eq!(server.received()[0].header("authorization"), Some("Bearer lilac_ann_secret"));
    assert!(run.code == 3 && !run.stderr.contains("secret"), "{run:?}");
    let run = lilacpass_with(&[], "--help", "", &env);
    assert!(run.code == 0 && !run.stdout.contains("lilac_ann"), "{run:?}");
    assert!(run.stdout.contains("Exit codes:") && run.stdout.contains("Examples:"));
    let run = lilacpass_with(&[&server.url], "status --token-file -", "lilac_ben_x\n", &[]);
    assert_eq!(run.code, 3);
    assert_eq!(server.received()[1].header("authorization"), Some("Bearer lilac_ben_x"));
}
