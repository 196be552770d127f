//! Runs one case of the second review: `review-standin-2 CASE RECORD`. With `TROUBLE=0` it leaves out the disruption.
//! Exits with 1 if a rule was broken, with 0 if all held, and with 2 if the case could not run.

mod cell;
mod fillers;
mod flaky_watchers;
mod http;
mod long_tasks;
mod lost_together;
mod store;
mod world;

use std::{env, process::ExitCode};

/// What came of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case.as_str() {
        "long-tasks" => long_tasks::run(record, trouble),
        "flaky-watchers" => flaky_watchers::run(record, trouble),
        "fillers" => fillers::run(record, trouble),
        "lost-together" => lost_together::run(record, trouble),
        _ => Ok(Outcome::NotRun(format!("no case {case}"))),
    };
    match outcome {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(1),
        Ok(Outcome::NotRun(reason)) => {
            eprintln!("not run: {reason}");
            ExitCode::from(2)
        }
        Err(err) => {
            eprintln!("not run: {err}");
            ExitCode::from(2)
        }
    }
}
