//! Fair use among client accounts while capacity is short: the decision alone, and in the simulated cell.

mod world;

use std::collections::BTreeSet;

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, Outcome, StepName, WorkerName};
use lilacpass_lead::{
    Event, Now,
    accounts::{AccountNumber, Accounts},
    event::{Request, RequestId, Requester},
    fair_use::{AccountSample, Band, Claim, FairUse, HALF_LIFE_MS, max_min_parts},
    inspect::AccountStatus,
    rank::Rank,
    reservations::Reservations,
    scan::Scan,
    waiting::{StepKind, WaitingSteps},
};
use lilacpass_schema::v1;
use world::{Random, World, accounts::account, fixture::LeaderFixture, plan, queue, step};

const HEAVY: &str = "heavy";
const LIGHT: [&str; 3] = ["light-a", "light-b", "light-c"];
/// High enough that the jobs of a test are within the shares of their accounts.
const WEIGHT: f64 = 50.0;
const WORKERS: usize = 4;
const WORKER_MILLI: u64 = 8_000;

/// Numbers of accounts for tests of the decision alone.
fn numbers<const N: usize>() -> [AccountNumber; N] {
    let mut accounts = Accounts::default();
    std::array::from_fn(|index| accounts.number_of(&account(&format!("a-{index}"), 1.0, 0)))
}

/// Samples the accounts, with equal weights, each 50 ms for `for_ms`, and reviews their bands.
fn use_pool(
    fair_use: &mut FairUse,
    accounts: &[AccountNumber],
    shares: &[f64],
    for_ms: u64,
    now_ms: &mut u64,
) {
    let end_ms = *now_ms + for_ms;
    while *now_ms < end_ms {
        *now_ms += 50;
        let sample = |(&account, &share)| AccountSample { account, weight: 1.0, share };
        fair_use.sample(accounts.iter().zip(shares).map(sample), *now_ms);
        if fair_use.is_review_due(*now_ms) {
            fair_use.review(true, &accounts.iter().copied().collect(), *now_ms);
        }
    }
}

/// Guards against parts that stand idle: what an account does not need goes to those that want more, by weight.
#[test]
fn unneeded_parts_are_divided_among_the_others() {
    let claim = |weight, demand| Claim { weight, demand };
    let claims = [claim(1.0, 0.1), claim(1.0, f64::INFINITY), claim(2.0, f64::INFINITY)];
    let parts = max_min_parts(1.0, &claims);
    for (part, expected) in parts.iter().zip([0.1, 0.3, 0.6]) {
        assert!((part - expected).abs() < 1e-9, "{parts:?}");
    }
    assert_eq!(max_min_parts(0.0, &claims), [0.0, 0.0, 0.0]);
    assert_eq!(max_min_parts(1.0, &[]), [0.0; 0]);
}

/// Guards against accounts that are put back although nobody uses more than others, and against one that is alone.
#[test]
fn lone_accounts_and_accounts_that_use_alike_are_in_the_first_band() {
    for shares in [&[1.0][..], &[0.25, 0.25, 0.25][..], &[0.30, 0.27, 0.28][..]] {
        let accounts = &numbers::<3>()[..shares.len()];
        let (mut fair_use, mut now_ms) = (FairUse::default(), 1_000);
        use_pool(&mut fair_use, accounts, shares, 20_000, &mut now_ms);
        let bands: Vec<Band> = accounts.iter().map(|a| fair_use.band_of(Some(*a))).collect();
        assert!(bands.iter().all(|band| *band == Band::FIRST), "{shares:?}: {bands:?}");
    }
}

