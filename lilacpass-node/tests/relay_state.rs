//! The leader's handling of its relays, under simulated time.

use std::rc::Rc;

use lilacpass_core::Verdict;
use lilacpass_jobs::WorkerName;
use lilacpass_node::{
    relay_choice::{Candidate, LeaderCapacity},
    relay_messages::{self, Recipient},
    relays::{RelayResult, Relays},
};
use lilacpass_platform::workers::PollOrder;
use tokio::sync::oneshot;

const CAPACITY: LeaderCapacity = LeaderCapacity { cpu_millis: 500, link: 0 };
const POLL: PollOrder =
    PollOrder { lease_until_ms: None, forget_up_to: 0, wait_ms: 800, response_timeout_ms: 400 };
const RECIPIENT: Recipient<'_> =
    Recipient { id: "w", started_ms: None, address: "10.0.0.1:80", fence_step: 0 };
/// Interval between reviews, in milliseconds.
const REVIEW_MS: u64 = 200;

fn candidate(address: &'static str, data_centre: &'static str) -> Candidate<'static> {
    Candidate { address, data_centre, cpu_millis: 500 }
}

fn both_candidates() -> Vec<Candidate<'static>> {
    vec![candidate("a:1", "a"), candidate("b:1", "b")]
}

/// Relays of a busy leader, and simulated time.
struct Simulation {
    relays: Relays,
    now_ms: u64,
}

impl Simulation {
    /// A leader that sends 3,000 orders a second, with the given instances as candidates.
    fn new(candidates: fn() -> Vec<Candidate<'static>>) -> Self {
        let mut sim = Self { relays: Relays::new(7, 0), now_ms: 0 };
        (0..5).for_each(|_| sim.review(candidates()));
        sim
    }

    fn review(&mut self, candidates: Vec<Candidate<'static>>) {
        (0..600).for_each(|_| self.relays.count_order(0));
        self.now_ms += REVIEW_MS;
        self.relays.review(CAPACITY, candidates, self.now_ms);
    }

    fn relay_for(&mut self, worker: &str, data_centre: &str) -> Option<String> {
        let relay = self.relays.relay_for(worker, data_centre);
        relay.map(|address| address.to_string())
    }

    fn enqueue_poll(&mut self, address: &str) -> (u64, oneshot::Receiver<RelayResult>) {
        let order = relay_messages::poll(RECIPIENT, POLL);
        self.relays.enqueue(&Rc::from(address), order).expect("a relay")
    }
}

fn lost_verdict(mut receiver: oneshot::Receiver<RelayResult>) -> Option<Verdict> {
    match receiver.try_recv() {
        Ok(RelayResult::NoOutcome(verdict)) => Some(verdict),
        Ok(RelayResult::Outcome(_)) | Err(_) => None,
    }
}

#[test]
fn orders_use_a_relay_in_the_data_centre_of_the_worker() {
    let mut sim = Simulation::new(both_candidates);
    assert_eq!(sim.relay_for("w-1", "a").as_deref(), Some("a:1"));
    assert_eq!(sim.relay_for("w-2", "b").as_deref(), Some("b:1"));
    assert!(sim.relay_for("w-3", "c").is_some(), "any relay is used if the data centre has none");
}

/// Guards against idle workers after the failure of a relay that holds polls for two hundred of them. Each of them
/// seems unresponsive for over a second, and gets no work, although it is healthy.
#[test]
fn a_failed_relay_loses_its_orders_at_once_and_its_workers_move() {
    let mut sim = Simulation::new(both_candidates);
    let (number, rejected) = sim.enqueue_poll("a:1");
    let (_, accepted) = sim.enqueue_poll("a:1");
    assert_eq!(sim.relays.take_batch("a:1").map(|orders| orders.len()), Some(2));
    let (_, unsent) = sim.enqueue_poll("a:1");
    assert_eq!(sim.relay_for("w-1", "a").as_deref(), Some("a:1"));
    sim.relays.fail("a:1", &[number], Verdict::NotRun, sim.now_ms);
    assert_eq!(lost_verdict(rejected), Some(Verdict::NotRun));
    assert_eq!(lost_verdict(accepted), Some(Verdict::MayHaveRun));
    assert_eq!(lost_verdict(unsent), Some(Verdict::NotRun));
    assert_eq!(sim.relay_for("w-1", "a").as_deref(), Some("b:1"));
    sim.review(both_candidates());
    assert_eq!(
        sim.relay_for("w-1", "a").as_deref(),
        Some("b:1"),
        "the failed relay is on cooldown"
    );
}

