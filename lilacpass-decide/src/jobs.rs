//! The order of the jobs that wait at a driver. A job may be a gang of several tasks.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{JobId, TeamId},
};

use crate::{
    map::Map,
    rules::Policy,
    share::{Shares, TeamUsage},
    task::TaskMeta,
};

/// A job that waits to be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingJob {
    /// The job.
    pub job: JobId,
    /// Whose it is and how it may be treated.
    pub meta: TaskMeta,
    /// What each of its tasks needs.
    pub each: Resources,
    /// The number of its tasks, which are placed all at once.
    pub tasks: u32,
    /// Since when it waits.
    pub since: MonoTime,
}

/// Why a job waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// Others go first.
    Behind,
    /// It is the first in line.
    Next,
    /// Its team has used up its quota and may not borrow.
    OverQuota,
    /// It was tried and found no room; it is tried again later.
    NoRoom,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Behind => "behind",
            Self::Next => "next",
            Self::OverQuota => "over_quota",
            Self::NoRoom => "no_room",
        })
    }
}

/// Why and how long a job waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingSince {
    /// Why.
    pub reason: WaitReason,
    /// The jobs ahead of it.
    pub ahead: u32,
    /// How long it has waited.
    pub waited: Duration,
}

/// One in so many jobs is the oldest of those that have waited too long, whatever their class.
const PICKS_PER_AGED: u32 = 4;

/// Place in the line of a team: account priority, time, job.
type Key = (Reverse<u32>, MonoTime, JobId);

#[derive(Clone, Debug)]
struct Entry {
    job: WaitingJob,
    key: Key,
    retry_at: Option<MonoTime>,
}

impl Entry {
    fn total(&self) -> Resources {
        let times = u64::from(self.job.tasks);
        let Resources { cpu, memory, accelerators, slots } = self.job.each;
        Resources::new(
            cpu.0.saturating_mul(times),
            memory.0.saturating_mul(times),
            accelerators.0.saturating_mul(times),
            slots.0.saturating_mul(times),
        )
    }

    fn is_parked(&self, now: MonoTime) -> bool {
        self.retry_at.is_some_and(|at| !at.reached(now))
    }
}

/// The jobs that wait at a driver.
///
/// A job that can't be placed is parked by [`JobQueue::retry_at`] and blocks no other.
#[derive(Clone, Debug, Default)]
pub struct JobQueue {
    policy: Policy,
    shares: Shares,
    jobs: Map<JobId, Entry>,
    lines: BTreeMap<(Class, TeamId), BTreeSet<Key>>,
    by_age: BTreeSet<(MonoTime, JobId)>,
    picks_since_aged: u32,
}

impl JobQueue {
    /// An empty queue under the default rules.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts other rules into force. Jobs that wait keep the account priority that they had.
    pub fn set_policy(&mut self, policy: Policy) {
        self.shares = Shares::new(&policy);
        self.policy = policy;
    }

    /// Adds a job, or replaces it.
    pub fn push(&mut self, job: WaitingJob) {
        self.remove(&job.job);
        let priority = self.shares.priority(&job.meta.team, job.meta.account.as_ref());
        let key = (Reverse(priority), job.since, job.job);
        let line = (job.meta.class, job.meta.team.clone());
        self.lines.entry(line).or_default().insert(key);
        if job.meta.class == Class::Batch {
            self.by_age.insert((job.since, job.job));
        }
        self.jobs.insert(job.job, Entry { job, key, retry_at: None });
    }

    /// Takes a job out, once it is placed or gone.
    pub fn remove(&mut self, job: &JobId) -> Option<WaitingJob> {
        let entry = self.jobs.remove(job)?;
        let line = (entry.job.meta.class, entry.job.meta.team.clone());
        if let Some(keys) = self.lines.get_mut(&line) {
            keys.remove(&entry.key);
            if keys.is_empty() {
                self.lines.remove(&line);
            }
        }
        self.by_age.remove(&(entry.job.since, entry.job.job));
        Some(entry.job)
    }

