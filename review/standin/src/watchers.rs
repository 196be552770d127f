//! Standing jobs whose task loses its worker to a crash again and again. They must stay open until they are cancelled.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    cluster::{Cluster, HOST},
    record::Record,
    workers::{Plan, Pool},
};

const WORKERS: u8 = 12;
const TASKS: u32 = 6;
/// How long a crashed worker is down.
const DOWN: Duration = Duration::from_millis(4_500);
/// Longest time to wait until a task is at work.
const PATIENCE: Duration = Duration::from_secs(15);
/// How long a job is asked for after the last crash.
const AFTER: Duration = Duration::from_secs(12);
/// Pause between two questions of the client.
const ASK: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(10);

/// A job, and what happens to the workers of its first task.
struct Story {
    job: &'static str,
    crashes: usize,
    /// How long the task has been at work when its worker crashes.
    at_work_for: Duration,
}

const STORIES: [Story; 2] = [
    Story { job: "5c0e7a21d94b36f8", crashes: 3, at_work_for: Duration::from_secs(3) },
    Story { job: "90b1d6477ce2583a", crashes: 2, at_work_for: Duration::from_millis(50) },
];

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let queue = json!({
        "name": "watch", "host": HOST, "pathPrefix": "/watch/", "timeoutMs": 3000,
        "targetLatencyMs": 2500, "priority": 1, "service": "pool", "attempts": 2, "stretch": 2.2,
    });
    let cluster = Cluster::start(WORKERS, &[queue], record)?;
    let mut client = Client { cluster, record: record.clone(), asked: Instant::now(), next: 0 };
    let mut holds = true;
    for story in STORIES {
        holds &= play(&mut client, &story, has_trouble)?;
    }
    Ok(holds)
}

/// Plays a story with a job of its own. Returns whether the rule held.
fn play(client: &mut Client, story: &Story, has_trouble: bool) -> io::Result<bool> {
    let Story { job, crashes, at_work_for } = story;
    let path = format!("/watch/{job}");
    let plan = Plan { is_lasting: true, work_ms: 0 };
    client.cluster.pool.plans.lock().unwrap().insert((*job).to_owned(), plan);
    let step = json!({
        "count": TASKS, "cpu": 13_000, "memMb": 28_000, "estRuntimeMs": 400, "longRunning": true,
        "antiAffinity": 1,
    });
    let body = json!({ "spec": "watch the rankings", "steps": [step] }).to_string();
    let answer = client.cluster.request(0, "POST", &path, body.as_bytes());
    if answer.is_none_or(|(status, _)| status != 200) {
        return Err(io::Error::other("the job was not accepted"));
    }
    let tasks: Vec<String> = (0..TASKS).map(|index| format!("{job}.0.0.{index}")).collect();
    let watched = &tasks[0];
    let mut is_broken = false;
    for _ in 0..*crashes {
        let number = client
            .ask_until(&path, PATIENCE, &mut is_broken, |pool| pool.at_work_on(watched))
            .ok_or_else(|| io::Error::other("the task is not at work"));
        let number = match number {
            Ok(number) => number,
            // The job has been failed before the last crash.
            Err(_) if is_broken => break,
            Err(error) => return Err(error),
        };
        client.ask_until(&path, *at_work_for, &mut is_broken, |_| None::<()>);
        if has_trouble {
            client.cluster.pool.crash(number, DOWN);
        }
        client.ask_until(&path, PATIENCE, &mut is_broken, |pool| {
            pool.workers[number].is_up().then_some(())
        });
    }
    client.ask_until(&path, AFTER, &mut is_broken, |_| None::<()>);
    let pool = &client.cluster.pool;
    let at_work = tasks.iter().filter(|task| pool.at_work_on(task).is_some()).count();
    client.record.line(&format!("{at_work} of {TASKS} tasks of {job} are at work"));
    Ok(!is_broken)
}

/// A client that asks for the state of its job at one instance after the other.
struct Client {
    cluster: Cluster,
    record: Record,
    asked: Instant,
    next: usize,
}

impl Client {
    /// Asks now and then until `find` finds something or `most` has passed.
    fn ask_until<T>(
        &mut self,
        path: &str,
        most: Duration,
        is_broken: &mut bool,
        find: impl Fn(&Pool) -> Option<T>,
    ) -> Option<T> {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if let Some(found) = find(&self.cluster.pool) {
                return Some(found);
            }
            if self.asked.elapsed() >= ASK {
                self.asked = Instant::now();
                self.ask(path, is_broken);
            }
            thread::sleep(STEP);
        }
        None
    }

    /// Asks once. Nobody has cancelled the job, and no run of it has ended as failed.
    fn ask(&mut self, path: &str, is_broken: &mut bool) {
        self.next = (self.next + 1) % self.cluster.instances.len();
        let Some((status, body)) = self.cluster.request(self.next, "GET", path, &[]) else {
            return;
        };
        let state = serde_json::from_str::<Value>(&body).unwrap_or_default();
        let state = state["state"].as_str().unwrap_or_default();
        if !*is_broken && (status == 410 || matches!(state, "failed" | "cancelled")) {
            *is_broken = true;
            self.record.line(&format!(
                "LOST: {path}: nobody has cancelled the job, and none of its runs has ended as failed"
            ));
        }
    }
}
