//! Focused tests of single failures.

mod common;

use common::{World, shard};
use lilacpass_core::Resources;
use lilacpass_hold::{HoldOptions, Mode};
use lilacpass_schema::v1::holding_record::Body;

fn eight() -> Resources {
    Resources::new(8_000, 64, 1, 8)
}

/// Three members that have settled; the worker of shard 0 is held by the first index.
fn settled(shards: usize) -> (World, usize, [usize; 2]) {
    settled_with(HoldOptions::default(), shards)
}

fn settled_with(options: HoldOptions, shards: usize) -> (World, usize, [usize; 2]) {
    let mut world = World::new(options, eight(), shards);
    let names = ["entry-a", "entry-b", "entry-c"];
    names.iter().for_each(|name| {
        world.spawn(name, name);
    });
    let whole = |w: &World| (0..w.shards).all(|n| w.served_whole(n));
    let took = world.run_until(1_000, whole);
    assert!(took.is_some(), "not settled within a second");
    world.run(4_000);
    let holder = world.givers(0)[0].0;
    let others: Vec<_> = (0..3).filter(|p| *p != holder).collect();
    (world, holder, [others[0], others[1]])
}

fn serves(w: &World, process: usize) -> bool {
    w.limit(process, 0).is_some_and(|l| !l.resources.is_zero())
}

fn mode(w: &World, process: usize) -> Option<Mode> {
    w.limit(process, 0).map(|l| l.mode)
}

#[test]
fn three_members_that_start_together_settle_at_once_and_stay() {
    let (mut world, ..) = settled(6);
    let epochs =
        |w: &World| -> Vec<_> { (0..6).map(|n| w.processes[0].hold.epoch_of(&shard(n))).collect() };
    let before = epochs(&world);
    assert!(before.iter().all(|epoch| epoch.is_some_and(|e| e.0 == 1)));
    world.run(60_000);
    assert_eq!(epochs(&world), before);
    assert!((0..6).all(|n| world.served_whole(n)));
}

#[test]
fn a_member_that_comes_later_gets_its_shards_by_release() {
    let mut world = World::new(HoldOptions::default(), eight(), 12);
    world.spawn("entry-a", "a");
    assert!(world.run_until(1_000, |w| (0..12).all(|n| w.served_whole(n))).is_some());
    let late = world.spawn("entry-b", "b");
    world.processes.iter_mut().for_each(|p| p.greedy = true);
    world.run(10_000);
    assert!((0..12).all(|n| world.served_whole(n)));
    let held = world.processes[late].hold.held().count();
    assert!((2..=10).contains(&held), "{held} of 12 shards");
    assert_eq!(world.overcommitted, None);
}

// A shopkeeper's check waits while the entry instance that holds the worker is killed.
// Its lease lapses in the log, another member claims the shard, waits for a report of the
// worker and serves from its half. Once the list has dropped the dead one for longer than
// any pause, it is evicted and the whole worker serves again.
#[test]
fn a_killed_holder_is_replaced_within_five_seconds() {
    let (mut world, holder, others) = settled(1);
    world.kill(holder);
    let again = world.run_until(5_000, |w| others.iter().any(|p| serves(w, *p)));
    println!("served again after {again:?} ms");
    assert!(again.is_some());
    let whole = world.run_until(62_000, |w| w.served_whole(0));
    println!("whole again after {whole:?} ms");
    assert!(whole.is_some());
}

// A holder is paused for ten seconds, so its shard goes to another member. When it goes on, its
// first act is to start work, before it reads anything. The lease is checked against the clock,
// so it keeps to its half; then it reads of its loss, releases, and the claimant gets the whole.
#[test]
fn a_paused_holder_wakes_to_its_half_and_clears_the_claimant() {
    let (mut world, holder, others) = settled(1);
    world.pause(holder, 10_000);
    world.run(9_000);
    let claimant = others.into_iter().find(|p| serves(&world, *p)).expect("claimed");
    assert_eq!(mode(&world, claimant), Some(Mode::Claimed));
    assert!(!world.processes[claimant].hold.is_cleared(&shard(0)));
    world.processes.iter_mut().for_each(|p| p.greedy = true);
    let cleared = world.run_until(3_000, |w| w.served_whole(0));
    assert!(cleared.is_some());
    assert!(world.processes[claimant].hold.is_cleared(&shard(0)));
    assert_eq!(world.overcommitted, None);
}

