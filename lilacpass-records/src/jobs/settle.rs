//! What the end of an attempt means for its job: one table.
//!
//! The rules behind it:
//! - Non-idempotent work runs at most once. It is attempted again only where the last attempt is
//!   proved never to have started, or goes on from its checkpoint as the same execution.
//! - Idempotent work is attempted again until it succeeds or too many attempts have counted.
//!   What the system itself did, a stop or a start that never happened, does not count.
//! - Standing work is attempted again after every end. Each end is certain, so that no two copies
//!   run, and a lapse of a watcher of non-idempotent alerts does not end the watching.
//! - Cancelled work is never attempted again.

use lilacpass_core::Verdict;
use lilacpass_schema::v1::TaskOutcome;

/// What the table needs to know of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Running it twice does no harm.
    pub idempotent: bool,
    /// It can be resumed from a checkpoint.
    pub checkpointable: bool,
    /// It is kept running until it is cancelled.
    pub standing: bool,
    /// Its cancellation was asked for.
    pub cancelled: bool,
}

/// What follows from the end of a task, and from that of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The job has ended with success.
    Done,
    /// The job waits for its next attempt, from its checkpoints where it has some.
    Again {
        /// Whether the attempt counts against the most that are allowed.
        counts: bool,
    },
    /// The job waits to be resumed from a new checkpoint.
    Resume,
    /// The job ran to its end and failed.
    Failed,
    /// The job has ended, and nothing proves that it ran or did not run.
    MayHaveRun,
    /// The job was cancelled; says whether this attempt may have run.
    Cancelled(Verdict),
}

/// The table: what follows for `work` from one task that ended with `outcome`.
///
/// | outcome      | cancelled            | standing        | idempotent      | non-idempotent |
/// |--------------|----------------------|-----------------|-----------------|----------------|
/// | succeeded    | done, or cancelled/ran where standing | again | done     | done           |
/// | failed       | cancelled/ran        | again           | again, counts   | failed         |
/// | stopped      | cancelled/may have   | again           | again           | may have run   |
/// | lapsed       | cancelled/may have   | again           | again, counts   | may have run   |
/// | not started  | cancelled/not run    | again           | again           | again          |
/// | unknown      | cancelled/may have   | again           | again, counts   | may have run   |
/// | checkpointed | cancelled/may have   | resume          | resume          | resume         |
///
/// A checkpoint of work that can't be resumed from one is worth no more than a stop.
pub fn settle(outcome: TaskOutcome, work: Work) -> Next {
    let outcome = match outcome {
        TaskOutcome::Checkpointed if !work.checkpointable => TaskOutcome::Stopped,
        TaskOutcome::Unspecified => TaskOutcome::Unknown,
        outcome => outcome,
    };
    match work {
        Work { cancelled: true, .. } => settle_cancelled(outcome, work.standing),
        Work { standing: true, .. } => settle_standing(outcome),
        Work { idempotent: true, .. } => settle_idempotent(outcome),
        _ => settle_non_idempotent(outcome),
    }
}

fn settle_cancelled(outcome: TaskOutcome, standing: bool) -> Next {
    match outcome {
        TaskOutcome::Succeeded if !standing => Next::Done,
        TaskOutcome::Succeeded | TaskOutcome::Failed => Next::Cancelled(Verdict::Ran),
        TaskOutcome::NotStarted => Next::Cancelled(Verdict::NotRun),
        _ => Next::Cancelled(Verdict::MayHaveRun),
    }
}

fn settle_standing(outcome: TaskOutcome) -> Next {
    match outcome {
        TaskOutcome::Checkpointed => Next::Resume,
        _ => Next::Again { counts: false },
    }
}

fn settle_idempotent(outcome: TaskOutcome) -> Next {
    match outcome {
        TaskOutcome::Succeeded => Next::Done,
        TaskOutcome::Checkpointed => Next::Resume,
        TaskOutcome::Stopped | TaskOutcome::NotStarted => Next::Again { counts: false },
        _ => Next::Again { counts: true },
    }
}

fn settle_non_idempotent(outcome: TaskOutcome) -> Next {
    match outcome {
        TaskOutcome::Succeeded => Next::Done,
        TaskOutcome::Failed => Next::Failed,
        TaskOutcome::Checkpointed => Next::Resume,
        TaskOutcome::NotStarted => Next::Again { counts: false },
        _ => Next::MayHaveRun,
    }
}

/// What follows for `work` from an attempt whose tasks all ended, with these outcomes.
///
/// The worst cell decides. A non-idempotent gang of which some tasks ran to their end and others
/// did not can't go on, because the next attempt would run the former again.
pub fn settle_attempt(outcomes: impl IntoIterator<Item = TaskOutcome>, work: Work) -> Next {
    let cells: Vec<_> = outcomes.into_iter().map(|outcome| settle(outcome, work)).collect();
    let any = |next: Next| cells.contains(&next);
    let all = |next: Next| cells.iter().all(|cell| *cell == next);
    if all(Next::Done) {
        return Next::Done;
    }
    if work.cancelled {
        return Next::Cancelled(cancelled_verdict(&cells));
    }
    let runs_once = !work.idempotent && !work.standing;
    if any(Next::MayHaveRun) || (runs_once && any(Next::Done) && !any(Next::Failed)) {
        return Next::MayHaveRun;
    }
    [Next::Failed, Next::Again { counts: true }, Next::Again { counts: false }]
        .into_iter()
        .find(|next| any(*next))
        .unwrap_or(Next::Resume)
}

/// The verdict that all tasks agree on; tasks that differ prove nothing about the whole.
fn cancelled_verdict(cells: &[Next]) -> Verdict {
    let verdict = |cell: &Next| match cell {
        Next::Done => Verdict::Ran,
        Next::Cancelled(verdict) => *verdict,
        _ => Verdict::MayHaveRun,
    };
    let first = cells.first().map_or(Verdict::NotRun, verdict);
    if cells.iter().all(|cell| verdict(cell) == first) { first } else { Verdict::MayHaveRun }
}
