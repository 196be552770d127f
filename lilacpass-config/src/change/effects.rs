//! Predicts how a change would affect running work, so that operators can review the effects before applying it.

use std::collections::HashMap;

use lilacpass_core::{
    ids::{TeamId, WorkerId},
    resources::Resources,
};
use lilacpass_schema::v1::{self, config_op::Op};

use crate::check::{self, Cell};

/// The work that is currently running, as far as the caller knows.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Workers that run tasks.
    pub workers: Vec<WorkerLoad>,
    /// Teams that have running tasks.
    pub teams: Vec<TeamLoad>,
}

/// The load of one worker.
#[derive(Clone, Debug)]
pub struct WorkerLoad {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Number of tasks that run on the worker.
    pub tasks: u64,
}

/// The resources that one team uses.
#[derive(Clone, Debug)]
pub struct TeamLoad {
    /// Name of the team.
    pub team: TeamId,
    /// Total resources allocated to the team's tasks.
    pub allocated: Resources,
}

/// Describes the effects of changing the configuration from `old` to `new` under the current `load`, one line each:
/// for example, tasks that would move or stop and quotas that would become limiting.
pub fn effects(old: &v1::Configuration, new: &v1::Configuration, load: &Load) -> Vec<String> {
    let current = CurrentState::new(old, load);
    let steps = match super::diff(old, new).as_slice() {
        [v1::ConfigOp { op: Some(Op::Replace(_)) }] => Vec::new(),
        steps => steps.to_vec(),
    };
    let steps = steps.iter().filter_map(|step| step.op.as_ref());
    let mut lines: Vec<String> = steps.filter_map(|step| current.effect(step)).collect();
    lines.extend(size_change(old, new));
    lines.extend(overcommitted_quotas(new));
    lines
}

/// The old configuration and the current load, indexed by name.
struct CurrentState<'a> {
    /// Number of running tasks by worker.
    tasks: HashMap<&'a str, u64>,
    /// Allocated resources by team.
    allocated: HashMap<&'a str, &'a Resources>,
    workers: HashMap<&'a str, &'a v1::WorkerSpec>,
    teams: HashMap<&'a str, &'a v1::Team>,
    standing: HashMap<&'a str, &'a v1::StandingWork>,
    rules: v1::Rules,
}

impl<'a> CurrentState<'a> {
    fn new(old: &'a v1::Configuration, load: &'a Load) -> Self {
        Self {
            tasks: load.workers.iter().map(|w| (w.worker.as_str(), w.tasks)).collect(),
            allocated: load.teams.iter().map(|t| (t.team.as_str(), &t.allocated)).collect(),
            workers: old.workers.iter().map(|w| (w.name.as_str(), w)).collect(),
            teams: old.teams.iter().map(|t| (t.name.as_str(), t)).collect(),
            standing: old.standing.iter().map(|s| (s.name.as_str(), s)).collect(),
            rules: old.rules.clone().unwrap_or_default(),
        }
    }

    /// Describes the effect of one step, or returns `None` if there is none worth reporting.
    fn effect(&self, step: &Op) -> Option<String> {
        match step {
            Op::UpsertWorker(worker) => self.worker_effect(worker),
            Op::RemoveWorker(name) => Some(match self.tasks_on(name) {
                0 => format!("worker {name} goes; nothing runs on it"),
                tasks => format!("worker {name} goes with {tasks} tasks running: drain it first"),
            }),
            Op::DrainWorker(drain) => Some(self.drain_effect(drain)),
            Op::UpsertTeam(team) => self.team_effect(team),
            Op::RemoveTeam(name) => {
                Some(format!("team {name} goes; its requests are refused and its quota is free"))
            }
            Op::RemoveService(name) => {
                Some(format!("service {name} goes; requests for it are refused"))
            }
            Op::UpsertStanding(standing) => Some(match self.standing.get(standing.name.as_str()) {
                Some(_) => format!("standing work {} stops and starts anew", standing.name),
                None => format!("standing work {} starts", standing.name),
            }),
            Op::RemoveStanding(name) => Some(format!("standing work {name} stops")),
            Op::RemoveToken(name) => Some(format!("token {name} no longer counts")),
            Op::SetRules(rules) => Some(self.rules_effect(rules)),
            Op::Replace(_)
            | Op::UpsertService(_)
            | Op::UpsertToken(_)
            | Op::UpsertDataCentre(_)
            | Op::RemoveDataCentre(_) => None,
        }
    }

