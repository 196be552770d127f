//! Decides when a call for advice that is overdue is made once more, through another lane.
//!
//! Load pattern: a data centre is cut off. The instances there that make calls for advice do not respond any more, and
//! each call through one of them uses up a timeout that is twenty times as long as the call. Quick jobs are late though
//! most of the cell is reachable.
//!
//! A call that is overdue is repeated once, and only while few of all calls are. If the advice service itself is slow,
//! repeated calls would only add to its load.

use std::collections::BTreeMap;

use lilacpass_core::RetryBudget;
use lilacpass_jobs::StepName;

use crate::event::Lane;

/// Time in ms beyond the expected duration of a call after which it is overdue. A lane on a slow instance adds some tens
/// of milliseconds.
const OVERDUE_MS: u64 = 150;

/// A call in progress.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    step: StepName,
    /// When it is overdue, in ms on the monotonic clock; `None` if it is not to be repeated.
    overdue_ms: Option<u64>,
    was_repeated: bool,
}

/// The calls for advice in progress, and the budget for repeated ones.
#[derive(Debug, Default)]
pub struct AdviceHedge {
    pending: BTreeMap<Lane, PendingCall>,
    budget: RetryBudget,
}

impl AdviceHedge {
    /// Records a call that is made through a lane.
    pub fn record_call(&mut self, lane: &Lane, step: StepName, expected_ms: u64, now_ms: u64) {
        self.budget.earn();
        // A call may be the repetition of another one for the same step.
        let is_first = !self.pending.values().any(|call| call.step == step);
        let overdue_ms = is_first.then_some(now_ms + expected_ms + OVERDUE_MS);
        self.pending.insert(lane.clone(), PendingCall { step, overdue_ms, was_repeated: false });
    }

    /// Records the end of the call through a lane. Returns whether it was repeated, so that its failure says nothing
    /// about the step.
    pub fn record_end(&mut self, lane: &Lane) -> bool {
        self.pending.remove(lane).is_some_and(|call| call.was_repeated)
    }

    /// Returns the steps whose calls are to be repeated now.
    pub fn take_overdue(&mut self, now_ms: u64) -> Vec<StepName> {
        let mut steps = Vec::new();
        for call in self.pending.values_mut() {
            let is_overdue = call.overdue_ms.is_some_and(|overdue_ms| now_ms >= overdue_ms);
            if !is_overdue || !self.budget.spend() {
                continue;
            }
            call.overdue_ms = None;
            call.was_repeated = true;
            steps.push(call.step);
        }
        steps
    }
}
