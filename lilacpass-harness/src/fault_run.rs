//! The fault run: a whole cell under constant mixed load and random faults, then the judgement.

use std::{collections::HashMap, fmt, ops::Range, sync::Arc, time::Duration};

use lilacpass_schema::v1;
use lilacpass_standin::Payload;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{self, Instant};

use crate::{
    caller::{Balancer, Caller},
    cell::{Cell, CellOptions},
    client::{Api, Reply},
    deployment::{Deployment, VINDBAAR},
    error::Result,
    faults::{Deck, Fault, Kind},
    injector::Injector,
    judge::{self, Evidence, Finding},
    ledger::{JobKind, Ledger, Notes},
    load::{JobLoad, QuickLoad, QuickTally},
    operator::Operator,
    spans::Spans,
};

/// Time that a run takes besides the load.
const OVERHEAD: Duration = Duration::from_secs(26);
/// Shortest load.
const MIN_LOAD: Duration = Duration::from_secs(10);
/// No fault begins in the last part of the load.
const QUIET_END: Duration = Duration::from_secs(3);
/// Jobs must have ended this long after the last was submitted.
const SETTLE: Duration = Duration::from_secs(18);
const MOST_AT_ONCE: usize = 2;
/// Lost jobs that are printed.
const MAX_SHOWN: usize = 5;
const QUICK_PER_SECOND: u32 = 50;
const ALERT_EVERY: u32 = 5;
const JOB_INTERVAL: Duration = Duration::from_millis(250);
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);
const CHANGE_LIMIT: Duration = Duration::from_secs(10);
const WATCHERS: u32 = 4;
/// Time from one fault to the next, in milliseconds.
const FAULT_PAUSE_MS: Range<u64> = 200..1200;
/// Longest run time of a quick request, so long that many run at once.
const QUICK_RUN: Duration = Duration::from_millis(800);
/// Few workers and large tasks: four fill a worker, so that what is given is always near to what
/// there is, and giving anything twice shows.
const SMALL_CELL: Deployment = Deployment {
    workers: 18,
    rack_workers: 3,
    task_size: v1::Amount { cpu_milli: 16_000, memory_mib: 65_536, accelerators: 0, slots: 2 },
    ..VINDBAAR
};
const TICK: Duration = Duration::from_millis(50);

/// What a fault run found.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// One finding per promise.
    pub findings: Vec<Finding>,
    /// How quick requests ended.
    pub quick: QuickTally,
    /// Number of jobs by the state that they ended in.
    pub jobs: HashMap<String, u32>,
    /// Accepted jobs that never ended.
    pub lost: Vec<String>,
    /// Number of faults.
    pub faults: usize,
}

impl Outcome {
    /// Whether all promises held and nothing was lost.
    pub fn is_good(&self) -> bool {
        self.lost.is_empty() && self.findings.iter().all(Finding::is_shown)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        let mut jobs: Vec<_> = self.jobs.iter().map(|(state, n)| format!("{state}={n}")).collect();
        jobs.sort();
        let QuickTally { asked, answered } = self.quick;
        let Self { lost, faults, .. } = self;
        let jobs = jobs.join(" ");
        write!(
            f,
            "work: quick={answered}/{asked} jobs {jobs} lost={} faults={faults}",
            lost.len()
        )?;
        lost.iter().take(MAX_SHOWN).try_for_each(|job| write!(f, "\nlost: {job}"))
    }
}

/// Runs with the faults of `seed`, about `limit` long in all. Where `only` names kinds of faults,
/// there are no others.
pub async fn run(seed: u64, limit: Duration, only: &[Kind]) -> Result<Outcome> {
    let deployment = SMALL_CELL;
    let options = CellOptions { cuttable: true, seed, ..CellOptions::new(deployment) };
    let cell = Cell::start(options).await?;
    let ledger = Ledger::default();
    let balancer = Balancer::default();
    balancer.set_targets(cell.targets());
    let caller = Caller {
        api: Api::new(&cell.team_token)?,
        balancer: balancer.clone(),
        ledger: ledger.clone(),
    };
    let operator =
        Operator { api: Api::new(&cell.operator_token)?, balancer, ledger: ledger.clone() };
    let mut injector = Injector::new(cell, operator.clone());
    let watching = operator.watch_revisions();
    let duration = limit.saturating_sub(OVERHEAD).max(MIN_LOAD);
    let quick = QuickLoad {
        deployment,
        per_second: QUICK_PER_SECOND,
        alert_every: ALERT_EVERY,
        duration,
        longest_run: QUICK_RUN,
    };
    let (quick, (), (), faults) = tokio::join!(
        quick.run(caller.clone()),
        job_load(deployment, seed, duration).run(caller.clone()),
        keep_changing(&operator, duration),
        inject(&mut injector, Deck::new(seed, only), duration - QUIET_END),
    );
    let faults = faults?;
    watching.abort();
    let traces = operator.final_traces().await;
    let counts = injector.cell.counts().await?;
    let notes = ledger.notes().clone();
    let spans = Spans::new(&counts);
    let evidence =
        Evidence { notes: &notes, counts: &counts, spans: &spans, final_traces: &traces };
    Ok(Outcome {
        findings: judge::judge(&evidence),
        quick,
        jobs: states(&notes),
        lost: lost(&caller, &notes, &spans).await,
        faults,
    })
}

