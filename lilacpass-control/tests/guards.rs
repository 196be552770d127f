//! Each guard taken out once: the story that it is there for breaks a promise without it, and
//! breaks none with it.

mod fakes;

use std::time::Duration;

use fakes::{Cell, inventory};
use lilacpass_control::{
    Guards,
    event::{Answer, Request},
};
use lilacpass_schema::v1;

const SECOND: Duration = Duration::from_secs(1);

fn cell(guards: Guards) -> Cell {
    let mut cell = Cell::with_guards(&["a"], 3, 2, 2, guards);
    cell.run_for(3 * SECOND);
    cell
}

fn crawl(payload: &str) -> v1::JobSpec {
    v1::JobSpec { kind: "crawl".to_owned(), ..inventory::spec(payload) }
}

fn watcher() -> v1::JobSpec {
    v1::JobSpec { standing: true, ..inventory::spec("stays watcher") }
}

/// Asserts that `breaks` says yes with the guard out, and no with all guards.
fn assert_needed(without: Guards, breaks: impl Fn(Guards) -> bool) {
    assert!(breaks(without), "the check does not notice that the guard is out");
    assert!(!breaks(Guards::default()), "broken with all guards");
}

/// Two brokers chase one reel: the watcher runs in two places.
/// Its worker goes silent and still runs it; the holder takes silence for the end and starts it
/// elsewhere before the lease on the silent worker has lapsed.
#[test]
fn a_silent_worker_may_still_run_until_its_lease_has_lapsed() {
    assert_needed(Guards { lapse_wait: false, ..Guards::default() }, |guards| {
        let mut cell = cell(guards);
        cell.submit(0, watcher(), "w");
        cell.run_for(2 * SECOND);
        let name = cell.runs_of("stays watcher")[0].worker.clone();
        cell.workers.get_mut(&name).unwrap().silent = true;
        cell.run_for(20 * SECOND);
        cell.doubled("stays watcher") > 0
    });
}

/// A shopkeeper gets the report twice: the crawl ran twice.
/// The start is under way for longer than its call; a report that is taken before it arrives does
/// not list the task, which is taken for a proof that it never started.
#[test]
fn a_report_taken_before_a_start_can_arrive_proves_nothing() {
    assert_needed(Guards { settle_after_flight: false, ..Guards::default() }, |guards| {
        let mut cell = cell(guards);
        for worker in cell.workers.values_mut() {
            worker.start_delay = Duration::from_millis(1_300);
        }
        cell.submit(0, crawl("3000 crawl"), "k");
        cell.run_for(10 * SECOND);
        cell.runs_of("3000 crawl").len() > 1
    });
}

/// A shopkeeper gets the report twice: the crawl ran twice.
/// The worker starts it and can't be heard for a while. No answer is taken for a proof of no
/// effect, and the crawl is started elsewhere.
#[test]
fn a_call_without_an_answer_may_have_run() {
    assert_needed(Guards { unanswered_may_have_run: false, ..Guards::default() }, |guards| {
        let mut cell = cell(guards);
        for worker in cell.workers.values_mut() {
            worker.mute = true;
        }
        cell.submit(0, crawl("20 crawl"), "k");
        cell.run_for(2 * SECOND);
        for worker in cell.workers.values_mut() {
            worker.mute = false;
        }
        cell.run_for(10 * SECOND);
        cell.runs_of("20 crawl").len() > 1
    });
}

/// A broker reads half a list of parts and takes it for the whole.
/// The worker's answer is cut on its way.
#[test]
fn a_cut_result_is_not_passed_on() {
    assert_needed(Guards { whole_result: false, ..Guards::default() }, |guards| {
        let mut cell = cell(guards);
        for worker in cell.workers.values_mut() {
            worker.cuts_results = true;
        }
        let reply = cell.quick(0, inventory::spec("20 lookup"), SECOND);
        let (_, id) = cell.submit(0, crawl("50 crawl"), "k");
        cell.run_for(3 * SECOND);
        let quick = matches!(cell.answers[&reply].0, Answer::Quick(_));
        quick || cell.job(0, id).unwrap().state == "succeeded"
    });
}

