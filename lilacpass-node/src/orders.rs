//! Orders to workers, sent again where the answer is late.
//!
//! An order that was lost, or that is carried out seconds later, costs its task over half a second
//! until it is given up, made void and given to another worker. Both copies name the same run, and a
//! worker carries out the first to arrive; the other is answered as done already.

use std::{pin::pin, time::Duration};

use lilacpass_core::Verdict;
use lilacpass_jobs::TaskName;
use lilacpass_lead::event::{CallError, Refusal};
use lilacpass_platform::workers::{Start, Target, Workers};
use tokio::time;

use crate::budget::RetryBudget;

/// An order is sent again after so long. Sound workers answer within 5 ms, and a busy leader handles
/// the answer some tens of milliseconds later.
const LATE: Duration = Duration::from_millis(100);

/// Starts a run.
pub async fn start(
    workers: &Workers,
    budget: &RetryBudget,
    target: Target<'_>,
    start: Start<'_>,
) -> Result<(), CallError> {
    twice(budget, || workers.start(target, start)).await
}

/// Stops a run, or prevents it from starting later.
pub async fn stop(
    workers: &Workers,
    budget: &RetryBudget,
    target: Target<'_>,
    task: TaskName,
    run: u32,
) -> Result<(), CallError> {
    twice(budget, || workers.stop(target, task, run)).await
}

/// Sends an order, and again if its answer is late and the budget allows it. Returns the first answer
/// that settles both.
pub async fn twice<F>(budget: &RetryBudget, send: impl Fn() -> F) -> Result<(), CallError>
where
    F: Future<Output = Result<(), CallError>>,
{
    budget.earn();
    let mut first = pin!(send());
    if let Ok(result) = time::timeout(LATE, &mut first).await {
        return result;
    }
    if !budget.spend() {
        return first.await;
    }
    let mut second = pin!(send());
    let (answer, first_answered) = tokio::select! {
        answer = &mut first => (answer, true),
        answer = &mut second => (answer, false),
    };
    if settles_both(&answer) {
        return answer;
    }
    let other = if first_answered { second.await } else { first.await };
    if settles_both(&other) { other } else { Err(CallError::Failed(Verdict::MayHaveRun)) }
}

/// Whether the answer to one copy tells what became of the other. A refusal for another reason does
/// not: the other copy may come later, when the reason has gone, or may have come before and be the
/// reason.
fn settles_both(answer: &Result<(), CallError>) -> bool {
    matches!(answer, Ok(()) | Err(CallError::OtherLife | CallError::Refused(Refusal::Fence)))
}
