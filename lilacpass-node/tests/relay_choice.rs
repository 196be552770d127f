//! Selection of relays by load.

use lilacpass_node::relay_choice::{self, Candidate, LeaderCapacity, Load};

/// Half a core, and 200 Mbit/s.
const LARGE: LeaderCapacity = LeaderCapacity { cpu_millis: 500, link: 25_000_000 };
/// An eighth of a core, and 2 Mbit/s.
const THIN: LeaderCapacity = LeaderCapacity { cpu_millis: 120, link: 250_000 };

fn candidate(
    address: &'static str,
    data_centre: &'static str,
    cpu_millis: u32,
) -> Candidate<'static> {
    Candidate { address, data_centre, cpu_millis }
}

fn candidates() -> Vec<Candidate<'static>> {
    vec![
        candidate("a:1", "a", 120),
        candidate("a:2", "a", 500),
        candidate("b:1", "b", 500),
        candidate("b:2", "b", 500),
        candidate("c:1", "c", 120),
    ]
}

fn choose(orders: f64, bytes: f64, capacity: LeaderCapacity, in_use: &[&str]) -> Vec<&'static str> {
    let in_use: Vec<String> = in_use.iter().map(|&address| address.to_owned()).collect();
    let chosen = relay_choice::choose(Load { orders, bytes }, capacity, &in_use, candidates());
    chosen.into_iter().map(|candidate| candidate.address).collect()
}

/// Guards against delaying each start of a small cell for no benefit.
#[test]
fn a_lightly_loaded_leader_uses_no_relay() {
    assert!(choose(300.0, 120_000.0, LARGE, &[]).is_empty());
}

/// Guards against a leader of a thousand workers whose CPU is saturated with calls, so that all its decisions wait
/// behind them.
#[test]
fn a_leader_short_of_cpu_uses_the_largest_instance_of_each_data_centre() {
    assert_eq!(choose(3_000.0, 1_500_000.0, LARGE, &[]), ["a:2", "b:1", "c:1"]);
}

/// Guards against a leader whose thin link is filled by the payloads of jobs, one per start.
#[test]
fn a_leader_with_a_full_link_uses_relays() {
    assert!(!choose(200.0, 200_000.0, THIN, &[]).is_empty());
    assert!(choose(200.0, 200_000.0, LeaderCapacity { link: 0, ..LARGE }, &[]).is_empty());
}

#[test]
fn more_load_takes_more_relays() {
    assert_eq!(choose(9_000.0, 4_000_000.0, LARGE, &[]).len(), 5);
}

/// Guards against replacing relays again and again, which delays the orders to their workers each time.
#[test]
fn present_relays_are_kept() {
    let mut chosen = choose(2_000.0, 1_000_000.0, LARGE, &["a:1", "b:2", "c:1"]);
    chosen.sort_unstable();
    assert_eq!(chosen, ["a:1", "b:2", "c:1"]);
    let utilisation = |orders| relay_choice::utilisation(Load { orders, bytes: 0.0 }, LARGE);
    let between_thresholds = 1_300.0;
    assert!(
        (0.1..0.2).contains(&utilisation(between_thresholds)),
        "{}",
        utilisation(between_thresholds)
    );
    assert!(choose(between_thresholds, 0.0, LARGE, &[]).is_empty());
    assert!(!choose(between_thresholds, 0.0, LARGE, &["a:2"]).is_empty());
}