/// Guards against sending orders twice at each planned stop of an instance, because its orders in progress count as
/// lost.
#[test]
fn a_retired_relay_may_still_report_its_last_orders() {
    let mut sim = Simulation::new(both_candidates);
    let (number, mut sent) = sim.enqueue_poll("a:1");
    sim.relays.take_batch("a:1").expect("an order");
    let (_, unsent) = sim.enqueue_poll("a:1");
    sim.review(vec![candidate("b:1", "b")]);
    assert_eq!(sim.relay_for("w-1", "a").as_deref(), Some("b:1"));
    assert_eq!(lost_verdict(unsent), Some(Verdict::NotRun));
    assert_eq!(sim.relays.handle_outcomes(vec![relay_messages::order_outcome(number, Ok(()))]), 0);
    assert!(matches!(sent.try_recv(), Ok(RelayResult::Outcome(Ok(None)))));
    assert_eq!(
        sim.relays.handle_outcomes(vec![relay_messages::order_outcome(number, Ok(()))]),
        1,
        "a repeated outcome is not awaited"
    );
}

/// Guards against a relay that accepts all orders but whose outcomes never arrive, so that each poll through it takes
/// over a second, again and again.
#[test]
fn a_relay_without_outcomes_gets_growing_cooldowns() {
    let mut sim = Simulation::new(both_candidates);
    let mut cooldowns_ms = Vec::new();
    for _ in 0..2 {
        for _ in 0..4 {
            let (number, _) = sim.enqueue_poll("a:1");
            sim.relays.record_timeout(number);
        }
        sim.review(both_candidates());
        let began_ms = sim.now_ms;
        assert_eq!(sim.relay_for("w-1", "a").as_deref(), Some("b:1"));
        while sim.relay_for("w-1", "a").as_deref() != Some("a:1") {
            sim.review(both_candidates());
            assert!(sim.now_ms < began_ms + 60_000, "the relay is never used again");
        }
        cooldowns_ms.push(sim.now_ms - began_ms);
    }
    assert!(cooldowns_ms[1] > cooldowns_ms[0], "{cooldowns_ms:?}");
}

/// Guards against a relay that is cut off from the workers, so that each of them seems unresponsive although the leader
/// reaches it.
#[test]
fn a_relay_that_misreports_workers_gets_a_cooldown() {
    let mut sim = Simulation::new(both_candidates);
    for number in 0..4 {
        let worker = WorkerName::from(format!("w-{number}").as_str());
        let relay = sim.relays.relay_for(worker.id(), "a").expect("a relay");
        sim.relays.suspect_worker(&worker, &relay, sim.now_ms);
        sim.relays.record_poll(&worker, None, true, sim.now_ms);
    }
    sim.review(both_candidates());
    assert_eq!(sim.relay_for("w-1", "a").as_deref(), Some("b:1"));
}

/// Guards against pausing the relays after a data centre that was cut off is back. Each had reported its workers as
/// unresponsive, rightly, and these respond through another one now.
#[test]
fn a_report_is_not_wrong_because_the_worker_is_back_later() {
    let mut sim = Simulation::new(both_candidates);
    for number in 0..4 {
        let worker = WorkerName::from(format!("w-{number}").as_str());
        let relay = sim.relays.relay_for(worker.id(), "a").expect("a relay");
        sim.relays.suspect_worker(&worker, &relay, sim.now_ms);
        sim.relays.record_poll(&worker, Some("b:1"), true, sim.now_ms + 6_400);
    }
    sim.review(both_candidates());
    assert_eq!(sim.relay_for("w-1", "a").as_deref(), Some("a:1"));
}

/// Guards against polling the workers of a lost relay directly. It holds the polls of hundreds of workers, and the
/// leader opened as many connections at once.
#[test]
fn another_relay_takes_the_place_of_one_that_is_lost() {
    let sim = Simulation::new(both_candidates);
    assert_eq!(sim.relays.any_relay_but("a:1", "w-1").as_deref(), Some("b:1"));
    let other = sim.relays.other_relay_for("w-1", "a", 1);
    assert_eq!(other.as_deref(), Some("b:1"), "also for a worker that the relay cannot reach");
}
