//! Order in which a busy leader processes messages.

use lilacpass_node::intake::{IntakeQueue, MAX_REQUESTS_PER_ROUND};

#[test]
fn events_precede_earlier_requests() {
    let mut intake = IntakeQueue::default();
    intake.push_request("hand-in");
    intake.push_event("end of a run");
    intake.push_request("cancel");
    intake.push_event("append stored");
    assert_eq!(intake.next_round(), ["end of a run", "append stored", "hand-in", "cancel"]);
    assert!(intake.is_empty());
}

/// Guards against leases expiring on all workers when ten thousand clients send requests at once: the response to a
/// poll that arrived meanwhile was processed after all of them.
#[test]
fn a_round_has_all_events_and_a_bounded_number_of_requests() {
    let mut intake = IntakeQueue::default();
    let asked = 10 * MAX_REQUESTS_PER_ROUND as u64;
    (0..asked).for_each(|number| intake.push_request(number));
    let mut taken = Vec::new();
    let mut rounds = 0;
    while !intake.is_empty() {
        let event = asked + rounds;
        intake.push_event(event);
        let round = intake.next_round();
        assert_eq!(round[0], event);
        assert!(round.len() <= MAX_REQUESTS_PER_ROUND + 1);
        taken.extend(round.into_iter().filter(|number| *number < asked));
        rounds += 1;
    }
    assert_eq!(rounds, 10);
    assert!(taken.is_sorted(), "requests stay in order");
    assert_eq!(taken.len() as u64, asked);
}
