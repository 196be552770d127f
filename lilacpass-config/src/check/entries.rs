//! Checks the entries of each section.

use std::collections::{HashMap, HashSet};

use lilacpass_core::{class::Class, resources::Resources};
use lilacpass_schema::v1;

use super::{Cell, Entries, Finding, fit, form};
use crate::{access::Role, problem::Problem};

/// Names that entries of other sections may refer to.
pub(super) struct Names<'a> {
    data_centres: HashSet<&'a str>,
    services: HashMap<&'a str, &'a v1::ServiceSpec>,
    teams: HashSet<&'a str>,
}

impl<'a> Names<'a> {
    pub(super) fn new(configuration: &'a v1::Configuration) -> Self {
        Self {
            data_centres: configuration.data_centres.iter().map(|d| d.name.as_str()).collect(),
            services: configuration.services.iter().map(|s| (s.name.as_str(), s)).collect(),
            teams: configuration.teams.iter().map(|t| t.name.as_str()).collect(),
        }
    }
}

/// Checks entries and collects the problems found.
pub(super) struct Checker<'a> {
    pub(super) names: Names<'a>,
    /// Capacity of the cell; present only if entries are checked whose sizes must fit into it.
    pub(super) cell: Option<Cell>,
    pub(super) findings: Vec<Finding>,
}

/// Identifies the entry of a section to which a problem belongs.
#[derive(Clone, Copy)]
struct Entry<'a> {
    section: &'static str,
    index: usize,
    /// Name of the entry; empty for entries that have none and are identified by their index.
    name: &'a str,
}