// The log is down for a minute. Nobody can renew or claim; all members hear each other, so each
// holder goes on with its whole workers by grants, without a gap, and epochs stay as they were.
#[test]
fn a_log_outage_with_grants_changes_nothing() {
    let (mut world, holder, _) = settled(3);
    let before = world.processes[holder].hold.epoch_of(&shard(0));
    world.processes.iter_mut().for_each(|p| p.log_up = false);
    for _ in 0..600 {
        world.run(100);
        assert_eq!(world.limit(holder, 0).map(|l| l.resources), Some(eight()));
    }
    assert_eq!(mode(&world, holder), Some(Mode::Grants));
    world.processes.iter_mut().for_each(|p| p.log_up = true);
    world.run(3_000);
    assert_eq!(mode(&world, holder), Some(Mode::Lease));
    assert_eq!(world.processes[holder].hold.epoch_of(&shard(0)), before);
}

// A holder is cut off from the log and from its peers, but not from its workers. It keeps to its
// half; another member claims and takes the rest. Neither side fills the worker over.
#[test]
fn a_cut_off_holder_and_its_claimant_share_the_worker() {
    let (mut world, holder, others) = settled(1);
    world.processes[holder].log_up = false;
    others.iter().for_each(|p| {
        world.cut.insert((holder.min(*p), holder.max(*p)));
    });
    world.run(8_000);
    assert_eq!(mode(&world, holder), Some(Mode::Escrow));
    let claimant = others.into_iter().find(|p| serves(&world, *p)).expect("claimed");
    // The odd accelerator is the claimant's.
    assert_eq!(world.limit(holder, 0).unwrap().resources, Resources::new(4_000, 32, 0, 4));
    assert_eq!(world.limit(claimant, 0).unwrap().resources, Resources::new(4_000, 32, 1, 4));
    world.processes.iter_mut().for_each(|p| p.greedy = true);
    world.run(8_000);
    assert_eq!(world.running[0].len(), 8);
    assert_eq!(world.overcommitted, None);
}

// One member alone has the log: it works in full. Without the log it has nobody to grant, and
// keeps to its half, as another member might have joined meanwhile and claimed.
#[test]
fn a_lone_member_works_in_full_with_the_log_and_from_its_half_without() {
    let mut world = World::new(HoldOptions::default(), eight(), 1);
    let lone = world.spawn("entry-a", "a");
    assert!(world.run_until(1_000, |w| w.served_whole(0)).is_some());
    world.processes[lone].log_up = false;
    world.run(5_000);
    assert_eq!(mode(&world, lone), Some(Mode::Escrow));
    world.processes[lone].log_up = true;
    assert!(world.run_until(2_000, |w| w.served_whole(0)).is_some());
}

// An operator stops an entry instance. It gives nothing new, its shards are served again by
// others within a second and a half, and it is out of the roster before it exits.
#[test]
fn a_planned_leave_hands_over_at_once() {
    let (mut world, holder, _) = settled(3);
    let now = world.local(holder);
    world.processes[holder].hold.leave(now);
    assert_eq!(world.limit(holder, 0), None);
    let served = world.run_until(1_500, |w| (0..3).all(|n| w.served_whole(n)));
    println!("handed over after {served:?} ms");
    assert!(served.is_some());
    assert!(world.run_until(4_000, |w| w.processes[holder].hold.left()).is_some());
    assert!(
        world
            .processes
            .iter()
            .enumerate()
            .all(|(p, o)| p == holder || o.hold.roster().count() == 2)
    );
}

// A holder is killed and started again under the same name and address. The address proves the
// old process dead, so its shards are free at once; the new one is cleared without a lease's wait.
#[test]
fn a_restart_at_the_same_address_frees_the_shards_at_once() {
    let (mut world, holder, _) = settled(3);
    world.kill(holder);
    let name = world.processes[holder].name.clone();
    world.spawn(&name, &name);
    let served = world.run_until(2_500, |w| (0..3).all(|n| w.served_whole(n)));
    println!("whole again after {served:?} ms");
    assert!(served.is_some());
}

