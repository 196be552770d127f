//! Files that the commands read.

use std::{
    fs,
    io::{self, Read},
    path::Path,
};

use lilacpass_config::Problem;

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

/// One line for each problem of a file, with its place in the form that editors jump to.
pub fn describe(path: &str, problems: &[Problem]) -> Vec<String> {
    problems.iter().map(|problem| format!("{path}:{}", place(problem))).collect()
}

/// The error for a file with problems. The first line names the first one.
pub fn refuse(path: &Path, problems: &[Problem]) -> Error {
    let path = path.display().to_string();
    let lines: Vec<String> = problems.iter().map(place).collect();
    let separator = format!("\n{path}:");
    Error::File(path, lines.join(&separator))
}

fn place(problem: &Problem) -> String {
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
