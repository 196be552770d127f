//! Decision time over workers, queue length and teams, and bytes held per worker and task.

use std::{
    fs,
    time::{Duration, Instant},
};

use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{AttemptNo, JobId, KindId, ServiceId, TaskId, TeamId},
};
use lilacpass_decide::{
    Decision, Outcome, Policy, QuickTask, Scheduler, SchedulerOptions, TaskMeta, TeamShare,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{cell, stats, workload};

const DECISIONS: usize = 50_000;

struct Case {
    workers: usize,
    queue: usize,
    teams: usize,
}

pub(crate) fn run() {
    bytes();
    println!(
        "| workers | tasks running | queue | teams | decisions/s | p50 us | p99 us | p99.9 us |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let case = |workers, queue, teams| Case { workers, queue, teams };
    for workers in [48, 500, 2_300] {
        measure(&case(workers, 0, 4));
    }
    for queue in [100, 1_000, 10_000] {
        measure(&case(2_300, queue, 4));
    }
    for teams in [1, 16, 128] {
        measure(&case(2_300, 1_000, teams));
    }
}

fn meta(team: usize, class: Class) -> TaskMeta {
    TaskMeta {
        team: TeamId::new(format!("team-{team}")),
        account: None,
        service: ServiceId::new("auditdienst"),
        kind: KindId::new("check"),
        class,
        idempotent: true,
        checkpointable: false,
        standing: false,
    }
}

fn task(n: usize) -> TaskId {
    TaskId { job: JobId(n as u128), attempt: AttemptNo(1), index: 0 }
}

fn need(rng: &mut SmallRng) -> Resources {
    Resources::new(rng.random_range(500..8_000), rng.random_range(1_000..32_768), 0, 1)
}

/// A scheduler with about 98 % of its slots in use.
fn filled(workers: usize, teams: usize, rng: &mut SmallRng) -> (Scheduler, Vec<TaskId>) {
    let options = SchedulerOptions { max_queued_per_team: 20_000, ..SchedulerOptions::default() };
    let mut scheduler = Scheduler::new(options);
    let share = |n: usize| TeamShare {
        team: TeamId::new(format!("team-{n}")),
        quota: Resources::new(1_000_000, 1_000_000, 0, 100),
        may_borrow: true,
        rate_limit: None,
    };
    let policy = Policy {
        teams: (0..teams).map(share).collect(),
        urgent_reserve_permille: Some(0),
        ..Policy::default()
    };
    scheduler.set_policy(policy);
    for n in 0..workers {
        let spec = cell::worker_spec(n);
        scheduler.pool.upsert_worker(spec.clone(), MonoTime(0));
        scheduler.pool.set_limit(&spec.id, spec.capacity, MonoTime(0));
    }
    let tasks = workers * workload::SLOTS as usize * 98 / 100;
    let placed = (0..tasks).filter(|&n| {
        let class = if n % 2 == 0 { Class::Urgent } else { Class::Batch };
        let meta = meta(n % teams, class);
        scheduler.pool.place_and_give(task(n), need(rng), &meta, &[], MonoTime(1)).is_ok()
    });
    let placed = placed.map(task).collect();
    (scheduler, placed)
}

fn measure(case: &Case) {
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut scheduler, mut running) = filled(case.workers, case.teams, &mut rng);
    let mut next = 1_000_000;
    let mut submit = |scheduler: &mut Scheduler, rng: &mut SmallRng, now: MonoTime| {
        next += 1;
        let request = QuickTask {
            task: task(next),
            need: need(rng),
            meta: meta(next % case.teams, Class::Urgent),
            deadline: now + Duration::from_secs(1_000_000),
            run_declared: Some(Duration::from_millis(100)),
        };
        scheduler.submit(request, now).expect("admitted");
    };
    let started = |decisions: Vec<Decision>| {
        decisions.into_iter().filter_map(|decision| match decision {
            Decision::Start { task, .. } => Some(task),
            _ => None,
        })
    };
    if case.queue > 0 {
        // Fill the slots that are left, then the queue.
        for _ in 0..case.workers * workload::SLOTS as usize / 50 + case.queue {
            submit(&mut scheduler, &mut rng, MonoTime(2));
        }
        running.extend(started(scheduler.dispatch(MonoTime(2))));
    }
    let at_start = running.len();
    let mut took_ns = Vec::with_capacity(DECISIONS);
    let whole = Instant::now();
    for n in 0..DECISIONS {
        let now = MonoTime(10 + 20 * n as u64);
        let ended = running.swap_remove(rng.random_range(0..running.len()));
        let clock = Instant::now();
        scheduler.ended(&ended, Outcome::Succeeded, Duration::from_millis(100), now);
        submit(&mut scheduler, &mut rng, now);
        let decisions = scheduler.dispatch(now);
        took_ns.push(clock.elapsed().as_nanos() as u64);
        running.extend(started(decisions));
    }
    let per_second = DECISIONS as f64 / whole.elapsed().as_secs_f64();
    let mut us = |permille| stats::quantile(&mut took_ns, permille) as f64 / 1_000.0;
    println!(
        "| {} | {at_start} | {} | {} | {per_second:.0} | {:.1} | {:.1} | {:.1} |",
        case.workers,
        case.queue,
        case.teams,
        us(500),
        us(990),
        us(999),
    );
}

/// The memory that this process holds, in bytes, as the system tells.
fn resident() -> u64 {
    const PAGE: u64 = 4_096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * PAGE
}

fn bytes() {
    const POOLS: usize = 10;
    const WORKERS: usize = 2_300;
    let mut rng = SmallRng::seed_from_u64(7);
    let before = resident();
    let empty: Vec<Scheduler> = (0..POOLS)
        .map(|_| {
            let mut scheduler = Scheduler::new(SchedulerOptions::default());
            for n in 0..WORKERS {
                scheduler.pool.upsert_worker(cell::worker_spec(n), MonoTime(0));
            }
            scheduler
        })
        .collect();
    let workers = resident() - before;
    let before = resident();
    let full: Vec<_> = (0..POOLS).map(|_| filled(WORKERS, 4, &mut rng)).collect();
    let both = resident() - before;
    let tasks: usize = full.iter().map(|(_, tasks)| tasks.len()).sum();
    let per_worker = workers / (POOLS * WORKERS) as u64;
    let per_task = both.saturating_sub(workers) / tasks as u64;
    println!(
        "\n{per_worker} bytes per worker, {per_task} bytes per task given ({} pools)",
        empty.len()
    );
}
