//! The whole path with small fakes at the interfaces: quick requests, jobs, gangs, standing work.

mod fakes;

use std::time::Duration;

use fakes::{Cell, inventory};
use lilacpass_control::event::Answer;
use lilacpass_schema::v1;

const SECOND: Duration = Duration::from_secs(1);

fn three_data_centres() -> Cell {
    let mut cell = Cell::new(&["a", "b", "c"], 2, 2, 2);
    cell.run_for(3 * SECOND);
    cell
}

#[test]
fn a_quick_request_is_answered_through_any_entry_instance() {
    let mut cell = three_data_centres();
    for member in 0..6 {
        let payload = format!("20 check-{member}");
        let reply = cell.quick(member, inventory::spec(&payload), 2 * SECOND);
        cell.run_until(2 * SECOND, |cell| cell.answers.contains_key(&reply));
        let Answer::Quick(answer) = &cell.answers[&reply].0 else {
            panic!("{:?}", cell.answers[&reply]);
        };
        assert_eq!(answer.result, format!("answer to {payload}"));
        assert_eq!(cell.runs_of(&payload).len(), 1);
    }
    assert_eq!(cell.over_capacity(), 0);
}

#[test]
fn a_job_runs_once_and_its_result_is_kept_under_its_id() {
    let mut cell = three_data_centres();
    let spec = v1::JobSpec { kind: "crawl".to_owned(), ..inventory::spec("500 bakery") };
    let (reply, id) = cell.submit(0, spec, "key-1");
    cell.run_until(2 * SECOND, |cell| cell.answers.contains_key(&reply));
    cell.run_for(3 * SECOND);
    for member in 0..6 {
        let view = cell.job(member, id).expect("known everywhere");
        assert_eq!((view.state.as_str(), view.verdict.as_str()), ("succeeded", "ran"));
        assert_eq!(view.result, "answer to 500 bakery");
    }
    assert_eq!(cell.runs_of("500 bakery").len(), 1);
}

#[test]
fn a_gang_gets_room_for_all_its_tasks_over_several_holders() {
    let mut cell = three_data_centres();
    let spec = v1::JobSpec {
        tasks: 10,
        each: Some(inventory::amount(8_000, 1_024, 8)),
        ..inventory::spec("1000 gang")
    };
    let (_, id) = cell.submit(1, spec, "gang");
    cell.run_for(4 * SECOND);
    assert_eq!(cell.job(0, id).unwrap().state, "succeeded");
    assert_eq!(cell.runs_of("1000 gang").len(), 10);
    assert_eq!(cell.over_capacity(), 0);
}

#[test]
fn standing_work_of_the_configuration_runs_in_one_place_and_ends_when_removed() {
    let mut cell = three_data_centres();
    let spec = v1::JobSpec {
        standing: true,
        class: "standing".to_owned(),
        ..inventory::spec("stays watcher")
    };
    let work = v1::StandingWork { name: "watcher".to_owned(), spec: Some(spec) };
    let add = v1::config_op::Op::UpsertStanding(work);
    let reply = cell.change(0, 1, vec![v1::ConfigOp { op: Some(add) }]);
    cell.run_for(5 * SECOND);
    assert!(matches!(cell.answers[&reply].0, Answer::Change(_)), "{:?}", cell.answers[&reply]);
    let runs = cell.runs_of("stays watcher");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].to, None);
    let remove = v1::config_op::Op::RemoveStanding("watcher".to_owned());
    cell.change(3, 2, vec![v1::ConfigOp { op: Some(remove) }]);
    cell.run_for(5 * SECOND);
    let runs = cell.runs_of("stays watcher");
    assert_eq!(runs.len(), 1);
    assert!(runs[0].to.is_some(), "it was stopped");
}

#[test]
fn a_cancelled_job_stops_and_is_not_started_again() {
    let mut cell = three_data_centres();
    let (_, id) = cell.submit(0, inventory::spec("60000 long"), "long");
    cell.run_for(2 * SECOND);
    assert_eq!(cell.job(2, id).unwrap().state, "running");
    let reply = cell.ask(2, lilacpass_control::event::Request::Cancel(id));
    cell.run_for(3 * SECOND);
    let Answer::Job(view) = &cell.answers[&reply].0 else { panic!("{:?}", cell.answers[&reply]) };
    assert_eq!(view.state, "cancelled");
    let runs = cell.runs_of("60000 long");
    assert_eq!(runs.len(), 1);
    assert!(runs[0].to.is_some());
}
