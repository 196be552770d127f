//! A standing job whose task loses its worker to a crash three times. The job must stay open until it is cancelled.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    cluster::{Cluster, HOST},
    record::Record,
    workers::Plan,
};

const WORKERS: u8 = 12;
const TASKS: u32 = 6;
const JOB: &str = "5c0e7a21d94b36f8";
const PATH: &str = "/watch/5c0e7a21d94b36f8";
const CRASHES: usize = 3;
/// How long a crashed worker is down.
const DOWN: Duration = Duration::from_millis(4_500);
/// How long the task is at work before its next worker crashes.
const CALM: Duration = Duration::from_secs(3);
/// Longest time to wait until the task is at work.
const PATIENCE: Duration = Duration::from_secs(15);
/// How long the job is asked for after the last crash.
const AFTER: Duration = Duration::from_secs(14);
const PAUSE: Duration = Duration::from_millis(500);

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let queue = json!({
        "name": "watch", "host": HOST, "pathPrefix": "/watch/", "timeoutMs": 3000,
        "targetLatencyMs": 2500, "priority": 1, "service": "pool", "attempts": 2, "stretch": 2.2,
    });
    let cluster = Cluster::start(WORKERS, &[queue], record)?;
    let plan = Plan { is_lasting: true, work_ms: 0 };
    cluster.pool.plans.lock().unwrap().insert(JOB.to_owned(), plan);
    let step = json!({
        "count": TASKS, "cpu": 13_000, "memMb": 28_000, "estRuntimeMs": 400, "longRunning": true,
        "antiAffinity": 1,
    });
    let body = json!({ "spec": "watch the rankings", "steps": [step] }).to_string();
    let answer = cluster.request(0, "POST", PATH, body.as_bytes());
    if answer.is_none_or(|(status, _)| status != 200) {
        return Err(io::Error::other("the job was not accepted"));
    }
    let mut client = Client { cluster, record: record.clone(), next: 0, is_broken: false };
    let tasks: Vec<String> = (0..TASKS).map(|index| format!("{JOB}.0.0.{index}")).collect();
    let watched = &tasks[0];
    if !client.ask_until(PATIENCE, |pool| tasks.iter().all(|t| pool.at_work_on(t).is_some())) {
        return Err(io::Error::other("the tasks did not begin"));
    }
    for _ in 0..CRASHES {
        client.ask_until(CALM, |_| false);
        if client.is_broken {
            break;
        }
        let Some(number) = client.cluster.pool.at_work_on(watched) else {
            return Err(io::Error::other("the task is not at work"));
        };
        if has_trouble {
            client.cluster.pool.crash(number, DOWN);
        }
        let is_over = |pool: &crate::workers::Pool| {
            pool.workers[number].is_up() && pool.at_work_on(watched).is_some()
        };
        thread::sleep(PAUSE);
        client.ask_until(PATIENCE, is_over);
    }
    client.ask_until(AFTER, |_| false);
    let at_work =
        tasks.iter().filter(|task| client.cluster.pool.at_work_on(task).is_some()).count();
    record.line(&format!("{at_work} of {TASKS} tasks are at work"));
    Ok(!client.is_broken)
}

/// A client that asks for the state of the job at one instance after the other.
struct Client {
    cluster: Cluster,
    record: Record,
    next: usize,
    is_broken: bool,
}

impl Client {
    /// Asks until `is_over` holds or `most` has passed. Returns whether it held.
    fn ask_until(
        &mut self,
        most: Duration,
        is_over: impl Fn(&crate::workers::Pool) -> bool,
    ) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            self.ask();
            if is_over(&self.cluster.pool) {
                return true;
            }
            thread::sleep(PAUSE);
        }
        false
    }

    /// Asks once. Nobody has cancelled the job, and no run of it has ended as failed.
    fn ask(&mut self) {
        self.next = (self.next + 1) % self.cluster.instances.len();
        let Some((status, body)) = self.cluster.request(self.next, "GET", PATH, &[]) else {
            return;
        };
        let state = serde_json::from_str::<Value>(&body).unwrap_or_default();
        let state = state["state"].as_str().unwrap_or_default();
        if !self.is_broken && (status == 410 || matches!(state, "failed" | "cancelled")) {
            self.is_broken = true;
            self.record.line(
                "LOST: nobody has cancelled the job, and none of its runs has ended as failed",
            );
        }
    }
}
