//! Tests of the state machine of a job: steps, attempts, gangs, checkpoints and records.

use lilacpass_jobs::{
    EndReason, Job, JobKey, Outcome, RunEnd, RunHost, StepName, Suspicion, TaskName, WorkerName,
    failure::Cause, job::Change, record,
};
use lilacpass_schema::v1;
use prost::Message;

fn new_job(steps: Vec<v1::WorkStep>) -> Job {
    let queue = v1::QueuePolicy { attempts: 2, ..Default::default() };
    let plan = v1::WorkPlan { steps, ..Default::default() };
    let record = v1::PlanRecord {
        plan: Some(plan),
        queue: Some(queue),
        accepted_ms: 5,
        ..Default::default()
    };
    Job::new(JobKey(0xab), record)
}

fn step_plan(count: u32, after: Vec<u32>) -> v1::WorkStep {
    v1::WorkStep { count, after, ..Default::default() }
}

fn step_name(step: u32) -> StepName {
    StepName { job: JobKey(0xab), occurrence: 0, step }
}

fn assign(job: &mut Job, task: TaskName) -> u32 {
    let host = RunHost::new(WorkerName::from("w"), "dc", "w:80");
    job.assign_run(task, host).expect("the task is in the job")
}

fn worker() -> WorkerName {
    WorkerName::from("w")
}

fn run_end(run: u32, reason: EndReason) -> RunEnd {
    RunEnd { run, reason, checkpoint: String::new() }
}

#[test]
fn a_step_waits_for_all_tasks_of_earlier_steps() {
    let mut job = new_job(vec![step_plan(2, vec![]), step_plan(1, vec![0])]);
    assert!(job.step_may_start(step_name(0), 0) && !job.step_may_start(step_name(1), 0));
    for index in 0..2 {
        assert!(!job.step_may_start(step_name(1), 0));
        let task = step_name(0).task(index);
        let run = assign(&mut job, task);
        assert_eq!(
            job.end_run(task, &worker(), &run_end(run, EndReason::Done), 9),
            Change::TaskDone
        );
    }
    assert!(job.step_may_start(step_name(1), 0));
    let task = step_name(1).task(0);
    let run = assign(&mut job, task);
    assert_eq!(job.end_run(task, &worker(), &run_end(run, EndReason::Done), 9), Change::JobEnded);
    assert_eq!(job.outcome, Outcome::Completed);
}

#[test]
fn only_failed_runs_count_as_attempts_and_each_counts_once() {
    let mut job = new_job(vec![step_plan(1, vec![])]);
    let task = step_name(0).task(0);
    for reason in [
        EndReason::Stopped,
        EndReason::Expired,
        EndReason::GangBroken,
        EndReason::GangIncomplete,
        EndReason::NeverStarted,
        EndReason::Failed,
    ] {
        let run = assign(&mut job, task);
        assert_eq!(job.end_run(task, &worker(), &run_end(run, reason), 9), Change::Waiting);
        assert_eq!(
            job.end_run(task, &worker(), &run_end(run, reason), 9),
            Change::None,
            "reported twice"
        );
    }
    let run = assign(&mut job, task);
    assert_eq!(job.end_run(task, &worker(), &run_end(run, EndReason::Failed), 9), Change::JobEnded);
    assert_eq!(job.outcome, Outcome::Failed);
}

/// Guards against a task that runs twice: an end with the right run number, reported for a worker that never had the
/// run, must not end the run on its real worker.
#[test]
fn the_end_of_a_run_on_another_worker_is_ignored() {
    let mut job = new_job(vec![step_plan(1, vec![])]);
    let task = step_name(0).task(0);
    let run = assign(&mut job, task);
    let other = WorkerName::from("other");
    assert_eq!(job.end_run(task, &other, &run_end(run, EndReason::Expired), 9), Change::None);
    assert!(job.task(task).is_some_and(|task| task.run(run).is_some()), "it still runs");
}

