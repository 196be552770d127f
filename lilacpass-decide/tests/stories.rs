//! Failures that the users have seen or fear, each with its story.

mod common;

use common::{at, meta, ms, one_slot, quick, refused, slots, started, task, team_meta, worker_id};
use lilacpass_core::{
    Class, Resources,
    ids::{AccountId, AttemptNo, JobId, TaskId, TeamId, WorkerId},
};
use lilacpass_decide::{
    Blame, Cancelled, Decision, HoldId, How, JobQueue, NoPlace, Outcome, Policy, Pool, PoolOptions,
    QuickTask, Reason, RefusalReason, Rules, Scheduler, TaskMeta, TeamShare, TeamUsage, WaitReason,
    WaitingJob,
};

fn gang(n: u64) -> HoldId {
    HoldId { job: JobId(u128::from(n)), attempt: AttemptNo(1) }
}

fn job(n: u64, meta: TaskMeta, tasks: u32, since_ms: u64) -> WaitingJob {
    WaitingJob { job: JobId(u128::from(n)), meta, each: one_slot(), tasks, since: at(since_ms) }
}

fn run(pool: &mut Pool, n: u64, on: &WorkerId, outcome: Outcome, now_ms: u64) -> bool {
    let given = pool.try_give(task(n), on, one_slot(), meta(Class::Urgent), at(now_ms));
    given && pool.release(&task(n), outcome, ms(10), at(now_ms + 10)).is_some()
}

/// One worker fails all it starts, at once. As it is always idle, it draws most requests, and the
/// desks see one error after the other though five workers are well.
#[test]
fn a_worker_that_fails_all_it_starts_loses_few_requests() {
    let mut scheduler = common::scheduler(6);
    let bad = worker_id(0);
    let mut failed = 0;
    let mut running: Vec<(u64, TaskId)> = Vec::new();
    // The five good workers are a little too few, so there is always use for the bad one.
    for n in 0..500 {
        let now = at(10 * n);
        for (_, id) in running.extract_if(.., |(ends, _)| *ends <= n) {
            scheduler.ended(&id, Outcome::Succeeded, ms(440), now);
        }
        scheduler.submit(quick(n, meta(Class::Urgent), now + ms(5_000)), now).expect("admitted");
        for decision in scheduler.dispatch(now) {
            let Decision::Start { task, worker, .. } = decision else { continue };
            if worker == bad {
                failed += 1;
                scheduler.ended(&task, Outcome::Failed, ms(5), now);
            } else {
                running.push((n + 44, task));
            }
        }
    }
    let quarantined: Vec<_> = scheduler.pool.quarantined().collect();
    assert_eq!(quarantined, [(&bad, Reason::Fails)]);
    assert!(failed <= 4, "{failed} of 500 requests went to the bad worker");
}

/// The worker above is repaired. It must come back by itself, after a probe has succeeded; while
/// it is not, each probe that fails makes it wait longer.
#[test]
fn a_repaired_worker_comes_back_after_a_probe() {
    let mut pool = common::pool(3);
    let bad = worker_id(0);
    (0..3).for_each(|n| assert!(run(&mut pool, n, &bad, Outcome::Failed, 10 * n)));
    assert_eq!(pool.quarantined().count(), 1);
    assert!(!run(&mut pool, 10, &bad, Outcome::Failed, 4_000), "no work before the backoff ends");
    assert!(run(&mut pool, 11, &bad, Outcome::Failed, 5_100), "the first probe");
    assert!(!run(&mut pool, 12, &bad, Outcome::Succeeded, 11_000), "the backoff has doubled");
    assert!(run(&mut pool, 13, &bad, Outcome::Succeeded, 15_200), "the second probe");
    assert_eq!(pool.quarantined().count(), 0);
    assert!(run(&mut pool, 14, &bad, Outcome::Succeeded, 15_300));
}

/// A probe is a risk. A crawl audit must run at most once, so it is never what finds out whether
/// a worker is well again; and only one request at a time is put at risk.
#[test]
fn only_one_idempotent_task_probes_a_worker() {
    let mut pool = common::pool(2);
    let bad = worker_id(0);
    (0..3).for_each(|n| assert!(run(&mut pool, n, &bad, Outcome::Failed, 10 * n)));
    let audit = TaskMeta { idempotent: false, ..meta(Class::Batch) };
    let now = at(6_000);
    assert!(!pool.try_give(task(10), &bad, one_slot(), audit, now));
    assert!(pool.try_give(task(11), &bad, one_slot(), meta(Class::Urgent), now));
    assert!(!pool.try_give(task(12), &bad, one_slot(), meta(Class::Urgent), now));
}

