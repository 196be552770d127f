//! Builders that the tests share.

#![allow(dead_code, reason = "each test file uses some of them")]

use std::time::Duration;

use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{AttemptNo, DataCentreId, JobId, KindId, RackId, ServiceId, TaskId, TeamId, WorkerId},
};
use lilacpass_decide::{
    Decision, Pool, PoolOptions, QuickTask, Scheduler, SchedulerOptions, TaskMeta, WorkerSpec,
};

/// Operations of one list.
const OPS: usize = 250;

pub(crate) fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// 64 cores, 256 GiB, no accelerator, 8 slots.
pub(crate) fn whole_worker() -> Resources {
    Resources::new(64_000, 262_144, 0, 8)
}

/// One slot and an eighth of the rest.
pub(crate) fn one_slot() -> Resources {
    Resources::new(8_000, 32_768, 0, 1)
}

pub(crate) fn slots(n: u64) -> Resources {
    Resources::new(8_000 * n, 32_768 * n, 0, n)
}

pub(crate) fn worker_id(n: usize) -> WorkerId {
    WorkerId::new(format!("w{n:04}"))
}

pub(crate) fn spec(n: usize) -> WorkerSpec {
    WorkerSpec {
        id: worker_id(n),
        data_centre: DataCentreId::new("hal-a"),
        rack: RackId::new(format!("rack-{}", n / 8)),
        capacity: whole_worker(),
        draining: false,
        connections: 64,
    }
}

pub(crate) fn fill_pool(pool: &mut Pool, workers: usize) {
    for n in 0..workers {
        pool.upsert_worker(spec(n), at(0));
        pool.set_limit(&worker_id(n), whole_worker(), at(0));
    }
}

pub(crate) fn pool(workers: usize) -> Pool {
    let mut pool = Pool::new(PoolOptions::default());
    fill_pool(&mut pool, workers);
    pool
}

pub(crate) fn scheduler(workers: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions::default());
    fill_pool(&mut scheduler.pool, workers);
    scheduler
}

pub(crate) fn meta(class: Class) -> TaskMeta {
    TaskMeta {
        team: TeamId::new("team"),
        account: None,
        service: ServiceId::new("service"),
        kind: KindId::new(class.as_str()),
        class,
        idempotent: true,
        checkpointable: false,
        standing: class == Class::Standing,
    }
}

pub(crate) fn team_meta(class: Class, team: &str) -> TaskMeta {
    TaskMeta { team: TeamId::new(team), ..meta(class) }
}

pub(crate) fn task(n: u64) -> TaskId {
    TaskId { job: JobId(u128::from(n)), attempt: AttemptNo(1), index: 0 }
}

pub(crate) fn quick(n: u64, meta: TaskMeta, deadline: MonoTime) -> QuickTask {
    QuickTask { task: task(n), need: one_slot(), meta, deadline, run_declared: Some(ms(100)) }
}

/// The tasks that a dispatch started.
pub(crate) fn started(decisions: &[Decision]) -> Vec<TaskId> {
    let start = |decision: &Decision| match decision {
        Decision::Start { task, .. } => Some(*task),
        _ => None,
    };
    decisions.iter().filter_map(start).collect()
}

/// The tasks that a dispatch refused.
pub(crate) fn refused(decisions: &[Decision]) -> Vec<TaskId> {
    let refuse = |decision: &Decision| match decision {
        Decision::Refuse { task, .. } => Some(*task),
        _ => None,
    };
    decisions.iter().filter_map(refuse).collect()
}

/// Calls `run` with `count` lists of operations.
pub(crate) fn fuzz<Op>(count: u64, run: impl Fn(&[Op]) + std::panic::RefUnwindSafe)
where
    Op: bolero::TypeGenerator + std::fmt::Debug + std::panic::RefUnwindSafe + 'static,
{
    lilacpass_fuzz::check_lists(count, OPS..=OPS, run);
}