/// Guards against bands that change with each review while an account stays near a limit, against usage that is never
/// forgotten, and against bands that remain when nothing waits any more.
#[test]
fn bands_follow_decayed_usage_with_hysteresis() {
    let accounts = numbers::<2>();
    let [heavy, light] = accounts;
    let (mut fair_use, mut now_ms) = (FairUse::default(), 1_000);
    use_pool(&mut fair_use, &accounts, &[0.8, 0.1], 1_000, &mut now_ms);
    assert_eq!(fair_use.band_of(Some(heavy)), Band::ALL[1]);
    assert_eq!(fair_use.band_of(Some(light)), Band::FIRST);
    // Between the limits the band stays.
    use_pool(&mut fair_use, &accounts, &[0.5, 0.45], 30_000, &mut now_ms);
    assert_eq!(fair_use.band_of(Some(heavy)), Band::ALL[1]);
    use_pool(&mut fair_use, &accounts, &[0.45, 0.5], 30_000, &mut now_ms);
    assert_eq!(fair_use.band_of(Some(heavy)), Band::FIRST);
    use_pool(&mut fair_use, &accounts, &[0.5, 0.45], 30_000, &mut now_ms);
    assert_eq!(fair_use.band_of(Some(heavy)), Band::FIRST);
    let before = fair_use.state_of(heavy).expect("takes part").usage;
    use_pool(&mut fair_use, &accounts, &[0.0, 0.9], HALF_LIFE_MS, &mut now_ms);
    let after = fair_use.state_of(heavy).expect("takes part").usage;
    assert!((after / before - 0.5).abs() < 0.01, "{before} {after}");
    assert_ne!(fair_use.band_of(Some(light)), Band::FIRST);
    for _ in 0..3 {
        now_ms += 500;
        fair_use.review(false, &BTreeSet::new(), now_ms);
    }
    assert_eq!(fair_use.band_of(Some(light)), Band::FIRST);
}

/// Guards against a new leader that errs for long. In the worst case, what runs at the take-over is the opposite of
/// what ran before it. The error halves with each half-life, and the bands agree after one and a half.
#[test]
fn the_error_of_a_new_leader_halves_with_each_half_life() {
    let accounts = numbers::<2>();
    let (mut former, mut new, mut now_ms) = (FairUse::default(), FairUse::default(), 1_000);
    use_pool(&mut former, &accounts, &[1.0, 0.0], 60_000, &mut now_ms);
    let error = |former: &FairUse, new: &FairUse| {
        let share_of_usage = |fair_use: &FairUse| {
            let [a, b] = accounts.map(|a| fair_use.state_of(a).expect("takes part").usage);
            a / (a + b)
        };
        (share_of_usage(former) - share_of_usage(new)).abs()
    };
    let mut last = 1.0;
    let mut new_now_ms = now_ms;
    use_pool(&mut new, &accounts, &[0.0, 1.0], 50, &mut new_now_ms);
    use_pool(&mut former, &accounts, &[0.0, 1.0], 50, &mut now_ms);
    for half in 1..=6 {
        use_pool(&mut former, &accounts, &[0.0, 1.0], HALF_LIFE_MS / 2, &mut now_ms);
        use_pool(&mut new, &accounts, &[0.0, 1.0], HALF_LIFE_MS / 2, &mut new_now_ms);
        let now = error(&former, &new);
        assert!(now < last * 0.72, "{half}: {now} after {last}");
        last = now;
        let bands = [&former, &new].map(|f| accounts.map(|a| f.band_of(Some(a))));
        assert!(half < 3 || bands[0] == bands[1], "{half}: {bands:?}");
    }
}

/// A cell with the heavy account and the light ones.
fn cell(seed: u64) -> World {
    let mut world = World::new(seed, WORKERS, Resources::new(WORKER_MILLI, 10_000, 0, 0));
    for name in LIGHT.into_iter().chain([HEAVY]) {
        world.set_account(account(name, WEIGHT, 0));
    }
    world.run(600);
    world
}

/// Submits six wide jobs of the heavy account, each of which takes the whole cell for about four seconds.
fn submit_wide_jobs(world: &mut World) {
    for key in 1..=6 {
        world.submit_for(HEAVY, key, plan(&[step(60, 2_000, 1_000)]), queue("quick", 0));
    }
}

fn submit_small_job(world: &mut World, key: u64) {
    let name = LIGHT[key as usize % LIGHT.len()];
    world.submit_for(name, key, plan(&[step(2, 1_000, 500)]), queue("quick", 0));
}

/// Returns the time in ms from the acceptance of a job to its end; `None` if it has not been completed.
fn duration_ms(world: &World, key: u64) -> Option<u64> {
    let job = world.store.job(JobKey(key)).filter(|job| job.outcome == Outcome::Completed)?;
    Some(job.ended_ms - job.accepted_ms)
}

fn status_of(world: &mut World, name: &str) -> AccountStatus {
    let now = world.now();
    let accounts = world.current_instance().leader.status(now).accounts;
    accounts.into_iter().find(|account| account.name == name).expect("the account is known")
}

