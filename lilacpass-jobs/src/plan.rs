//! Checks of a plan that a caller hands in.

use lilacpass_schema::v1;

use crate::error::{Error, Result};

/// Longest payload, in bytes; the platform's bound for what a task is told to do.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Most steps of a job. Far above what callers use; bounds memory for hostile input.
pub const MAX_STEPS: usize = 100;
/// Most tasks of a job over all steps. Keeps the record of a job's state within one record of the
/// store: 48 to 63 bytes for a task that runs, the longer the names of workers and data centres.
pub const MAX_TASKS: u64 = 4_000;
/// Most occurrences of a job; bounds memory together with [`MAX_TASKS`].
pub const MAX_REPEATS: u32 = 1_000;

/// Most bytes of the labels, racks and images of all steps. Keeps the record of a plan well within one record of
/// the store, 262,144 bytes, so that no job makes an append that the store never takes.
pub const MAX_LABEL_BYTES: usize = 65_536;
/// Latest time at which an occurrence may be due, in milliseconds since 1970: the end of the year 9999. Sums of
/// times stay far below the largest number.
pub const MAX_DUE_MS: u64 = 253_402_300_799_999;

/// Refuses a plan that no cell could carry out, with a reason that names the step.
pub fn check(plan: &v1::WorkPlan) -> Result<()> {
    if plan.payload.len() > MAX_PAYLOAD_BYTES {
        return refuse(format!(
            "spec: {} bytes; at most {MAX_PAYLOAD_BYTES} are allowed",
            plan.payload.len()
        ));
    }
    if plan.steps.is_empty() {
        return refuse("steps: the job has none".to_owned());
    }
    if plan.steps.len() > MAX_STEPS {
        return refuse(format!(
            "steps: {} steps; at most {MAX_STEPS} are allowed",
            plan.steps.len()
        ));
    }
    if plan.repeat_count > MAX_REPEATS {
        return refuse(format!(
            "repeatCount: {} occurrences; at most {MAX_REPEATS} are allowed",
            plan.repeat_count
        ));
    }
    check_labels(plan)?;
    check_times(plan)?;
    for (number, step) in plan.steps.iter().enumerate() {
        check_step(number, step)?;
    }
    let tasks: u64 = plan.steps.iter().map(|step| u64::from(step.count)).sum();
    let all = tasks * u64::from(plan.repeat_count.max(1));
    if all > MAX_TASKS {
        return refuse(format!("count of all steps: {all} tasks; at most {MAX_TASKS} are allowed"));
    }
    Ok(())
}

fn check_labels(plan: &v1::WorkPlan) -> Result<()> {
    let of_step = |step: &v1::WorkStep| {
        step.required_label.len() + step.affinity_rack.len() + step.image.len()
    };
    let bytes: usize = plan.steps.iter().map(of_step).sum();
    if bytes > MAX_LABEL_BYTES {
        return refuse(format!(
            "requiredLabel, affinity and image of all steps have {bytes} bytes; at most {MAX_LABEL_BYTES} \
             are allowed"
        ));
    }
    Ok(())
}

fn check_times(plan: &v1::WorkPlan) -> Result<()> {
    let intervals = u64::from(plan.repeat_count.saturating_sub(1));
    let last_ms = plan.first_run_ms.saturating_add(intervals.saturating_mul(plan.interval_ms));
    if last_ms > MAX_DUE_MS || plan.interval_ms > MAX_DUE_MS {
        return refuse(format!(
            "firstRunMs {} and intervalMs {}: the last occurrence is due after the year 9999",
            plan.first_run_ms, plan.interval_ms
        ));
    }
    Ok(())
}

fn check_step(number: usize, step: &v1::WorkStep) -> Result<()> {
    if step.count == 0 {
        return refuse(format!("steps[{number}].count: the step has no tasks"));
    }
    let forward = step.after.iter().find(|&&earlier| earlier as usize >= number);
    if let Some(&later) = forward {
        return refuse(format!("steps[{number}].after: step {later} is not an earlier one"));
    }
    if step.gang && step.speculative {
        return refuse(format!("steps[{number}].speculative: a gang can't have copies"));
    }
    Ok(())
}

fn refuse(reason: String) -> Result<()> {
    Err(Error::Plan(reason))
}
