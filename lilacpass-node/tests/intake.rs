//! Order in which a busy leader processes messages.

use lilacpass_node::intake::{IntakeQueue, MAX_REQUESTS_PER_ROUND};

#[test]
fn events_precede_earlier_requests() {
    let mut queue = IntakeQueue::default();
    queue.push_request("submission");
    queue.push_event("end of a run");
    queue.push_request("cancel");
    queue.push_event("append stored");
    assert_eq!(queue.next_round(), ["end of a run", "append stored", "submission", "cancel"]);
    assert!(queue.is_empty());
}

/// Guards against leases expiring on all workers when ten thousand clients send requests at once: the response to a
/// poll that arrived meanwhile was processed after all of them.
#[test]
fn a_round_has_all_events_and_a_bounded_number_of_requests() {
    let mut queue = IntakeQueue::default();
    let request_count = 10 * MAX_REQUESTS_PER_ROUND as u64;
    (0..request_count).for_each(|number| queue.push_request(number));
    let mut processed = Vec::new();
    let mut rounds = 0;
    while !queue.is_empty() {
        let event = request_count + rounds;
        queue.push_event(event);
        let round = queue.next_round();
        assert_eq!(round[0], event);
        assert!(round.len() <= MAX_REQUESTS_PER_ROUND + 1);
        processed.extend(round.into_iter().filter(|number| *number < request_count));
        rounds += 1;
    }
    assert_eq!(rounds, 10);
    assert!(processed.is_sorted(), "requests stay in order");
    assert_eq!(processed.len() as u64, request_count);
}
