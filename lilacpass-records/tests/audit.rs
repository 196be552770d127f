//! The window of the audit trail.

use lilacpass_core::ids::Offset;
use lilacpass_records::{AuditFilter, AuditWindow};
use lilacpass_schema::v1::AuditEntry;

fn entry(actor: &str, action: &str, accepted: bool, at_unix_ms: u64) -> AuditEntry {
    AuditEntry {
        actor: actor.into(),
        action: action.into(),
        accepted,
        at_unix_ms,
        ..Default::default()
    }
}

fn window() -> AuditWindow {
    let mut window = AuditWindow::new(3, 1 << 20);
    let entries = [
        entry("ann", "apply", true, 10),
        entry("ben", "apply", false, 20),
        entry("ann", "drain", true, 30),
        entry("ben", "drain", true, 40),
    ];
    for (offset, entry) in entries.into_iter().enumerate() {
        window.push(Offset(offset as u64), entry);
    }
    window
}

#[test]
fn the_oldest_entries_are_given_up() {
    let mut window = window();
    window.push(Offset(2), entry("ann", "drain", true, 30));
    let all = AuditFilter::default();
    let offsets = window.select(&all).map(|(offset, _)| offset.0);
    assert!(offsets.eq([1, 2, 3]), "an entry read twice is kept once");
    let mut small = AuditWindow::new(100, 1_000);
    (0..100).for_each(|n| small.push(Offset(n), entry("ann", "apply", true, n)));
    assert!((1..5).contains(&small.len()));
}

#[test]
fn filters_apply_together() {
    let window = window();
    let count = |filter: AuditFilter| window.select(&filter).count();
    let by = |actor: &str| AuditFilter { actor: Some(actor.into()), ..Default::default() };
    assert_eq!((count(by("ann")), count(by("ben"))), (1, 2));
    assert_eq!(count(AuditFilter { accepted: Some(true), ..by("ben") }), 1);
    assert_eq!(count(AuditFilter { action: Some("apply".into()), ..by("ann") }), 0);
    let since = AuditFilter { since_unix_ms: Some(30), ..Default::default() };
    assert_eq!(count(since), 2);
}
