//! Implementation of the commands, with one module per command or group of related commands.

use clap::CommandFactory;

use crate::{
    api::{Client, exchange::BearerToken},
    args::{Cli, Command, GlobalArgs, TokenCommand},
    error::{Error, Result},
    report::{Format, Report},
};

pub mod audit;
pub mod cell;
pub mod change;
pub mod check;
pub mod files;
pub mod import;
pub mod inventory;
pub mod jobs;
pub mod overlay;
pub mod status;
pub mod submit;
pub mod token;
pub mod wait;
pub mod workers;

/// What every command needs: the client and the output format.
pub struct Context {
    /// Client for the servers given on the command line.
    pub client: Client,
    /// Output format of the results.
    pub format: Format,
}

/// Runs the command given in `cli`. `now_unix_ms` is the current time in milliseconds since 1970.
pub async fn run(cli: Cli, now_unix_ms: u64) -> Result<Report> {
    let Cli { global, command } = cli;
    let context = &mut create_context(global)?;
    match command {
        Command::Submit(args) => submit::run(context, &args).await,
        Command::Wait(args) => wait::run(context, &args).await,
        Command::Cancel { job } => jobs::cancel(context, job).await,
        Command::Jobs(args) => jobs::list(context, &args).await,
        Command::Explain { job } => jobs::explain(context, job).await,
        Command::Workers(args) => workers::run(context, &args).await,
        Command::Status { cell: false } => status::run(context).await,
        Command::Status { cell: true } => cell::run(context).await,
        Command::Inventory => inventory::run(context).await,
        Command::Apply(args) => change::apply(context, &args).await,
        Command::Diff(args) => change::diff(context, &args).await,
        Command::Drain(args) => change::drain(context, &args).await,
        Command::Changes => change::list(context).await,
        Command::Audit(args) => audit::run(context, &args, now_unix_ms).await,
        Command::Token(TokenCommand::New(args)) => token::new(&args, now_unix_ms),
        Command::ImportCsv(args) => import::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Completions { shell } => Ok(completions(shell)),
    }
}

fn create_context(global: GlobalArgs) -> Result<Context> {
    let token = read_token(&global)?;
    let token = token.map(|text| BearerToken::new(&text)).transpose().map_err(Error::Usage)?;
    let client = Client::new(global.server, token, global.timeout);
    Ok(Context { client, format: global.output })
}

/// Returns the token from the option or environment variable if it is set, or else from the token file.
fn read_token(global: &GlobalArgs) -> Result<Option<String>> {
    if let Some(token) = &global.token {
        return Ok(Some(token.clone()));
    }
    global.token_file.as_deref().map(files::read).transpose()
}

fn completions(shell: clap_complete::Shell) -> Report {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "lilacpass", &mut script);
    let script = String::from_utf8_lossy(&script).into_owned();
    let json = serde_json::json!({ "shell": shell.to_string(), "script": script });
    Report::ok(script, json)
}
