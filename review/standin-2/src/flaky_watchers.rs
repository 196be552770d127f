//! Four standing watchers that may run on one worker only, and that fail now and then, as tasks that last may.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    cell::Cell,
    world::{Job, Step, Task},
};

const QUEUE: &str = "watch";
const IDS: [&str; 4] =
    ["5c0e7a21d94b36f8", "9b1f30c7e2a85d46", "27d4c98e01fb6a35", "e86a5b13f07c2d94"];
const WORKERS: usize = 8;
/// The label that one worker has.
const LABEL: &str = "big";
/// When a task fails, in milliseconds after all of them have begun, and which.
const FAILURES: [(u64, usize); 5] = [(4_000, 0), (5_000, 1), (9_000, 2), (15_000, 0), (21_000, 1)];
const OBSERVED: Duration = Duration::from_secs(45);
/// The rule holds from this long after the last run of a task (6 s), for 3 s in which nothing runs.
const MAX_AWAY_MS: u64 = 9_000;

fn task(n: usize) -> Task {
    Task(IDS[n].to_owned(), 0, 0, 0)
}

pub fn run(record: &str, trouble: bool) -> io::Result<Outcome> {
    let mut cell = Cell::new()?;
    cell.publish(1, &[(QUEUE, 1, 2)]);
    for n in 0..WORKERS {
        let zone = ["a", "b", "c"][n % 3];
        let kind = if n == 0 { LABEL } else { "std" };
        cell.add_worker(zone, [kind, &format!("rack-{zone}")], 16_000)?;
    }
    for zone in ["a", "b", "c"] {
        cell.start_instance(zone)?;
    }
    if !cell.wait_until_ready(Duration::from_secs(15)) {
        cell.finish(record, true)?;
        return Ok(Outcome::NotRun("instances do not get ready".to_owned()));
    }
    for id in IDS {
        let step = Step {
            count: 1,
            cpu: 1_000,
            runtime_ms: 400,
            lasting: true,
            label: LABEL.to_owned(),
            ..Step::default()
        };
        let job = Job { spec: "watch".to_owned(), steps: vec![step], ..Job::default() };
        if !cell.submit(QUEUE, id, job) {
            cell.finish(record, true)?;
            return Ok(Outcome::NotRun("a job is not accepted".to_owned()));
        }
    }
    thread::sleep(Duration::from_secs(1));
    let begin = Instant::now();
    let mut failures = FAILURES.iter().filter(|_| trouble).peekable();
    let mut longest_ms = [0; IDS.len()];
    while begin.elapsed() < OBSERVED {
        let elapsed_ms = begin.elapsed().as_millis() as u64;
        if let Some((_, n)) = failures.next_if(|(at_ms, _)| elapsed_ms >= *at_ms) {
            cell.world().fail(&task(*n));
        }
        for (n, longest_ms) in longest_ms.iter_mut().enumerate() {
            let world = cell.world();
            if world.worker_of(&task(n)).is_none() {
                let last_ms = world.tasks.get(&task(n)).map_or(0, |task| task.last_running_ms);
                *longest_ms = (world.now_ms() - last_ms).max(*longest_ms);
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    for (n, away_ms) in longest_ms.into_iter().enumerate() {
        let state = cell.state(QUEUE, IDS[n]);
        cell.world().note(format!("{}: {state}, away for {away_ms} ms at most", task(n)));
        if away_ms > MAX_AWAY_MS {
            let text = format!("LOST {} lasts, and did not run for {away_ms} ms", task(n));
            cell.world().break_rule(text);
        }
    }
    let broken = cell.world().broken.clone();
    broken.iter().for_each(|line| println!("{line}"));
    cell.finish(record, false)?;
    Ok(if broken.is_empty() { Outcome::Held } else { Outcome::Broken })
}
