//! Orders whose answers are late or lost.

use std::{cell::Cell, future, time::Duration};

use lilacpass_core::Verdict;
use lilacpass_lead::event::{CallError, Refusal};
use lilacpass_node::{budget::RetryBudget, orders};
use tokio::{runtime, time};

type Answer = Result<(), CallError>;

/// Answers each copy of an order in turn, after so many milliseconds; none for an answer that is lost.
/// Returns what came of the order, and how many copies were sent.
fn send(answers: &[Option<(u64, Answer)>]) -> (Answer, usize) {
    send_with_budget(&RetryBudget::default(), answers)
}

fn send_with_budget(budget: &RetryBudget, answers: &[Option<(u64, Answer)>]) -> (Answer, usize) {
    let sent = Cell::new(0);
    let send = || {
        let answer = answers[sent.get()].clone();
        sent.set(sent.get() + 1);
        async move {
            match answer {
                Some((after_ms, answer)) => {
                    time::sleep(Duration::from_millis(after_ms)).await;
                    answer
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
    let refused: Answer = Err(CallError::Refused(Refusal::Room));
    assert_eq!(send(&[Some((5, refused.clone()))]), (refused, 1));
}

/// Most checks are late while one call in twenty to workers is lost: a start without an answer was
/// given up after 0.4 s and made void, and its task began anew elsewhere.
#[test]
fn an_order_without_a_response_is_sent_again() {
    assert_eq!(send(&[None, Some((5, Ok(())))]), (Ok(()), 2));
}

#[test]
fn a_late_response_to_the_first_copy_counts() {
    assert_eq!(send(&[Some((150, Ok(()))), None]), (Ok(()), 2));
}

/// A report is sent twice: the first copy of a start was carried out, and its run has ended. The second
/// is refused as old, which must not be taken for a run that never was.
#[test]
fn a_refusal_of_one_copy_does_not_settle_the_other() {
    let uncertain: Answer = Err(CallError::Failed(Verdict::MayHaveRun));
    for refusal in [Refusal::Old, Refusal::Room, Refusal::Ticket, Refusal::Unhealthy] {
        let refused: Answer = Err(CallError::Refused(refusal));
        let lost = Some((400, uncertain.clone()));
        assert_eq!(send(&[lost, Some((5, refused))]), (uncertain.clone(), 2));
    }
}

#[test]
fn a_fence_refusal_settles_both_copies() {
    let fenced: Answer = Err(CallError::Refused(Refusal::Fence));
    assert_eq!(send(&[None, Some((5, fenced.clone()))]), (fenced, 2));
}

/// Load rises a little, and nobody is served any more: the leader is slow, so every order is late, so
/// every order is sent twice, and the leader is slower still.
#[test]
fn few_orders_are_sent_again_if_all_are_late() {
    let budget = RetryBudget::default();
    let late = Some((150, Ok(())));
    let sent: usize =
        (0..500).map(|_| send_with_budget(&budget, &[late.clone(), late.clone()]).1).sum();
    assert!(sent < 500 + 500 / 9 + 21, "{sent}");
    assert!(sent > 500 + 500 / 11, "{sent}");
}
