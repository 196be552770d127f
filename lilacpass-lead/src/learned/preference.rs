//! Which steps prefer fast workers, and how the preference enters the order of workers.

use lilacpass_jobs::Job;
use lilacpass_schema::v1;

use super::speeds::SpeedBucket;
use crate::rank;

/// A job has little slack if it is late when it takes this much longer than its chain of steps. A slow worker
/// makes a task of a second late by about as much.
const MAX_LITTLE_SLACK_MS: u64 = 2_000;
/// Workers at least this fast are fast: 1.2 times the mean or more.
const MIN_FAST: SpeedBucket = SpeedBucket(1);
/// Workers at most this fast are slow beyond what kinds of workers differ by: half the mean speed or less.
const MAX_SLOW: SpeedBucket = SpeedBucket(-4);

/// Number of buckets by which a worker is much faster than another one: twice as fast.
const MIN_MUCH_FASTER: i8 = 4;

/// Which workers a step prefers by their speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SpeedPreference {
    /// Speed is ignored.
    #[default]
    Any,
    /// Faster workers, even outside the home data centre.
    Faster,
    /// Workers that are not fast, within the home data centre.
    Slower,
}

impl SpeedPreference {
    /// The part of the preference for a worker that is compared before the home data centre.
    pub fn class(self, bucket: SpeedBucket) -> i8 {
        match self {
            Self::Faster if bucket >= MIN_FAST => 1,
            Self::Faster if bucket <= MAX_SLOW => -1,
            Self::Faster | Self::Any | Self::Slower => 0,
        }
    }

    /// The part of the preference for a worker that is compared after the home data centre.
    pub fn order(self, bucket: SpeedBucket) -> i8 {
        match self {
            Self::Any => 0,
            Self::Faster => bucket.0,
            // All others are preferred alike: these tasks are spread, so that the loss of a worker ends few of them.
            Self::Slower => -i8::from(is_fast(bucket)),
        }
    }
}

/// Whether workers in this bucket are fast.
pub fn is_fast(bucket: SpeedBucket) -> bool {
    bucket >= MIN_FAST
}

/// Whether a worker in this bucket is slow beyond what kinds of workers differ by, and `other` is at least twice as fast.
pub fn is_much_slower(bucket: SpeedBucket, other: SpeedBucket) -> bool {
    bucket <= MAX_SLOW && other.0 >= bucket.0 + MIN_MUCH_FASTER
}

/// Returns which workers a step prefers. `most_urgent_priority` is the lowest priority number of an open job that
/// terminates, and `duration_ms` predicts how long the tasks of a step take.
///
/// Long-running tasks and filling tasks earn by the time that they run and leave the fast workers to others. A job of
/// the most urgent queues with little slack prefers fast workers. Steps that use accelerators ignore speed, because
/// they are packed so that unused workers remain.
pub fn of_step(
    job: &Job,
    plan: &v1::WorkStep,
    most_urgent_priority: u32,
    duration_ms: impl Fn(&v1::WorkStep) -> u64,
) -> SpeedPreference {
    if plan.accelerators > 0 {
        return SpeedPreference::Any;
    }
    if plan.lasting || plan.fills {
        return SpeedPreference::Slower;
    }
    let is_urgent = job.queue.priority <= most_urgent_priority;
    if is_urgent && slack_ms(job, duration_ms) <= MAX_LITTLE_SLACK_MS {
        return SpeedPreference::Faster;
    }
    SpeedPreference::Any
}

/// How much longer than its predicted chain of steps a job may take before it is late, in ms.
fn slack_ms(job: &Job, duration_ms: impl Fn(&v1::WorkStep) -> u64) -> u64 {
    let chain_ms = rank::longest_chain_ms(job, duration_ms);
    let stretch = job.queue.stretch.max(1.0) - 1.0;
    u64::from(job.queue.objective_ms) + (stretch * chain_ms as f64) as u64
}
