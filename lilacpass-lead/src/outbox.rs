//! Changes on their way into the store: gathered while an append is under way, stored by the next.

use std::{collections::BTreeSet, mem};

use lilacpass_jobs::{JobKey, TaskName, WorkerName};

use crate::event::{Answer, Token};

/// What becomes possible once a change is stored.
#[derive(Clone, Debug, PartialEq)]
pub enum After {
    /// Answer a caller.
    Reply(Token, Answer),
    /// Order a run.
    Order {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: u32,
    },
    /// Let a worker forget its ends.
    Forget {
        /// The worker.
        worker: WorkerName,
        /// Up to this number.
        upto: u64,
    },
    /// Show the state of a job to callers.
    Show(JobKey),
}

/// Changes that are to be stored.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Jobs whose plan is to be stored.
    pub plans: BTreeSet<JobKey>,
    /// Jobs whose state is to be stored.
    pub states: BTreeSet<JobKey>,
    /// Jobs whose records are to be dropped.
    pub drops: BTreeSet<JobKey>,
    after: Vec<After>,
    under_way: Option<UnderWay>,
}

#[derive(Debug)]
struct UnderWay {
    after: Vec<After>,
    sent_ms: u64,
}

impl Outbox {
    /// Waits with `after` until all that has changed so far is stored.
    pub fn then(&mut self, after: After) {
        self.after.push(after);
    }

    /// Whether something waits and no append is under way.
    pub fn is_due(&self) -> bool {
        let waits = !self.plans.is_empty()
            || !self.states.is_empty()
            || !self.drops.is_empty()
            || !self.after.is_empty();
        waits && self.under_way.is_none()
    }

    /// Notes that all that waits is being stored.
    pub fn sent(&mut self, now_ms: u64) {
        let after = mem::take(&mut self.after);
        self.under_way = Some(UnderWay { after, sent_ms: now_ms });
    }

    /// Notes that the append under way is stored. Returns what became possible.
    pub fn stored(&mut self) -> Vec<After> {
        self.under_way.take().map(|under_way| under_way.after).unwrap_or_default()
    }

    /// How long the append under way has gone without an answer.
    pub fn stuck_ms(&self, now_ms: u64) -> u64 {
        self.under_way.as_ref().map_or(0, |u| now_ms.saturating_sub(u.sent_ms))
    }
}
