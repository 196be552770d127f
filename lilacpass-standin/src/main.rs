//! `lilacpass-standin`: stand-ins for development, as processes.

use std::{
    error, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::ExitCode,
    time::Duration,
};

use clap::{Args, Parser, Subcommand};
use lilacpass_core::size::PerSecond;
use lilacpass_schema::v1;
use lilacpass_standin::{
    platform::{Platform, PlatformOptions},
    shim::Shim,
    worker_host::WorkerHost,
};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    net::TcpListener,
};

type Result<T> = std::result::Result<T, Box<dyn error::Error + Send + Sync>>;

/// Development stand-ins for the platform, the workers and the network between.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// The log service and the instance list.
    Platform(PlatformArgs),
    /// Any number of workers.
    Workers(WorkersArgs),
    /// A TCP forwarder; reads `pass`, `cut`, `freeze` or `delay MS` from its standard input.
    Shim(ShimArgs),
}

#[derive(Debug, Args)]
struct PlatformArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Records that are kept of each stream.
    #[arg(long, default_value_t = 1_000_000)]
    retention: usize,
    /// Appends that are taken a second; 0 for no limit.
    #[arg(long, default_value_t = 300)]
    appends_per_s: u64,
    /// Lag of the instance list, in milliseconds.
    #[arg(long, default_value_t = 500)]
    list_lag_ms: u64,
    /// Seed of the faults that strike by chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Debug, Args)]
struct WorkersArgs {
    /// IP that workers without a fixed address listen on, each on a free port.
    #[arg(long, default_value_t = IpAddr::V4(Ipv4Addr::LOCALHOST))]
    listen_base: IpAddr,
    /// Configuration in TOML whose workers are hosted.
    #[arg(long, conflicts_with = "count")]
    inventory: Option<PathBuf>,
    /// Number of workers to host where there is no inventory.
    #[arg(long, default_value_t = 8)]
    count: usize,
    /// Data centre of the counted workers.
    #[arg(long, default_value = "hal-a")]
    data_centre: String,
    /// Processors of each counted worker, in thousandths of a core.
    #[arg(long, default_value_t = 64_000)]
    cpu_milli: u64,
    /// Memory of each counted worker, in mebibytes.
    #[arg(long, default_value_t = 262_144)]
    memory_mib: u64,
    /// Task slots of each counted worker.
    #[arg(long, default_value_t = 8)]
    slots: u64,
    /// Connections that each counted worker takes.
    #[arg(long, default_value_t = 64)]
    connections: u64,
    /// Seed of the faults that strike by chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Debug, Args)]
struct ShimArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address to forward to.
    #[arg(long)]
    to: SocketAddr,
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let done = match Cli::parse().command {
        Command::Platform(args) => run_platform(args).await,
        Command::Workers(args) => run_workers(args).await,
        Command::Shim(args) => run_shim(args).await,
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("lilacpass-standin: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run_platform(args: PlatformArgs) -> Result<()> {
    let options = PlatformOptions {
        retention_records: args.retention,
        appends: PerSecond(args.appends_per_s),
        list_lag: Duration::from_millis(args.list_lag_ms),
        seed: args.seed,
    };
    let listener = TcpListener::bind(args.listen).await?;
    Platform::new(options).serve(listener, |address| println!("listening {address}")).await
}

async fn run_workers(args: WorkersArgs) -> Result<()> {
    let specs = match &args.inventory {
        Some(path) => toml::from_str::<v1::Configuration>(&fs::read_to_string(path)?)?.workers,
        None => (0..args.count).map(|index| counted_worker(&args, index)).collect(),
    };
    let (host, workers) = WorkerHost::start(args.listen_base, &specs, args.seed).await?;
    let listener = TcpListener::bind(SocketAddr::new(args.listen_base, 0)).await?;
    for worker in &workers {
        println!("worker {} {}", worker.name, worker.address);
    }
    println!("control {}", listener.local_addr()?);
    println!("ready");
    host.serve_control(listener).await
}

fn counted_worker(args: &WorkersArgs, index: usize) -> v1::WorkerSpec {
    v1::WorkerSpec {
        name: format!("{}-w{}", args.data_centre, index + 1),
        data_centre: args.data_centre.clone(),
        cpu_milli: args.cpu_milli,
        memory_mib: args.memory_mib,
        slots: args.slots,
        connections: args.connections,
        ..Default::default()
    }
}

async fn run_shim(args: ShimArgs) -> Result<()> {
    let shim = Shim::start(args.listen, args.to).await?;
    println!("listening {}", shim.address);
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        match line.parse() {
            Ok(mode) => shim.set_mode(mode),
            Err(err) => eprintln!("lilacpass-standin: {err}"),
        }
    }
    Ok(())
}
