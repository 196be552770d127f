//! Each guard is needed: with it, the scenario overcommits no worker, and without it, it does.

mod common;

use std::time::Duration;

use common::{World, shard};
use lilacpass_core::{Resources, ids::InstanceId};
use lilacpass_hold::{Guards, HoldOptions, Mode, rank};

/// A worker with eight slots; each task takes one and runs for good.
fn world(options: HoldOptions) -> World {
    World::new(options, Resources::new(8_000, 64, 0, 8), 1)
}

/// Members that have settled, the holder of the one shard first, then the next in its ranking.
fn settled<const N: usize>(options: HoldOptions) -> (World, [usize; N]) {
    let mut world = world(options);
    let names = ranked();
    let members = std::array::from_fn(|n| world.spawn(&names[n], &names[n]));
    world.run(4_000);
    assert_eq!(world.givers(0), [(members[0], Mode::Lease)]);
    (world, members)
}

/// Names of members in the order in which they come to hold the shard.
fn ranked() -> Vec<String> {
    let names = ["entry-a", "entry-b", "entry-c"].map(InstanceId::new);
    rank::ranked(&shard(0), names.iter()).into_iter().map(ToString::to_string).collect()
}

/// Runs the scenario with all guards, and with one off.
fn is_needed(scenario: impl Fn(HoldOptions) -> World, off: impl Fn(&mut Guards)) {
    let mut options = HoldOptions::default();
    let world = scenario(options.clone());
    assert_eq!(world.overcommitted, None, "with all guards");
    assert!(!world.running[0].is_empty(), "nothing was started");
    off(&mut options.guards);
    let world = scenario(options);
    println!("without the guard: {:?}", world.overcommitted);
    assert!(world.overcommitted.is_some(), "the guard is not needed here");
}

fn has_limit(world: &World, process: usize) -> bool {
    world.limit(process, 0).is_some_and(|l| !l.resources.is_zero())
}

fn wait_for(world: &mut World, what: impl Fn(&World) -> bool) {
    assert!(world.run_until(10_000, what).is_some(), "did not happen: {}", world.describe());
}

// The holder's appends are stuck and its reads slow: it reads its last renewal back seconds after
// it sent it, when another member has claimed the shard.
#[test]
fn the_lease_counts_from_when_the_renewal_was_sent() {
    let scenario = |options| {
        let (mut world, [holder, claimant]) = settled(options);
        world.cut.insert((0, 1));
        world.processes[holder].read_delay_ms = 2_900;
        world.run(4_000);
        world.processes[holder].append_delay_ms = 1_000_000;
        world.processes[claimant].greedy = true;
        wait_for(&mut world, |w| !w.running[0].is_empty());
        world.processes[holder].greedy = true;
        world.run(2_000);
        world
    };
    is_needed(scenario, |g| g.lease_from_sent = false);
}

// The holder is cut off and goes on giving when its lease has run out, while another claims.
#[test]
fn the_lease_ends() {
    is_needed(cut_off_holder, |g| g.lease_ends = false);
}

// The same: past its lease the holder must keep to its half, not the whole.
#[test]
fn a_holder_past_its_lease_keeps_to_its_half() {
    is_needed(cut_off_holder, |g| g.escrow_half = false);
}

// The same: the claimant must leave the other half alone, which is not used yet.
#[test]
fn a_claimant_leaves_the_other_half_alone() {
    is_needed(cut_off_holder, |g| g.claimed_half = false);
}

fn cut_off_holder(options: HoldOptions) -> World {
    let (mut world, [holder, claimant]) = settled(options);
    world.cut_off(holder);
    wait_for(&mut world, |w| has_limit(w, claimant));
    world.all_greedy();
    world.run(500);
    world
}

// A claim is stuck on its way. Meanwhile the holder gets the log back, renews, and loses it again.
// The claim then lands, while the holder is within its lease.
#[test]
fn a_claim_is_void_after_a_renewal() {
    let scenario = |options| {
        let (mut world, [holder, claimant]) = settled(options);
        world.cut_off(holder);
        world.run(2_000);
        world.processes[claimant].append_delay_ms = 2_000;
        world.run(700);
        world.processes[holder].log_up = true;
        wait_for(&mut world, |w| w.givers(0).contains(&(holder, Mode::Lease)));
        world.processes[holder].log_up = false;
        world.run(1_200);
        world.all_greedy();
        world.run(600);
        world
    };
    is_needed(scenario, |g| g.claim_void_after_renew = false);
}

