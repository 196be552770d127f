//! Sizes and run times learned per service and kind of job, in bounded memory.
//!
//! Declared sizes and run times are often off by a factor of several. What was seen is kept in
//! histograms with logarithmic buckets, whose counts are halved from time to time so that they
//! follow a change.

use std::time::Duration;

use lilacpass_core::{
    Resources,
    ids::{KindId, ServiceId},
};

use crate::map::Map;

/// Buckets per doubling of the value.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Buckets of one histogram; the last one takes all greater values (2^40 and more).
const BUCKETS: usize = 160;
/// Count at which all counts of a histogram are halved.
const HALVE_AT: u32 = 4_096;
/// Samples below which nothing is said.
const MIN_SAMPLES: u32 = 8;
/// Kinds kept at once; the one unseen for longest makes room.
const MAX_KINDS: usize = 1_024;

/// A histogram with logarithmic buckets, each 19 % wide.
#[derive(Clone, Debug)]
struct Histogram {
    counts: Box<[u16; BUCKETS]>,
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: Box::new([0; BUCKETS]), total: 0 }
    }
}

impl Histogram {
    fn bucket(value: u64) -> usize {
        let log = (value.max(1) as f64).log2() * BUCKETS_PER_DOUBLING;
        (log as usize).min(BUCKETS - 1)
    }

    /// The upper bound of a bucket.
    fn upper(bucket: usize) -> u64 {
        ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2() as u64
    }

    fn add(&mut self, value: u64) {
        self.counts[Self::bucket(value)] += 1;
        self.total += 1;
        if self.total >= HALVE_AT {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.total = self.counts.iter().map(|&c| u32::from(c)).sum();
        }
    }

    fn quantile(&self, permille: u32) -> Option<u64> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let target = (u64::from(self.total) * u64::from(permille)).div_ceil(1_000).max(1);
        let mut seen = 0;
        let bucket = self.counts.iter().position(|&c| {
            seen += u64::from(c);
            seen >= target
        });
        bucket.map(Self::upper)
    }
}

/// What was seen of one kind.
#[derive(Clone, Debug, Default)]
struct Kind {
    run_us: Histogram,
    run_total_us: f64,
    run_count: f64,
    cpu: Option<Histogram>,
    memory: Option<Histogram>,
    last_seen: u64,
}

/// Sizes and run times per service and kind.
#[derive(Clone, Debug, Default)]
pub struct Learned {
    kinds: Map<(ServiceId, KindId), Kind>,
    tick: u64,
}

impl Learned {
    /// Counts one run of a kind.
    pub fn observe_run(&mut self, service: &ServiceId, kind: &KindId, ran: Duration) {
        let us = u64::try_from(ran.as_micros()).unwrap_or(u64::MAX);
        let kind = self.kind_mut(service, kind);
        kind.run_us.add(us);
        // A mean over roughly the last thousand runs.
        const WINDOW: f64 = 1_024.0;
        if kind.run_count >= WINDOW {
            kind.run_total_us *= (WINDOW - 1.0) / WINDOW;
            kind.run_count = WINDOW - 1.0;
        }
        kind.run_total_us += us as f64;
        kind.run_count += 1.0;
    }

    /// Counts the greatest use that a worker reported for one task of a kind.
    pub fn observe_size(&mut self, service: &ServiceId, kind: &KindId, used: &Resources) {
        let kind = self.kind_mut(service, kind);
        kind.cpu.get_or_insert_default().add(used.cpu.0);
        kind.memory.get_or_insert_default().add(used.memory.0);
    }

    /// The run time that `permille` of a thousand runs of the kind stayed within; `None` before
    /// enough of them were seen.
    pub fn run_time(&self, service: &ServiceId, kind: &KindId, permille: u32) -> Option<Duration> {
        let kind = self.kinds.get(&(service.clone(), kind.clone()))?;
        kind.run_us.quantile(permille).map(Duration::from_micros)
    }

    /// The mean run time of the kind; `None` before enough runs were seen.
    pub fn mean_run_time(&self, service: &ServiceId, kind: &KindId) -> Option<Duration> {
        let kind = self.kinds.get(&(service.clone(), kind.clone()))?;
        let known = kind.run_us.total >= MIN_SAMPLES;
        known.then(|| Duration::from_micros((kind.run_total_us / kind.run_count) as u64))
    }

    /// The size to give a task of the kind that declares `declared`.
    ///
    /// Processors and memory follow the 95 % quantile of what was used, once known; accelerators
    /// and slots stay as declared. Never more than `worker`, the largest worker there is, unless
    /// the declaration is.
    pub fn size(
        &self,
        service: &ServiceId,
        kind: &KindId,
        declared: &Resources,
        worker: &Resources,
    ) -> Resources {
        const QUANTILE_PERMILLE: u32 = 950;
        let Some(kind) = self.kinds.get(&(service.clone(), kind.clone())) else { return *declared };
        let learned = |histogram: &Option<Histogram>| {
            histogram.as_ref().and_then(|h| h.quantile(QUANTILE_PERMILLE))
        };
        let mut size = *declared;
        if let Some(cpu) = learned(&kind.cpu) {
            size.cpu.0 = cpu.min(worker.cpu.0.max(declared.cpu.0));
        }
        if let Some(memory) = learned(&kind.memory) {
            size.memory.0 = memory.min(worker.memory.0.max(declared.memory.0));
        }
        size
    }

    /// The number of kinds that are kept.
    pub fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Whether nothing was seen yet.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    fn kind_mut(&mut self, service: &ServiceId, kind: &KindId) -> &mut Kind {
        let key = (service.clone(), kind.clone());
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&key) {
            self.forget_oldest();
        }
        self.tick += 1;
        let entry = self.kinds.entry(key).or_default();
        entry.last_seen = self.tick;
        entry
    }

    fn forget_oldest(&mut self) {
        let oldest = self.kinds.iter().min_by_key(|(_, kind)| kind.last_seen);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.kinds.remove(&key);
        }
    }
}
