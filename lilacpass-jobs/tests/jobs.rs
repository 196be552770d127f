//! The life of a job: steps, attempts, gangs, checkpoints, and its records.

use std::sync::Arc;

use lilacpass_jobs::{
    EndReason, Job, JobKey, Outcome, RunEnd, StepName, Suspicion, TaskName, WorkerName,
    failure::Cause, job::Change, record,
};
use lilacpass_schema::v1;
use prost::Message;

fn job(steps: Vec<v1::WorkStep>) -> Job {
    let queue = v1::QueuePolicy { attempts: 2, ..Default::default() };
    let plan = v1::WorkPlan { steps, ..Default::default() };
    let record = v1::PlanRecord { plan: Some(plan), queue: Some(queue), accepted_ms: 5 };
    Job::new(JobKey(0xab), record)
}

fn step(count: u32, after: Vec<u32>) -> v1::WorkStep {
    v1::WorkStep { count, after, ..Default::default() }
}

fn name(step: u32) -> StepName {
    StepName { job: JobKey(0xab), occurrence: 0, step }
}

fn begin(job: &mut Job, task: TaskName) -> u32 {
    job.assign_run(task, WorkerName::from("w"), Arc::from("dc")).expect("the task is in the job")
}

fn host() -> WorkerName {
    WorkerName::from("w")
}

fn end(run: u32, how: EndReason) -> RunEnd {
    RunEnd { run, reason: how, checkpoint: String::new() }
}

#[test]
fn a_step_waits_for_all_tasks_of_those_before() {
    let mut job = job(vec![step(2, vec![]), step(1, vec![0])]);
    assert!(job.step_may_start(name(0), 0) && !job.step_may_start(name(1), 0));
    for index in 0..2 {
        assert!(!job.step_may_start(name(1), 0));
        let task = name(0).task(index);
        let run = begin(&mut job, task);
        assert_eq!(job.end_run(task, &host(), &end(run, EndReason::Done), 9), Change::TaskDone);
    }
    assert!(job.step_may_start(name(1), 0));
    let task = name(1).task(0);
    let run = begin(&mut job, task);
    assert_eq!(job.end_run(task, &host(), &end(run, EndReason::Done), 9), Change::JobEnded);
    assert_eq!(job.outcome, Outcome::Completed);
}

#[test]
fn only_failed_runs_count_as_attempts_and_each_once() {
    let mut job = job(vec![step(1, vec![])]);
    let task = name(0).task(0);
    for how in [
        EndReason::Stopped,
        EndReason::Expired,
        EndReason::GangBroken,
        EndReason::GangIncomplete,
        EndReason::NeverStarted,
        EndReason::Failed,
    ] {
        let run = begin(&mut job, task);
        assert_eq!(job.end_run(task, &host(), &end(run, how), 9), Change::Waiting);
        assert_eq!(job.end_run(task, &host(), &end(run, how), 9), Change::None, "told twice");
    }
    let run = begin(&mut job, task);
    assert_eq!(job.end_run(task, &host(), &end(run, EndReason::Failed), 9), Change::JobEnded);
    assert_eq!(job.outcome, Outcome::Failed);
}

/// A task ran twice: the end of a run of the same number, told for a worker that never had it, was
/// taken for the end of the one that ran.
#[test]
fn the_end_of_a_run_on_another_worker_ends_nothing() {
    let mut job = job(vec![step(1, vec![])]);
    let task = name(0).task(0);
    let run = begin(&mut job, task);
    let other = WorkerName::from("other");
    assert_eq!(job.end_run(task, &other, &end(run, EndReason::Expired), 9), Change::None);
    assert!(job.task(task).is_some_and(|task| task.run(run).is_some()), "it still runs");
}

#[test]
fn a_failed_gang_is_one_attempt_and_one_end_as_done_stands_for_all() {
    let mut job = job(vec![v1::WorkStep { gang: true, ..step(3, vec![]) }]);
    let hosts: Vec<(WorkerName, Arc<str>)> =
        (0..3).map(|_| (WorkerName::from("w"), Arc::from("dc"))).collect();
    let run = job.assign_gang(name(0), &hosts).expect("a gang");
    for index in 0..3 {
        let how = if index < 2 { EndReason::Failed } else { EndReason::GangBroken };
        job.end_run(name(0).task(index), &host(), &end(run, how), 9);
    }
    assert_eq!(job.outcome, Outcome::Open, "two members that failed are one attempt");
    let run = job.assign_gang(name(0), &hosts).expect("a gang");
    assert_eq!(run, 2, "all members share the next number");
    assert_eq!(
        job.end_run(name(0).task(1), &host(), &end(run, EndReason::Done), 9),
        Change::JobEnded
    );
}

#[test]
fn a_lasting_task_starts_again_however_it_ends() {
    let mut job = job(vec![v1::WorkStep { lasting: true, ..step(1, vec![]) }]);
    let task = name(0).task(0);
    for how in [
        EndReason::Done,
        EndReason::Failed,
        EndReason::Failed,
        EndReason::Failed,
        EndReason::Expired,
    ] {
        let run = begin(&mut job, task);
        assert_eq!(job.end_run(task, &host(), &end(run, how), 9), Change::Waiting);
        assert!(job.task(task).is_some_and(lilacpass_jobs::Task::is_waiting));
    }
    assert_eq!(job.outcome, Outcome::Open);
}

