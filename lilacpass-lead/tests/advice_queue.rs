//! Which waiting steps ask for advice, and when.

use lilacpass_jobs::{JobKey, StepName};
use lilacpass_lead::{advice_queue::AdviceQueue, rank::Rank};

fn rank(job: u64, late_from_ms: u64) -> Rank {
    let step = StepName { job: JobKey(job), occurrence: 0, step: 0 };
    Rank { priority: 1, late_from_ms, step }
}

fn all(askers: &AdviceQueue, may_call: impl Fn(&str, u64) -> bool) -> Vec<u64> {
    let mut last = None;
    let next = || {
        last = askers.next_after(last, &may_call);
        last.map(|rank| rank.step.job.0)
    };
    std::iter::from_fn(next).collect()
}

#[test]
fn steps_of_all_queues_come_in_one_order() {
    let mut askers = AdviceQueue::default();
    askers.enqueue(rank(1, 30), "quick", 20);
    askers.enqueue(rank(2, 20), "slow", 490);
    askers.enqueue(rank(3, 10), "quick", 20);
    assert_eq!(all(&askers, |_, _| true), [3, 2, 1]);
    assert_eq!(all(&askers, |queue, _| queue == "slow"), [2]);
    assert_eq!(all(&askers, |_, base_ms| base_ms < 100), [3, 1]);
}

/// A step that nobody can be asked about is looked at again after its pause, once; one that is being asked about
/// must not be asked about again meanwhile.
#[test]
fn paused_steps_and_steps_that_are_asked_about_do_not_ask() {
    let mut askers = AdviceQueue::default();
    let (first, second) = (rank(1, 10), rank(2, 20));
    askers.enqueue(first, "quick", 20);
    askers.enqueue(second, "quick", 20);
    askers.delay(first.step, 25);
    assert_eq!(all(&askers, |_, _| true), [2]);
    askers.remove(second.step);
    assert!(all(&askers, |_, _| true).is_empty());
    assert!(askers.take_due(24).is_empty());
    assert_eq!(askers.take_due(25), [first.step]);
    assert!(askers.take_due(99).is_empty(), "it was told once");
}
