//! `check`: settings and configuration files, offline.

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

/// Sections that stand in settings files only.
const SETTINGS_SECTIONS: [&str; 2] = ["[instance]", "[platform]"];

/// What a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Settings of one `lilacpassd`.
    Settings,
    /// Inventory and rules.
    Configuration,
}

impl Kind {
    /// Guesses the kind from the sections of a file.
    pub fn guess(text: &str) -> Self {
        let is_mark = |line: &str| SETTINGS_SECTIONS.contains(&line.trim());
        if text.lines().any(is_mark) { Self::Settings } else { Self::Configuration }
    }
}

/// Checks all files that `args` name, and reports every problem of each.
pub fn run(args: &CheckArgs) -> Result<Report> {
    let guessed = args.files.iter().map(|path| (path, None));
    let settings = args.settings.iter().map(|path| (path, Some(Kind::Settings)));
    let inventory = args.inventory.iter().map(|path| (path, Some(Kind::Configuration)));
    let checked: Vec<Checked> = guessed
        .chain(settings)
        .chain(inventory)
        .map(|(path, kind)| check(path, kind))
        .collect::<Result<_>>()?;
    let all_good = checked.iter().all(|file| file.problems.is_empty());
    let human: Vec<String> = checked.iter().flat_map(Checked::lines).collect();
    let json = checked.iter().map(Checked::to_json).collect();
    let exit = if all_good { Exit::Ok } else { Exit::Usage };
    Ok(Report { human: human.join("\n"), json, exit })
}

struct Checked {
    path: PathBuf,
    problems: Vec<Problem>,
}

fn check(path: &Path, kind: Option<Kind>) -> Result<Checked> {
    let text = files::read(path)?;
    let outcome = match kind.unwrap_or_else(|| Kind::guess(&text)) {
        Kind::Settings => settings::parse(&text).map(|_| ()),
        Kind::Configuration => inventory::parse(&text).map(|_| ()),
    };
    Ok(Checked { path: path.to_owned(), problems: outcome.err().unwrap_or_default() })
}

impl Checked {
    fn lines(&self) -> Vec<String> {
        let path = self.path.display().to_string();
        if self.problems.is_empty() {
            return vec![format!("{path}: good")];
        }
        files::describe(&path, &self.problems)
    }

    fn to_json(&self) -> serde_json::Value {
        json!({ "file": self.path, "problems": report::encode(&self.problems) })
    }
}
