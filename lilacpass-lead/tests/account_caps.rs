//! Caps and shares of client accounts. Each start is checked by the simulated cell, which sums up what workers run.

mod world;

use lilacpass_core::{Resources, Verdict};
use lilacpass_jobs::{JobKey, Outcome, StepName, TaskName, WorkerName};
use lilacpass_lead::{
    Effect, Event,
    event::{CallError, JobState, Request, RequestId, Requester, Response},
};
use lilacpass_schema::v1;
use world::{
    World,
    accounts::account,
    fixture::{LeaderFixture, registration, starts},
    plan, queue, step,
};

/// An account whose cap holds two of its tasks.
const SMALL: &str = "small";
const SMALL_CAP_MILLI: u64 = 2_000;

fn task(job: u64, index: u32) -> TaskName {
    StepName { job: JobKey(job), occurrence: 0, step: 0 }.task(index)
}

/// Workers of 8 cores, and the small account.
fn cell(seed: u64, workers: usize) -> World {
    let mut world = World::new(seed, workers, Resources::new(8_000, 1_000, 0, 0));
    world.set_account(account(SMALL, 1.0, SMALL_CAP_MILLI));
    world.run(600);
    world
}

fn outcome(world: &World, key: u64) -> Option<Outcome> {
    world.store.job(JobKey(key)).map(|job| job.outcome)
}

fn completed(world: &World, keys: std::ops::RangeInclusive<u64>) -> usize {
    keys.filter(|key| outcome(world, *key) == Some(Outcome::Completed)).count()
}

/// A step that is wider than the cap of its account runs in parts, and nothing else waits behind it.
#[test]
fn a_step_wider_than_the_cap_runs_in_parts_and_holds_up_nobody() {
    let mut world = cell(3, 2);
    world.submit_for(SMALL, 1, plan(&[step(12, 1_000, 1_000)]), queue("quick", 0));
    world.submit(2, plan(&[step(4, 1_000, 1_000)]), queue("slow", 5));
    world.run(2_500);
    assert_eq!(outcome(&world, 2), Some(Outcome::Completed));
    assert_eq!(outcome(&world, 1), Some(Outcome::Open));
    world.run(12_000);
    assert_eq!(outcome(&world, 1), Some(Outcome::Completed));
    assert!(world.accounts.checks >= 12);
}

/// Failure: the leader is lost with orders unanswered, and its successor starts more of the account at once.
#[test]
fn runs_whose_orders_are_unanswered_count_after_a_take_over() {
    for seed in 1..40 {
        let mut world = cell(seed, 3);
        for key in 1..8 {
            world.submit_for(SMALL, key, plan(&[step(2, 1_000, 2_000)]), queue("quick", 0));
        }
        world.lost_order_percent = 40;
        for _ in 0..4 {
            world.run(700 + seed * 11);
            world.current_instance().alive = seed % 3 == 0;
            world.take_over();
        }
        world.lost_order_percent = 0;
        world.run(40_000);
        assert_eq!(completed(&world, 1..=7), 7, "seed {seed}");
    }
}

/// Failure: the cap is lowered while orders are carried out late. Nothing of the account starts until it fits.
#[test]
fn a_cap_that_falls_while_orders_are_late_is_kept() {
    for seed in 1..40 {
        let mut world = cell(seed, 3);
        world.set_account(account(SMALL, 1.0, 12_000));
        for key in 1..8 {
            world.submit_for(SMALL, key, plan(&[step(3, 1_000, 1_500)]), queue("quick", 0));
        }
        world.lost_order_percent = 35;
        world.run(600 + seed * 23);
        world.set_account(account(SMALL, 1.0, SMALL_CAP_MILLI));
        world.run(6_000);
        world.lost_order_percent = 0;
        world.run(40_000);
        assert_eq!(completed(&world, 1..=7), 7, "seed {seed}");
    }
}

/// A cap that rises is used at once.
#[test]
fn a_cap_that_rises_is_used_within_a_round() {
    let mut fixture = LeaderFixture::new(&["w-1"]);
    fixture.handle(Event::Accounts(vec![account(SMALL, 1.0, SMALL_CAP_MILLI)]));
    let effects = submit_for(&mut fixture, 1, SMALL, &[step(6, 1_000, 1_000)]);
    assert_eq!(starts(&effects).len(), 2);
    let effects = fixture.handle(Event::Accounts(vec![account(SMALL, 1.0, 5_000)]));
    // Runs that were placed beyond the cap and not started would have raised the numbers of these.
    let runs: Vec<u32> = starts(&effects).into_iter().map(|(_, _, run)| run).collect();
    assert_eq!(runs, [1, 1, 1]);
}

