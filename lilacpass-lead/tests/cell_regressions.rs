//! Regression tests of failures that were seen, in the simulated cell.

mod world;

use std::collections::{BTreeMap, BTreeSet};

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, Outcome};
use lilacpass_lead::event::Response;
use lilacpass_schema::v1;
use world::{World, plan, queue, step};

fn four_workers(seed: u64) -> World {
    World::new(seed, 4, Resources::new(8_000, 1_000, 0, 0))
}

fn outcome(world: &World, key: u64) -> Option<Outcome> {
    world.store.job(JobKey(key)).map(|job| job.outcome)
}

/// A cell with a lasting task, and the index of the worker that runs it.
fn cell_with_lasting_task() -> (World, usize) {
    let mut world = four_workers(3);
    let lasting = v1::WorkStep { lasting: true, ..step(1, 4_000, 500) };
    world.submit(1, plan(&[lasting]), queue("watch", 1));
    world.run(1_000);
    let host = world.workers.iter().position(|w| !w.runs.is_empty()).expect("the task runs");
    (world, host)
}

/// Number of the last run of the lasting task.
fn last_run(world: &World) -> u32 {
    let job = world.store.job(JobKey(1)).expect("the job is stored");
    job.tasks().map(|task| task.last_run).max().unwrap_or(0)
}

/// Guards against two runs of a task at once: its worker can't reach the store and is not registered, and the leader
/// changes. The new leader must call the worker, which goes on under its leases.
#[test]
fn a_task_on_a_worker_that_is_cut_off_from_the_store_is_not_started_twice() {
    let (mut world, host) = cell_with_lasting_task();
    world.workers[host].registered = false;
    world.unregister(host);
    for _ in 0..3 {
        world.current_instance().alive = false;
        world.take_over();
        world.run(8_000);
    }
    assert_eq!(last_run(&world), 1, "no second run has begun");
    assert_eq!(world.workers[host].runs.len(), 1, "the first one goes on");
}

/// Guards against two runs of a task at once: the former leader can't reach the store and goes on to extend the leases
/// of the worker, which the new leader can't reach. Other workers of the data centre respond to the new leader.
#[test]
fn a_task_is_not_started_again_before_all_leases_of_a_former_leader_have_expired() {
    let (mut world, host) = cell_with_lasting_task();
    world.workers[host].registered = false;
    world.unregister(host);
    world.workers[host].unreachable_from_epoch = world.current_instance().epoch + 1;
    world.take_over();
    world.run(11_500);
    assert_eq!(last_run(&world), 1, "no second run has begun");
    world.run(1_500);
    assert_eq!(last_run(&world), 2, "it starts again once the leases have expired");
}

/// Failure: a job never ended. Its worker became unreachable, and each poll of the worker counted as an extension of
/// the lease although none was answered.
#[test]
fn work_on_an_unresponsive_worker_starts_again_when_its_lease_has_expired() {
    let mut world = four_workers(3);
    world.submit(1, plan(&[step(1, 4_000, 3_000)]), queue("quick", 0));
    world.run(1_000);
    let host = world.workers.iter().position(|w| !w.runs.is_empty()).expect("the task runs");
    world.workers[host].unreachable = true;
    world.run(8_000);
    let elsewhere = world.workers.iter().filter(|w| !w.unreachable && !w.runs.is_empty()).count();
    assert_eq!(elsewhere, 1, "the task runs elsewhere eight seconds later");
}

/// Here no worker of the data centre responds, so the former leader and the worker may be cut off together while the
/// task still runs. The leader must wait until the lease has certainly expired.
#[test]
fn a_task_in_an_unresponsive_data_centre_is_not_started_twice() {
    let mut world = four_workers(3);
    let lasting = v1::WorkStep { lasting: true, ..step(1, 4_000, 500) };
    world.submit(1, plan(&[lasting]), queue("watch", 1));
    world.run(1_000);
    world.workers.iter_mut().for_each(|worker| worker.unreachable = true);
    world.take_over();
    world.run(4_000);
    let job = world.store.job(JobKey(1)).expect("the job is stored");
    assert_eq!(job.tasks().map(|task| task.last_run).max(), Some(1), "no second run has begun");
}

/// Failure: lasting tasks ran twice after a data centre was cut off during an outage of the store: their workers were
/// alive, their registrations had expired in the outage, and the new leader presumed them gone because its own data
/// centre responded.
#[test]
fn a_worker_is_not_presumed_gone_while_its_data_centre_is_unresponsive() {
    let mut world = four_workers(3);
    let lasting = v1::WorkStep { lasting: true, ..step(1, 4_000, 500) };
    world.workers[2].data_centre = "there";
    world.workers[3].data_centre = "there";
    world.take_over();
    world.submit(1, plan(&[lasting]), queue("watch", 1));
    world.run(1_000);
    let host = world.workers.iter().position(|w| !w.runs.is_empty()).expect("the task runs");
    let data_centre = world.workers[host].data_centre;
    for worker in world.workers.iter_mut().filter(|worker| worker.data_centre == data_centre) {
        worker.unreachable = true;
        worker.registered = false;
    }
    world.take_over();
    world.run(6_000);
    let job = world.store.job(JobKey(1)).expect("the job is stored");
    assert_eq!(job.tasks().map(|task| task.last_run).max(), Some(1), "no second run has begun");
}

