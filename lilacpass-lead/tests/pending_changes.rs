//! Tests which steps and workers a scheduling round considers.

use lilacpass_jobs::{JobKey, StepName, WorkerName};
use lilacpass_lead::pending_changes::PendingChanges;

const STEP: StepName = StepName { job: JobKey(7), occurrence: 0, step: 1 };

#[test]
fn the_first_round_is_a_full_round() {
    let round = PendingChanges::default().take(1_000);
    assert!(round.all);
}

/// Failure: in a full cell of 350 workers jobs waited although the workers could accept more. Each task that ended made
/// the leader examine hundreds of waiting steps and all workers, which left no time for its calls.
#[test]
fn a_round_considers_only_changes_since_the_previous_one() {
    let mut changes = PendingChanges::default();
    changes.take(1_000);
    let freed = WorkerName::from("w-1");
    changes.mark_worker_freed(&freed);
    changes.mark_step_changed(STEP);
    let round = changes.take(1_001);
    assert!(!round.all);
    assert_eq!(round.freed.iter().collect::<Vec<_>>(), [&freed]);
    assert_eq!(round.changed.iter().collect::<Vec<_>>(), [&STEP]);
    let empty = changes.take(1_002);
    assert!(!empty.all && empty.freed.is_empty() && empty.changed.is_empty());
}

/// Failure: a job waited forever although the quarantine of a suitable worker had ended, because no event made the
/// leader examine it.
#[test]
fn full_rounds_notice_changes_that_come_with_time_alone() {
    let mut changes = PendingChanges::default();
    changes.take(1_000);
    assert!(!changes.take(1_099).all);
    assert!(changes.take(1_100).all);
}
