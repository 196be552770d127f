//! The command line.

use std::{fs, path::PathBuf, process::ExitCode, thread};

use clap::Parser;

use crate::{
    arrivals, bound, cell,
    error::{Error, Result},
    outcome::Outcome,
    plot,
    policy::Policy,
    report::Comparison,
    scenario::{self, Scenario},
};

/// Compares scheduling policies of the leader on a model of a cell.
#[derive(Debug, Parser)]
#[command(name = "lilacpass-lab", version)]
pub struct Args {
    /// Scenario files in TOML format.
    #[arg(required = true)]
    pub scenarios: Vec<PathBuf>,
    /// Policies to compare, separated by commas; `all` compares all policies.
    #[arg(long, default_value = "bound,today,first-fit,least-loaded,random,two-choices")]
    pub policies: String,
    /// Random seeds, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    pub seeds: Vec<u64>,
    /// Number of simulations that run in parallel.
    #[arg(long, default_value_t = 4)]
    pub jobs: usize,
    /// JSON file for all results; `{}` is replaced by the name of the scenario.
    #[arg(long)]
    pub json: Option<String>,
    /// Folder for plots; it is created if it does not exist.
    #[arg(long)]
    pub plots: Option<PathBuf>,
}

/// Runs the program.
pub fn run() -> ExitCode {
    env_logger::init();
    let args = Args::parse();
    match compare_all(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("lilacpass-lab: {err}");
            ExitCode::FAILURE
        }
    }
}

fn compare_all(args: &Args) -> Result<()> {
    let policies = parse_policies(&args.policies)?;
    if let Some(folder) = &args.plots {
        fs::create_dir_all(folder).map_err(|err| Error::File(folder.clone(), err))?;
    }
    for path in &args.scenarios {
        let scenario = scenario::read(path)?;
        let comparison = compare(&scenario, &policies, &args.seeds, args.jobs);
        println!("{}\n{}\n", scenario.name, comparison.table());
        if let Some(pattern) = &args.json {
            comparison.write_json(&PathBuf::from(pattern.replace("{}", &scenario.name)))?;
        }
        if let Some(folder) = &args.plots {
            plot::draw(&comparison, folder)?;
        }
    }
    Ok(())
}

fn parse_policies(text: &str) -> Result<Vec<Policy>> {
    if text == "all" {
        return Ok(Policy::all());
    }
    text.split(',').map(|name| name.trim().parse()).collect()
}

/// Simulates each policy with each seed, `jobs` simulations in parallel.
pub fn compare(scenario: &Scenario, policies: &[Policy], seeds: &[u64], jobs: usize) -> Comparison {
    let simulations =
        policies.iter().flat_map(|policy| seeds.iter().map(move |seed| (*policy, *seed)));
    let simulations: Vec<(Policy, u64)> = simulations.collect();
    let mut outcomes = Vec::with_capacity(simulations.len());
    for chunk in simulations.chunks(jobs.max(1)) {
        let finished = thread::scope(|scope| {
            let threads: Vec<_> = chunk
                .iter()
                .map(|&(policy, seed)| scope.spawn(move || simulate(scenario, policy, seed)))
                .collect();
            threads.into_iter().map(|t| t.join().expect("no panic")).collect::<Vec<_>>()
        });
        outcomes.extend(finished);
    }
    Comparison { scenario: scenario.name.clone(), outcomes }
}

/// Simulates a scenario with one policy and one seed.
pub fn simulate(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let arrivals = arrivals::generate(scenario, seed);
    match policy.options() {
        Some(options) => cell::simulate(scenario, &arrivals, policy, options, seed),
        None => bound::simulate(scenario, &arrivals, seed),
    }
}
