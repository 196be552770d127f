//! `jobs`, `explain` and `cancel`: commands for submitted jobs.

use lilacpass_core::{Class, ids::JobId};
use lilacpass_schema::v1;
use serde_json::Value;

use crate::{
    api::path,
    args::JobsArgs,
    commands::Context,
    error::Result,
    report::{self, Report},
    table, units,
};

/// Returns whether a job has ended, so that its state no longer changes.
pub fn has_ended(job: &v1::JobView) -> bool {
    matches!(job.state.as_str(), "succeeded" | "failed" | "cancelled" | "may_have_run")
}

/// Lists the jobs that pass the filters, or shows a single job.
pub async fn list(context: &mut Context, args: &JobsArgs) -> Result<Report> {
    if let Some(id) = args.job {
        let response = context.client.get(&path::job(id)).await?;
        return Report::from_response(context.format, response, describe);
    }
    let response = context.client.get(path::JOBS).await?;
    let mut list: v1::JobList = report::decode(&response)?;
    let class = args.class.map(Class::from);
    list.jobs.retain(|job| {
        matches(args.team.as_deref(), &job.team)
            && matches(args.state.as_deref(), &job.state)
            && matches(class.map(Class::as_str), &job.class)
    });
    Ok(Report::ok(render(&list.jobs), report::encode(&list)))
}

/// Shows why a job waits.
pub async fn explain(context: &mut Context, id: JobId) -> Result<Report> {
    let response = context.client.get(&path::explain(id)).await?;
    Report::from_response(context.format, response, render_explanation)
}

/// Cancels a job and shows its resulting state, which tells whether it had run.
pub async fn cancel(context: &mut Context, id: JobId) -> Result<Report> {
    let response = context.client.delete(&path::job(id)).await?;
    if response == Value::Null {
        return Ok(Report::ok(format!("job {id} is cancelled"), response));
    }
    Report::from_response(context.format, response, describe)
}

/// Returns whether `value` passes an optional filter.
pub fn matches(filter: Option<&str>, value: &str) -> bool {
    filter.is_none_or(|filter| filter == value)
}

/// Formats the details of a job, one per line.
pub fn describe(job: &v1::JobView) -> String {
    let mut lines = vec![
        format!("job      {}", job.job_id),
        format!("state    {}{}", job.state, verdict(job)),
        format!("work     {}/{} of team {}, {}", job.service, job.kind, job.team, job.class),
        format!("tasks    {}", job.tasks),
    ];
    if job.attempt > 0 {
        lines.push(format!("attempt  {}", job.attempt));
    }
    if !job.reason.is_empty() {
        lines.push(format!("reason   {}", job.reason));
    }
    if !job.result.is_empty() {
        lines.push(format!("result   {}", job.result));
    }
    lines.extend(job.placements.iter().map(|placement| {
        format!("task {:<3} on {} through {}", placement.index, placement.worker, placement.holder)
    }));
    lines.join("\n")
}

fn verdict(job: &v1::JobView) -> String {
    match job.verdict.as_str() {
        "" => String::new(),
        verdict => format!(" [{verdict}]"),
    }
}

fn render(jobs: &[v1::JobView]) -> String {
    if jobs.is_empty() {
        return "no jobs".to_owned();
    }
    let rows = jobs.iter().map(|job| {
        [
            job.job_id.clone(),
            job.state.clone(),
            job.class.clone(),
            job.team.clone(),
            format!("{}/{}", job.service, job.kind),
            job.tasks.to_string(),
        ]
    });
    table::render(table::terminal_width(), ["JOB", "STATE", "CLASS", "TEAM", "WORK", "TASKS"], rows)
}

fn render_explanation(explanation: &v1::Explanation) -> String {
    let v1::Explanation { job_id, state, reason, remedy, waiting_ms, ahead } = explanation;
    let mut lines = vec![format!("job      {job_id}"), format!("state    {state}")];
    if *waiting_ms > 0 {
        lines.push(format!("waiting  {}, {ahead} ahead of it", units::format_ms(*waiting_ms)));
    }
    if !reason.is_empty() {
        lines.push(format!("reason   {reason}"));
    }
    if !remedy.is_empty() {
        lines.push(format!("remedy   {remedy}"));
    }
    lines.join("\n")
}
