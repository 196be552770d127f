//! Reads and writes the configuration in its human-readable TOML format.

use lilacpass_schema::v1;

use crate::{
    check,
    document::Document,
    problem::{self, Problem},
};

mod register;
mod shape;

pub use check::check;
pub use register::parse_csv;

/// Class of standing work that does not specify one.
const STANDING_CLASS: &str = "standing";

/// Parses a configuration from TOML text and checks it.
///
/// All unknown keys and wrong types are reported together. If there are none, all other problems are reported.
///
/// For standing work, `standing = true`, `tasks = 1` and `class = "standing"` are the defaults.
pub fn parse(text: &str) -> Result<v1::Configuration, Vec<Problem>> {
    let document = Document::parse(text)?;
    let shape = shape::configuration();
    problem::ok_if_none(document.verify(&shape), ())?;
    let mut configuration: v1::Configuration = document.decode(&shape)?;
    configuration
        .standing
        .iter_mut()
        .filter_map(|s| s.spec.as_mut())
        .for_each(apply_standing_defaults);
    let problems = check::findings(&configuration, &check::Scope::all())
        .into_iter()
        .map(|finding| finding.problem.at(document.locate(&finding.path)))
        .collect();
    problem::ok_if_none(problems, configuration)
}

/// Formats a configuration as TOML text that [`parse`] can read back.
///
/// TOML cannot represent integers above 2^63 - 1, which [`check()`] rejects as well. If the configuration contains one,
/// the result is a comment that states the error.
pub fn to_toml(configuration: &v1::Configuration) -> String {
    toml::to_string_pretty(configuration).unwrap_or_else(|err| format!("# not writable: {err}\n"))
}

/// Fills in the defaults of standing work.
fn apply_standing_defaults(spec: &mut v1::JobSpec) {
    spec.standing = true;
    spec.tasks = spec.tasks.max(1);
    if spec.class.is_empty() {
        spec.class = STANDING_CLASS.to_owned();
    }
}
