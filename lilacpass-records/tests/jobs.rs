//! The life of a job, told record by record.

mod common;

use common::{Log, accepted, attempt, cancelled, ended, given_up, spec};
use lilacpass_core::{
    MonoTime, Resources, Verdict,
    ids::{AttemptNo, JobId, TaskId, TeamId, WorkerId},
};
use lilacpass_records::{
    Folded, Jobs, JobsOptions,
    jobs::{AfterTask, VoidReason},
};
use lilacpass_schema::v1::{JobSpec, TaskOutcome};

const JOB: JobId = JobId(7);

fn task(attempt: u64, index: u32) -> TaskId {
    TaskId { job: JOB, attempt: AttemptNo(attempt), index }
}

fn task_ended(attempt: u64, index: u32, then: AfterTask) -> Folded {
    Folded::TaskEnded { task: task(attempt, index), then }
}

fn attempted(attempt: u64) -> Folded {
    Folded::Attempted { job: JOB, attempt: AttemptNo(attempt) }
}

fn void_attempt(attempt: u64, reason: VoidReason) -> Folded {
    Folded::VoidAttempt { job: JOB, attempt: AttemptNo(attempt), reason }
}

/// A log with one accepted job.
fn log_with(spec: JobSpec) -> Log {
    let mut log = Log::new();
    assert_eq!(log.append(JOB, accepted(spec, "d")), Folded::Accepted(JOB));
    log
}

fn verdict(log: &Log) -> Option<(Verdict, bool)> {
    log.jobs.get(&JOB)?.ended().map(|ended| (ended.verdict, ended.succeeded))
}

#[test]
fn a_job_runs_and_its_result_is_kept_whole() {
    let mut log = log_with(JobSpec { tasks: 2, ..spec() });
    assert_eq!(log.jobs.waiting().count(), 1);
    assert_eq!(log.append(JOB, attempt(1, 2, "e1", 3)), attempted(1));
    assert_eq!((log.jobs.waiting_len(), log.jobs.active_len()), (0, 1));
    let usage = &log.jobs.team_usage()[&TeamId::new("brokers")];
    assert_eq!(*usage, Resources::new(1_000, 512, 0, 2));
    let done = |index| ended(1, index, TaskOutcome::Succeeded, "e1", 3);
    assert_eq!(log.append(JOB, done(1)), task_ended(1, 1, AfterTask::Running));
    assert_eq!(log.jobs.placements_on(&WorkerId::new("w1")).count(), 0);
    let (at, placement, job) = log.jobs.placements_on(&WorkerId::new("w0")).next().unwrap();
    assert_eq!((at, placement.epoch, job.id()), (task(1, 0), 3, JOB));
    assert_eq!(log.append(JOB, done(0)), task_ended(1, 0, AfterTask::Ended));
    let job = log.jobs.get(&JOB).unwrap();
    assert_eq!(job.ended().unwrap().results, ["result-0", "result-1"]);
    assert_eq!(verdict(&log), Some((Verdict::Ran, true)));
    assert!(log.jobs.team_usage().is_empty() && job.spec().payload.is_empty());
}

/// A broker's sweep is accepted, but the answer of the append is lost after it took effect. The
/// entry appends the same record again, later than the sweep's first attempt. The sweep must not
/// become a second job, nor may any other record count twice.
#[test]
fn a_record_appended_again_after_a_lost_answer_counts_once() {
    let mut log = Log::new();
    let again = |log: &mut Log, id: &str, body| (log.append_as(id, JOB, body), log.next);
    assert_eq!(again(&mut log, "a", accepted(spec(), "d")).0, Folded::Accepted(JOB));
    assert_eq!(again(&mut log, "b", attempt(1, 1, "e1", 1)).0, attempted(1));
    let stop = || ended(1, 0, TaskOutcome::NotStarted, "e1", 1);
    assert_eq!(again(&mut log, "g", given_up()).0, Folded::Void(VoidReason::Active));
    assert_eq!(again(&mut log, "c", stop()).0, task_ended(1, 0, AfterTask::Waiting));
    let repeats = [
        ("a", accepted(spec(), "d")),
        ("b", attempt(1, 1, "e1", 1)),
        ("c", stop()),
        ("g", given_up()),
    ];
    for (id, body) in repeats {
        assert_eq!(again(&mut log, id, body).0, Folded::Duplicate);
    }
    assert_eq!(log.jobs.get(&JOB).unwrap().next_attempt(), Some(AttemptNo(2)));
}

