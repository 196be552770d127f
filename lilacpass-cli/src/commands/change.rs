//! `apply`, `diff`, `drain` and `changes`: commands for configuration changes.

use lilacpass_config::{change, inventory as toml};
use lilacpass_core::{Verdict, ids::Revision};
use lilacpass_schema::v1::{self, config_op::Op};
use serde_json::{Value, json};

use crate::{
    api::{
        client::{IF_MATCH, RetryPolicy},
        path,
    },
    args::{ApplyArgs, DiffArgs, DrainArgs},
    commands::{Context, files, inventory, overlay},
    error::{self, Error, Result},
    report::{self, Report},
    table,
};

/// Maximum attempts of a drain that conflicts with other changes.
const MAX_DRAIN_ATTEMPTS: u32 = 4;
/// HTTP status of a change whose base revision is no longer the current one.
const PRECONDITION_FAILED: u32 = 412;

/// The changes that turn the current configuration into the one of a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Revision that the changes are based on.
    pub base: Revision,
    /// The changes to send, in order.
    pub ops: Vec<v1::ConfigOp>,
    /// Removals that are omitted because `--prune` is not set.
    pub left_in_place: Vec<v1::ConfigOp>,
}

impl Plan {
    /// Computes the changes from `current` to `desired`. Without `prune`, entries that `desired` lacks are kept.
    pub fn new(
        base: Revision,
        current: &v1::Configuration,
        desired: &v1::Configuration,
        prune: bool,
    ) -> Self {
        if prune {
            return Self { base, ops: change::diff(current, desired), left_in_place: Vec::new() };
        }
        let ops = change::diff(current, &overlay::overlay(current, desired));
        let all = change::diff(current, desired);
        Self { base, ops, left_in_place: all.into_iter().filter(is_removal).collect() }
    }

    /// Formats one line per change and per omitted removal.
    fn describe(&self) -> String {
        let mut lines: Vec<String> = self.ops.iter().map(change::describe_op).collect();
        if lines.is_empty() {
            lines.push(format!("nothing to change at revision {}", self.base));
        }
        let describe_omitted =
            |op| format!("left in place without --prune: {}", change::describe_op(op));
        lines.extend(self.left_in_place.iter().map(describe_omitted));
        lines.join("\n")
    }

    fn to_json(&self) -> Value {
        json!({
            "base_revision": self.base.0,
            "ops": report::encode(&self.ops),
            "left_in_place": report::encode(&self.left_in_place),
        })
    }
}

/// Shows what applying a file would change, without sending a change request.
pub async fn diff(context: &mut Context, args: &DiffArgs) -> Result<Report> {
    let plan = plan(context, args).await?;
    Ok(Report::ok(plan.describe(), plan.to_json()))
}

/// Applies a file, or shows with `--dry-run` what that would do.
pub async fn apply(context: &mut Context, args: &ApplyArgs) -> Result<Report> {
    let plan = plan(context, &args.diff).await?;
    if plan.ops.is_empty() {
        return Ok(Report::ok(plan.describe(), plan.to_json()));
    }
    let description = plan.describe();
    let request =
        v1::ChangeRequest { ops: plan.ops, reason: args.reason.clone(), dry_run: args.dry_run };
    let response = send(context, plan.base, &request).await?;
    Report::from_response(context.format, response, |response: &v1::ChangeAnswer| {
        format!("{description}\n{}", describe_outcome(response, args.dry_run))
    })
}

/// Stops a worker from accepting new work, or lets it accept work again.
///
/// The change is independent of the rest of the configuration. After a conflict it is therefore sent again with the
/// new current revision as its base; the refused attempt had no effect.
pub async fn drain(context: &mut Context, args: &DrainArgs) -> Result<Report> {
    let drain = v1::DrainWorker { worker: args.worker.to_string(), draining: !args.undo };
    let request = v1::ChangeRequest {
        ops: vec![v1::ConfigOp { op: Some(Op::DrainWorker(drain)) }],
        reason: args.reason.clone(),
        dry_run: args.dry_run,
    };
    let mut attempts = 1;
    let response = loop {
        let base = current_revision(context).await?;
        match send(context, base, &request).await {
            Err(Error::Problem(p)) if error::is_conflict(&p) && attempts < MAX_DRAIN_ATTEMPTS => {
                attempts += 1;
            }
            outcome => break outcome?,
        }
    };
    let verb = if args.undo { "takes new work again" } else { "takes no new work" };
    Report::from_response(context.format, response, |response: &v1::ChangeAnswer| {
        format!("worker {} {verb}\n{}", args.worker, describe_outcome(response, args.dry_run))
    })
}

