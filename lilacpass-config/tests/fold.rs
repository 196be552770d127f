//! Folding the configuration stream: concurrent changes, duplicates, adoption from peers, and snapshots.

mod common;

use common::{change, configuration, drain};
use lilacpass_config::fold::{ChangeOutcome, ConfigFold};
use lilacpass_core::ids::{Offset, Revision};
use lilacpass_schema::v1::{self, config_op::Op};

const FIRST: Offset = Offset(0);

/// Returns a member that has read the initial inventory at offset 0.
fn started() -> ConfigFold {
    let mut fold = ConfigFold::new();
    let first = change(0, "anna", Op::Replace(configuration(3)));
    assert_eq!(fold.fold(FIRST, &first), ChangeOutcome::Accepted(Revision(1)));
    fold
}

#[test]
fn the_first_change_loads_the_inventory_on_an_empty_stream() {
    assert_eq!(ConfigFold::new().revision(), Revision(0));
    let fold = started();
    assert_eq!(fold.revision(), Revision(1));
    assert_eq!(**fold.configuration(), configuration(3));
    assert_eq!(fold.position(), Offset(1));
}

/// Two operators change the same revision concurrently, and both appends reach the log. Guards against both being
/// told that their change took effect: only the first one in log order does.
#[test]
fn the_first_of_two_concurrent_changes_wins_and_the_other_conflicts() {
    let mut fold = started();
    let won = fold.fold(Offset(4), &change(1, "anna", drain("w0", true)));
    assert_eq!(won, ChangeOutcome::Accepted(Revision(5)));
    let lost = fold.fold(Offset(5), &change(1, "bert", drain("w1", true)));
    let winner = v1::ConflictWinner { revision: 5, actor: "anna".into(), detail: "by anna".into() };
    assert_eq!(lost, ChangeOutcome::Conflict { winner });
    assert!(fold.configuration().workers[0].draining);
    assert!(!fold.configuration().workers[1].draining);
    assert_eq!(fold.revision(), Revision(5));
    assert_eq!(fold.changes().map(|c| c.revision).collect::<Vec<_>>(), [Revision(5), Revision(1)]);
}

/// Guards against applying a change twice. This can happen if an append succeeds but its response is lost or late, so
/// that the append is repeated.
#[test]
fn a_change_that_is_in_the_log_twice_takes_effect_once() {
    let mut fold = started();
    let record = change(1, "anna", drain("w0", true));
    assert_eq!(fold.fold(Offset(1), &record), ChangeOutcome::Accepted(Revision(2)));
    assert!(matches!(fold.fold(Offset(2), &record), ChangeOutcome::Conflict { .. }));
    assert_eq!(fold.fold(Offset(1), &record), ChangeOutcome::Duplicate);
    assert_eq!(fold.revision(), Revision(2));
}

#[test]
fn a_record_published_directly_is_checked_like_any_other() {
    let mut fold = started();
    let bad = change(1, "", Op::RemoveDataCentre("hal-a".into()));
    let ChangeOutcome::Invalid(problems) = fold.fold(Offset(1), &bad) else { panic!("accepted") };
    assert_eq!(problems.len(), 3);
    let long = v1::ConfigChange { actor: "x".repeat(129), ..change(1, "", drain("w0", true)) };
    assert!(matches!(fold.fold(Offset(2), &long), ChangeOutcome::Invalid(_)));
    assert_eq!((fold.revision(), fold.position()), (Revision(1), Offset(3)));
    assert_eq!(**fold.configuration(), configuration(3));
}

/// A member that cannot reach the log adopts the configuration of a peer and reads the log later. Guards against the
/// older records in the log reverting the adopted configuration.
#[test]
fn adopting_and_then_reading_gives_the_same_state_as_reading() {
    let records = [
        change(1, "anna", drain("w0", true)),
        change(1, "bert", drain("w1", true)),
        change(2, "carl", drain("w2", true)),
        change(4, "dora", drain("w0", false)),
        change(4, "emil", drain("w1", true)),
    ];
    let mut reader = started();
    let mut behind = started();
    for (i, record) in records.iter().enumerate() {
        reader.fold(Offset(1 + i as u64), record);
        if i == 2 {
            assert!(behind.adopt(&reader.snapshot().unwrap()));
        }
    }
    assert_eq!((behind.revision(), behind.position()), (Revision(4), Offset(4)));
    for (i, record) in records.iter().enumerate() {
        let outcome = behind.fold(Offset(1 + i as u64), record);
        assert_eq!(outcome == ChangeOutcome::Duplicate, i <= 2);
    }
    assert_eq!(behind.revision(), reader.revision());
    assert_eq!(behind.configuration(), reader.configuration());
    assert_eq!(behind.position(), reader.position());
}