/// Failure: the cap is lowered while the records of runs are being stored, and these are started all the same.
#[test]
fn runs_that_wait_to_be_stored_while_the_cap_falls_are_not_started() {
    let mut fixture = LeaderFixture::new(&["w-1"]);
    fixture.handle(Event::Accounts(vec![account(SMALL, 1.0, 5_000)]));
    let request = Request::Submit {
        job: JobKey(1),
        plan: plan(&[step(4, 1_000, 1_000)]),
        queue: queue("quick", 0),
        account: Some(Box::new(account(SMALL, 1.0, 5_000))),
    };
    let now = fixture.now();
    fixture.leader.handle(Event::Request { request_id: RequestId(1), request }, now);
    fixture.leader.finish(now);
    let lowered = Event::Accounts(vec![account(SMALL, 1.0, SMALL_CAP_MILLI)]);
    fixture.leader.handle(lowered, now);
    fixture.leader.handle(Event::Appended, now);
    assert_eq!(starts(&fixture.leader.finish(now)).len(), 2);
}

/// Failure: a start order got no response, the cap was lowered, and the worker carried the order out seconds later.
#[test]
fn unanswered_runs_beyond_a_lowered_cap_are_stopped() {
    let mut fixture = LeaderFixture::new(&["w-1"]);
    fixture.handle(Event::Accounts(vec![account(SMALL, 1.0, 5_000)]));
    let started = starts(&submit_for(&mut fixture, 1, SMALL, &[step(4, 1_000, 1_000)]));
    for (worker, task, run) in started.iter().cloned() {
        let result = Err(CallError::Failed(Verdict::MayHaveRun));
        fixture.handle(Event::Started { worker, task, run, result });
    }
    fixture.handle(Event::Accounts(vec![account(SMALL, 1.0, SMALL_CAP_MILLI)]));
    let effects = fixture.handle(Event::Tick);
    let stops = effects.iter().filter(|effect| matches!(effect, Effect::Stop { .. })).count();
    assert_eq!(stops, started.len());
}

/// Failure: a run turns out to have been started in the next incarnation of its worker, and counts no more.
#[test]
fn a_run_that_moves_to_the_next_incarnation_of_its_worker_still_counts() {
    let former = WorkerName::new("w-1", Some(1));
    let mut fixture = LeaderFixture::with_jobs(Vec::new());
    fixture.handle(Event::WorkerRegistered(registration(former.clone())));
    fixture.poll_answered(former.clone(), &[], &[]);
    fixture.handle(Event::Accounts(vec![account(SMALL, 1.0, SMALL_CAP_MILLI)]));
    let started = starts(&submit_for(&mut fixture, 1, SMALL, &[step(2, 1_000, 1_000)]));
    assert_eq!(started.len(), 2);
    let next = former.with_start(Some(2));
    fixture.handle(Event::WorkerRegistered(registration(next.clone())));
    let effects = fixture.poll_answered(next, &[(started[0].1, started[0].2)], &[]);
    assert_eq!(starts(&effects).len(), 1, "the run that did not move starts again");
    let status = fixture.leader.status(fixture.now());
    assert_eq!(status.accounts[0].used[0], SMALL_CAP_MILLI);
}

/// Failure: a run of the account on a worker that starts again under its id is forgotten too early.
#[test]
fn runs_on_a_worker_that_restarts_under_its_id_count_until_they_are_settled() {
    for seed in 1..30 {
        let mut world = cell(seed, 2);
        for key in 1..6 {
            world.submit_for(SMALL, key, plan(&[step(2, 1_000, 1_200)]), queue("quick", 0));
        }
        world.lost_order_percent = 25;
        for round in 0..3 {
            world.run(500 + seed * 7);
            let index = world.workers.iter().rposition(|worker| worker.alive).expect("a worker");
            if round % 2 == 0 {
                world.restart_worker(index);
            }
        }
        world.lost_order_percent = 0;
        world.run(40_000);
        assert_eq!(completed(&world, 1..=5), 5, "seed {seed}");
    }
}

/// Failure: two leaders at the same time start work of one account up to its cap each.
#[test]
fn a_leader_that_was_replaced_and_resumes_starts_nothing_more() {
    let mut world = cell(5, 3);
    for key in 1..8 {
        world.submit_for(SMALL, key, plan(&[step(2, 1_000, 1_000)]), queue("quick", 0));
    }
    world.run(40);
    let until_ms = world.now_ms + 1_500;
    world.current_instance().paused_until_ms = until_ms;
    world.take_over();
    world.run(30_000);
    assert_eq!(completed(&world, 1..=7), 7);
}

