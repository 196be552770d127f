//! The sample run: a little of everything that both deployments do, through real processes.

use std::time::Duration;

use lilacpass_schema::v1::{self, config_op};
use lilacpass_standin::Payload;
use tokio::time::{self, Instant};

use crate::{
    caller::{Balancer, Caller},
    cell::{Cell, CellOptions},
    client::Api,
    deployment::{Deployment, SWANFIELD, VINDBAAR},
    error::Result,
    judge::Evidence,
    ledger::{self, JobKind, Leaving, Ledger},
    load::{QUICK_RUN, QuickLoad},
    operator::{self, Operator},
    spans::Spans,
};

mod summary;

pub use summary::Summary;
use summary::{GANG_TASKS, WATCHERS};

const LONG_JOBS: u32 = 10;
const LONG_RUN: Duration = Duration::from_secs(3);
const GANGS: u32 = 2;
const GANG_RUN: Duration = Duration::from_secs(1);
const QUICK_PER_SECOND: u32 = 30;
const ALERT_EVERY: u32 = 10;
const QUICK_TIME: Duration = Duration::from_secs(7);
/// By then every job must have ended, counted from its submission.
const JOB_LIMIT: Duration = Duration::from_secs(16);
const OPERATOR_LIMIT: Duration = Duration::from_secs(5);
/// Watchers must all run by then, counted from the end of the jobs.
const WATCHER_LIMIT: Duration = Duration::from_secs(6);
const BEFORE_CHANGE: Duration = Duration::from_millis(500);
const BEFORE_DRAIN: Duration = Duration::from_millis(1000);
const BEFORE_KILL: Duration = Duration::from_millis(1500);
const BEFORE_CANCEL: Duration = Duration::from_millis(1500);
/// Entry instance that is killed.
const KILLED: usize = 1;

/// Runs both deployments at the same time.
pub async fn run() -> Result<Summary> {
    let (one, other) = tokio::try_join!(run_deployment(VINDBAAR), run_deployment(SWANFIELD))?;
    Ok(one.plus(other))
}

async fn run_deployment(deployment: Deployment) -> Result<Summary> {
    let mut cell = Cell::start(CellOptions::new(deployment)).await?;
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
    let watching = operator.watch_revisions();
    let quick = QuickLoad {
        deployment,
        per_second: QUICK_PER_SECOND,
        alert_every: ALERT_EVERY,
        duration: QUICK_TIME,
        longest_run: QUICK_RUN,
    };
    let (quick, (), cancelled, operated) = tokio::join!(
        quick.run(caller.clone()),
        run_jobs(deployment, &caller),
        cancel_one(deployment, &caller),
        operate(deployment, &operator, &mut cell),
    );
    let mut faults = operated?;
    faults.extend(cancelled);
    wait_for_watchers(&mut cell).await?;
    let traces = operator.final_traces().await;
    watching.abort();
    let counts = cell.counts().await?;
    let notes = ledger.notes().clone();
    let spans = Spans::new(&counts);
    let evidence =
        Evidence { notes: &notes, counts: &counts, spans: &spans, final_traces: &traces };
    Ok(Summary::count(&evidence, quick, faults).named(deployment.name))
}

/// Long jobs, gangs and one submitted watcher.
async fn run_jobs(deployment: Deployment, caller: &Caller) {
    let long = |number: u32| {
        let payload = payload(&format!("long-{number}"), LONG_RUN);
        (JobKind::Long, deployment.long(&payload))
    };
    let gang = |number: u32| {
        let payload = payload(&format!("gang-{number}"), GANG_RUN);
        (JobKind::Gang, deployment.gang(GANG_TASKS, &payload))
    };
    let jobs = (0..LONG_JOBS).map(long).chain((0..GANGS).map(gang));
    let mut running = tokio::task::JoinSet::new();
    for (kind, spec) in jobs {
        let caller = caller.clone();
        running.spawn(async move { caller.run_job(kind, &spec, JOB_LIMIT).await });
    }
    let watcher = deployment.watcher("id=watcher-0");
    caller.submit(JobKind::Watcher, &watcher, JOB_LIMIT).await;
    running.join_all().await;
}

