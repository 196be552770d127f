//! Options of the commands that deal with the configuration and with files.

use std::{path::PathBuf, time::Duration};

use clap::{Args, Subcommand};
use lilacpass_config::Role;
use lilacpass_core::ids::{Revision, TeamId, WorkerId};

use crate::units;

/// What `apply` and `diff` compare.
#[derive(Debug, Args)]
pub struct DiffArgs {
    /// Configuration file in TOML
    pub file: PathBuf,
    /// Revision that the file builds on; by default the one in its first line, as `lilacpass
    /// inventory` writes it, else the one in force
    #[arg(long, value_name = "REVISION")]
    pub base: Option<Revision>,
    /// Also remove what the file does not name; without it, the file only adds and replaces
    #[arg(long)]
    pub prune: bool,
}

/// Options of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// What to compare.
    #[command(flatten)]
    pub diff: DiffArgs,
    /// Only say what the change would do
    #[arg(long)]
    pub dry_run: bool,
    /// Why, for the audit trail
    #[arg(long, default_value = "")]
    pub reason: String,
}

/// Options of `drain`.
#[derive(Debug, Args)]
pub struct DrainArgs {
    /// The worker
    pub worker: WorkerId,
    /// Let it take new work again
    #[arg(long)]
    pub undo: bool,
    /// Only say what it would do
    #[arg(long)]
    pub dry_run: bool,
    /// Why, for the audit trail
    #[arg(long, default_value = "")]
    pub reason: String,
}

/// Commands on access tokens.
#[derive(Debug, Subcommand)]
pub enum TokenCommand {
    /// Make a token, offline: print it once, and the entry for the configuration file
    New(NewTokenArgs),
}

/// Options of `token new`.
#[derive(Debug, Args)]
pub struct NewTokenArgs {
    /// Name of the token, which stands in the audit trail
    pub name: String,
    /// Role: operator, team or read-only
    #[arg(long)]
    pub role: Role,
    /// Team that the token speaks for, with the role team
    #[arg(long, required_if_eq("role", "team"))]
    pub team: Option<TeamId>,
    /// Time after which the token no longer counts, such as 90d; by default it never ends
    #[arg(long, value_name = "TIME", value_parser = units::parse_duration)]
    pub expires_in: Option<Duration>,
}

/// Options of `import-csv`.
#[derive(Debug, Args)]
pub struct ImportArgs {
    /// CSV file of the asset register
    pub file: PathBuf,
    /// Configuration file that the workers are put into; what else it says is kept
    #[arg(long, value_name = "FILE")]
    pub into: Option<PathBuf>,
    /// Region of data centres that the configuration file does not know yet
    #[arg(long, default_value = "")]
    pub region: String,
}

/// Options of `check`.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// Files; those with a section [instance] or [platform] are settings, others configuration
    #[arg(required_unless_present_any = ["settings", "inventory"])]
    pub files: Vec<PathBuf>,
    /// Settings file of a lilacpassd
    #[arg(long, value_name = "FILE")]
    pub settings: Vec<PathBuf>,
    /// Configuration file: inventory and rules
    #[arg(long, value_name = "FILE")]
    pub inventory: Vec<PathBuf>,
}
