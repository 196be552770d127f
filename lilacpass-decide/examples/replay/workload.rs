//! The mixed workload, made from a seed: quick requests with bursts, long jobs, gangs, watchers.

use lilacpass_core::{
    Class, Resources,
    ids::{KindId, ServiceId, TeamId},
};
use lilacpass_decide::TaskMeta;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

pub(crate) const SECOND_US: u64 = 1_000_000;
/// How far declared sizes and run times are off at most, either way.
const WRONG_BY: f64 = 4.0;
/// Time that a caller waits for a quick answer.
pub(crate) const DEADLINE_US: u64 = 2 * SECOND_US;

/// What is replayed.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    /// The first seed.
    pub(crate) seed: u64,
    /// The number of seeds.
    pub(crate) seeds: u64,
    /// Offered work over the slots of the cell, in percent.
    pub(crate) load_percent: u32,
    pub(crate) seconds: u64,
    pub(crate) workers: usize,
    /// A worker that fails all it starts.
    pub(crate) black_hole: bool,
}

pub(crate) const SLOTS: u64 = 8;

/// 64 cores, 256 GiB, 8 slots.
pub(crate) fn worker_capacity() -> Resources {
    Resources::new(64_000, 262_144, 0, SLOTS)
}

/// One piece of work that arrives.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) arrives_us: u64,
    pub(crate) meta: TaskMeta,
    /// What each task uses.
    pub(crate) size: Resources,
    pub(crate) declared: Resources,
    pub(crate) run_us: u64,
    pub(crate) run_declared_us: u64,
    /// More than one for a gang.
    pub(crate) tasks: u32,
}

impl Work {
    pub(crate) fn is_quick(&self) -> bool {
        self.meta.class == Class::Urgent
    }

    /// The run time with `given` processors: fewer than it uses stretch it.
    pub(crate) fn run_with_us(&self, given: &Resources) -> u64 {
        let stretch = (self.size.cpu.0 as f64 / given.cpu.0.max(1) as f64).max(1.0);
        (self.run_us as f64 * stretch) as u64
    }
}

/// A part of the load.
struct Part {
    kind: &'static str,
    class: Class,
    /// Its share of the offered slot time.
    share: f64,
    cpu_milli: u64,
    memory_mib: u64,
    mean_run_us: f64,
    /// Width of the log-normal distribution of the run time.
    sigma: f64,
    tasks: u32,
}

const QUICK: Part = Part {
    kind: "check",
    class: Class::Urgent,
    share: 0.5,
    cpu_milli: 2_000,
    memory_mib: 4_096,
    mean_run_us: 0.2e6,
    sigma: 0.5,
    tasks: 1,
};
const LONG: Part = Part {
    kind: "audit",
    class: Class::Batch,
    share: 0.35,
    cpu_milli: 12_000,
    memory_mib: 40_960,
    mean_run_us: 20e6,
    sigma: 0.8,
    tasks: 1,
};
const GANG: Part = Part {
    kind: "sweep",
    class: Class::Batch,
    share: 0.15,
    cpu_milli: 8_000,
    memory_mib: 24_576,
    mean_run_us: 10e6,
    sigma: 0.5,
    tasks: 16,
};

/// Bursts: in one second of ten, this many times as many quick requests arrive as otherwise.
const BURST_FACTOR: f64 = 2.5;
const BURST_PART: f64 = 0.1;

/// One watcher for each second worker, which run all the time.
pub(crate) fn watchers(setup: &Setup) -> Vec<Work> {
    let work = |n: usize| Work {
        arrives_us: 0,
        meta: meta("watcher", Class::Standing, n, 1.0),
        size: Resources::new(500, 1_024, 0, 1),
        declared: Resources::new(500, 1_024, 0, 1),
        run_us: u64::MAX / 4,
        run_declared_us: SECOND_US,
        tasks: 1,
    };
    (0..setup.workers / 2).map(work).collect()
}

/// All work that arrives, by time.
pub(crate) fn arrivals(setup: &Setup) -> Vec<Work> {
    let mut rng = SmallRng::seed_from_u64(setup.seed);
    let slots = (setup.workers as u64 * SLOTS) as f64;
    let watched = (setup.workers / 2) as f64;
    let offered = slots * f64::from(setup.load_percent) / 100.0 - watched;
    let mut all: Vec<Work> = [QUICK, LONG, GANG]
        .iter()
        .flat_map(|part| part_arrivals(part, offered, setup.seconds, &mut rng))
        .collect();
    all.sort_by_key(|work| work.arrives_us);
    all
}

fn part_arrivals(part: &Part, offered: f64, seconds: u64, rng: &mut SmallRng) -> Vec<Work> {
    let per_second =
        offered * part.share / (f64::from(part.tasks) * part.mean_run_us / SECOND_US as f64);
    let bursts = part.class == Class::Urgent;
    let calm = if bursts { 1.0 / (1.0 + BURST_PART * (BURST_FACTOR - 1.0)) } else { 1.0 };
    let end = (seconds * SECOND_US) as f64;
    let mut now = 0.0;
    let mut all = Vec::new();
    while now < end {
        let second = (now / SECOND_US as f64) as u64;
        let in_burst = bursts && second % 10 == 7;
        let rate = per_second * calm * if in_burst { BURST_FACTOR } else { 1.0 };
        now += -rng.random::<f64>().max(1e-12).ln() / rate * SECOND_US as f64;
        all.push(one(part, now as u64, all.len(), rng));
    }
    all
}

fn one(part: &Part, arrives_us: u64, n: usize, rng: &mut SmallRng) -> Work {
    let wrong = |rng: &mut SmallRng| WRONG_BY.powf(rng.random_range(-1.0..1.0));
    let (off_cpu, off_memory, off_run) = (wrong(rng), wrong(rng), wrong(rng));
    let run_us = part.mean_run_us * (part.sigma * normal(rng) - part.sigma.powi(2) / 2.0).exp();
    let scale = |amount: u64, off: f64, most: u64| ((amount as f64 * off) as u64).min(most);
    let whole = worker_capacity();
    Work {
        arrives_us,
        meta: meta(part.kind, part.class, n, rng.random()),
        size: Resources::new(part.cpu_milli, part.memory_mib, 0, 1),
        declared: Resources::new(
            scale(part.cpu_milli, off_cpu, whole.cpu.0),
            scale(part.memory_mib, off_memory, whole.memory.0),
            0,
            1,
        ),
        run_us: run_us as u64,
        run_declared_us: (run_us * off_run) as u64,
        tasks: part.tasks,
    }
}

/// Quick requests are idempotent. Of the batch work a third can be checkpointed, a third can be
/// done again, a third can do neither.
fn meta(kind: &str, class: Class, n: usize, draw: f64) -> TaskMeta {
    let quick = class == Class::Urgent;
    TaskMeta {
        team: TeamId::new(format!("team-{}-{}", class, n % 2)),
        account: None,
        service: ServiceId::new("auditdienst"),
        kind: KindId::new(kind),
        class,
        idempotent: quick || (1.0 / 3.0..2.0 / 3.0).contains(&draw),
        checkpointable: class == Class::Batch && draw < 1.0 / 3.0,
        standing: class == Class::Standing,
    }
}

/// A draw from the standard normal distribution (Box and Muller).
fn normal(rng: &mut SmallRng) -> f64 {
    let (u, v) = (rng.random::<f64>().max(1e-12), rng.random::<f64>());
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
