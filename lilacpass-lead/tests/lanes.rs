//! Who may call the advice service, and for whom.

use lilacpass_lead::{advice::Lanes, event::Lane};

const SLOW_MS: u64 = 500;
const QUICK_MS: u64 = 15;

fn nine() -> Lanes {
    let mut lanes = Lanes::default();
    lanes.set((0..9).map(|number| Lane(number.to_string())).collect());
    lanes
}

fn take_all(lanes: &mut Lanes, queue: &str, expected_ms: u64) -> Vec<Lane> {
    std::iter::from_fn(|| lanes.acquire(queue, expected_ms)).collect()
}

/// An accepted permit stands still for seven seconds at the end of the day, beside free workers. Sixty face
/// matches that find no room ask again and again, half a second each, and hold all lanes for slow calls.
#[test]
fn one_queue_never_holds_all_lanes_for_slow_calls() {
    let mut lanes = nine();
    let matches = take_all(&mut lanes, "match", SLOW_MS);
    assert_eq!(matches.len(), 4);
    assert_eq!(take_all(&mut lanes, "permit", SLOW_MS).len(), 2, "of six for slow calls");
    lanes.release(&matches[0]);
    assert!(lanes.acquire("match", SLOW_MS).is_some());
}

#[test]
fn slow_calls_leave_lanes_to_quick_ones_of_any_queue() {
    let mut lanes = nine();
    take_all(&mut lanes, "match", SLOW_MS);
    take_all(&mut lanes, "permit", SLOW_MS);
    assert_eq!(take_all(&mut lanes, "ping", QUICK_MS).len(), 3);
}

#[test]
fn a_single_lane_serves_all() {
    let mut lanes = Lanes::default();
    lanes.set(vec![Lane("only".to_owned())]);
    let lane = lanes.acquire("match", SLOW_MS).expect("a lane");
    assert!(lanes.acquire("permit", SLOW_MS).is_none());
    lanes.release(&lane);
    assert!(lanes.acquire("permit", SLOW_MS).is_some());
}