/// A shop sends a second, unlike crawl under the key of its first. Taking it for a repeat would
/// answer with the wrong report; taking it as new would run under a job id that is taken.
#[test]
fn a_key_reused_with_another_body_is_a_conflict() {
    let mut log = log_with(spec());
    assert_eq!(log.append(JOB, accepted(spec(), "other")), Folded::KeyConflict(JOB));
    assert_eq!(log.append(JOB, accepted(spec(), "d")), Folded::Duplicate);
    assert_eq!(log.jobs.len(), 1);
}

/// Two entries both see a sweep waiting, one of them wrongly believing itself its only driver.
/// Both append attempt 1, then the slower one tries attempt 1 once more after the first is over.
/// Only the first in the log may start.
#[test]
fn of_two_drivers_only_the_first_in_the_log_runs_the_attempt() {
    let mut log = log_with(spec());
    assert_eq!(log.append(JOB, attempt(2, 1, "e2", 1)), void_attempt(2, VoidReason::WrongAttempt));
    assert_eq!(log.append(JOB, attempt(1, 1, "e1", 1)), attempted(1));
    assert_eq!(log.append(JOB, attempt(1, 1, "e2", 1)), void_attempt(1, VoidReason::Active));
    assert_eq!(log.append(JOB, attempt(2, 1, "e2", 1)), void_attempt(2, VoidReason::Active));
    let (_, winner) = log.jobs.active().next().unwrap();
    assert_eq!(winner.driver.as_str(), "e1");
    let stop = ended(1, 0, TaskOutcome::NotStarted, "e1", 1);
    assert_eq!(log.append(JOB, stop), task_ended(1, 0, AfterTask::Waiting));
    assert_eq!(log.append(JOB, attempt(1, 1, "e2", 1)), void_attempt(1, VoidReason::WrongAttempt));
    assert_eq!(log.append(JOB, attempt(2, 1, "e2", 1)), attempted(2));
}

/// A holder is paused past its lease and another one takes its shard over and starts an attempt.
/// The paused one wakes and appends that the task has ended. Believing it would free the job for
/// a second copy while the first runs.
#[test]
fn a_deposed_holder_cannot_end_a_task() {
    let mut log = log_with(spec());
    log.append(JOB, attempt(1, 1, "e2", 5));
    for (holder, epoch) in [("e1", 4), ("e1", 5), ("e2", 4)] {
        let late = ended(1, 0, TaskOutcome::NotStarted, holder, epoch);
        assert_eq!(log.append(JOB, late), Folded::Void(VoidReason::NotHolder));
    }
    let heir = ended(1, 0, TaskOutcome::NotStarted, "e3", 6);
    assert_eq!(log.append(JOB, heir.clone()), task_ended(1, 0, AfterTask::Waiting));
    log.append(JOB, attempt(2, 1, "e3", 6));
    assert_eq!(log.append(JOB, heir), Folded::Void(VoidReason::WrongAttempt));
}

#[test]
fn non_idempotent_work_that_may_have_started_ends_as_may_have_run() {
    for outcome in [TaskOutcome::Unknown, TaskOutcome::Lapsed, TaskOutcome::Stopped] {
        let mut log = log_with(spec());
        log.append(JOB, attempt(1, 1, "e1", 1));
        let folded = log.append(JOB, ended(1, 0, outcome, "e1", 1));
        assert_eq!(folded, task_ended(1, 0, AfterTask::Ended));
        assert_eq!(verdict(&log), Some((Verdict::MayHaveRun, false)));
        assert_eq!(log.append(JOB, attempt(2, 1, "e1", 1)), void_attempt(2, VoidReason::Ended));
    }
}

