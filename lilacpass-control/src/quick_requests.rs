//! Quick requests that wait for their answers, and how their attempts end.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lilacpass_core::{
    MonoTime, Verdict,
    ids::{InstanceId, JobId, RequestId, TaskId},
};
use lilacpass_decide::{retry, route};
use lilacpass_schema::v1;

use crate::{
    convert,
    event::{FailureKind, ReplyId},
};

/// A quick request that waits for its answer.
#[derive(Debug)]
pub(crate) struct Quick {
    pub(crate) reply: ReplyId,
    pub(crate) spec: v1::JobSpec,
    pub(crate) job: JobId,
    pub(crate) arrived: MonoTime,
    pub(crate) deadline: MonoTime,
    pub(crate) attempt: u64,
    /// Where the attempt under way is.
    pub(crate) holder: Option<InstanceId>,
    /// Holders that an earlier attempt went to.
    pub(crate) tried: Vec<InstanceId>,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub(crate) struct AttemptEnd {
    /// Whether it ran.
    pub(crate) verdict: Verdict,
    /// Whether it ran with success.
    pub(crate) succeeded: bool,
    /// Output of the task.
    pub(crate) result: String,
    /// Time that it ran, in milliseconds.
    pub(crate) run_ms: u64,
    /// Why it was refused or failed.
    pub(crate) reason: String,
    /// When coming back helps, in milliseconds; 0 where it does not.
    pub(crate) retry_after_ms: u64,
    /// Whether no worker could ever hold it.
    pub(crate) never_fits: bool,
    /// What went wrong, for the retry rules.
    pub(crate) failure: retry::Failure,
    /// How far it had come, for the retry rules.
    pub(crate) phase: retry::Phase,
}

/// All quick requests that wait for their answers.
#[derive(Debug, Default)]
pub(crate) struct QuickRequests {
    pub(crate) requests: BTreeMap<RequestId, Quick>,
    pub(crate) by_reply: BTreeMap<ReplyId, RequestId>,
    deadlines: BTreeSet<(MonoTime, RequestId)>,
    last: RequestId,
}

impl QuickRequests {
    /// Takes a request in and numbers it.
    pub(crate) fn insert(&mut self, quick: Quick) -> RequestId {
        self.last = self.last.next();
        self.by_reply.insert(quick.reply, self.last);
        self.deadlines.insert((quick.deadline, self.last));
        self.requests.insert(self.last, quick);
        self.last
    }

    /// Takes a request out.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Quick> {
        let quick = self.requests.remove(&id)?;
        self.by_reply.remove(&quick.reply);
        self.deadlines.remove(&(quick.deadline, id));
        Some(quick)
    }

    /// A request whose deadline has passed.
    pub(crate) fn next_past(&self, now: MonoTime) -> Option<RequestId> {
        self.deadlines.first().filter(|(deadline, _)| deadline.reached(now)).map(|(_, id)| *id)
    }

    /// When the next deadline passes.
    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Whether none waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

/// What routing knows of a holder.
pub(crate) fn route_digest(
    holder: InstanceId,
    same_data_centre: bool,
    digest: &v1::Digest,
    age: Duration,
) -> route::HolderDigest {
    let amount =
        |amount: &Option<v1::Amount>| amount.as_ref().map(convert::resources).unwrap_or_default();
    route::HolderDigest {
        holder,
        same_data_centre,
        free: amount(&digest.free),
        largest: amount(&digest.largest),
        queued: digest.queued_urgent,
        wait: Duration::from_millis(digest.wait_ms),
        age,
    }
}

/// Checks the answer of a holder: it must be whole and belong to this attempt.
pub(crate) fn forward_answer(task: &TaskId, answer: v1::ForwardAnswer) -> AttemptEnd {
    let own = answer.task.as_ref().and_then(convert::task_id) == Some(*task);
    let whole = answer.result.len() as u64 == answer.result_bytes;
    if !own || !whole {
        return unanswered(
            Verdict::MayHaveRun,
            retry::Failure::BadAnswer,
            "answer is cut or not the own one",
        );
    }
    let verdict = convert::verdict_from_schema(answer.verdict());
    AttemptEnd {
        verdict,
        succeeded: answer.outcome() == v1::TaskOutcome::Succeeded,
        run_ms: 0,
        never_fits: answer.never_fits,
        failure: failure_of_verdict(verdict),
        phase: retry::Phase::Sent,
        result: answer.result,
        reason: answer.reason,
        retry_after_ms: answer.retry_after_ms,
    }
}

/// The end of an attempt that has no answer.
pub(crate) fn unanswered(verdict: Verdict, failure: retry::Failure, reason: &str) -> AttemptEnd {
    let phase = if verdict == Verdict::NotRun { retry::Phase::Queued } else { retry::Phase::Sent };
    AttemptEnd {
        verdict,
        succeeded: false,
        result: String::new(),
        run_ms: 0,
        reason: reason.to_owned(),
        retry_after_ms: 0,
        never_fits: false,
        failure,
        phase,
    }
}

/// The failure that the retry rules know, for the failure of a call.
pub(crate) fn failure_of(kind: FailureKind) -> retry::Failure {
    match kind {
        FailureKind::Connect => retry::Failure::ConnectFailed,
        FailureKind::PermitLapsed | FailureKind::Refused => retry::Failure::Refused,
        FailureKind::Timeout => retry::Failure::TimedOut,
        FailureKind::Broken => retry::Failure::ConnectionLost,
    }
}

/// The failure that the retry rules know, for an answer with `verdict`.
pub(crate) fn failure_of_verdict(verdict: Verdict) -> retry::Failure {
    match verdict {
        Verdict::NotRun => retry::Failure::Refused,
        Verdict::MayHaveRun => retry::Failure::ConnectionLost,
        Verdict::Ran => retry::Failure::TaskFailed,
    }
}