/// Switches faults on and off by chance; returns how many.
async fn inject(injector: &mut Injector, mut deck: Deck, duration: Duration) -> Result<usize> {
    let started = Instant::now();
    let mut on: Vec<(Instant, Fault)> = Vec::new();
    let mut next_at = started + Duration::from_secs(1);
    let mut count = 0;
    while started.elapsed() < duration || !on.is_empty() {
        time::sleep(TICK).await;
        let now = Instant::now();
        let is_over = started.elapsed() >= duration;
        let (due, rest): (Vec<_>, Vec<_>) =
            on.into_iter().partition(|(until, _)| is_over || *until <= now);
        on = rest;
        for (_, fault) in due {
            report(started, "off", &fault);
            injector.end(&fault).await?;
        }
        if is_over || now < next_at || on.len() >= MOST_AT_ONCE {
            continue;
        }
        let busy = injector.busy_workers().await?;
        let (fault, lasts) = deck.draw(&injector.cell, &busy);
        if on.iter().all(|(_, other)| fault.goes_with(other)) {
            report(started, "on", &fault);
            injector.begin(&fault).await?;
            on.push((now + lasts, fault));
            count += 1;
        }
        next_at = now + deck.pause(FAULT_PAUSE_MS);
    }
    Ok(count)
}

fn report(started: Instant, what: &str, fault: &Fault) {
    eprintln!("{:7.3} {what:3} {fault}", started.elapsed().as_secs_f64());
}

/// Changes the configuration now and then.
async fn keep_changing(operator: &Operator, duration: Duration) {
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < duration {
        operator.change(&format!("change-{number}"), Vec::new(), CHANGE_LIMIT).await;
        number += 1;
        time::sleep(CHANGE_INTERVAL).await;
    }
}

fn job_load(deployment: Deployment, seed: u64, duration: Duration) -> JobLoad {
    let make = move |number| make_job(deployment, seed, number);
    JobLoad { interval: JOB_INTERVAL, duration, settle: SETTLE, make: Arc::new(make) }
}

/// The job with a number: mostly long work, some gangs, some that are cancelled, a few watchers.
fn make_job(deployment: Deployment, seed: u64, number: u32) -> (JobKind, v1::JobSpec) {
    let mut rng = StdRng::seed_from_u64(seed ^ (u64::from(number) << 32));
    let run = Duration::from_millis(rng.random_range(200..5000));
    let payload = |id: String, run: Duration| Payload { id, run: Some(run), ..Payload::default() };
    if number < WATCHERS {
        let payload = Payload { id: format!("watcher-{number}"), ..Payload::default() };
        return (JobKind::Watcher, deployment.watcher(&payload.to_string()));
    }
    match rng.random_range(0..10) {
        0 => {
            let payload = payload(format!("gang-{number}"), run / 3);
            (JobKind::Gang, deployment.gang(rng.random_range(2..9), &payload.to_string()))
        }
        1 => {
            let payload = payload(format!("cancelled-{number}"), run * 3);
            (JobKind::Cancelled, deployment.long(&payload.to_string()))
        }
        2 | 3 => {
            let payload = payload(format!("repeatable-{number}"), run);
            let spec = deployment.long(&payload.to_string());
            let kind = format!("{}-repeatable", deployment.long_kind);
            (JobKind::Long, v1::JobSpec { idempotent: true, kind, ..spec })
        }
        4 => {
            let payload =
                Payload { checkpoint: true, ..payload(format!("checkpoint-{number}"), run) };
            let spec = deployment.long(&payload.to_string());
            (JobKind::Long, v1::JobSpec { checkpointable: true, ..spec })
        }
        _ => {
            let payload = payload(format!("long-{number}"), run);
            (JobKind::Long, deployment.long(&payload.to_string()))
        }
    }
}

fn states(notes: &Notes) -> HashMap<String, u32> {
    let mut states = HashMap::new();
    for job in notes.jobs.values().filter(|job| job.kind != JobKind::Watcher) {
        let state = match (&job.end, &job.job_id) {
            (Some(end), _) => end.state.clone(),
            (None, Some(_)) => "unended".to_owned(),
            (None, None) => "unaccepted".to_owned(),
        };
        *states.entry(state).or_default() += 1;
    }
    states
}

/// Accepted jobs that never ended, with what is known of each.
async fn lost(caller: &Caller, notes: &Notes, spans: &Spans) -> Vec<String> {
    let jobs = notes.jobs.iter().filter(|(_, job)| job.kind != JobKind::Watcher);
    let mut lost = Vec::new();
    for (id, job) in jobs.filter(|(_, job)| job.end.is_none()) {
        let Some(job_id) = &job.job_id else {
            continue;
        };
        let runs: Vec<_> = spans.of(id).iter().map(judge::show).collect();
        let explained = explain(caller, job_id).await;
        lost.push(format!("{id} {job_id} {explained} runs: {}", runs.join(", ")));
    }
    lost.sort();
    lost
}

/// What each entry instance says about a job.
async fn explain(caller: &Caller, job_id: &str) -> String {
    let mut said = Vec::new();
    for (entry, to) in caller.balancer.targets() {
        let path = format!("/v1/jobs/{job_id}/explain");
        let explanation: Reply<v1::Explanation> = caller.api.get(to, &path).await;
        said.push(match explanation {
            Reply::Done(explanation) => {
                format!("{}: {} {}", entry.name, explanation.state, explanation.reason)
            }
            Reply::Problem(problem) => format!("{}: {}", entry.name, problem.detail),
            Reply::Broken(detail) => format!("{}: {detail}", entry.name),
        });
    }
    said.join("; ")
}
