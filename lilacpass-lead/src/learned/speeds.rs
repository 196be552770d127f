//! Learns how fast each worker is, from the durations of runs of the same step.
//!
//! The model is additive in the logarithm of the duration: the length of the step's tasks minus the speed of the
//! worker. The speed of a worker is that of its kind plus a difference of its own, which counts the more, the more of
//! its runs have ended lately. The speed of a kind is the median of its workers, so a worker that reports wrong
//! durations changes little beyond its own speed. All speeds are logarithms to base 2, relative to the mean of the pool.

use std::collections::BTreeMap;

use lilacpass_core::hash_map::HashMap;
use lilacpass_jobs::WorkerName;
use serde::Serialize;

/// Width of a bucket, as a logarithm.
const BUCKET_LOG2: f64 = 0.25;
/// A speed changes its bucket once it is this far from the middle of its bucket. More than half a bucket, so that a
/// speed at the edge of two buckets does not change all the time.
const MIN_CHANGE_LOG2: f64 = 0.2;
/// The own difference of a worker counts from here on if it is slower than its kind, and if it is faster. Tasks of a step
/// differ by 15 %, and a few of them take several times as long, which leaves larger differences to the slow side on
/// workers that are alike.
const MIN_OWN_LOG2: (f64, f64) = (-0.4, 0.28);
/// Bounds of the own difference of a worker. It may become 8 times slower than its kind, but what it reports makes it at
/// most 2.4 times faster.
const OWN_RANGE_LOG2: (f64, f64) = (-3.0, 1.25);
/// A run counts with at most this difference from its worker's speed, because a few tasks of a step take several times
/// as long as the others.
const MAX_SURPRISE_LOG2: f64 = 0.6;
/// The same limit after `MIN_SURPRISES` runs in a row that were as surprising in the same direction, so that a worker that
/// becomes several times slower is noticed within a few runs.
const MAX_REPEATED_SURPRISE_LOG2: f64 = 1.5;
/// Two slow tasks in a row are seen every second in a pool of 500 ends a second, three every minute.
const MIN_SURPRISES: i32 = 2;
/// Number of runs that the speed of a worker is averaged over at most.
const MAX_WEIGHT: f64 = 6.0;
/// Number of runs that the speed of the worker's kind counts as, beside the worker's own.
const KIND_WEIGHT: f64 = 2.0;
/// Number of runs that the mean of the pool counts as, beside those of a kind.
const POOL_WEIGHT: f64 = 6.0;
/// Half-life of the weight of a worker's runs. A worker of which no runs end returns to the speed of its kind within
/// about 10 s, and is tried again.
const WEIGHT_HALF_LIFE_MS: f64 = 3_000.0;
/// The half-life becomes longer by this factor with the runs that agree with the worker's speed. Otherwise, in a pool
/// where the speeds don't follow the labels, workers that are always slow would be tried again and again.
const MAX_HALF_LIFE_FACTOR: f64 = 4.0;
/// Number of such runs for each increase of the half-life by itself.
const RUNS_PER_HALF_LIFE: f64 = 8.0;
/// Half-life with which the runs of a worker count for its kind. Long, because the median of the kind would otherwise be
/// that of the few workers that are preferred at the moment.
const EVIDENCE_HALF_LIFE_MS: f64 = 60_000.0;
/// Half-life of the speed of a kind of which hardly any runs end.
const KIND_HALF_LIFE_MS: f64 = 60_000.0;
/// With fewer recent runs than this, the speed of a kind is not computed anew.
const MIN_KIND_RUNS: f64 = 4.0;
/// Number of changes of single workers that a review logs.
const MAX_LOGGED_CHANGES: usize = 2;

/// A speed relative to the pool in steps of a quarter of a power of two. 0 is the mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SpeedBucket(pub i8);

/// A run that ended successfully, and how long it took.
#[derive(Clone, Debug)]
pub struct TimedRun {
    /// The worker that it ran on.
    pub worker: WorkerName,
    /// The time from the confirmation of its start until the leader heard of its end, in ms.
    pub duration_ms: u64,
}

/// The speeds of all workers.
#[derive(Debug, Default)]
pub struct Speeds {
    workers: HashMap<WorkerName, WorkerSpeed>,
    kinds: BTreeMap<Kind, KindSpeed>,
    last_review_ms: u64,
}

/// Workers that are expected to be alike: those of one service with the same first label.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Kind {
    service: String,
    label: String,
}

