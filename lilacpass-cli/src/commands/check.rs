//! `check`: checks settings and configuration files offline.

use std::path::{Path, PathBuf};

use lilacpass_config::{Problem, inventory, settings};
use serde_json::json;

use crate::{
    args::CheckArgs,
    commands::files,
    error::Result,
    exit::Exit,
    report::{self, Report},
};

/// Sections that occur in settings files only.
const SETTINGS_SECTIONS: [&str; 2] = ["[instance]", "[platform]"];

/// Kind of a checked file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// Settings of one `lilacpassd` instance.
    Settings,
    /// Configuration of the cell: inventory and rules.
    Configuration,
}

impl FileKind {
    /// Guesses the kind from the sections of a file.
    pub fn guess(text: &str) -> Self {
        let is_settings_section = |line: &str| SETTINGS_SECTIONS.contains(&line.trim());
        if text.lines().any(is_settings_section) { Self::Settings } else { Self::Configuration }
    }
}

/// Checks all files given in `args` and reports every problem found.
pub fn run(args: &CheckArgs) -> Result<Report> {
    let guessed = args.files.iter().map(|path| (path, None));
    let settings = args.settings.iter().map(|path| (path, Some(FileKind::Settings)));
    let inventory = args.inventory.iter().map(|path| (path, Some(FileKind::Configuration)));
    let checked: Vec<CheckedFile> = guessed
        .chain(settings)
        .chain(inventory)
        .map(|(path, kind)| check(path, kind))
        .collect::<Result<_>>()?;
    let all_good = checked.iter().all(|file| file.problems.is_empty());
    let human: Vec<String> = checked.iter().flat_map(CheckedFile::lines).collect();
    let json = checked.iter().map(CheckedFile::to_json).collect();
    let exit = if all_good { Exit::Ok } else { Exit::Usage };
    Ok(Report { human: human.join("\n"), json, exit })
}

struct CheckedFile {
    path: PathBuf,
    problems: Vec<Problem>,
}

fn check(path: &Path, kind: Option<FileKind>) -> Result<CheckedFile> {
    let text = files::read(path)?;
    let outcome = match kind.unwrap_or_else(|| FileKind::guess(&text)) {
        FileKind::Settings => settings::parse(&text).map(|_| ()),
        FileKind::Configuration => inventory::parse(&text).map(|_| ()),
    };
    Ok(CheckedFile { path: path.to_owned(), problems: outcome.err().unwrap_or_default() })
}

impl CheckedFile {
    fn lines(&self) -> Vec<String> {
        let path = self.path.display().to_string();
        if self.problems.is_empty() {
            return vec![format!("{path}: good")];
        }
        files::describe_problems(&path, &self.problems)
    }

    fn to_json(&self) -> serde_json::Value {
        json!({ "file": self.path, "problems": report::encode(&self.problems) })
    }
}
