//! Snapshots in pieces, and streams of which nothing is left to start from.

mod fakes;

use std::{sync::atomic::Ordering, time::Duration};

use fakes::{Cell, cell::Fault, inventory};
use lilacpass_control::event::{Answer, Request, Stream};
use lilacpass_core::ids::JobId;
use lilacpass_schema::v1::{self, record::Body};

const SECOND: Duration = Duration::from_secs(1);
/// Time between two slow rounds.
const ROUND: Duration = Duration::from_millis(500);
/// Parts that a member appends in one round.
const PARTS_PER_ROUND: usize = 8;
/// Jobs of two parts each; a snapshot is due after 200 records.
const LARGE_JOBS: usize = 70;

/// A part of a snapshot.
struct Part {
    snapshot_id: String,
    is_last: bool,
}

/// One data centre, three members, two racks of two workers.
fn one_data_centre() -> Cell {
    let mut cell = Cell::new(&["a"], 3, 2, 2);
    cell.run_for(3 * SECOND);
    cell
}

/// Runs jobs whose payload and digest fill a part each.
fn run_large_jobs(cell: &mut Cell) -> Vec<JobId> {
    let run = |n| {
        let payload = format!("10 large-{n} {}", "x".repeat(60_000));
        let (_, id) = cell.submit(n % 3, inventory::spec(&payload), &format!("large-{n}"));
        cell.run_for(SECOND / 10);
        id
    };
    (0..LARGE_JOBS).map(run).collect()
}

/// The parts of snapshots of the jobs that are in the log.
fn parts(cell: &Cell) -> Vec<Part> {
    let part = |record: &v1::Record| match &record.body {
        Some(Body::Snapshot(part)) => Some(Part {
            snapshot_id: part.snapshot_id.clone(),
            is_last: part.parts == part.part + 1,
        }),
        _ => None,
    };
    cell.log.all(Stream::Jobs, "a").filter_map(part).collect()
}

fn has_last(cell: &Cell) -> bool {
    parts(cell).iter().any(|part| part.is_last)
}

/// Runs in steps of a fifth of a round until `done`, for at most two minutes.
fn run_until(cell: &mut Cell, done: impl Fn(&Cell) -> bool) {
    let steps = (0..1_200).take_while(|_| {
        cell.run_for(ROUND / 5);
        !done(cell)
    });
    assert!(steps.count() < 1_200, "it does not come within two minutes");
}

fn stranded(cell: &Cell, member: usize) -> u64 {
    cell.control(member).counters().streams_stranded.load(Ordering::Relaxed)
}

/// A caller waits no longer for an answer while a snapshot of many jobs is written.
/// The writer appends a few parts a round, and job records get into the log between them.
#[test]
fn a_large_snapshot_is_written_a_few_parts_at_a_time() {
    let mut cell = one_data_centre();
    let ids = run_large_jobs(&mut cell);
    run_until(&mut cell, |cell| !parts(cell).is_empty());
    let mut seen = parts(&cell).len();
    assert!((1..=PARTS_PER_ROUND).contains(&seen), "{seen} parts in the first round");
    let during = cell.submit(1, inventory::spec("10 during"), "during").1;
    while !has_last(&cell) {
        cell.run_for(ROUND);
        let now = parts(&cell).len();
        assert!(now > seen && now - seen <= PARTS_PER_ROUND, "{seen}, then {now} parts");
        seen = now;
    }
    assert!(seen > 3 * PARTS_PER_ROUND, "{seen} parts are no large snapshot");
    cell.log.dropped.insert(Stream::Jobs, 1);
    cell.fault(2, Fault::Killed);
    let new = cell.replace(2, "a-new", 2);
    cell.run_for(5 * SECOND);
    for id in ids.into_iter().chain([during]) {
        assert_eq!(cell.job(new, id).unwrap().state, "succeeded");
    }
}

