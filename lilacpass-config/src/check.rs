//! Checks of a configuration: all of it, or only what a change touched.
//!
//! The verdict is a function of the configuration alone, so that every member that folds the same
//! log accepts and refuses the same changes.

use std::collections::BTreeSet;

use lilacpass_schema::v1;

use crate::problem::Problem;

mod entries;
mod fit;
mod form;

pub(crate) use fit::{Cell, amount, capacity};

/// What is wrong with a configuration.
pub fn check(configuration: &v1::Configuration) -> Vec<Problem> {
    findings(configuration, &Scope::all()).into_iter().map(|finding| finding.problem).collect()
}

/// A problem together with the place of its entry in the configuration.
pub(crate) struct Finding {
    /// Path by position, such as `workers[3].address`, which finds the place in a text.
    pub(crate) path: String,
    /// The problem, whose field names the entry.
    pub(crate) problem: Problem,
}

/// Which entries of one section are checked.
pub(crate) enum Entries {
    /// All of them.
    All,
    /// Those with these names.
    Named(BTreeSet<String>),
}

impl Entries {
    /// Adds one entry.
    pub(crate) fn add(&mut self, name: &str) {
        if let Self::Named(names) = self {
            names.insert(name.to_owned());
        }
    }

    fn has(&self, name: &str) -> bool {
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

/// What is checked; everything else is known to be right.
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
    /// Everything.
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

    /// The cell has less than before, or its first worker: what was promised may not fit.
    pub(crate) fn capacity_changed(&mut self) {
        self.services = Entries::All;
        self.standing = Entries::All;
        self.teams = Entries::All;
    }
}

/// Checks what is in `scope`.
pub(crate) fn findings(configuration: &v1::Configuration, scope: &Scope) -> Vec<Finding> {
    let needs_cell =
        [&scope.services, &scope.standing, &scope.teams].iter().any(|entries| !entries.is_empty());
    let cell = needs_cell.then(|| Cell::of(&configuration.workers));
    let names = entries::Names::of(configuration);
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
