//! Which jobs are said to wait and which to run: what workers have begun decides, not what was ordered.

mod world;

use lilacpass_core::Resources;
use lilacpass_jobs::JobKey;
use lilacpass_lead::event::{JobState, Request, Response};
use world::{World, plan, queue, step};

const QUEUE: &str = "checks";

fn four_workers() -> World {
    World::new(3, 4, Resources::new(8_000, 1_000, 0, 0))
}

fn submit(world: &mut World, key: u64) {
    world.submit(key, plan(&[step(2, 1_000, 60_000)]), queue(QUEUE, 0));
}

fn ask(world: &mut World, request: Request) -> Response {
    let request_id = world.request(request);
    world.run(20);
    world.response(request_id).cloned().expect("an answer within 20 ms")
}

fn count(world: &mut World) -> Response {
    ask(world, Request::Pending { queue: QUEUE.to_owned() })
}

fn state(world: &mut World, key: u64) -> Response {
    ask(world, Request::State(JobKey(key)))
}

fn set_cut(world: &mut World, cut: bool) {
    world.workers.iter_mut().for_each(|worker| worker.unreachable = cut);
}

/// Four checks have waited for five seconds, and the count of waiting checks says 0. Their leader recorded
/// the starts and was cut off before an order arrived; its successor read the starts, could not reach the
/// workers yet, and took each job for one that runs.
#[test]
fn a_job_whose_orders_never_arrived_waits_for_a_successor_too() {
    let mut world = four_workers();
    world.run(500);
    set_cut(&mut world, true);
    (1..=4).for_each(|key| submit(&mut world, key));
    world.run(300);
    world.current_instance().alive = false;
    world.run(1_000);
    world.take_over();
    world.run(3_000);
    assert!(world.workers.iter().all(|worker| worker.runs.is_empty()), "nothing ever ran");
    assert_eq!(count(&mut world), Response::Pending(4));
    assert_eq!(state(&mut world, 1), Response::State(JobState::Queued));
}

/// The same without a change of leader: the orders get no answer, and once the runs are given up there is
/// nowhere to start them again. The job was shown as one that runs for as long as that lasted.
#[test]
fn a_job_whose_orders_got_no_answer_waits() {
    let mut world = four_workers();
    world.run(500);
    set_cut(&mut world, true);
    submit(&mut world, 1);
    for _ in 0..6 {
        world.run(2_000);
        assert_eq!(count(&mut world), Response::Pending(1));
        assert_eq!(state(&mut world, 1), Response::State(JobState::Queued));
    }
}

/// A check is shown as one that runs while its start is still on the way into a store that takes nothing.
#[test]
fn a_job_whose_start_is_not_stored_yet_waits() {
    let mut world = four_workers();
    world.run(500);
    world.workers.iter_mut().for_each(|worker| worker.draining = true);
    world.take_over();
    world.run(500);
    submit(&mut world, 1);
    world.run(300);
    assert_eq!(count(&mut world), Response::Pending(1), "no worker takes starts");
    world.store.down = true;
    let number = world.workers.len() - 1;
    world.replace_worker(number);
    world.run(600);
    assert_eq!(count(&mut world), Response::Pending(1));
    assert_eq!(state(&mut world, 1), Response::State(JobState::Queued));
    world.store.down = false;
    world.run(500);
    assert_eq!(count(&mut world), Response::Pending(0));
}

/// A job that has run for most of a second is said to wait: the answer to its start was passed over, and the look
/// that lists it waits for an end.
#[test]
fn a_job_runs_once_its_worker_has_confirmed_the_start() {
    let mut world = four_workers();
    world.run(500);
    submit(&mut world, 1);
    while world.workers.iter().all(|worker| worker.runs.is_empty()) {
        world.run(1);
    }
    world.run(5);
    assert_eq!(state(&mut world, 1), Response::State(JobState::Running));
}

/// What runs must not be shown as waiting again: a worker began it, and the successor of the leader that
/// heard of that can't reach the worker for seconds.
#[test]
fn a_job_that_a_worker_has_begun_is_not_said_to_wait_again() {
    let mut world = four_workers();
    submit(&mut world, 1);
    world.run(300);
    assert_eq!(state(&mut world, 1), Response::State(JobState::Running));
    submit(&mut world, 2);
    world.run(300);
    set_cut(&mut world, true);
    world.current_instance().alive = false;
    world.take_over();
    world.run(1_000);
    assert_eq!(state(&mut world, 1), Response::State(JobState::Running));
}

/// The same where nothing was stored after the worker had begun: a look at the worker tells.
#[test]
fn a_successor_hears_of_runs_from_their_workers() {
    let mut world = four_workers();
    submit(&mut world, 1);
    world.run(300);
    world.current_instance().alive = false;
    world.take_over();
    world.run(300);
    assert_eq!(state(&mut world, 1), Response::State(JobState::Running));
    assert_eq!(count(&mut world), Response::Pending(0));
}

/// And where the run ended before the successor looked: the end that the worker lists tells.
#[test]
fn a_successor_hears_of_ended_runs_from_their_workers() {
    let mut world = four_workers();
    let short = step(1, 1_000, 200);
    let long = step(1, 1_000, 60_000);
    world.submit(1, plan(&[short, long]), queue(QUEUE, 0));
    world.run(60);
    assert_eq!(world.workers.iter().map(|worker| worker.runs.len()).sum::<usize>(), 1);
    world.current_instance().alive = false;
    world.run(1_000);
    world.workers.iter_mut().for_each(|worker| worker.draining = true);
    world.take_over();
    world.run(300);
    assert_eq!(world.workers.iter().map(|worker| worker.runs.len()).sum::<usize>(), 0);
    assert_eq!(state(&mut world, 1), Response::State(JobState::Running));
}

/// Calls of the store are priced and bounded: what workers have begun is stored with the next change, and costs
/// no append of its own.
#[test]
fn hearing_of_a_begun_run_costs_no_append() {
    let mut world = four_workers();
    world.run(500);
    submit(&mut world, 1);
    while world.workers.iter().all(|worker| worker.runs.is_empty()) {
        world.run(1);
    }
    let appends = world.store.appends;
    world.run(2_000);
    assert_eq!(state(&mut world, 1), Response::State(JobState::Running));
    assert_eq!(world.store.appends, appends);
    submit(&mut world, 2);
    world.run(300);
    let job = world.store.job(JobKey(1)).expect("the job is stored");
    assert!(job.has_started, "stored beside the next job");
}

/// Operators looked for jobs that stand still and saw open ones only: those of which nothing ran were among them,
/// with runs on workers that had never heard of them.
#[test]
fn operators_see_which_jobs_no_worker_has_begun() {
    let mut world = four_workers();
    submit(&mut world, 1);
    world.run(500);
    set_cut(&mut world, true);
    submit(&mut world, 2);
    world.run(300);
    let now = world.now();
    let leader = &world.current_instance().leader;
    let status = leader.status(now);
    assert_eq!((status.open_jobs[QUEUE], status.not_begun_jobs[QUEUE]), (2, 1));
    let has_begun = |key| leader.explain(JobKey(key), now).is_some_and(|job| job.begun);
    assert!(has_begun(1) && !has_begun(2));
}
