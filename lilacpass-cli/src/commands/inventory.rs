//! `inventory`: the configuration in force as a file that can be edited and applied.

use lilacpass_core::ids::Revision;
use lilacpass_schema::v1;

use crate::{
    api::path,
    commands::{Tool, files},
    error::Result,
    report::{self, Report},
};

/// What the first line of an exported file starts with; the revision follows.
const REVISION_MARK: &str = "# lilacpass revision ";

/// Prints the configuration in force.
pub async fn run(tool: &mut Tool) -> Result<Report> {
    let answer = tool.client.get(path::INVENTORY).await?;
    Report::of_answer(tool.format, answer, to_file)
}

/// The configuration in force, and its revision.
pub async fn fetch(tool: &mut Tool) -> Result<(Revision, v1::Configuration)> {
    let answer = tool.client.get(path::INVENTORY).await?;
    let view: v1::InventoryView = report::decode(&answer)?;
    Ok((Revision(view.revision), view.configuration.unwrap_or_default()))
}

/// The text of a configuration file that remembers the revision it was exported at.
pub fn to_file(view: &v1::InventoryView) -> String {
    let configuration = view.configuration.clone().unwrap_or_default();
    format!("{REVISION_MARK}{}\n{}", view.revision, files::to_toml(&configuration))
}

/// The revision that a file was exported at, where it remembers one.
pub fn exported_at(text: &str) -> Option<Revision> {
    let first = text.lines().next()?;
    first.strip_prefix(REVISION_MARK)?.trim().parse().ok()
}