/// An owner asks for the check of a page that makes the checker crash. It is tried on worker
/// after worker. The job is at fault, and no worker may be taken out of service for it.
#[test]
fn a_job_that_fails_everywhere_is_blamed_and_no_worker() {
    let mut pool = common::pool(8);
    for attempt in 0..40 {
        let id = TaskId { attempt: AttemptNo(attempt), ..task(7) };
        let on = worker_id(attempt as usize % 8);
        let now = at(100 * attempt);
        assert!(pool.try_give(id, &on, one_slot(), meta(Class::Urgent), now));
        pool.release(&id, Outcome::Failed, ms(10), now + ms(10));
        let expected = if attempt == 0 { Blame::Worker(on) } else { Blame::Job };
        assert_eq!(pool.blame(&task(7).job), expected);
    }
    assert_eq!(pool.quarantined().count(), 0);
}

/// A broken release of one service makes all its jobs fail on all workers. Were the workers
/// blamed, other services would lose the cell.
#[test]
fn a_kind_that_fails_everywhere_takes_no_worker_out() {
    let mut pool = common::pool(8);
    let broken = TaskMeta { kind: "broken".parse().expect("a name"), ..meta(Class::Batch) };
    for n in 0..400 {
        let on = worker_id(n as usize % 8);
        let now = at(10 * n);
        let meta = if n % 2 == 0 { broken.clone() } else { meta(Class::Urgent) };
        let outcome = if n % 2 == 0 { Outcome::Failed } else { Outcome::Succeeded };
        if pool.try_give(task(n), &on, one_slot(), meta, now) {
            pool.release(&task(n), outcome, ms(10), now);
        }
    }
    assert_eq!(pool.quarantined().count(), 0);
}

/// A switch fails and all workers fail all they start. The cell must not take itself down: no
/// more than the cap are in quarantine, and the rest goes on trying.
#[test]
fn quarantine_keeps_to_its_cap_when_everything_fails() {
    let mut pool = common::pool(16);
    for n in 0..400 {
        run(&mut pool, n, &worker_id(n as usize % 16), Outcome::Lost, 10 * n);
        assert!(pool.quarantined().count() <= 4);
    }
    assert_eq!(pool.quarantined().count(), 4);
    assert!(pool.place(&one_slot(), &meta(Class::Urgent), &[], at(4_010)).is_ok());
}

/// A disk of one worker is dying: everything on it takes ten times as long, without an error.
#[test]
fn a_slow_worker_is_taken_out() {
    let mut pool = common::pool(4);
    for n in 0..200 {
        let on = worker_id(n as usize % 4);
        let now = at(100 * n);
        if pool.try_give(task(n), &on, one_slot(), meta(Class::Urgent), now) {
            let ran = if n % 4 == 0 && n > 80 { ms(5_000) } else { ms(100) };
            pool.release(&task(n), Outcome::Succeeded, ran, now);
        }
    }
    assert_eq!(pool.quarantined().collect::<Vec<_>>(), [(&worker_id(0), Reason::Slow)]);
}

/// A broker's system gives up on 4,000 lookups at once after an outage upstream. None of those
/// that wait may start, all are answered as cancelled, and later lookups are not held up.
#[test]
fn a_wave_of_cancellations_leaves_nothing_behind() {
    let mut scheduler = common::scheduler(1);
    let far = at(10_000_000);
    for n in 0..4_000 {
        scheduler.submit(quick(n, meta(Class::Urgent), far), at(0)).expect("admitted");
    }
    let running = started(&scheduler.dispatch(at(0)));
    assert_eq!(running.len(), 8);
    let queued =
        (0..4_000).filter(|n| scheduler.cancel(&task(*n), at(1)) == Cancelled::Queued).count();
    assert_eq!(queued, 4_000 - running.len());
    assert_eq!(scheduler.queued(Class::Urgent), 0);
    scheduler.submit(quick(5_000, meta(Class::Urgent), at(2_000)), at(2)).expect("admitted");
    for id in &running {
        scheduler.ended(id, Outcome::Stopped, ms(2), at(3));
    }
    assert_eq!(started(&scheduler.dispatch(at(3))), [task(5_000)]);
}

