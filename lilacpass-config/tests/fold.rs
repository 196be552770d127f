//! The configuration as the fold of its stream: races, repeats, peers, snapshots.

mod common;

use common::{change, configuration, drain};
use lilacpass_config::fold::{ChangeOutcome, ConfigFold};
use lilacpass_core::ids::{Offset, Revision};
use lilacpass_schema::v1::{self, config_op::Op};

const FIRST: Offset = Offset(0);

/// A member that has read the first inventory, at offset 0.
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

/// Two operators change the same revision at once. Both believe that theirs is in force. Cause:
/// both appends reach the log; only their order there can tell which one counts.
#[test]
fn the_first_of_two_racing_changes_wins_and_the_other_is_told() {
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

/// An operator's append is answered too late and sent again. The change must not be made twice.
/// Cause: the first append took effect though its answer was lost.
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
fn a_record_published_directly_is_checked_as_strictly() {
    let mut fold = started();
    let bad = change(1, "", Op::RemoveDataCentre("hal-a".into()));
    let ChangeOutcome::Invalid(problems) = fold.fold(Offset(1), &bad) else { panic!("accepted") };
    assert_eq!(problems.len(), 3);
    let long = v1::ConfigChange { actor: "x".repeat(129), ..change(1, "", drain("w0", true)) };
    assert!(matches!(fold.fold(Offset(2), &long), ChangeOutcome::Invalid(_)));
    assert_eq!((fold.revision(), fold.position()), (Revision(1), Offset(3)));
    assert_eq!(**fold.configuration(), configuration(3));
}

/// A member that is cut off from the log gets the configuration from a peer, and reads the log
/// later. What it adopted must not be undone by the older records that it then reads.
#[test]
fn a_member_that_adopts_and_then_reads_ends_as_one_that_only_reads() {
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
fn an_older_or_broken_configuration_of_a_peer_is_not_taken() {
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

/// An entry is replaced long after the first records of the stream were dropped. It must start
/// from the snapshot and the records behind it.
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
    assert!(new.restore(&snapshot), "what it covers is held already");
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

/// An operator's change is read by a peer first; this member adopts it before it reads it. The
/// operator must not be told that the change lost. Cause: the record then lies below what is held.
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
    assert!(!member.was_accepted(Offset(1)), "not known here");
    assert!(peer.was_accepted(Offset(1)));
    assert_eq!(ConfigFold::new().covers(), None);
    assert_eq!(member.covers(), Some(Offset(3)));
    member.handle_truncation(Offset(9));
    assert_eq!(member.covers(), None);
}

/// A new entry gets the newest configuration from a peer before it finds an older snapshot in the
/// log. It must go on reading behind that snapshot and not search for a newer one, or it takes no
/// changes for as long as nobody writes one.
#[test]
fn a_member_that_is_ahead_of_a_snapshot_goes_on_behind_it() {
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

/// A member pauses until the log has dropped records that it did not read, one of them an
/// accepted change. It then reads a change with the base that it still holds, which everybody
/// else refused. Without the guard it would accept that one and differ from then on.
#[test]
fn a_member_that_missed_records_decides_nothing_until_it_caught_up() {
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
