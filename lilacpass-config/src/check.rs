//! Validation of a configuration, either of all entries or only of those that a change affects.
//!
//! The result depends on nothing but the configuration, so all members that fold the same log accept and reject the
//! same changes.

use std::collections::BTreeSet;

use lilacpass_schema::v1;

use crate::problem::Problem;

mod entries;
mod fit;
mod form;

pub(crate) use fit::{Cell, amount, capacity};

/// Checks a whole configuration and returns all problems.
pub fn check(configuration: &v1::Configuration) -> Vec<Problem> {
    findings(configuration, &Scope::all()).into_iter().map(|finding| finding.problem).collect()
}

/// A problem together with the path of its value in the configuration.
pub(crate) struct Finding {
    /// Path with the index of the entry, such as `workers[3].address`, by which the value is located in a text.
    pub(crate) path: String,
    /// The problem. Its field identifies the entry by name instead of by index.
    pub(crate) problem: Problem,
}

/// Selects the entries of one section that are checked.
pub(crate) enum Entries {
    /// All entries of the section.
    All,
    /// Only the entries with these names.
    Named(BTreeSet<String>),
}

impl Entries {
    /// Adds the entry with this name.
    pub(crate) fn add(&mut self, name: &str) {
        if let Self::Named(names) = self {
            names.insert(name.to_owned());
        }
    }

    fn contains(&self, name: &str) -> bool {
        match self {
            Self::All => true,
            Self::Named(names) => names.contains(name),
        }
    }

    fn is_empty(&self) -> bool {
        matches!(self, Self::Named(names) if names.is_empty())
    }
}

impl Default for Entries {
    fn default() -> Self {
        Self::Named(BTreeSet::new())
    }
}

/// Selects the entries that are checked. All others are known to be valid.
#[derive(Default)]
pub(crate) struct Scope {
    pub(crate) data_centres: Entries,
    pub(crate) workers: Entries,
    pub(crate) services: Entries,
    pub(crate) standing: Entries,
    pub(crate) teams: Entries,
    pub(crate) tokens: Entries,
    pub(crate) rules: bool,
}

impl Scope {
    /// Selects every entry and the rules.
    pub(crate) fn all() -> Self {
        Self {
            data_centres: Entries::All,
            workers: Entries::All,
            services: Entries::All,
            standing: Entries::All,
            teams: Entries::All,
            tokens: Entries::All,
            rules: true,
        }
    }

    /// Adds all entries whose sizes must fit into the cell. Called if the cell's capacity shrinks or if it gets its
    /// first worker, since such entries may no longer fit.
    pub(crate) fn capacity_changed(&mut self) {
        self.services = Entries::All;
        self.standing = Entries::All;
        self.teams = Entries::All;
    }
}

/// Checks the entries that `scope` selects.
pub(crate) fn findings(configuration: &v1::Configuration, scope: &Scope) -> Vec<Finding> {
    let needs_cell =
        [&scope.services, &scope.standing, &scope.teams].iter().any(|entries| !entries.is_empty());
    let cell = needs_cell.then(|| Cell::new(&configuration.workers));
    let names = entries::Names::new(configuration);
    let mut checker = entries::Checker { names, cell, findings: Vec::new() };
    checker.data_centres(&configuration.data_centres, &scope.data_centres);
    checker.workers(&configuration.workers, &scope.workers);
    checker.services(&configuration.services, &scope.services);
    checker.teams(&configuration.teams, &scope.teams);
    checker.standing(&configuration.standing, &scope.standing);
    checker.tokens(&configuration.tokens, &scope.tokens);
    if let Some(rules) = configuration.rules.as_ref().filter(|_| scope.rules) {
        checker.rules(rules);
    }
    checker.findings
}