// A member joins and claims from a lone holder that was cut off just before and is within its
// lease.
#[test]
fn a_claim_waits_for_the_lapse() {
    let scenario = |options| {
        let (mut world, [holder]) = settled(options);
        world.spawn(&ranked()[1], "late");
        world.cut_off(holder);
        world.run(1_200);
        world.all_greedy();
        world.run(500);
        world
    };
    is_needed(scenario, |g| g.claim_after_lapse = false);
}

// The holder's clock is slow and the claimant's fast, each by a tenth; so the claimant sees the
// lease lapse while the holder still counts on it.
#[test]
fn waits_are_longer_by_the_drift() {
    let scenario = |options| {
        let lease = Duration::from_secs(10);
        let options = HoldOptions { lease, clock_drift_ppm: 100_000, ..options };
        let mut world = world(options);
        let [holder, claimant] = [0, 1].map(|n| world.spawn(&ranked()[n], &ranked()[n]));
        world.processes[holder].clock_ppm = -100_000;
        world.processes[claimant].clock_ppm = 100_000;
        world.run(4_000);
        world.cut_off(holder);
        world.processes[claimant].greedy = true;
        assert!(world.run_until(20_000, |w| !w.running[0].is_empty()).is_some());
        world.processes[holder].greedy = true;
        world.run(500);
        world
    };
    is_needed(scenario, |g| g.drift_margin = false);
}

// The holder has lost the log but hears its peer, which grants until it sees the lease lapsed, and
// then claims. The last grant is still in use.
#[test]
fn a_claimant_waits_for_its_own_grants() {
    let scenario = |options| {
        let (mut world, [holder, claimant]) = settled(options);
        world.processes[holder].log_up = false;
        wait_for(&mut world, |w| has_limit(w, claimant));
        world.all_greedy();
        world.run(300);
        world
    };
    is_needed(scenario, |g| g.grants_run_out = false);
}

// Two members have lost the log and grant to each other. A third joins, which the holder can't
// know, and claims.
#[test]
fn a_claimant_must_be_known_to_the_holder() {
    let scenario = |options| {
        let (mut world, [holder, peer]) = settled(options);
        world.processes[holder].log_up = false;
        world.processes[peer].log_up = false;
        world.spawn(&ranked()[2], "late");
        world.run(6_000);
        world.all_greedy();
        world.run(300);
        world
    };
    is_needed(scenario, |g| g.claimant_known = false);
}

// A holder and then its claimant are cut off one after the other, each with its half. A third
// member claims and takes a half too.
#[test]
fn a_second_unclean_claim_is_void() {
    let scenario = |options| {
        let (mut world, [holder, second, third]) = settled(options);
        world.cut_off(holder);
        wait_for(&mut world, |w| has_limit(w, second));
        world.cut_off(second);
        world.run(6_000);
        assert!(world.processes[third].alive);
        world.all_greedy();
        world.run(500);
        world
    };
    is_needed(scenario, |g| g.one_unclean = false);
}

// The holder starts as much as it may right before its lease ends. The starts are under way for
// half a second; a report that is taken before they arrive doesn't show them.
#[test]
fn an_unclean_claimant_waits_for_starts_under_way() {
    let scenario = |options| {
        let (mut world, [holder, claimant]) = settled(options);
        world.cut.insert((0, 1));
        world.run(2_000);
        world.cut_off(holder);
        wait_for(&mut world, |w| ends_within_ms(w, holder, 60));
        world.processes[holder].start_delay_ms = 480;
        world.all_greedy();
        assert!(!has_limit(&world, claimant));
        world.run(1_500);
        world
    };
    is_needed(scenario, |g| g.report_wait = false);
}

fn ends_within_ms(world: &World, process: usize, ms: u64) -> bool {
    let soon = world.local(process) + Duration::from_millis(ms);
    world.limit(process, 0).is_some_and(|l| l.valid_until < soon)
}