/// An account that was deleted and made anew under its name is the same account: what it has running counts.
#[test]
fn an_account_that_is_made_anew_under_its_name_keeps_what_it_has_running() {
    let mut world = cell(5, 2);
    world.submit_for(SMALL, 1, plan(&[step(2, 1_000, 3_000)]), queue("quick", 0));
    world.run(500);
    world.remove_account(SMALL);
    world.run(200);
    world.set_account(account(SMALL, 1.0, SMALL_CAP_MILLI));
    world.submit_for(SMALL, 2, plan(&[step(2, 1_000, 500)]), queue("quick", 0));
    world.run(1_000);
    assert_eq!(world.running_of(SMALL).cpu.0, SMALL_CAP_MILLI);
    world.run(10_000);
    assert_eq!(completed(&world, 1..=2), 2);
}

/// Accepted jobs of a deleted account still run, within the cap that it last had, also under a new leader.
#[test]
fn jobs_of_a_deleted_account_run_within_its_last_cap() {
    let mut world = cell(5, 2);
    world.submit_for(SMALL, 1, plan(&[step(8, 1_000, 1_000)]), queue("quick", 0));
    world.run(300);
    world.remove_account(SMALL);
    world.take_over();
    world.run(1_500);
    assert!(world.running_of(SMALL).cpu.0 <= SMALL_CAP_MILLI);
    world.run(20_000);
    assert_eq!(outcome(&world, 1), Some(Outcome::Completed));
}

/// A task or a gang that the cap can never hold is refused with the reason.
#[test]
fn work_beyond_the_cap_is_refused_with_the_reason() {
    let mut world = cell(3, 2);
    let gang = v1::WorkStep { gang: true, ..step(3, 1_000, 500) };
    for (key, step, reason) in [(1, gang, "its gang"), (2, step(1, 3_000, 500), "one of its tasks")]
    {
        let request_id = world.submit_for(SMALL, key, plan(&[step]), queue("quick", 0));
        world.run(100);
        let Some(Response::Invalid(text)) = world.response(request_id) else {
            panic!("job {key} is not refused");
        };
        assert!(text.contains("cap of its account") && text.contains(reason), "{text}");
    }
}

/// A job that its cap holds back says so, and does not ask for advice.
#[test]
fn a_job_that_its_cap_holds_back_says_so_and_asks_for_no_advice() {
    let mut world = cell(3, 2);
    let advice = v1::AdvicePolicy { base_ms: 20.0, per_worker_ms: 1.0, valid_ms: 2_500 };
    let advised = v1::QueuePolicy { advice: Some(advice), ..queue("advised", 0) };
    world.submit_for(SMALL, 1, plan(&[step(2, 1_000, 4_000)]), queue("quick", 0));
    world.run(500);
    world.submit_for(SMALL, 2, plan(&[step(2, 1_000, 500)]), advised);
    world.run(1_500);
    assert!(world.advice_calls.is_empty(), "{:?}", world.advice_calls);
    let now = world.now();
    let explanation = world.current_instance().leader.explain(JobKey(2), now).expect("a job");
    let waits_for = &explanation.steps[0].waits_for;
    assert!(waits_for.starts_with("held back by the cap of its account"), "{waits_for}");
}

fn submit_for(
    fixture: &mut LeaderFixture,
    key: u64,
    name: &str,
    steps: &[v1::WorkStep],
) -> Vec<Effect> {
    let account = Some(Box::new(account(name, 1.0, SMALL_CAP_MILLI)));
    let request =
        Request::Submit { job: JobKey(key), plan: plan(steps), queue: queue("quick", 0), account };
    fixture.handle(Event::Request { request_id: RequestId(key), request })
}

