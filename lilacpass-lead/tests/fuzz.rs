//! Stateful fuzzing of the leader: faults in any order, judged at each start by the small cell.

mod world;

use lilacpass_core::{
    Resources,
    size::{Accelerators, Mebibytes, Millicores, Slots},
};
use lilacpass_jobs::{JobKey, StepName};
use lilacpass_lead::event::Request;
use lilacpass_schema::v1;
use world::{World, plan, queue, step};

/// Runs of fixed seeds in a plain test run.
const FIXED_RUNS: u64 = 150;
/// Time after the last fault in which all work must be done: leases of a former leader at a worker
/// that is cut off lapse after 12 s, and a few tasks fail and run again.
const SETTLE_MS: u64 = 60_000;

const CAPACITY: Resources = Resources {
    cpu: Millicores(8_000),
    memory: Mebibytes(1_000),
    accelerators: Accelerators(0),
    slots: Slots(0),
};

/// One step of a play: what happens, to whom, and how much.
type Op = (u8, u8, u8);

fn play(ops: &[Op]) {
    let seed = ops.iter().fold(7, |seed: u64, op| {
        seed.wrapping_mul(31)
            .wrapping_add(u64::from(op.0) << 16 | u64::from(op.1) << 8 | u64::from(op.2))
    });
    let mut world = World::new(seed, 4, CAPACITY);
    let mut jobs = Vec::new();
    for &(what, who, much) in ops {
        let worker = usize::from(who) % world.workers.len();
        match what % 12 {
            0..=3 => {
                let key = jobs.len() as u64 + 1;
                if much % 16 == 15 {
                    let step = StepName { job: JobKey(key), occurrence: 0, step: 0 };
                    let after_ms = u64::from(who) * 10;
                    world.crashes.crashing.insert(step.task(0), after_ms);
                }
                let sort = if who % 2 == 0 { queue("quick", 0) } else { advised() };
                jobs.push((key, world.submit(key, some_plan(who, much), sort)));
            }
            4 => {
                if let Some((key, _)) = jobs.get(usize::from(who) % jobs.len().max(1)) {
                    world.request(Request::Cancel(JobKey(*key)));
                }
            }
            5 => {
                let dies = much % 2 == 0;
                let member = world.current_instance();
                member.alive = !dies;
                world.take_over();
            }
            6 => {
                let until_ms = world.now_ms + u64::from(much) * 30;
                world.current_instance().paused_until_ms = until_ms;
                if who % 2 == 0 {
                    world.take_over();
                }
            }
            7 => world.store.down = !world.store.down,
            8 => world.workers[worker].unreachable = !world.workers[worker].unreachable,
            9 if world.workers[worker].alive => world.replace_worker(worker),
            10 => world.lost_order_percent = u64::from(much) % 40,
            11 if much % 4 == 0 => {
                let room = Resources::new(u64::from(who) * 31, 1_000, 0, 0);
                world.set_capacity(worker, room);
            }
            11 if world.workers[worker].alive => world.crash_worker(worker),
            _ => {}
        }
        ask_of_jobs(&mut world, jobs.len() as u64);
        world.run(u64::from(much) * 10);
    }
    ask_of_jobs(&mut world, jobs.len() as u64);
    world.lost_order_percent = 0;
    world.store.down = false;
    world.workers.iter_mut().for_each(|worker| worker.unreachable = false);
    (0..world.workers.len()).for_each(|at| world.set_capacity(at, CAPACITY));
    world.current_instance().paused_until_ms = 0;
    world.run(SETTLE_MS);
    for job in world.store.jobs() {
        let now = world.now();
        let why = world.current_instance().leader.explain(job.key, now);
        assert_ne!(
            job.outcome,
            lilacpass_jobs::Outcome::Open,
            "{} is not done though nothing has been amiss for a minute: {why:?}",
            job.key
        );
    }
}

/// Asks for what the small cell judges the answers of.
fn ask_of_jobs(world: &mut World, jobs: u64) {
    for queue in ["quick", "advised"] {
        world.request(Request::Pending { queue: queue.to_owned() });
    }
    for key in 1..=jobs {
        world.request(Request::State(JobKey(key)));
    }
}

fn advised() -> v1::QueuePolicy {
    let advice = v1::AdvicePolicy { base_ms: 20.0, per_worker_ms: 1.0, valid_ms: 2_500 };
    v1::QueuePolicy { advice: Some(advice), ..queue("advised", 1) }
}

fn some_plan(who: u8, much: u8) -> v1::WorkPlan {
    let wide = step(1 + u32::from(much) % 5, 500 + u32::from(who) * 10, 300 + u32::from(much) * 10);
    // Work that saves its progress may be stopped for more urgent work.
    let wide = v1::WorkStep { checkpointing: much.is_multiple_of(2), ..wide };
    let gang = v1::WorkStep { gang: true, ..step(2, 2_000, 400) };
    match who % 3 {
        0 => plan(&[wide]),
        1 => plan(&[wide.clone(), step(3, 1_000, 200), wide]),
        _ => plan(&[wide, gang]),
    }
}

#[test]
fn no_fault_breaks_a_promise_and_all_work_ends() {
    lilacpass_fuzz::check_lists::<Op>(FIXED_RUNS, 5..=60, play);
}
