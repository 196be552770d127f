//! An attempt to run a job, and how a job ends.

use lilacpass_core::{
    Verdict,
    ids::{AttemptNo, Epoch, Incarnation, InstanceId, Offset},
};
use lilacpass_schema::v1::{self, TaskOutcome};

/// Longest reason that is kept, in bytes.
const MAX_REASON_BYTES: usize = 512;

/// An active attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its number, from 1.
    pub number: AttemptNo,
    /// The entry instance that drives it.
    pub driver: InstanceId,
    /// Incarnation of the driver.
    pub driver_incarnation: Incarnation,
    /// Where its tasks run, by task position.
    pub(super) placements: Vec<v1::Placement>,
    /// How its tasks ended, by task position.
    pub(super) ends: Vec<Option<Box<v1::TaskEnded>>>,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Whether it ended with success.
    pub succeeded: bool,
    /// Whether it ended because it was cancelled.
    pub cancelled: bool,
    /// Results by task position, each whole; empty unless it ended with success.
    pub results: Vec<String>,
    /// Why it did not succeed; empty on success.
    pub reason: String,
    /// Offset of the record that ended it.
    pub offset: Offset,
}

impl Attempt {
    /// An attempt none of whose tasks has ended; `placements` are in the order of positions.
    pub(super) fn new(
        number: AttemptNo,
        driver: InstanceId,
        driver_incarnation: Incarnation,
        placements: Vec<v1::Placement>,
    ) -> Self {
        let ends = vec![None; placements.len()];
        Self { number, driver, driver_incarnation, placements, ends }
    }

    /// Where its tasks run, by task position.
    pub fn placements(&self) -> &[v1::Placement] {
        &self.placements
    }

    /// Where the task at `index` runs.
    pub fn placement(&self, index: u32) -> Option<&v1::Placement> {
        self.placements.get(index as usize)
    }

    /// How the task at `index` ended; nothing while it has not.
    pub fn end(&self, index: u32) -> Option<&v1::TaskEnded> {
        self.ends.get(index as usize)?.as_deref()
    }

    /// Placements of tasks that have not ended.
    pub fn running(&self) -> impl Iterator<Item = &v1::Placement> {
        self.placements.iter().zip(&self.ends).filter(|(_, end)| end.is_none()).map(|(p, _)| p)
    }

    /// Whether `holder` with `epoch` may say how the task at `placement` ended: the holder that
    /// started it, or a later one. A deposed earlier holder may not.
    pub(super) fn may_end(placement: &v1::Placement, holder: &str, epoch: Epoch) -> bool {
        epoch.0 > placement.epoch || (epoch.0 == placement.epoch && holder == placement.holder)
    }

    pub(super) fn ended(&self) -> impl Iterator<Item = &v1::TaskEnded> {
        self.ends.iter().filter_map(|end| end.as_deref())
    }

    pub(super) fn is_over(&self) -> bool {
        self.ends.iter().all(Option::is_some)
    }

    pub(super) fn outcomes(&self) -> impl Iterator<Item = TaskOutcome> {
        self.ended().map(v1::TaskEnded::outcome)
    }

    /// The end with success. A result above the limit is never cut: the job then ends as failed.
    pub(super) fn success(self, max_result_bytes: usize, offset: Offset) -> Ended {
        let longest = self.ended().map(|end| end.result.len()).max().unwrap_or(0);
        if longest > max_result_bytes {
            let reason =
                format!("a result of {longest} bytes is longer than {max_result_bytes} bytes");
            return Ended { reason, ..Ended::failed(Verdict::Ran, offset) };
        }
        let results = self.ends.into_iter().flatten().map(|end| end.result).collect();
        Ended { succeeded: true, results, ..Ended::failed(Verdict::Ran, offset) }
    }

    /// The end without success, with the reason of the first task that has one.
    pub(super) fn failure(&self, verdict: Verdict, offset: Offset) -> Ended {
        let unsuccessful = |end: &&v1::TaskEnded| end.outcome() != TaskOutcome::Succeeded;
        let reason = self.ended().filter(unsuccessful).find_map(|end| {
            let reason = shorten(&end.reason);
            (!reason.is_empty()).then_some(reason)
        });
        let outcome =
            self.ended().find(unsuccessful).map_or("failed", |e| e.outcome().as_str_name());
        Ended {
            reason: reason.unwrap_or_else(|| outcome.to_owned()),
            ..Ended::failed(verdict, offset)
        }
    }
}

impl Ended {
    pub(super) fn failed(verdict: Verdict, offset: Offset) -> Self {
        Self {
            verdict,
            succeeded: false,
            cancelled: false,
            results: Vec::new(),
            reason: String::new(),
            offset,
        }
    }

    pub(super) fn cancelled(verdict: Verdict, offset: Offset) -> Self {
        Self { cancelled: true, reason: "cancelled".to_owned(), ..Self::failed(verdict, offset) }
    }
}

/// Whether a task with this outcome ran to its own end.
pub(super) fn is_own_end(outcome: TaskOutcome) -> bool {
    matches!(outcome, TaskOutcome::Succeeded | TaskOutcome::Failed)
}

/// The beginning of `reason` that is kept.
pub(super) fn shorten(reason: &str) -> String {
    reason[..reason.floor_char_boundary(MAX_REASON_BYTES)].to_owned()
}