    /// Leaves a job out until `at`, because it found no room.
    pub fn retry_at(&mut self, job: &JobId, at: MonoTime) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.retry_at = Some(at);
        }
    }

    /// Ends all waiting set by `retry_at`, such as after room came free or the inventory changed.
    pub fn retry_all(&mut self) {
        self.jobs.values_mut().for_each(|entry| entry.retry_at = None);
    }

    /// A job that waits.
    pub fn get(&self, job: &JobId) -> Option<&WaitingJob> {
        self.jobs.get(job).map(|entry| &entry.job)
    }

    /// The number of jobs that wait.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether a job is batch work that has waited too long, and now and then goes before others.
    pub fn is_aged(&self, job: &JobId, now: MonoTime) -> bool {
        self.jobs.get(job).is_some_and(|entry| {
            entry.job.meta.class == Class::Batch
                && now.since(entry.job.since) >= self.policy.batch_aging
        })
    }

    /// The next jobs to place, at most `n`, the first one first. They stay in the queue.
    pub fn next(&mut self, usage: &TeamUsage, now: MonoTime, n: usize) -> Vec<JobId> {
        let (order, picks) = self.order(usage, now, n);
        self.picks_since_aged = picks;
        order
    }

    /// Why a job waits, and for how long.
    pub fn explain(&self, job: &JobId, usage: &TeamUsage, now: MonoTime) -> Option<WaitingSince> {
        let entry = self.jobs.get(job)?;
        let (order, _) = self.order(usage, now, usize::MAX);
        let position = order.iter().position(|j| j == job);
        let used = usage.given(&entry.job.meta.team);
        let reason = match position {
            _ if entry.is_parked(now) => WaitReason::NoRoom,
            _ if !self.shares.may_take(&entry.job.meta.team, &used, &entry.total()) => {
                WaitReason::OverQuota
            }
            Some(0) => WaitReason::Next,
            _ => WaitReason::Behind,
        };
        let ahead = u32::try_from(position.unwrap_or(order.len())).unwrap_or(u32::MAX);
        Some(WaitingSince { reason, ahead, waited: now.since(entry.job.since) })
    }

    /// The order of the jobs that may be placed now, and the picks since the last aged one.
    fn order(&self, usage: &TeamUsage, now: MonoTime, n: usize) -> (Vec<JobId>, u32) {
        let mut usage = usage.clone();
        let mut order = Vec::new();
        let mut picked = BTreeSet::new();
        let mut picks = self.picks_since_aged;
        let mut aged = self.aged(now);
        for class in Class::ALL {
            let mut lines: Vec<_> = self
                .lines
                .iter()
                .filter(|((c, _), _)| *c == class)
                .map(|((_, team), keys)| (team, keys.iter().peekable()))
                .collect();
            while order.len() < n {
                if picks >= PICKS_PER_AGED
                    && let Some(job) = aged.find(|job| !picked.contains(job))
                {
                    self.pick(&job, &mut usage, &mut order, &mut picked);
                    picks = 0;
                    continue;
                }
                lines.retain_mut(|(_, keys)| keys.peek().is_some());
                let rank =
                    |team: &TeamId| self.shares.rank(team, &usage.given(team), &usage.capacity);
                let Some((team, keys)) = lines.iter_mut().min_by_key(|(team, _)| rank(team)) else {
                    break;
                };
                let Some((_, _, job)) = keys.next() else { continue };
                let entry = &self.jobs[job];
                let fits_quota = self.shares.may_take(team, &usage.given(team), &entry.total());
                if entry.is_parked(now) || !fits_quota || picked.contains(job) {
                    continue;
                }
                self.pick(job, &mut usage, &mut order, &mut picked);
                picks += 1;
            }
        }
        (order, picks)
    }

    fn pick(
        &self,
        job: &JobId,
        usage: &mut TeamUsage,
        order: &mut Vec<JobId>,
        picked: &mut BTreeSet<JobId>,
    ) {
        let entry = &self.jobs[job];
        usage.add(&entry.job.meta.team, &entry.total());
        order.push(*job);
        picked.insert(*job);
    }

    /// Batch jobs that have waited too long and are not parked, the oldest first.
    fn aged(&self, now: MonoTime) -> impl Iterator<Item = JobId> {
        self.by_age
            .iter()
            .take_while(move |(since, _)| now.since(*since) >= self.policy.batch_aging)
            .map(|(_, job)| *job)
            .filter(move |job| !self.jobs[job].is_parked(now))
    }
}