#[test]
fn a_failed_gang_counts_as_one_attempt_and_one_finished_member_finishes_all() {
    let mut job = new_job(vec![v1::WorkStep { gang: true, ..step_plan(3, vec![]) }]);
    let workers: Vec<RunHost> =
        (0..3).map(|_| RunHost::new(WorkerName::from("w"), "dc", "w:80")).collect();
    let run = job.assign_gang(step_name(0), &workers).expect("a gang");
    for index in 0..3 {
        let reason = if index < 2 { EndReason::Failed } else { EndReason::GangBroken };
        job.end_run(step_name(0).task(index), &worker(), &run_end(run, reason), 9);
    }
    assert_eq!(job.outcome, Outcome::Open, "two failed members count as one attempt");
    let run = job.assign_gang(step_name(0), &workers).expect("a gang");
    assert_eq!(run, 2, "all members share the next number");
    assert_eq!(
        job.end_run(step_name(0).task(1), &worker(), &run_end(run, EndReason::Done), 9),
        Change::JobEnded
    );
}

#[test]
fn a_lasting_task_restarts_after_any_end() {
    let mut job = new_job(vec![v1::WorkStep { lasting: true, ..step_plan(1, vec![]) }]);
    let task = step_name(0).task(0);
    for reason in [
        EndReason::Done,
        EndReason::Failed,
        EndReason::Failed,
        EndReason::Failed,
        EndReason::Expired,
    ] {
        let run = assign(&mut job, task);
        assert_eq!(job.end_run(task, &worker(), &run_end(run, reason), 9), Change::Waiting);
        assert!(job.task(task).is_some_and(lilacpass_jobs::Task::is_waiting));
    }
    assert_eq!(job.outcome, Outcome::Open);
}

#[test]
fn occurrences_are_due_at_fixed_intervals() {
    let mut job = new_job(vec![step_plan(1, vec![])]);
    job.plan.repeat_count = 2;
    job.plan.first_run_ms = 1_000;
    job.plan.interval_ms = 500;
    let mut job = Job::new(job.key, v1::PlanRecord { plan: Some(job.plan), ..Default::default() });
    let second = StepName { occurrence: 1, ..step_name(0) };
    assert!(!job.step_may_start(step_name(0), 999) && job.step_may_start(step_name(0), 1_000));
    assert!(!job.step_may_start(second, 1_499) && job.step_may_start(second, 1_500));
    let run = assign(&mut job, step_name(0).task(0));
    assert_eq!(
        job.end_run(step_name(0).task(0), &worker(), &run_end(run, EndReason::Done), 9),
        Change::TaskDone
    );
}

#[test]
fn a_job_survives_encoding_and_decoding() {
    let mut job =
        new_job(vec![step_plan(2, vec![]), v1::WorkStep { gang: true, ..step_plan(2, vec![0]) }]);
    assign(&mut job, step_name(0).task(0));
    let run = assign(&mut job, step_name(0).task(1));
    let ended = RunEnd { run, reason: EndReason::Failed, checkpoint: "c1".to_owned() };
    job.end_run(step_name(0).task(1), &worker(), &ended, 9);
    let plan = record::encode_plan(&job);
    let state = record::encode_state(&job);
    assert_eq!(record::decode(job.key, &plan, Some(&state)), Ok(job.clone()));
    assert!(record::decode(job.key, &plan, Some(b"\xff\xff")).is_err());
    assert_eq!(record::parse_key(&record::state_key(job.key)), Some(record::Key::State(job.key)));
    assert_eq!(record::parse_key("lead"), None);
}

/// A job whose runs are only assigned must decode as not started, and a started job as started.
#[test]
fn the_record_states_whether_a_job_has_started() {
    let mut job = new_job(vec![step_plan(1, vec![])]);
    assign(&mut job, step_name(0).task(0));
    let plan = record::encode_plan(&job);
    let assigned = record::decode(job.key, &plan, Some(&record::encode_state(&job)));
    assert!(assigned.is_ok_and(|job| !job.has_started));
    assert!(job.mark_started() && !job.mark_started());
    let started = record::decode(job.key, &plan, Some(&record::encode_state(&job)));
    assert!(started.is_ok_and(|job| job.has_started));
}

