//! The judge finds each kind of broken promise, and nothing where all is well.

use std::collections::{HashMap, HashSet};

use lilacpass_core::Verdict;
use lilacpass_harness::{
    judge::{self, Evidence, Finding},
    ledger::{
        CallNote, ChangeNote, Disturbance, EntryKey, JobEnd, JobKind, JobNote, Leaving, Notes,
        PlannedStop, QuickNote, RequestEnd, RevisionNote,
    },
    spans::Spans,
};
use lilacpass_schema::v1::{self, TaskOutcome};

fn run(id: &str, worker: &str, from_ms: u64, until_ms: u64) -> v1::TaskCount {
    v1::TaskCount {
        worker: worker.to_owned(),
        task: Some(v1::TaskKey { job_id: id.to_owned(), attempt: 1, index: 0 }),
        payload: format!("id={id}"),
        started_unix_ms: from_ms,
        ended_unix_ms: until_ms,
        outcome: TaskOutcome::Succeeded.into(),
        quick: false,
        standing: false,
    }
}

fn counts(tasks: Vec<v1::TaskCount>) -> v1::WorkerCounts {
    let workers = vec![v1::WorkerCount { worker: "w1".to_owned(), ..Default::default() }];
    v1::WorkerCounts { workers, tasks }
}

fn job(expected: &str) -> JobNote {
    JobNote {
        kind: JobKind::Long,
        expected: expected.to_owned(),
        idempotent: false,
        tasks: 1,
        job_id: Some("1".to_owned()),
        may_be_accepted: false,
        end: None,
    }
}

fn entry(name: &str) -> EntryKey {
    EntryKey { name: name.to_owned(), generation: 0 }
}

fn judge(notes: &Notes, counts: &v1::WorkerCounts) -> Vec<Finding> {
    let traces = HashMap::from([("e1".to_owned(), HashSet::from(["kept".to_owned()]))]);
    let spans = Spans::new(counts);
    judge::judge(&Evidence { notes, counts, spans: &spans, final_traces: &traces })
}

/// Names of the promises that are found broken.
fn broken(notes: &Notes, counts: &v1::WorkerCounts) -> Vec<&'static str> {
    let findings = judge(notes, counts);
    findings.iter().filter(|finding| !finding.holds()).map(|finding| finding.promise).collect()
}

fn quick(idempotent: bool, end: RequestEnd) -> Notes {
    let quick = QuickNote { id: "a".to_owned(), expected: "a|ok|".to_owned(), idempotent, end };
    Notes { quick: vec![quick], ..Notes::default() }
}

fn one_job(job: JobNote) -> Notes {
    Notes { jobs: HashMap::from([("a".to_owned(), job)]), ..Notes::default() }
}

#[test]
fn a_good_run_breaks_nothing() {
    let mut notes = quick(false, RequestEnd::Answered("a|ok|".to_owned()));
    notes.jobs.insert("b".to_owned(), job("b|ok|"));
    let runs = vec![run("a", "w1", 10, 20), run("b", "w1", 10, 20)];
    assert_eq!(broken(&notes, &counts(runs)), Vec::<&str>::new());
}

#[test]
fn a_worker_over_capacity_is_found() {
    let mut counts = counts(Vec::new());
    counts.workers[0].over_capacity = 1;
    assert_eq!(broken(&Notes::default(), &counts), ["capacity"]);
}

#[test]
fn overlapping_runs_are_found() {
    let job = JobNote { idempotent: true, ..job("a|ok|") };
    let apart = vec![run("a", "w1", 10, 20), run("a", "w2", 20, 30)];
    assert!(broken(&one_job(job.clone()), &counts(apart)).is_empty());
    let overlapping = vec![run("a", "w1", 10, 20), run("a", "w2", 19, 30)];
    assert_eq!(broken(&one_job(job.clone()), &counts(overlapping)), ["one-place"]);
    let both_running = vec![run("a", "w1", 10, 0), run("a", "w2", 500, 0)];
    assert_eq!(broken(&one_job(job), &counts(both_running)), ["one-place"]);
}

#[test]
fn a_foreign_or_cut_answer_is_found() {
    for wrong in ["b|ok|", "a|o"] {
        let notes = quick(true, RequestEnd::Answered(wrong.to_owned()));
        assert_eq!(broken(&notes, &counts(Vec::new())), ["own-answer"]);
    }
    let end = JobEnd {
        state: "succeeded".to_owned(),
        verdict: "ran".to_owned(),
        result: "b|ok|".to_owned(),
        reason: String::new(),
    };
    let job = JobNote { end: Some(end), ..job("a|ok|") };
    assert_eq!(broken(&one_job(job), &counts(Vec::new())), ["own-answer"]);
}

