//! Queries instances of lilacpass on the platform: the state of an instance, the state of the cell, and the history of
//! a job, from a running instance or from log files.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bytes::Bytes;
use clap::{Parser, Subcommand};
use http::{Method, StatusCode};
use lilacpass_jobs::JobKey;
use lilacpass_node::{operator_api, trace};
use lilacpass_platform::client::{Call, Client, Response};
use quick_error::quick_error;
use serde_json::Value;
use tokio::{runtime, task::LocalSet};

/// Timeout for the response of an instance.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Queries instances of lilacpass on the platform.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// The state of one instance.
    Instance {
        /// Address of the instance for peers, as IP:port.
        address: String,
    },
    /// The state of the cell: jobs, runs, workers.
    Status {
        /// Address of any instance for peers, as IP:port.
        address: String,
    },
    /// Why a job is in its current state, or how it ended.
    Explain {
        /// The id of the job, 16 hexadecimal digits.
        job: JobKey,
        /// Address of any instance for peers, as IP:port.
        #[arg(long, required_unless_present = "logs")]
        address: Option<String>,
        /// Folder with the log files of the instances, one file each.
        #[arg(long, conflicts_with = "address")]
        logs: Option<PathBuf>,
    },
}

quick_error! {
    /// Why a query failed.
    #[derive(Debug)]
    enum Error {
        /// The instance does not respond.
        Call(err: lilacpass_platform::Error) {
            from()
            display("no answer: {err}")
        }
        /// Files cannot be read, or the runtime cannot be started.
        Io(err: std::io::Error) {
            from()
            display("{err}")
        }
        /// The instance refused the query.
        Refused(reason: String) {
            display("{reason}")
        }
    }
}

fn main() -> ExitCode {
    match run(Args::parse().command) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("lilacpass-cell: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<String, Error> {
    match command {
        Command::Instance { address } => query(&address, operator_api::INSTANCE_PATH),
        Command::Status { address } => query(&address, operator_api::STATUS_PATH),
        Command::Explain { job, address: Some(address), .. } => {
            query(&address, &format!("{}{job}", operator_api::EXPLAIN_PATH))
        }
        Command::Explain { job, logs: Some(folder), .. } => {
            let lines = trace::read(&folder, job)?;
            if lines.is_empty() {
                return Err(Error::Refused(format!("no line of the logs names {job}")));
            }
            Ok(trace::table(&lines, job))
        }
        Command::Explain { .. } => Err(Error::Refused("give --address or --logs".to_owned())),
    }
}

/// Queries an instance, and if it does not lead, the leader that it names.
fn query(address: &str, path: &str) -> Result<String, Error> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let client = Client::default();
        let response = get(&client, address, path).await?;
        if response.status != StatusCode::MISDIRECTED_REQUEST {
            return show(&response);
        }
        let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        match body["leader"].as_str() {
            Some(leader) => show(&get(&client, leader, path).await?),
            None => Err(Error::Refused("the instance knows no leader".to_owned())),
        }
    })
}

async fn get(client: &Client, address: &str, path: &str) -> Result<Response, Error> {
    let call = Call {
        address,
        method: Method::GET,
        path,
        headers: &[],
        body: Bytes::new(),
        timeout: TIMEOUT,
    };
    Ok(client.call(&call).await?)
}

fn show(response: &Response) -> Result<String, Error> {
    let value: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    if response.status != StatusCode::OK {
        let reason = value["error"].as_str().unwrap_or("refused").to_owned();
        return Err(Error::Refused(reason));
    }
    serde_json::to_string_pretty(&value).map_err(|err| Error::Refused(err.to_string()))
}
