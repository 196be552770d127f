//! What is played: the cell, the jobs that come, and what goes wrong. Read from TOML.

use std::{fs, path::Path};

use serde::Deserialize;

use crate::error::{self, Error, Result};

/// A scenario. Times count from the first job.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in reports.
    pub name: String,
    /// How long jobs come, in seconds.
    pub length_s: f64,
    /// How long the rest may take to end, in seconds.
    #[serde(default = "default_rest_s")]
    pub rest_s: f64,
    /// Workers, alike within each pool.
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    /// Kinds of jobs.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The store.
    #[serde(default)]
    pub store: Store,
    /// The advice service.
    #[serde(default)]
    pub advice: Advice,
    /// What goes wrong.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
}

fn default_rest_s() -> f64 {
    15.0
}

/// Workers of one service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The service.
    pub service: String,
    /// How many.
    pub workers: usize,
    /// Processors of each.
    pub cores: u64,
    /// Memory of each, in MB.
    pub memory_mb: u64,
    /// Accelerators of each.
    #[serde(default)]
    pub accelerators: u64,
    /// Workers in a rack.
    #[serde(default = "default_rack")]
    pub rack_workers: usize,
    /// Data centres that the racks are dealt out to.
    #[serde(default = "default_data_centres")]
    pub data_centres: usize,
}

fn default_rack() -> usize {
    8
}

fn default_data_centres() -> usize {
    3
}

/// A kind of job.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name in reports, and of the queue.
    pub name: String,
    /// The service whose workers run it.
    pub service: String,
    /// 0 comes first.
    pub priority: u32,
    /// Jobs a second.
    pub rate: f64,
    /// Steps, each after the one before.
    #[serde(default = "default_one")]
    pub steps: u32,
    /// Tasks of a step.
    pub tasks: u32,
    /// Thousandths of a core that a task takes.
    pub cpu_milli: u32,
    /// Memory that a task takes, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Accelerators that a task takes.
    #[serde(default)]
    pub accelerators: u32,
    /// Work of a task on a sound worker, in milliseconds. Drawn from 0.7 to 1.3 times of it.
    pub work_ms: u32,
    /// What callers say that a task takes, as a multiple of its work.
    #[serde(default = "default_estimate_x")]
    pub estimate_x: f64,
    /// The tasks of a step work only together.
    #[serde(default)]
    pub gang: bool,
    /// The tasks save their progress.
    #[serde(default)]
    pub checkpointing: bool,
    /// Starts need advice.
    #[serde(default)]
    pub advised: bool,
    /// Failed runs of a task after which its job has failed.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// A job is in time within so many times its work and `objective_ms`, late up to three times that.
    #[serde(default = "default_stretch")]
    pub stretch: f64,
    /// See `stretch`.
    pub objective_ms: u32,
    /// What a job in time is worth.
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// What a late one is worth.
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

/// The store.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Store {
    /// An append, in milliseconds.
    pub append_ms: u64,
}

impl Default for Store {
    /// An append of today's platform.
    fn default() -> Self {
        Self { append_ms: 8 }
    }
}

/// The advice service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Advice {
    /// Instances that can call it; each has one call answered at a time.
    pub lanes: usize,
    /// A call, in milliseconds.
    pub base_ms: f64,
    /// Each worker that it names, in milliseconds.
    pub per_worker_ms: f64,
    /// How long an answer is valid, in milliseconds.
    pub valid_ms: u32,
    /// Share of workers that may run a step, in percent.
    pub allowed_percent: u64,
}

impl Default for Advice {
    /// As it was seen on today's platform.
    fn default() -> Self {
        Self { lanes: 7, base_ms: 20.0, per_worker_ms: 2.0, valid_ms: 2_500, allowed_percent: 70 }
    }
}

/// What goes wrong, from `at_s` on for `for_s` seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds from the first job.
    pub at_s: f64,
    /// How long, in seconds.
    pub for_s: f64,
    /// What.
    pub kind: FaultKind,
    /// How strong; see the kinds.
    #[serde(default)]
    pub x: f64,
    /// Share of the workers of all pools, from 0 to 1; see the kinds.
    #[serde(default)]
    pub share: f64,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// `x` times as many jobs come.
    Burst,
    /// The store refuses everything.
    StoreDown,
    /// An append takes `x` times as long.
    StoreSlow,
    /// Tasks that start on `share` of the workers take `x` times as long.
    SlowWorkers,
    /// On `share` of the workers, part `x` of the tasks that start there fails.
    FailingWorkers,
    /// The advice service does not answer.
    AdviceSilent,
    /// The first task of `share` of the jobs that come crashes each worker that starts it.
    CrashingTasks,
    /// `share` of the workers have part `x` of their room.
    ShrinkingWorkers,
}

