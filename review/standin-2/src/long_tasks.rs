//! Two jobs of one task each, which may run on one worker only, and which take twenty times as long as estimated.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    cell::Cell,
    world::{Job, Step, Task},
};

const QUEUE: &str = "long";
const IDS: [&str; 2] = ["5c0e7a21d94b36f8", "9b1f30c7e2a85d46"];
const WORKERS: usize = 8;
const ESTIMATE_MS: u64 = 20_000;
/// How many times as long as estimated the tasks take.
const FACTOR: u64 = 20;
/// The label that one worker has.
const LABEL: &str = "big";
/// Jobs are judged this long after the last one was handed in (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);
const OBSERVED: Duration = Duration::from_secs(75);
/// A job must not have nothing running for this long.
const MAX_IDLE_MS: u64 = 3_000;

pub fn run(record: &str, trouble: bool) -> io::Result<Outcome> {
    let mut cell = Cell::new()?;
    cell.publish(1, &[(QUEUE, 2, 3)]);
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
    let runtime_ms = if trouble { ESTIMATE_MS * FACTOR } else { ESTIMATE_MS };
    let step = Step {
        count: 1,
        cpu: 2_000,
        runtime_ms,
        estimate_ms: Some(ESTIMATE_MS),
        label: LABEL.to_owned(),
        ..Step::default()
    };
    for id in IDS {
        let job = Job { spec: "long".to_owned(), steps: vec![step.clone()], ..Job::default() };
        if !cell.submit(QUEUE, id, job) {
            cell.finish(record, true)?;
            return Ok(Outcome::NotRun("a job is not accepted".to_owned()));
        }
    }
    thread::sleep(FINISH);
    let end = Instant::now() + OBSERVED;
    let mut longest_ms = [0; IDS.len()];
    let mut idle_since_ms: [Option<u64>; IDS.len()] = [None; IDS.len()];
    while Instant::now() < end {
        for (n, id) in IDS.iter().enumerate() {
            let task = Task((*id).to_owned(), 0, 0, 0);
            let world = cell.world();
            let is_done = world.tasks.get(&task).is_some_and(|history| history.done);
            if is_done || world.worker_of(&task).is_some() {
                idle_since_ms[n] = None;
                continue;
            }
            // The worker has room for eight such tasks, and at most an eighth of all capacity is in use.
            let now_ms = world.now_ms();
            let since_ms = *idle_since_ms[n].get_or_insert(now_ms);
            longest_ms[n] = longest_ms[n].max(now_ms - since_ms);
        }
        thread::sleep(Duration::from_millis(10));
    }
    for (n, id) in IDS.iter().enumerate() {
        let state = cell.state(QUEUE, id);
        let task = Task((*id).to_owned(), 0, 0, 0);
        let starts = cell.world().tasks.get(&task).map_or(0, |history| history.starts);
        let idle_ms = longest_ms[n];
        cell.world().note(format!("{id}: {state}, {starts} starts, {idle_ms} ms idle at most"));
        if idle_ms > MAX_IDLE_MS {
            let text = format!(
                "LOST {id} has had nothing running for {idle_ms} ms, with capacity; {starts} starts"
            );
            cell.world().break_rule(text);
        }
    }
    let broken = cell.world().broken.clone();
    broken.iter().for_each(|line| println!("{line}"));
    cell.finish(record, false)?;
    Ok(if broken.is_empty() { Outcome::Held } else { Outcome::Broken })
}
