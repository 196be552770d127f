//! Options of `submit`.

use std::time::Duration;

use clap::{Args, ValueEnum};
use lilacpass_core::{
    Class,
    size::{Mebibytes, Millicores},
};

use crate::units;

/// Job class as written on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ClassArg {
    /// Work whose result a person is waiting for
    Urgent,
    /// Work that is kept running until it is cancelled
    Standing,
    /// Work that may wait until capacity is free
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
    /// Account of the team that the work is done for
    #[arg(long, default_value = "")]
    pub account: String,
    /// Service that runs the work
    #[arg(long)]
    pub service: String,
    /// Kind of work; sizes and run times are learned per kind
    #[arg(long, default_value = "")]
    pub kind: String,
    /// Job class; by default urgent for quick requests, standing with --standing, batch for other jobs
    #[arg(long, value_enum)]
    pub class: Option<ClassArg>,
    /// Number of tasks; several tasks form a gang, which is started as a whole or not at all
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..))]
    pub tasks: u32,
    /// CPU of each task, in cores (1.5) or millicores (1500m)
    #[arg(long, value_parser = units::parse_cpu)]
    pub cpu: Option<Millicores>,
    /// Memory of each task, such as 512MiB or 4GiB
    #[arg(long, value_parser = units::parse_memory)]
    pub memory: Option<Mebibytes>,
    /// Number of accelerators of each task
    #[arg(long, value_name = "COUNT")]
    pub accelerators: Option<u64>,
    /// Number of slots of each task; 1 if another size option is given
    #[arg(long, value_name = "COUNT")]
    pub slots: Option<u64>,
    /// Expected run time, such as 90s or 2h
    #[arg(long, value_name = "TIME", value_parser = units::parse_duration)]
    pub run: Option<Duration>,
    /// Mark the work as safe to run more than once
    #[arg(long)]
    pub idempotent: bool,
    /// Mark the work as able to write checkpoints, from which another worker can resume it
    #[arg(long)]
    pub checkpointable: bool,
    /// Keep one copy of the work running until it is cancelled
    #[arg(long, conflicts_with = "wait_answer")]
    pub standing: bool,
    /// Preferred data centre
    #[arg(long, value_name = "NAME", default_value = "")]
    pub data_centre: String,
    /// Input of the task; @FILE reads it from a file, @- from standard input
    #[arg(long, value_name = "TEXT", default_value = "")]
    pub payload: String,
    /// Idempotency key: submitting again with the same key returns the same job; random by default
    #[arg(long, value_parser = parse_key)]
    pub key: Option<String>,
    /// Send a quick request and print its result
    #[arg(long)]
    pub wait_answer: bool,
    /// Maximum time to wait for the result of a quick request, such as 2s
    #[arg(long, value_name = "TIME", requires = "wait_answer", value_parser = units::parse_duration)]
    pub deadline: Option<Duration>,
    /// Wait until the job has ended, like `lilacpass wait`
    #[arg(long, conflicts_with = "wait_answer")]
    pub follow: bool,
}

/// Parses an idempotency key. Only printable ASCII is accepted, because the key is sent in an HTTP header.
fn parse_key(text: &str) -> Result<String, String> {
    const MAX_KEY_LEN: usize = 128;
    let printable = text.bytes().all(|b| b.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_LEN || !printable {
        return Err(format!(
            "a key must be 1 to {MAX_KEY_LEN} printable ASCII characters without spaces"
        ));
    }
    Ok(text.to_owned())
}
