//! What shows that a former leader has stopped.

use lilacpass_lead::{Event, Now};
use lilacpass_node::former_leader::FormerLeader;
use lilacpass_schema::v1;

const NOW: Now = Now { steady_ms: 50_000, unix_ms: 1_800_000_000_000 };
/// Epoch of the leader that asks, and of the one before it.
const EPOCH: u64 = 9;
const FORMER_EPOCH: u64 = 5;

fn record() -> v1::LeadRecord {
    v1::LeadRecord {
        epoch: FORMER_EPOCH,
        instance: "front-1".to_owned(),
        address: "10.0.0.1:7720".to_owned(),
        earlier_leases_ms: Some(400),
        ..Default::default()
    }
}

fn heartbeat() -> v1::PeerHello {
    v1::PeerHello {
        instance: "front-1".to_owned(),
        address: "10.0.0.1:7720".to_owned(),
        followed_epoch: EPOCH,
        ..Default::default()
    }
}

#[test]
fn a_heartbeat_of_its_instance_shows_that_a_former_leader_has_stopped() {
    let former = FormerLeader::new(&record(), Some(FORMER_EPOCH), NOW).expect("a former leader");
    assert!(former.has_stopped(&heartbeat(), EPOCH));
    let expected =
        Event::FormerLeaderStopped { stopped_ms: 49_000, earlier_leases_expire_by_ms: 50_400 };
    assert_eq!(former.stopped(49_000), expected);
}

/// Guards against a former leader that is taken for stopped although it goes on to extend leases: a late heartbeat from
/// before it led, and one of an instance that has replaced it at another address, prove nothing.
#[test]
fn heartbeats_that_do_not_show_that_a_former_leader_has_stopped() {
    let former = FormerLeader::new(&record(), Some(FORMER_EPOCH), NOW).expect("a former leader");
    let late = v1::PeerHello { followed_epoch: FORMER_EPOCH - 1, ..heartbeat() };
    let of_earlier_version = v1::PeerHello { followed_epoch: 0, ..heartbeat() };
    let elsewhere = v1::PeerHello { address: "10.0.0.2:7720".to_owned(), ..heartbeat() };
    let other = v1::PeerHello { instance: "front-2".to_owned(), ..heartbeat() };
    for hello in [late, of_earlier_version, elsewhere, other] {
        assert!(!former.has_stopped(&hello, EPOCH), "{hello:?}");
    }
}

/// Guards against the record of a leader that another one has replaced before this instance took over, and against one
/// that says nothing of the leaders before it.
#[test]
fn only_the_record_of_the_last_leader_tells_of_earlier_leases() {
    assert!(FormerLeader::new(&record(), Some(FORMER_EPOCH + 1), NOW).is_none());
    assert!(FormerLeader::new(&record(), None, NOW).is_none());
    let of_earlier_version = v1::LeadRecord { earlier_leases_ms: None, ..record() };
    assert!(FormerLeader::new(&of_earlier_version, Some(FORMER_EPOCH), NOW).is_none());
}
