//! Orders with late or lost responses.

use std::{cell::Cell, future, time::Duration};

use lilacpass_core::{RetryBudget, Verdict};
use lilacpass_lead::event::{CallError, Refusal};
use lilacpass_node::orders;
use tokio::{runtime, time};

type OrderResult = Result<(), CallError>;

/// Responds to each copy of an order in turn, after a number of milliseconds; `None` is a lost response. Returns the
/// result of the order, and how many copies were sent.
fn send(results: &[Option<(u64, OrderResult)>]) -> (OrderResult, usize) {
    send_with_budget(&RetryBudget::default(), results)
}

fn send_with_budget(
    budget: &RetryBudget,
    results: &[Option<(u64, OrderResult)>],
) -> (OrderResult, usize) {
    let sent = Cell::new(0);
    let send = || {
        let result = results[sent.get()].clone();
        sent.set(sent.get() + 1);
        async move {
            match result {
                Some((after_ms, result)) => {
                    time::sleep(Duration::from_millis(after_ms)).await;
                    result
                }
                None => future::pending().await,
            }
        }
    };
    let runtime = runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let result = runtime.block_on(orders::send_with_retry(budget, send));
    (result, sent.get())
}

#[test]
fn an_order_with_a_prompt_response_is_sent_once() {
    assert_eq!(send(&[Some((5, Ok(())))]), (Ok(()), 1));
    let refused: OrderResult = Err(CallError::Refused(Refusal::Room));
    assert_eq!(send(&[Some((5, refused.clone()))]), (refused, 1));
}

/// Guards against late jobs while one call in twenty to workers is lost. A start without a response was abandoned after
/// 0.4 s and marked as never started, and its task was started again on another worker.
#[test]
fn an_order_without_a_response_is_sent_again() {
    assert_eq!(send(&[None, Some((5, Ok(())))]), (Ok(()), 2));
}

#[test]
fn a_late_response_to_the_first_copy_counts() {
    assert_eq!(send(&[Some((150, Ok(()))), None]), (Ok(()), 2));
}

/// Guards against executing a task twice. The first copy of a start was executed, and its run has ended. The second
/// copy is refused as old, which does not mean that there was no run.
#[test]
fn a_refusal_of_one_copy_does_not_settle_the_other() {
    let uncertain: OrderResult = Err(CallError::Failed(Verdict::MayHaveRun));
    for refusal in [Refusal::Old, Refusal::Room, Refusal::Ticket, Refusal::Unhealthy] {
        let refused: OrderResult = Err(CallError::Refused(refusal));
        let timed_out = Some((400, uncertain.clone()));
        assert_eq!(send(&[timed_out, Some((5, refused))]), (uncertain.clone(), 2));
    }
}

#[test]
fn a_fence_refusal_settles_both_copies() {
    let fenced: OrderResult = Err(CallError::Refused(Refusal::Fence));
    assert_eq!(send(&[None, Some((5, fenced.clone()))]), (fenced, 2));
}

/// Guards against a collapse when the load rises a little: the leader is slow, so every order is late and sent twice,
/// which makes the leader slower still.
#[test]
fn few_orders_are_sent_again_if_all_are_late() {
    let budget = RetryBudget::default();
    let late = Some((150, Ok(())));
    let sent: usize =
        (0..500).map(|_| send_with_budget(&budget, &[late.clone(), late.clone()]).1).sum();
    assert!(sent < 500 + 500 / 9 + 21, "{sent}");
    assert!(sent > 500 + 500 / 11, "{sent}");
}

/// Guards against a start elsewhere while a relay of an earlier version carries out its copy on the next incarnation of
/// the worker, and against a task that waits for the leases of a worker that is gone although neither copy was sent.
#[test]
fn a_copy_that_was_not_sent_does_not_settle_the_other() {
    let other: OrderResult = Err(CallError::OtherIncarnation);
    let uncertain: OrderResult = Err(CallError::Failed(Verdict::MayHaveRun));
    let timed_out = Some((400, uncertain.clone()));
    assert_eq!(send(&[timed_out, Some((5, other.clone()))]), (uncertain, 2));
    assert_eq!(send(&[Some((200, other.clone())), Some((5, other.clone()))]), (other.clone(), 2));
    let unsent: OrderResult = Err(CallError::Failed(Verdict::NotRun));
    assert_eq!(
        send(&[Some((400, unsent.clone())), Some((300, unsent.clone()))]),
        (unsent.clone(), 2)
    );
    for copies in [
        [(400, unsent.clone()), (200, other.clone())],
        [(250, other.clone()), (300, unsent.clone())],
    ] {
        assert_eq!(send(&copies.map(Some)).0, other);
    }
}
