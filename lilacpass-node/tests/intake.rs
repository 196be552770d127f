//! The order in which a busy leader takes in what has come.

use lilacpass_node::intake::{Intake, MOST_ASKS};

#[test]
fn what_happened_is_taken_in_before_requests_that_came_earlier() {
    let mut intake = Intake::default();
    intake.put_ask("hand-in");
    intake.put_event("end of a run");
    intake.put_ask("cancel");
    intake.put_event("append stored");
    assert_eq!(intake.next_round(), ["end of a run", "append stored", "hand-in", "cancel"]);
    assert!(intake.is_empty());
}

/// Leases lapse on all workers: ten thousand callers ask at once, and a look that was answered meanwhile is taken in
/// after all of them.
#[test]
fn a_round_takes_in_a_bounded_number_of_requests_and_all_that_happened() {
    let mut intake = Intake::default();
    let asked = 10 * MOST_ASKS as u64;
    (0..asked).for_each(|number| intake.put_ask(number));
    let mut taken = Vec::new();
    let mut rounds = 0;
    while !intake.is_empty() {
        let event = asked + rounds;
        intake.put_event(event);
        let round = intake.next_round();
        assert_eq!(round[0], event);
        assert!(round.len() <= MOST_ASKS + 1);
        taken.extend(round.into_iter().filter(|number| *number < asked));
        rounds += 1;
    }
    assert_eq!(rounds, 10);
    assert!(taken.is_sorted(), "requests stay in order");
    assert_eq!(taken.len() as u64, asked);
}
