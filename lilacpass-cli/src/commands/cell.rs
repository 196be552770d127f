//! `status --cell`: the combined view of all entry instances.

use std::collections::BTreeMap;

use lilacpass_core::Class;
use lilacpass_schema::v1;
use serde_json::{Value, json};

use crate::{
    api::{path, server::Server},
    commands::{Context, status},
    error::{Error, Result},
    report::{self, Report},
    table::{self, DEFAULT_WIDTH},
    units,
};

/// Queries every server. Fails only if all of them fail.
pub async fn run(context: &mut Context) -> Result<Report> {
    let mut responses = Vec::new();
    for (server, mut client) in context.client.per_server() {
        responses.push((server, client.get(path::STATUS).await));
    }
    if let Some(err) = error_if_all_failed(&responses) {
        return Err(err);
    }
    let json = responses.iter().map(to_json).collect();
    let views: Vec<(Server, Result<v1::StatusView>)> = responses
        .into_iter()
        .map(|(server, response)| (server, response.and_then(|response| report::decode(&response))))
        .collect();
    Ok(Report::ok(render(&views), json))
}

/// Returns the error of the last server if all servers failed.
fn error_if_all_failed(responses: &[(Server, Result<Value>)]) -> Option<Error> {
    let mut errors = responses.iter().map(|(_, response)| response.as_ref().err().cloned());
    errors.try_fold(None, |_, error| error.map(Some)).flatten()
}

fn to_json((server, response): &(Server, Result<Value>)) -> Value {
    match response {
        Ok(status) => json!({ "server": server.to_string(), "status": status }),
        Err(err) => json!({ "server": server.to_string(), "problem": report::error_json(err) }),
    }
}

/// Formats the state of the cell as text with lines of at most 80 characters.
pub fn render(views: &[(Server, Result<v1::StatusView>)]) -> String {
    let statuses: Vec<&v1::StatusView> =
        views.iter().filter_map(|(_, view)| view.as_ref().ok()).collect();
    let findings_section = status::render_findings(&findings(views));
    [findings_section, instances(&statuses), classes(&statuses)].join("\n\n")
}

/// Returns the findings that need an operator, each with the entry instances that report it.
fn findings(views: &[(Server, Result<v1::StatusView>)]) -> Vec<String> {
    let mut reported_by: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    let mut found = Vec::new();
    for (server, view) in views {
        match view {
            Ok(view) => status::findings(view)
                .into_iter()
                .for_each(|finding| reported_by.entry(finding).or_default().push(&view.instance)),
            Err(err) => found.push(format!("{server} has no answer: {err}")),
        }
    }
    let with_instances = |(finding, instance_names): (String, Vec<&str>)| {
        format!("{finding} [{}]", instance_names.join(" "))
    };
    found.extend(reported_by.into_iter().map(with_instances));
    found
}

fn instances(statuses: &[&v1::StatusView]) -> String {
    let yes_or_no = |value: bool| if value { "yes" } else { "NO" }.to_owned();
    let rows = statuses.iter().map(|status| {
        [
            status.instance.clone(),
            status.data_centre.clone(),
            status.revision.to_string(),
            yes_or_no(status.ready),
            yes_or_no(status.log_reachable),
            status.workers_held.to_string(),
            status::shards(status),
        ]
    });
    let header = ["INSTANCE", "DATA CENTRE", "REVISION", "READY", "LOG", "WORKERS", "SHARDS"];
    table::render(DEFAULT_WIDTH, header, rows)
}

/// Formats the maximum over all instances for each class. The figures can't be summed, because every instance counts
/// all jobs, plus only its own quick requests.
fn classes(statuses: &[&v1::StatusView]) -> String {
    let rows = Class::ALL.into_iter().map(|class| {
        let views =
            || statuses.iter().flat_map(|s| &s.classes).filter(|c| c.class == class.as_str());
        let max_of = |of: fn(&v1::ClassView) -> u64| views().map(of).max().unwrap_or(0);
        [
            class.to_string(),
            max_of(|view| u64::from(view.waiting)).to_string(),
            units::format_ms(max_of(|view| view.oldest_ms)),
            max_of(|view| u64::from(view.running)).to_string(),
        ]
    });
    table::render(DEFAULT_WIDTH, ["CLASS", "MOST WAITING", "OLDEST", "MOST RUNNING"], rows)
}
