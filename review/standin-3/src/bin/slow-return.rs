//! A worker crashes twice, seconds apart. The standing tasks that may run there only come back one after the other, although
//! the worker is back and has room for all of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    process::ExitCode,
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use lilacpass_jobs::{JobKey, StepName, TaskName};
use lilacpass_platform_standin::load::{self, QUEUES};
use lilacpass_review_standin_3::{Bench, Verdict, main as run};
use lilacpass_schema::v1;
use tokio::time::{self, Instant};

/// Number of standing tasks. Together they need 3 of the 16 cores of the worker.
const TASKS: u32 = 30;
/// The worker, and the label that it alone has and that the tasks require.
const WORKER: usize = 11;
const LABEL: &str = "rack-of-one";
/// When the worker crashes, in ms after the job was accepted, and how long it is down. The site file names up to 4.5 s.
const CRASHES_MS: [u64; 2] = [3_000, 9_000];
const DOWNTIME: Duration = Duration::from_millis(1_500);
/// How long the run is observed.
const OBSERVED: Duration = Duration::from_secs(45);
/// The bounds of the rule: 3 s without a run, from 6 s after the last run, in a calm that lasts since 4 s before these 3 s.
const NOT_RUNNING_MS: u64 = 3_000;
const SINCE_LAST_RUN_MS: u64 = 6_000;
const CALM_BEFORE_MS: u64 = 4_000;
/// How long until the leader knows the label. Workers register twice a second, and the leader reads that as often.
const REGISTRATION_WAIT: Duration = Duration::from_secs(2);
/// Interval between two looks at the workers.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    run(case)
}

async fn case(bench: &mut Bench) -> io::Result<Verdict> {
    bench.wait_until_ready().await?;
    // The stand-in's second label, the rack, is the name of the data centre.
    bench.cluster.cell.workers.borrow_mut()[WORKER].data_centre = LABEL.to_owned();
    time::sleep(REGISTRATION_WAIT).await;
    let step = submit(bench).await?;
    let start = Instant::now();
    let has_trouble = bench.has_trouble;
    let mut crashes = CRASHES_MS.into_iter().filter(|_| has_trouble).peekable();
    let mut calm_since_ms = 0;
    let mut last_seen_ms: BTreeMap<u32, u64> = BTreeMap::new();
    let mut late: BTreeSet<u32> = BTreeSet::new();
    let mut recorded = 0;
    while start.elapsed() < OBSERVED {
        let now_ms = start.elapsed().as_millis() as u64;
        if crashes.next_if(|at_ms| *at_ms <= now_ms).is_some() {
            crash_worker(bench);
            calm_since_ms = now_ms + DOWNTIME.as_millis() as u64;
        }
        let running = running_tasks(bench, step);
        running.iter().for_each(|index| {
            last_seen_ms.insert(*index, now_ms);
        });
        if running.len().abs_diff(recorded) >= 5 || running.len() == TASKS as usize {
            if running.len() != recorded {
                bench.record.line(format!("{} of {TASKS} tasks run", running.len()));
            }
            recorded = running.len();
        }
        let is_calm = now_ms >= calm_since_ms + CALM_BEFORE_MS + NOT_RUNNING_MS;
        let is_late = |index: &u32| {
            let last_ms = last_seen_ms.get(index).copied().unwrap_or(0);
            now_ms >= last_ms + SINCE_LAST_RUN_MS + NOT_RUNNING_MS
        };
        if is_calm {
            late.extend((0..TASKS).filter(is_late));
        }
        time::sleep(LOOK_INTERVAL).await;
    }
    let begun = last_seen_ms.len();
    bench.record.line(format!(
        "{} tasks had no run for over {SINCE_LAST_RUN_MS} + {NOT_RUNNING_MS} ms, in calm; {begun} have run at all",
        late.len()
    ));
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Submits the standing job, and returns its step.
async fn submit(bench: &mut Bench) -> io::Result<StepName> {
    let [.., watch] = QUEUES;
    let step = v1::WorkStep {
        count: TASKS,
        cpu_milli: 100,
        memory_mb: 64,
        estimate_ms: 400,
        lasting: true,
        ..Default::default()
    };
    let plan = v1::WorkPlan { payload: "work".to_owned(), steps: vec![step], ..Default::default() };
    let key = JobKey(0x1234_5678_9abc_0001);
    bench.cluster.cell.checker.borrow_mut().plans.insert(key, plan.clone());
    let mut body = load::plan_json(&plan);
    body["steps"][0]["requiredLabel"] = LABEL.into();
    let text = Bytes::from(body.to_string());
    let callers = bench.cluster.callers.clone();
    let response = callers.send_with_key(Method::POST, watch, &key.to_string(), text, "").await;
    bench.record.line(format!("POST /{}/{key} {body} -> {response:?}", watch.name));
    match response {
        Some((status, _)) if status.is_success() => {
            Ok(StepName { job: key, occurrence: 0, step: 0 })
        }
        _ => Err(io::Error::other("the job is not accepted")),
    }
}

/// Crashes the worker. It comes back under a new id, as the pages of the site say, and its former entry is removed.
fn crash_worker(bench: &mut Bench) {
    let cell = bench.cluster.cell.clone();
    let former = cell.workers.borrow()[WORKER].name.clone();
    let next = format!("{former}-again");
    bench.record.line(format!("{former} crashes; {next} takes its place after {DOWNTIME:?}"));
    tokio::task::spawn_local({
        let cell = cell.clone();
        async move { cell.crash_for(WORKER, DOWNTIME).await }
    });
    tokio::task::spawn_local(async move {
        time::sleep(DOWNTIME / 2).await;
        cell.workers.borrow_mut()[WORKER].name = next;
        time::sleep(DOWNTIME / 2).await;
        cell.publish_registration(&former, &[]);
    });
}

/// The indices of the tasks that run.
fn running_tasks(bench: &Bench, step: StepName) -> BTreeSet<u32> {
    let cell = &bench.cluster.cell;
    let now_ms = cell.now_ms();
    let workers = cell.workers.borrow();
    let alive = workers.iter().filter(|worker| worker.alive);
    let runs = alive.flat_map(|worker| worker.progress(now_ms));
    let is_ours = |task: &TaskName| task.step == step;
    runs.map(|(task, ..)| task).filter(is_ours).map(|task| task.index).collect()
}
