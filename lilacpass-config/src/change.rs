//! Changes of a configuration: all steps of a change take effect, or none.

use lilacpass_schema::v1::{self, config_op::Op};

use crate::{
    check::{self, Entries, Scope},
    problem::{self, Problem},
};

mod describe;
mod diff;
mod effects;

pub use describe::describe_op;
pub use diff::diff;
pub use effects::{Load, TeamLoad, WorkerLoad, effects};

/// Most steps in one change.
pub const MAX_OPS: usize = 100_000;

/// The configuration after `ops`, or what is wrong with them.
///
/// Only what the steps touch is checked, and what refers to it: `configuration` must have passed
/// [`check::check`]. A step may refer to what a later step adds; only the end result counts.
pub fn apply(
    configuration: &v1::Configuration,
    ops: &[v1::ConfigOp],
) -> Result<v1::Configuration, Vec<Problem>> {
    if ops.is_empty() || ops.len() > MAX_OPS {
        let allowed = format!("1 to {MAX_OPS}");
        let problem = Problem::new("ops", format!("must be {allowed} steps"));
        return Err(vec![problem.with_value(ops.len()).with_allowed(allowed)]);
    }
    let mut draft =
        Draft { configuration: configuration.clone(), scope: Scope::default(), problems: vec![] };
    for (index, op) in ops.iter().enumerate() {
        draft.step(index, op);
    }
    problem::unless(draft.problems, ())?;
    let findings = check::findings(&draft.configuration, &draft.scope);
    problem::unless(findings.into_iter().map(|f| f.problem).collect(), draft.configuration)
}

/// A configuration under change, with what must be checked again.
struct Draft {
    configuration: v1::Configuration,
    scope: Scope,
    problems: Vec<Problem>,
}

impl Draft {
    fn step(&mut self, index: usize, op: &v1::ConfigOp) {
        let Some(op) = &op.op else {
            let problem = Problem::new(format!("ops[{index}]"), "is empty or of an unknown kind");
            self.problems.push(problem);
            return;
        };
        let missing = self.take(op.clone());
        if let Some(name) = missing {
            let problem = Problem::new(format!("ops[{index}]"), "names nothing that is there");
            self.problems.push(problem.with_value(format_args!("{name:?}")));
        }
    }

    /// Takes one step. Returns the name that it refers to and that is not there.
    fn take(&mut self, op: Op) -> Option<String> {
        match op {
            Op::Replace(whole) => {
                self.configuration = whole;
                self.scope = Scope::all();
                None
            }
            Op::UpsertWorker(worker) => {
                self.upsert_worker(worker);
                None
            }
            Op::RemoveWorker(name) => {
                self.scope.capacity_changed();
                remove(&mut self.configuration.workers, |w| &w.name, name)
            }
            Op::DrainWorker(drain) => self.drain_worker(drain),
            Op::SetRules(rules) => {
                self.scope.rules = true;
                self.configuration.rules = Some(rules);
                None
            }
            Op::UpsertTeam(team) => {
                self.scope.teams.add(&team.name);
                upsert(&mut self.configuration.teams, |t| &t.name, team);
                None
            }
            Op::RemoveTeam(name) => {
                self.scope.standing = Entries::All;
                self.scope.tokens = Entries::All;
                self.scope.rules = true;
                remove(&mut self.configuration.teams, |t| &t.name, name)
            }
            Op::UpsertService(service) => {
                // Standing work without a size of its own takes that of its service.
                self.scope.standing = Entries::All;
                self.scope.services.add(&service.name);
                upsert(&mut self.configuration.services, |s| &s.name, service);
                None
            }
            Op::RemoveService(name) => {
                self.scope.standing = Entries::All;
                remove(&mut self.configuration.services, |s| &s.name, name)
            }
            Op::UpsertStanding(standing) => {
                self.scope.standing.add(&standing.name);
                upsert(&mut self.configuration.standing, |s| &s.name, standing);
                None
            }
            Op::RemoveStanding(name) => remove(&mut self.configuration.standing, |s| &s.name, name),
            Op::UpsertToken(token) => {
                self.scope.tokens.add(&token.name);
                upsert(&mut self.configuration.tokens, |t| &t.name, token);
                None
            }
            Op::RemoveToken(name) => remove(&mut self.configuration.tokens, |t| &t.name, name),
            Op::UpsertDataCentre(data_centre) => {
                self.scope.data_centres.add(&data_centre.name);
                upsert(&mut self.configuration.data_centres, |d| &d.name, data_centre);
                None
            }
            Op::RemoveDataCentre(name) => {
                self.scope.workers = Entries::All;
                self.scope.standing = Entries::All;
                remove(&mut self.configuration.data_centres, |d| &d.name, name)
            }
        }
    }

    fn upsert_worker(&mut self, worker: v1::WorkerSpec) {
        self.scope.workers.add(&worker.name);
        // Nothing is asked to fit into a cell without workers, so its first one shows what doesn't.
        let first = self.configuration.workers.is_empty();
        let size = check::capacity(&worker);
        let old = upsert(&mut self.configuration.workers, |w| &w.name, worker);
        if first || old.is_some_and(|old| !check::capacity(&old).fits(&size)) {
            self.scope.capacity_changed();
        }
    }

    fn drain_worker(&mut self, drain: v1::DrainWorker) -> Option<String> {
        match self.configuration.workers.iter_mut().find(|w| w.name == drain.worker) {
            Some(worker) => {
                worker.draining = drain.draining;
                None
            }
            None => Some(drain.worker),
        }
    }
}

/// Puts an entry in the place of the one with its name, which is returned, or at the end.
fn upsert<T>(entries: &mut Vec<T>, name: impl Fn(&T) -> &String, entry: T) -> Option<T> {
    match entries.iter_mut().find(|old| name(old) == name(&entry)) {
        Some(old) => Some(std::mem::replace(old, entry)),
        None => {
            entries.push(entry);
            None
        }
    }
}

/// Removes the entry called `wanted`. Returns the name where there is none.
fn remove<T>(entries: &mut Vec<T>, name: impl Fn(&T) -> &String, wanted: String) -> Option<String> {
    match entries.iter().position(|entry| *name(entry) == wanted) {
        Some(index) => {
            entries.remove(index);
            None
        }
        None => Some(wanted),
    }
}