#[test]
fn a_checkpoint_lets_the_same_execution_go_on() {
    let mut log = log_with(spec());
    log.append(JOB, attempt(1, 1, "e1", 1));
    log.append(JOB, ended(1, 0, TaskOutcome::Checkpointed, "e1", 1));
    assert_eq!(log.jobs.get(&JOB).unwrap().checkpoint(0), Some("at-1-0"));
    log.append(JOB, attempt(2, 1, "e1", 1));
    log.append(JOB, ended(2, 0, TaskOutcome::NotStarted, "e1", 1));
    let job = log.jobs.get(&JOB).unwrap();
    assert_eq!((job.checkpoint(0), job.may_have_started()), (Some("at-1-0"), true));
    assert_eq!(log.append(JOB, cancelled()), Folded::Cancelled(JOB));
    assert_eq!(verdict(&log), Some((Verdict::MayHaveRun, false)));
}

#[test]
fn idempotent_work_is_given_up_after_as_many_failures_as_allowed() {
    let mut log = log_with(JobSpec { idempotent: true, ..spec() });
    let most = u64::from(JobsOptions::default().max_attempts);
    for number in 1..=most {
        // A stop is the system's doing and does not count.
        log.append(JOB, attempt(2 * number - 1, 1, "e1", 1));
        log.append(JOB, ended(2 * number - 1, 0, TaskOutcome::Stopped, "e1", 1));
        log.append(JOB, attempt(2 * number, 1, "e1", 1));
        let folded = log.append(JOB, ended(2 * number, 0, TaskOutcome::Failed, "e1", 1));
        let then = if number == most { AfterTask::Ended } else { AfterTask::Waiting };
        assert_eq!(folded, task_ended(2 * number, 0, then));
    }
    assert_eq!(verdict(&log), Some((Verdict::Ran, false)));
}

#[test]
fn standing_work_goes_on_after_every_end_and_backs_off() {
    let mut log = log_with(JobSpec { standing: true, class: "standing".into(), ..spec() });
    for number in 1..20 {
        assert_eq!(log.append(JOB, attempt(number, 1, "e1", 1)), attempted(number));
        let folded = log.append(JOB, ended(number, 0, TaskOutcome::Failed, "e1", 1));
        assert_eq!(folded, task_ended(number, 0, AfterTask::Waiting));
        let backoff = log.jobs.get(&JOB).unwrap().backoff();
        assert_eq!(backoff.is_zero(), number == 1, "a first restart is at once");
        assert!(backoff.as_secs() <= 60);
    }
    assert_eq!(log.append(JOB, cancelled()), Folded::Cancelled(JOB));
    assert_eq!(verdict(&log), Some((Verdict::MayHaveRun, false)));
}

/// The workers of a watcher die again and again. Backing off for that would leave it silent for a
/// minute each time, though nothing is wrong with the watcher.
#[test]
fn a_watcher_whose_workers_die_is_back_at_once() {
    let mut log = log_with(JobSpec { standing: true, class: "standing".into(), ..spec() });
    let outcomes = [TaskOutcome::Unknown, TaskOutcome::Lapsed, TaskOutcome::Stopped];
    for (number, outcome) in (1..).zip(outcomes.repeat(5)) {
        assert_eq!(log.append(JOB, attempt(number, 1, "e1", 1)), attempted(number));
        let folded = log.append(JOB, ended(number, 0, outcome, "e1", 1));
        assert_eq!(folded, task_ended(number, 0, AfterTask::Waiting));
        assert!(log.jobs.get(&JOB).unwrap().backoff().is_zero());
    }
}

