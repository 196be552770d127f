//! `inventory`: the configuration in force as a file that can be edited and applied.

use lilacpass_core::ids::Revision;
use lilacpass_schema::v1;

use crate::{
    api::path,
    commands::{Context, files},
    error::Result,
    report::{self, Report},
};

/// What the first line of an exported file starts with; the revision follows.
const REVISION_PREFIX: &str = "# lilacpass revision ";

/// Prints the configuration in force.
pub async fn run(context: &mut Context) -> Result<Report> {
    let response = context.client.get(path::INVENTORY).await?;
    Report::from_response(context.format, response, to_file)
}

/// The configuration in force, and its revision.
pub async fn fetch(context: &mut Context) -> Result<(Revision, v1::Configuration)> {
    let response = context.client.get(path::INVENTORY).await?;
    let view: v1::InventoryView = report::decode(&response)?;
    Ok((Revision(view.revision), view.configuration.unwrap_or_default()))
}

/// The text of a configuration file that remembers the revision it was exported at.
pub fn to_file(view: &v1::InventoryView) -> String {
    let configuration = view.configuration.clone().unwrap_or_default();
    format!("{REVISION_PREFIX}{}\n{}", view.revision, files::to_toml(&configuration))
}

/// The revision that a file was exported at, where it remembers one.
pub fn exported_revision(text: &str) -> Option<Revision> {
    let first = text.lines().next()?;
    first.strip_prefix(REVISION_PREFIX)?.trim().parse().ok()
}
