//! The scenario of a simulation: the cell, the submitted jobs and the faults. Read from a TOML file.

use std::{fs, path::Path};

use lilacpass_core::Resources;
use serde::Deserialize;

use crate::error::{self, Error, Result};

/// A scenario. All times are relative to its start.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario in reports.
    pub name: String,
    /// Duration for which jobs are submitted, in seconds.
    pub length_s: f64,
    /// Additional duration in which the remaining jobs can end, in seconds.
    #[serde(default = "default_rest_s")]
    pub rest_s: f64,
    /// Pools of identical workers.
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    /// Classes of jobs.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The model of the store.
    #[serde(default)]
    pub store: Store,
    /// The model of the advice service.
    #[serde(default)]
    pub advice: Advice,
    /// The model of the leader's processor. Without it, decisions take no simulated time.
    pub processor: Option<Processor>,
    /// Faults that occur during the scenario.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Returns the advice for the steps of a class.
    pub fn advice_for(&self, class: &Class) -> ClassAdvice {
        class.advice.unwrap_or(ClassAdvice {
            base_ms: self.advice.base_ms,
            per_worker_ms: self.advice.per_worker_ms,
            allowed_percent: self.advice.allowed_percent,
        })
    }
}

fn default_rest_s() -> f64 {
    15.0
}

/// A pool of identical workers of one service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The service that the workers offer.
    pub service: String,
    /// Number of workers.
    pub workers: usize,
    /// Number of processor cores of each worker.
    pub cores: u64,
    /// Memory of each worker, in MB.
    pub memory_mb: u64,
    /// Number of accelerators of each worker.
    #[serde(default)]
    pub accelerators: u64,
    /// Sizes of the workers in turn, as factors of `cores` and `memory_mb`.
    #[serde(default = "default_sizes")]
    pub sizes: Vec<f64>,
    /// Number of workers per rack.
    #[serde(default = "default_rack")]
    pub rack_workers: usize,
    /// Number of data centres over which the racks are distributed in turn.
    #[serde(default = "default_data_centres")]
    pub data_centres: usize,
}

fn default_sizes() -> Vec<f64> {
    vec![1.0]
}

fn default_rack() -> usize {
    8
}

fn default_data_centres() -> usize {
    3
}

impl Pool {
    /// Returns the capacity of a worker, given its number in the pool.
    pub fn capacity(&self, number: usize) -> Resources {
        let size = self.sizes[number % self.sizes.len()];
        let scaled = |value: u64| (value as f64 * size) as u64;
        Resources::new(scaled(self.cores * 1_000), scaled(self.memory_mb), self.accelerators, 0)
    }

    fn largest_cpu_milli(&self) -> u64 {
        let workers = 0..self.sizes.len();
        workers.map(|number| self.capacity(number).cpu.0).max().unwrap_or(0)
    }

    fn largest_memory_mb(&self) -> u64 {
        let workers = 0..self.sizes.len();
        workers.map(|number| self.capacity(number).memory.0).max().unwrap_or(0)
    }
}

/// A class of similar jobs.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class in reports, and of its queue.
    pub name: String,
    /// The service whose workers run the jobs.
    pub service: String,
    /// Priority of the jobs; 0 is the most urgent.
    pub priority: u32,
    /// Mean number of submitted jobs per second.
    pub rate: f64,
    /// Number of steps; each step depends on the previous one.
    #[serde(default = "default_one")]
    pub steps: u32,
    /// Number of tasks of each step.
    pub tasks: u32,
    /// Processor time that a task needs, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory that a task needs, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Number of accelerators that a task needs.
    #[serde(default)]
    pub accelerators: u32,
    /// Mean work of a task in milliseconds on a healthy worker. The work of each task is drawn from 0.7 to 1.3 times
    /// this value.
    pub work_ms: u32,
    /// The callers' estimate of the run time of a task, as a multiple of `work_ms`.
    #[serde(default = "default_estimate_x")]
    pub estimate_x: f64,
    /// Whether the tasks of a step form a gang.
    #[serde(default)]
    pub gang: bool,
    /// Whether the tasks save checkpoints.
    #[serde(default)]
    pub checkpointing: bool,
    /// Whether the tasks need advice to start.
    #[serde(default)]
    pub advised: bool,
    /// Advice for this class, if it differs from that of the other classes.
    pub advice: Option<ClassAdvice>,
    /// Number of failed runs of a task after which its job fails.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// A job is in time if it ends within `stretch` times the work on its longest chain of tasks plus `objective_ms`,
    /// and late within three times that duration.
    #[serde(default = "default_stretch")]
    pub stretch: f64,
    /// Constant part of the objective, in milliseconds; see `stretch`.
    pub objective_ms: u32,
    /// The worth of a job that ends in time.
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// The worth of a job that ends late.
    #[serde(default)]
    pub worth_late: f64,
}

