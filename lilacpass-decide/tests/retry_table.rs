//! What follows on a failed attempt, cell by cell.

use std::time::Duration;

use lilacpass_core::Verdict;
use lilacpass_decide::{
    Failure, Next, Phase, RetryBudget,
    retry::{after_failure, combine, verdict},
};

use Verdict::{MayHaveRun, NotRun, Ran};

/// The verdict of each failure, in the phases queued, sent, started.
const TABLE: [(Failure, [Verdict; 3]); 6] = [
    (Failure::Refused, [NotRun, NotRun, MayHaveRun]),
    (Failure::ConnectFailed, [NotRun, MayHaveRun, MayHaveRun]),
    (Failure::ConnectionLost, [NotRun, MayHaveRun, MayHaveRun]),
    (Failure::TimedOut, [NotRun, MayHaveRun, MayHaveRun]),
    (Failure::BadAnswer, [NotRun, MayHaveRun, MayHaveRun]),
    (Failure::TaskFailed, [Ran, Ran, Ran]),
];

fn cells() -> impl Iterator<Item = (Failure, Phase, Verdict)> {
    TABLE.into_iter().flat_map(|(failure, verdicts)| {
        Phase::ALL.into_iter().zip(verdicts).map(move |(phase, verdict)| (failure, phase, verdict))
    })
}

fn full() -> RetryBudget {
    RetryBudget::new(10, 100)
}

const SOON: Duration = Duration::from_millis(1);

#[test]
fn the_table_has_every_failure_in_every_phase() {
    assert_eq!(TABLE.map(|(failure, _)| failure), Failure::ALL);
    assert_eq!(cells().count(), Failure::ALL.len() * Phase::ALL.len());
    for (failure, phase, expected) in cells() {
        assert_eq!(verdict(failure, phase), expected, "{failure:?} {phase:?}");
    }
}

#[test]
fn an_idempotent_request_is_retried_after_every_failure() {
    for (failure, phase, _) in cells() {
        let next = after_failure(failure, phase, true, &mut full(), SOON);
        assert_eq!(next, Next::RetryElsewhere, "{failure:?} {phase:?}");
    }
}

#[test]
fn a_non_idempotent_request_is_retried_only_when_it_did_not_run() {
    for (failure, phase, verdict) in cells() {
        let next = after_failure(failure, phase, false, &mut full(), SOON);
        let expected = if verdict == NotRun { Next::RetryElsewhere } else { Next::End(verdict) };
        assert_eq!(next, expected, "{failure:?} {phase:?}");
    }
}

#[test]
fn nothing_is_retried_without_budget_or_time() {
    for (failure, phase, verdict) in cells() {
        for idempotent in [false, true] {
            let mut empty = RetryBudget::new(10, 0);
            let next = after_failure(failure, phase, idempotent, &mut empty, SOON);
            assert_eq!(next, Next::End(verdict));
            let mut budget = full();
            let next = after_failure(failure, phase, idempotent, &mut budget, Duration::ZERO);
            assert_eq!(next, Next::End(verdict));
            assert_eq!(budget.available(), 100, "a retry that is not made costs nothing");
        }
    }
}

#[test]
fn a_request_that_may_have_run_once_is_never_called_not_run() {
    for earlier in Verdict::ALL {
        for later in Verdict::ALL {
            assert_eq!(combine(earlier, later), combine(later, earlier));
            assert!(combine(earlier, later) >= earlier);
        }
    }
    assert_eq!(combine(MayHaveRun, NotRun), MayHaveRun);
}

/// All workers fail for a while. Callers see errors, and each error is tried again, so the load
/// on what is left doubles and triples. The budget keeps retries to a tenth of the requests.
#[test]
fn an_outage_is_not_multiplied_by_retries() {
    const BURST: u64 = 20;
    let mut budget = RetryBudget::new(10, BURST as u32);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_request();
        while after_failure(Failure::TimedOut, Phase::Sent, true, &mut budget, SOON)
            == Next::RetryElsewhere
        {
            retries += 1;
        }
    }
    assert_eq!(retries, 1_000 / 10 + BURST - 1);
}
