//! The report of a comparison, as a table and as JSON.

use std::{fs, path::Path};

use comfy_table::{Table, presets};
use serde::Serialize;

use crate::{
    error::{Error, Result},
    outcome::Outcome,
};

/// The results of a comparison of policies.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// Name of the scenario.
    pub scenario: String,
    /// Results of the simulations, by policy and seed.
    pub outcomes: Vec<Outcome>,
}

impl Comparison {
    /// Returns the results grouped by policy, in the order of the command line.
    pub fn by_policy(&self) -> Vec<(&str, Vec<&Outcome>)> {
        let mut policies: Vec<(&str, Vec<&Outcome>)> = Vec::new();
        for outcome in &self.outcomes {
            match policies.iter_mut().find(|(name, _)| *name == outcome.policy) {
                Some((_, outcomes)) => outcomes.push(outcome),
                None => policies.push((&outcome.policy, vec![outcome])),
            }
        }
        policies
    }

    /// Returns a table with one row per policy. Worths, `use` and `thrown away` are means over the seeds; `least` is
    /// the lowest worth of a seed, and the 99th percentiles are the highest of all seeds.
    pub fn table(&self) -> String {
        let mut table = Table::new();
        table.load_style(presets::NOTHING);
        let mut header: Vec<String> =
            ["policy", "worth", "least", "use", "thrown away", "decision p99"]
                .map(str::to_owned)
                .to_vec();
        let classes = self.outcomes.first().map(|outcome| &outcome.classes);
        let names = classes.into_iter().flatten().map(|class| format!("{} (p99 wait)", class.name));
        header.extend(names);
        table.set_header(header);
        for (policy, outcomes) in self.by_policy() {
            table.add_row(row(policy, &outcomes));
        }
        table.to_string()
    }

    /// Writes all results as JSON.
    pub fn write_json(&self, path: &Path) -> Result<()> {
        let file_error = |err| Error::File(path.to_owned(), err);
        let text = serde_json::to_string_pretty(self).map_err(|err| file_error(err.into()))?;
        fs::write(path, text).map_err(file_error)
    }
}

fn row(policy: &str, outcomes: &[&Outcome]) -> Vec<String> {
    let least = outcomes.iter().map(|outcome| outcome.worth).fold(f64::INFINITY, f64::min);
    let used = match outcomes.iter().all(|outcome| outcome.use_by_s.is_empty()) {
        true => "-".to_owned(),
        false => format!("{:.2}", mean_of(outcomes, |outcome| mean(&outcome.use_by_s))),
    };
    let p99_us = outcomes.iter().map(|outcome| outcome.decisions.p99_us).max().unwrap_or(0);
    let mut cells = vec![
        policy.to_owned(),
        format!("{:.3}", mean_of(outcomes, |outcome| outcome.worth)),
        format!("{least:.3}"),
        used,
        format!("{:.0} core-s", mean_of(outcomes, |outcome| outcome.thrown_away_core_s)),
        format!("{p99_us} us"),
    ];
    let classes = outcomes.first().map_or(0, |outcome| outcome.classes.len());
    for number in 0..classes {
        let worth = mean_of(outcomes, |outcome| outcome.classes[number].worth);
        let wait_ms =
            outcomes.iter().map(|outcome| outcome.classes[number].wait_p99_ms).max().unwrap_or(0);
        cells.push(format!("{worth:.3} ({wait_ms} ms)"));
    }
    cells
}

fn mean_of(outcomes: &[&Outcome], value: impl Fn(&&Outcome) -> f64) -> f64 {
    mean(&outcomes.iter().map(value).collect::<Vec<f64>>())
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / (values.len() as f64).max(1.0)
}
