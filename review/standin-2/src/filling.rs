//! A job of filling tasks, after the crash of the workers on which no task serves its own users.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    cell::Cell,
    world::{Job, Step, Task},
};

const SERVING: &str = "5c0e7a21d94b36f8";
const FILLING: [&str; 2] = ["9b1f30c7e2a85d46", "27d4c98e01fb6a35"];
const WORKERS: usize = 16;
const SERVING_TASKS: u64 = 14;
const FILLING_TASKS: u64 = 2;
/// Jobs are judged this long after the last one was handed in (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);
const OBSERVED: Duration = Duration::from_secs(30);
/// A job must not have nothing running for this long.
const MAX_IDLE_MS: u64 = 3_000;

fn filling_job() -> Job {
    let step = Step {
        count: FILLING_TASKS,
        cpu: 2_000,
        runtime_ms: 2_000,
        fills: true,
        ..Step::default()
    };
    Job { spec: "fill".to_owned(), steps: vec![step], ..Job::default() }
}

pub fn run(record: &str, trouble: bool) -> io::Result<Outcome> {
    let mut cell = Cell::new()?;
    cell.publish(1, &[("watch", 1, 2), ("long", 2, 4)]);
    for n in 0..WORKERS {
        let zone = ["a", "b", "c"][n % 3];
        cell.add_worker(zone, ["std", &format!("rack-{zone}")], 16_000)?;
    }
    for zone in ["a", "b", "c"] {
        cell.start_instance(zone)?;
    }
    if !cell.wait_until_ready(Duration::from_secs(15)) {
        cell.finish(record, true)?;
        return Ok(Outcome::NotRun("instances do not get ready".to_owned()));
    }
    let step = Step {
        count: SERVING_TASKS,
        cpu: 2_000,
        runtime_ms: 400,
        lasting: true,
        target_ms: 200,
        per_worker: 1,
        ..Step::default()
    };
    let serving = Job { spec: "serve".to_owned(), steps: vec![step], ..Job::default() };
    let mut is_accepted = cell.submit("watch", SERVING, serving);
    thread::sleep(Duration::from_secs(3));
    is_accepted &= cell.submit("long", FILLING[0], filling_job());
    thread::sleep(Duration::from_secs(5));
    if !is_accepted || cell.state("long", FILLING[0]) != "completed" {
        cell.finish(record, true)?;
        return Ok(Outcome::NotRun("the jobs before the disruption do not run".to_owned()));
    }
    let free: Vec<usize> = {
        let world = cell.world();
        (0..WORKERS).filter(|n| world.workers[*n].is_idle()).collect()
    };
    cell.world().note(format!("{} workers run nothing", free.len()));
    if trouble {
        free.iter().for_each(|n| cell.world().crash(*n));
        thread::sleep(Duration::from_secs(1));
    }
    if !cell.submit("long", FILLING[1], filling_job()) {
        cell.finish(record, true)?;
        return Ok(Outcome::NotRun("the last job is not accepted".to_owned()));
    }
    thread::sleep(FINISH);
    let tasks: Vec<Task> =
        (0..FILLING_TASKS).map(|index| Task(FILLING[1].to_owned(), 0, 0, index)).collect();
    let begin = Instant::now();
    let mut idle_since = Instant::now();
    let mut longest_ms = 0;
    while begin.elapsed() < OBSERVED {
        let world = cell.world();
        let is_done = |task: &Task| world.tasks.get(task).is_some_and(|history| history.done);
        let is_running = tasks.iter().any(|task| world.worker_of(task).is_some());
        if is_running || tasks.iter().all(is_done) {
            idle_since = Instant::now();
        }
        longest_ms = longest_ms.max(idle_since.elapsed().as_millis() as u64);
        drop(world);
        thread::sleep(Duration::from_millis(10));
    }
    let state = cell.state("long", FILLING[1]);
    cell.world().note(format!("{}: {state}, {longest_ms} ms idle at most", FILLING[1]));
    if longest_ms > MAX_IDLE_MS {
        let text = format!(
            "LOST {} is {state} and has had nothing running for {longest_ms} ms",
            FILLING[1]
        );
        cell.world().break_rule(text);
    }
    let broken = cell.world().broken.clone();
    broken.iter().for_each(|line| println!("{line}"));
    cell.finish(record, false)?;
    Ok(if broken.is_empty() { Outcome::Held } else { Outcome::Broken })
}