// The holder has filled the worker and leaves as planned. Its tasks go on; the next holder finds
// them in a report.
#[test]
fn a_holder_after_a_release_waits_for_a_report() {
    let scenario = |options| {
        let (mut world, [holder, next]) = settled(options);
        world.processes[holder].greedy = true;
        world.run(500);
        let now = world.local(holder);
        world.processes[holder].hold.leave(now);
        world.processes[next].greedy = true;
        world.run(2_000);
        world
    };
    is_needed(scenario, |g| g.report_after_release = false);
}

// A cut-off holder keeps its half idle. Its claimant fills the other half and leaves as planned.
// The next holder can't tell whose the tasks are that it finds.
#[test]
fn who_inherits_an_uncleared_shard_leaves_the_other_half_alone() {
    let scenario = |options| {
        let (mut world, [holder, claimant, next]) = settled(options);
        world.cut_off(holder);
        world.processes[holder].blind = true;
        world.processes[claimant].greedy = true;
        wait_for(&mut world, |w| w.running[0].len() == 4);
        let now = world.local(claimant);
        world.processes[claimant].hold.leave(now);
        wait_for(&mut world, |w| has_limit(w, next));
        world.all_greedy();
        world.run(500);
        world
    };
    is_needed(scenario, |g| g.inherited_total = false);
}

// The holder and one peer have lost the log and hear each other. The third member does not hear
// the holder, grants nothing and claims.
#[test]
fn grants_of_all_members_are_needed() {
    let scenario = |options| {
        let (mut world, [holder, claimant, peer]) = settled(options);
        world.cut_off(holder);
        world.cut.remove(&(holder.min(peer), holder.max(peer)));
        world.processes[peer].log_up = false;
        wait_for(&mut world, |w| has_limit(w, claimant));
        world.all_greedy();
        world.run(500);
        world
    };
    is_needed(scenario, |g| g.grants_from_all = false);
}

// The holder has lost the log; its peer is killed and comes back, knows nothing of what its
// predecessor did, loses the log too and grants. Another member joined in between and claims.
#[test]
fn a_grant_counts_for_its_incarnation_only() {
    let scenario = |options| {
        let (mut world, [holder, peer]) = settled(options);
        world.processes[holder].log_up = false;
        let claimant = world.spawn(&ranked()[2], "late");
        world.run(400);
        world.kill(peer);
        let again = world.spawn(&ranked()[1], &ranked()[1]);
        world.run(200);
        assert!(world.processes[again].hold.joined());
        world.processes[again].log_up = false;
        wait_for(&mut world, |w| has_limit(w, claimant));
        world.all_greedy();
        world.run(500);
        world
    };
    is_needed(scenario, |g| g.grant_incarnation = false);
}

// A claimant has its half when it loses the log as well. Now it hears the replaced holder again.
#[test]
fn a_replaced_holder_gets_no_grant() {
    let scenario = |options| {
        let (mut world, [holder, claimant]) = settled(options);
        world.cut_off(holder);
        wait_for(&mut world, |w| has_limit(w, claimant));
        world.processes[claimant].log_up = false;
        world.cut.clear();
        world.run(2_000);
        world.all_greedy();
        world.run(500);
        world
    };
    is_needed(scenario, |g| g.no_grant_to_replaced = false);
}

// A claim is stuck on its way when the claimant loses the log. It hears the holder again, which
// has lost the log too. Later the claim lands, and the claimant reads it.
#[test]
fn no_grant_is_given_while_a_claim_may_land() {
    let scenario = |options| {
        let (mut world, [holder, claimant]) = settled(options);
        world.cut_off(holder);
        world.processes[claimant].append_delay_ms = 2_000;
        world.run(3_000);
        world.processes[claimant].log_up = false;
        world.cut.clear();
        world.run(2_500);
        world.processes[claimant].log_up = true;
        world.processes[claimant].greedy = true;
        wait_for(&mut world, |w| !w.running[0].is_empty());
        world.processes[holder].greedy = true;
        world.run(300);
        world
    };
    is_needed(scenario, |g| g.no_grant_with_claim_out = false);
}