fn default_one() -> u32 {
    1
}

fn default_memory_mb() -> u32 {
    100
}

fn default_estimate_x() -> f64 {
    1.0
}

fn default_attempts() -> u32 {
    6
}

fn default_stretch() -> f64 {
    1.5
}

fn default_worth() -> f64 {
    1.0
}

/// The model of the store.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Store {
    /// Duration of an append, in milliseconds.
    pub append_ms: u64,
}

impl Default for Store {
    /// The duration of an append on the current platform.
    fn default() -> Self {
        Self { append_ms: 8 }
    }
}

/// The model of the advice service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Advice {
    /// Number of instances that can call the service. Each has one call at a time.
    pub lanes: usize,
    /// Fixed duration of a call, in milliseconds.
    pub base_ms: f64,
    /// Additional duration for each named worker, in milliseconds.
    pub per_worker_ms: f64,
    /// How long advice is valid, in milliseconds.
    pub valid_ms: u32,
    /// Percentage of the workers that may run a step.
    pub allowed_percent: u64,
}

impl Default for Advice {
    /// The behaviour of the advice service on the current platform.
    fn default() -> Self {
        Self { lanes: 7, base_ms: 20.0, per_worker_ms: 2.0, valid_ms: 2_500, allowed_percent: 70 }
    }
}

/// The advice for the steps of one class; see [`Advice`].
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassAdvice {
    /// Fixed duration of a call, in milliseconds.
    pub base_ms: f64,
    /// Additional duration for each named worker, in milliseconds.
    pub per_worker_ms: f64,
    /// Percentage of the workers that may run a step.
    pub allowed_percent: u64,
}

/// The model of the leader's processor: how long its work takes on a whole core, and the share of a core that it has.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Processor {
    /// Share of a core that the leader has.
    pub share: f64,
    /// Share of its time that work takes which does not depend on jobs, such as heartbeats of other instances.
    #[serde(default)]
    pub other_share: f64,
    /// Time for an event, in microseconds.
    pub event_us: f64,
    /// Time for an effect, such as a message to a worker, in microseconds.
    pub effect_us: f64,
    /// Time for an item that a decision goes through, in microseconds; see [`lilacpass_lead::work::Visits`].
    pub visit_us: f64,
    /// Time for a turn of the event loop whatever it brings, in microseconds.
    #[serde(default)]
    pub turn_us: f64,
    /// Number of turns of the event loop that a message takes between the leader and the network, one way. A call takes long
    /// if the loop is busy, because each of the tasks on its way runs once in a turn.
    #[serde(default)]
    pub io_turns: usize,
}

impl Processor {
    /// Returns the time that work takes, in microseconds.
    pub fn time_us(&self, events: usize, effects: usize, visits: u64) -> u64 {
        let work_us = self.turn_us
            + self.event_us * events as f64
            + self.effect_us * effects as f64
            + self.visit_us * visits as f64;
        (work_us / (self.share * (1.0 - self.other_share))) as u64
    }
}

/// A fault that starts at `at_s` and lasts for `for_s` seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, in seconds since the start of the scenario.
    pub at_s: f64,
    /// Duration of the fault, in seconds.
    pub for_s: f64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Strength of the fault; its meaning depends on the kind.
    #[serde(default)]
    pub x: f64,
    /// Fraction of the affected workers or jobs, from 0 to 1; its meaning depends on the kind.
    #[serde(default)]
    pub share: f64,
}

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The rate of submitted jobs is `x` times as high.
    Burst,
    /// The store refuses all appends.
    StoreDown,
    /// An append takes `x` times as long.
    StoreSlow,
    /// Tasks that start on a fraction `share` of the workers take `x` times as long.
    SlowWorkers,
    /// On a fraction `share` of the workers, a fraction `x` of the started tasks fails.
    FailingWorkers,
    /// The advice service does not respond.
    AdviceSilent,
    /// The first task of a fraction `share` of the submitted jobs crashes each worker that starts it.
    CrashingTasks,
    /// A fraction `share` of the workers has only a fraction `x` of its capacity.
    ShrinkingWorkers,
}

impl Fault {
    /// Returns whether the fault is active at a time, in milliseconds since the start of the scenario.
    pub fn is_active_at(&self, at_ms: u64) -> bool {
        let at_s = at_ms as f64 / 1_000.0;
        (self.at_s..self.at_s + self.for_s).contains(&at_s)
    }
}

/// Reads and validates a scenario from a file.
pub fn read(path: &Path) -> Result<Scenario> {
    let text = fs::read_to_string(path).map_err(|err| Error::File(path.to_owned(), err))?;
    parse(&text).map_err(|err| Error::Syntax(path.to_owned(), err.to_string()))
}

