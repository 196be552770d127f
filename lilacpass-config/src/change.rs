//! Changes to a configuration. A change is atomic: either all of its steps take effect, or none of them does.

use std::mem;

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

/// Maximum number of steps in one change.
pub const MAX_OPS: usize = 10_000;

/// Returns the configuration that results from applying `ops`, or the problems that they cause.
///
/// Only entries that the steps modify, and entries that refer to those, are checked, so `configuration` must already
/// have passed [`crate::inventory::check`]. Only the final state is checked: a step may refer to an entry that a
/// later step adds.
pub fn apply(
    configuration: &v1::Configuration,
    ops: &[v1::ConfigOp],
) -> Result<v1::Configuration, Vec<Problem>> {
    let mut changed = configuration.clone();
    apply_to(&mut changed, ops)?;
    Ok(changed)
}

/// Like [`apply`], but modifies the configuration in place. If the change is rejected, `configuration` is restored.
///
/// Use this to replay many changes of a large configuration, where copying costs far more than applying a step.
pub fn apply_to(
    configuration: &mut v1::Configuration,
    ops: &[v1::ConfigOp],
) -> Result<(), Vec<Problem>> {
    if ops.is_empty() || ops.len() > MAX_OPS {
        let allowed = format!("1 to {MAX_OPS}");
        let problem = Problem::new("ops", format!("must be {allowed} steps"));
        return Err(vec![problem.with_value(ops.len()).with_allowed(allowed)]);
    }
    let mut draft = Draft::new(configuration);
    let mut problems: Vec<_> =
        ops.iter().enumerate().filter_map(|(index, op)| draft.apply(index, op)).collect();
    if problems.is_empty() {
        let findings = check::findings(draft.configuration, &draft.scope);
        problems.extend(findings.into_iter().map(|finding| finding.problem));
    }
    if !problems.is_empty() {
        draft.roll_back();
    }
    problem::ok_if_none(problems, ())
}

/// Reverts one step.
type Undo = Box<dyn FnOnce(&mut v1::Configuration)>;
/// Selects a section of a configuration.
type Section<T> = fn(&mut v1::Configuration) -> &mut Vec<T>;
/// Returns the name of an entry.
type NameOf<T> = fn(&T) -> &str;
/// Error of a step that refers to an entry by a name that does not exist.
struct UnknownName(String);

/// A configuration that is being changed.
struct Draft<'a> {
    configuration: &'a mut v1::Configuration,
    /// Entries that must be checked once all steps have been applied.
    scope: Scope,
    /// Actions that revert the applied steps, in the order of the steps.
    undo: Vec<Undo>,
}

impl<'a> Draft<'a> {
    fn new(configuration: &'a mut v1::Configuration) -> Self {
        Self { configuration, scope: Scope::default(), undo: Vec::new() }
    }

    /// Reverts all applied steps, the last one first.
    fn roll_back(mut self) {
        while let Some(undo) = self.undo.pop() {
            undo(self.configuration);
        }
    }

    /// Applies step number `index` of a change. Returns a problem if the step is malformed or refers to an unknown
    /// name.
    fn apply(&mut self, index: usize, op: &v1::ConfigOp) -> Option<Problem> {
        let field = || format!("ops[{index}]");
        let Some(op) = &op.op else {
            return Some(Problem::new(field(), "is empty or of an unknown kind"));
        };
        let UnknownName(name) = self.apply_op(op).err()?;
        let problem = Problem::new(field(), "names nothing that is there");
        Some(problem.with_value(format_args!("{name:?}")))
    }

