//! Workers crash one after the other, seconds apart, and an accepted job whose tasks ran there is shown as failed.

use std::{io, process::ExitCode, time::Duration};

use lilacpass_jobs::{JobKey, StepName};
use lilacpass_platform_standin::load::{QUEUES, Queue};
use lilacpass_review_standin_3::{Bench, Verdict, main as run};
use lilacpass_schema::v1;
use tokio::time::{self, Instant};

/// How long a crashed worker is down. The site file names up to 4.5 s.
const DOWNTIME: Duration = Duration::from_millis(1_500);
/// How long a run of the quick check, which takes 1 s, has lasted when its worker crashes.
const QUICK_CRASH_AFTER: Duration = Duration::from_millis(250);
/// Workers that crash one after the other while a gang runs on all workers.
const GANG_VICTIMS: [Option<usize>; 3] = [Some(2), Some(5), Some(9)];
/// How long a run of the watcher or of the gang has lasted when a worker crashes.
const LONG_CRASH_AFTER: Duration = Duration::from_secs(4);
/// After a crash, how long runs that another member's end has broken may go on.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// How long a run may take to begin.
const START_TIMEOUT: Duration = Duration::from_secs(15);

fn main() -> ExitCode {
    run(case)
}

async fn case(bench: &mut Bench) -> io::Result<Verdict> {
    bench.wait_until_ready().await?;
    let [quick, _, watch] = QUEUES;
    let step = |count, estimate_ms, lasting| v1::WorkStep {
        count,
        cpu_milli: 2_000,
        memory_mb: 512,
        estimate_ms,
        lasting,
        ..Default::default()
    };
    let plan =
        |step| v1::WorkPlan { payload: "work".to_owned(), steps: vec![step], ..Default::default() };
    let check = plan(step(2, 1_000, false));
    let check = crash_under(bench, quick, check, &[None; 2], QUICK_CRASH_AFTER).await?;
    let watcher = plan(step(2, 400, true));
    let watcher = crash_under(bench, watch, watcher, &[None; 3], LONG_CRASH_AFTER).await?;
    // Each task needs most of a worker, so that the gang runs on all of them. Its queue is public: the accounts of the
    // others have caps that are too small for it.
    let gang = v1::WorkStep { gang: true, cpu_milli: 9_000, ..step(12, 9_000, false) };
    let gang = crash_under(bench, watch, plan(gang), &GANG_VICTIMS, LONG_CRASH_AFTER).await?;
    let is_broken = [check, watcher, gang].iter().any(|state| state == "failed");
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Submits a job, and crashes `victims` one after the other, each `after` a run of its first task has begun; `None` stands
/// for the worker of that run. Returns the state of the job that is shown in the end.
async fn crash_under(
    bench: &mut Bench,
    queue: Queue,
    plan: v1::WorkPlan,
    victims: &[Option<usize>],
    after: Duration,
) -> io::Result<String> {
    let is_lasting = plan.steps[0].lasting;
    let key = bench.submit(queue, plan).await?;
    let task = StepName { job: key, occurrence: 0, step: 0 }.task(0);
    for (number, victim) in (1..).zip(victims) {
        let Some((worker, run)) = bench.wait_for_run(task, START_TIMEOUT).await else {
            let state = bench.state(queue, key).await;
            bench.record.line(format!("{task} is not started; the job is shown as {state}"));
            return Ok(state);
        };
        bench.record.line(format!("worker {worker} runs {task}, run {run}"));
        time::sleep(after).await;
        if bench.has_trouble {
            let cell = bench.cluster.cell.clone();
            let worker = victim.unwrap_or(worker);
            bench.record.line(format!("crash {number}: worker {worker} is down for {DOWNTIME:?}"));
            tokio::task::spawn_local(async move { cell.crash_for(worker, DOWNTIME).await });
            time::sleep(SETTLE_TIME).await;
        }
    }
    let last = if is_lasting { "running" } else { "completed" };
    watch_state(bench, queue, key, last).await
}

/// Looks at the state of a job until it is shown as failed or completed, for 15 s at most.
async fn watch_state(
    bench: &mut Bench,
    queue: Queue,
    key: JobKey,
    expected: &str,
) -> io::Result<String> {
    let end = Instant::now() + Duration::from_secs(15);
    let mut shown = String::new();
    loop {
        let state = bench.state(queue, key).await;
        if state != shown {
            bench.record.line(format!("GET /{}/{key} -> {state}", queue.name));
            shown = state;
        }
        if matches!(shown.as_str(), "failed" | "completed") || Instant::now() >= end {
            break;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    bench.record.line(format!(
        "{key}: shown as {shown}, expected {expected}; the workers have ended no run as failed"
    ));
    Ok(shown)
}
