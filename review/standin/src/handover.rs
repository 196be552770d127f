//! A worker is cut off from the store for five seconds, and again a second later. During the second cut the leader is
//! stopped as planned. The instances reach the worker all the time, so its task must not be started a second time while
//! it runs there.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    cluster::{Cluster, HOST},
    record::Record,
    workers::Plan,
};

const WORKERS: u8 = 12;
const JOB: &str = "5c0e7a21d94b36f8";
const PATH: &str = "/audit/5c0e7a21d94b36f8";
/// Work of the task.
const WORK_MS: u64 = 25_000;
/// How long the task has been at work before the cut.
const CALM: Duration = Duration::from_secs(3);
/// When the cuts begin, after an entry of the worker. Between them the worker reaches the store for more than a second,
/// but none of its entries falls into that time.
const CUTS_AFTER: [Duration; 2] = [Duration::from_millis(1_100), Duration::from_millis(7_200)];
/// Length of a cut.
const CUT: Duration = Duration::from_secs(5);
/// The leader gets SIGTERM this long after the second cut has begun.
const TERM_AFTER: Duration = Duration::from_millis(400);
/// How long the workers are watched after the second cut has healed.
const AFTER: Duration = Duration::from_secs(12);
const PATIENCE: Duration = Duration::from_secs(15);

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let queue = json!({
        "name": "audit", "host": HOST, "pathPrefix": "/audit/", "timeoutMs": 3000,
        "targetLatencyMs": 1200, "priority": 2, "service": "pool", "attempts": 4, "stretch": 2.2,
    });
    let mut cluster = Cluster::start(WORKERS, &[queue], record)?;
    cluster
        .pool
        .plans
        .lock()
        .unwrap()
        .insert(JOB.to_owned(), Plan { is_lasting: false, work_ms: WORK_MS });
    let step = json!({ "count": 1, "cpu": 11_000, "memMb": 40_000, "estRuntimeMs": WORK_MS });
    let body = json!({ "spec": "audit the shop", "steps": [step] }).to_string();
    let answer = cluster.request(0, "POST", PATH, body.as_bytes());
    if answer.is_none_or(|(status, _)| status != 200) {
        return Err(io::Error::other("the job was not accepted"));
    }
    let task = format!("{JOB}.0.0.0");
    let number = wait_for(PATIENCE, || cluster.pool.at_work_on(&task))
        .ok_or_else(|| io::Error::other("the task did not begin"))?;
    thread::sleep(CALM);
    let former = cluster.pool.last_entry(number);
    let entry = wait_for(PATIENCE, || {
        cluster.pool.last_entry(number).filter(|_| cluster.pool.last_entry(number) != former)
    })
    .ok_or_else(|| io::Error::other("the worker does not write its entry"))?;
    let leader = cluster.instances.iter().position(|instance| instance.leads());
    let leader = leader.ok_or_else(|| io::Error::other("nobody leads"))?;
    let pool = cluster.pool.clone();
    let mut watch = Watch { record: record.clone(), task: task.clone(), is_broken: false };
    for (cut, begins_after) in CUTS_AFTER.into_iter().enumerate() {
        let begins = entry + begins_after;
        watch.until(begins, &pool);
        if has_trouble {
            pool.cut_from_store(number, true);
        }
        if cut == 1 {
            watch.until(begins + TERM_AFTER, &pool);
            record.line(&format!(
                "planned: SIGTERM to {}, which leads",
                cluster.instances[leader].name
            ));
            cluster.instances[leader].terminate()?;
        }
        watch.until(begins + CUT, &pool);
        if has_trouble {
            pool.cut_from_store(number, false);
        }
    }
    watch.until(Instant::now() + AFTER, &pool);
    if !cluster.instances[leader].has_ended() {
        return Err(io::Error::other("the stopped instance did not end"));
    }
    cluster.instances[leader].start()?;
    let other = (leader + 1) % cluster.instances.len();
    cluster.request(other, "GET", PATH, &[]);
    Ok(!watch.is_broken)
}

fn wait_for<T>(most: Duration, find: impl Fn() -> Option<T>) -> Option<T> {
    let until = Instant::now() + most;
    loop {
        if let Some(found) = find() {
            return Some(found);
        }
        if Instant::now() > until {
            return None;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Watches on how many workers the task runs.
struct Watch {
    record: Record,
    task: String,
    is_broken: bool,
}

impl Watch {
    fn until(&mut self, end: Instant, pool: &crate::workers::Pool) {
        while Instant::now() < end {
            let workers = pool.running_on(&self.task);
            if workers.len() > 1 && !self.is_broken {
                self.is_broken = true;
                self.record.line(&format!(
                    "TWICE: {} runs on {} at the same time",
                    self.task,
                    workers.join(" and ")
                ));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}