/// What is known of the speed of a kind of workers.
#[derive(Debug, Default)]
struct KindSpeed {
    speed_log2: f64,
    bucket: i8,
    workers: u64,
}

/// What is known of the speed of one worker.
#[derive(Debug)]
struct WorkerSpeed {
    kind: Kind,
    /// Mean of its runs.
    mean_log2: f64,
    /// Number of runs in the mean, with decay.
    weight: f64,
    /// Number of runs that count for its kind, with a slower decay.
    evidence: f64,
    /// Number of the last runs in a row that agreed with the mean.
    agreeing_runs: f64,
    /// When the weight was last updated, on the monotonic clock.
    updated_ms: u64,
    /// Number of the last runs in a row that were surprising in the same direction, negative if they were slow.
    surprises: i32,
    /// The speed that its runs are expected to have, as of the last review.
    expected_log2: f64,
    /// Its own difference from its kind, in buckets.
    own_bucket: i8,
    bucket: SpeedBucket,
    reviewed_ms: u64,
}

/// The speeds of the workers of one kind, relative to their pool.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct KindStatus {
    /// The service of the workers.
    pub service: String,
    /// Their first label.
    pub kind: String,
    /// Number of registered workers.
    pub workers: u64,
    /// The speed of the kind.
    pub speed: f64,
    /// The speed of the slowest of these workers.
    pub slowest: f64,
    /// The speed of the fastest of these workers.
    pub fastest: f64,
}

impl WorkerSpeed {
    fn new(kind: Kind, kind_log2: f64, now_ms: u64) -> Self {
        Self {
            kind,
            mean_log2: kind_log2,
            weight: 0.0,
            evidence: 0.0,
            agreeing_runs: 0.0,
            updated_ms: now_ms,
            surprises: 0,
            expected_log2: kind_log2,
            own_bucket: 0,
            bucket: SpeedBucket::default(),
            reviewed_ms: now_ms,
        }
    }

    /// Reduces the weight by its decay since the last update.
    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let factor = (1.0 + self.agreeing_runs / RUNS_PER_HALF_LIFE).min(MAX_HALF_LIFE_FACTOR);
        self.weight *= (-elapsed_ms / (WEIGHT_HALF_LIFE_MS * factor)).exp2();
        self.evidence *= (-elapsed_ms / EVIDENCE_HALF_LIFE_MS).exp2();
        self.updated_ms = now_ms;
    }

    /// Adds a run of this speed. `weight` is at most 1.
    fn add_run(&mut self, speed_log2: f64, weight: f64, now_ms: u64) {
        self.decay(now_ms);
        let surprise = speed_log2 - self.mean_log2;
        let direction = surprise.signum() as i32;
        let in_a_row = (self.surprises * direction).max(0);
        let max =
            if in_a_row >= MIN_SURPRISES { MAX_REPEATED_SURPRISE_LOG2 } else { MAX_SURPRISE_LOG2 };
        let is_surprising = surprise.abs() > MAX_SURPRISE_LOG2;
        self.surprises =
            if is_surprising { (in_a_row + 1).min(MIN_SURPRISES) * direction } else { 0 };
        self.agreeing_runs = if is_surprising { 0.0 } else { self.agreeing_runs + 1.0 };
        self.weight = (self.weight + weight).min(MAX_WEIGHT);
        self.evidence = (self.evidence + weight).min(MAX_WEIGHT);
        self.mean_log2 += surprise.clamp(-max, max) * weight / self.weight;
    }

    /// The speed that its runs are compared at. The cautious estimate would not do: while all runs of steps are on fast
    /// workers, these would seem to be as fast as that estimate says, and so slower with each run.
    fn compared_log2(&self) -> f64 {
        if self.evidence > 0.0 { self.mean_log2 } else { self.expected_log2 }
    }

    /// The own difference from a kind of this speed.
    fn own_log2(&self, kind_log2: f64) -> f64 {
        let share = self.weight / (self.weight + KIND_WEIGHT);
        ((self.mean_log2 - kind_log2) * share).clamp(OWN_RANGE_LOG2.0, OWN_RANGE_LOG2.1)
    }
}

impl Speeds {
    /// The speed of a worker relative to the mean of its pool.
    pub fn relative(&self, worker: &WorkerName) -> f64 {
        self.workers.get(worker).map_or(1.0, |speed| speed.expected_log2.exp2())
    }

