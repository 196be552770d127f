//! Replays a mixed workload through the decision code, side by side with simpler policies.
//!
//! `replay [compare|ours|guards|slopes] [--seed N] [--seeds N] [--seconds N]` prints tables in Markdown.

mod baseline;
mod cell;
mod events;
mod guards;
mod jobs;
mod slopes;
mod stats;
mod workload;

use std::{env, process::ExitCode};

use baseline::Baseline;
use cell::Knobs;
use stats::Stats;
use workload::Setup;

const LOADS_PERCENT: [u32; 5] = [50, 80, 95, 100, 120];
const WORKERS: usize = 48;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let option = |name: &str, default: u64| {
        let at = args.iter().position(|arg| arg == name);
        at.and_then(|at| args.get(at + 1)).and_then(|n| n.parse().ok()).unwrap_or(default)
    };
    let setup = Setup {
        seed: option("--seed", 1),
        seeds: option("--seeds", 6),
        load_percent: option("--load", 80) as u32,
        seconds: option("--seconds", 200),
        workers: WORKERS,
        black_hole: false,
    };
    match args.first().map(String::as_str) {
        Some("compare") | None => compare(&setup),
        Some("ours") => ours(&setup),
        Some("guards") => guards::run(&setup),
        Some("slopes") => slopes::run(),
        Some(other) => {
            eprintln!("unknown table {other:?}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// The decision code alone, for a quick look at a change.
fn ours(setup: &Setup) {
    println!("{}", Stats::header());
    for load_percent in [50, 80, 95, 120] {
        let setup = Setup { load_percent, ..setup.clone() };
        println!("{}", guards::measure(&setup, &Knobs::default()).row("lilacpass", &setup));
    }
}

fn compare(setup: &Setup) {
    println!("{}", Stats::header());
    for load_percent in LOADS_PERCENT {
        let setup = Setup { load_percent, ..setup.clone() };
        let mut ours = guards::measure(&setup, &Knobs::default());
        println!("{}", ours.row("lilacpass", &setup));
        assert_eq!(ours.unsafe_preemptions, 0, "no non-idempotent task is stopped");
        for kind in Baseline::ALL {
            let mut stats = Stats::over_seeds(&setup, |setup| baseline::replay(kind, setup));
            println!("{}", stats.row(kind.name(), &setup));
        }
    }
}