#[test]
fn a_run_of_what_was_said_not_to_run_is_found() {
    let notes = quick(true, RequestEnd::Refused(Verdict::NotRun, String::new()));
    assert_eq!(broken(&notes, &counts(vec![run("a", "w1", 10, 20)])), ["not-run"]);
    let notes = quick(true, RequestEnd::Refused(Verdict::MayHaveRun, String::new()));
    assert!(broken(&notes, &counts(vec![run("a", "w1", 10, 20)])).is_empty());
    let refused = JobNote { job_id: None, ..job("a|ok|") };
    assert_eq!(broken(&one_job(refused), &counts(vec![run("a", "w1", 10, 20)])), ["not-run"]);
}

#[test]
fn a_second_execution_is_found_and_a_resumed_one_is_not() {
    let mut runs = vec![run("a", "w1", 10, 20), run("a", "w2", 30, 40)];
    assert_eq!(broken(&one_job(job("a|ok|")), &counts(runs.clone())), ["at-most-once"]);
    runs[0].outcome = TaskOutcome::Checkpointed.into();
    assert!(broken(&one_job(job("a|ok|")), &counts(runs)).is_empty());
}

#[test]
fn a_start_on_a_leaving_worker_is_found() {
    let leaving = Leaving {
        worker: "w1".to_owned(),
        from_unix_ms: 1000,
        until_unix_ms: 9000,
        told_by_worker: true,
    };
    let notes = Notes { leavings: vec![leaving], ..Notes::default() };
    assert!(broken(&notes, &counts(vec![run("a", "w1", 2999, 3500)])).is_empty());
    assert!(broken(&notes, &counts(vec![run("a", "w2", 3500, 3600)])).is_empty());
    assert!(broken(&notes, &counts(vec![run("a", "w1", 9000, 9500)])).is_empty());
    assert_eq!(broken(&notes, &counts(vec![run("a", "w1", 3000, 3500)])), ["leaving"]);
}

#[test]
fn a_request_cut_by_a_planned_stop_is_found() {
    let call = |sent_unix_ms, broken: Option<&str>| CallNote {
        entry: entry("e1"),
        sent_unix_ms,
        ended_unix_ms: 1100,
        broken: broken.map(str::to_owned),
    };
    let stop = PlannedStop { entry: entry("e1"), at_unix_ms: 1000, failure: None };
    let notes = |call| Notes { stops: vec![stop.clone()], calls: vec![call], ..Notes::default() };
    assert!(broken(&notes(call(900, None)), &counts(Vec::new())).is_empty());
    assert!(broken(&notes(call(1001, Some("reset"))), &counts(Vec::new())).is_empty());
    assert_eq!(broken(&notes(call(900, Some("reset"))), &counts(Vec::new())), ["planned-stop"]);
}

#[test]
fn a_revision_that_goes_back_or_comes_late_is_found() {
    let reading =
        |sent_unix_ms, revision| RevisionNote { entry: entry("e1"), sent_unix_ms, revision };
    let change = ChangeNote { revision: 5, accepted_unix_ms: 1000, trace: "kept".to_owned() };
    let mut notes = Notes { changes: vec![change], ..Notes::default() };
    notes.revisions = vec![reading(1000, 4), reading(5900, 4), reading(6000, 5)];
    assert!(broken(&notes, &counts(Vec::new())).is_empty());
    notes.revisions.push(reading(6100, 4));
    assert_eq!(broken(&notes, &counts(Vec::new())), ["in-force"]);
    notes.revisions = vec![reading(6001, 4)];
    assert_eq!(broken(&notes, &counts(Vec::new())), ["in-force"]);
    notes.disturbances =
        vec![Disturbance { entry: "e1".to_owned(), from_unix_ms: 900, until_unix_ms: 4000 }];
    assert!(broken(&notes, &counts(Vec::new())).is_empty());
}

#[test]
fn a_change_that_is_lost_or_accepted_twice_is_found() {
    let change =
        |trace: &str| ChangeNote { revision: 5, accepted_unix_ms: 1000, trace: trace.to_owned() };
    let lost = Notes { changes: vec![change("gone")], ..Notes::default() };
    assert_eq!(broken(&lost, &counts(Vec::new())), ["in-force"]);
    let twice = Notes { changes: vec![change("kept"), change("kept")], ..Notes::default() };
    assert_eq!(broken(&twice, &counts(Vec::new())), ["in-force"]);
}

/// A fault run passed though its planned stop was never seen to matter: nothing was in flight, nothing
/// was checked, and the promise counted as held.
#[test]
fn a_promise_that_was_never_put_to_the_test_is_not_shown() {
    let findings = judge(&Notes::default(), &counts(Vec::new()));
    let planned_stop = findings.iter().find(|finding| finding.promise == "planned-stop");
    let planned_stop = planned_stop.expect("it is judged");
    assert!(planned_stop.holds() && !planned_stop.is_shown());
    assert_eq!(planned_stop.to_string(), "promise planned-stop: NOT CHECKED");
}