// The same with another address: the old process may still run, paused, on another machine. Its
// shards are claimed only after its lease and stay halved until it is surely gone.
#[test]
fn a_restart_at_another_address_is_not_taken_for_the_death_of_the_old_process() {
    let (mut world, holder, _) = settled(1);
    world.pause(holder, 20_000);
    world.processes[holder].listed = false;
    let name = world.processes[holder].name.clone();
    world.spawn(&name, "elsewhere");
    world.run(2_000);
    assert_eq!(world.givers(0).iter().filter(|(p, _)| *p != holder).count(), 0);
    world.run(6_000);
    assert!(!world.served_whole(0));
    world.processes.iter_mut().for_each(|p| p.greedy = true);
    world.run(20_000);
    assert!(world.processes[holder].hold.superseded());
    assert_eq!(world.limit(holder, 0), None);
    assert!(world.served_whole(0));
    assert_eq!(world.overcommitted, None);
}

// The same where the settings name an address that every machine has.
#[test]
fn a_restart_at_an_unspecified_address_proves_nothing() {
    let mut world = World::new(HoldOptions::default(), eight(), 1);
    let old = world.spawn("entry-a", "0.0.0.0:7000");
    world.run(2_000);
    world.processes[old].log_up = false;
    world.spawn("entry-a", "0.0.0.0:7000");
    world.run(6_000);
    world.all_greedy();
    world.run(1_000);
    assert_eq!(world.overcommitted, None);
    assert_eq!(world.running[0].len(), 8);
}

// All entry instances of a data centre lose power and come back under their names and addresses.
#[test]
fn a_restart_of_all_members_serves_again_within_seconds() {
    let (mut world, ..) = settled(3);
    (0..3).for_each(|p| world.kill(p));
    world.run(1_000);
    ["entry-a", "entry-b", "entry-c"].iter().for_each(|name| {
        world.spawn(name, name);
    });
    let served = world.run_until(3_000, |w| (0..3).all(|n| w.served_whole(n)));
    println!("whole again after {served:?} ms");
    assert!(served.is_some());
}

// Two members claim a dead member's shard in the same moment. The first in the log has it, the
// other's claim is void at every member.
#[test]
fn of_two_claims_in_a_race_the_first_in_the_log_counts() {
    let options = HoldOptions { stagger: std::time::Duration::ZERO, ..HoldOptions::default() };
    let (mut world, holder, others) = settled_with(options, 1);
    let claims =
        |w: &World| w.log.iter().filter(|r| matches!(r.body, Some(Body::Claim(_)))).count();
    let before = claims(&world);
    others.iter().for_each(|p| world.processes[*p].append_delay_ms = 200);
    world.kill(holder);
    world.run(5_000);
    assert_eq!(claims(&world) - before, 2);
    let holders: Vec<_> =
        others.iter().map(|p| world.processes[*p].hold.holder_of(&shard(0)).cloned()).collect();
    assert_eq!(holders[0], holders[1]);
    assert_eq!(others.iter().filter(|p| serves(&world, **p)).count(), 1);
}

// The answer to a claim is lost after the log has taken it. The claimant reads its claim back and
// serves; it appends no second claim.
#[test]
fn a_claim_whose_answer_is_lost_is_settled_by_reading() {
    let (mut world, holder, others) = settled(1);
    world.processes.iter_mut().for_each(|p| p.answers_lost = true);
    world.kill(holder);
    let served = world.run_until(5_000, |w| others.iter().any(|p| serves(w, *p)));
    assert!(served.is_some());
    world.run(10_000);
    assert_eq!(world.processes[others[0]].hold.epoch_of(&shard(0)).map(|e| e.0), Some(2));
}

// The platform counts starts in its own way. A holder that is cut off from the log for minutes is
// on the list all the time, under a number that the log does not know. It is not taken for dead.
#[test]
fn a_listed_member_is_alive_whatever_its_number() {
    let (mut world, holder, others) = settled(1);
    world.processes.iter_mut().for_each(|p| p.incarnation += 1_000);
    world.cut_off(holder);
    world.run(200_000);
    assert_eq!(mode(&world, holder), Some(Mode::Escrow));
    assert!(others.iter().all(|p| world.processes[*p].hold.roster().count() == 3));
    world.all_greedy();
    world.run(2_000);
    assert_eq!(world.overcommitted, None);
}
