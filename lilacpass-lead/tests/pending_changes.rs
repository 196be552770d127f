//! What one round of placing looks at.

use lilacpass_jobs::{JobKey, StepName, WorkerName};
use lilacpass_lead::pending_changes::PendingChanges;

const STEP: StepName = StepName { job: JobKey(7), occurrence: 0, step: 1 };

#[test]
fn the_first_round_looks_at_everything() {
    let digest = PendingChanges::default().take(1_000);
    assert!(digest.all);
}

/// Callers of a full cell of 350 workers wait although the workers could take more: each task that ends
/// makes the leader look at hundreds of waiting steps and all workers, and it has no time left for
/// its calls.
#[test]
fn a_round_looks_only_at_what_changed_since_the_one_before() {
    let mut news = PendingChanges::default();
    news.take(1_000);
    let freed = WorkerName::from("w-1");
    news.mark_worker_freed(&freed);
    news.mark_step_changed(STEP);
    let digest = news.take(1_001);
    assert!(!digest.all);
    assert_eq!(digest.freed.iter().collect::<Vec<_>>(), [&freed]);
    assert_eq!(digest.changed.iter().collect::<Vec<_>>(), [&STEP]);
    let empty = news.take(1_002);
    assert!(!empty.all && empty.freed.is_empty() && empty.changed.is_empty());
}

/// A job waits for ever beside a worker whose quarantine is over: nothing happened that would have
/// made the leader look.
#[test]
fn what_changes_with_time_alone_is_noticed_all_the_same() {
    let mut news = PendingChanges::default();
    news.take(1_000);
    assert!(!news.take(1_099).all);
    assert!(news.take(1_100).all);
}
