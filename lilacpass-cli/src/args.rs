//! The command line.

use std::{path::PathBuf, time::Duration};

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use lilacpass_core::ids::{JobId, WorkerId};

use crate::{
    api::server::{DEFAULT_SERVER, Server},
    report::Format,
    units,
};

mod change;
mod help;
mod submit;

pub use change::{
    ApplyArgs, CheckArgs, DiffArgs, DrainArgs, ImportArgs, NewTokenArgs, TokenCommand,
};
pub use submit::{ClassArg, SubmitArgs};

/// Submits work to a lilacpass cell, and runs the cell.
#[derive(Debug, Parser)]
#[command(name = "lilacpass", version, after_long_help = help::EXAMPLES, after_help = help::EXIT_CODES)]
pub struct Cli {
    /// Options of all commands.
    #[command(flatten)]
    pub global: GlobalArgs,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Options of all commands.
#[derive(Debug, Args)]
pub struct GlobalArgs {
    /// Entry instance to ask; give several and the next one is asked where one can't be reached
    #[arg(
        long,
        global = true,
        env = "LILACPASS_SERVER",
        value_delimiter = ',',
        value_name = "URL",
        default_value = DEFAULT_SERVER
    )]
    pub server: Vec<Server>,

    /// File that holds the access token
    #[arg(long, global = true, env = "LILACPASS_TOKEN_FILE", value_name = "FILE")]
    pub token_file: Option<PathBuf>,

    /// Access token; on the command line it shows in process listings, so prefer the variable
    /// LILACPASS_TOKEN or --token-file
    #[arg(
        long,
        global = true,
        env = "LILACPASS_TOKEN",
        hide_env_values = true,
        value_name = "TOKEN"
    )]
    pub token: Option<String>,

    /// Form of the output
    #[arg(long, short, global = true, value_enum, default_value_t)]
    pub output: Format,

    /// Longest time for one call to one server, such as 500ms or 30s
    #[arg(long, global = true, value_name = "TIME", default_value = "30s", value_parser = units::parse_duration)]
    pub timeout: Duration,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Submit a job, or a quick request with --wait-answer
    Submit(Box<SubmitArgs>),
    /// Wait until a job has ended; progress goes to standard error
    Wait(WaitArgs),
    /// Cancel a job
    Cancel {
        /// Id of the job
        job: JobId,
    },
    /// List jobs, or show one
    Jobs(JobsArgs),
    /// Say why a job waits and what would end the wait
    Explain {
        /// Id of the job
        job: JobId,
    },
    /// List workers: what each holds, and for whom
    Workers(WorkersArgs),
    /// The state of the cell at a glance, as one entry instance sees it
    Status {
        /// Ask every --server, and put together what they see
        #[arg(long)]
        cell: bool,
    },
    /// Print the configuration in force as TOML, with the revision that it has
    Inventory,
    /// Put a configuration file in force
    Apply(ApplyArgs),
    /// Show how a configuration file differs from what is in force
    Diff(DiffArgs),
    /// Let a worker take no new work
    Drain(DrainArgs),
    /// List the last accepted changes
    Changes,
    /// List the audit trail: who asked for what, and what came of it
    Audit(AuditArgs),
    /// Access tokens
    #[command(subcommand)]
    Token(TokenCommand),
    /// Turn the CSV of an asset register into a configuration file
    ImportCsv(ImportArgs),
    /// Check settings and configuration files offline
    Check(CheckArgs),
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// Options of `wait`.
#[derive(Debug, Args)]
pub struct WaitArgs {
    /// Id of the job
    pub job: JobId,
    /// Longest time to wait, such as 10m; without it, until the job has ended
    #[arg(long = "for", value_name = "TIME", value_parser = units::parse_duration)]
    pub limit: Option<Duration>,
    /// Print no progress
    #[arg(long, short)]
    pub quiet: bool,
}

/// Options of `jobs`.
#[derive(Debug, Args)]
pub struct JobsArgs {
    /// Show this job only
    pub job: Option<JobId>,
    /// Only jobs of this team
    #[arg(long)]
    pub team: Option<String>,
    /// Only jobs in this state, such as waiting, running or may_have_run
    #[arg(long)]
    pub state: Option<String>,
    /// Only jobs of this class
    #[arg(long, value_enum)]
    pub class: Option<ClassArg>,
}

/// Options of `workers`.
#[derive(Debug, Args)]
pub struct WorkersArgs {
    /// Show this worker only, with its tasks
    pub worker: Option<WorkerId>,
    /// Only workers in this state, such as draining, quarantined or silent
    #[arg(long)]
    pub state: Option<String>,
    /// Only workers of this data centre
    #[arg(long)]
    pub data_centre: Option<String>,
}

/// Filters of `audit`.
#[derive(Debug, Default, Args)]
pub struct AuditArgs {
    /// Only what this token or person asked for
    #[arg(long)]
    pub actor: Option<String>,
    /// Only this action: change, or the route of a try that was refused
    #[arg(long)]
    pub action: Option<String>,
    /// Only what concerns this, such as a worker: its name stands in the subject or the detail
    #[arg(long)]
    pub subject: Option<String>,
    /// Only what was refused
    #[arg(long)]
    pub refused: bool,
    /// Only what happened within this time, such as 2h or 7d
    #[arg(long, value_name = "TIME", value_parser = units::parse_duration)]
    pub since: Option<Duration>,
    /// At most so many entries, the newest ones
    #[arg(long, value_name = "COUNT")]
    pub limit: Option<usize>,
}
