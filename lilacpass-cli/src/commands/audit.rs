//! `audit`: lists the audit trail, with who requested what, when, from where and with which outcome.

use std::time::Duration;

use lilacpass_schema::v1;

use crate::{
    api::path,
    args::AuditArgs,
    commands::{Context, jobs::matches},
    error::Result,
    report::{self, Report},
    table, units,
};

/// Lists the entries of the audit trail that pass the filters, in the order of the server: the newest comes last.
pub async fn run(context: &mut Context, args: &AuditArgs, now_unix_ms: u64) -> Result<Report> {
    let response = context.client.get(path::AUDIT).await?;
    let mut list: v1::AuditList = report::decode(&response)?;
    list.entries = select(list.entries, args, now_unix_ms);
    Ok(Report::ok(render(&list.entries), report::encode(&list)))
}

/// Returns the entries that pass the filters. `now_unix_ms` is the current time in milliseconds since 1970.
pub fn select(
    entries: Vec<v1::AuditEntry>,
    args: &AuditArgs,
    now_unix_ms: u64,
) -> Vec<v1::AuditEntry> {
    let oldest_ms = oldest_unix_ms(args.since, now_unix_ms);
    let passes = |entry: &v1::AuditEntry| {
        matches(args.actor.as_deref(), &entry.actor)
            && matches(args.action.as_deref(), &entry.action)
            && args.subject.as_deref().is_none_or(|subject| concerns(entry, subject))
            && !(args.refused && entry.accepted)
            && entry.at_unix_ms >= oldest_ms
    };
    let passed: Vec<_> = entries.into_iter().filter(passes).collect();
    let surplus = args.limit.map_or(0, |limit| passed.len().saturating_sub(limit));
    passed.into_iter().skip(surplus).collect()
}

fn concerns(entry: &v1::AuditEntry, subject: &str) -> bool {
    entry.subject == subject || entry.detail.contains(subject)
}

fn oldest_unix_ms(since: Option<Duration>, now_unix_ms: u64) -> u64 {
    since.map_or(0, |since| now_unix_ms.saturating_sub(units::ms(since)))
}

fn render(entries: &[v1::AuditEntry]) -> String {
    if entries.is_empty() {
        return "no entries".to_owned();
    }
    let rows = entries.iter().map(|entry| {
        let outcome = if entry.accepted { "accepted" } else { "REFUSED" };
        [
            units::format_unix_ms(entry.at_unix_ms),
            entry.actor.clone(),
            format!("{} {}", entry.action, entry.subject).trim_end().to_owned(),
            revisions(entry),
            outcome.to_owned(),
            entry.detail.clone(),
        ]
    });
    let header = ["WHEN (UTC)", "WHO", "WHAT", "REVISION", "OUTCOME", "DETAIL"];
    table::render(table::terminal_width(), header, rows)
}

/// Formats the configuration revisions before and after the action, or only the one before if it was refused; `-` if
/// the entry holds neither.
fn revisions(entry: &v1::AuditEntry) -> String {
    match (entry.from_revision, entry.to_revision) {
        (0, 0) => "-".to_owned(),
        (from, 0) => format!("{from}"),
        (from, to) => format!("{from} > {to}"),
    }
}
