//! Checks of job records. What comes from the stream is checked as strictly as what comes through
//! our own interface, for anybody with access to the log can write there.

use lilacpass_core::{
    Class,
    ids::{InstanceId, ServiceId, TeamId, WorkerId},
};
use lilacpass_schema::v1;

use super::VoidReason;

/// Most tasks of one job.
pub(super) const MAX_TASKS: u32 = 10_000;
/// Largest declared size of a task, per resource; keeps sums of sizes from overflowing.
const MAX_AMOUNT: u64 = 1 << 40;

type Checked<T> = Result<T, VoidReason>;

/// Checks `accepted`; returns its team.
pub(super) fn accepted(accepted: &v1::JobAccepted) -> Checked<TeamId> {
    let spec = accepted.spec.as_ref().ok_or(VoidReason::Malformed("job without spec"))?;
    let team = spec.team.parse().map_err(|_| VoidReason::Malformed("team"))?;
    spec.service.parse::<ServiceId>().map_err(|_| VoidReason::Malformed("service"))?;
    spec.class.parse::<Class>().map_err(|_| VoidReason::Malformed("class"))?;
    if !(1..=MAX_TASKS).contains(&spec.tasks) {
        return Err(VoidReason::Malformed("number of tasks"));
    }
    let each = spec.each.as_ref().ok_or(VoidReason::Malformed("job without size"))?;
    let amounts = [each.cpu_milli, each.memory_mib, each.accelerators, each.slots];
    if amounts.iter().any(|amount| *amount > MAX_AMOUNT) {
        return Err(VoidReason::Malformed("size of a task"));
    }
    Ok(team)
}

/// Checks `attempt` of a job with `tasks` tasks; returns its driver and its placements in the
/// order of positions, one per task.
pub(super) fn attempt(
    attempt: &v1::JobAttempt,
    tasks: u32,
) -> Checked<(InstanceId, Vec<v1::Placement>)> {
    let driver = attempt.driver.parse().map_err(|_| VoidReason::Malformed("driver"))?;
    let mut placements = attempt.placements.clone();
    placements.sort_by_key(|placement| placement.index);
    let positions = placements.iter().map(|placement| placement.index);
    if !positions.eq(0..tasks) {
        return Err(VoidReason::Malformed("placements are not one per task"));
    }
    let is_named = |placement: &v1::Placement| {
        placement.worker.parse::<WorkerId>().is_ok()
            && placement.holder.parse::<InstanceId>().is_ok()
    };
    if !placements.iter().all(is_named) {
        return Err(VoidReason::Malformed("placement"));
    }
    Ok((driver, placements))
}

/// Checks `end` for what does not depend on the job.
pub(super) fn task_ended(end: &v1::TaskEnded) -> Checked<()> {
    match v1::TaskOutcome::try_from(end.outcome) {
        Ok(v1::TaskOutcome::Unspecified) | Err(_) => Err(VoidReason::Malformed("outcome")),
        Ok(v1::TaskOutcome::Checkpointed) if end.checkpoint.is_empty() => {
            Err(VoidReason::Malformed("checkpoint"))
        }
        Ok(_) => Ok(()),
    }
}