#[test]
fn an_older_or_invalid_configuration_of_a_peer_is_not_adopted() {
    let mut fold = started();
    fold.fold(Offset(1), &change(1, "anna", drain("w0", true)));
    let same = v1::ConfigSnapshot { revision: 2, configuration: Some(configuration(1)) };
    assert!(!fold.adopt(&same));
    assert!(!fold.adopt(&v1::ConfigSnapshot { revision: 1, ..same.clone() }));
    assert!(!fold.adopt(&v1::ConfigSnapshot { revision: 9, configuration: None }));
    let mut broken = configuration(1);
    broken.workers[0].slots = 0;
    assert!(!fold.adopt(&v1::ConfigSnapshot { revision: 9, configuration: Some(broken) }));
    assert_eq!(fold.revision(), Revision(2));
}

/// A new entry instance starts after the log has dropped the first records of the stream. It must start from the
/// snapshot and the records after it.
#[test]
fn a_new_member_starts_from_a_snapshot_and_the_tail() {
    let mut old = started();
    old.fold(Offset(1), &change(1, "anna", drain("w0", true)));
    let snapshot = v1::Snapshot {
        covers_offset: old.position().0,
        parts: 1,
        body: old.snapshot().map(v1::snapshot::Body::Config),
        ..v1::Snapshot::default()
    };
    let mut new = ConfigFold::new();
    assert!(new.restore(&snapshot));
    assert!(new.restore(&snapshot), "everything that it covers was read already");
    assert_eq!((new.revision(), new.position()), (Revision(2), Offset(2)));
    new.skip(Offset(2));
    let record = change(2, "bert", drain("w1", true));
    assert_eq!(new.fold(Offset(3), &record), ChangeOutcome::Accepted(Revision(4)));
    let impossible = v1::Snapshot { covers_offset: 1, ..snapshot.clone() };
    assert!(!ConfigFold::new().restore(&impossible));
    let forged = v1::Snapshot { covers_offset: 100, ..snapshot };
    assert!(!new.restore(&forged), "a snapshot that lacks an accepted change");
    assert_eq!((new.revision(), new.position()), (Revision(4), Offset(4)));
}

/// Guards against telling an operator that a change was rejected although it was accepted. A peer may read the change
/// first; if this member adopts the peer's configuration, the record then lies before its own position.
#[test]
fn a_change_that_was_adopted_before_it_was_read_is_known_as_accepted() {
    let mut peer = started();
    peer.fold(Offset(1), &change(1, "anna", drain("w0", true)));
    peer.fold(Offset(2), &change(2, "bert", drain("w1", true)));
    let mut member = started();
    member.adopt(&peer.snapshot().unwrap());
    let read = member.fold(Offset(2), &change(2, "bert", drain("w1", true)));
    assert_eq!(read, ChangeOutcome::Duplicate);
    assert!(member.was_accepted(Offset(2)) && member.was_accepted(FIRST));
    assert!(!member.was_accepted(Offset(1)), "not known to this member");
    assert!(peer.was_accepted(Offset(1)));
    assert_eq!(ConfigFold::new().covers(), None);
    assert_eq!(member.covers(), Some(Offset(3)));
    member.handle_truncation(Offset(9));
    assert_eq!(member.covers(), None);
}

/// A new entry instance adopts the newest configuration of a peer before it finds an older snapshot in the log. It
/// must continue after that snapshot instead of searching for a newer one; otherwise it would accept no changes until
/// a member writes one.
#[test]
fn a_member_that_is_ahead_of_a_snapshot_continues_after_it() {
    let mut peer = started();
    let snapshot = v1::Snapshot {
        covers_offset: peer.position().0,
        parts: 1,
        body: peer.snapshot().map(v1::snapshot::Body::Config),
        ..v1::Snapshot::default()
    };
    let record = change(1, "anna", drain("w0", true));
    peer.fold(Offset(2), &record);
    let mut new = ConfigFold::new();
    assert!(new.adopt(&peer.snapshot().unwrap()));
    assert!(new.restore(&snapshot));
    assert_eq!(new.fold(Offset(2), &record), ChangeOutcome::Duplicate);
    assert_eq!((new.revision(), new.position()), (Revision(3), Offset(3)));
    new.handle_truncation(Offset(9));
    assert!(!new.restore(&snapshot), "it does not close the gap");
}

/// A member pauses until the log has dropped records that it did not read, including an accepted change. It then reads
/// a change that is based on its own outdated revision and that all other members rejected. Guards against the member
/// accepting this change and diverging from the others.
#[test]
fn a_member_that_missed_records_decides_nothing_until_it_catches_up() {
    let missed = change(1, "anna", drain("w0", true));
    let stale = change(1, "bert", drain("w1", true));
    let mut reader = started();
    reader.fold(Offset(1), &missed);
    reader.fold(Offset(2), &stale);

    let mut paused = started();
    paused.handle_truncation(Offset(2));
    assert!(paused.has_gap());
    assert_eq!(paused.fold(Offset(2), &stale), ChangeOutcome::Undecided);
    assert_eq!((paused.revision(), paused.position()), (Revision(1), Offset(1)));
    assert!(paused.adopt(&reader.snapshot().unwrap()));
    assert!(!paused.has_gap());
    assert!(matches!(paused.fold(Offset(2), &stale), ChangeOutcome::Conflict { .. }));
    assert_eq!(paused.configuration(), reader.configuration());
}