/// A fifth more lookups arrive than the workers can answer. Without admission the queue grows
/// until every answer comes after the call has ended. Those that can't be answered in time must
/// be told so at once, and all others answered in time, with the workers fully used.
#[test]
fn at_120_percent_load_every_admitted_request_is_in_time() {
    const RUN_MS: u64 = 100;
    const DEADLINE_MS: u64 = 1_000;
    let mut scheduler = common::scheduler(2);
    let mut running: Vec<(u64, TaskId)> = Vec::new();
    let (mut in_time, mut refused_late) = (0, 0);
    // 16 slots serve 160 requests a second; 192 arrive.
    for now_ms in 0..10_000u64 {
        let now = at(now_ms);
        for (ends_ms, id) in running.extract_if(.., |(ends_ms, _)| *ends_ms <= now_ms) {
            scheduler.ended(&id, Outcome::Succeeded, ms(RUN_MS), now);
            in_time += u32::from(at(ends_ms) <= at(id.job.0 as u64 + DEADLINE_MS));
        }
        let arrivals = (now_ms + 1) * 192 / 1_000 - now_ms * 192 / 1_000;
        for _ in 0..arrivals {
            // The job number is the time of arrival; at most one arrives in a millisecond.
            let _ =
                scheduler.submit(quick(now_ms, meta(Class::Urgent), now + ms(DEADLINE_MS)), now);
        }
        let decisions = scheduler.dispatch(now);
        refused_late += refused(&decisions).len();
        running.extend(started(&decisions).into_iter().map(|id| (now_ms + RUN_MS, id)));
    }
    let most = 10 * 160;
    assert!(in_time >= most * 95 / 100, "{in_time} of {most} answers in time");
    assert!(refused_late <= 20, "{refused_late} requests waited in vain");
}

/// The deadline of a request passes while it waits. The caller must be told at that moment, not
/// when the queue gets to it.
#[test]
fn a_request_that_can_not_be_in_time_any_more_is_answered_at_once() {
    let mut scheduler = common::scheduler(1);
    let now = at(0);
    for n in 0..8 {
        scheduler.submit(quick(n, meta(Class::Urgent), at(60_000)), now).expect("admitted");
    }
    assert_eq!(scheduler.dispatch(now).len(), 8);
    scheduler.submit(quick(8, meta(Class::Urgent), at(500)), now).expect("admitted");
    assert_eq!(scheduler.dispatch(now), []);
    // It takes 100 ms, so 400 ms is the last moment to start it.
    let wake = std::iter::successors(Some(now), |now| scheduler.next_wake(*now))
        .find(|at| *at >= common::at(400));
    let wake = wake.expect("the scheduler asks to be woken");
    assert_eq!(wake, at(400));
    assert_eq!(scheduler.dispatch(wake), []);
    assert_eq!(refused(&scheduler.dispatch(wake + ms(1))), [task(8)]);
}

/// Somebody submits a job larger than any worker, and one that needs a whole worker while all are
/// busy. Quick checks behind them must not wait for either.
#[test]
fn a_request_that_can_not_be_placed_blocks_no_other() {
    let mut scheduler = common::scheduler(1);
    let small = quick(0, meta(Class::Urgent), at(60_000));
    let huge = QuickTask { task: task(1), need: slots(9), ..small.clone() };
    let refusal = scheduler.submit(huge, at(0)).expect_err("it fits nowhere");
    assert_eq!((refusal.reason, refusal.retry_after), (RefusalReason::NeverFits, None));
    scheduler.submit(small.clone(), at(0)).expect("admitted");
    scheduler.dispatch(at(0));
    let whole = QuickTask { task: task(2), need: slots(8), ..small.clone() };
    scheduler.submit(whole, at(1)).expect("admitted");
    scheduler.submit(QuickTask { task: task(3), ..small }, at(2)).expect("admitted");
    assert_eq!(started(&scheduler.dispatch(at(2))), [task(3)]);
}

