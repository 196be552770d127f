//! Standing watchers while the workers crash one after the other, each once.

use std::{io, thread, time::Duration};

use crate::{
    Outcome,
    cell::Cell,
    world::{Job, Step, Task},
};

const QUEUE: &str = "watch";
const IDS: [&str; 6] = [
    "5c0e7a21d94b36f8",
    "9b1f30c7e2a85d46",
    "27d4c98e01fb6a35",
    "e86a5b13f07c2d94",
    "41f7d0c62b9e835a",
    "b30985ea7c16f24d",
];
const WORKERS: usize = 8;
const TASKS: u64 = 8;
/// How long a crashed worker is down; then it starts again, under a new id at the address of its machine.
const DOWN: Duration = Duration::from_millis(4_500);
/// Pause until the next worker crashes.
const PAUSE: Duration = Duration::from_millis(500);
/// Time after the last crash, in which nothing is disturbed.
const CALM: Duration = Duration::from_secs(14);
/// A task that lasts must run again this long after its last run (6 s), and then for 3 s more have had nothing running.
const MAX_AWAY_MS: u64 = 9_000;

pub fn run(record: &str, trouble: bool) -> io::Result<Outcome> {
    let mut cell = Cell::new()?;
    cell.publish(1, &[(QUEUE, 1, 2)]);
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
    for id in IDS {
        let step =
            Step { count: TASKS, cpu: 1_000, runtime_ms: 400, lasting: true, ..Step::default() };
        let job = Job { spec: "watch".to_owned(), steps: vec![step], ..Job::default() };
        if !cell.submit(QUEUE, id, job) {
            cell.finish(record, true)?;
            return Ok(Outcome::NotRun("a job is not accepted".to_owned()));
        }
    }
    thread::sleep(Duration::from_secs(5));
    for n in 0..WORKERS {
        if trouble {
            cell.world().crash(n);
        }
        thread::sleep(DOWN);
        if trouble {
            cell.restart_worker(n);
        }
        thread::sleep(PAUSE);
    }
    thread::sleep(CALM);
    for id in IDS {
        let state = cell.state(QUEUE, id);
        let mut world = cell.world();
        let tasks: Vec<Task> = (0..TASKS).map(|index| Task(id.to_owned(), 0, 0, index)).collect();
        let failed: u64 = tasks.iter().map(|task| world.tasks[task].failed_ends).sum();
        let now_ms = world.now_ms();
        let is_away = |task: &&Task| {
            let away_ms = now_ms - world.tasks[*task].last_running_ms;
            world.worker_of(task).is_none() && away_ms > MAX_AWAY_MS
        };
        let away = tasks.iter().filter(is_away).count();
        if matches!(state.as_str(), "failed" | "cancelled") {
            world.break_rule(format!("LOST {id} is shown as {state}; {failed} runs ended failed"));
        }
        if away > 0 {
            world.break_rule(format!("LOST {id}: {away} lasting tasks do not run for over 9 s"));
        }
    }
    let broken = cell.world().broken.clone();
    broken.iter().for_each(|line| println!("{line}"));
    cell.finish(record, false)?;
    Ok(if broken.is_empty() { Outcome::Held } else { Outcome::Broken })
}