/// Load pattern: an account submits a few wide jobs, all within its share, which counts jobs. Guards against small jobs
/// of other accounts that wait until all of the wide ones are done.
///
/// A task of a light account waits for a shortage to be seen (0.2 s), for a review (0.5 s) and for one task of the heavy
/// account to end (1 s). Here a job has two tasks of 0.5 s that may be started again after a failure.
#[test]
fn small_jobs_of_light_accounts_do_not_wait_for_the_wide_jobs_of_a_heavy_one() {
    for seed in 1..=8 {
        let mut world = cell(2 * seed + 1);
        submit_wide_jobs(&mut world);
        world.run(2_000);
        for key in 100..124 {
            submit_small_job(&mut world, key);
            world.run(100);
        }
        world.run(4_000);
        let durations: Vec<Option<u64>> = (100..124).map(|key| duration_ms(&world, key)).collect();
        println!("seed {seed}: {durations:?}");
        let bound_ms = 3_000;
        assert!(durations.iter().all(|ms| ms.is_some_and(|ms| ms < bound_ms)), "{durations:?}");
        assert!(world.running_of(HEAVY).cpu.0 > 0, "the heavy account uses what is left");
        world.run(40_000);
        assert!((1..=6).all(|key| duration_ms(&world, key).is_some()), "seed {seed}");
    }
}

/// Guards against a wide task of a heavy account that waits for ever while lighter accounts send more than the cell
/// holds. It gets an advance reservation after four seconds, on a worker whose tasks take half a second.
#[test]
fn a_heavy_account_waits_for_a_bounded_time() {
    for seed in 1..=8 {
        let mut world = cell(2 * seed + 1);
        let wide = || plan(&[step(3, WORKER_MILLI as u32, 5_000)]);
        world.submit_for(HEAVY, 1, wide(), queue("quick", 0));
        world.run(3_000);
        let mut key = 100;
        let flood = |world: &mut World, key: &mut u64, for_ms: u64| {
            for _ in 0..for_ms / 20 {
                submit_small_job(world, *key);
                *key += 1;
                world.run(20);
            }
        };
        flood(&mut world, &mut key, 2_000);
        let whole_worker = plan(&[step(1, WORKER_MILLI as u32, 1_000)]);
        world.submit_for(HEAVY, 2, whole_worker, queue("quick", 0));
        let submitted_ms = world.now_ms;
        flood(&mut world, &mut key, 2_000);
        assert_ne!(status_of(&mut world, HEAVY).band, Band::FIRST.as_str(), "seed {seed}");
        while !world.requests.started.contains(&JobKey(2)) {
            flood(&mut world, &mut key, 20);
            let waited_ms = world.now_ms - submitted_ms;
            assert!(waited_ms < 5_000, "seed {seed}: {waited_ms} ms");
        }
        println!("seed {seed}: started after {} ms", world.now_ms - submitted_ms);
    }
}

/// Failure: the leader is lost in a full cell. Its successor has the same bands as soon as it knows the workers.
#[test]
fn a_new_leader_computes_the_bands_from_the_records() {
    let mut world = cell(5);
    submit_wide_jobs(&mut world);
    world.run(2_000);
    (100..110).for_each(|key| submit_small_job(&mut world, key));
    world.run(1_000);
    let before = status_of(&mut world, HEAVY);
    assert_ne!(before.band, Band::FIRST.as_str());
    world.current_instance().alive = false;
    world.take_over();
    (110..120).for_each(|key| submit_small_job(&mut world, key));
    world.run(1_000);
    let after = status_of(&mut world, HEAVY);
    assert_eq!((before.band, after.usage > 0.3), (after.band, true), "{after:?}");
    let misplaced = world.current_instance().leader.find_misplaced_step();
    assert_eq!(misplaced, None);
}

/// Failure: a link is cut, and the account whose runs are behind it seems to use nothing. They count until their leases
/// have expired. While the store is out, nothing is placed and usage is still integrated.
#[test]
fn runs_behind_a_cut_count_and_usage_is_integrated_during_an_outage_of_the_store() {
    let mut world = cell(9);
    let half = plan(&[step(2, WORKER_MILLI as u32, 60_000)]);
    world.submit_for(HEAVY, 1, half, queue("quick", 0));
    world.run(10_000);
    let before = status_of(&mut world, HEAVY);
    assert!((before.usage - 0.4).abs() < 0.1, "{before:?}");
    world.workers.iter_mut().for_each(|worker| worker.unreachable = true);
    world.store.down = true;
    world.run(1_000);
    let cut = status_of(&mut world, HEAVY);
    assert!(cut.usage > before.usage && cut.used[0] == 2 * WORKER_MILLI, "{cut:?}");
    world.run(20_000);
    assert!(status_of(&mut world, HEAVY).usage < before.usage, "expired runs still count");
}