impl Checker<'_> {
    pub(super) fn data_centres(&mut self, entries: &[v1::DataCentre], scope: &Entries) {
        for entry in self.section("data_centres", entries, scope, |d| &d.name) {
            let region = &entries[entry.index].region;
            self.report(entry, form::optional_name("region", region));
        }
    }

    pub(super) fn workers(&mut self, entries: &[v1::WorkerSpec], scope: &Entries) {
        if scope.is_empty() {
            return;
        }
        let mut addresses: HashMap<&str, usize> = HashMap::new();
        for entry in self.section("workers", entries, scope, |w| &w.name) {
            let worker = &entries[entry.index];
            self.worker(entry, worker);
            let first = *addresses.entry(&worker.address).or_insert(entry.index);
            self.shared_address(entry, worker, &entries[first]);
        }
        for other in entries.iter().filter(|worker| !scope.contains(&worker.name)) {
            if let Some(&index) = addresses.get(other.address.as_str()) {
                let worker = &entries[index];
                let entry = Entry { section: "workers", index, name: &worker.name };
                self.shared_address(entry, worker, other);
            }
        }
    }

    /// Reports two workers with the same address. Tasks started for one would run on the other, so that the resources
    /// allocated on each worker would no longer limit what runs on the machine.
    fn shared_address(
        &mut self,
        entry: Entry<'_>,
        worker: &v1::WorkerSpec,
        other: &v1::WorkerSpec,
    ) {
        if worker.name != other.name {
            let problem =
                Problem::new("address", format!("is the address of `{}` too", other.name));
            self.report(entry, Some(problem.with_value(&worker.address)));
        }
    }

    fn worker(&mut self, entry: Entry<'_>, worker: &v1::WorkerSpec) {
        if !form::is_address(&worker.address) {
            self.report(entry, Some(form::bad_address(&worker.address)));
        }
        self.report(entry, form::name("rack", &worker.rack));
        let known = self.names.data_centres.contains(worker.data_centre.as_str());
        self.check_reference(entry, "data_centre", &worker.data_centre, known);
        self.report(entry, form::CPU.check(worker.cpu_milli));
        self.report(entry, form::MEMORY.check(worker.memory_mib));
        self.report(entry, form::ACCELERATORS.check(worker.accelerators));
        self.report(entry, form::SLOTS.check(worker.slots));
        self.report(entry, form::CONNECTIONS.check(worker.connections));
    }

    pub(super) fn services(&mut self, entries: &[v1::ServiceSpec], scope: &Entries) {
        for entry in self.section("services", entries, scope, |s| &s.name) {
            let service = &entries[entry.index];
            let each = service.default_each.unwrap_or_default();
            if self.check_size(entry, "default_each", &each) {
                self.check_fit(entry, "default_each", 1, &fit::amount(&each));
            }
            self.report(entry, form::DEADLINE.check(service.default_deadline_ms));
            let mut kinds = HashSet::new();
            for kind in &service.non_idempotent_kinds {
                self.report(entry, form::name("non_idempotent_kinds", kind));
                if !kinds.insert(kind) {
                    let problem = Problem::new("non_idempotent_kinds", "names a kind twice");
                    self.report(entry, Some(problem.with_value(kind)));
                }
            }
        }
    }

    pub(super) fn teams(&mut self, entries: &[v1::Team], scope: &Entries) {
        let total = self.cell.as_ref().map(Cell::total).unwrap_or_default();
        for entry in self.section("teams", entries, scope, |t| &t.name) {
            let team = &entries[entry.index];
            self.report(entry, form::RATE_LIMIT.check(team.rate_limit_per_s));
            let quota = team.quota.as_ref().map(fit::amount).unwrap_or_default();
            if !quota.fits(&total) {
                let message = format!("is more than the whole cell has ({total})");
                let problem = Problem::new("quota", message).with_value(quota);
                self.report(entry, Some(problem.with_allowed(format!("at most {total}"))));
            }
        }
    }

    pub(super) fn standing(&mut self, entries: &[v1::StandingWork], scope: &Entries) {
        for entry in self.section("standing", entries, scope, |s| &s.name) {
            match &entries[entry.index].spec {
                Some(spec) => self.standing_spec(entry, spec),
                None => self.report(entry, Some(Problem::new("spec", "is required"))),
            }
        }
    }

    fn standing_spec(&mut self, entry: Entry<'_>, spec: &v1::JobSpec) {
        let team_known = self.names.teams.contains(spec.team.as_str());
        self.check_reference(entry, "spec.team", &spec.team, team_known);
        let service = self.names.services.get(spec.service.as_str()).copied();
        self.check_reference(entry, "spec.service", &spec.service, service.is_some());
        self.report(entry, form::optional_name("spec.account", &spec.account));
        self.report(entry, form::name("spec.kind", &spec.kind));
        self.class(entry, &spec.class);
        if !spec.standing {
            let problem = Problem::new("spec.standing", "must be true for standing work");
            self.report(entry, Some(problem.with_value(false)));
        }
        if !spec.data_centre.is_empty() {
            let known = self.names.data_centres.contains(spec.data_centre.as_str());
            self.check_reference(entry, "spec.data_centre", &spec.data_centre, known);
        }
        self.report(entry, form::payload(&spec.payload));
        self.report(entry, form::RUN.check(spec.run_ms).map(in_spec));
        self.report(entry, form::TASKS.check(u64::from(spec.tasks)).map(in_spec));
        let declared = spec.each.is_none_or(|each| self.check_size(entry, "spec.each", &each));
        let each = spec.each.or(service.and_then(|s| s.default_each));
        if let Some(each) = each.filter(|_| declared) {
            self.check_fit(entry, "spec.each", u64::from(spec.tasks), &fit::amount(&each));
        }
    }

    fn class(&mut self, entry: Entry<'_>, class: &str) {
        if class.parse::<Class>().is_err() {
            let allowed = Class::ALL.map(Class::as_str).join(", ");
            let problem = Problem::new("spec.class", format!("must be one of {allowed}"));
            let problem = problem.with_value(format_args!("{class:?}"));
            self.report(entry, Some(problem.with_allowed(allowed)));
        }
    }

    pub(super) fn tokens(&mut self, entries: &[v1::AccessToken], scope: &Entries) {
        for entry in self.section("tokens", entries, scope, |t| &t.name) {
            let token = &entries[entry.index];
            self.report(entry, form::token_hash(&token.hash));
            self.report(entry, form::EXPIRY.check(token.expires_unix_s));
            match token.role.parse() {
                Ok(Role::Team) => {
                    let known = self.names.teams.contains(token.team.as_str());
                    self.check_reference(entry, "team", &token.team, known);
                }
                Ok(Role::Operator | Role::ReadOnly) if token.team.is_empty() => {}
                Ok(role) => {
                    let message = format!("must be empty with role {role}");
                    let problem = Problem::new("team", message).with_value(&token.team);
                    self.report(entry, Some(problem));
                }
                Err(_) => {
                    let allowed = Role::ALL.map(Role::as_str).join(", ");
                    let problem = Problem::new("role", format!("must be one of {allowed}"))
                        .with_value(format_args!("{:?}", token.role));
                    self.report(entry, Some(problem.with_allowed(allowed)));
                }
            }
        }
    }

    pub(super) fn rules(&mut self, rules: &v1::Rules) {
        let numbers = [
            form::RESERVE.check(u64::from(rules.urgent_reserve_permille)),
            form::AGING.check(rules.batch_aging_s),
            form::QUARANTINE.check(u64::from(rules.quarantine_cap_permille)),
            form::ATTEMPTS.check(u64::from(rules.max_attempts)),
        ];
        for mut problem in numbers.into_iter().flatten() {
            problem.field.insert_str(0, "rules.");
            self.findings.push(Finding { path: problem.field.clone(), problem });
        }
        let mut seen = HashSet::new();
        for (index, rule) in rules.accounts.iter().enumerate() {
            let entry = Entry { section: "rules.accounts", index, name: "" };
            let known = self.names.teams.contains(rule.team.as_str());
            self.check_reference(entry, "team", &rule.team, known);
            self.report(entry, form::name("account", &rule.account));
            self.report(entry, form::PRIORITY.check(u64::from(rule.priority)));
            if !seen.insert((&rule.team, &rule.account)) {
                let problem = Problem::new("account", "has a rule already");
                self.report(entry, Some(problem.with_value(&rule.account)));
            }
        }
    }

    /// Checks the names of the entries of a section that are in `scope`, and returns these entries.
    fn section<'n, T>(
        &mut self,
        section: &'static str,
        entries: &'n [T],
        scope: &Entries,
        name: impl Fn(&'n T) -> &'n String,
    ) -> Vec<Entry<'n>> {
        if scope.is_empty() {
            return Vec::new();
        }
        let mut seen = HashSet::new();
        let mut in_scope = Vec::new();
        for (index, item) in
            entries.iter().enumerate().filter(|(_, item)| scope.contains(name(item)))
        {
            let entry = Entry { section, index, name: name(item) };
            self.report(entry, form::name("name", entry.name));
            if !seen.insert(entry.name) {
                let problem = Problem::new("name", "is there already");
                self.report(entry, Some(problem.with_value(entry.name)));
            }
            in_scope.push(entry);
        }
        in_scope
    }

    /// Reports a problem if the entry that a field refers to does not exist, that is, if `known` is false.
    fn check_reference(&mut self, entry: Entry<'_>, member: &str, value: &str, known: bool) {
        if !known {
            let what = member.rsplit('.').next().unwrap_or(member).replace('_', " ");
            let problem = Problem::new(member, format!("names no known {what}"));
            self.report(entry, Some(problem.with_value(format_args!("{value:?}"))));
        }
    }

    /// Checks the range of each resource in the size of a task. Returns whether all of them are valid.
    fn check_size(&mut self, entry: Entry<'_>, member: &str, each: &v1::Amount) -> bool {
        let problems = [
            form::CPU.check(each.cpu_milli),
            form::MEMORY.check(each.memory_mib),
            form::ACCELERATORS.check(each.accelerators),
            form::SLOTS.check(each.slots),
        ];
        let ok = problems.iter().all(Option::is_none);
        for problem in problems.into_iter().flatten() {
            let field = format!("{member}.{}", problem.field);
            self.report(entry, Some(Problem { field, ..problem }));
        }
        ok
    }

    /// Reports a problem if the cell cannot hold `tasks` tasks of size `each`.
    ///
    /// A cell without workers is still being set up; the check is made when its first worker is added.
    fn check_fit(&mut self, entry: Entry<'_>, member: &str, tasks: u64, each: &Resources) {
        let Some(cell) = self.cell.as_ref().filter(|cell| !cell.total().is_zero()) else { return };
        let max_tasks = cell.max_tasks(each);
        if max_tasks < tasks {
            let message = match max_tasks {
                0 => "fits no worker".to_owned(),
                _ => format!(
                    "fits {max_tasks} times into the whole cell, {tasks} tasks are asked for"
                ),
            };
            self.report(entry, Some(Problem::new(member, message).with_value(each)));
        }
    }

    /// Records a problem of an entry, if there is one, and prefixes its field with the section and the entry.
    fn report(&mut self, entry: Entry<'_>, problem: Option<Problem>) {
        let Some(mut problem) = problem else { return };
        let Entry { section, index, name } = entry;
        let path = format!("{section}[{index}].{}", problem.field);
        problem.field = match name {
            "" => path.clone(),
            name => format!("{section}[{name}].{}", problem.field),
        };
        self.findings.push(Finding { path, problem });
    }
}

/// Prefixes the field of a problem with `spec.`.
fn in_spec(mut problem: Problem) -> Problem {
    problem.field.insert_str(0, "spec.");
    problem
}