    /// Learns from runs of one step. Each run is compared with the median of the others.
    pub fn compare_runs(&mut self, runs: &[TimedRun], now_ms: u64) {
        // The length of the task, on a worker of mean speed, according to each run.
        let mut lengths: Vec<(f64, &TimedRun)> = runs
            .iter()
            .filter_map(|run| {
                let speed = self.workers.get(&run.worker)?;
                Some(((run.duration_ms.max(1) as f64).log2() + speed.compared_log2(), run))
            })
            .collect();
        lengths.sort_by(|(length, _), (other, _)| length.total_cmp(other));
        let others = lengths.len().saturating_sub(1);
        if others == 0 {
            return;
        }
        for (index, (_, run)) in lengths.iter().enumerate() {
            // The list without the run itself.
            let without = |at: usize| lengths[at + usize::from(at >= index)].0;
            let median = f64::midpoint(without((others - 1) / 2), without(others / 2));
            let speed_log2 = median - (run.duration_ms.max(1) as f64).log2();
            // The fewer others there are, the less is known of the length of the task.
            let weight = others as f64 / (others + 1) as f64;
            if let Some(speed) = self.workers.get_mut(&run.worker) {
                speed.add_run(speed_log2, weight, now_ms);
            }
        }
    }

    /// Updates the speeds of the registered workers, each given with its service and first label. Forgets all others.
    /// Returns the workers whose buckets have changed.
    pub fn review<'a>(
        &mut self,
        workers: impl Iterator<Item = (&'a WorkerName, &'a str, &'a str)>,
        now_ms: u64,
    ) -> Vec<(WorkerName, SpeedBucket)> {
        let names: Vec<&WorkerName> = workers
            .map(|(name, service, label)| {
                self.update_membership(name, service, label, now_ms);
                name
            })
            .collect();
        self.workers.retain(|_, speed| speed.reviewed_ms == now_ms);
        self.update_kinds(&names, now_ms);
        self.last_review_ms = now_ms;
        self.update_buckets(&names)
    }

    /// Adds a worker if it is new, or of another kind than before.
    fn update_membership(&mut self, name: &WorkerName, service: &str, label: &str, now_ms: u64) {
        let known = self.workers.get_mut(name);
        if let Some(speed) = known
            && speed.kind.service == service
            && speed.kind.label == label
        {
            speed.reviewed_ms = now_ms;
            return speed.decay(now_ms);
        }
        let kind = Kind { service: service.to_owned(), label: label.to_owned() };
        let former_bucket = self.workers.get(name).map(|speed| speed.bucket).unwrap_or_default();
        let kind_log2 = self.kinds.entry(kind.clone()).or_default().speed_log2;
        let speed = WorkerSpeed::new(kind, kind_log2, now_ms);
        self.workers.insert(name.clone(), WorkerSpeed { bucket: former_bucket, ..speed });
    }

    /// Computes the speed of each kind from its workers, so that the mean of the workers of each service is 0.
    fn update_kinds(&mut self, names: &[&WorkerName], now_ms: u64) {
        let mut runs_by_kind: BTreeMap<&Kind, Vec<(f64, f64)>> = BTreeMap::new();
        let mut sums: BTreeMap<&str, (f64, u64)> = BTreeMap::new();
        for speed in names.iter().filter_map(|name| self.workers.get(*name)) {
            let (sum, workers) = sums.entry(&speed.kind.service).or_default();
            *sum += speed.expected_log2;
            *workers += 1;
            let runs = runs_by_kind.entry(&speed.kind).or_default();
            runs.push((speed.mean_log2, speed.evidence));
        }
        let elapsed_ms = now_ms.saturating_sub(self.last_review_ms) as f64;
        let kept_share = (-elapsed_ms / KIND_HALF_LIFE_MS).exp2();
        let means: BTreeMap<String, f64> = sums
            .into_iter()
            .map(|(service, (sum, workers))| (service.to_owned(), sum / workers as f64))
            .collect();
        let mean_of = |service: &str| means.get(service).copied().unwrap_or_default();
        self.kinds.retain(|kind, _| runs_by_kind.contains_key(kind));
        for (kind, speed) in &mut self.kinds {
            let runs = runs_by_kind.get_mut(kind).map(Vec::as_mut_slice).unwrap_or_default();
            speed.workers = runs.len() as u64;
            speed.speed_log2 = match median_speed(runs) {
                Some((median, runs)) => median * runs / (runs + POOL_WEIGHT),
                None => speed.speed_log2 * kept_share,
            };
            speed.speed_log2 -= mean_of(&kind.service);
            speed.update_bucket(kind);
        }
        for speed in self.workers.values_mut() {
            speed.mean_log2 -= mean_of(&speed.kind.service);
        }
    }