    fn tasks_on(&self, worker: &str) -> u64 {
        self.tasks.get(worker).copied().unwrap_or_default()
    }

    fn worker_effect(&self, new: &v1::WorkerSpec) -> Option<String> {
        let old = self.workers.get(new.name.as_str())?;
        let name = &new.name;
        let tasks = self.tasks_on(name);
        if (&old.address, &old.data_centre) != (&new.address, &new.data_centre) {
            return Some(format!(
                "worker {name} is another machine from now on; \
                 {tasks} tasks on the old one end as lost to it"
            ));
        }
        if old.rack != new.rack {
            return Some(format!("worker {name} goes to rack {} and its holder", new.rack));
        }
        let (from, to) = (check::capacity(old), check::capacity(new));
        let drain = (new.draining && !old.draining)
            .then(|| self.drain_effect(&v1::DrainWorker { worker: name.clone(), draining: true }));
        let size = (!from.fits(&to)).then(|| {
            format!("worker {name} shrinks from {from} to {to} with {tasks} tasks running")
        });
        drain.or(size)
    }

    fn drain_effect(&self, drain: &v1::DrainWorker) -> String {
        let name = &drain.worker;
        match (drain.draining, self.tasks_on(name)) {
            (false, _) => format!("worker {name} takes new work again"),
            (true, 0) => format!("worker {name} takes no new work; nothing runs on it"),
            (true, tasks) => {
                format!("worker {name} takes no new work; {tasks} tasks end there or move")
            }
        }
    }

    fn team_effect(&self, new: &v1::Team) -> Option<String> {
        let old = self.teams.get(new.name.as_str())?;
        let (from, to) = (quota(old), quota(new));
        let allocated = self.allocated.get(new.name.as_str()).copied().copied().unwrap_or_default();
        if !allocated.fits(&to) {
            let consequence =
                if new.may_borrow { "the rest is borrowed" } else { "its new work waits" };
            return Some(format!(
                "team {} has {allocated}, its quota binds at {to}: {consequence}",
                new.name
            ));
        }
        (from != to).then(|| format!("team {} has quota {to} in place of {from}", new.name))
    }

    fn rules_effect(&self, new: &v1::Rules) -> String {
        let old = &self.rules;
        let parts = [
            (old.accounts != new.accounts).then(|| "order of accounts".to_owned()),
            changed_value(
                "urgent_reserve_permille",
                old.urgent_reserve_permille,
                new.urgent_reserve_permille,
            ),
            changed_value("batch_aging_s", old.batch_aging_s, new.batch_aging_s),
            changed_value(
                "preempt_non_idempotent",
                old.preempt_non_idempotent,
                new.preempt_non_idempotent,
            ),
            changed_value(
                "quarantine_cap_permille",
                old.quarantine_cap_permille,
                new.quarantine_cap_permille,
            ),
            changed_value("max_attempts", old.max_attempts, new.max_attempts),
        ];
        format!("rules change: {}", parts.into_iter().flatten().collect::<Vec<_>>().join(", "))
    }
}

/// Describes the change of one rule, or returns `None` if its value stays the same.
fn changed_value<T: PartialEq + std::fmt::Display>(name: &str, old: T, new: T) -> Option<String> {
    (old != new).then(|| format!("{name} from {old} to {new}"))
}

/// Returns the quota of a team; zero if none is configured.
fn quota(team: &v1::Team) -> Resources {
    team.quota.as_ref().map(check::amount).unwrap_or_default()
}

/// Describes how the number of workers and the total capacity of the cell change, if the total changes.
fn size_change(old: &v1::Configuration, new: &v1::Configuration) -> Option<String> {
    let (from, to) = (Cell::new(&old.workers).total(), Cell::new(&new.workers).total());
    let (before, after) = (old.workers.len(), new.workers.len());
    (from != to).then(|| format!("the cell has {after} workers, {to} in place of {before}, {from}"))
}

/// Describes by how much the quotas overcommit the cell, if they do.
///
/// A change is rejected if a single quota exceeds the cell's capacity, but the sum of all quotas may exceed it.
fn overcommitted_quotas(new: &v1::Configuration) -> Option<String> {
    let total = Cell::new(&new.workers).total();
    let promised = new.teams.iter().map(quota).fold(Resources::ZERO, |sum, q| sum.plus(&q));
    (!promised.fits(&total))
        .then(|| format!("quotas promise {promised}, which is more than the cell has ({total})"))
}
