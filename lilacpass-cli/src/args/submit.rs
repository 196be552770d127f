//! Options of `submit`.

use std::time::Duration;

use clap::{Args, ValueEnum};
use lilacpass_core::{
    Class,
    size::{Mebibytes, Millicores},
};

use crate::units;

/// A class, as given on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ClassArg {
    /// A person waits for the answer
    Urgent,
    /// Work that is kept running
    Standing,
    /// Work that may wait
    Batch,
}

impl From<ClassArg> for Class {
    fn from(class: ClassArg) -> Self {
        match class {
            ClassArg::Urgent => Self::Urgent,
            ClassArg::Standing => Self::Standing,
            ClassArg::Batch => Self::Batch,
        }
    }
}

/// Options of `submit`.
#[derive(Debug, Args)]
pub struct SubmitArgs {
    /// Team that the work belongs to
    #[arg(long)]
    pub team: String,
    /// Account of the team for which it is done
    #[arg(long, default_value = "")]
    pub account: String,
    /// Service that runs it
    #[arg(long)]
    pub service: String,
    /// Kind of work; sizes and run times are learned per kind
    #[arg(long, default_value = "")]
    pub kind: String,
    /// Class; by default urgent for quick requests, standing with --standing, batch for other jobs
    #[arg(long, value_enum)]
    pub class: Option<ClassArg>,
    /// Number of tasks; more than 1 makes a gang that runs all at once or not at all
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..))]
    pub tasks: u32,
    /// Processors of each task, in cores (1.5) or thousandths (1500m)
    #[arg(long, value_parser = units::parse_cpu)]
    pub cpu: Option<Millicores>,
    /// Memory of each task, such as 512MiB or 4GiB
    #[arg(long, value_parser = units::parse_memory)]
    pub memory: Option<Mebibytes>,
    /// Accelerators of each task
    #[arg(long, value_name = "COUNT")]
    pub accelerators: Option<u64>,
    /// Slots of each task; 1 where another size is given
    #[arg(long, value_name = "COUNT")]
    pub slots: Option<u64>,
    /// Expected run time, such as 90s or 2h
    #[arg(long, value_name = "TIME", value_parser = units::parse_duration)]
    pub run: Option<Duration>,
    /// Running it twice does no harm
    #[arg(long)]
    pub idempotent: bool,
    /// A worker can write a checkpoint of it, from which another can go on
    #[arg(long)]
    pub checkpointable: bool,
    /// Keep it running until it is cancelled, one copy at a time
    #[arg(long, conflicts_with = "wait_answer")]
    pub standing: bool,
    /// Data centre that it prefers
    #[arg(long, value_name = "NAME", default_value = "")]
    pub data_centre: String,
    /// Input of the task; @FILE reads a file, @- standard input
    #[arg(long, value_name = "TEXT", default_value = "")]
    pub payload: String,
    /// Idempotency key: submitting again with the same key gives the same job; by default random
    #[arg(long, value_parser = parse_key)]
    pub key: Option<String>,
    /// Send a quick request, and print its result
    #[arg(long)]
    pub wait_answer: bool,
    /// Time that the caller of a quick request waits, such as 2s
    #[arg(long, value_name = "TIME", requires = "wait_answer", value_parser = units::parse_duration)]
    pub deadline: Option<Duration>,
    /// Wait until the job has ended, as `lilacpass wait` does
    #[arg(long, conflicts_with = "wait_answer")]
    pub follow: bool,
}

/// Reads an idempotency key: printable ASCII, as it travels in a header.
fn parse_key(text: &str) -> Result<String, String> {
    const MAX_KEY_LEN: usize = 128;
    let printable = text.bytes().all(|b| b.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_LEN || !printable {
        return Err(format!("a key is 1 to {MAX_KEY_LEN} printable ASCII characters, no spaces"));
    }
    Ok(text.to_owned())
}
