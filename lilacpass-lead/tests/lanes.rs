//! Tests how lanes for calls to the advice service are shared between queues.

use lilacpass_lead::{advice::Lanes, event::Lane};

const SLOW_MS: u64 = 500;
const QUICK_MS: u64 = 15;

fn nine_lanes() -> Lanes {
    let mut lanes = Lanes::default();
    lanes.set((0..9).map(|number| Lane(number.to_string())).collect());
    lanes
}

fn acquire_all(lanes: &mut Lanes, queue: &str, expected_ms: u64) -> Vec<Lane> {
    std::iter::from_fn(|| lanes.acquire(queue, expected_ms)).collect()
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
    assert!(lanes.acquire("match", SLOW_MS).is_some());
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
    lanes.set(vec![Lane("only".to_owned())]);
    let lane = lanes.acquire("match", SLOW_MS).expect("a lane");
    assert!(lanes.acquire("permit", SLOW_MS).is_none());
    lanes.release(&lane);
    assert!(lanes.acquire("permit", SLOW_MS).is_some());
}
