//! Tests which jobs are shown as queued and which as running. A job is running once a worker has confirmed the start of
//! a task, not when the start was ordered.

mod world;

use lilacpass_core::Resources;
use lilacpass_jobs::JobKey;
use lilacpass_lead::event::{JobState, Request, Requester, Response};
use world::{World, plan, queue, step};

const QUEUE: &str = "checks";

/// Creates a cell with four workers.
fn four_workers() -> World {
    World::new(3, 4, Resources::new(8_000, 1_000, 0, 0))
}

fn submit(world: &mut World, key: u64) {
    world.submit(key, plan(&[step(2, 1_000, 60_000)]), queue(QUEUE, 0));
}

fn request(world: &mut World, request: Request) -> Response {
    let request_id = world.request(request);
    world.run(20);
    world.response(request_id).cloned().expect("an answer within 20 ms")
}

fn pending(world: &mut World) -> Response {
    request(world, Request::Pending { queue: QUEUE.to_owned() })
}

fn state(world: &mut World, key: u64) -> Response {
    request(world, Request::State(JobKey(key), Requester::default()))
}

fn set_unreachable(world: &mut World, unreachable: bool) {
    world.workers.iter_mut().for_each(|worker| worker.unreachable = unreachable);
}

/// Failure: four jobs had waited for five seconds, but the number of pending jobs was 0. Their leader stored the starts
/// and was cut off before any order arrived. Its successor read the starts, could not reach the workers yet, and
/// treated each job as running.
#[test]
fn a_job_whose_orders_never_arrived_is_queued_for_a_successor_too() {
    let mut world = four_workers();
    world.run(500);
    set_unreachable(&mut world, true);
    (1..=4).for_each(|key| submit(&mut world, key));
    world.run(300);
    world.current_instance().alive = false;
    world.run(1_000);
    world.take_over();
    world.run(3_000);
    assert!(world.workers.iter().all(|worker| worker.runs.is_empty()), "nothing ever ran");
    assert_eq!(pending(&mut world), Response::Pending(4));
    assert_eq!(state(&mut world, 1), Response::State(JobState::Queued));
}

/// The same without a take-over: the orders get no response, and once the runs are given up there is no worker to start
/// them on again. The job was shown as running all that time.
#[test]
fn a_job_whose_orders_got_no_response_is_queued() {
    let mut world = four_workers();
    world.run(500);
    set_unreachable(&mut world, true);
    submit(&mut world, 1);
    for _ in 0..6 {
        world.run(2_000);
        assert_eq!(pending(&mut world), Response::Pending(1));
        assert_eq!(state(&mut world, 1), Response::State(JobState::Queued));
    }
}

/// Failure: a job was shown as running while its start had not been stored because the store was down.
#[test]
fn a_job_whose_start_is_not_stored_yet_is_queued() {
    let mut world = four_workers();
    world.run(500);
    world.workers.iter_mut().for_each(|worker| worker.draining = true);
    world.take_over();
    world.run(500);
    submit(&mut world, 1);
    world.run(300);
    assert_eq!(pending(&mut world), Response::Pending(1), "no worker accepts starts");
    world.store.down = true;
    let number = world.workers.len() - 1;
    world.replace_worker(number);
    world.run(600);
    assert_eq!(pending(&mut world), Response::Pending(1));
    assert_eq!(state(&mut world, 1), Response::State(JobState::Queued));
    world.store.down = false;
    world.run(500);
    assert_eq!(pending(&mut world), Response::Pending(0));
}

/// Failure: a job that had been running for most of a second was shown as queued. The response to its start was
/// ignored, and the poll that would list it was waiting for an end.
#[test]
fn a_job_is_running_once_its_worker_has_confirmed_the_start() {
    let mut world = four_workers();
    world.run(500);
    submit(&mut world, 1);
    while world.workers.iter().all(|worker| worker.runs.is_empty()) {
        world.run(1);
    }
    world.run(5);
    assert_eq!(state(&mut world, 1), Response::State(JobState::Running));
}

/// A job that was shown as running must not be shown as queued again, even if the leader that saw its start is replaced
/// and the successor cannot reach the worker for seconds.
#[test]
fn a_job_that_a_worker_has_started_is_never_queued_again() {
    let mut world = four_workers();
    submit(&mut world, 1);
    world.run(300);
    assert_eq!(state(&mut world, 1), Response::State(JobState::Running));
    submit(&mut world, 2);
    world.run(300);
    set_unreachable(&mut world, true);
    world.current_instance().alive = false;
    world.take_over();
    world.run(1_000);
    assert_eq!(state(&mut world, 1), Response::State(JobState::Running));
}

/// If nothing was stored after the worker started the job, the successor learns of it from a poll of the worker.
#[test]
fn a_successor_learns_of_runs_from_their_workers() {
    let mut world = four_workers();
    submit(&mut world, 1);
    world.run(300);
    world.current_instance().alive = false;
    world.take_over();
    world.run(300);
    assert_eq!(state(&mut world, 1), Response::State(JobState::Running));
    assert_eq!(pending(&mut world), Response::Pending(0));
}

/// If the run ended before the successor polled the worker, the successor learns of it from the reported end.
#[test]
fn a_successor_learns_of_ended_runs_from_their_workers() {
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

/// Calls to the store are costly and limited, so a confirmed start is stored with the next change and needs no append
/// of its own.
#[test]
fn learning_of_a_started_run_costs_no_append() {
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
    assert!(job.has_started, "stored together with the next job");
}

/// Failure: operators who looked for stuck jobs could not tell which open jobs had not started, because those were
/// listed with runs on workers that had never received them.
#[test]
fn operators_see_which_jobs_no_worker_has_started() {
    let mut world = four_workers();
    submit(&mut world, 1);
    world.run(500);
    set_unreachable(&mut world, true);
    submit(&mut world, 2);
    world.run(300);
    let now = world.now();
    let leader = &world.current_instance().leader;
    let status = leader.status(now);
    assert_eq!((status.open_jobs[QUEUE], status.not_begun_jobs[QUEUE]), (2, 1));
    let has_begun = |key| leader.explain(JobKey(key), now).is_some_and(|job| job.begun);
    assert!(has_begun(1) && !has_begun(2));
}

/// Guards against clients that make a busy leader go through all jobs that it retains, each time they ask how many wait.
#[test]
fn counting_the_queued_jobs_does_not_go_through_those_that_have_run() {
    const ENDED: u64 = 400;
    const QUESTIONS: u64 = 50;
    let mut world = four_workers();
    world.run(500);
    for key in 1..=ENDED {
        world.submit(key, plan(&[step(1, 1_000, 10)]), queue(QUEUE, 0));
        world.run(10);
    }
    world.run(2_000);
    let before = world.current_instance().leader.work().visits.total();
    for _ in 0..QUESTIONS {
        assert_eq!(
            pending(&mut world),
            Response::Pending(0),
            "no worker is large enough for the last job"
        );
    }
    let visits = world.current_instance().leader.work().visits.total() - before;
    // The first question looks once at each job that has begun since the last one.
    assert!(visits < 2 * ENDED, "{visits} visits for {QUESTIONS} questions");
}
