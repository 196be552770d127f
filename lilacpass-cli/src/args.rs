//! Command-line arguments.

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

/// Submits work to a lilacpass cell and operates the cell
#[derive(Debug, Parser)]
#[command(name = "lilacpass", version, after_long_help = help::EXAMPLES, after_help = help::EXIT_CODES)]
pub struct Cli {
    /// Options that apply to all commands.
    #[command(flatten)]
    pub global: GlobalArgs,
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Options that apply to all commands.
#[derive(Debug, Args)]
pub struct GlobalArgs {
    /// Entry instance to send requests to; with several, the next one is tried if one can't be reached
    #[arg(
        long,
        global = true,
        env = "LILACPASS_SERVER",
        value_delimiter = ',',
        value_name = "URL",
        default_value = DEFAULT_SERVER
    )]
    pub server: Vec<Server>,

    /// File that contains the access token
    #[arg(long, global = true, env = "LILACPASS_TOKEN_FILE", value_name = "FILE")]
    pub token_file: Option<PathBuf>,

    /// Access token; on the command line it is visible in process listings, so prefer the environment
    /// variable LILACPASS_TOKEN or --token-file
    #[arg(
        long,
        global = true,
        env = "LILACPASS_TOKEN",
        hide_env_values = true,
        value_name = "TOKEN"
    )]
    pub token: Option<String>,

    /// Output format
    #[arg(long, short, global = true, value_enum, default_value_t)]
    pub output: Format,

    /// Maximum time for one request to one server, such as 500ms or 30s
    #[arg(long, global = true, value_name = "TIME", default_value = "30s", value_parser = units::parse_duration)]
    pub timeout: Duration,
}

/// Subcommands of the tool.
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
    /// Explain why a job waits and what would let it start
    Explain {
        /// Id of the job
        job: JobId,
    },
    /// List workers with their state, holder and assigned resources
    Workers(WorkersArgs),
    /// Summarise the state of the cell as one entry instance sees it
    Status {
        /// Query every --server and combine their views
        #[arg(long)]
        cell: bool,
    },
    /// Print the current configuration as TOML, with its revision
    Inventory,
    /// Apply a configuration file
    Apply(ApplyArgs),
    /// Show how a configuration file differs from the current configuration
    Diff(DiffArgs),
    /// Stop a worker from accepting new work
    Drain(DrainArgs),
    /// List the latest accepted configuration changes
    Changes,
    /// List the audit trail: who requested what, and whether it was accepted
    Audit(AuditArgs),
    /// Manage access tokens
    #[command(subcommand)]
    Token(TokenCommand),
    /// Convert the CSV file of an asset register into a configuration file
    ImportCsv(ImportArgs),
    /// Check settings and configuration files offline
    Check(CheckArgs),
    /// Print a completion script for a shell
    Completions {
        /// Shell to generate completions for
        shell: Shell,
    },
}

/// Options of `wait`.
#[derive(Debug, Args)]
pub struct WaitArgs {
    /// Id of the job
    pub job: JobId,
    /// Maximum time to wait, such as 10m; by default until the job has ended
    #[arg(long = "for", value_name = "TIME", value_parser = units::parse_duration)]
    pub limit: Option<Duration>,
    /// Don't print progress
    #[arg(long, short)]
    pub quiet: bool,
}

/// Options of `jobs`.
#[derive(Debug, Args)]
pub struct JobsArgs {
    /// Show this job only
    pub job: Option<JobId>,
    /// Only show jobs of this team
    #[arg(long)]
    pub team: Option<String>,
    /// Only show jobs in this state, such as waiting, running or may_have_run
    #[arg(long)]
    pub state: Option<String>,
    /// Only show jobs of this class
    #[arg(long, value_enum)]
    pub class: Option<ClassArg>,
}

/// Options of `workers`.
#[derive(Debug, Args)]
pub struct WorkersArgs {
    /// Show this worker only, with its tasks
    pub worker: Option<WorkerId>,
    /// Only show workers in this state, such as draining, quarantined or silent
    #[arg(long)]
    pub state: Option<String>,
    /// Only show workers of this data centre
    #[arg(long)]
    pub data_centre: Option<String>,
}

/// Options of `audit`, all of which filter entries.
#[derive(Debug, Default, Args)]
pub struct AuditArgs {
    /// Only show entries of this token or person
    #[arg(long)]
    pub actor: Option<String>,
    /// Only show this action: change, cancel, or the route of a refused request
    #[arg(long)]
    pub action: Option<String>,
    /// Only show entries that name this, such as a worker, in their subject or detail
    #[arg(long)]
    pub subject: Option<String>,
    /// Only show refused requests
    #[arg(long)]
    pub refused: bool,
    /// Only show entries of this latest period, such as 2h or 7d
    #[arg(long, value_name = "TIME", value_parser = units::parse_duration)]
    pub since: Option<Duration>,
    /// Maximum number of entries to show; the newest ones are kept
    #[arg(long, value_name = "COUNT")]
    pub limit: Option<usize>,
}