#[test]
fn occurrences_are_due_one_after_the_other() {
    let mut job = job(vec![step(1, vec![])]);
    job.plan.repeat_count = 2;
    job.plan.first_run_ms = 1_000;
    job.plan.interval_ms = 500;
    let mut job = Job::new(job.key, v1::PlanRecord { plan: Some(job.plan), ..Default::default() });
    let second = StepName { occurrence: 1, ..name(0) };
    assert!(!job.step_may_start(name(0), 999) && job.step_may_start(name(0), 1_000));
    assert!(!job.step_may_start(second, 1_499) && job.step_may_start(second, 1_500));
    let run = begin(&mut job, name(0).task(0));
    assert_eq!(
        job.end_run(name(0).task(0), &host(), &end(run, EndReason::Done), 9),
        Change::TaskDone
    );
}

#[test]
fn a_job_is_read_back_as_it_was_written() {
    let mut job = job(vec![step(2, vec![]), v1::WorkStep { gang: true, ..step(2, vec![0]) }]);
    begin(&mut job, name(0).task(0));
    let run = begin(&mut job, name(0).task(1));
    let ended = RunEnd { run, reason: EndReason::Failed, checkpoint: "c1".to_owned() };
    job.end_run(name(0).task(1), &host(), &ended, 9);
    let plan = record::encode_plan(&job);
    let state = record::encode_state(&job);
    assert_eq!(record::decode(job.key, &plan, Some(&state)), Ok(job.clone()));
    assert!(record::decode(job.key, &plan, Some(b"\xff\xff")).is_err());
    assert_eq!(record::parse_key(&record::state_key(job.key)), Some(record::Key::State(job.key)));
    assert_eq!(record::parse_key("lead"), None);
}

/// A job that was only given out is read back as one that no worker has begun, and one that was begun as such.
#[test]
fn what_workers_have_begun_is_read_back() {
    let mut job = job(vec![step(1, vec![])]);
    begin(&mut job, name(0).task(0));
    let plan = record::encode_plan(&job);
    let given = record::decode(job.key, &plan, Some(&record::encode_state(&job)));
    assert!(given.is_ok_and(|job| !job.has_started));
    assert!(job.mark_started() && !job.mark_started());
    let begun = record::decode(job.key, &plan, Some(&record::encode_state(&job)));
    assert!(begun.is_ok_and(|job| job.has_started));
}

/// Records of an earlier version don't tell what workers have begun; there, whatever was given out counts, as it
/// did then. Else all running jobs would be said to wait while a cell is upgraded.
#[test]
fn a_record_that_does_not_tell_counts_what_was_given_out_as_begun() {
    let mut job = job(vec![step(1, vec![])]);
    let plan = record::encode_plan(&job);
    let read = |job: &Job| {
        let state = v1::StateRecord::decode(record::encode_state(job).as_slice());
        let state = v1::StateRecord { not_begun: false, ..state.expect("it was just encoded") };
        record::decode(job.key, &plan, Some(&state.encode_to_vec())).expect("it was just encoded")
    };
    assert!(!read(&job).has_started, "nothing was given out");
    begin(&mut job, name(0).task(0));
    assert!(read(&job).has_started);
}

#[test]
fn names_are_read_back_and_others_refused() {
    let task = name(3).task(7);
    assert_eq!(task.to_string(), "00000000000000ab.0.3.7");
    assert_eq!(task.to_string().parse(), Ok(task));
    for wrong in [
        "",
        "ab.0.3.7",
        "00000000000000AB.0.3.7",
        "00000000000000ab.0.3",
        "00000000000000ab.0.3.7.1",
    ] {
        assert!(wrong.parse::<TaskName>().is_err(), "{wrong:?}");
    }
}

fn crash(job: &mut Job, suspicion: Suspicion) -> Change {
    let task = name(0).task(0);
    let run = begin(job, task);
    job.end_run(task, &host(), &end(run, EndReason::Crashed(suspicion)), 9)
}

fn restored(job: &Job) -> Job {
    let (plan, state) = (record::encode_plan(job), record::encode_state(job));
    record::decode(job.key, &plan, Some(&state)).expect("a record that decodes")
}

/// Guards against crashes that are forgotten, and a reason that is lost, when another leader reads the job.
#[test]
fn crashes_and_the_reason_of_a_failure_are_recorded() {
    let mut job = job(vec![step(1, vec![])]);
    assert_eq!(crash(&mut job, Suspicion::Only), Change::Waiting);
    let mut job = restored(&job);
    assert!(job.is_suspected(name(0).task(0)));
    assert_eq!(crash(&mut job, Suspicion::Only), Change::JobEnded);
    let job = restored(&job);
    assert_eq!(job.outcome, Outcome::Failed);
    let failure = job.failure.expect("a reason");
    assert_eq!((failure.cause, failure.count), (Cause::Crashes, 2));
    assert_eq!(failure.to_string(), format!("2 workers crashed under task {}", name(0).task(0)));
}

/// Guards against a bound that callers see broken: two starts are allowed after the third crash.
#[test]
fn no_task_is_started_a_third_time_after_the_third_crash() {
    for suspicion in [Suspicion::Cleared, Suspicion::Present, Suspicion::Suspect, Suspicion::Only] {
        let mut job = job(vec![step(1, vec![])]);
        let crashes = (1..).find(|_| crash(&mut job, suspicion) == Change::JobEnded);
        assert!(crashes.is_some_and(|crashes| crashes <= 5), "{suspicion:?}: {crashes:?}");
    }
}

/// Guards against healthy work that is given up for one coincidence.
#[test]
fn a_crash_with_another_explanation_or_one_alone_gives_nothing_up() {
    let mut job = job(vec![step(1, vec![])]);
    assert_eq!(crash(&mut job, Suspicion::Suspect), Change::Waiting);
    assert_eq!(crash(&mut job, Suspicion::Only), Change::Waiting);
    assert_eq!(crash(&mut job, Suspicion::Cleared), Change::Waiting);
    assert!(job.clear_crashes(name(0).task(0)), "a run that works for long clears it");
    assert_eq!(crash(&mut job, Suspicion::Only), Change::Waiting);
}
