//! `lilacpassd`, the daemon of an entry instance.

use std::{
    fs, io,
    io::Write,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::Parser;
use lilacpass_config::settings::{self, FieldDoc, Settings};
use lilacpass_daemon::daemon::{self, Daemon, DaemonError};
use quick_error::quick_error;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;

/// Exit code for any other failure.
const EXIT_FAILURE: u8 = 1;

/// The lilacpass daemon: one per entry instance.
///
/// Once it listens it prints two lines, `http <ip:port>` and `peer <ip:port>`. SIGTERM or SIGINT
/// stops it as planned: it takes no new work, finishes what is in flight and exits with code 0.
/// Exit code 2 means that the settings can't be used, 1 any other failure.
#[derive(Debug, Parser)]
#[command(name = "lilacpassd", version)]
struct Options {
    /// File with the settings, in TOML.
    #[arg(long, value_name = "FILE", required_unless_present = "print_defaults")]
    settings: Option<PathBuf>,
    /// Only check the settings.
    #[arg(long)]
    check: bool,
    /// Print all settings with unit, default and allowed range.
    #[arg(long)]
    print_defaults: bool,
}

quick_error! {
    /// Why the process ends.
    #[derive(Debug)]
    enum Failure {
        /// The settings can't be read or used; one line per problem.
        Settings(lines: Vec<String>) {
            display("{}", lines.join("\n"))
        }
        /// The runtime or a signal handler could not be set up.
        Setup(error: io::Error) {
            display("can't start: {error}")
            source(error)
            from()
        }
        /// The daemon could not run or stop.
        Daemon(error: DaemonError) {
            display("{error}")
            source(error)
            from()
        }
    }
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run(&Options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            match failure {
                Failure::Settings(_) => ExitCode::from(EXIT_SETTINGS),
                Failure::Setup(_) | Failure::Daemon(_) => ExitCode::from(EXIT_FAILURE),
            }
        }
    }
}

fn run(options: &Options) -> Result<(), Failure> {
    if options.print_defaults {
        io::stdout().write_all(defaults().as_bytes())?;
    }
    let Some(path) = &options.settings else { return Ok(()) };
    let settings = read_settings(path)?;
    if options.check {
        println!("{}: settings are valid", path.display());
        return Ok(());
    }
    if options.print_defaults {
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic.threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    runtime.block_on(serve(&settings))
}

async fn serve(settings: &Settings) -> Result<(), Failure> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut daemon = daemon::start(settings).await?;
    announce(&daemon)?;
    log::info!(
        instance:% = settings.instance.name, data_centre:% = settings.instance.data_centre,
        http:% = daemon.http_address, peer:% = daemon.peer_address;
        "started"
    );
    tokio::select! {
        _ = terminate.recv() => log::info!(signal = "SIGTERM"; "stopping"),
        _ = interrupt.recv() => log::info!(signal = "SIGINT"; "stopping"),
        failure = daemon.failed() => return Err(failure.into()),
    }
    daemon.stop().await?;
    log::info!("stopped");
    Ok(())
}

/// Tells whoever started the process where it listens.
fn announce(daemon: &Daemon) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "http {}", daemon.http_address)?;
    writeln!(out, "peer {}", daemon.peer_address)?;
    out.flush()
}

fn read_settings(path: &Path) -> Result<Settings, Failure> {
    let text = fs::read_to_string(path)
        .map_err(|error| Failure::Settings(vec![format!("{}: {error}", path.display())]))?;
    settings::parse(&text).map_err(|problems| {
        let line = |problem| format!("{}: {problem}", path.display());
        Failure::Settings(problems.iter().map(line).collect())
    })
}

/// All settings as a file in which each line is commented out.
fn defaults() -> String {
    let mut text = String::new();
    let mut section = "";
    for field in settings::describe() {
        let (head, key) = field.path.split_once('.').unwrap_or(("", field.path));
        if head != section {
            text.push_str(&format!("[{head}]\n"));
            section = head;
        }
        let allowed = format!("{} {}", field.allowed, field.unit);
        text.push_str(&format!("# {} Allowed: {}.\n", field.doc, allowed.trim_end()));
        let value = toml_value(&field);
        text.push_str(&format!("# {key} = {value}\n\n"));
    }
    text
}

fn toml_value(field: &FieldDoc) -> String {
    let is_number = !field.default.is_empty() && field.default.bytes().all(|b| b.is_ascii_digit());
    match (is_number, field.allowed.starts_with("list")) {
        (true, _) => field.default.clone(),
        (false, true) => "[]".to_owned(),
        (false, false) => format!("{:?}", field.default),
    }
}