/// Failure: an account is deleted while it has work, and its waiting steps keep the ranks of a band that no longer
/// exists.
#[test]
fn accounts_are_removed_and_added_while_they_have_work() {
    let mut world = cell(3);
    submit_wide_jobs(&mut world);
    world.run(1_500);
    (100..130).for_each(|key| submit_small_job(&mut world, key));
    world.run(1_000);
    let mut bands = Vec::new();
    for is_listed in [true, false, true] {
        if is_listed {
            world.set_account(account(HEAVY, WEIGHT, 0));
        } else {
            world.remove_account(HEAVY);
        }
        (130..140).for_each(|key| submit_small_job(&mut world, key + 10 * bands.len() as u64));
        world.run(1_200);
        assert_eq!(world.current_instance().leader.find_misplaced_step(), None);
        bands.push(status_of(&mut world, HEAVY).band != Band::FIRST.as_str());
    }
    assert_eq!(bands, [true, false, true]);
}

/// Guards against a part that is kept for an account that its cap holds back: the other one, which uses the rest, would
/// count as above its part. The simulated cell checks the cap at each start.
#[test]
fn an_account_that_its_cap_holds_back_leaves_its_part_to_others() {
    let mut world = cell(4);
    world.set_account(account(LIGHT[0], WEIGHT, WORKER_MILLI));
    world.run(600);
    for key in 1..=8 {
        let name = [LIGHT[0], HEAVY][key as usize % 2];
        world.submit_for(name, key, plan(&[step(60, 2_000, 1_000)]), queue("quick", 0));
    }
    world.run(6_000);
    let (capped, other) = (status_of(&mut world, LIGHT[0]), status_of(&mut world, HEAVY));
    assert!(other.used[0] >= 2 * WORKER_MILLI && capped.used[0] <= WORKER_MILLI);
    assert_eq!([capped.band, other.band], [Band::FIRST.as_str(); 2], "{capped:?} {other:?}");
    assert!(other.fair_part > 2.0 * capped.fair_part, "{capped:?} {other:?}");
}

/// Load pattern: 10,000 jobs of 180 accounts wait. Guards against reviews that move more than the steps of the accounts
/// whose band has changed.
#[test]
fn a_review_moves_only_the_steps_of_accounts_whose_band_changes() {
    const ACCOUNTS: u64 = 180;
    const JOBS: u64 = 10_000;
    let names: Vec<String> = (0..ACCOUNTS).map(|number| format!("account-{number:03}")).collect();
    let mut fixture = LeaderFixture::new(&["w-1", "w-2"]);
    let policy = |index: u64| account(&names[index as usize], 1_000.0, 0);
    fixture.handle(Event::Accounts((0..ACCOUNTS).map(policy).collect()));
    for key in 0..JOBS {
        let request = Request::Submit {
            job: JobKey(key),
            // The first job occupies the cell.
            plan: plan(&[step(2, 8_000, 600_000)]),
            queue: queue("quick", 0),
            account: Some(Box::new(policy(key % ACCOUNTS))),
        };
        let now = fixture.now();
        fixture.leader.handle(Event::Request { request_id: RequestId(key), request }, now);
        if key % 100 == 0 {
            fixture.handle(Event::LeadershipConfirmed { sent_ms: now.steady_ms });
        }
    }
    for _ in 0..100 {
        fixture.now_ms += 49;
        let sent_ms = fixture.now_ms;
        fixture.handle(Event::LeadershipConfirmed { sent_ms });
        fixture.poll_answered("w-1", &[], &[]);
        fixture.poll_answered("w-2", &[], &[]);
        fixture.handle(Event::Tick);
    }
    let status = fixture.leader.status(fixture.now());
    assert!(status.waiting_steps > 9_000, "{} steps wait", status.waiting_steps);
    let above: Vec<&AccountStatus> =
        status.accounts.iter().filter(|account| account.band != Band::FIRST.as_str()).collect();
    assert_eq!(above.len(), 1, "{above:?}");
    let moved = fixture.leader.work().steps_moved;
    println!("{moved} steps moved in {} ms", fixture.now_ms);
    assert!((1..=2 * JOBS / ACCOUNTS).contains(&moved), "{moved} steps moved");
    assert_eq!(fixture.leader.find_misplaced_step(), None);
}

