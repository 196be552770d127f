//! Tests the detection of lost responses.

use lilacpass_lead::response_loss::ResponseLossMeter;

#[test]
fn a_few_lost_responses_do_not_count_as_loss() {
    let mut meter = ResponseLossMeter::default();
    assert!(!meter.is_lossy(0));
    [100, 200, 300].into_iter().for_each(|ms| meter.record_lost_response(ms));
    assert!(!meter.is_lossy(300));
}

/// Failure: jobs were late although all workers were alive. Each lost response hid the end of a task for as long as its
/// poll waited.
#[test]
fn many_lost_responses_count_as_loss_for_two_seconds() {
    let mut meter = ResponseLossMeter::default();
    [100, 500, 900, 1_300].into_iter().for_each(|ms| meter.record_lost_response(ms));
    assert!(meter.is_lossy(1_300));
    assert!(meter.is_lossy(2_099));
    assert!(!meter.is_lossy(2_100), "the first of them is two seconds old");
}

#[test]
fn lost_responses_that_are_far_apart_do_not_count_as_loss() {
    let mut meter = ResponseLossMeter::default();
    (0..20).for_each(|n| meter.record_lost_response(n * 700));
    assert!(!meter.is_lossy(19 * 700));
}
