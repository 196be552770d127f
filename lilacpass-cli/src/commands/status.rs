//! `status`: summarises the state of the cell within 80 columns.

use std::collections::BTreeMap;

use lilacpass_core::Class;
use lilacpass_schema::v1;

use crate::{
    api::path,
    commands::Context,
    error::Result,
    report::Report,
    table::{self, DEFAULT_WIDTH},
    units,
};

/// Maximum number of names listed in one finding.
const MAX_NAMES: usize = 12;

/// Shows the state of the cell as one entry instance sees it.
pub async fn run(context: &mut Context) -> Result<Report> {
    let response = context.client.get(path::STATUS).await?;
    Report::from_response(context.format, response, render)
}

/// Formats the status as text with lines of at most 80 characters; the findings that need an operator come first.
pub fn render(status: &v1::StatusView) -> String {
    let parts = [
        findings_section(status),
        summary(status),
        data_centres(status),
        members(status),
        classes(status),
    ];
    parts.join("\n\n")
}

fn findings_section(status: &v1::StatusView) -> String {
    render_findings(&findings(status))
}

/// Formats the findings that need an operator, or states that there are none.
pub fn render_findings(findings: &[String]) -> String {
    if findings.is_empty() {
        return "ALL WELL".to_owned();
    }
    let lines = findings.iter().map(|finding| {
        let words: Vec<String> = finding.split_whitespace().map(str::to_owned).collect();
        table::wrap("  !", &words, usize::from(DEFAULT_WIDTH))
    });
    let mut text = vec!["NEEDS A LOOK".to_owned()];
    text.extend(lines);
    text.join("\n")
}

/// Returns what needs an operator, one line per finding.
pub fn findings(status: &v1::StatusView) -> Vec<String> {
    let mut found = Vec::new();
    if !status.ready {
        found.push(format!("{} is not ready and takes no traffic", status.instance));
    }
    if !status.log_reachable {
        found.push(format!(
            "log service not reachable, last answer {}",
            format_age(status.log_silent_ms)
        ));
    }
    found.extend(status.holdings.iter().filter_map(holding_finding));
    found.extend(count_and_names("silent watchers", &status.silent_watchers));
    found.extend(count_and_names("workers in quarantine", &status.quarantined_workers));
    let silent = |member: &&v1::MemberView| member.state == "silent";
    let members: Vec<String> =
        status.members.iter().filter(silent).map(|member| member.name.clone()).collect();
    found.extend(count_and_names("silent members", &members));
    let behind: Vec<String> = status
        .members
        .iter()
        .filter(|member| member.state == "alive" && member.revision < status.revision)
        .map(|member| format!("{} (at {})", member.name, member.revision))
        .collect();
    found.extend(count_and_names(&format!("members behind revision {}", status.revision), &behind));
    found
}

/// Describes what it means for new work that shards are held in a mode other than `lease`; `None` if there are no such
/// shards.
fn holding_finding(holding: &v1::HoldingView) -> Option<String> {
    let shards = holding.shards;
    match holding.mode.as_str() {
        _ if shards == 0 => None,
        "lease" => None,
        "grants" => Some(format!("{shards} shards held by grants of the peers, without the log")),
        "escrow" => Some(format!("{shards} shards in escrow: half of their room is used")),
        "claimed" => Some(format!("{shards} shards claimed: half of their room until cleared")),
        "none" => Some(format!("{shards} shards without permission: no new work there")),
        mode => Some(format!("{shards} shards in mode {mode}")),
    }
}

/// Formats a count followed by the names, of which at most [`MAX_NAMES`] are listed; `None` if there are no names.
fn count_and_names(what: &str, names: &[String]) -> Option<String> {
    if names.is_empty() {
        return None;
    }
    let shown: Vec<&str> = names.iter().take(MAX_NAMES).map(String::as_str).collect();
    let more = match names.len().saturating_sub(MAX_NAMES) {
        0 => String::new(),
        more => format!(" and {more} more"),
    };
    Some(format!("{} {what}: {}{more}", names.len(), shown.join(", ")))
}

