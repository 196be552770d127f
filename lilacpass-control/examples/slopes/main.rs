//! Measures what state, messages and processor time of one entry instance grow with, each at three
//! sizes or more, and fits lines through the values. No network; time is made up; fixed seeds.
//!
//! `cargo run --release -p lilacpass-control --example slopes -- NAME`, with one of the names below.

mod bytes;
mod config;
mod cost;
mod fit;
mod holding;
mod instance;
mod jobs;
mod rounds;
mod sample;

use std::{env, process::ExitCode};

/// One table each; memory is measured by the growth of the process, so each runs in its own.
const TABLES: [(&str, fn()); 7] = [
    ("bytes", bytes::run),
    ("config", config::run),
    ("holding", holding::run),
    ("idle", rounds::idle),
    ("quick", rounds::quick),
    ("jobs", jobs::run),
    ("elsewhere", rounds::elsewhere),
];

fn main() -> ExitCode {
    let name = env::args().nth(1).unwrap_or_default();
    match TABLES.iter().find(|(table, _)| *table == name) {
        Some((_, run)) => {
            run();
            ExitCode::SUCCESS
        }
        None => {
            let names = TABLES.map(|(name, _)| name).join(", ");
            eprintln!("slopes: name one of {names}");
            ExitCode::FAILURE
        }
    }
}
