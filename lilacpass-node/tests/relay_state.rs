//! What the leader makes of its relays, under made-up time.

use std::rc::Rc;

use lilacpass_core::Verdict;
use lilacpass_jobs::WorkerName;
use lilacpass_node::{
    relay_messages,
    relay_selection::{Candidate, LeaderCapacity},
    relays::{RelayResult, Relays},
};
use lilacpass_platform::workers::PollOrder;
use tokio::sync::oneshot;

const MEANS: LeaderCapacity = LeaderCapacity { cpu_millis: 500, link: 0 };
const LOOK: PollOrder =
    PollOrder { lease_until_ms: None, forget_up_to: 0, wait_ms: 800, response_timeout_ms: 400 };
/// Time between reviews.
const REVIEW_MS: u64 = 200;

fn candidate(address: &'static str, data_centre: &'static str) -> Candidate<'static> {
    Candidate { address, data_centre, cpu_millis: 500 }
}

fn both() -> Vec<Candidate<'static>> {
    vec![candidate("a:1", "a"), candidate("b:1", "b")]
}

/// Relays of a busy leader, and its time.
struct Play {
    relays: Relays,
    now_ms: u64,
}

impl Play {
    /// A leader that gives 3,000 orders a second, with these instances beside it.
    fn new(candidates: fn() -> Vec<Candidate<'static>>) -> Self {
        let mut play = Self { relays: Relays::new(7, 0), now_ms: 0 };
        (0..5).for_each(|_| play.review(candidates()));
        play
    }

    fn review(&mut self, candidates: Vec<Candidate<'static>>) {
        (0..600).for_each(|_| self.relays.count_order(0));
        self.now_ms += REVIEW_MS;
        self.relays.review(MEANS, candidates, self.now_ms);
    }

    fn home(&mut self, worker: &str, data_centre: &str) -> Option<String> {
        let home = self.relays.relay_for(&WorkerName::from(worker), data_centre);
        home.map(|address| address.to_string())
    }

    fn look(&mut self, address: &str) -> (u64, oneshot::Receiver<RelayResult>) {
        let order = relay_messages::poll("w", "10.0.0.1:80", LOOK);
        self.relays.enqueue(&Rc::from(address), order).expect("a relay")
    }
}

fn lost(mut receiver: oneshot::Receiver<RelayResult>) -> Option<Verdict> {
    match receiver.try_recv() {
        Ok(RelayResult::Lost(verdict)) => Some(verdict),
        Ok(RelayResult::Outcome(_)) | Err(_) => None,
    }
}

#[test]
fn the_orders_to_a_worker_go_by_a_relay_of_its_data_centre() {
    let mut play = Play::new(both);
    assert_eq!(play.home("w-1", "a").as_deref(), Some("a:1"));
    assert_eq!(play.home("w-2", "b").as_deref(), Some("b:1"));
    assert!(play.home("w-3", "c").is_some(), "and by any where its own has none");
}

/// A relay is lost with looks at two hundred workers. Each of these seems to be silent for over a second, and gets no
/// work, though it is sound.
#[test]
fn what_a_lost_relay_had_is_lost_at_once_and_its_workers_go_by_others() {
    let mut play = Play::new(both);
    let (number, sent) = play.look("a:1");
    let (_, earlier) = play.look("a:1");
    assert_eq!(play.relays.take_batch("a:1").map(|orders| orders.len()), Some(2));
    let (_, unsent) = play.look("a:1");
    assert_eq!(play.home("w-1", "a").as_deref(), Some("a:1"));
    play.relays.fail("a:1", &[number], Verdict::NotRun, play.now_ms);
    assert_eq!(lost(sent), Some(Verdict::NotRun));
    assert_eq!(lost(earlier), Some(Verdict::MayHaveRun));
    assert_eq!(lost(unsent), Some(Verdict::NotRun));
    assert_eq!(play.home("w-1", "a").as_deref(), Some("b:1"));
    play.review(both());
    assert_eq!(play.home("w-1", "a").as_deref(), Some("b:1"), "it rests");
}

/// Orders are made twice with each planned stop of an instance, since what it had under way counts as lost.
#[test]
fn a_relay_that_leaves_may_still_tell_of_its_last_orders() {
    let mut play = Play::new(both);
    let (number, mut sent) = play.look("a:1");
    play.relays.take_batch("a:1").expect("an order");
    let (_, unsent) = play.look("a:1");
    play.review(vec![candidate("b:1", "b")]);
    assert_eq!(play.home("w-1", "a").as_deref(), Some("b:1"));
    assert_eq!(lost(unsent), Some(Verdict::NotRun));
    assert_eq!(play.relays.handle_outcomes(vec![relay_messages::order_outcome(number, Ok(()))]), 0);
    assert!(matches!(sent.try_recv(), Ok(RelayResult::Outcome(Ok(None)))));
    assert_eq!(
        play.relays.handle_outcomes(vec![relay_messages::order_outcome(number, Ok(()))]),
        1,
        "told twice"
    );
}

/// A relay takes all orders, and what it tells never arrives. Each look by way of it takes over a second, for good.
#[test]
fn a_relay_that_tells_nothing_rests_and_for_longer_each_time() {
    let mut play = Play::new(both);
    let mut rests_ms = Vec::new();
    for _ in 0..2 {
        for _ in 0..4 {
            let (number, _) = play.look("a:1");
            play.relays.record_timeout(number);
        }
        play.review(both());
        let began_ms = play.now_ms;
        assert_eq!(play.home("w-1", "a").as_deref(), Some("b:1"));
        while play.home("w-1", "a").as_deref() != Some("a:1") {
            play.review(both());
            assert!(play.now_ms < began_ms + 60_000, "it never comes back");
        }
        rests_ms.push(play.now_ms - began_ms);
    }
    assert!(rests_ms[1] > rests_ms[0], "{rests_ms:?}");
}

/// A relay is cut off from the workers, and each of them seems to be silent though the leader reaches it.
#[test]
fn a_relay_that_calls_sound_workers_silent_rests() {
    let mut play = Play::new(both);
    for number in 0..4 {
        let worker = WorkerName::from(format!("w-{number}").as_str());
        let home = play.relays.relay_for(&worker, "a").expect("a relay");
        play.relays.suspect_worker(&worker, &home);
        play.relays.record_direct_poll(&worker, true);
    }
    play.review(both());
    assert_eq!(play.home("w-1", "a").as_deref(), Some("b:1"));
}