/// Small checks keep coming, and a task that needs a whole worker never sees one empty. After a
/// while a worker is kept for it, and it starts once the small ones there have ended.
#[test]
fn a_large_request_is_not_overtaken_for_ever() {
    let mut scheduler = common::scheduler(1);
    let mut running = Vec::new();
    let whole = QuickTask { need: slots(8), ..quick(0, meta(Class::Urgent), at(60_000)) };
    for n in 0..100 {
        let now = at(100 * n);
        for id in running.extract_if(.., |(ends, _)| *ends <= n).map(|(_, id)| id) {
            scheduler.ended(&id, Outcome::Succeeded, ms(300), now);
        }
        if n == 1 {
            scheduler.submit(whole.clone(), now).expect("admitted");
        }
        let small = quick(n + 1, meta(Class::Urgent), now + ms(10_000));
        scheduler.submit(small, now).expect("admitted");
        let starts = started(&scheduler.dispatch(now));
        if starts.contains(&task(0)) {
            assert!((11..=20).contains(&n), "it started after {n} rounds");
            return;
        }
        running.extend(starts.into_iter().map(|id| (n + 3, id)));
    }
    panic!("the large request never started");
}

/// Two gangs of twelve arrive at once in two data centres of eight slots each. Were each to keep
/// what it got and wait for the rest, both would wait for ever.
#[test]
fn two_gangs_never_block_each_other() {
    let mut pools = [common::pool(1), common::pool(1)];
    let batch = meta(Class::Batch);
    let mut try_gang = |id: HoldId, now_ms: u64| {
        let mut left: Vec<u32> = (0..12).collect();
        for pool in &mut pools {
            let (now, expires) = (at(now_ms), at(now_ms + 1_000));
            let held = pool.hold(id, &left, &one_slot(), &batch, &[], expires, now);
            left.retain(|index| !held.iter().any(|(i, _)| i == index));
        }
        if !left.is_empty() {
            pools.iter_mut().for_each(|pool| pool.unhold(&id));
            return false;
        }
        for index in 0..12 {
            let commits =
                pools.iter_mut().filter_map(|p| p.commit_hold(id.task(index), at(now_ms)));
            assert_eq!(commits.count(), 1);
        }
        true
    };
    assert!(try_gang(gang(1), 0));
    assert!(!try_gang(gang(2), 0), "no room for the second");
    for pool in &mut pools {
        for index in 0..12 {
            pool.release(&gang(1).task(index), Outcome::Succeeded, ms(10), at(10));
        }
        assert!(pool.digest().given.is_zero(), "the second gang left nothing behind");
    }
}

/// Audits take each slot as it comes free, and a sweep that needs twelve slots at once waits all
/// night. After a few seconds audits are held back until there is room for it.
#[test]
fn a_gang_is_not_starved_by_single_tasks() {
    let mut pool = common::pool(2);
    let batch = meta(Class::Batch);
    let tasks: Vec<u32> = (0..12).collect();
    let mut running: Vec<(u64, TaskId)> = Vec::new();
    for n in 0..120 {
        let now = at(500 * n);
        for (_, id) in running.extract_if(.., |(ends, _)| *ends <= n) {
            pool.release(&id, Outcome::Succeeded, ms(5_000), now);
        }
        for k in 0..4 {
            let id = task(10 * n + k);
            if pool.place_and_give(id, one_slot(), &batch, &[], now).is_ok() {
                running.push((n + 10, id));
            }
        }
        if n < 10 {
            continue;
        }
        let id = gang(1_000_000);
        let held = pool.hold(id, &tasks, &one_slot(), &batch, &[], now + ms(400), now);
        if held.len() == tasks.len() {
            assert!(n > 20, "the audits had filled both workers");
            return;
        }
        pool.unhold(&id);
    }
    panic!("the gang never started");
}

/// The entry instance that drives a gang dies after it has held room for it. Nobody releases it.
#[test]
fn the_holds_of_a_dead_driver_expire_as_a_whole() {
    let mut pool = common::pool(2);
    let batch = meta(Class::Batch);
    let tasks: Vec<u32> = (0..10).collect();
    let held = pool.hold(gang(1), &tasks, &one_slot(), &batch, &[], at(500), at(0));
    assert_eq!(held.len(), 10);
    assert!(pool.commit_hold(gang(1).task(0), at(400)).is_some());
    assert_eq!(pool.commit_hold(gang(1).task(1), at(500)), None, "it has expired");
    assert_eq!(pool.holds(&gang(1)).count(), 0);
    assert_eq!(pool.digest().free.slots.0, 15);
}

