//! Decision time of one end, one submission and one dispatch, at 48 and at 2,300 workers.

use std::{hint::black_box, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{AttemptNo, DataCentreId, JobId, KindId, RackId, ServiceId, TaskId, TeamId, WorkerId},
};
use lilacpass_decide::{
    Decision, Outcome, QuickTask, Scheduler, SchedulerOptions, TaskMeta, WorkerSpec,
};

/// Slots of a worker.
const SLOTS: u64 = 8;

fn task(n: u64) -> TaskId {
    TaskId { job: JobId(u128::from(n)), attempt: AttemptNo(1), index: 0 }
}

fn request(n: u64, now: MonoTime) -> QuickTask {
    let meta = TaskMeta {
        team: TeamId::new("desks"),
        account: None,
        service: ServiceId::new("match-svc"),
        kind: KindId::new("lookup"),
        class: Class::Urgent,
        idempotent: true,
        checkpointable: false,
        standing: false,
    };
    let need = Resources::new(500 + n * 37 % 7_000, 1_000 + n * 91 % 30_000, 0, 1);
    let deadline = now + Duration::from_secs(1_000_000);
    QuickTask { task: task(n), need, meta, deadline, run_declared: None }
}

fn started(decisions: Vec<Decision>) -> impl Iterator<Item = TaskId> {
    decisions.into_iter().filter_map(|decision| match decision {
        Decision::Start { task, .. } => Some(task),
        Decision::Refuse { .. } | Decision::Preempt(_) => None,
    })
}

/// A scheduler with all slots but two in a hundred in use, and what runs on it.
fn filled(workers: u64) -> (Scheduler, Vec<TaskId>) {
    let mut scheduler = Scheduler::new(SchedulerOptions::default());
    let now = MonoTime(1);
    for n in 0..workers {
        let id = WorkerId::new(format!("w{n}"));
        let capacity = Resources::new(64_000, 262_144, 0, SLOTS);
        let spec = WorkerSpec {
            id: id.clone(),
            data_centre: DataCentreId::new("perth-north"),
            rack: RackId::new(format!("rack-{}", n / 8)),
            capacity,
            draining: false,
            connections: 64,
        };
        scheduler.pool.upsert_worker(spec, now);
        scheduler.pool.set_limit(&id, capacity, now);
    }
    let mut running = Vec::new();
    for n in 0..workers * SLOTS * 98 / 100 {
        scheduler.submit(request(n, now), now).expect("it is admitted");
        running.extend(started(scheduler.dispatch(now)));
    }
    (scheduler, running)
}

fn decisions(c: &mut Criterion) {
    for workers in [48, 2_300] {
        let (mut scheduler, mut running) = filled(workers);
        let mut n = 1_000_000;
        c.bench_function(&format!("end, submit and dispatch at {workers} workers"), |b| {
            b.iter(|| {
                n += 1;
                let now = MonoTime(n);
                let at = n as usize * 7_919 % running.len();
                let ended = running.swap_remove(at);
                scheduler.ended(&ended, Outcome::Succeeded, Duration::from_millis(100), now);
                scheduler.submit(request(n, now), now).expect("it is admitted");
                running.extend(started(black_box(scheduler.dispatch(now))));
            });
        });
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