/// Cancels one job while it runs; returns what went wrong.
async fn cancel_one(deployment: Deployment, caller: &Caller) -> Option<String> {
    let spec = deployment.long(&payload("cancelled-0", Duration::from_secs(600)));
    let Some(job_id) = caller.submit(JobKind::Cancelled, &spec, JOB_LIMIT).await else {
        return Some("the job to cancel was not accepted".to_owned());
    };
    time::sleep(BEFORE_CANCEL).await;
    if !caller.cancel(&job_id, OPERATOR_LIMIT).await {
        return Some("the cancellation was not accepted".to_owned());
    }
    match caller.follow("cancelled-0", &job_id, OPERATOR_LIMIT).await {
        Some(end) if end.state == "cancelled" => None,
        other => Some(format!("the cancelled job ended as {other:?}")),
    }
}

/// A rule change, standing work, a drained worker, an entry instance killed and replaced.
async fn operate(
    deployment: Deployment,
    operator: &Operator,
    cell: &mut Cell,
) -> Result<Vec<String>> {
    let mut faults = Vec::new();
    let standing = (1..WATCHERS).map(|n| standing_op(deployment, n)).collect();
    let revision = operator.change("trace-standing", standing, OPERATOR_LIMIT).await;
    faults.extend(revision.is_none().then(|| "standing work was not accepted".to_owned()));
    time::sleep(BEFORE_CHANGE).await;
    let rules = operator.change("trace-rules", vec![rules_op(deployment)], OPERATOR_LIMIT).await;
    match rules {
        Some(revision) => cell.wait_in_force(revision).await?,
        None => faults.push("the rule change was not accepted".to_owned()),
    }
    time::sleep(BEFORE_DRAIN).await;
    faults.extend(drain_one(operator, cell).await?);
    time::sleep(BEFORE_KILL).await;
    eprintln!("{} {}: kill {}", ledger::unix_ms(), deployment.name, cell.entries[KILLED].name);
    cell.kill_entry(KILLED).await?;
    operator.balancer.set_targets(cell.targets());
    cell.replace_entry(KILLED).await?;
    cell.wait_ready(KILLED).await?;
    operator.balancer.set_targets(cell.targets());
    Ok(faults)
}

/// Drains a worker on which something runs.
async fn drain_one(operator: &Operator, cell: &mut Cell) -> Result<Option<String>> {
    let counts = cell.counts().await?;
    let busy = counts.workers.iter().max_by_key(|worker| worker.running_now);
    let Some(worker) = busy.map(|worker| worker.worker.clone()) else {
        return Ok(Some("there is no worker to drain".to_owned()));
    };
    eprintln!("{} drain {worker}", ledger::unix_ms());
    let drain = v1::DrainWorker { worker: worker.clone(), draining: true };
    let drain = operator::op(config_op::Op::DrainWorker(drain));
    if operator.change("trace-drain", vec![drain], OPERATOR_LIMIT).await.is_none() {
        return Ok(Some("the drain was not accepted".to_owned()));
    }
    operator.ledger.notes().leavings.push(Leaving {
        worker,
        from_unix_ms: ledger::unix_ms(),
        until_unix_ms: u64::MAX,
        told_by_worker: false,
    });
    Ok(None)
}

fn standing_op(deployment: Deployment, number: u32) -> v1::ConfigOp {
    let name = summary::watcher_id(number);
    let spec = Some(deployment.watcher(&format!("id={name}")));
    operator::op(config_op::Op::UpsertStanding(v1::StandingWork { name, spec }))
}

fn rules_op(deployment: Deployment) -> v1::ConfigOp {
    let account = v1::AccountRule {
        team: deployment.team.to_owned(),
        account: deployment.first_account.to_owned(),
        priority: 10,
    };
    let rules = v1::Rules { accounts: vec![account], ..Default::default() };
    operator::op(config_op::Op::SetRules(rules))
}

async fn wait_for_watchers(cell: &mut Cell) -> Result<()> {
    let give_up_at = Instant::now() + WATCHER_LIMIT;
    loop {
        let spans = Spans::new(&cell.counts().await?);
        if summary::watchers_running(&spans).good == WATCHERS || Instant::now() > give_up_at {
            return Ok(());
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

fn payload(id: &str, run: Duration) -> String {
    Payload { id: id.to_owned(), run: Some(run), ..Payload::default() }.to_string()
}