/// Records of earlier versions don't contain whether a job has started. In these an assigned run counts as started,
/// as it did in those versions; otherwise all running jobs would be reported as waiting during an upgrade of a cell.
#[test]
fn in_a_record_of_an_earlier_version_an_assigned_run_counts_as_started() {
    let mut job = new_job(vec![step_plan(1, vec![])]);
    let plan = record::encode_plan(&job);
    let decode_old = |job: &Job| {
        let state = v1::StateRecord::decode(record::encode_state(job).as_slice());
        let state = v1::StateRecord { not_begun: false, ..state.expect("it was just encoded") };
        record::decode(job.key, &plan, Some(&state.encode_to_vec())).expect("it was just encoded")
    };
    assert!(!decode_old(&job).has_started, "no run is assigned");
    assign(&mut job, step_name(0).task(0));
    assert!(decode_old(&job).has_started);
}

#[test]
fn task_names_parse_from_their_text_and_invalid_ones_are_refused() {
    let task = step_name(3).task(7);
    assert_eq!(task.to_string(), "00000000000000ab.0.3.7");
    assert_eq!(task.to_string().parse(), Ok(task));
    for invalid in [
        "",
        "ab.0.3.7",
        "00000000000000AB.0.3.7",
        "00000000000000ab.0.3",
        "00000000000000ab.0.3.7.1",
    ] {
        assert!(invalid.parse::<TaskName>().is_err(), "{invalid:?}");
    }
}

fn crash(job: &mut Job, suspicion: Suspicion) -> Change {
    let task = step_name(0).task(0);
    let run = assign(job, task);
    job.end_run(task, &worker(), &run_end(run, EndReason::Crashed(suspicion)), 9)
}

fn restored(job: &Job) -> Job {
    let (plan, state) = (record::encode_plan(job), record::encode_state(job));
    record::decode(job.key, &plan, Some(&state)).expect("a record that decodes")
}

/// Guards against a take-over in which the new leader loses the crashes of a task or the reason of a failure.
#[test]
fn crashes_and_the_reason_of_a_failure_survive_a_take_over() {
    let mut job = new_job(vec![step_plan(1, vec![])]);
    assert_eq!(crash(&mut job, Suspicion::Only), Change::Waiting);
    let mut job = restored(&job);
    assert!(job.is_suspected(step_name(0).task(0)));
    assert_eq!(crash(&mut job, Suspicion::Only), Change::JobEnded);
    let job = restored(&job);
    assert_eq!(job.outcome, Outcome::Failed);
    let failure = job.failure.expect("a reason");
    assert_eq!((failure.cause, failure.count), (Cause::Crashes, 2));
    assert_eq!(
        failure.to_string(),
        format!("2 workers crashed under task {}", step_name(0).task(0))
    );
}

/// Guards the limit that callers rely on: at most two starts after the third crash.
#[test]
fn no_task_starts_a_third_time_after_the_third_crash() {
    for suspicion in [Suspicion::Cleared, Suspicion::Present, Suspicion::Suspect, Suspicion::Only] {
        let mut job = new_job(vec![step_plan(1, vec![])]);
        let crashes = (1..).find(|_| crash(&mut job, suspicion) == Change::JobEnded);
        assert!(crashes.is_some_and(|crashes| crashes <= 5), "{suspicion:?}: {crashes:?}");
    }
}

/// Guards against a job that fails because workers happened to crash while they ran a healthy task.
#[test]
fn an_explained_crash_or_a_single_one_does_not_fail_the_job() {
    let mut job = new_job(vec![step_plan(1, vec![])]);
    assert_eq!(crash(&mut job, Suspicion::Suspect), Change::Waiting);
    assert_eq!(crash(&mut job, Suspicion::Only), Change::Waiting);
    assert_eq!(crash(&mut job, Suspicion::Cleared), Change::Waiting);
    assert!(job.clear_crashes(step_name(0).task(0)), "a long run clears the task");
    assert_eq!(crash(&mut job, Suspicion::Only), Change::Waiting);
}
