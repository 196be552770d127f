//! `inventory`: prints the current configuration as a file that can be edited and applied.

use lilacpass_core::ids::Revision;
use lilacpass_schema::v1;

use crate::{
    api::path,
    commands::{Context, files},
    error::Result,
    report::{self, Report},
};

/// Start of the first line of an exported file; the revision follows.
const REVISION_PREFIX: &str = "# lilacpass revision ";

/// Prints the current configuration.
pub async fn run(context: &mut Context) -> Result<Report> {
    let response = context.client.get(path::INVENTORY).await?;
    Report::from_response(context.format, response, to_file)
}

/// Fetches the current configuration and its revision.
pub async fn fetch(context: &mut Context) -> Result<(Revision, v1::Configuration)> {
    let response = context.client.get(path::INVENTORY).await?;
    let view: v1::InventoryView = report::decode(&response)?;
    Ok((Revision(view.revision), view.configuration.unwrap_or_default()))
}

/// Formats a configuration file whose first line records the revision it was exported at.
pub fn to_file(view: &v1::InventoryView) -> String {
    let configuration = view.configuration.clone().unwrap_or_default();
    format!("{REVISION_PREFIX}{}\n{}", view.revision, files::to_toml(&configuration))
}

/// Returns the revision recorded in the first line of a file, if there is one.
pub fn exported_revision(text: &str) -> Option<Revision> {
    let first = text.lines().next()?;
    first.strip_prefix(REVISION_PREFIX)?.trim().parse().ok()
}
