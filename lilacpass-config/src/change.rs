//! Changes of a configuration: all steps of a change take effect, or none.

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

/// Most steps in one change.
pub const MAX_OPS: usize = 10_000;

/// The configuration after `ops`, or what is wrong with them.
///
/// Only what the steps touch is checked, and what refers to it: `configuration` must have passed
/// [`crate::inventory::check`]. A step may refer to what a later step adds; only the end counts.
pub fn apply(
    configuration: &v1::Configuration,
    ops: &[v1::ConfigOp],
) -> Result<v1::Configuration, Vec<Problem>> {
    let mut changed = configuration.clone();
    apply_to(&mut changed, ops)?;
    Ok(changed)
}

/// As [`apply`], in place: for one who reads many changes of a large configuration, since a copy
/// costs far more than a step. Where the change is refused, `configuration` is as it was.
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
        ops.iter().enumerate().filter_map(|(index, op)| draft.step(index, op)).collect();
    if problems.is_empty() {
        let findings = check::findings(draft.configuration, &draft.scope);
        problems.extend(findings.into_iter().map(|finding| finding.problem));
    }
    if !problems.is_empty() {
        draft.undo();
    }
    problem::unless(problems, ())
}

/// Takes one step back.
type Undo = Box<dyn FnOnce(&mut v1::Configuration)>;
/// A section of a configuration.
type Section<T> = fn(&mut v1::Configuration) -> &mut Vec<T>;
/// The name of an entry.
type Name<T> = fn(&T) -> &str;
/// Nothing has the name that a step refers to.
struct Missing(String);

/// A configuration under change, with what must be checked again and the way back.
struct Draft<'a> {
    configuration: &'a mut v1::Configuration,
    scope: Scope,
    undo: Vec<Undo>,
}

impl<'a> Draft<'a> {
    fn new(configuration: &'a mut v1::Configuration) -> Self {
        Self { configuration, scope: Scope::default(), undo: Vec::new() }
    }

    fn undo(mut self) {
        while let Some(step_back) = self.undo.pop() {
            step_back(self.configuration);
        }
    }

    fn step(&mut self, index: usize, op: &v1::ConfigOp) -> Option<Problem> {
        let field = || format!("ops[{index}]");
        let Some(op) = &op.op else {
            return Some(Problem::new(field(), "is empty or of an unknown kind"));
        };
        let Missing(name) = self.take(op).err()?;
        let problem = Problem::new(field(), "names nothing that is there");
        Some(problem.with_value(format_args!("{name:?}")))
    }

    fn take(&mut self, op: &Op) -> Result<(), Missing> {
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
                // Standing work without a size of its own takes that of its service.
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
        // Nothing is asked to fit into a cell without workers, so its first one shows what doesn't.
        let first = workers.is_empty();
        let size = check::capacity(worker);
        let old = workers.iter().find(|old| old.name == worker.name).map(check::capacity);
        if first || old.is_some_and(|old| !old.fits(&size)) {
            self.scope.capacity_changed();
        }
        self.upsert(|c| &mut c.workers, |w| &w.name, worker);
    }

    fn drain_worker(&mut self, drain: &v1::DrainWorker) -> Result<(), Missing> {
        let workers = &mut self.configuration.workers;
        let index = position(workers, |w| &w.name, &drain.worker)
            .ok_or_else(|| Missing(drain.worker.clone()))?;
        let old = mem::replace(&mut workers[index].draining, drain.draining);
        self.undo.push(Box::new(move |c| c.workers[index].draining = old));
        Ok(())
    }

    /// Puts an entry in the place of the one with its name, or at the end.
    fn upsert<T: Clone + 'static>(&mut self, section: Section<T>, name: Name<T>, entry: &T) {
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

    fn remove<T: 'static>(
        &mut self,
        section: Section<T>,
        name: Name<T>,
        wanted: &str,
    ) -> Result<(), Missing> {
        let entries = section(self.configuration);
        let index = position(entries, name, wanted).ok_or_else(|| Missing(wanted.to_owned()))?;
        let old = entries.remove(index);
        self.undo.push(Box::new(move |c| section(c).insert(index, old)));
        Ok(())
    }
}

fn position<T>(entries: &[T], name: Name<T>, wanted: &str) -> Option<usize> {
    entries.iter().position(|entry| name(entry) == wanted)
}
