//! Questions to the history of jobs that control asks often.

use lilacpass_core::ids::{AttemptNo, InstanceId, TaskId, WorkerId};
use lilacpass_records::jobs::{Attempt, Job, Jobs, State};
use lilacpass_schema::v1;

use crate::convert;

/// Where the active attempt of a job places a task; `None` for another attempt.
pub(crate) fn placement<'a>(jobs: &'a Jobs, task: &TaskId) -> Option<&'a v1::Placement> {
    let attempt = jobs.get(&task.job)?.attempt()?;
    if attempt.number == task.attempt { attempt.placement(task.index) } else { None }
}

/// Whether a running task is still wanted: its job is neither ended nor cancelled, and no later
/// attempt is due.
///
/// The driver starts a task once it has read the attempt back, and the holder may not have read
/// that far itself. An attempt that the holder's history does not know yet is therefore wanted.
pub(crate) fn wants(job: &Job, task: &TaskId) -> bool {
    let latest = match job.state() {
        State::Waiting { next_attempt } => *next_attempt,
        State::Active(attempt) => attempt.number,
        State::Ended(_) => return false,
    };
    task.attempt >= latest && job.cancelled_by().is_none()
}

/// The number of the job's active attempt.
pub(crate) fn active_attempt(job: &Job) -> Option<AttemptNo> {
    job.attempt().map(|attempt| attempt.number)
}

/// Whether some task of a gang has ended without success while others still run.
pub(crate) fn is_broken(attempt: &Attempt) -> bool {
    let ends = (0..attempt.placements().len()).filter_map(|index| attempt.end(index as u32));
    let failed = ends.into_iter().any(|end| end.outcome() != v1::TaskOutcome::Succeeded);
    failed && attempt.running().next().is_some()
}

/// The holders of the tasks of an attempt that have not ended, each once.
pub(crate) fn running_holders(attempt: &Attempt) -> Vec<InstanceId> {
    let mut holders: Vec<InstanceId> =
        attempt.running().map(|placement| convert::instance_id(&placement.holder)).collect();
    holders.sort();
    holders.dedup();
    holders
}

/// The workers of the tasks of an attempt that have not ended.
pub(crate) fn running_workers(attempt: &Attempt) -> impl Iterator<Item = WorkerId> {
    attempt.running().map(|placement| convert::worker_id(&placement.worker))
}