/// A shopkeeper gets the report twice.
/// Two members that can't reach each other both drive the job. Each starts its own attempt without
/// waiting for the log to say which one counts.
#[test]
fn only_the_attempt_that_the_log_has_first_is_started() {
    assert_needed(Guards { attempt_read_back: false, ..Guards::default() }, |guards| {
        let mut cell = Cell::with_guards(&["a"], 3, 8, 1, guards);
        cell.run_for(6 * SECOND);
        for member in 0..3 {
            cell.cut_from_peers(member, true);
        }
        cell.run_for(2 * SECOND);
        cell.submit(0, crawl("2000 crawl"), "k");
        cell.run_for(8 * SECOND);
        cell.runs_of("2000 crawl").len() > 1
    });
}

/// A watcher is doubled when an operator changes it while its worker is silent: the new one starts
/// while the old one can't be told to stop.
#[test]
fn a_changed_watcher_starts_after_its_former_job_has_ended() {
    assert_needed(Guards { standing_successor_waits: false, ..Guards::default() }, |guards| {
        let mut cell = cell(guards);
        let put = |run_ms| {
            let spec = v1::JobSpec { run_ms, class: "standing".to_owned(), ..watcher() };
            let work = v1::StandingWork { name: "w".to_owned(), spec: Some(spec) };
            vec![v1::ConfigOp { op: Some(v1::config_op::Op::UpsertStanding(work)) }]
        };
        cell.change(0, 1, put(1));
        cell.run_for(5 * SECOND);
        let name = cell.runs_of("stays watcher")[0].worker.clone();
        cell.workers.get_mut(&name).unwrap().silent = true;
        cell.change(0, 2, put(2));
        cell.run_for(20 * SECOND);
        let runs = cell.runs_of("stays watcher");
        assert!(runs.len() >= 2, "{runs:?}");
        cell.doubled("stays watcher") > 0
    });
}

/// A target that is drained still gets new work.
#[test]
fn a_drained_worker_gets_nothing_new() {
    assert_needed(Guards { leaving: false, ..Guards::default() }, |guards| {
        let mut cell = cell(guards);
        let drain = v1::DrainWorker { worker: "a-r0-w0".to_owned(), draining: true };
        cell.change(0, 1, vec![v1::ConfigOp { op: Some(v1::config_op::Op::DrainWorker(drain)) }]);
        cell.run_for(2 * SECOND);
        let from = cell.now;
        for n in 0..120 {
            cell.quick(n % 3, inventory::spec(&format!("400 q{n}")), SECOND);
            cell.run_for(Duration::from_millis(10));
        }
        cell.workers["a-r0-w0"].last_start.is_some_and(|at| at > from)
    });
}

/// Callers' requests break off when an instance is stopped as planned.
#[test]
fn a_planned_stop_waits_for_what_is_in_flight() {
    assert_needed(Guards { stop_waits: false, ..Guards::default() }, |guards| {
        let mut cell = cell(guards);
        let replies: Vec<u64> = (0..12)
            .map(|n| cell.quick(1, inventory::spec(&format!("700 q{n}")), 3 * SECOND))
            .collect();
        cell.run_for(Duration::from_millis(20));
        cell.stop(1);
        cell.run_for(5 * SECOND);
        replies.iter().any(|reply| !matches!(cell.answers.get(reply), Some((Answer::Quick(_), _))))
    });
}

/// An operator is told that a change is in force, and it is gone a moment later.
/// Two operators change the same rules at once; without compare-and-set the later one overwrites
/// the earlier without knowing of it.
#[test]
fn an_accepted_change_is_not_overwritten_by_one_that_did_not_know_it() {
    assert_needed(Guards { compare_and_set: false, ..Guards::default() }, |guards| {
        let mut cell = cell(guards);
        let set = |rules| vec![v1::ConfigOp { op: Some(v1::config_op::Op::SetRules(rules)) }];
        let first = cell.change(0, 1, set(v1::Rules { max_attempts: 9, ..v1::Rules::default() }));
        let second =
            cell.change(1, 1, set(v1::Rules { batch_aging_s: 60, ..v1::Rules::default() }));
        cell.run_for(SECOND);
        let accepted = |reply: u64| matches!(cell.answers[&reply].0, Answer::Change(_));
        let both = accepted(first) && accepted(second);
        let reply = cell.ask(2, Request::Inventory);
        let Answer::Inventory(view) = &cell.answers[&reply].0 else { panic!("no inventory") };
        let rules = view.configuration.as_ref().unwrap().rules.clone().unwrap();
        both && (rules.max_attempts != 9 || rules.batch_aging_s != 60)
    });
}
