//! Scheduling decisions of lilacpass, as functions of state, event and the present time.
//!
//! Nothing here performs I/O, reads a clock or starts a thread; equal input gives equal decisions.
//!
//! - [`pool`]: the workers of a holder, what is given there, placement, gangs, preemption and
//!   quarantine.
//! - [`sched`]: admission and order of quick requests at a holder.
//! - [`jobs`]: the order of the jobs that wait at a driver.
//! - [`route`]: the holder that an entry instance forwards a request to.
//! - [`retry`], [`budget`]: what follows on a failed attempt.
//! - [`learned`]: sizes and run times per kind of job.
//! - [`share`], [`rules`]: quotas of teams and the rules of the operators.

pub mod budget;
pub mod jobs;
pub mod learned;
mod map;
pub mod pool;
pub mod retry;
pub mod route;
pub mod rules;
pub mod sched;
pub mod share;
pub mod task;

pub use crate::{
    budget::RetryBudget,
    jobs::{JobQueue, WaitReason, WaitingJob, WaitingSince},
    learned::Learned,
    pool::{Blame, How, NoPlace, Pool, PoolDigest, PoolOptions, Preempt, Reason, WorkerSpec},
    retry::{Failure, Next, Phase},
    route::HolderDigest,
    rules::{Policy, Rules, TeamShare},
    sched::{Cancelled, Decision, QuickTask, Refusal, RefusalReason, Scheduler, SchedulerOptions},
    share::TeamUsage,
    task::{Given, HoldId, Outcome, Released, TaskMeta},
};