/// Parses and validates a scenario.
pub fn parse(text: &str) -> Result<Scenario> {
    let scenario: Scenario =
        toml::from_str(text).map_err(|err| error::value("scenario", err.to_string()))?;
    check(&scenario)?;
    Ok(scenario)
}

fn check(scenario: &Scenario) -> Result<()> {
    /// Maximum simulated time, in seconds.
    const MAX_DURATION_S: f64 = 3_600.0;
    check_positive("length_s", scenario.length_s)?;
    if scenario.length_s + scenario.rest_s > MAX_DURATION_S || scenario.rest_s < 0.0 {
        return Err(error::value(
            "rest_s",
            "must not be negative, and length_s plus rest_s must be at most an hour",
        ));
    }
    if scenario.pools.is_empty() {
        return Err(error::value("pool", "must have at least one entry"));
    }
    for (number, pool) in scenario.pools.iter().enumerate() {
        let field = |name: &str| format!("pool[{number}].{name}");
        if pool.sizes.is_empty() || pool.sizes.iter().any(|size| *size <= 0.0) {
            return Err(error::value(field("sizes"), "must have entries above 0"));
        }
        for (name, value) in [
            ("workers", pool.workers),
            ("rack_workers", pool.rack_workers),
            ("data_centres", pool.data_centres),
        ] {
            if value == 0 {
                return Err(error::value(field(name), "must be above 0"));
            }
        }
    }
    scenario
        .classes
        .iter()
        .enumerate()
        .try_for_each(|(n, class)| check_class(scenario, n, class))?;
    if scenario.advice.lanes == 0 {
        return Err(error::value("advice.lanes", "must be above 0"));
    }
    if let Some(processor) = &scenario.processor {
        check_processor(processor)?;
    }
    scenario.faults.iter().enumerate().try_for_each(|(n, fault)| check_fault(n, fault))
}

fn check_processor(processor: &Processor) -> Result<()> {
    check_positive("processor.share", processor.share)?;
    for (name, value) in [
        ("other_share", processor.other_share),
        ("event_us", processor.event_us),
        ("effect_us", processor.effect_us),
        ("visit_us", processor.visit_us),
        ("turn_us", processor.turn_us),
    ] {
        if value < 0.0 {
            return Err(error::value(format!("processor.{name}"), "must not be negative"));
        }
    }
    if processor.io_turns > 0 && processor.turn_us == 0.0 {
        return Err(error::value("processor.turn_us", "must be above 0 if messages take turns"));
    }
    if processor.other_share >= 1.0 {
        return Err(error::value("processor.other_share", "must be below 1"));
    }
    Ok(())
}

fn check_class(scenario: &Scenario, number: usize, class: &Class) -> Result<()> {
    let field = |name: &str| format!("class[{number}].{name}");
    check_positive(&field("rate"), class.rate)?;
    check_positive(&field("estimate_x"), class.estimate_x)?;
    for (name, value) in
        [("steps", class.steps), ("tasks", class.tasks), ("work_ms", class.work_ms)]
    {
        if value == 0 {
            return Err(error::value(field(name), "must be above 0"));
        }
    }
    let fits = |pool: &&Pool| {
        pool.service == class.service
            && u64::from(class.cpu_milli) <= pool.largest_cpu_milli()
            && u64::from(class.memory_mb) <= pool.largest_memory_mb()
            && u64::from(class.accelerators) <= pool.accelerators
    };
    if !scenario.pools.iter().any(|pool| fits(&pool)) {
        return Err(error::value(
            field("service"),
            "no pool of this service has workers large enough for a task",
        ));
    }
    Ok(())
}

fn check_fault(number: usize, fault: &Fault) -> Result<()> {
    let field = |name: &str| format!("fault[{number}].{name}");
    check_positive(&field("for_s"), fault.for_s)?;
    let needs_x = !matches!(
        fault.kind,
        FaultKind::StoreDown | FaultKind::AdviceSilent | FaultKind::CrashingTasks
    );
    if needs_x {
        check_positive(&field("x"), fault.x)?;
    }
    if matches!(fault.kind, FaultKind::FailingWorkers | FaultKind::ShrinkingWorkers) {
        check_fraction(&field("x"), fault.x)?;
    }
    let needs_share = matches!(
        fault.kind,
        FaultKind::SlowWorkers
            | FaultKind::FailingWorkers
            | FaultKind::CrashingTasks
            | FaultKind::ShrinkingWorkers
    );
    if needs_share {
        check_positive(&field("share"), fault.share)?;
    }
    check_fraction(&field("share"), fault.share)
}

fn check_positive(field: &str, value: f64) -> Result<()> {
    if value > 0.0 { Ok(()) } else { Err(error::value(field, "must be above 0")) }
}

fn check_fraction(field: &str, value: f64) -> Result<()> {
    let is_fraction = (0.0..=1.0).contains(&value);
    if is_fraction { Ok(()) } else { Err(error::value(field, "must be from 0 to 1")) }
}
