//! Whether answers get lost.

use lilacpass_lead::response_loss::ResponseLossMeter;

#[test]
fn a_few_lost_answers_are_no_sign() {
    let mut loss = ResponseLossMeter::default();
    assert!(!loss.is_lossy(0));
    [100, 200, 300].into_iter().for_each(|ms| loss.record_lost_response(ms));
    assert!(!loss.is_lossy(300));
}

/// Checks are late while all workers live: each answer that is lost hides the end of a task for as long
/// as its look waited.
#[test]
fn many_lost_answers_are_noticed_and_forgotten_again() {
    let mut loss = ResponseLossMeter::default();
    [100, 500, 900, 1_300].into_iter().for_each(|ms| loss.record_lost_response(ms));
    assert!(loss.is_lossy(1_300));
    assert!(loss.is_lossy(2_099));
    assert!(!loss.is_lossy(2_100), "the first of them is two seconds old");
}

#[test]
fn lost_answers_that_are_far_apart_are_no_sign() {
    let mut loss = ResponseLossMeter::default();
    (0..20).for_each(|n| loss.record_lost_response(n * 700));
    assert!(!loss.is_lossy(19 * 700));
}
