//! A standing watcher whose worker crashes three times, once in some seconds.

use std::{io, thread, time::Duration};

use crate::{
    Outcome,
    cell::Cell,
    world::{Job, Step, Task},
};

const QUEUE: &str = "watch";
const ID: &str = "5c0e7a21d94b36f8";
const WORKERS: usize = 8;
/// How long the task works before its worker crashes.
const WORK: Duration = Duration::from_millis(4_000);
/// How long a crashed worker is down; then it starts again, under a new id at the address of its machine.
const DOWN: Duration = Duration::from_millis(4_500);
const CRASHES: usize = 3;
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
    let step = Step { count: 1, cpu: 2_000, runtime_ms: 500, lasting: true, ..Step::default() };
    let job = Job { spec: "watch".to_owned(), steps: vec![step], ..Job::default() };
    if !cell.submit(QUEUE, ID, job) {
        cell.finish(record, true)?;
        return Ok(Outcome::NotRun("the job is not accepted".to_owned()));
    }
    let task = Task(ID.to_owned(), 0, 0, 0);
    for _ in 0..CRASHES {
        if !wait_until_running(&cell, &task, Duration::from_secs(15)) {
            break;
        }
        thread::sleep(WORK);
        let Some(n) = cell.world().worker_of(&task).filter(|_| trouble) else { continue };
        cell.world().crash(n);
        thread::sleep(DOWN);
        cell.restart_worker(n);
    }
    // From the last crash on nothing is disturbed.
    thread::sleep(Duration::from_secs(12));
    let state = cell.state(QUEUE, ID);
    let is_running = cell.world().worker_of(&task).is_some();
    let (away_ms, failed_ends) = {
        let mut world = cell.world();
        let now_ms = world.now_ms();
        let history = world.tasks.entry(task.clone()).or_default();
        (now_ms.saturating_sub(history.last_running_ms), history.failed_ends)
    };
    if matches!(state.as_str(), "failed" | "cancelled") {
        let text = format!(
            "LOST {ID} is shown as {state}; {failed_ends} ends failed, nobody cancelled it"
        );
        cell.world().break_rule(text);
    }
    if !is_running && away_ms > MAX_AWAY_MS {
        cell.world().break_rule(format!("LOST {task} lasts, and has not run for {away_ms} ms"));
    }
    let is_broken = !cell.world().broken.is_empty();
    for line in cell.world().broken.iter() {
        println!("{line}");
    }
    cell.finish(record, false)?;
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}

fn wait_until_running(cell: &Cell, task: &Task, timeout: Duration) -> bool {
    let steps = timeout.as_millis() / 20;
    for _ in 0..steps {
        if cell.world().worker_of(task).is_some() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