    /// Updates the buckets of the workers, and returns those that have changed.
    fn update_buckets(&mut self, names: &[&WorkerName]) -> Vec<(WorkerName, SpeedBucket)> {
        let mut changes = Vec::new();
        let mut logged = 0;
        for &name in names {
            let Some(speed) = self.workers.get_mut(name) else { continue };
            let Some(kind) = self.kinds.get(&speed.kind) else { continue };
            let own_log2 = speed.own_log2(kind.speed_log2);
            speed.expected_log2 = kind.speed_log2 + own_log2;
            let own_bucket = match speed.own_bucket {
                0 if (MIN_OWN_LOG2.0..MIN_OWN_LOG2.1).contains(&own_log2) => 0,
                _ if own_log2.abs() < BUCKET_LOG2 / 2.0 => 0,
                current => next_bucket(current, own_log2),
            };
            let is_own_change = own_bucket != speed.own_bucket;
            speed.own_bucket = own_bucket;
            let bucket = SpeedBucket(kind.bucket + own_bucket);
            if bucket == speed.bucket {
                continue;
            }
            speed.bucket = bucket;
            if is_own_change && logged < MAX_LOGGED_CHANGES {
                logged += 1;
                log::info!(
                    worker:% = name, kind = speed.kind.label.as_str(),
                    speed = speed.expected_log2.exp2(), bucket = bucket.0;
                    "speed of a worker changed"
                );
            }
            changes.push((name.clone(), bucket));
        }
        changes
    }

    /// The speeds by kind, sorted by service and kind.
    pub fn by_kind(&self) -> Vec<KindStatus> {
        let mut ranges: BTreeMap<&Kind, (f64, f64)> = BTreeMap::new();
        for speed in self.workers.values() {
            let own = speed.expected_log2;
            let (slowest, fastest) = ranges.entry(&speed.kind).or_insert((own, own));
            (*slowest, *fastest) = (slowest.min(own), fastest.max(own));
        }
        let status = |(kind, speed): (&Kind, &KindSpeed)| {
            let (slowest, fastest) = ranges.get(kind).copied().unwrap_or_default();
            KindStatus {
                service: kind.service.clone(),
                kind: kind.label.clone(),
                workers: speed.workers,
                speed: speed.speed_log2.exp2(),
                slowest: slowest.exp2(),
                fastest: fastest.exp2(),
            }
        };
        self.kinds.iter().map(status).collect()
    }
}

impl KindSpeed {
    fn update_bucket(&mut self, kind: &Kind) {
        let bucket = next_bucket(self.bucket, self.speed_log2);
        if bucket != self.bucket {
            self.bucket = bucket;
            log::info!(
                kind = kind.label.as_str(), service = kind.service.as_str(),
                speed = self.speed_log2.exp2(), bucket, workers = self.workers;
                "speed of a kind of workers changed"
            );
        }
    }
}

/// The bucket of a speed that was in bucket `current`.
fn next_bucket(current: i8, speed_log2: f64) -> i8 {
    let is_beyond = (speed_log2 - f64::from(current) * BUCKET_LOG2).abs() > MIN_CHANGE_LOG2;
    if is_beyond { (speed_log2 / BUCKET_LOG2).round() as i8 } else { current }
}

/// The median of the mean speeds of workers, each given with the number of its runs, and the number of all runs; `None` if
/// that is too small. Workers with few and with many runs count alike: those that are preferred have more.
fn median_speed(workers: &mut [(f64, f64)]) -> Option<(f64, f64)> {
    let runs: f64 = workers.iter().map(|(_, runs)| runs).sum();
    if runs < MIN_KIND_RUNS {
        return None;
    }
    workers.sort_by(|(speed, _), (other, _)| speed.total_cmp(other));
    let vote = |runs: f64| runs.min(1.0);
    let half: f64 = workers.iter().map(|(_, runs)| vote(*runs)).sum::<f64>() / 2.0;
    let mut below = 0.0;
    let median = workers.iter().find(|(_, runs)| {
        below += vote(*runs);
        below >= half
    });
    median.map(|(speed, _)| (*speed, runs))
}