/// A gang holds room on a worker; then the worker is told to leave, or its lease shrinks. The
/// task must not start there although the hold is still in time.
#[test]
fn a_hold_does_not_outlive_the_right_to_start() {
    for change in [0, 1, 2] {
        let mut pool = common::pool(1);
        let batch = meta(Class::Batch);
        pool.hold(gang(1), &[0, 1], &one_slot(), &batch, &[], at(500), at(0));
        match change {
            0 => pool.set_leaving(&worker_id(0), true),
            1 => pool.set_limit(&worker_id(0), Resources::ZERO, at(1)),
            _ => pool.remove_worker(&worker_id(0)),
        }
        assert_eq!(pool.commit_hold(gang(1).task(0), at(2)), None);
        assert_eq!(pool.commit_hold(gang(1).task(1), at(2)), None);
        assert!(pool.held(&worker_id(0)).is_zero());
    }
}

/// Batch work fills the cell when a shopkeeper asks for a check. Room is made from work that can
/// be done again or resumed, the youngest first; a crawl audit that may run only once is left
/// alone, whatever the wait.
#[test]
fn preemption_never_takes_a_non_idempotent_task() {
    let mut pool = common::pool(1);
    let audit = TaskMeta { idempotent: false, ..meta(Class::Batch) };
    for n in 0..6 {
        assert!(pool.try_give(task(n), &worker_id(0), one_slot(), audit.clone(), at(0)));
    }
    let sweep = |n, at_ms| (task(n), meta(Class::Batch), at(at_ms));
    for (id, meta, since) in [sweep(6, 0), sweep(7, 500)] {
        assert!(pool.try_give(id, &worker_id(0), one_slot(), meta, since));
    }
    let urgent = meta(Class::Urgent);
    let mut chosen = |now_ms: u64| {
        let chosen = pool.preempt_for(&one_slot(), &urgent, &Rules::default(), at(now_ms));
        chosen.into_iter().map(|p| (p.task, p.how)).collect::<Vec<_>>()
    };
    assert_eq!(chosen(1_000), [(task(7), How::Stop)], "the least work is lost");
    assert_eq!(chosen(1_000), [(task(6), How::Stop)], "none is chosen twice");
    assert_eq!(chosen(1_000), [], "audits stay");
    let rules = Rules { preempt_non_idempotent: true, ..Rules::default() };
    assert_eq!(pool.preempt_for(&one_slot(), &urgent, &rules, at(1_000)).len(), 1);
}

/// An audit that can be checkpointed makes room without any loss of its work.
#[test]
fn a_checkpoint_goes_before_a_stop() {
    let mut pool = common::pool(1);
    let audit = TaskMeta { idempotent: false, checkpointable: true, ..meta(Class::Batch) };
    for n in 0..8 {
        let meta = if n == 3 { audit.clone() } else { meta(Class::Batch) };
        assert!(pool.try_give(task(n), &worker_id(0), one_slot(), meta, at(0)));
    }
    let urgent = meta(Class::Urgent);
    let chosen = pool.preempt_for(&one_slot(), &urgent, &Rules::default(), at(60_000));
    assert_eq!(chosen.len(), 1);
    assert_eq!((chosen[0].task, chosen[0].how), (task(3), How::Checkpoint));
}

/// A worker is given more than it has after its holder died: a throttled task counted as half, and
/// the next holder reads the whole of it from the worker's report. Without leave nobody is throttled.
#[test]
fn nothing_is_throttled_to_make_room_unless_the_rules_say_so() {
    let mut pool = common::pool(1);
    let wide = Resources::new(60_000, 1_024, 0, 1);
    let able = TaskMeta { checkpointable: true, ..meta(Class::Batch) };
    assert!(pool.try_give(task(0), &worker_id(0), wide, able, at(0)));
    let need = Resources::new(8_000, 1_024, 0, 1);
    let chosen = pool.preempt_for(&need, &meta(Class::Urgent), &Rules::default(), at(10));
    assert_eq!(chosen[0].how, How::Checkpoint);
}

/// Only processors are short: a batch task goes on with half of them, and nothing is stopped.
#[test]
fn a_throttle_goes_before_a_checkpoint() {
    let rules = Rules { throttle: true, ..Rules::default() };
    let mut pool = common::pool(1);
    let wide = Resources::new(60_000, 1_024, 0, 1);
    assert!(pool.try_give(task(0), &worker_id(0), wide, meta(Class::Batch), at(0)));
    let need = Resources::new(8_000, 1_024, 0, 1);
    let chosen = pool.preempt_for(&need, &meta(Class::Urgent), &rules, at(10));
    assert_eq!((chosen[0].how, chosen[0].keeps.cpu.0), (How::Throttle, 30_000));
    assert!(pool.resize(&task(0), chosen[0].keeps, at(20)));
    assert!(pool.place(&need, &meta(Class::Urgent), &[], at(20)).is_ok());
}

