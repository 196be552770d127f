//! The machine of the leader and a worker are lost for good at the same moment.

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
const ID: &str = "5c0e7a21d94b36f8";
const WORKERS: usize = 8;
const TASKS: u64 = 16;
/// A machine at another address takes the place of the lost one this long after.
const NEXT_MACHINE: Duration = Duration::from_secs(2);
const OBSERVED: Duration = Duration::from_secs(25);
/// 3 s after the disruption (`stableWindowMs`) the cell is calm. The rule holds for 3 s in which nothing runs, if they and
/// the 4 s before them are calm, from 6 s after the last run.
const MAX_AWAY_MS: u64 = 3_000 + 4_000 + 3_000;

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
    let step = Step { count: TASKS, cpu: 1_000, runtime_ms: 400, lasting: true, ..Step::default() };
    let job = Job { spec: "watch".to_owned(), steps: vec![step], ..Job::default() };
    if !cell.submit(QUEUE, ID, job) {
        cell.finish(record, true)?;
        return Ok(Outcome::NotRun("the job is not accepted".to_owned()));
    }
    thread::sleep(Duration::from_secs(8));
    let tasks: Vec<Task> = (0..TASKS).map(|index| Task(ID.to_owned(), 0, 0, index)).collect();
    let leader = cell.leader();
    let worker = cell.world().worker_of(&tasks[0]);
    let (Some(leader), Some(worker)) = (leader, worker) else {
        cell.finish(record, true)?;
        return Ok(Outcome::NotRun(
            "there is no leader, or the first task does not run".to_owned(),
        ));
    };
    if trouble {
        cell.world().note("the machine of the leader is lost for good");
        cell.instances[leader].kill();
        cell.world().crash(worker);
        thread::sleep(NEXT_MACHINE);
        cell.instances.remove(leader);
        cell.start_instance("a")?;
    }
    let begin = Instant::now();
    let mut longest_ms = vec![0; tasks.len()];
    while begin.elapsed() < OBSERVED {
        let world = cell.world();
        for (task, longest_ms) in tasks.iter().zip(&mut longest_ms) {
            if world.worker_of(task).is_none() {
                *longest_ms = (world.now_ms() - world.tasks[task].last_running_ms).max(*longest_ms);
            }
        }
        drop(world);
        thread::sleep(Duration::from_millis(10));
    }
    for (task, away_ms) in tasks.iter().zip(longest_ms) {
        if away_ms > 0 {
            cell.world().note(format!("{task}: away for {away_ms} ms at most"));
        }
        if away_ms > MAX_AWAY_MS {
            let text = format!("LOST {task} lasts, and did not run for {away_ms} ms");
            cell.world().break_rule(text);
        }
    }
    let broken = cell.world().broken.clone();
    broken.iter().for_each(|line| println!("{line}"));
    cell.finish(record, false)?;
    Ok(if broken.is_empty() { Outcome::Held } else { Outcome::Broken })
}
