//! Every cell of the table that decides what follows from the end of an attempt.

use lilacpass_core::Verdict;
use lilacpass_records::jobs::settle::{Next, Work, settle, settle_attempt};
use lilacpass_schema::v1::TaskOutcome::{
    self, Checkpointed, Failed, Lapsed, NotStarted, Stopped, Succeeded, Unknown,
};

const AGAIN: Next = Next::Again { counts: false };
const COUNTS: Next = Next::Again { counts: true };
const RAN: Next = Next::Cancelled(Verdict::Ran);
const NOT_RUN: Next = Next::Cancelled(Verdict::NotRun);
const MAY: Next = Next::Cancelled(Verdict::MayHaveRun);

/// Outcome, then what follows for: cancelled, cancelled standing, standing, idempotent,
/// non-idempotent; all checkpointable.
const TABLE: [(TaskOutcome, [Next; 5]); 7] = [
    (Succeeded, [Next::Done, RAN, AGAIN, Next::Done, Next::Done]),
    (Failed, [RAN, RAN, AGAIN, COUNTS, Next::Failed]),
    (Stopped, [MAY, MAY, AGAIN, AGAIN, Next::MayHaveRun]),
    (Lapsed, [MAY, MAY, AGAIN, COUNTS, Next::MayHaveRun]),
    (NotStarted, [NOT_RUN, NOT_RUN, AGAIN, AGAIN, AGAIN]),
    (Unknown, [MAY, MAY, AGAIN, COUNTS, Next::MayHaveRun]),
    (Checkpointed, [MAY, MAY, Next::Resume, Next::Resume, Next::Resume]),
];

fn work(idempotent: bool, standing: bool, cancelled: bool) -> Work {
    Work { idempotent, checkpointable: true, standing, cancelled }
}

fn columns(idempotent_if_either: bool) -> [Work; 5] {
    [
        work(idempotent_if_either, false, true),
        work(idempotent_if_either, true, true),
        work(idempotent_if_either, true, false),
        work(true, false, false),
        work(false, false, false),
    ]
}

#[test]
fn each_cell_is_as_written() {
    for (outcome, cells) in TABLE {
        for idempotent in [false, true] {
            for (work, next) in columns(idempotent).into_iter().zip(cells) {
                assert_eq!(settle(outcome, work), next, "{outcome:?} {work:?}");
                assert_eq!(settle_attempt([outcome], work), next, "{outcome:?} {work:?}");
                assert_eq!(settle_attempt([outcome; 3], work), next, "{outcome:?} {work:?}");
            }
        }
    }
}

#[test]
fn a_checkpoint_of_work_that_cannot_resume_is_a_stop() {
    for work in columns(false) {
        let work = Work { checkpointable: false, ..work };
        assert_eq!(settle(Checkpointed, work), settle(Stopped, work), "{work:?}");
    }
}

#[test]
fn a_gang_follows_its_worst_task() {
    let (idempotent, once) = (work(true, false, false), work(false, false, false));
    let cases = [
        (idempotent, [Succeeded, Checkpointed], Next::Resume),
        (idempotent, [Succeeded, NotStarted], AGAIN),
        (idempotent, [Checkpointed, Failed], COUNTS),
        (idempotent, [NotStarted, Lapsed], COUNTS),
        (once, [Checkpointed, NotStarted], AGAIN),
        (once, [Succeeded, NotStarted], Next::MayHaveRun),
        (once, [Succeeded, Checkpointed], Next::MayHaveRun),
        (once, [Succeeded, Failed], Next::Failed),
        (once, [NotStarted, Failed], Next::Failed),
        (once, [Unknown, Failed], Next::MayHaveRun),
        (once, [Succeeded, Lapsed], Next::MayHaveRun),
        (work(false, true, false), [Succeeded, Unknown], AGAIN),
        (work(false, false, true), [NotStarted, Succeeded], MAY),
        (work(false, false, true), [Failed, Succeeded], RAN),
        (work(false, false, true), [NotStarted, NotStarted], NOT_RUN),
    ];
    for (work, outcomes, next) in cases {
        assert_eq!(settle_attempt(outcomes, work), next, "{outcomes:?} {work:?}");
    }
}