/// Urgent work takes every slot as it comes free. An overnight sweep must start all the same.
#[test]
fn a_batch_request_that_waited_too_long_takes_its_turn() {
    let mut scheduler = common::scheduler(1);
    scheduler.set_policy(Policy { batch_aging: ms(1_000), ..Policy::default() });
    let far = at(1_000_000);
    scheduler.submit(quick(0, meta(Class::Batch), far), at(0)).expect("admitted");
    let mut running: Vec<TaskId> = Vec::new();
    for n in 1..200 {
        let now = at(20 * n);
        for id in running.drain(..) {
            scheduler.ended(&id, Outcome::Succeeded, ms(20), now);
        }
        for k in 0..8 {
            let request = quick(10 * n + k, meta(Class::Urgent), far);
            scheduler.submit(request, now).expect("admitted");
        }
        running = started(&scheduler.dispatch(now));
        if running.contains(&task(0)) {
            assert!(now >= at(1_000), "it goes first only after it has waited");
            return;
        }
    }
    panic!("the batch request never started");
}

/// The desks of the new customer are promised first attention. Their lookup comes last, and goes
/// first.
#[test]
fn the_desks_of_a_preferred_account_go_first() {
    let mut scheduler = common::scheduler(1);
    let account = AccountId::new("new-customer");
    let accounts = vec![(TeamId::new("team"), account.clone(), 1)];
    scheduler.set_policy(Policy { accounts, ..Policy::default() });
    for n in 0..20 {
        scheduler.submit(quick(n, meta(Class::Urgent), at(60_000)), at(0)).expect("admitted");
    }
    let preferred = TaskMeta { account: Some(account), ..meta(Class::Urgent) };
    scheduler.submit(quick(20, preferred, at(60_000)), at(1)).expect("admitted");
    assert_eq!(started(&scheduler.dispatch(at(1)))[0], task(20));
}

/// The audit team uses the whole cell at night, three quarters of it borrowed. In the morning the
/// desk team is back: each slot that comes free is theirs until they have their share.
#[test]
fn a_borrowed_share_is_given_back() {
    let mut scheduler = common::scheduler(1);
    let share = |team: &str, n| TeamShare {
        team: TeamId::new(team),
        quota: slots(n),
        may_borrow: true,
        rate_limit: None,
    };
    let teams = vec![share("audits", 2), share("desks", 6)];
    scheduler.set_policy(Policy { teams, ..Policy::default() });
    let far = at(1_000_000);
    for n in 0..20 {
        scheduler.submit(quick(n, team_meta(Class::Urgent, "audits"), far), at(0)).expect("ok");
    }
    let audits = started(&scheduler.dispatch(at(0)));
    assert_eq!(audits.len(), 8, "an idle share is lent");
    for n in 20..40 {
        scheduler.submit(quick(n, team_meta(Class::Urgent, "desks"), far), at(1)).expect("ok");
    }
    for id in &audits {
        scheduler.ended(id, Outcome::Succeeded, ms(100), at(100));
    }
    scheduler.dispatch(at(100));
    assert_eq!(scheduler.pool.team_given(&TeamId::new("desks")), slots(6));
    assert_eq!(scheduler.pool.team_given(&TeamId::new("audits")), slots(2));
}

/// A team that may not borrow stays within its quota, and does not keep others from idle room.
#[test]
fn a_team_that_may_not_borrow_blocks_no_other() {
    let mut scheduler = common::scheduler(1);
    let team = TeamId::new("audits");
    let share = TeamShare { team, quota: slots(2), may_borrow: false, rate_limit: None };
    scheduler.set_policy(Policy { teams: vec![share], ..Policy::default() });
    for n in 0..5 {
        let audits = team_meta(Class::Urgent, "audits");
        scheduler.submit(quick(n, audits, at(60_000)), at(0)).expect("admitted");
        let desks = team_meta(Class::Urgent, "desks");
        scheduler.submit(quick(10 + n, desks, at(60_000)), at(0)).expect("admitted");
    }
    assert_eq!(started(&scheduler.dispatch(at(0))).len(), 2 + 5);
    assert_eq!(scheduler.queued(Class::Urgent), 3);
}