/// The job of another account is neither shown nor cancelled, nor is it overwritten; nor can callers of a public queue
/// reach it.
#[test]
fn a_job_of_another_account_is_like_one_that_is_not_there() {
    let mut fixture = LeaderFixture::new(&["w-1"]);
    fixture.handle(Event::LeadershipConfirmed { sent_ms: fixture.now_ms });
    submit_for(&mut fixture, 1, SMALL, &[step(1, 1_000, 1_000)]);
    let requester = |name: &str| Requester(Some(lilacpass_core::ids::AccountId::new(name)));
    let respond = |fixture: &mut LeaderFixture, request| {
        let effects = fixture.handle(Event::Request { request_id: RequestId(9), request });
        let reply = effects.into_iter().find_map(|effect| match effect {
            Effect::Reply { response, .. } => Some(response),
            _ => None,
        });
        reply.expect("a response")
    };
    for other in [requester("other"), Requester::default()] {
        let state = Request::State(JobKey(1), other.clone());
        assert_eq!(respond(&mut fixture, state), Response::UnknownJob);
        let cancel = Request::Cancel(JobKey(1), other);
        assert_eq!(respond(&mut fixture, cancel), Response::UnknownJob);
    }
    let same = Request::Submit {
        job: JobKey(1),
        plan: plan(&[step(1, 1_000, 1_000)]),
        queue: queue("quick", 0),
        account: Some(Box::new(account("other", 1.0, 0))),
    };
    assert_eq!(respond(&mut fixture, same), Response::Conflict);
    let own = Request::State(JobKey(1), requester(SMALL));
    assert!(matches!(
        respond(&mut fixture, own),
        Response::State(JobState::Queued | JobState::Running)
    ));
}

/// Failure: an account that sends many times its usual fills a full cell, and the jobs of the others become late.
#[test]
fn jobs_beyond_a_share_wait_for_those_within_one() {
    let mut world = World::new(7, 2, Resources::new(8_000, 1_000, 0, 0));
    world.set_account(account("hot", 2.0, 0));
    world.set_account(account("calm", 4.0, 0));
    world.run(600);
    // Twenty jobs at once, which take the cell five seconds.
    for key in 1..=20 {
        world.submit_for("hot", key, plan(&[step(4, 1_000, 1_000)]), queue("quick", 0));
    }
    for key in 101..=108 {
        world.run(250);
        world.submit_for("calm", key, plan(&[step(2, 1_000, 500)]), queue("quick", 0));
    }
    world.run(2_200);
    assert_eq!(completed(&world, 101..=108), 8, "the jobs within the share come first");
    assert!(completed(&world, 1..=20) < 20);
    world.run(15_000);
    assert_eq!(completed(&world, 1..=20), 20, "work beyond a share uses what is left");
}

/// Which jobs are beyond a share is stored with them, and a new leader goes on counting.
#[test]
fn a_new_leader_knows_what_an_account_has_sent() {
    let mut world = World::new(7, 2, Resources::new(8_000, 1_000, 0, 0));
    world.set_account(account("hot", 2.0, 0));
    world.run(600);
    let lasting = v1::WorkStep { lasting: true, ..step(1, 10, 500) };
    for key in 1..=3 {
        world.submit_for("hot", key, plan(std::slice::from_ref(&lasting)), queue("watch", 1));
    }
    world.run(50);
    world.current_instance().alive = false;
    world.take_over();
    world.submit_for("hot", 4, plan(&[lasting]), queue("watch", 1));
    world.run(2_000);
    let beyond = |key: u64| world.store.job(JobKey(key)).expect("a job").is_beyond_share;
    assert_eq!([1, 2, 3, 4].map(beyond), [false, false, true, true]);
}

/// A step beyond its share that has waited for long gets room in advance, before work within a share.
#[test]
fn work_beyond_a_share_gets_its_turn() {
    let mut world = World::new(9, 2, Resources::new(8_000, 1_000, 0, 0));
    world.set_account(account("none", 0.0, 0));
    world.run(600);
    let mut key = 100;
    // Others keep the cell full with tasks of different lengths.
    for round in 0..400 {
        if round == 20 {
            world.submit_for("none", 1, plan(&[step(1, 8_000, 500)]), queue("quick", 0));
        }
        for _ in 0..2 {
            key += 1;
            let busy = step(3, 1_000, 310 + (key as u32 * 37) % 500);
            world.submit(key, plan(&[busy]), queue("quick", 0));
        }
        world.run(100);
        if outcome(&world, 1) == Some(Outcome::Completed) {
            return;
        }
    }
    panic!("the job beyond its share did not run within 38 s");
}

/// The workers' view: the task that is started is the one whose account has room.
#[test]
fn a_held_back_step_leaves_its_room_to_others() {
    let mut fixture = LeaderFixture::new(&["w-1"]);
    fixture.handle(Event::WorkerRegistered(registration("w-1")));
    fixture.handle(Event::Accounts(vec![account(SMALL, 1.0, SMALL_CAP_MILLI)]));
    submit_for(&mut fixture, 1, SMALL, &[step(4, 1_000, 1_000)]);
    let effects = fixture.submit(2, &[step(6, 1_000, 1_000)]);
    let started: Vec<TaskName> = starts(&effects).into_iter().map(|(_, task, _)| task).collect();
    assert_eq!(started, (0..6).map(|index| task(2, index)).collect::<Vec<_>>());
}
