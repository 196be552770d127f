//! Validation of the plan of a submitted job.

use std::fmt;

use lilacpass_schema::v1;

use crate::error::{Error, Result};

/// Maximum length of a payload. The platform refuses a longer payload of a task.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Maximum number of steps of a job. Far above what clients use; bounds the memory that hostile input can take.
pub const MAX_STEPS: usize = 100;
/// Maximum number of tasks of a job in all steps and occurrences. Keeps the state of a job within one record of the
/// store: a task that does not run takes at most 54 bytes. A running one takes 48 to 63 bytes with names of usual lengths
/// of its worker and data centre; with longer ones, not all tasks may run at the same time. The address of the worker takes
/// some 20 more, and is dropped where it does not fit.
pub const MAX_TASKS: u64 = 4_000;
/// Maximum number of occurrences of a job; bounds memory together with [`MAX_TASKS`].
pub const MAX_REPEATS: u32 = 1_000;

/// Maximum total length of the labels, racks and images of all steps. Keeps the plan well within one record of the
/// store, which holds 262,144 bytes, so that no job causes an append that the store always refuses.
pub const MAX_LABEL_BYTES: usize = 65_536;
/// Latest time at which an occurrence may be due, in milliseconds since 1970: the end of the year 9999. Sums of times
/// stay far below the overflow of `u64`.
pub const MAX_DUE_MS: u64 = 253_402_300_799_999;

/// The field of a plan that is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// The payload of the tasks.
    Payload,
    /// The list of steps.
    Steps,
    /// The number of occurrences.
    RepeatCount,
    /// The due time of the first occurrence and the interval between occurrences.
    Times,
    /// The labels, racks and images of all steps together.
    Labels,
    /// The number of tasks in all steps and occurrences.
    Tasks,
    /// The number of tasks of the step with this number.
    Count(usize),
    /// The steps that the step with this number depends on.
    After(usize),
    /// Whether the step with this number may have speculative copies.
    Speculative(usize),
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Payload => f.write_str("payload"),
            Self::Steps => f.write_str("steps"),
            Self::RepeatCount => f.write_str("repeat_count"),
            Self::Times => f.write_str("first_run_ms, interval_ms"),
            Self::Labels => f.write_str("required_label, affinity_rack, image"),
            Self::Tasks => f.write_str("count of all steps"),
            Self::Count(step) => write!(f, "steps[{step}].count"),
            Self::After(step) => write!(f, "steps[{step}].after"),
            Self::Speculative(step) => write!(f, "steps[{step}].speculative"),
        }
    }
}

/// Length of the labels of all steps, in bytes.
pub fn label_bytes(plan: &v1::WorkPlan) -> usize {
    let bytes = |step: &v1::WorkStep| {
        step.required_label.len() + step.affinity_rack.len() + step.image.len()
    };
    plan.steps.iter().map(bytes).sum()
}

/// Number of tasks of each occurrence.
pub fn tasks_per_occurrence(plan: &v1::WorkPlan) -> u64 {
    plan.steps.iter().map(|step| u64::from(step.count)).sum()
}

/// Number of occurrences.
pub fn occurrences(plan: &v1::WorkPlan) -> u64 {
    u64::from(plan.repeat_count.max(1))
}

/// Returns an error with the invalid field if no cell could carry out the plan.
pub fn check(plan: &v1::WorkPlan) -> Result<()> {
    if plan.payload.len() > MAX_PAYLOAD_BYTES {
        let bytes = plan.payload.len();
        let reason = format!("{bytes} bytes; at most {MAX_PAYLOAD_BYTES} are allowed");
        return refuse(Field::Payload, reason);
    }
    if plan.steps.is_empty() {
        return refuse(Field::Steps, "the job has none".to_owned());
    }
    if plan.steps.len() > MAX_STEPS {
        let steps = plan.steps.len();
        return refuse(Field::Steps, format!("{steps}; at most {MAX_STEPS} are allowed"));
    }
    if plan.repeat_count > MAX_REPEATS {
        let reason = format!("{}; at most {MAX_REPEATS} are allowed", plan.repeat_count);
        return refuse(Field::RepeatCount, reason);
    }
    check_labels(plan)?;
    check_times(plan)?;
    for (number, step) in plan.steps.iter().enumerate() {
        check_step(number, step)?;
    }
    let total = tasks_per_occurrence(plan) * occurrences(plan);
    if total > MAX_TASKS {
        return refuse(Field::Tasks, format!("{total} tasks; at most {MAX_TASKS} are allowed"));
    }
    Ok(())
}

fn check_labels(plan: &v1::WorkPlan) -> Result<()> {
    let bytes = label_bytes(plan);
    if bytes > MAX_LABEL_BYTES {
        let reason = format!("{bytes} bytes in all steps; at most {MAX_LABEL_BYTES} are allowed");
        return refuse(Field::Labels, reason);
    }
    Ok(())
}

fn check_times(plan: &v1::WorkPlan) -> Result<()> {
    let intervals = u64::from(plan.repeat_count.saturating_sub(1));
    let last_ms = plan.first_run_ms.saturating_add(intervals.saturating_mul(plan.interval_ms));
    if last_ms > MAX_DUE_MS || plan.interval_ms > MAX_DUE_MS {
        let reason = "the last occurrence is due after the year 9999".to_owned();
        return refuse(Field::Times, reason);
    }
    Ok(())
}

fn check_step(number: usize, step: &v1::WorkStep) -> Result<()> {
    if step.count == 0 {
        return refuse(Field::Count(number), "the step has no tasks".to_owned());
    }
    let forward = step.after.iter().find(|&&earlier| earlier as usize >= number);
    if let Some(&later) = forward {
        return refuse(Field::After(number), format!("step {later} is not an earlier one"));
    }
    if step.gang && step.speculative {
        return refuse(Field::Speculative(number), "a gang can't have copies".to_owned());
    }
    Ok(())
}

fn refuse(field: Field, reason: String) -> Result<()> {
    Err(Error::Plan(field, reason))
}
