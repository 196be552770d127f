//! What came of a comparison, as a table and as JSON.

use std::{fs, path::Path};

use comfy_table::{Table, presets};
use serde::Serialize;

use crate::{
    error::{Error, Result},
    outcome::Outcome,
};

/// A comparison.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// Name of the scenario.
    pub scenario: String,
    /// Plays, by policy and seed.
    pub outcomes: Vec<Outcome>,
}

impl Comparison {
    /// Plays of each policy, in the order in which the policies were named.
    pub fn by_policy(&self) -> Vec<(&str, Vec<&Outcome>)> {
        let mut policies: Vec<(&str, Vec<&Outcome>)> = Vec::new();
        for outcome in &self.outcomes {
            match policies.iter_mut().find(|(name, _)| *name == outcome.policy) {
                Some((_, plays)) => plays.push(outcome),
                None => policies.push((&outcome.policy, vec![outcome])),
            }
        }
        policies
    }

    /// A row a policy: means over the seeds, and the least worth of them.
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
        for (policy, plays) in self.by_policy() {
            table.add_row(row(policy, &plays));
        }
        table.to_string()
    }

    /// Writes all of it as JSON.
    pub fn write_json(&self, path: &Path) -> Result<()> {
        let file = |err| Error::File(path.to_owned(), err);
        let text = serde_json::to_string_pretty(self).map_err(|err| file(err.into()))?;
        fs::write(path, text).map_err(file)
    }
}

fn row(policy: &str, plays: &[&Outcome]) -> Vec<String> {
    let least = plays.iter().map(|play| play.worth).fold(f64::INFINITY, f64::min);
    let used = match plays.iter().all(|play| play.use_by_s.is_empty()) {
        true => "-".to_owned(),
        false => format!("{:.2}", mean_of(plays, |play| mean(&play.use_by_s))),
    };
    let p99_us = plays.iter().map(|play| play.decisions.p99_us).max().unwrap_or(0);
    let mut cells = vec![
        policy.to_owned(),
        format!("{:.3}", mean_of(plays, |play| play.worth)),
        format!("{least:.3}"),
        used,
        format!("{:.0} core-s", mean_of(plays, |play| play.thrown_away_core_s)),
        format!("{p99_us} us"),
    ];
    let classes = plays.first().map_or(0, |play| play.classes.len());
    for number in 0..classes {
        let worth = mean_of(plays, |play| play.classes[number].worth);
        let wait_ms = plays.iter().map(|play| play.classes[number].wait_p99_ms).max().unwrap_or(0);
        cells.push(format!("{worth:.3} ({wait_ms} ms)"));
    }
    cells
}

fn mean_of(plays: &[&Outcome], value: impl Fn(&&Outcome) -> f64) -> f64 {
    mean(&plays.iter().map(value).collect::<Vec<f64>>())
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / (values.len() as f64).max(1.0)
}
