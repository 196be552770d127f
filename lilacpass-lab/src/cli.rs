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

/// Compares policies of the leader on a model of a cell.
#[derive(Debug, Parser)]
#[command(name = "lilacpass-lab", version)]
pub struct Args {
    /// Scenarios: TOML files.
    #[arg(required = true)]
    pub scenarios: Vec<PathBuf>,
    /// Policies to compare, with commas between; `all` for each there is.
    #[arg(long, default_value = "bound,today,first-fit,least-loaded,random,two-choices")]
    pub policies: String,
    /// Seeds, with commas between.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    pub seeds: Vec<u64>,
    /// Plays at the same time.
    #[arg(long, default_value_t = 4)]
    pub jobs: usize,
    /// Where to write all figures as JSON; with several scenarios each replaces `{}` by its name.
    #[arg(long)]
    pub json: Option<String>,
    /// Folder for plots.
    #[arg(long)]
    pub plots: Option<PathBuf>,
}

/// Runs the tool.
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

/// Plays each policy with each seed, `jobs` at a time.
pub fn compare(scenario: &Scenario, policies: &[Policy], seeds: &[u64], jobs: usize) -> Comparison {
    let pairs = policies.iter().flat_map(|policy| seeds.iter().map(move |seed| (*policy, *seed)));
    let pairs: Vec<(Policy, u64)> = pairs.collect();
    let mut outcomes = Vec::with_capacity(pairs.len());
    for chunk in pairs.chunks(jobs.max(1)) {
        let played = thread::scope(|scope| {
            let plays: Vec<_> = chunk
                .iter()
                .map(|&(policy, seed)| scope.spawn(move || play(scenario, policy, seed)))
                .collect();
            plays.into_iter().map(|play| play.join().expect("a play ends")).collect::<Vec<_>>()
        });
        outcomes.extend(played);
    }
    Comparison { scenario: scenario.name.clone(), outcomes }
}

/// Plays a policy.
pub fn play(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let arrivals = arrivals::draw(scenario, seed);
    match policy.options() {
        Some(options) => cell::play(scenario, &arrivals, policy, options, seed),
        None => bound::play(scenario, &arrivals, seed),
    }
}
