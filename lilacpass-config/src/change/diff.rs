//! Computes the steps that transform one configuration into another.

use std::collections::HashMap;

use lilacpass_schema::v1::{self, config_op::Op};

use super::MAX_OPS;

/// Returns the steps that transform `old` into `new`.
///
/// Applying them with [`super::apply`] yields the same entries as `new`, but possibly in a different order. If `old`
/// is empty or more than [`MAX_OPS`] steps would be needed, the result is a single step that replaces everything.
pub fn diff(old: &v1::Configuration, new: &v1::Configuration) -> Vec<v1::ConfigOp> {
    if old == new {
        return Vec::new();
    }
    let mut ops = sections(old, new);
    if *old == v1::Configuration::default() || ops.len() > MAX_OPS {
        ops = vec![Op::Replace(new.clone())];
    }
    ops.into_iter().map(|op| v1::ConfigOp { op: Some(op) }).collect()
}

/// Returns the steps for all sections of the configuration.
fn sections(old: &v1::Configuration, new: &v1::Configuration) -> Vec<Op> {
    let mut ops = Vec::new();
    section(
        &mut ops,
        &old.data_centres,
        &new.data_centres,
        |d| &d.name,
        |_, new| Op::UpsertDataCentre(new.clone()),
        Op::RemoveDataCentre,
    );
    section(&mut ops, &old.workers, &new.workers, |w| &w.name, worker_op, Op::RemoveWorker);
    section(
        &mut ops,
        &old.services,
        &new.services,
        |s| &s.name,
        |_, new| Op::UpsertService(new.clone()),
        Op::RemoveService,
    );
    section(
        &mut ops,
        &old.teams,
        &new.teams,
        |t| &t.name,
        |_, new| Op::UpsertTeam(new.clone()),
        Op::RemoveTeam,
    );
    section(
        &mut ops,
        &old.standing,
        &new.standing,
        |s| &s.name,
        |_, new| Op::UpsertStanding(new.clone()),
        Op::RemoveStanding,
    );
    section(
        &mut ops,
        &old.tokens,
        &new.tokens,
        |t| &t.name,
        |_, new| Op::UpsertToken(new.clone()),
        Op::RemoveToken,
    );
    if old.rules.clone().unwrap_or_default() != new.rules.clone().unwrap_or_default() {
        ops.push(Op::SetRules(new.rules.clone().unwrap_or_default()));
    }
    ops
}

/// Appends the steps for one section: first those for added and modified entries, then those for removed entries.
fn section<T: PartialEq>(
    ops: &mut Vec<Op>,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &String,
    upsert: impl Fn(Option<&T>, &T) -> Op,
    remove: impl Fn(String) -> Op,
) {
    let before: HashMap<&String, &T> = old.iter().map(|entry| (name(entry), entry)).collect();
    let after: HashMap<&String, &T> = new.iter().map(|entry| (name(entry), entry)).collect();
    let changed = new.iter().filter(|entry| before.get(name(entry)) != Some(entry));
    ops.extend(changed.map(|entry| upsert(before.get(name(entry)).copied(), entry)));
    let removed = old.iter().filter(|entry| !after.contains_key(name(entry)));
    ops.extend(removed.map(|entry| remove(name(entry).clone())));
}

/// Returns the step for an added or modified worker.
///
/// If only the `draining` flag differs, the step sets just this flag. An upsert would also write the sizes of the
/// worker and thereby undo a concurrent change to them, though the operator only meant to drain it.
fn worker_op(old: Option<&v1::WorkerSpec>, new: &v1::WorkerSpec) -> Op {
    let only_drain =
        old.is_some_and(|old| v1::WorkerSpec { draining: new.draining, ..old.clone() } == *new);
    if only_drain {
        Op::DrainWorker(v1::DrainWorker { worker: new.name.clone(), draining: new.draining })
    } else {
        Op::UpsertWorker(new.clone())
    }
}