#[test]
fn cancelled_work_ends_at_once_or_with_its_task() {
    let mut log = log_with(spec());
    log.append(JOB, cancelled());
    assert_eq!(verdict(&log), Some((Verdict::NotRun, false)));
    assert_eq!(log.append(JOB, cancelled()), Folded::Void(VoidReason::Ended));

    let mut log = log_with(spec());
    log.append(JOB, attempt(1, 1, "e1", 1));
    log.append(JOB, cancelled());
    assert_eq!((verdict(&log), log.jobs.active_len()), (None, 1));
    assert_eq!(log.append(JOB, cancelled()), Folded::Void(VoidReason::Cancelled));
    log.append(JOB, ended(1, 0, TaskOutcome::NotStarted, "e1", 1));
    assert_eq!(verdict(&log), Some((Verdict::NotRun, false)));
}

#[test]
fn a_driver_gives_up_only_what_waits() {
    let mut log = log_with(spec());
    log.append(JOB, attempt(1, 1, "e1", 1));
    assert_eq!(log.append(JOB, given_up()), Folded::Void(VoidReason::Active));
    log.append(JOB, ended(1, 0, TaskOutcome::NotStarted, "e1", 1));
    assert_eq!(log.append(JOB, given_up()), Folded::JobEnded(JOB));
    assert_eq!(verdict(&log), Some((Verdict::NotRun, false)));
    assert_eq!(log.append(JOB, given_up()), Folded::Void(VoidReason::Ended));
}

#[test]
fn a_result_above_the_limit_is_refused_and_never_cut() {
    let mut log = log_with(spec());
    let options = JobsOptions { max_result_bytes: 3, ..JobsOptions::default() };
    log.jobs = Jobs::new(options);
    log.append(JOB, accepted(spec(), "d"));
    log.append(JOB, attempt(1, 1, "e1", 1));
    log.append(JOB, ended(1, 0, TaskOutcome::Succeeded, "e1", 1));
    assert_eq!(verdict(&log), Some((Verdict::Ran, false)));
    assert!(log.jobs.get(&JOB).unwrap().ended().unwrap().reason.contains("longer than 3 bytes"));
}

/// A job ended long ago is forgotten at the offset of a snapshot part, so that a repeated request
/// is a new job at all members or at none, whatever their clocks say.
#[test]
fn ended_jobs_are_forgotten_by_a_record_and_not_by_the_clock() {
    let mut log = log_with(spec());
    log.append(JOB, cancelled());
    let keep_ended = log.jobs.options().keep_ended;
    assert_eq!(log.jobs.expire(MonoTime(1)), 0);
    assert_eq!(log.jobs.expire(MonoTime(1) + keep_ended), 1);
    assert_eq!(log.append(JOB, accepted(spec(), "d")), Folded::Duplicate);
    let part = log.jobs.snapshot(1 << 20).remove(0);
    let mut other = Jobs::restore(JobsOptions::default(), [&part], log.next, MonoTime(0)).unwrap();
    let record = common::record(JOB, accepted(spec(), "d"));
    assert_eq!(other.fold(log.next, "x", &record, MonoTime(0)), Folded::Duplicate);
    assert_eq!((log.jobs.fold_snapshot(&part), other.fold_snapshot(&part)), (1, 1));
    assert_eq!(other.fold(log.next, "y", &record, MonoTime(0)), Folded::Accepted(JOB));
    let end = common::record(JOB, cancelled());
    assert_eq!(other.fold(log.next.next(), "z", &end, MonoTime(0)), Folded::Cancelled(JOB));
    assert_eq!(other.fold_snapshot(&part), 0, "the new job is not the one to forget");
}

/// A snapshot is written part by part while jobs go on. Were a later change to get into it, a
/// member that restores it would fold that change twice.
#[test]
fn a_frozen_state_stays_as_it_was() {
    let mut log = log_with(spec());
    let before = log.jobs.snapshot(1);
    let frozen = log.jobs.freeze(1);
    log.append(JOB, attempt(1, 1, "e1", 1));
    log.append(JobId(8), accepted(spec(), "d"));
    assert_eq!(frozen.collect::<Vec<_>>(), before);
    assert_ne!(log.jobs.snapshot(1), before);
}