// A process was replaced elsewhere and does not know it: its reads are slow, and it goes on
// renewing. Then it dies. Its successor's appends are stuck and its reads slow too; it takes a
// renewal of its predecessor for its own with the same number, which it sent much later.
#[test]
fn a_record_counts_for_its_incarnation_only() {
    let scenario = |options| {
        let mut world = world(options);
        let old = world.spawn(&ranked()[0], "old");
        world.processes[old].list_leaving = true;
        world.run(1_000);
        world.processes[old].read_delay_ms = 60_000;
        world.run(3_000);
        world.processes[old].list_leaving = false;
        let holder = world.spawn(&ranked()[0], "new");
        let claimant = world.spawn(&ranked()[1], "other");
        world.run(4_000);
        assert_eq!(world.givers(0), [(holder, Mode::Lease)]);
        world.cut_off(holder);
        world.processes[holder].log_up = true;
        world.processes[holder].append_delay_ms = 1_000_000;
        world.processes[holder].read_delay_ms = 2_900;
        world.run(2_000);
        world.kill(old);
        world.run(3_900);
        assert!(has_limit(&world, claimant));
        world.all_greedy();
        world.run(500);
        world
    };
    is_needed(scenario, |g| g.record_incarnation = false);
}

// The holder starts as much as it may and leaves in the same moment. The starts are under way
// when the next holder takes its report.
#[test]
fn a_release_waits_for_starts_under_way() {
    let scenario = |options| {
        let (mut world, [holder, next]) = settled(options);
        world.processes[holder].start_delay_ms = 480;
        world.processes[holder].greedy = true;
        world.run(30);
        let now = world.local(holder);
        world.processes[holder].hold.leave(now);
        world.processes[next].greedy = true;
        world.run(2_000);
        world
    };
    is_needed(scenario, |g| g.release_after_flight = false);
}

// The holder leaves, and is asked for work until its release is read back.
#[test]
fn a_holder_that_hands_over_gives_nothing_more() {
    let scenario = |options| {
        let (mut world, [holder, next]) = settled(options);
        world.processes[holder].start_delay_ms = 480;
        let now = world.local(holder);
        world.processes[holder].hold.leave(now);
        world.run(400);
        world.all_greedy();
        world.run(2_000);
        assert!(has_limit(&world, next));
        world
    };
    is_needed(scenario, |g| g.stop_before_release = false);
}

// The holder starts as much as it may and is killed. It comes back at its old address, which proves
// its predecessor dead, and claims at once; the starts arrive after that.
#[test]
fn the_last_starts_of_a_dead_holder_are_waited_for() {
    let scenario = |options| {
        let (mut world, [holder, _]) = settled(options);
        world.processes[holder].start_delay_ms = 499;
        world.processes[holder].greedy = true;
        world.run(20);
        world.kill(holder);
        let again = world.spawn(&ranked()[0], &ranked()[0]);
        world.processes[again].greedy = true;
        world.run(2_000);
        world
    };
    is_needed(scenario, |g| g.last_acts_of_dead = false);
}

// A cut-off holder starts work from its half right before it gets the log back. It reads that it
// has lost the shard, and that its claimant has released it and left; so it claims again at once,
// and no longer knows of what it started.
#[test]
fn a_holder_that_gets_its_shard_back_waits_for_its_own_last_starts() {
    let scenario = |options| {
        let (mut world, [holder, claimant]) = settled(options);
        world.forgets = true;
        world.cut_off(holder);
        wait_for(&mut world, |w| has_limit(w, claimant));
        let now = world.local(claimant);
        world.processes[claimant].hold.leave(now);
        wait_for(&mut world, |w| w.processes[claimant].hold.left());
        world.processes[holder].start_delay_ms = 480;
        world.processes[holder].greedy = true;
        world.run(30);
        world.processes[holder].log_up = true;
        world.run(2_000);
        world
    };
    is_needed(scenario, |g| g.own_last_starts = false);
}

// Two members have lost the log, and one grants to the other, the holder. A third has joined since
// and may not claim as the first is known. The first gets the log back and leaves in that moment;
// its last grant is still in use.
#[test]
fn a_member_leaves_when_its_grants_have_run_out() {
    let scenario = |options| {
        let (mut world, [holder, peer]) = settled(options);
        world.processes[holder].log_up = false;
        world.processes[peer].log_up = false;
        let late = world.spawn(&ranked()[2], "late");
        world.cut.insert((holder, late));
        world.run(4_000);
        world.processes[peer].log_up = true;
        let now = world.local(peer);
        world.processes[peer].hold.leave(now);
        wait_for(&mut world, |w| has_limit(w, late));
        world.all_greedy();
        world.run(300);
        world
    };
    is_needed(scenario, |g| g.leave_after_grants = false);
}