/// A new instance starts although the member that wrote the snapshot died halfway.
/// Its parts are never complete. The others see no more of them, and one writes another snapshot.
#[test]
fn a_snapshot_whose_writer_dies_halfway_is_written_by_another_member() {
    let mut cell = one_data_centre();
    let ids = run_large_jobs(&mut cell);
    run_until(&mut cell, |cell| !parts(cell).is_empty());
    assert!(!has_last(&cell));
    let torn = parts(&cell).remove(0).snapshot_id;
    let writer = (0..3).find(|n| torn.starts_with(&format!("a-{n}."))).unwrap();
    cell.fault(writer, Fault::Killed);
    run_until(&mut cell, has_last);
    let found = parts(&cell);
    let last = found.iter().find(|part| part.is_last).expect("a whole snapshot");
    assert_ne!(last.snapshot_id, torn);
    cell.log.dropped.insert(Stream::Jobs, 1);
    let new = cell.replace(writer, "a-new", 2);
    cell.run_for(5 * SECOND);
    for id in ids {
        assert_eq!(cell.job(new, id).unwrap().state, "succeeded");
    }
}

/// An operator is told that two new instances take no jobs: the log has dropped the stream of jobs
/// before anybody wrote a snapshot, and who had read it is gone or stands still.
/// They write no empty snapshot, under which the old key would be accepted again. The one that had
/// read everything goes on, writes a snapshot, and the others start from it.
#[test]
fn members_without_history_say_so_and_wait_for_one_that_has_it() {
    let mut cell = one_data_centre();
    let (_, id) = cell.submit(0, inventory::spec("10 old"), "old");
    cell.run_for(5 * SECOND);
    cell.fault(0, Fault::Paused);
    cell.fault(1, Fault::Killed);
    cell.fault(2, Fault::Killed);
    let tail = cell.log.tail(Stream::Jobs, "a");
    cell.log.dropped.insert(Stream::Jobs, tail);
    let new = [cell.replace(1, "a-new-1", 2), cell.replace(2, "a-new-2", 2)];
    cell.run_for(110 * SECOND);
    assert_eq!(new.map(|member| stranded(&cell, member)), [0, 0]);
    cell.run_for(20 * SECOND);
    assert_eq!(new.map(|member| stranded(&cell, member)), [1, 1]);
    let (reply, _) = cell.submit(new[0], inventory::spec("10 old"), "old");
    cell.run_for(SECOND);
    assert!(matches!(cell.answers[&reply].0, Answer::Problem(_)), "{:?}", cell.answers[&reply]);
    assert_eq!(cell.log.tail(Stream::Jobs, "a"), tail);

    cell.fault(0, Fault::None);
    for n in 0..5 {
        cell.submit(0, inventory::spec(&format!("10 new-{n}")), &format!("new-{n}"));
        cell.run_for(2 * SECOND);
    }
    cell.run_for(90 * SECOND);
    for member in new {
        assert_eq!(stranded(&cell, member), 0);
        assert_eq!(cell.job(member, id).unwrap().state, "succeeded");
    }
    assert_eq!(cell.runs_of("10 old").len(), 1);
}

/// An operator asks a new instance for the audit trail and sees nothing, although entries are there.
/// The log has dropped the oldest ones; the instance waits for a snapshot that nobody writes.
#[test]
fn a_new_instance_shows_the_audit_entries_that_are_left() {
    let mut cell = one_data_centre();
    for n in 0..6 {
        let refused = Request::Refused { action: format!("try-{n}"), detail: String::new() };
        cell.ask(0, refused);
        cell.run_for(SECOND);
    }
    cell.log.dropped.insert(Stream::Audit, 4);
    cell.fault(2, Fault::Killed);
    let new = cell.replace(2, "a-new", 2);
    cell.run_for(3 * SECOND);
    let reply = cell.ask(new, Request::Audit);
    let Answer::Audit(list) = &cell.answers[&reply].0 else { panic!("no audit trail") };
    let shown: Vec<&str> = list.entries.iter().map(|entry| entry.action.as_str()).collect();
    assert_eq!(shown.last(), Some(&"try-5"), "{shown:?}");
    assert!(!shown.contains(&"try-0"), "{shown:?}");
}
