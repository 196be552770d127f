//! Options of the commands that change the configuration or work on files.

use std::{path::PathBuf, time::Duration};

use clap::{Args, Subcommand};
use lilacpass_config::Role;
use lilacpass_core::ids::{Revision, TeamId, WorkerId};

use crate::units;

/// Options that `apply` and `diff` share: which file to compare, and how.
#[derive(Debug, Args)]
pub struct DiffArgs {
    /// Configuration file in TOML
    pub file: PathBuf,
    /// Revision that the file is based on; by default the one in its first line, as written by
    /// `lilacpass inventory`, or else the current one
    #[arg(long, value_name = "REVISION")]
    pub base: Option<Revision>,
    /// Also remove entries that the file does not contain; by default entries are only added and replaced
    #[arg(long)]
    pub prune: bool,
}

/// Options of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// The file to apply and how to compare it.
    #[command(flatten)]
    pub diff: DiffArgs,
    /// Only show what the change would do
    #[arg(long)]
    pub dry_run: bool,
    /// Reason for the change, recorded in the audit trail
    #[arg(long, default_value = "")]
    pub reason: String,
}

/// Options of `drain`.
#[derive(Debug, Args)]
pub struct DrainArgs {
    /// Name of the worker
    pub worker: WorkerId,
    /// Let the worker accept new work again
    #[arg(long)]
    pub undo: bool,
    /// Only show what the change would do
    #[arg(long)]
    pub dry_run: bool,
    /// Reason for the change, recorded in the audit trail
    #[arg(long, default_value = "")]
    pub reason: String,
}

/// Subcommands of `token`.
#[derive(Debug, Subcommand)]
pub enum TokenCommand {
    /// Create a token offline; prints the token and its entry for the configuration file
    New(NewTokenArgs),
}

/// Options of `token new`.
#[derive(Debug, Args)]
pub struct NewTokenArgs {
    /// Name of the token, which appears in the audit trail
    pub name: String,
    /// Role: operator, team or read-only
    #[arg(long)]
    pub role: Role,
    /// Team that the token grants access to, required for the role team
    #[arg(long, required_if_eq("role", "team"))]
    pub team: Option<TeamId>,
    /// Time after which the token expires, such as 90d; by default it never expires
    #[arg(long, value_name = "TIME", value_parser = units::parse_duration)]
    pub expires_in: Option<Duration>,
}

/// Options of `import-csv`.
#[derive(Debug, Args)]
pub struct ImportArgs {
    /// CSV file of the asset register
    pub file: PathBuf,
    /// Configuration file to merge the workers into; its other entries are kept
    #[arg(long, value_name = "FILE")]
    pub into: Option<PathBuf>,
    /// Region of data centres that the configuration file does not contain yet
    #[arg(long, default_value = "")]
    pub region: String,
}

/// Options of `check`.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// Files to check; those with a section [instance] or [platform] are settings, others configuration
    #[arg(required_unless_present_any = ["settings", "inventory"])]
    pub files: Vec<PathBuf>,
    /// Settings file of lilacpassd
    #[arg(long, value_name = "FILE")]
    pub settings: Vec<PathBuf>,
    /// Configuration file with inventory and rules
    #[arg(long, value_name = "FILE")]
    pub inventory: Vec<PathBuf>,
}