/// Lists the latest accepted changes.
pub async fn list(context: &mut Context) -> Result<Report> {
    let response = context.client.get(path::CHANGES).await?;
    Report::from_response(context.format, response, render)
}

/// Reads a configuration file and compares it with the current configuration.
async fn plan(context: &mut Context, args: &DiffArgs) -> Result<Plan> {
    let text = files::read(&args.file)?;
    let desired =
        toml::parse(&text).map_err(|problems| files::invalid_file(&args.file, &problems))?;
    let (current_revision, current) = inventory::fetch(context).await?;
    if let Some(base) = args.base.or_else(|| inventory::exported_revision(&text))
        && base != current_revision
    {
        return Err(stale_file_error(context, base, current_revision).await);
    }
    Ok(Plan::new(current_revision, &current, &desired, args.prune))
}

/// Returns the error for a file that is based on another revision than the current one.
///
/// This prevents a lost update: the changes are computed against the current configuration, so a file that was exported
/// before somebody else's change would silently revert that change.
async fn stale_file_error(
    context: &mut Context,
    base: Revision,
    current_revision: Revision,
) -> Error {
    let changes: v1::ChangeList = match context.client.get(path::CHANGES).await {
        Ok(response) => report::decode(&response).unwrap_or_default(),
        Err(_) => v1::ChangeList::default(),
    };
    let later = changes.changes.into_iter().filter(|change| change.revision > base.0);
    let winner = later.min_by_key(|change| change.revision).map_or(
        v1::ConflictWinner { revision: current_revision.0, ..Default::default() },
        |change| v1::ConflictWinner {
            revision: change.revision,
            actor: change.actor,
            detail: change.reason,
        },
    );
    Error::Problem(Box::new(v1::Problem {
        r#type: "tool/stale-file".to_owned(),
        title: format!(
            "the file is based on revision {base}, but the current revision is {current_revision}"
        ),
        status: PRECONDITION_FAILED,
        detail: "export it again with `lilacpass inventory`, or set --base".to_owned(),
        verdict: Verdict::NotRun.to_string(),
        winner: Some(winner),
        ..Default::default()
    }))
}

/// Sends a change request. It is never sent to a second server after a lost response, because the first server may have
/// appended the change to the log.
async fn send(context: &mut Context, base: Revision, request: &v1::ChangeRequest) -> Result<Value> {
    let headers = vec![(IF_MATCH, base.to_string())];
    let result =
        context.client.post(path::CHANGES, headers, request, RetryPolicy::OnlyIfNotRun).await;
    result.inspect_err(|err| {
        if matches!(err, Error::OutcomeUnknown(_)) {
            eprintln!("lilacpass: run `lilacpass changes` to see whether the change was applied");
        }
    })
}

async fn current_revision(context: &mut Context) -> Result<Revision> {
    let response = context.client.get(path::STATUS).await?;
    let status: v1::StatusView = report::decode(&response)?;
    Ok(Revision(status.revision))
}

fn describe_outcome(response: &v1::ChangeAnswer, dry_run: bool) -> String {
    let head = if dry_run {
        "nothing was changed; it would have these effects:".to_owned()
    } else {
        format!("in force with revision {}", response.revision)
    };
    let mut lines = vec![head];
    lines.extend(response.effects.iter().map(|effect| format!("  {effect}")));
    if dry_run && response.effects.is_empty() {
        lines.push("  none on running work".to_owned());
    }
    lines.join("\n")
}

fn render(list: &v1::ChangeList) -> String {
    if list.changes.is_empty() {
        return "no changes".to_owned();
    }
    let rows = list.changes.iter().map(|change| {
        [
            change.revision.to_string(),
            change.actor.clone(),
            change.ops.to_string(),
            change.reason.clone(),
        ]
    });
    table::render(table::terminal_width(), ["REVISION", "WHO", "STEPS", "REASON"], rows)
}

fn is_removal(op: &v1::ConfigOp) -> bool {
    matches!(
        op.op,
        Some(
            Op::RemoveWorker(_)
                | Op::RemoveTeam(_)
                | Op::RemoveService(_)
                | Op::RemoveStanding(_)
                | Op::RemoveToken(_)
                | Op::RemoveDataCentre(_)
        )
    )
}