    /// Applies one step and adds to the scope every entry whose validity may depend on it.
    fn apply_op(&mut self, op: &Op) -> Result<(), UnknownName> {
        match op {
            Op::Replace(whole) => self.replace(whole),
            Op::UpsertWorker(worker) => self.upsert_worker(worker),
            Op::RemoveWorker(name) => {
                self.scope.capacity_changed();
                self.remove(|c| &mut c.workers, |w| &w.name, name)?;
            }
            Op::DrainWorker(drain) => self.drain_worker(drain)?,
            Op::SetRules(rules) => self.set_rules(rules),
            Op::UpsertTeam(team) => {
                self.scope.teams.add(&team.name);
                self.upsert(|c| &mut c.teams, |t| &t.name, team);
            }
            Op::RemoveTeam(name) => {
                self.scope.standing = Entries::All;
                self.scope.tokens = Entries::All;
                self.scope.rules = true;
                self.remove(|c| &mut c.teams, |t| &t.name, name)?;
            }
            Op::UpsertService(service) => {
                // Standing work that declares no task size uses the default size of its service.
                self.scope.standing = Entries::All;
                self.scope.services.add(&service.name);
                self.upsert(|c| &mut c.services, |s| &s.name, service);
            }
            Op::RemoveService(name) => {
                self.scope.standing = Entries::All;
                self.remove(|c| &mut c.services, |s| &s.name, name)?;
            }
            Op::UpsertStanding(standing) => {
                self.scope.standing.add(&standing.name);
                self.upsert(|c| &mut c.standing, |s| &s.name, standing);
            }
            Op::RemoveStanding(name) => self.remove(|c| &mut c.standing, |s| &s.name, name)?,
            Op::UpsertToken(token) => {
                self.scope.tokens.add(&token.name);
                self.upsert(|c| &mut c.tokens, |t| &t.name, token);
            }
            Op::RemoveToken(name) => self.remove(|c| &mut c.tokens, |t| &t.name, name)?,
            Op::UpsertDataCentre(data_centre) => {
                self.scope.data_centres.add(&data_centre.name);
                self.upsert(|c| &mut c.data_centres, |d| &d.name, data_centre);
            }
            Op::RemoveDataCentre(name) => {
                self.scope.workers = Entries::All;
                self.scope.standing = Entries::All;
                self.remove(|c| &mut c.data_centres, |d| &d.name, name)?;
            }
        }
        Ok(())
    }

    fn replace(&mut self, whole: &v1::Configuration) {
        self.scope = Scope::all();
        let old = mem::replace(self.configuration, whole.clone());
        self.undo.push(Box::new(|configuration| *configuration = old));
    }

    fn set_rules(&mut self, rules: &v1::Rules) {
        self.scope.rules = true;
        let old = self.configuration.rules.replace(rules.clone());
        self.undo.push(Box::new(|configuration| configuration.rules = old));
    }

    fn upsert_worker(&mut self, worker: &v1::WorkerSpec) {
        self.scope.workers.add(&worker.name);
        let workers = &self.configuration.workers;
        // Sizes are not checked against a cell without workers, so the first worker requires checking all of them.
        let first = workers.is_empty();
        let size = check::capacity(worker);
        let old = workers.iter().find(|old| old.name == worker.name).map(check::capacity);
        if first || old.is_some_and(|old| !old.fits(&size)) {
            self.scope.capacity_changed();
        }
        self.upsert(|c| &mut c.workers, |w| &w.name, worker);
    }

    fn drain_worker(&mut self, drain: &v1::DrainWorker) -> Result<(), UnknownName> {
        let workers = &mut self.configuration.workers;
        let index = position(workers, |w| &w.name, &drain.worker)
            .ok_or_else(|| UnknownName(drain.worker.clone()))?;
        let old = mem::replace(&mut workers[index].draining, drain.draining);
        self.undo.push(Box::new(move |c| c.workers[index].draining = old));
        Ok(())
    }

    /// Replaces the entry with the same name, or appends the entry if there is none.
    fn upsert<T: Clone + 'static>(&mut self, section: Section<T>, name: NameOf<T>, entry: &T) {
        let entries = section(self.configuration);
        match position(entries, name, name(entry)) {
            Some(index) => {
                let old = mem::replace(&mut entries[index], entry.clone());
                self.undo.push(Box::new(move |c| section(c)[index] = old));
            }
            None => {
                entries.push(entry.clone());
                self.undo.push(Box::new(move |c| drop(section(c).pop())));
            }
        }
    }

    /// Removes the entry named `wanted`, or returns an error if there is none.
    fn remove<T: 'static>(
        &mut self,
        section: Section<T>,
        name: NameOf<T>,
        wanted: &str,
    ) -> Result<(), UnknownName> {
        let entries = section(self.configuration);
        let index =
            position(entries, name, wanted).ok_or_else(|| UnknownName(wanted.to_owned()))?;
        let old = entries.remove(index);
        self.undo.push(Box::new(move |c| section(c).insert(index, old)));
        Ok(())
    }
}

/// Returns the index of the entry named `wanted`.
fn position<T>(entries: &[T], name: NameOf<T>, wanted: &str) -> Option<usize> {
    entries.iter().position(|entry| name(entry) == wanted)
}
