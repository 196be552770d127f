//! What an instance remembers of the other instances.

use lilacpass_node::members::{self, KnownMembers, Largest, Members, Peer};

fn peer(last_heartbeat_ms: u64) -> Peer {
    Peer {
        last_heartbeat_ms,
        leaving: false,
        store_reachable: true,
        store_response_ms: 0,
        cpu_millis: 250,
        data_centre: String::new(),
    }
}

fn addresses(list: &[&str]) -> Vec<String> {
    list.iter().map(|&address| address.to_owned()).collect()
}

#[test]
fn the_revision_changes_when_an_instance_comes_or_goes() {
    let mut members = Members::default();
    members.record_heartbeat("a:1", peer(1_000));
    let with_one = members.revision();
    members.record_heartbeat("a:1", peer(2_000));
    assert_eq!(members.revision(), with_one, "a heartbeat of a known instance changes nothing");
    members.record_heartbeat("b:1", peer(40_000));
    let with_two = members.revision();
    assert_ne!(with_two, with_one);
    members.remove_expired(50_000);
    assert_ne!(members.revision(), with_two);
    assert_eq!(members.addresses(), addresses(&["b:1"]));
}

/// Guards against an instance that knows no peers to ask for a new leader when neither the leader nor the store
/// responds: it had treated a response without the list as an empty list.
#[test]
fn an_omitted_list_keeps_the_known_one() {
    let mut known = KnownMembers::default();
    known.update(7, addresses(&["a:1", "b:1"]));
    known.update(7, Vec::new());
    assert_eq!(known.addresses, addresses(&["a:1", "b:1"]));
    known.update(8, addresses(&["b:1"]));
    assert_eq!(known.addresses, addresses(&["b:1"]));
    known.update(0, addresses(&["c:1"]));
    assert_eq!(
        known.addresses,
        addresses(&["c:1"]),
        "a leader without revisions always sends the list"
    );
}

/// Guards against a leader that is busy with the heartbeats of a thousand instances, five a second from each, and against
/// rarer heartbeats in a small cell, where each instance has to notice a failure by itself.
#[test]
fn heartbeats_get_rarer_in_a_large_cell() {
    assert_eq!(members::heartbeat_interval_ms(7), 200);
    assert_eq!(members::heartbeat_interval_ms(147), 200);
    for instances in [300, 584, 1_000, 1_400] {
        let interval_ms = members::heartbeat_interval_ms(instances);
        let per_second = instances as u64 * 1_000 / interval_ms;
        assert!(per_second <= 1_510, "{per_second} a second from {instances} instances");
    }
    assert_eq!(members::heartbeat_interval_ms(20_000), 1_000);
}

/// Guards against going through all instances for each heartbeat of each of them.
#[test]
fn the_largest_instances_are_determined_five_times_a_second() {
    let mut members = Members::default();
    members.record_heartbeat("a:1", Peer { cpu_millis: 1_000, ..peer(1_000) });
    members.record_heartbeat("b:1", Peer { cpu_millis: 1_000, ..peer(1_000) });
    members.record_heartbeat("c:1", peer(1_000));
    members
        .record_heartbeat("d:1", Peer { cpu_millis: 2_000, store_reachable: false, ..peer(1_000) });
    let largest = Largest { cpu_millis: 1_000, count: 2 };
    assert_eq!(members.largest(1_000), largest, "without the one that does not reach the store");
    members.record_heartbeat("e:1", Peer { cpu_millis: 3_000, ..peer(1_000) });
    assert_eq!(members.largest(1_199), largest);
    assert_eq!(members.largest(1_200), Largest { cpu_millis: 3_000, count: 1 });
}

/// Guards against calls through instances that are cut off: they count as present for some heartbeats more.
#[test]
fn an_instance_whose_heartbeat_is_overdue_is_not_used_for_calls() {
    let mut members = Members::default();
    members.record_heartbeat("a:1", peer(1_000));
    members.record_heartbeat("b:1", peer(1_400));
    let reachable =
        |now_ms| members.reachable(now_ms).map(|(address, _)| address).collect::<Vec<_>>();
    assert_eq!(reachable(1_499), ["a:1", "b:1"]);
    assert_eq!(reachable(1_500), ["b:1"]);
    assert_eq!(members.present(1_500).count(), 2);
}

/// Guards against a leader that leads on although the store is silent for it alone.
#[test]
fn responses_of_the_store_to_others_are_counted() {
    let mut members = Members::default();
    for (address, store_response_ms) in [("a:1", 1_300), ("b:1", 900), ("c:1", 1_250)] {
        members.record_heartbeat(address, Peer { store_response_ms, ..peer(1_400) });
    }
    assert_eq!(members.count_store_responses(1_200, 1_450), 2);
    assert_eq!(members.count_store_responses(1_300, 1_450), 0);
}
