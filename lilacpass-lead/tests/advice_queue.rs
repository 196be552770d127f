//! Tests which waiting steps may request advice, and when.

use lilacpass_jobs::{JobKey, StepName};
use lilacpass_lead::{advice_queue::AdviceQueue, fair_use::Band, rank::Rank};

fn rank(job: u64, late_from_ms: u64) -> Rank {
    let step = StepName { job: JobKey(job), occurrence: 0, step: 0 };
    Rank { is_beyond_share: false, priority: 1, band: Band::FIRST, late_from_ms, step }
}

/// Returns, in order, the jobs of the queued steps that may request advice now. `may_call` receives the name of a job
/// queue and the duration of its calls.
fn callable(queue: &AdviceQueue, may_call: impl Fn(&str, u64) -> bool) -> Vec<u64> {
    let mut last = None;
    let next = || {
        last = queue.next_after(last, &may_call);
        last.map(|rank| rank.step.job.0)
    };
    std::iter::from_fn(next).collect()
}

#[test]
fn steps_of_all_queues_share_one_order() {
    let mut queue = AdviceQueue::default();
    queue.enqueue(rank(1, 30), "quick", 20);
    queue.enqueue(rank(2, 20), "slow", 490);
    queue.enqueue(rank(3, 10), "quick", 20);
    assert_eq!(callable(&queue, |_, _| true), [3, 2, 1]);
    assert_eq!(callable(&queue, |name, _| name == "slow"), [2]);
    assert_eq!(callable(&queue, |_, base_ms| base_ms < 100), [3, 1]);
}

/// A step without candidates becomes due exactly once after its delay. A step with a pending call must not make another
/// one meanwhile.
#[test]
fn delayed_and_pending_steps_do_not_request_advice() {
    let mut queue = AdviceQueue::default();
    let (first, second) = (rank(1, 10), rank(2, 20));
    queue.enqueue(first, "quick", 20);
    queue.enqueue(second, "quick", 20);
    queue.delay(first.step, 25);
    assert_eq!(callable(&queue, |_, _| true), [2]);
    queue.remove(second.step);
    assert!(callable(&queue, |_, _| true).is_empty());
    assert!(queue.take_due(24).is_empty());
    assert_eq!(queue.take_due(25), [first.step]);
    assert!(queue.take_due(99).is_empty(), "the step was returned only once");
}
