//! Reading of input files and formatting of configuration files and their problems.

use std::{
    fs,
    io::{self, Read},
    path::Path,
};

use lilacpass_config::{Problem, inventory};
use lilacpass_schema::v1;

use crate::error::{Error, Result};

/// File name that denotes standard input.
const STDIN: &str = "-";

/// Reads a text file, or standard input if `path` is `-`.
pub fn read(path: &Path) -> Result<String> {
    let text = if path.as_os_str() == STDIN {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        fs::read_to_string(path)
    };
    text.map_err(|err| Error::File(path.display().to_string(), format!(" {err}")))
}

/// Formats a configuration as the text of a TOML file that can be extended by hand.
///
/// Empty sections are omitted: adding `[[teams]]` below `teams = []` would be an error for a duplicate key.
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

/// Formats each problem of a file as one line in the form `path:line:column: problem`, which editors can jump to.
pub fn describe_problems(path: &str, problems: &[Problem]) -> Vec<String> {
    problems.iter().map(|problem| format!("{path}:{}", describe_with_position(problem))).collect()
}

/// Returns the error for a file with problems, with one line per problem.
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
    let without_position = Problem { line: 0, ..problem.clone() };
    match column {
        0 => format!("{line}: {without_position}"),
        _ => format!("{line}:{column}: {without_position}"),
    }
}