/// Failure: a completed task ran again. Its leader had been suspended for longer than the lease, and afterwards counted
/// the run as expired before it learned that the run had completed.
#[test]
fn work_that_was_done_before_its_lease_expired_is_not_done_again() {
    let mut world = four_workers(5);
    world.submit(1, plan(&[step(1, 1_000, 2_000)]), queue("audit", 1));
    world.run(1_000);
    let until_ms = world.now_ms + 8_000;
    world.current_instance().paused_until_ms = until_ms;
    world.run(12_000);
    assert_eq!(outcome(&world, 1), Some(Outcome::Completed));
}

/// Failure: while the store refused everything, clients waited for their jobs until they gave up, without knowing
/// whether the jobs would run. Since the store reports that it has stored nothing, the leader can refuse such jobs at
/// once.
#[test]
fn jobs_are_refused_when_the_store_has_certainly_stored_nothing() {
    let mut world = four_workers(7);
    world.run(200);
    world.store.down = true;
    let request_id = world.submit(1, plan(&[step(1, 1_000, 100)]), queue("quick", 0));
    world.run(1_500);
    assert!(matches!(world.response(request_id), Some(Response::Refused { .. })), "refused");
    world.store.down = false;
    world.run(5_000);
    assert_eq!(outcome(&world, 1), None, "a refused job never runs");
}

/// Failure: the users of a serving task waited too long, because a filling task used CPU on the same worker. The
/// serving task must be placed elsewhere, or the filling task must be stopped if it was there first.
#[test]
fn filling_tasks_and_serving_tasks_do_not_share_a_worker() {
    let mut world = World::new(9, 1, Resources::new(8_000, 1_000, 0, 0));
    let fills = v1::WorkStep { fills: true, ..step(1, 4_000, 60_000) };
    world.submit(1, plan(&[fills]), queue("fill", 2));
    world.run(500);
    assert_eq!(world.workers[0].runs.len(), 1, "the filling task runs alone");
    let serves = v1::WorkStep { lasting: true, target_ms: 30, ..step(1, 4_000, 500) };
    world.submit(2, plan(&[serves]), queue("serve", 0));
    world.run(2_000);
    let running: Vec<u64> = world.workers[0].runs.keys().map(|task| task.step.job.0).collect();
    assert_eq!(running, [2], "the serving task has replaced it");
}

/// Failure: most jobs were late while a data centre was cut off. Each has ten tasks, and with tasks spread over the
/// whole cell nearly every job has a task there. If each job stays in one data centre, two in three are unaffected.
#[test]
fn the_tasks_of_a_job_run_in_one_data_centre() {
    let mut world = World::new(5, 12, Resources::new(8_000, 1_000, 0, 0));
    for (number, worker) in world.workers.iter_mut().enumerate() {
        worker.data_centre = ["a", "b", "c"][number % 3];
    }
    world.take_over();
    for key in 1..=6 {
        world.submit(key, plan(&[step(5, 1_500, 700), step(3, 1_500, 700)]), queue("quick", 0));
    }
    let mut data_centres = BTreeMap::new();
    for _ in 0..30 {
        world.run(100);
        for worker in &world.workers {
            for task in worker.runs.keys() {
                let job_centres: &mut Vec<&str> = data_centres.entry(task.step.job).or_default();
                job_centres.push(worker.data_centre);
            }
        }
    }
    assert_eq!(data_centres.len(), 6);
    for (job, job_centres) in &data_centres {
        assert!(
            job_centres.iter().all(|data_centre| *data_centre == job_centres[0]),
            "{job}: {job_centres:?}"
        );
    }
    let used: BTreeSet<&str> = data_centres.values().map(|job_centres| job_centres[0]).collect();
    assert_eq!(used.len(), 3, "the jobs are spread over all data centres");
}

/// Failure: a job failed that nearly any worker could have run. Advice had allowed one or two workers so far, both
/// faulty: they failed its task six times within half a second, while workers about which no advice had been requested
/// stood idle.
#[test]
fn attempts_are_not_used_up_on_the_few_workers_known_to_be_allowed() {
    const ATTEMPTS: u32 = 6;
    let mut world = World::new(3, 20, Resources::new(8_000, 1_000, 0, 0));
    let advice = v1::AdvicePolicy { base_ms: 20.0, per_worker_ms: 1.0, valid_ms: 2_500 };
    let advised = v1::QueuePolicy { advice: Some(advice), attempts: ATTEMPTS, ..queue("quick", 0) };
    // The workers about which advice is requested first; four of them are allowed.
    let first = ["w-0", "w-1", "w-10", "w-11", "w-12", "w-13", "w-14", "w-15"];
    for worker in &mut world.workers {
        worker.fails_all_runs = first.contains(&worker.name.id());
    }
    world.submit(1, plan(&[step(1, 8_000, 5)]), advised);
    world.run(3_000);
    assert_eq!(outcome(&world, 1), Some(Outcome::Completed));
}
