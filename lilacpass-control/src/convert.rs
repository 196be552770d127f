//! Conversions between schema messages and core types.

use std::time::Duration;

use lilacpass_core::{
    Class, Resources, Verdict,
    ids::{AccountId, AttemptNo, InstanceId, JobId, KindId, ServiceId, TaskId, TeamId, WorkerId},
    size::{Accelerators, Mebibytes, Millicores, PerSecond, Slots},
};
use lilacpass_decide::{Outcome, Policy, TaskMeta, TeamShare};
use lilacpass_schema::v1;

/// Size of a task that neither the request nor the service declares.
const DEFAULT_EACH: Resources = Resources {
    cpu: Millicores(1_000),
    memory: Mebibytes(512),
    accelerators: Accelerators(0),
    slots: Slots(1),
};

/// Reads an amount of resources.
pub(crate) fn resources(amount: &v1::Amount) -> Resources {
    Resources::new(amount.cpu_milli, amount.memory_mib, amount.accelerators, amount.slots)
}

/// Writes an amount of resources.
pub(crate) fn amount(resources: &Resources) -> v1::Amount {
    v1::Amount {
        cpu_milli: resources.cpu.0,
        memory_mib: resources.memory.0,
        accelerators: resources.accelerators.0,
        slots: resources.slots.0,
    }
}

/// Capacity of a worker as the inventory declares it.
pub(crate) fn capacity(worker: &v1::WorkerSpec) -> Resources {
    Resources::new(worker.cpu_milli, worker.memory_mib, worker.accelerators, worker.slots)
}

/// What a task of `spec` is given; each task takes at least one slot.
pub(crate) fn task_size(spec: &v1::JobSpec) -> Resources {
    let declared = spec.each.as_ref().map(resources).filter(|each| !each.is_zero());
    let mut each = declared.unwrap_or(DEFAULT_EACH);
    each.slots.0 = each.slots.0.max(1);
    each
}

/// Class of `spec`; work of an unknown class counts as batch.
pub(crate) fn class(spec: &v1::JobSpec) -> Class {
    spec.class.parse().unwrap_or(Class::Batch)
}

/// Number of tasks of `spec`, at least one.
pub(crate) fn task_count(spec: &v1::JobSpec) -> u32 {
    spec.tasks.max(1)
}

/// What decisions have to know of a task of `spec`.
pub(crate) fn meta(spec: &v1::JobSpec) -> TaskMeta {
    TaskMeta {
        team: TeamId::new(&spec.team),
        account: (!spec.account.is_empty()).then(|| AccountId::new(&spec.account)),
        service: ServiceId::new(&spec.service),
        kind: KindId::new(&spec.kind),
        class: class(spec),
        idempotent: spec.idempotent,
        checkpointable: spec.checkpointable,
        standing: spec.standing,
    }
}

/// Declared run time of `spec`, where there is one.
pub(crate) fn declared_run(spec: &v1::JobSpec) -> Option<Duration> {
    (spec.run_ms > 0).then(|| Duration::from_millis(spec.run_ms))
}

/// Writes the key of a task.
pub(crate) fn task_key(task: &TaskId) -> v1::TaskKey {
    v1::TaskKey { job_id: task.job.to_string(), attempt: task.attempt.0, index: task.index }
}

/// Reads the key of a task; `None` where the job id is malformed.
pub(crate) fn task_id(key: &v1::TaskKey) -> Option<TaskId> {
    let job: JobId = key.job_id.parse().ok()?;
    Some(TaskId { job, attempt: AttemptNo(key.attempt), index: key.index })
}

/// Reads a worker's name.
pub(crate) fn worker_id(name: &str) -> WorkerId {
    WorkerId::new(name)
}

/// Reads an entry instance's name.
pub(crate) fn instance_id(name: &str) -> InstanceId {
    InstanceId::new(name)
}

/// Writes a verdict.
pub(crate) fn verdict_to_schema(verdict: Verdict) -> v1::Verdict {
    match verdict {
        Verdict::NotRun => v1::Verdict::NotRun,
        Verdict::MayHaveRun => v1::Verdict::MayHaveRun,
        Verdict::Ran => v1::Verdict::Ran,
    }
}

/// Reads a verdict; an unspecified one proves nothing.
pub(crate) fn verdict_from_schema(verdict: v1::Verdict) -> Verdict {
    match verdict {
        v1::Verdict::NotRun => Verdict::NotRun,
        v1::Verdict::Ran => Verdict::Ran,
        v1::Verdict::MayHaveRun | v1::Verdict::Unspecified => Verdict::MayHaveRun,
    }
}

/// What the pool of workers learns from the end of a task.
pub(crate) fn pool_outcome(outcome: v1::TaskOutcome) -> Outcome {
    match outcome {
        v1::TaskOutcome::Succeeded => Outcome::Succeeded,
        v1::TaskOutcome::Failed => Outcome::Failed,
        v1::TaskOutcome::Stopped | v1::TaskOutcome::Checkpointed => Outcome::Stopped,
        v1::TaskOutcome::NotStarted => Outcome::NotStarted,
        v1::TaskOutcome::Lapsed | v1::TaskOutcome::Unknown | v1::TaskOutcome::Unspecified => {
            Outcome::Lost
        }
    }
}

/// The rules that decisions follow, from the configuration in force.
pub(crate) fn policy(configuration: &v1::Configuration) -> Policy {
    let rules = configuration.rules.clone().unwrap_or_default();
    let default = Policy::default();
    let share = |team: &v1::Team| TeamShare {
        team: TeamId::new(&team.name),
        quota: team.quota.as_ref().map(resources).unwrap_or_default(),
        may_borrow: team.may_borrow,
        rate_limit: (team.rate_limit_per_s > 0).then_some(PerSecond(team.rate_limit_per_s)),
    };
    let account = |rule: &v1::AccountRule| {
        (TeamId::new(&rule.team), AccountId::new(&rule.account), rule.priority)
    };
    Policy {
        teams: configuration.teams.iter().map(share).collect(),
        accounts: rules.accounts.iter().map(account).collect(),
        urgent_reserve_permille: (rules.urgent_reserve_permille > 0)
            .then_some(rules.urgent_reserve_permille),
        batch_aging: match rules.batch_aging_s {
            0 => default.batch_aging,
            seconds => Duration::from_secs(seconds),
        },
        preempt_non_idempotent: rules.preempt_non_idempotent,
        throttle: false,
        quarantine_cap_permille: match rules.quarantine_cap_permille {
            0 => default.quarantine_cap_permille,
            permille => permille,
        },
    }
}

/// A duration in whole milliseconds, as messages carry it.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