/// A driver tries a gang that finds no room. The jobs behind it must be tried at once, the gang
/// again later, and an operator who asks is told why it waits.
#[test]
fn a_job_without_room_blocks_no_other_job() {
    let mut queue = JobQueue::new();
    let usage = TeamUsage::new(slots(64));
    queue.push(job(1, meta(Class::Batch), 100, 0));
    queue.push(job(2, meta(Class::Batch), 1, 1));
    assert_eq!(queue.next(&usage, at(2), 1), [JobId(1)]);
    queue.retry_at(&JobId(1), at(1_000));
    assert_eq!(queue.next(&usage, at(2), 10), [JobId(2)]);
    let why = queue.explain(&JobId(1), &usage, at(2)).expect("it waits");
    assert_eq!((why.reason, why.waited), (WaitReason::NoRoom, ms(2)));
    assert_eq!(queue.next(&usage, at(1_000), 10), [JobId(1), JobId(2)]);
}

/// Urgent and standing jobs keep coming. A batch job that has waited too long is among the next
/// five all the same.
#[test]
fn a_batch_job_that_waited_too_long_takes_its_turn() {
    let mut queue = JobQueue::new();
    let usage = TeamUsage::new(slots(64));
    queue.push(job(1, meta(Class::Batch), 1, 0));
    (2..50).for_each(|n| queue.push(job(n, meta(Class::Standing), 1, 10)));
    assert_eq!(queue.next(&usage, at(20), 48).iter().position(|j| *j == JobId(1)), None);
    let aged = at(600_000);
    assert!(queue.is_aged(&JobId(1), aged));
    assert!(queue.next(&usage, aged, 5).contains(&JobId(1)));
}

/// Two copies of a watcher on one rack are lost together when the rack loses power.
#[test]
fn copies_of_standing_work_are_spread_over_racks() {
    let mut pool = common::pool(24);
    let watcher = meta(Class::Standing);
    let mut racks: Vec<usize> = Vec::new();
    for n in 0..3 {
        let on = pool.place_and_give(task(n), one_slot(), &watcher, &[], at(0)).expect("room");
        let number: usize = on.as_str()[1..].parse().expect("a number");
        racks.push(number / 8);
    }
    racks.sort_unstable();
    assert_eq!(racks, [0, 1, 2]);
}

/// Batch work fills every slot between two bursts of lookups, and each burst then waits for it.
/// What the last burst took is kept free; only one batch task in five seconds starts all the same,
/// so that batch work never stands still.
#[test]
fn room_for_the_last_burst_is_kept_free_of_batch_work() {
    let options = PoolOptions { max_reserve_permille: 1_000, ..PoolOptions::default() };
    let mut pool = Pool::new(options);
    common::fill_pool(&mut pool, 2);
    let urgent = meta(Class::Urgent);
    for n in 0..4 {
        pool.place_and_give(task(n), one_slot(), &urgent, &[], at(0)).expect("room");
    }
    for n in 0..4 {
        pool.release(&task(n), Outcome::Succeeded, ms(10), at(10));
    }
    let batch = meta(Class::Batch);
    let mut place =
        |n: u64, now_ms: u64| pool.place_and_give(task(n), one_slot(), &batch, &[], at(now_ms));
    assert_eq!((10..40).take_while(|n| place(*n, 20).is_ok()).count(), 12);
    assert_eq!(place(50, 20), Err(NoPlace::KeptForUrgent));
    assert!(place(51, 5_020).is_ok());
    assert_eq!(place(52, 5_021), Err(NoPlace::KeptForUrgent));
    assert!(pool.place(&one_slot(), &urgent, &[], at(5_021)).is_ok());
}

/// A retried request comes back to a holder where the first one still runs.
#[test]
fn a_task_is_never_given_twice() {
    let mut scheduler: Scheduler = common::scheduler(2);
    let request = quick(1, meta(Class::Urgent), at(60_000));
    scheduler.submit(request.clone(), at(0)).expect("admitted");
    let again = |scheduler: &mut Scheduler| {
        scheduler.submit(request.clone(), at(1)).expect_err("it is known").reason
    };
    assert_eq!(again(&mut scheduler), RefusalReason::Duplicate);
    assert_eq!(scheduler.dispatch(at(1)).len(), 1);
    assert_eq!(again(&mut scheduler), RefusalReason::Duplicate);
    let meta = meta(Class::Urgent);
    assert!(!scheduler.pool.try_give(task(1), &worker_id(1), one_slot(), meta, at(1)));
}