impl Fault {
    /// Whether it acts at a time, in milliseconds from the first job.
    pub fn acts_at(&self, at_ms: u64) -> bool {
        let at_s = at_ms as f64 / 1_000.0;
        (self.at_s..self.at_s + self.for_s).contains(&at_s)
    }
}

/// Reads a scenario from a file, and checks it.
pub fn read(path: &Path) -> Result<Scenario> {
    let text = fs::read_to_string(path).map_err(|err| Error::File(path.to_owned(), err))?;
    parse(&text).map_err(|err| Error::Syntax(path.to_owned(), err.to_string()))
}

/// Reads a scenario from text, and checks it.
pub fn parse(text: &str) -> Result<Scenario> {
    let scenario: Scenario =
        toml::from_str(text).map_err(|err| error::value("scenario", err.to_string()))?;
    check(&scenario)?;
    Ok(scenario)
}

fn check(scenario: &Scenario) -> Result<()> {
    /// Longest play, in seconds: an hour of made-up time.
    const LONGEST_S: f64 = 3_600.0;
    positive("length_s", scenario.length_s)?;
    if scenario.length_s + scenario.rest_s > LONGEST_S || scenario.rest_s < 0.0 {
        return Err(error::value("rest_s", "must be 0 or more, and the whole an hour at most"));
    }
    if scenario.pools.is_empty() {
        return Err(error::value("pool", "there must be one at least"));
    }
    for (number, pool) in scenario.pools.iter().enumerate() {
        let field = |name: &str| format!("pool[{number}].{name}");
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
    scenario.faults.iter().enumerate().try_for_each(|(n, fault)| check_fault(n, fault))
}

fn check_class(scenario: &Scenario, number: usize, class: &Class) -> Result<()> {
    let field = |name: &str| format!("class[{number}].{name}");
    positive(&field("rate"), class.rate)?;
    positive(&field("estimate_x"), class.estimate_x)?;
    for (name, value) in
        [("steps", class.steps), ("tasks", class.tasks), ("work_ms", class.work_ms)]
    {
        if value == 0 {
            return Err(error::value(field(name), "must be above 0"));
        }
    }
    let fits = |pool: &&Pool| {
        pool.service == class.service
            && u64::from(class.cpu_milli) <= pool.cores * 1_000
            && u64::from(class.memory_mb) <= pool.memory_mb
            && u64::from(class.accelerators) <= pool.accelerators
    };
    if !scenario.pools.iter().any(|pool| fits(&pool)) {
        return Err(error::value(field("service"), "no pool of it has workers large enough"));
    }
    Ok(())
}

fn check_fault(number: usize, fault: &Fault) -> Result<()> {
    let field = |name: &str| format!("fault[{number}].{name}");
    positive(&field("for_s"), fault.for_s)?;
    let takes_x = !matches!(
        fault.kind,
        FaultKind::StoreDown | FaultKind::AdviceSilent | FaultKind::CrashingTasks
    );
    if takes_x {
        positive(&field("x"), fault.x)?;
    }
    if matches!(fault.kind, FaultKind::FailingWorkers | FaultKind::ShrinkingWorkers) {
        check_share(&field("x"), fault.x)?;
    }
    let takes_share = matches!(
        fault.kind,
        FaultKind::SlowWorkers
            | FaultKind::FailingWorkers
            | FaultKind::CrashingTasks
            | FaultKind::ShrinkingWorkers
    );
    if takes_share {
        positive(&field("share"), fault.share)?;
    }
    check_share(&field("share"), fault.share)
}

fn positive(field: &str, value: f64) -> Result<()> {
    if value > 0.0 { Ok(()) } else { Err(error::value(field, "must be above 0")) }
}

fn check_share(field: &str, share: f64) -> Result<()> {
    let is_share = (0.0..=1.0).contains(&share);
    if is_share { Ok(()) } else { Err(error::value(field, "must be from 0 to 1")) }
}