/// Guards against a step that moves to a place that the scan has passed, and waits for the next scan.
#[test]
fn a_scan_reaches_a_step_that_moves_to_before_its_position() {
    let now = Now { steady_ms: 1_000, unix_ms: 1_000 };
    let rank = |number, band| {
        let step = StepName { job: JobKey(number), occurrence: 0, step: 0 };
        Rank { is_beyond_share: false, priority: 0, band, late_from_ms: number, step }
    };
    let (mut waiting, mut scan) = (WaitingSteps::default(), Scan::default());
    for number in 0..6 {
        let rank = rank(number, Band::ALL[1]);
        waiting.add(rank.step, StepKind::Plain, Resources::ZERO, 0, || rank);
    }
    scan.start(None, now);
    let mut reached = scan.next(&waiting, 3, now);
    let (former, new) = (rank(5, Band::ALL[1]), rank(5, Band::FIRST));
    waiting.set_rank(new);
    scan.record_move(&former, &new);
    while scan.is_active() {
        reached.extend(scan.next(&waiting, 3, now));
    }
    let jobs: Vec<u64> = reached.iter().map(|step| step.job.0).collect();
    assert_eq!(jobs, [0, 1, 2, 3, 4, 5]);
}

/// Guards against capacity that stays reserved against steps that come first by now, because its step has moved back.
#[test]
fn a_reservation_gets_the_new_rank_of_its_step() {
    let rank = |number, band| {
        let step = StepName { job: JobKey(number), occurrence: 0, step: 0 };
        Rank { is_beyond_share: false, priority: 0, band, late_from_ms: number, step }
    };
    let (worker, capacity) = (WorkerName::from("w-1"), Resources::new(4_000, 10, 0, 0));
    let mut reservations = Reservations::default();
    reservations.set(rank(1, Band::FIRST), vec![(worker.clone(), capacity)], 1_000);
    let other = rank(2, Band::FIRST);
    assert_eq!(reservations.reserved_before(&other, &worker), capacity);
    reservations.set_rank(rank(1, Band::ALL[1]));
    assert_eq!(reservations.reserved_before(&other, &worker), Resources::ZERO);
    assert_eq!(reservations.reserved_before(&rank(2, Band::ALL[2]), &worker), capacity);
}

/// Guards against a step that keeps its former rank in one of the sets that are ordered by rank: it would be examined
/// for ever after it has ended, or out of order. Accounts, load, caps and leaders change at random.
#[test]
fn ranks_agree_in_all_sets_after_random_changes() {
    let mut moved = 0;
    for seed in 1..=12 {
        let mut random = Random(seed * 7 + 1);
        let mut world = cell(2 * seed + 1);
        for key in 1..=150 {
            let name = [HEAVY, LIGHT[0], LIGHT[1], LIGHT[2]][random.below(4) as usize];
            match random.below(24) {
                0 => world.remove_account(HEAVY),
                1 if name == HEAVY => world.set_account(account(name, WEIGHT, 0)),
                1 => world.set_account(account(name, WEIGHT, random.below(3) * 6_000)),
                2 => world.take_over(),
                3 => world.store.down = !world.store.down,
                4 => {
                    let requester = Requester(Some(lilacpass_core::ids::AccountId::new(name)));
                    world.request(Request::Cancel(JobKey(random.below(key) + 1), requester));
                }
                _ => {
                    let advice =
                        v1::AdvicePolicy { base_ms: 30.0, per_worker_ms: 1.0, valid_ms: 2_500 };
                    let advice = random.percent(50).then_some(advice);
                    let policy = v1::QueuePolicy { advice, ..queue("any", random.below(2) as u32) };
                    let cpu_milli = [500, 2_000, 8_000][random.below(3) as usize];
                    let count = if name == HEAVY { 12 } else { 2 };
                    let gang = random.percent(10) && count == 2;
                    let steps = [v1::WorkStep { gang, ..step(count, cpu_milli, 700) }];
                    world.submit_for(name, key, plan(&steps), policy);
                }
            }
            for _ in 0..4 {
                world.run(random.below(50));
                let misplaced = world.current_instance().leader.find_misplaced_step();
                assert_eq!(misplaced, None, "seed {seed}, after event {key}");
            }
        }
        moved += world.instances.iter().map(|i| i.leader.work().steps_moved).sum::<u64>();
    }
    println!("{moved} steps moved");
    assert!(moved > 100, "{moved} steps moved");
}
