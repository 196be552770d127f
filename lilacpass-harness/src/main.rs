//! `lilacpass-harness`: sample run, fault runs and measurements.

use std::{process::ExitCode, time::Duration};

use clap::{Parser, Subcommand};
use lilacpass_harness::{Error, Result, fault_run, faults, measure, sample_run};

/// Development tools that run whole cells as processes on loopback.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a sample of both deployments; the last line says what came of it.
    Try,
    /// Runs a cell under random faults; one line for each promise.
    Faults {
        /// Seed of the faults; a run can be repeated with it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How long the run takes about, in seconds.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Kinds of faults, separated by commas; all where none is named.
        #[arg(long, value_enum, value_delimiter = ',')]
        only: Vec<faults::Kind>,
    },
    /// Measures takeover, spreading of changes, footprint and added latency.
    Measure {
        /// What to measure; all of it where nothing is named.
        #[arg(value_enum)]
        parts: Vec<measure::Part>,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let command = Cli::parse().command;
    // Dropping the run ends its processes, also when this one is asked to stop.
    let done = tokio::select! {
        done = run(command) => done,
        _ = tokio::signal::ctrl_c() => Err(interrupted()),
        () = terminated() => Err(interrupted()),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("lilacpass-harness: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<bool> {
    match command {
        Command::Try => {
            let summary = sample_run::run().await?;
            summary.faults().iter().for_each(|fault| eprintln!("{fault}"));
            println!("{summary}");
            Ok(summary.is_good())
        }
        Command::Measure { parts } => {
            measure::run(&parts, |line| println!("{line}")).await?;
            Ok(true)
        }
        Command::Faults { seed, seconds, only } => {
            let outcome = fault_run::run(seed, Duration::from_secs(seconds), &only).await?;
            println!("{outcome}");
            Ok(outcome.is_good())
        }
    }
}

async fn terminated() {
    match tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()) {
        Ok(mut signal) => {
            signal.recv().await;
        }
        Err(_) => std::future::pending().await,
    }
}

fn interrupted() -> Error {
    Error::Unexpected("the run".to_owned(), "was interrupted".to_owned())
}
