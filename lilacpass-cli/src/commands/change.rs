//! `apply`, `diff`, `drain` and `changes`: how operators change the configuration.

use lilacpass_config::{change, inventory as toml};
use lilacpass_core::{Verdict, ids::Revision};
use lilacpass_schema::v1::{self, config_op::Op};
use serde_json::{Value, json};

use crate::{
    api::{
        client::{IF_MATCH, Repeat},
        path,
    },
    args::{ApplyArgs, DiffArgs, DrainArgs},
    commands::{Tool, files, inventory, overlay},
    error::{self, Error, Result},
    report::{self, Report},
    table,
};

/// Most tries of a drain that loses the race for the revision.
const MAX_DRAIN_TRIES: u32 = 4;
/// Status of a change whose base is not in force any more.
const PRECONDITION_FAILED: u32 = 412;

/// The steps from what is in force to what a file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Revision that the steps build on.
    pub base: Revision,
    /// The steps.
    pub ops: Vec<v1::ConfigOp>,
    /// Removals that were left out, as the file only adds and replaces without `--prune`.
    pub left_in_place: Vec<v1::ConfigOp>,
}

impl Plan {
    /// The steps from `current` to `wanted`; what `wanted` does not name stays without `prune`.
    pub fn new(
        base: Revision,
        current: &v1::Configuration,
        wanted: &v1::Configuration,
        prune: bool,
    ) -> Self {
        if prune {
            return Self { base, ops: change::diff(current, wanted), left_in_place: Vec::new() };
        }
        let ops = change::diff(current, &overlay::overlay(current, wanted));
        let all = change::diff(current, wanted);
        Self { base, ops, left_in_place: all.into_iter().filter(is_removal).collect() }
    }

    /// One line for each step, and for each removal that was left out.
    fn describe(&self) -> String {
        let mut lines: Vec<String> = self.ops.iter().map(change::describe_op).collect();
        if lines.is_empty() {
            lines.push(format!("nothing to change at revision {}", self.base));
        }
        let left = |op| format!("left in place without --prune: {}", change::describe_op(op));
        lines.extend(self.left_in_place.iter().map(left));
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

/// Shows what applying a file would change, without asking for it.
pub async fn diff(tool: &mut Tool, args: &DiffArgs) -> Result<Report> {
    let plan = plan(tool, args).await?;
    Ok(Report::ok(plan.describe(), plan.to_json()))
}

/// Puts a file in force, or says what that would do.
pub async fn apply(tool: &mut Tool, args: &ApplyArgs) -> Result<Report> {
    let plan = plan(tool, &args.diff).await?;
    if plan.ops.is_empty() {
        return Ok(Report::ok(plan.describe(), plan.to_json()));
    }
    let description = plan.describe();
    let request =
        v1::ChangeRequest { ops: plan.ops, reason: args.reason.clone(), dry_run: args.dry_run };
    let answer = send(tool, plan.base, &request).await?;
    Report::of_answer(tool.format, answer, |answer: &v1::ChangeAnswer| {
        format!("{description}\n{}", outcome(answer, args.dry_run))
    })
}

/// Lets a worker take no new work, or take it again.
///
/// It does not depend on the rest of the configuration, so after a lost race it is asked for again
/// on top of the winner; the refused try had no effect.
pub async fn drain(tool: &mut Tool, args: &DrainArgs) -> Result<Report> {
    let drain = v1::DrainWorker { worker: args.worker.to_string(), draining: !args.undo };
    let request = v1::ChangeRequest {
        ops: vec![v1::ConfigOp { op: Some(Op::DrainWorker(drain)) }],
        reason: args.reason.clone(),
        dry_run: args.dry_run,
    };
    let mut tries = 1;
    let answer = loop {
        let base = revision_in_force(tool).await?;
        match send(tool, base, &request).await {
            Err(Error::Problem(p)) if error::is_conflict(&p) && tries < MAX_DRAIN_TRIES => {
                tries += 1;
            }
            outcome => break outcome?,
        }
    };
    let verb = if args.undo { "takes new work again" } else { "takes no new work" };
    Report::of_answer(tool.format, answer, |answer: &v1::ChangeAnswer| {
        format!("worker {} {verb}\n{}", args.worker, outcome(answer, args.dry_run))
    })
}

/// Lists the last accepted changes.
pub async fn list(tool: &mut Tool) -> Result<Report> {
    let answer = tool.client.get(path::CHANGES).await?;
    Report::of_answer(tool.format, answer, render)
}

/// Reads a file and compares it with what is in force.
async fn plan(tool: &mut Tool, args: &DiffArgs) -> Result<Plan> {
    let text = files::read(&args.file)?;
    let wanted = toml::parse(&text).map_err(|problems| files::refuse(&args.file, &problems))?;
    let (in_force, current) = inventory::fetch(tool).await?;
    if let Some(base) = args.base.or_else(|| inventory::exported_at(&text))
        && base != in_force
    {
        return Err(stale(tool, base, in_force).await);
    }
    Ok(Plan::new(in_force, &current, &wanted, args.prune))
}

/// The error for a file that builds on another revision than the one in force.
///
/// Guards against a lost update: a file that was exported before somebody else's change would
/// silently take that change back, as the steps are computed against what is in force now.
async fn stale(tool: &mut Tool, base: Revision, in_force: Revision) -> Error {
    let changes: v1::ChangeList = match tool.client.get(path::CHANGES).await {
        Ok(answer) => report::decode(&answer).unwrap_or_default(),
        Err(_) => v1::ChangeList::default(),
    };
    let later = changes.changes.into_iter().filter(|change| change.revision > base.0);
    let winner = later.min_by_key(|change| change.revision).map_or(
        v1::ConflictWinner { revision: in_force.0, ..Default::default() },
        |change| v1::ConflictWinner {
            revision: change.revision,
            actor: change.actor,
            detail: change.reason,
        },
    );
    Error::Problem(Box::new(v1::Problem {
        r#type: "tool/stale-file".to_owned(),
        title: format!("the file builds on revision {base}, and {in_force} is in force"),
        status: PRECONDITION_FAILED,
        detail: "export it again with `lilacpass inventory`, or name the --base".to_owned(),
        verdict: Verdict::NotRun.to_string(),
        winner: Some(winner),
        ..Default::default()
    }))
}

/// Asks for a change. It is never sent to a second server after an answer was lost: the first one
/// may have appended it.
async fn send(tool: &mut Tool, base: Revision, request: &v1::ChangeRequest) -> Result<Value> {
    let headers = vec![(IF_MATCH, base.to_string())];
    let sent = tool.client.post(path::CHANGES, headers, request, Repeat::OnlyNotRun).await;
    sent.inspect_err(|err| {
        if matches!(err, Error::Unsettled(_)) {
            eprintln!("lilacpass: see with `lilacpass changes` whether it is in force");
        }
    })
}

async fn revision_in_force(tool: &mut Tool) -> Result<Revision> {
    let answer = tool.client.get(path::STATUS).await?;
    let status: v1::StatusView = report::decode(&answer)?;
    Ok(Revision(status.revision))
}

fn outcome(answer: &v1::ChangeAnswer, dry_run: bool) -> String {
    let head = if dry_run {
        "nothing was changed; it would have these effects:".to_owned()
    } else {
        format!("in force with revision {}", answer.revision)
    };
    let mut lines = vec![head];
    lines.extend(answer.effects.iter().map(|effect| format!("  {effect}")));
    if dry_run && answer.effects.is_empty() {
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
