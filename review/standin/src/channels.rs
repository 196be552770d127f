//! Machines that lead are removed for good, one after the other, and their channels to the workers stay. Standing work
//! must go on.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    cluster::{self, Cluster, HOST},
    http,
    record::Record,
    workers::Plan,
};

const WORKERS: u8 = 12;
const WATCHER: &str = "5c0e7a21d94b36f8";
const TASKS: u32 = 6;
/// Number of leaders that are removed.
const REMOVALS: u32 = 14;
/// Time between two removals.
const INTERVAL: Duration = Duration::from_millis(4_500);
/// Longest time to wait for an instance that leads.
const PATIENCE: Duration = Duration::from_secs(2);
/// How long the tasks are watched after the last removal.
const AFTER: Duration = Duration::from_secs(20);
/// The rule holds from this long after the last disruption on (the 3 s and the 4 s before them are calm).
const CALM: Duration = Duration::from_secs(7);
/// A task that lasts may be down for 6 s after its last run, and 3 s more.
const MOST_DOWN: Duration = Duration::from_secs(9);
/// `finish_s`: how long after the end of the traffic no accepted job may stand still, and for how long it may then.
const FINISH: Duration = Duration::from_secs(14);
const MOST_STILL: Duration = Duration::from_secs(3);
/// The client's jobs: their tasks, the work of each, and the pause between two jobs.
const JOB_TASKS: u32 = 96;
const JOB_WORK_MS: u64 = 300;
const JOB_PAUSE: Duration = Duration::from_millis(700);

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let queue = |name: &str, priority: u32| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "timeoutMs": 3000,
            "targetLatencyMs": 2500, "priority": priority, "service": "pool", "attempts": 3,
            "stretch": 2.2,
        })
    };
    let queues = [queue("check", 0), queue("watch", 1)];
    let mut cluster = Cluster::start(WORKERS, &queues, record)?;
    let pool = cluster.pool.clone();
    let lasting = Plan { is_lasting: true, work_ms: 0 };
    pool.plans.lock().unwrap().insert(WATCHER.to_owned(), lasting);
    let step = json!({
        "count": TASKS, "cpu": 13_000, "memMb": 28_000, "estRuntimeMs": 400, "longRunning": true,
        "antiAffinity": 1,
    });
    let body = json!({ "spec": "watch the rankings", "steps": [step] }).to_string();
    let answer = cluster.request(0, "POST", &format!("/watch/{WATCHER}"), body.as_bytes());
    if answer.is_none_or(|(status, _)| status != 200) {
        return Err(io::Error::other("the job was not accepted"));
    }
    let tasks: Vec<String> = (0..TASKS).map(|index| format!("{WATCHER}.0.0.{index}")).collect();
    let mut gone = Vec::new();
    let mut accepted = Vec::new();
    for removal in 0..REMOVALS {
        let until = Instant::now() + INTERVAL;
        let live: Vec<_> = (0..cluster.instances.len()).filter(|n| !gone.contains(n)).collect();
        // The clients go to the other instances: their requests end before the leader goes.
        let leader = live.iter().copied().find(|n| cluster.instances[*n].leads());
        let other = live.iter().copied().find(|n| Some(*n) != leader);
        let stopped = Arc::new(AtomicBool::new(false));
        let clients = other.map(|other| {
            let front = cluster.instances[other].front;
            let (pool, record, stopped) = (pool.clone(), record.clone(), stopped.clone());
            thread::spawn(move || send_jobs(front, removal, &pool, &record, &stopped))
        });
        thread::sleep(until.saturating_duration_since(Instant::now()));
        stopped.store(true, Ordering::SeqCst);
        accepted.extend(clients.and_then(|clients| clients.join().ok()).unwrap_or_default());
        let until = Instant::now() + PATIENCE;
        let mut leader = None;
        while has_trouble && leader.is_none() && Instant::now() < until {
            leader = live.iter().copied().find(|n| cluster.instances[*n].leads());
        }
        if let Some(leader) = leader {
            let name = &cluster.instances[leader].name;
            record.line(&format!("disruption: {name}, which leads, is removed for good"));
            cluster.instances[leader].silence()?;
            gone.push(leader);
            cluster.add_instance()?;
        }
    }
    record.line(&format!("{} jobs were accepted; the last machine is removed", accepted.len()));
    let calm = Instant::now();
    let mut last_up = vec![calm; tasks.len()];
    let mut last_moving = vec![calm; accepted.len()];
    let mut is_broken = false;
    while calm.elapsed() < AFTER {
        for (task, last_up) in tasks.iter().zip(&mut last_up) {
            if !pool.running_on(task).is_empty() {
                *last_up = Instant::now();
            }
            if calm.elapsed() > CALM + MOST_DOWN && last_up.elapsed() > MOST_DOWN && !is_broken {
                is_broken = true;
                record.line(&format!("LOST: {task} is to last, and has not run for 9 s"));
            }
        }
        for (job, last_moving) in accepted.iter().zip(&mut last_moving) {
            if !pool.stands_still(job, JOB_TASKS) {
                *last_moving = Instant::now();
            }
            if calm.elapsed() > FINISH + MOST_STILL
                && last_moving.elapsed() > MOST_STILL
                && !is_broken
            {
                is_broken = true;
                record.line(&format!(
                    "LOST: {job} was accepted, has tasks to run, and has had none running for 3 s"
                ));
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let still = accepted.iter().filter(|job| pool.stands_still(job, JOB_TASKS)).count();
    record.line(&format!("{still} of {} accepted jobs stand still", accepted.len()));
    let running = tasks.iter().filter(|task| !pool.running_on(task).is_empty()).count();
    record.line(&format!("{running} of {TASKS} tasks of the watcher run"));
    record.line(&format!(
        "the workers reset {} channels over their {}",
        pool.reset_channels(),
        http::CHANNELS
    ));
    Ok(!is_broken)
}

/// Hands jobs in at an instance until it is told to stop. Returns those that were accepted.
fn send_jobs(
    front: std::net::SocketAddr,
    round: u32,
    pool: &crate::workers::Pool,
    record: &Record,
    stopped: &AtomicBool,
) -> Vec<String> {
    let mut accepted = Vec::new();
    for number in 0_u32.. {
        if stopped.load(Ordering::SeqCst) {
            break;
        }
        let job =
            format!("{:016x}", 0x1000_0000_u64 + u64::from(round) * 1_000 + u64::from(number));
        let plan = Plan { is_lasting: false, work_ms: JOB_WORK_MS };
        pool.plans.lock().unwrap().insert(job.clone(), plan);
        let step =
            json!({ "count": JOB_TASKS, "cpu": 500, "memMb": 64, "estRuntimeMs": JOB_WORK_MS });
        let body = json!({ "spec": "check a page", "steps": [step] }).to_string();
        let headers = [
            ("Host", cluster::HOST),
            ("Content-Type", "application/json"),
            ("X-Deadline-Ms", "3000"),
        ];
        let path = format!("/check/{job}");
        let timeout = Duration::from_secs(3);
        let answer = http::call(front, "POST", &path, &headers, body.as_bytes(), timeout);
        let status = answer.map_or(0, |(status, _)| status);
        record.line(&format!("POST {path} -> {status}"));
        if status == 200 {
            accepted.push(job);
        }
        thread::sleep(JOB_PAUSE);
    }
    accepted
}
