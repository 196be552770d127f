//! What an instance remembers of the other instances.

use lilacpass_node::members::{KnownMembers, Members, Peer};

fn peer(last_heartbeat_ms: u64) -> Peer {
    Peer {
        last_heartbeat_ms,
        leaving: false,
        store_reachable: true,
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
