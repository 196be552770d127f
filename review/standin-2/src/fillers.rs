//! A standing job of filling tasks, one of which may be away, when a job comes whose tasks serve.

use std::{io, thread, time::Duration};

use crate::{
    Outcome,
    cell::Cell,
    world::{Job, Step, Task},
};

const FILLING: &str = "9b1f30c7e2a85d46";
const SERVING: &str = "5c0e7a21d94b36f8";
const WORKERS: usize = 8;
const FILLING_TASKS: u64 = 4;
const MAY_MISS: usize = 1;
/// A task that lasts must run again this long after its last run (6 s), and then for 3 s more have had nothing running.
const MAX_AWAY_MS: u64 = 9_000;

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
    let lasting = Step { cpu: 2_000, runtime_ms: 400, lasting: true, ..Step::default() };
    let filling =
        Step { count: FILLING_TASKS, fills: true, may_miss: MAY_MISS as u64, ..lasting.clone() };
    let filling = Job { spec: "fill".to_owned(), steps: vec![filling], ..Job::default() };
    if !cell.submit("long", FILLING, filling) {
        cell.finish(record, true)?;
        return Ok(Outcome::NotRun("the filling job is not accepted".to_owned()));
    }
    // Long enough for the cell to be calm.
    thread::sleep(Duration::from_secs(8));
    let tasks: Vec<Task> =
        (0..FILLING_TASKS).map(|index| Task(FILLING.to_owned(), 0, 0, index)).collect();
    if tasks.iter().any(|task| cell.world().worker_of(task).is_none()) {
        cell.finish(record, true)?;
        return Ok(Outcome::NotRun("the filling tasks do not run".to_owned()));
    }
    if trouble {
        let count = WORKERS as u64;
        let serving = Step { count, target_ms: 200, per_worker: 1, ..lasting };
        let serving = Job { spec: "serve".to_owned(), steps: vec![serving], ..Job::default() };
        cell.submit("watch", SERVING, serving);
    }
    thread::sleep(Duration::from_secs(20));
    let state = cell.state("long", FILLING);
    let mut world = cell.world();
    let stopped = tasks.iter().filter(|task| world.tasks[task].stopped_ends > 0).count();
    if stopped > MAY_MISS {
        let text = format!(
            "AVAIL {FILLING}: {stopped} tasks stopped within a second, {MAY_MISS} may be away"
        );
        world.break_rule(text);
    }
    for task in &tasks {
        let away_ms = world.now_ms() - world.tasks[task].last_running_ms;
        if world.worker_of(task).is_none() && away_ms > MAX_AWAY_MS {
            let text =
                format!("LOST {task} lasts, is shown as {state}, and has not run for {away_ms} ms");
            world.break_rule(text);
        }
    }
    let broken = world.broken.clone();
    drop(world);
    broken.iter().for_each(|line| println!("{line}"));
    cell.finish(record, false)?;
    Ok(if broken.is_empty() { Outcome::Held } else { Outcome::Broken })
}