fn summary(status: &v1::StatusView) -> String {
    let v1::StatusView { instance, data_centre, revision, .. } = status;
    let log = if status.log_reachable { "reachable" } else { "NOT REACHABLE" };
    let (held, total) = (status.workers_held, status.workers_total);
    [
        format!("asked     {instance} in {data_centre}, revision {revision}"),
        format!("log       {log}, last answer {}", format_age(status.log_silent_ms)),
        format!("workers   {held} held here of {total} in the cell"),
        format!("shards    {}", shards(status)),
        format!("jobs      {} running", status.jobs_running),
    ]
    .join("\n")
}

/// Formats how many shards are held in each mode.
pub fn shards(status: &v1::StatusView) -> String {
    let modes: Vec<String> =
        status.holdings.iter().map(|h| format!("{} {}", h.shards, h.mode)).collect();
    if modes.is_empty() { "none".to_owned() } else { modes.join(", ") }
}

/// Formats the time since the last contact; `u64::MAX` means that there was none.
fn format_age(silent_ms: u64) -> String {
    match silent_ms {
        u64::MAX => "never".to_owned(),
        _ => format!("{} ago", units::format_ms(silent_ms)),
    }
}

/// Formats the number of members in each state and the configuration revisions per data centre.
fn data_centres(status: &v1::StatusView) -> String {
    let mut groups: BTreeMap<&str, Vec<&v1::MemberView>> = BTreeMap::new();
    for member in &status.members {
        groups.entry(&member.data_centre).or_default().push(member);
    }
    let rows = groups.into_iter().map(|(name, members)| {
        let count = |state: &str| members.iter().filter(|m| m.state == state).count().to_string();
        let (alive, leaving, silent) = (count("alive"), count("leaving"), count("silent"));
        [name.to_owned(), alive, leaving, silent, revisions(&members)]
    });
    table::render(DEFAULT_WIDTH, ["DATA CENTRE", "ALIVE", "LEAVING", "SILENT", "REVISION"], rows)
}

/// Formats the common revision of the members, or the lowest and the highest one.
fn revisions(members: &[&v1::MemberView]) -> String {
    let lowest = members.iter().map(|m| m.revision).min().unwrap_or(0);
    let highest = members.iter().map(|m| m.revision).max().unwrap_or(0);
    if lowest == highest { lowest.to_string() } else { format!("{lowest} to {highest}") }
}

fn members(status: &v1::StatusView) -> String {
    let rows = status.members.iter().map(|member| {
        [
            member.name.clone(),
            member.data_centre.clone(),
            member.state.clone(),
            member.revision.to_string(),
            last_heard(member),
        ]
    });
    table::render(DEFAULT_WIDTH, ["MEMBER", "DATA CENTRE", "STATE", "REVISION", "HEARD"], rows)
}

/// Formats the time since the last contact with a member; 0 for a silent member means that there was none.
fn last_heard(member: &v1::MemberView) -> String {
    match member.silent_ms {
        0 if member.state == "silent" => "never".to_owned(),
        silent_ms => format_age(silent_ms),
    }
}

/// Formats one line per class, the most urgent class first.
fn classes(status: &v1::StatusView) -> String {
    let rank = |class: &v1::ClassView| class.class.parse().unwrap_or(Class::Batch);
    let mut classes: Vec<&v1::ClassView> = status.classes.iter().collect();
    classes.sort_by_key(|class| rank(class));
    let rows = classes.into_iter().map(|class| {
        let oldest = match class.waiting {
            0 => "-".to_owned(),
            _ => units::format_ms(class.oldest_ms),
        };
        [class.class.clone(), class.waiting.to_string(), oldest, class.running.to_string()]
    });
    table::render(DEFAULT_WIDTH, ["CLASS", "WAITING", "OLDEST", "RUNNING"], rows)
}
