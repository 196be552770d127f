//! Files that the commands read.

use std::{
    fs,
    io::{self, Read},
    path::Path,
};

use lilacpass_config::{Problem, inventory};
use lilacpass_schema::v1;

use crate::error::{Error, Result};

/// Name that stands for standard input.
const STDIN: &str = "-";

/// The text of a file, or of standard input where `path` is `-`.
pub fn read(path: &Path) -> Result<String> {
    let text = if path.as_os_str() == STDIN {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        fs::read_to_string(path)
    };
    text.map_err(|err| Error::File(path.display().to_string(), format!(" {err}")))
}

/// A configuration as the text of a file that can be added to.
///
/// Sections without an entry are left out: a person who adds `[[teams]]` below `teams = []` would
/// be told of a duplicate key.
pub fn to_toml(configuration: &v1::Configuration) -> String {
    const EMPTY_SECTION: &str = " = []";
    let text = inventory::to_toml(configuration);
    let end_of_sections = text.lines().position(|line| line.starts_with('['));
    let is_kept = |(index, line): &(usize, &str)| {
        end_of_sections.is_some_and(|end| *index >= end) || !line.ends_with(EMPTY_SECTION)
    };
    let kept: Vec<&str> = text.lines().enumerate().filter(is_kept).map(|(_, line)| line).collect();
    kept.join("\n").trim().to_owned()
}

/// One line for each problem of a file, with its place in the form that editors jump to.
pub fn describe_problems(path: &str, problems: &[Problem]) -> Vec<String> {
    problems.iter().map(|problem| format!("{path}:{}", describe_with_position(problem))).collect()
}

/// The error for a file with problems. The first line names the first one.
pub fn invalid_file(path: &Path, problems: &[Problem]) -> Error {
    let path = path.display().to_string();
    let lines: Vec<String> = problems.iter().map(describe_with_position).collect();
    let separator = format!("\n{path}:");
    Error::File(path, lines.join(&separator))
}

fn describe_with_position(problem: &Problem) -> String {
    if problem.line == 0 {
        return format!(" {problem}");
    }
    let Problem { line, column, .. } = problem;
    let without_place = Problem { line: 0, ..problem.clone() };
    match column {
        0 => format!("{line}: {without_place}"),
        _ => format!("{line}:{column}: {without_place}"),
    }
}
