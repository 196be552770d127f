//! Tests how lanes for calls to the advice service are shared between queues.

use lilacpass_jobs::{JobKey, StepName};
use lilacpass_lead::{advice::Lanes, advice_hedge::AdviceHedge, event::Lane};

const SLOW_MS: u64 = 500;
const QUICK_MS: u64 = 15;

fn nine_lanes() -> Lanes {
    let mut lanes = Lanes::default();
    lanes.set((0..9).map(|number| Lane(number.to_string())).collect(), 0);
    lanes
}

/// Acquires all lanes that a queue may use while another one wants some.
fn acquire_all(lanes: &mut Lanes, queue: &str, expected_ms: u64) -> Vec<Lane> {
    std::iter::from_fn(|| lanes.acquire(queue, expected_ms, true)).collect()
}

/// Failure: an accepted job did not start for seven seconds although workers were free. Sixty steps of another queue
/// that found no free capacity requested advice again and again, half a second each, and held all lanes for slow calls.
#[test]
fn one_queue_never_holds_all_lanes_for_slow_calls() {
    let mut lanes = nine_lanes();
    let matches = acquire_all(&mut lanes, "match", SLOW_MS);
    assert_eq!(matches.len(), 4);
    assert_eq!(
        acquire_all(&mut lanes, "permit", SLOW_MS).len(),
        2,
        "the queue gets the rest of the six lanes for slow calls"
    );
    lanes.release(&matches[0]);
    assert!(lanes.acquire("match", SLOW_MS, true).is_some());
}

#[test]
fn slow_calls_leave_lanes_for_quick_calls_of_any_queue() {
    let mut lanes = nine_lanes();
    acquire_all(&mut lanes, "match", SLOW_MS);
    acquire_all(&mut lanes, "permit", SLOW_MS);
    assert_eq!(acquire_all(&mut lanes, "ping", QUICK_MS).len(), 3);
}

#[test]
fn a_single_lane_serves_all_queues() {
    let mut lanes = Lanes::default();
    lanes.set(vec![Lane("only".to_owned())], 0);
    let lane = lanes.acquire("match", SLOW_MS, true).expect("a lane");
    assert!(lanes.acquire("permit", SLOW_MS, true).is_none());
    lanes.release(&lane);
    assert!(lanes.acquire("permit", SLOW_MS, true).is_some());
}

fn names(lanes: &Lanes) -> Vec<Lane> {
    (0..lanes.len()).map(|number| Lane(number.to_string())).collect()
}

/// Failure: nearly two hundred steps waited for half of the lanes while the other half stood idle and a third of the
/// cell was free. No other queue wanted a slow call, and quick calls held three lanes.
#[test]
fn slow_calls_use_the_lanes_that_nobody_else_wants() {
    let mut lanes = Lanes::default();
    lanes.set((0..34).map(|number| Lane(number.to_string())).collect(), 0);
    let slow = |lanes: &mut Lanes| {
        let held: Vec<Lane> =
            std::iter::from_fn(|| lanes.acquire("audit", SLOW_MS, false)).collect();
        held.iter().for_each(|lane| lanes.release(lane));
        held.len()
    };
    assert_eq!(slow(&mut lanes), 23, "a third is reserved until the use of quick calls is known");
    for now_ms in [1_000, 5_000, 9_000] {
        lanes.set(names(&lanes), now_ms);
        let quick = [(); 3].map(|()| lanes.acquire("check", QUICK_MS, true).expect("a lane"));
        quick.iter().for_each(|lane| lanes.release(lane));
    }
    assert_eq!(slow(&mut lanes), 29, "five lanes are left, for half as many again as three");
    assert_eq!(acquire_all(&mut lanes, "audit", SLOW_MS).len(), 19, "others want lanes");
}

/// A burst of quick calls gets its lanes back: what they hold counts at once.
#[test]
fn lanes_for_quick_calls_grow_with_their_use() {
    let mut lanes = Lanes::default();
    lanes.set((0..30).map(|number| Lane(number.to_string())).collect(), 0);
    for now_ms in [4_000, 8_000, 12_000] {
        lanes.set(names(&lanes), now_ms);
    }
    assert_eq!(acquire_all(&mut lanes, "check", QUICK_MS).len(), 30);
    (0..30).for_each(|number| lanes.release(&Lane(number.to_string())));
    let slow = std::iter::from_fn(|| lanes.acquire("audit", SLOW_MS, false)).count();
    assert_eq!(slow, 20, "at most a third is reserved");
}

/// Guards against calls that all go through the instances of one data centre. When it was cut off, quick jobs of the
/// whole cell waited for the timeouts of their calls.
#[test]
fn idle_lanes_of_all_data_centres_are_used() {
    let mut lanes = Lanes::default();
    let address = |number: u32| Lane(format!("10.{}.0.{}:7040", number / 20, number % 20));
    lanes.set((0..100).map(address).collect(), 0);
    let used: Vec<Lane> =
        (0..25).map(|_| lanes.acquire("check", QUICK_MS, false).expect("a lane")).collect();
    for data_centre in 0..5 {
        let prefix = format!("10.{data_centre}.");
        let count = used.iter().filter(|lane| lane.0.starts_with(&prefix)).count();
        assert!((1..=12).contains(&count), "{count} of 25 in one of five data centres");
    }
}

/// Guards against jobs that wait for the timeout of a call through an instance that is cut off. A call takes 40 ms, and
/// its timeout is a second.
#[test]
fn an_overdue_call_is_repeated_once() {
    let mut hedge = AdviceHedge::default();
    let step = StepName { job: JobKey(1), occurrence: 0, step: 0 };
    let lanes = [Lane("a".to_owned()), Lane("b".to_owned())];
    hedge.record_call(&lanes[0], step, 40, 1_000);
    assert!(hedge.take_overdue(1_189).is_empty());
    assert_eq!(hedge.take_overdue(1_190), [step]);
    hedge.record_call(&lanes[1], step, 40, 1_190);
    assert!(hedge.take_overdue(5_000).is_empty(), "neither of the two is repeated again");
    assert!(!hedge.record_end(&lanes[1]), "the second call stands for the step");
    assert!(hedge.record_end(&lanes[0]), "the first one was given up");
}

/// Guards against doubling the load of an advice service that is slow for all.
#[test]
fn few_of_many_overdue_calls_are_repeated() {
    let mut hedge = AdviceHedge::default();
    let mut repeated = 0;
    for second in 0..10 {
        for number in 0..100_u64 {
            let step = StepName { job: JobKey(second * 100 + number), occurrence: 0, step: 0 };
            hedge.record_call(&Lane(format!("{second} {number}")), step, 40, second * 1_000);
        }
        repeated += hedge.take_overdue(second * 1_000 + 900).len();
    }
    assert!(repeated <= 120, "{repeated} of 1,000 calls");
}
