//! The configuration as TOML for people.

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

/// Class of standing work that names none.
const STANDING_CLASS: &str = "standing";

/// Reads a configuration from TOML text and checks it. Unknown keys and wrong types are reported
/// all at once, and where there are none, all else that is wrong.
///
/// For standing work, `standing = true`, `tasks = 1` and `class = "standing"` need not be written.
pub fn parse(text: &str) -> Result<v1::Configuration, Vec<Problem>> {
    let document = Document::parse(text)?;
    let shape = shape::configuration();
    problem::unless(document.verify(&shape), ())?;
    let mut configuration: v1::Configuration = document.decode(&shape)?;
    configuration.standing.iter_mut().filter_map(|s| s.spec.as_mut()).for_each(fill_standing);
    let problems = check::findings(&configuration, &check::Scope::all())
        .into_iter()
        .map(|finding| finding.problem.at(document.locate(&finding.path)))
        .collect();
    problem::unless(problems, configuration)
}

/// A configuration as TOML text that [`parse`] reads back.
///
/// Numbers above 2^63 - 1, which [`check`] refuses, can't be written in TOML; the text then is
/// a comment that says so.
pub fn to_toml(configuration: &v1::Configuration) -> String {
    toml::to_string_pretty(configuration).unwrap_or_else(|err| format!("# not writable: {err}\n"))
}

fn fill_standing(spec: &mut v1::JobSpec) {
    spec.standing = true;
    spec.tasks = spec.tasks.max(1);
    if spec.class.is_empty() {
        spec.class = STANDING_CLASS.to_owned();
    }
}
