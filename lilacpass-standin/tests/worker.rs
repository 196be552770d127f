//! Semantics of a stand-in worker, with time passed in.

use std::time::Duration;

use lilacpass_core::{MonoTime, Resources};
use lilacpass_schema::v1::{self, TaskControl, TaskOutcome};
use lilacpass_standin::{
    Payload,
    task::TaskStart,
    worker::{REMEMBER, Worker},
};

const LEASE: Duration = Duration::from_millis(1000);

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

fn key(job: &str) -> v1::TaskKey {
    v1::TaskKey { job_id: job.to_owned(), attempt: 1, index: 0 }
}

fn task(job: &str, payload: &str) -> TaskStart {
    TaskStart {
        key: key(job),
        epoch: 1,
        given: Resources::new(4000, 1024, 0, 1),
        payload: payload.to_owned(),
        declared_run: Duration::ZERO,
        lease: Some(LEASE),
        stop_after: None,
        standing: false,
        checkpoint: String::new(),
        speed_percent: 100,
        black_hole: false,
    }
}

fn worker() -> Worker {
    Worker::new("w", Resources::new(8000, 4096, 1, 2), 1000)
}

fn outcome(worker: &mut Worker, job: &str, now: MonoTime) -> Option<TaskOutcome> {
    let report = worker.report(now);
    let task = report.tasks.iter().find(|t| t.task.as_ref() == Some(&key(job)))?;
    (!task.running).then(|| task.outcome())
}

#[test]
fn a_task_whose_lease_lapses_is_stopped() {
    let mut worker = worker();
    assert!(worker.start(task("a", "id=a run=10s"), at(0)));
    assert!(worker.renew(vec![key("a")], LEASE, at(900)).is_empty());
    assert_eq!(outcome(&mut worker, "a", at(1899)), None);
    assert_eq!(outcome(&mut worker, "a", at(1900)), Some(TaskOutcome::Lapsed));
}

// A worker process is paused for longer than a lease. When it goes on, the first thing that it gets
// is a renewal that was waiting in its connection. The task must count as lapsed at the lease's end:
// another worker may run it by now.
#[test]
fn after_a_pause_a_waiting_renewal_does_not_revive_a_lapsed_task() {
    let mut worker = worker();
    worker.start(task("a", "id=a run=1h"), at(0));
    worker.start(task("b", "id=b run=60s"), at(0));
    assert_eq!(worker.renew(vec![key("b")], LEASE, at(5000)), vec![key("b")]);
    assert_eq!(outcome(&mut worker, "b", at(5000)), Some(TaskOutcome::Lapsed));
    assert_eq!(worker.history[1].ended, Some((at(1000), TaskOutcome::Lapsed)));
}

#[test]
fn a_known_task_is_not_started_again_before_it_is_forgotten() {
    let mut worker = worker();
    assert!(worker.start(task("a", "id=a run=100ms"), at(0)));
    assert!(!worker.start(task("a", "id=a run=100ms"), at(50)));
    assert!(!worker.start(task("a", "id=a run=100ms"), at(200)));
    assert_eq!(worker.counts.starts, 1);
    worker.forget(&[key("a")]);
    assert!(!worker.is_known(&key("a")));
    assert!(worker.start(task("a", "id=a run=100ms"), at(300)));
}

#[test]
fn an_ended_task_is_remembered_for_a_limited_time() {
    let mut worker = worker();
    worker.start(task("a", "id=a run=100ms"), at(0));
    worker.advance(at(100) + REMEMBER - Duration::from_millis(1));
    assert!(worker.is_known(&key("a")));
    worker.advance(at(100) + REMEMBER);
    assert!(!worker.is_known(&key("a")));
}

#[test]
fn giving_more_than_there_is_runs_and_is_counted() {
    let mut worker = worker();
    worker.start(task("a", "run=100ms"), at(0));
    worker.start(task("b", "run=100ms"), at(0));
    assert_eq!(worker.counts.over_capacity, 0);
    let third = TaskStart { given: Resources::new(1, 0, 0, 0), ..task("c", "run=100ms") };
    assert!(worker.start(third, at(0)));
    assert_eq!(worker.counts.over_capacity, 1);
    assert_eq!(worker.running_now(), 3);
    let most = worker.counts.most_given.unwrap();
    assert_eq!((most.cpu_milli, most.slots), (8001, 3));
}

#[test]
fn a_slot_that_became_free_at_this_moment_is_free() {
    let mut worker = worker();
    worker.start(task("a", "run=100ms"), at(0));
    worker.start(task("b", "run=200ms"), at(0));
    worker.start(task("c", "run=100ms"), at(100));
    assert_eq!(worker.counts.over_capacity, 0);
}

#[test]
fn a_result_names_the_piece_of_work() {
    let mut worker = worker();
    let payload = "id=audit-7 run=100ms result=fine pad=3";
    worker.start(task("a", payload), at(0));
    let report = worker.report(at(100));
    assert_eq!(report.tasks[0].result, "audit-7|fine|xxx");
    assert_eq!(report.tasks[0].result_bytes, 16);
    assert_eq!(Payload::parse(payload).expected_result(), "audit-7|fine|xxx");
}

#[test]
fn a_checkpoint_saves_the_work_done() {
    let mut worker = worker();
    worker.start(task("a", "id=a run=800ms checkpoint=yes"), at(0));
    assert!(worker.control(&key("a"), TaskControl::Checkpoint, at(500)));
    let report = worker.report(at(500));
    assert_eq!(report.tasks[0].outcome(), TaskOutcome::Checkpointed);
    let checkpoint = report.tasks[0].checkpoint.clone();
    let resumed = TaskStart { checkpoint, ..task("b", "id=a run=800ms checkpoint=yes") };
    worker.start(resumed, at(600));
    assert_eq!(outcome(&mut worker, "b", at(899)), None);
    assert_eq!(outcome(&mut worker, "b", at(900)), Some(TaskOutcome::Succeeded));
}

#[test]
fn a_throttled_task_takes_longer() {
    let mut worker = worker();
    worker.start(task("a", "run=200ms"), at(0));
    worker.control(&key("a"), TaskControl::Throttle, at(100));
    worker.control(&key("a"), TaskControl::Unthrottle, at(600));
    assert_eq!(outcome(&mut worker, "a", at(649)), None);
    assert_eq!(outcome(&mut worker, "a", at(650)), Some(TaskOutcome::Succeeded));
}

#[test]
fn a_hanging_watcher_runs_on_without_heartbeats() {
    let mut worker = worker();
    let watcher = TaskStart {
        standing: true,
        lease: Some(Duration::from_secs(60)),
        ..task("a", "beat=100ms hang_at=1s")
    };
    worker.start(watcher, at(0));
    assert!(worker.report(at(950)).tasks[0].heartbeat_age_ms < 100);
    assert_eq!(worker.report(at(4000)).tasks[0].heartbeat_age_ms, 3000);
}

#[test]
fn a_black_hole_fails_at_once() {
    let mut worker = worker();
    worker.start(TaskStart { black_hole: true, ..task("a", "run=200ms") }, at(0));
    assert_eq!(outcome(&mut worker, "a", at(0)), Some(TaskOutcome::Failed));
}

#[test]
fn a_dead_worker_remembers_nothing() {
    let mut worker = worker();
    worker.start(task("a", "run=200ms"), at(0));
    let version = worker.version;
    worker.die(at(100));
    worker.revive(5000);
    assert!(worker.report(at(200)).tasks.is_empty());
    assert!(worker.version > version);
    assert_eq!(worker.history[0].ended, Some((at(100), TaskOutcome::Unknown)));
}
